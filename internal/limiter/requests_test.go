package limiter

import (
	"slices"
	"testing"
)

func TestAppendCommand(t *testing.T) {
	l, w, id := requestDialling(t, "read")
	l.Step(second/10, Connected{Conn: id})
	requireText(t, w.wrote[id], command("j", "read", "380")) // all as the client sent it, but for the time that is left
}

func TestEndRequest(t *testing.T) {
	t.Run("what is only partly in the kernel is not finished for a request that has ended", func(t *testing.T) {
		l, w, id := requestSent(t, "write")
		w.kernelAccepted[id] = 5
		l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed})
		if !slices.Contains(w.closed, id) || len(l.requests.byID) > 0 {
			t.Fatalf("closed %v, %d requests", w.closed, len(l.requests.byID))
		}
	})
	t.Run("what is whole may come to its end", func(t *testing.T) {
		l, w, id := requestSent(t, "write")
		l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed})
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if slices.Contains(w.closed, id) || len(l.servers.pools["s"].idle) != 1 || len(l.requests.byID) > 0 {
			t.Fatalf("closed %v, %d requests", w.closed, len(l.requests.byID))
		}
	})
}

func TestDeadline(t *testing.T) {
	l, w, id := requestSent(t, "write")
	w.advance(l, second/2)
	requireText(t, w.wrote[clientConn], string(failedAnswer))
	if !slices.Contains(w.closed, id) || len(l.requests.byID) > 0 || l.servers.connCount != 0 {
		t.Fatalf("closed %v, %d requests, %d connections", w.closed, len(l.requests.byID), l.servers.connCount)
	}
}
