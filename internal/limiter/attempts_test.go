package limiter

import (
	"strings"
	"testing"
)

// TestAttemptEnds checks what the client gets for each way in which the attempt of a non-idempotent request ends. It is
// rejected only if the server cannot have run it; otherwise the request fails.
func TestAttemptEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(l *Limiter, w *fakeSockets, id ConnID)
		out  string
	}{
		{"connection reset before the last byte was written: not run", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.kernelAccepted[id] = int64(len(w.wrote[id])) - 1
			l.Step(0, ConnClosed{Conn: id, Reason: PeerReset})
		}, "-BUSY 2"},
		{"connection closed after the last byte was written: may have run", func(l *Limiter, w *fakeSockets, id ConnID) {
			l.Step(0, ConnClosed{Conn: id, Reason: PeerClosed})
		}, "-ERR written off"},
		{"rejected by the server: the controller sets the answer", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, 0, id, "-BUSY 7777\r\n")
		}, "-BUSY 2"},
		{"server error: may have run", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, 0, id, "-ERR failed\r\n")
		}, "-ERR written off"},
		{"null answer: may have run", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, 0, id, "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
		}, "-ERR written off"},
		{"malformed answer: may have run", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, 0, id, "what\r\n")
		}, "-ERR written off"},
		{"served", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, 0, id, "*3\r\n$1\r\n")
			w.receive(l, 0, id, "v\r\n$6\r\ncost=9\r\n$-1\r\n")
		}, "$1\r\nv\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, id := requestSent(t, "write")
			c.end(l, w, id)
			if got := w.wrote[clientConn]; !strings.HasPrefix(got, c.out) ||
				strings.Count(got, "\r\n") != strings.Count(c.out+"\r\n", "\r\n")-strings.Count(c.out, "v\r\n") {
				t.Fatalf("client got %q, want %q", got, c.out)
			}
			if len(l.requests.byID) > 0 || l.requests.heldBytes != 0 {
				t.Fatalf("%d requests with %d bytes are left", len(l.requests.byID), l.requests.heldBytes)
			}
		})
	}
}
