package limiter

import (
	"slices"
	"testing"
)

// TestReload: the addresses of discovery and the counter change under load, and the old services close their
// connections soon after.
func TestReload(t *testing.T) {
	changeAddresses := func(l *Limiter) Event {
		config := *l.config
		config.Discovery, config.Counter = "disco 2", "counter 2"
		return ConfigReloaded{Config: &config}
	}
	t.Run("the complete list is requested from discovery's new address", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		l.Step(0, changeAddresses(l))
		watch := l.discovery.conn.id
		l.Step(0, Connected{Conn: watch})
		if w.dialed[watch] != "disco 2" || !slices.Contains(w.closed, discoveryConn) || len(l.servers.pools) != 1 {
			t.Fatalf("dialled %v, closed %v", w.dialed, w.closed)
		}
		requireText(t, w.wrote[watch], "GET /discovery/hosts HTTP/1.1\r\nHost: disco 2\r\n\r\n")
	})
	t.Run("a sent call is answered on the old connection, the next call uses the new one", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, clientConn, command("j", "read", "480"))
		before := w.wrote[counterConnID]
		l.Step(0, changeAddresses(l))
		counterConn := w.last
		l.Step(0, Connected{Conn: counterConn})
		l.AddToCounter(1, 2, second)
		w.receive(l, 0, counterConnID, "ok 2\r\n")
		if w.dialed[w.last] != "127.0.0.1:9" || w.wrote[counterConnID] != before ||
			!slices.Contains(w.closed, counterConnID) {
			t.Fatalf("dialled %v, wrote %v, closed %v", w.dialed, w.wrote, w.closed)
		}
		if w.dialed[counterConn] != "counter 2" || w.wrote[counterConn] != "tally 1 2 1000\r\n" {
			t.Fatalf("dialled %v, wrote %q", w.dialed, w.wrote[counterConn])
		}
	})
	t.Run("an unsent call is transferred once to each new address", func(t *testing.T) {
		l, w := newTestLimiter(t)
		l.Step(0, ConnClosed{Conn: counterConnID, Reason: PeerClosed})
		l.AddToCounter(1, 2, second)
		counterConn := w.last
		for range 2 {
			l.Step(0, changeAddresses(l))
			l.config.Counter = "counter" // so that the next reload changes the address again
		}
		if !slices.Contains(w.closed, counterConn) || len(l.results) > 0 || len(l.counter.conns) != 1 {
			t.Fatalf("closed %v, queued results %+v, %d connections", w.closed, l.results, len(l.counter.conns))
		}
		l.Step(0, Connected{Conn: l.counter.conns[0].conn.id})
		requireText(t, w.wrote[l.counter.conns[0].conn.id], "tally 1 2 1000\r\n")
		w.advance(l, second/20)
		if !l.counter.conns[0].calls[0].answered {
			t.Fatal("the call has not timed out")
		}
	})
}
