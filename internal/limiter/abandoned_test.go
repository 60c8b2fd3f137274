package limiter

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
)

const secondClientConn ConnID = 200

// TestIDAfterClientGone guards against a request that runs twice when its id comes again after its client has left.
func TestIDAfterClientGone(t *testing.T) {
	for _, c := range []struct {
		name, class string
		serverEnd   func(l *Limiter, w *fakeSockets, id ConnID) // how the attempt ends once the client has left
		mayRunAgain bool
	}{
		{"answered", "write", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, second/10, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}, false},
		{"reset", "write", func(l *Limiter, _ *fakeSockets, id ConnID) {
			l.Step(second/10, ConnClosed{Conn: id, Reason: PeerReset})
		}, false},
		{"open", "write", func(*Limiter, *fakeSockets, ConnID) {}, false},
		{"rejected by the server", "write", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, second/10, id, "-BUSY\r\n")
		}, true},
		{"idempotent", "read", func(l *Limiter, w *fakeSockets, id ConnID) {
			w.receive(l, second/10, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, id := requestSent(t, c.class)
			l.Step(second/20, ConnClosed{Conn: clientConn, Reason: PeerClosed})
			c.serverEnd(l, w, id)
			w.advance(l, second/5) // past the reuse delay of the connection
			l.Step(second/5, ClientAccepted{Conn: secondClientConn})
			w.receive(l, second/5, secondClientConn, command("j", c.class, "480"))
			if c.mayRunAgain {
				require.NotContains(t, w.wrote[secondClientConn], errIDInUse.Error())
				require.NotNil(t, l.requests.byID["j"])
				return
			}
			require.Contains(t, w.wrote[secondClientConn], errIDInUse.Error())
		})
	}
}

// TestAbandonedIDsAreForgotten guards against ids that stay in memory for good, or beyond their part of it.
func TestAbandonedIDsAreForgotten(t *testing.T) {
	l, w, id := requestSent(t, "write")
	l.settings.LongestDeadline = second
	l.Step(second/20, ConnClosed{Conn: clientConn, Reason: PeerClosed})
	w.receive(l, second/10, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	require.Equal(t, 1, l.requests.abandoned.len())
	w.advance(l, 3*second)
	l.requests.abandoned.add(3*second, "other", 5*second, choice.MemoryBudget(1<<27))
	require.False(t, l.requests.abandoned.contains(3*second, "j"))
	require.Equal(t, 1, l.requests.abandoned.len())
	budget := choice.MemoryBudget(1 << 20)
	dropped := 0
	for i := range 10000 {
		dropped += l.requests.abandoned.add(4*second, strconv.Itoa(i), 5*second, budget)
	}
	require.Equal(t, 10001, dropped+l.requests.abandoned.len())
	require.False(t, budget.KeepsAbandonedID(l.requests.abandoned.len()))
	require.True(t, budget.KeepsAbandonedID(l.requests.abandoned.len()-1))
	require.True(t, l.requests.abandoned.contains(4*second, "9999"))
}
