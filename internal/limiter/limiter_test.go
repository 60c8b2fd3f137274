package limiter

import (
	"slices"
	"strings"
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/buffer"
)

// TestStep checks rules that involve several connections, and the limits on memory.
func TestStep(t *testing.T) {
	t.Run("data that arrives before Connected is kept until then", func(t *testing.T) {
		l, w, id := requestDialling(t, "write")
		w.receive(l, 0, id, "-BUSY\r\n")
		requireText(t, w.wrote[clientConn], "")
		l.Step(0, Connected{Conn: id})
		if got := w.wrote[clientConn]; !strings.HasPrefix(got, "-BUSY ") || len(l.servers.pools["s"].idle) != 1 {
			t.Fatalf("client got %q, %d idle connections", got, len(l.servers.pools["s"].idle))
		}
	})
	t.Run("a request ends with its client, and its units are returned", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, clientConn, command("j", "read", "480"))
		l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed})
		w.receive(l, 0, counterConnID, "ok 2\r\n")
		if w.last != counterConnID || !strings.Contains(w.wrote[counterConnID], " -2") {
			t.Fatalf("dialled %v, counted %q", w.dialed, w.wrote[counterConnID])
		}
	})
	t.Run("a malformed answer closes its connection, at the latest after a dial timeout", func(t *testing.T) {
		for _, in := range []string{
			"*3\r\n*3\r\n", ":5\r\n", "*2\r\n", "*3\r\n$-7\r\n", "*3\r\n$3000000000\r\n", "*3\r\n$9\r\nv\r\n",
		} {
			l, w, id := requestSent(t, "write")
			w.receive(l, 0, id, in)
			w.advance(l, l.settings.DialTimeout)
			requireText(t, w.wrote[clientConn], string(failedAnswer))
			if !slices.Contains(w.closed, id) || l.stats.inputErrors.malformedAnswers != 1 {
				t.Fatalf("closed %v after %q", w.closed, in)
			}
		}
	})
	t.Run("a connection is not reused directly after an answer, as more data may follow", func(t *testing.T) {
		l, w, id := requestSent(t, "read")
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		p := l.servers.pools["s"]
		for ; l.now < reuseDelayTicks*l.settings.TimerResolution; l.now += l.settings.TimerResolution {
			if sc := p.acquire(); sc.conn != nil || len(p.idle) != 1 {
				t.Fatal("a connection was reused before the reuse delay")
			}
		}
		l.now = reuseDelayTicks * l.settings.TimerResolution
		if sc := p.acquire(); sc.conn == nil || sc.conn.id != id {
			t.Fatal("the connection was not reused after the reuse delay")
		}
	})
	t.Run("data after the answer closes a server's connection", func(t *testing.T) {
		l, w, id := requestSent(t, "read")
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n+OK\r\n")
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n")
		if !slices.Contains(w.closed, id) || len(l.servers.pools["s"].idle) != 0 {
			t.Fatalf("closed %v", w.closed)
		}
	})
	t.Run("commands that exceed the memory limit are rejected", func(t *testing.T) {
		l, w := newTestLimiter(t)
		l.requests.heldBytes = l.config.Memory/choice.MemoryParts + 1
		w.receive(l, 0, clientConn, command("j", "read", "480"))
		requireText(t, w.wrote[clientConn], "-BUSY\r\n")
	})
	t.Run("incomplete commands that exceed the memory limit are rejected", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, clientConn, strings.Repeat("*1\r\n$4\r\nECHO\r\n", 1000)) // consumed at once, nothing stays buffered
		if l.bufferedBytes > buffer.MinCapacity*3 {
			t.Fatalf("%d bytes are buffered", l.bufferedBytes)
		}
		l.bufferedBytes = l.config.Memory/choice.MemoryParts + 1
		w.receive(l, 0, clientConn, "*1\r\n$4\r\nECHO\r\n*1\r\n$9000\r\n")
		if strings.HasSuffix(w.wrote[clientConn], "-ERR too long\r\n") {
			t.Fatal("a small incomplete command was rejected")
		}
		w.receive(l, 0, clientConn, strings.Repeat("x", buffer.MinCapacity))
		if !strings.HasSuffix(w.wrote[clientConn], "-ERR unknown command\r\n-ERR too long\r\n") {
			t.Fatalf("client got %q", w.wrote[clientConn][len(w.wrote[clientConn])-60:])
		}
	})
	t.Run("incomplete answers that exceed the memory limit are given up", func(t *testing.T) {
		l, w, id := requestSent(t, "read")
		l.bufferedBytes = l.config.Memory/choice.MemoryParts + 1 // as many as clients may take
		w.receive(l, 0, id, "*3\r\n$9000\r\n")
		if slices.Contains(w.closed, id) {
			t.Fatal("a small incomplete answer was given up")
		}
		l.bufferedBytes = l.config.Memory / choice.MemoryParts * 2
		w.receive(l, 0, id, strings.Repeat("x", buffer.MinCapacity))
		if !slices.Contains(w.closed, id) {
			t.Fatal("a long incomplete answer was kept")
		}
	})
	t.Run("a client that does not read its answers is closed", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.kernelAccepted[clientConn], l.conns[clientConn].bytesSent = 0, l.config.Memory
		w.receive(l, 0, clientConn, "*1\r\n$4\r\nECHO\r\n")
		if !slices.Contains(w.closed, clientConn) {
			t.Fatalf("closed %v", w.closed)
		}
	})
}

func TestMaintain(t *testing.T) {
	l, w, id := requestSent(t, "read")
	w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	l.now = l.settings.IdleClose/idleCloseDivisor + 1
	l.servers.closeExpiredIdle()
	if !slices.Contains(w.closed, id) {
		t.Fatalf("an expired idle connection was not closed: closed %v", w.closed)
	}
}
