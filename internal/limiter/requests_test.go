package limiter

import (
	"slices"
	"testing"
)

// TestAppendCommand: a server gets the client's command unchanged, except for the time left.
func TestAppendCommand(t *testing.T) {
	l, w, id := requestDialling(t, "read")
	l.Step(second/10, Connected{Conn: id})
	requireText(t, w.wrote[id], command("j", "read", "380"))
}

// TestEndRequest: the client disconnects while its attempt is partly or completely written.
func TestEndRequest(t *testing.T) {
	t.Run("a partly written attempt is not completed", func(t *testing.T) {
		l, w, id := requestSent(t, "write")
		w.kernelAccepted[id] = 5
		l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed})
		if !slices.Contains(w.closed, id) || len(l.requests.byID) > 0 {
			t.Fatalf("closed %v, %d requests", w.closed, len(l.requests.byID))
		}
	})
	t.Run("a complete attempt may still be answered", func(t *testing.T) {
		l, w, id := requestSent(t, "write")
		l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed})
		w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if slices.Contains(w.closed, id) || len(l.servers.pools["s"].idle) != 1 || len(l.requests.byID) > 0 {
			t.Fatalf("closed %v, %d requests", w.closed, len(l.requests.byID))
		}
	})
}

// TestDeadline: at its deadline a sent request fails, and its connection to the server is closed.
func TestDeadline(t *testing.T) {
	l, w, id := requestSent(t, "write")
	w.advance(l, second/2)
	requireText(t, w.wrote[clientConn], string(failedAnswer))
	if !slices.Contains(w.closed, id) || len(l.requests.byID) > 0 || l.servers.connCount != 0 {
		t.Fatalf("closed %v, %d requests, %d connections", w.closed, len(l.requests.byID), l.servers.connCount)
	}
}
