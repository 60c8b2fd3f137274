package limiter

import (
	"slices"
	"strings"
	"testing"

	"ospreycroft/choice"
)

// TestForgetIfEmpty: the pool of a removed server is forgotten with its last connection. Otherwise pools would
// accumulate as servers are replaced.
func TestForgetIfEmpty(t *testing.T) {
	removed := httpAnswer(`{"generation":8,"instances":[{"instanceId":"s","lifecycle":"terminated"}]}`)
	t.Run("a connection in use is closed after its answer", func(t *testing.T) {
		l, w, id := requestSent(t, "read")
		w.receive(l, 0, discoveryConn, removed)
		if len(l.servers.pools) != 1 || slices.Contains(w.closed, id) {
			t.Fatalf("%d servers, closed %v", len(l.servers.pools), w.closed)
		}
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n")
		if len(l.servers.pools) != 0 || !slices.Contains(w.closed, id) || l.servers.connCount != 0 {
			t.Fatalf("%d servers, closed %v, %d connections", len(l.servers.pools), w.closed, l.servers.connCount)
		}
	})
	t.Run("a change of address closes the connections to the old one", func(t *testing.T) {
		l, w, id := requestSent(t, "read")
		w.receive(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, ":9", ":10", 1)))
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if !slices.Contains(w.closed, id) || len(l.servers.pools["s"].idle) != 0 {
			t.Fatalf("closed %v", w.closed)
		}
	})
	t.Run("a complete list without the server", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(`{"generation":8,"reset":true,"instances":[]}`))
		if len(l.servers.pools)+len(l.servers.pools) > 0 {
			t.Fatalf("%d servers", len(l.servers.pools))
		}
	})
}

// TestCloseUnused: a connection may take longer to open than a server's drain grace, so dials to a server that drains
// or is no longer listed are abandoned.
func TestCloseUnused(t *testing.T) {
	for _, c := range []struct{ name, list string }{
		{"draining", strings.Replace(knownList, "in_service", "terminating", 1)},
		{"not listed", `{"generation":8,"reset":true,"instances":[]}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, id := requestDialling(t, "write")
			w.receive(l, 0, discoveryConn, httpAnswer(c.list))
			if !slices.Contains(w.closed, id) || len(l.requests.byID) > 0 ||
				!strings.HasPrefix(w.wrote[clientConn], "-BUSY") {
				t.Fatalf("closed %v, %d requests, client got %q", w.closed, len(l.requests.byID), w.wrote[clientConn])
			}
		})
	}
}

// TestCloseOldestIdle: at the descriptor limit an idle connection is closed, never one in use.
func TestCloseOldestIdle(t *testing.T) {
	l, w, id := requestSent(t, "read")
	l.servers.connCount = l.config.Sockets / serverDescriptorDivisor
	t.Run("no connection is available while all are in use", func(t *testing.T) {
		if l.servers.closeOldestIdle() || l.servers.pools["s"].acquire() != nil {
			t.Fatal("a connection in use was closed")
		}
	})
	t.Run("an idle connection is closed", func(t *testing.T) {
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if !l.servers.closeOldestIdle() || l.servers.connCount != l.config.Sockets/serverDescriptorDivisor-1 ||
			!slices.Contains(w.closed, id) {
			t.Fatalf("closed %v, %d connections", w.closed, l.servers.connCount)
		}
	})
}

// TestHealthCheck checks the outcome that the controller gets for each end of a health check.
func TestHealthCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(l *Limiter, sc *serverConn)
		want choice.Outcome
	}{
		{"answered", func(l *Limiter, sc *serverConn) { _, _ = sc.onData([]byte("+OK\r\n")) }, choice.Succeeded},
		{"timed out", func(l *Limiter, sc *serverConn) { sc.healthCheckTimer.run() }, choice.TimedOut},
		{"connection reset", func(l *Limiter, sc *serverConn) { l.closeConn(sc.conn, PeerReset) }, choice.ConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w := newTestLimiter(t)
			l.HealthCheck("s")
			l.Step(0, Connected{Conn: w.last})
			requireText(t, w.wrote[w.last], "*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n")
			sc := l.conns[w.last].handler.(*serverConn)
			c.end(l, sc)
			if sc.healthCheckTimer != nil || len(l.results) != 1 || l.results[0].healthChecked != "s" ||
				l.results[0].outcome != c.want {
				t.Fatalf("queued results %+v", l.results)
			}
		})
	}
}

// TestWithConn: an idle connection that is no longer alive is replaced by a new one.
func TestWithConn(t *testing.T) {
	l, w, id := requestSent(t, "write")
	w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	w.dead = map[ConnID]bool{id: true}
	l.now = reuseDelayTicks * l.settings.TimerResolution
	p := l.servers.pools["s"]
	if !p.withConn(func(sc *serverConn) {}) || w.last == id || l.servers.connCount != 1 ||
		!slices.Contains(w.closed, id) {
		t.Fatalf("dialled %v, closed %v, %d connections", w.dialed, w.closed, l.servers.connCount)
	}
}

// TestMaxReuseIdle: a server may drop an idle connection early without closing it, so that the next command on it is
// lost. After such a loss connections are reused only after shorter idle times; the limit recovers with time.
func TestMaxReuseIdle(t *testing.T) {
	for _, c := range []struct {
		name        string
		idle, delay int64 // how long before the command, and from the command to the reset, nanoseconds
		lowered     bool
	}{
		{"immediate reset of a reused connection", second, 0, true},
		{"late reset, when the server has begun to work", second, second / 8, false},
		{"immediate reset of a new connection", 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, id := requestSent(t, "read")
			if c.idle > 0 {
				w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
				w.advance(l, c.idle)
				w.receive(l, c.idle, clientConn, command("k", "write", "480"))
				w.receive(l, c.idle, counterConnID, "ok 4\r\n")
			}
			before := l.servers.maxReuseIdle
			l.Step(c.idle+c.delay, ConnClosed{Conn: id, Reason: PeerReset})
			if l.servers.maxReuseIdle > before || (l.servers.maxReuseIdle < before) != c.lowered {
				t.Fatalf("limit %d before and %d now", before, l.servers.maxReuseIdle)
			}
			loweredTo := l.servers.maxReuseIdle
			if l.maintain(); c.lowered && l.servers.maxReuseIdle <= loweredTo {
				t.Fatal("the limit does not recover")
			}
		})
	}
	t.Run("a connection that was idle for longer is not reused", func(t *testing.T) {
		l, w, id := requestSent(t, "read")
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		l.servers.maxReuseIdle, l.now = second, second+1
		if sc := l.servers.pools["s"].acquire(); sc.conn != nil {
			t.Fatal("the connection was reused")
		}
	})
}
