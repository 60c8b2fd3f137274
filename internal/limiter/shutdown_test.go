package limiter

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestShutdown: a limiter that shuts down keeps serving clients during shutdownLinger, then closes each connection once
// its requests are answered, and finishes when no client is left to be accepted.
func TestShutdown(t *testing.T) {
	l, w, id := requestSentFor(t, "read", "3000")
	l.Step(0, ShutdownRequested{})
	w.advance(l, shutdownLinger/2)
	l.Step(shutdownLinger/2, ClientAccepted{Conn: clientConn + 1})
	w.receive(l, shutdownLinger/2, clientConn+1, "*1\r\n$4\r\nECHO\r\n")
	requireText(t, w.wrote[clientConn+1], "-ERR unknown command\r\n") // clients are still served
	w.kernelAccepted[clientConn] = 0
	w.advance(l, shutdownLinger)
	if slices.Contains(w.closed, clientConn) || !slices.Contains(w.closed, clientConn+1) || l.Finished() {
		t.Fatal("closed a connection with an unanswered request, or kept an idle one")
	}
	delete(w.kernelAccepted, clientConn)
	w.receive(l, shutdownLinger, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	require.True(t, slices.Contains(w.closed, clientConn) && !l.Finished(),
		"closed %v, finished %v while a client may still connect", w.closed, l.Finished())
	w.backlog = true
	w.advance(l, second)
	require.False(t, l.Finished(), "new clients wait to be accepted")
	w.backlog = false
	w.advance(l, 6*second/5)
	require.True(t, l.Finished(), "not finished although nothing is left to do")
}

// TestShutdownUnderLoad: clients keep sending on each connection that stays open, until SIGKILL, which comes 3.7 s
// after SIGTERM at the earliest.
func TestShutdownUnderLoad(t *testing.T) {
	busy := "-BUSY 250\r\n"
	answer := "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
	newDraining := func() (*Limiter, *fakeSockets, ConnID) {
		l, w, id := requestSentFor(t, "read", "3000")
		l.Step(0, ShutdownRequested{})
		w.advance(l, shutdownLinger-1)
		return l, w, id
	}
	t.Run("a client that always has an open request is closed after the answers", func(t *testing.T) {
		l, w, id := newDraining()
		w.advance(l, shutdownLinger)
		counterWrites := w.wrote[counterConnID]
		w.receive(l, shutdownLinger, clientConn, command("k", "read", "480"))
		require.True(t, w.wrote[clientConn] == "" && len(l.requests.byID) == 1 && w.wrote[counterConnID] == counterWrites,
			"wrote %q, %d requests", w.wrote[clientConn], len(l.requests.byID))
		w.receive(l, shutdownLinger, id, answer)
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n"+busy)
		require.True(t, slices.Contains(w.closed, clientConn), "closed %v", w.closed)
	})
	t.Run("a late client is served and closed", func(t *testing.T) {
		l, w, id := newDraining()
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, shutdownLinger+1)
		l.Step(shutdownLinger+1, ClientAccepted{Conn: clientConn + 1})
		w.receive(l, shutdownLinger+1, clientConn+1, command("k", "read", "480"))
		w.receive(l, shutdownLinger+1, counterConnID, "ok 4\r\n")
		l.Step(shutdownLinger+1, Connected{Conn: w.last})
		w.receive(l, shutdownLinger+1, w.last, answer)
		requireText(t, w.wrote[clientConn+1], "$1\r\nv\r\n")
		require.True(t, slices.Contains(w.closed, clientConn+1), "closed %v", w.closed)
	})
	for _, c := range []struct {
		name, timeLeft string
		at             int64
		accepted       bool
	}{
		{"in time, whatever its deadline", "9000", lateRequestDelay, true},
		{"late, with its deadline before the end of the process", "1500", second, true},
		{"late, with its deadline after the end of the process", "3000", second, false},
	} {
		t.Run("a request that comes "+c.name, func(t *testing.T) {
			l, w, id := newDraining()
			w.receive(l, shutdownLinger-1, id, answer)
			w.advance(l, shutdownLinger+1)
			l.Step(shutdownLinger+1, ClientAccepted{Conn: clientConn + 1})
			w.advance(l, c.at)
			w.receive(l, c.at, clientConn+1, command("k", "read", c.timeLeft))
			require.True(t, len(l.requests.byID) == 1 == c.accepted && (w.wrote[clientConn+1] == busy) != c.accepted,
				"%d requests, wrote %q", len(l.requests.byID), w.wrote[clientConn+1])
		})
	}
	t.Run("a request whose deadline is after SIGKILL, with short deadlines", func(t *testing.T) {
		l, w, id := newDraining()
		l.settings.LongestDeadline = second // so SIGKILL may come 1.7 s after SIGTERM
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, shutdownLinger+1)
		l.Step(shutdownLinger+1, ClientAccepted{Conn: clientConn + 1})
		w.advance(l, second)
		w.receive(l, second, clientConn+1, command("k", "read", "800"))
		require.Equal(t, busy, w.wrote[clientConn+1])
		require.Empty(t, l.requests.byID)
		require.False(t, l.Overdue())
		w.advance(l, 17*second/10)
		require.True(t, l.Overdue(), "a client kept the process until SIGKILL")
	})
	t.Run("a command that arrives while the connection is closed is answered first", func(t *testing.T) {
		l, w, id := newDraining()
		w.unread = map[ConnID]bool{clientConn: true}
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, shutdownLinger+second/10)
		require.False(t, slices.Contains(w.closed, clientConn), "closed with an unread command")
		delete(w.unread, clientConn)
		// the command is now read and must be answered
		w.receive(l, shutdownLinger+second/10, clientConn, command("k", "read", "480"))
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n"+busy)
		require.True(t, slices.Contains(w.closed, clientConn), "not closed after the answer")
	})
	t.Run("the process waits until units are returned to the counter", func(t *testing.T) {
		l, w, id := newDraining()
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, second-1)
		l.AddToCounter(1, -2, second)
		l.now = second
		require.False(t, l.Finished(), "finished before the counter answered")
		w.receive(l, second, counterConnID, "ok 0\r\n")
		require.True(t, l.Finished(), "not finished after the counter answered")
	})
}
