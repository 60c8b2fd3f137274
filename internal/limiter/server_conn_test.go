package limiter

import (
	"testing"
)

// TestConnected: a request ends while its attempt waits for the connection. If the attempt were still written, it would
// run without a client, or twice.
func TestConnected(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(l *Limiter)
		now  int64
	}{
		{"the client has disconnected", func(l *Limiter) { l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed}) }, 0},
		{"the deadline has passed", func(l *Limiter) {}, second / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, id := requestDialling(t, "write")
			c.end(l)
			l.Step(c.now, Connected{Conn: id})
			requireText(t, w.wrote[id], "")
			if p := l.servers.pools["s"]; len(p.idle) != 1 || len(l.requests.byID) > 1 {
				t.Fatalf("%d idle connections, %d requests", len(p.idle), len(l.requests.byID))
			}
		})
	}
}

// TestServerConnClosed: a machine that disappears closes no connection. If an attempt ends in a way that this may
// cause, the idle connections to the server are closed too.
func TestServerConnClosed(t *testing.T) {
	for _, c := range []struct {
		end  CloseReason
		idle int
	}{{DeadlineExceeded, 0}, {AttemptCancelled, 0}, {PeerReset, 0}, {ConnRefused, 1}, {ProtocolError, 1}} {
		t.Run(c.end.String(), func(t *testing.T) {
			l, w, id := requestSent(t, "read")
			p := l.servers.pools["s"]
			p.idle = append(p.idle, &serverConn{pool: p, conn: l.dial(nil, "", second)})
			p.idle[0].conn.handler = p.idle[0]
			l.closeConn(l.conns[id], c.end)
			if len(p.idle) != c.idle {
				t.Fatalf("%d idle connections, closed %v", len(p.idle), w.closed)
			}
		})
	}
}
