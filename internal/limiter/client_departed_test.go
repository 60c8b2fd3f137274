package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func (w *fakeSockets) PeerGone(id ConnID) bool { return w.gone[id] }

// TestDeparted: as a connection to a server comes up, the client has gone and no event has told. Its attempt is not
// written, its connection ends there and then, and the connection to the server serves the next client.
func TestDeparted(t *testing.T) {
	for _, class := range []string{"read", "write"} {
		t.Run(class, func(t *testing.T) {
			l, w, id := requestDialling(t, class)
			w.gone = map[ConnID]bool{clientConn: true}
			l.Step(0, Connected{Conn: id})
			require.Empty(t, w.wrote[id])
			require.Equal(t, []ConnID{clientConn}, w.closed)
			require.Empty(t, l.requests.byID)
			require.Zero(t, l.clients.count)
			require.Len(t, l.servers.pools["s"].idle, 1)
			l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed}) // the word of it comes later
			require.Equal(t, []ConnID{clientConn}, w.closed)
		})
	}
}

// TestDepartedAsItIsRead: a client is found gone at the first of its commands. Those behind it are not taken: none
// would be owed an answer, and nothing would end them.
func TestDepartedAsItIsRead(t *testing.T) {
	l, w := newTestLimiter(t)
	l.settings.CounterTimeout = 0 // each is sent as it is read
	w.say(l, 0, clientConn, command("k0", "read", "480"))
	id := w.last
	l.Step(0, Connected{Conn: id})
	w.say(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	w.pass(l, second/10) // its connection rests
	wrote := w.wrote[id]
	require.Contains(t, wrote, "k0")
	w.gone = map[ConnID]bool{clientConn: true}
	w.say(
		l,
		second/10,
		clientConn,
		command("k1", "read", "480")+command("k2", "read", "480")+command("k3", "read", "480"),
	)
	require.Equal(t, wrote, w.wrote[id])
	require.Contains(t, w.closed, clientConn)
	require.Empty(t, l.requests.byID)
	require.Equal(t, id, w.last, "another connection was opened")
}
