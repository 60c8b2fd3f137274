package limiter

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestShutdown(t *testing.T) {
	l, w, id := requestSentFor(t, "read", "3000")
	l.Step(0, ShutdownRequested{})
	w.advance(l, shutdownLinger/2)
	l.Step(shutdownLinger/2, ClientAccepted{Conn: clientConn + 1})
	w.receive(l, shutdownLinger/2, clientConn+1, "*1\r\n$4\r\nECHO\r\n")
	requireText(t, w.wrote[clientConn+1], "-ERR unknown command\r\n") // it is served still
	w.kernelAccepted[clientConn] = 0
	w.advance(l, shutdownLinger)
	if slices.Contains(w.closed, clientConn) || !slices.Contains(w.closed, clientConn+1) || l.Finished() {
		t.Fatal("what was taken has no answer yet")
	}
	delete(w.kernelAccepted, clientConn)
	w.receive(l, shutdownLinger, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	require.True(t, slices.Contains(w.closed, clientConn) && !l.Finished(),
		"closed %v, finished %v while one may come", w.closed, l.Finished())
	w.backlog = true
	w.advance(l, second)
	require.False(t, l.Finished(), "clients wait to be let in")
	w.backlog = false
	w.advance(l, 6*second/5)
	require.True(t, l.Finished(), "nothing is left to do")
}

// Clients go on on each connection that stays open, up to SIGKILL: 3.7 s after the word to stop at the earliest.
func TestShutdownUnderLoad(t *testing.T) {
	busy := "-BUSY 250\r\n"
	answer := "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
	newDraining := func() (*Limiter, *fakeSockets, ConnID) {
		l, w, id := requestSentFor(t, "read", "3000")
		l.Step(0, ShutdownRequested{})
		w.advance(l, shutdownLinger-1)
		return l, w, id
	}
	t.Run("a client that is never without an open request comes to its end", func(t *testing.T) {
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
	t.Run("one that comes late is served and left", func(t *testing.T) {
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
		{"in time, however long it may take", "9000", lateRequestDelay, true},
		{"late, and it ends before the process", "1500", second, true},
		{"late, and it may not", "3000", second, false},
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
	t.Run("a request that its client waits for until behind the kill, where deadlines are short", func(t *testing.T) {
		l, w, id := newDraining()
		l.settings.LongestDeadline = second // so SIGKILL may come 1.7 s after the end was asked for
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, shutdownLinger+1)
		l.Step(shutdownLinger+1, ClientAccepted{Conn: clientConn + 1})
		w.advance(l, second)
		w.receive(l, second, clientConn+1, command("k", "read", "800"))
		require.Equal(t, busy, w.wrote[clientConn+1])
		require.Empty(t, l.requests.byID)
		require.False(t, l.Overdue())
		w.advance(l, 17*second/10)
		require.True(t, l.Overdue(), "no client holds the process past the kill")
	})
	t.Run("a command that has come in the moment of closing is answered first", func(t *testing.T) {
		l, w, id := newDraining()
		w.unread = map[ConnID]bool{clientConn: true}
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, shutdownLinger+second/10)
		require.False(t, slices.Contains(w.closed, clientConn), "it would be lost")
		delete(w.unread, clientConn)
		// what is read is taken, and has its answer
		w.receive(l, shutdownLinger+second/10, clientConn, command("k", "read", "480"))
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n"+busy)
		require.True(t, slices.Contains(w.closed, clientConn), "it has the answer")
	})
	t.Run("what is added back is waited for", func(t *testing.T) {
		l, w, id := newDraining()
		w.receive(l, shutdownLinger-1, id, answer)
		w.advance(l, second-1)
		l.AddToCounter(1, -2, second)
		l.now = second
		require.False(t, l.Finished(), "the counter has not answered")
		w.receive(l, second, counterConnID, "ok 0\r\n")
		require.True(t, l.Finished(), "it has")
	})
}
