package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func (w *fakeSockets) PeerGone(id ConnID) bool { return w.gone[id] }

// TestClientGoneBeforeAttempt: as a connection to a server comes up, the client has gone and no event has told. Its attempt is not
// written, its connection ends there and then, and the connection to the server serves the next client.
func TestClientGoneBeforeAttempt(t *testing.T) {
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

// TestClientGoneWhileCommandsAreRead: a client is found gone at the first of its commands. Those behind it are not taken: none
// would be owed an answer, and nothing would end them.
func TestClientGoneWhileCommandsAreRead(t *testing.T) {
	l, w := newTestLimiter(t)
	l.settings.CounterTimeout = 0 // each is sent as it is read
	w.receive(l, 0, clientConn, command("k0", "read", "480"))
	id := w.last
	l.Step(0, Connected{Conn: id})
	w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	w.advance(l, second/10) // its connection rests
	wrote := w.wrote[id]
	require.Contains(t, wrote, "k0")
	w.gone = map[ConnID]bool{clientConn: true}
	w.receive(
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

// twoRequestsOfGoneClient makes a limiter with an idle connection to its server and two requests of one client, which has ended its
// connection without an event that tells of it. Both wait for the counter.
func twoRequestsOfGoneClient(t *testing.T) (l *Limiter, w *fakeSockets, idle ConnID) {
	t.Helper()
	l, w = newTestLimiter(t)
	for _, class := range l.settings.Classes {
		class.PriorityWeight = 1
	}
	w.receive(l, 0, clientConn, command("k0", "read", "480"))
	w.receive(l, 0, counterConnID, "ok 2\r\n")
	idle = w.last
	l.Step(0, Connected{Conn: idle})
	w.receive(l, 0, idle, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	w.advance(l, second/10) // the connection rests
	w.receive(l, second/10, clientConn, command("k1", "read", "480")+command("k2", "read", "480"))
	w.gone = map[ConnID]bool{clientConn: true}
	return l, w, idle
}

// TestClientGoneWithTwoResultsQueued: one step brings results of two requests of a client that has gone, and telling
// the controller of the first ends the second. Whatever the results are, the controller's further call for the second
// request finds it, nothing is sent, and both are forgotten behind it.
func TestClientGoneWithTwoResultsQueued(t *testing.T) {
	for _, c := range []struct {
		name string
		step func(l *Limiter, w *fakeSockets)
	}{
		{"both reservations granted", func(l *Limiter, w *fakeSockets) { w.receive(l, second/10, counterConnID, "ok 4\r\nok 6\r\n") }},
		{"both turned away by the counter", func(l *Limiter, w *fakeSockets) { w.receive(l, second/10, counterConnID, "busy\r\nbusy\r\n") }},
		{"the counter's connection lost", func(l *Limiter, _ *fakeSockets) {
			l.Step(second/10, ConnClosed{Conn: counterConnID, Reason: PeerReset})
		}},
		{"no answer of the counter", func(l *Limiter, w *fakeSockets) { w.advance(l, second/10+l.settings.CounterTimeout) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, idle := twoRequestsOfGoneClient(t)
			wrote := w.wrote[idle]
			c.step(l, w)
			require.Equal(t, wrote, w.wrote[idle])
			require.Empty(t, l.requests.byID)
			require.Zero(t, l.requests.heldBytes)
			require.Empty(t, l.requests.done)
		})
	}
}

// TestIDInUseUntilResultsDelivered: a request keeps its id through the step in which it ends. One that took the id over
// would get what the controller is still to be told of the first.
func TestIDInUseUntilResultsDelivered(t *testing.T) {
	l, w := newTestLimiter(t)
	l.settings.CounterTimeout = 0
	tooLate := command("same", "read", "1") // no time is left for an attempt
	w.receive(l, 0, clientConn, tooLate+command("same", "read", "480"))
	require.Contains(t, w.wrote[clientConn], errIDInUse.Error())
	require.Empty(t, l.requests.byID)
	w.receive(l, 0, clientConn, command("same", "read", "480"))
	require.NotNil(t, l.requests.byID["same"])
}
