package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func (w *fakeSockets) PeerGone(id ConnID) bool { return w.gone[id] }

// TestClientGoneBeforeAttempt: when the connection to the server opens, the client has disconnected, but the event that
// reports it has not arrived. The attempt must not be written, the client's connection is closed at once, and the
// server connection stays usable.
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
			l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerClosed}) // the late event
			require.Equal(t, []ConnID{clientConn}, w.closed)
		})
	}
}

// TestClientGoneWhileCommandsAreRead: handling the first of several commands shows that the client has disconnected.
// The commands after it must not be accepted: they would have no client, so nothing would ever end them.
func TestClientGoneWhileCommandsAreRead(t *testing.T) {
	l, w := newTestLimiter(t)
	l.settings.CounterTimeout = 0 // each request is sent as soon as it is read
	w.receive(l, 0, clientConn, command("k0", "read", "480"))
	id := w.last
	l.Step(0, Connected{Conn: id})
	w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	w.advance(l, second/10) // past the reuse delay of its connection
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

// twoRequestsOfGoneClient returns a limiter with an idle connection to its server and two requests that wait for the
// counter. Their client has disconnected, which no event has reported yet.
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
	w.advance(l, second/10) // past the reuse delay of the connection
	w.receive(l, second/10, clientConn, command("k1", "read", "480")+command("k2", "read", "480"))
	w.gone = map[ConnID]bool{clientConn: true}
	return l, w, idle
}

// TestClientGoneWithTwoResultsQueued: one step queues results of two requests whose client has disconnected, and
// delivering the first result to the controller ends the second request. When the controller then acts on the second
// result, its request must still exist. Nothing is sent, and both requests are forgotten afterwards.
func TestClientGoneWithTwoResultsQueued(t *testing.T) {
	for _, c := range []struct {
		name string
		step func(l *Limiter, w *fakeSockets)
	}{
		{"both reservations granted",
			func(l *Limiter, w *fakeSockets) { w.receive(l, second/10, counterConnID, "ok 4\r\nok 6\r\n") }},
		{"both rejected by the counter",
			func(l *Limiter, w *fakeSockets) { w.receive(l, second/10, counterConnID, "busy\r\nbusy\r\n") }},
		{"connection to the counter lost", func(l *Limiter, _ *fakeSockets) {
			l.Step(second/10, ConnClosed{Conn: counterConnID, Reason: PeerReset})
		}},
		{"no answer from the counter",
			func(l *Limiter, w *fakeSockets) { w.advance(l, second/10+l.settings.CounterTimeout) }},
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

// TestIDInUseUntilResultsDelivered: the id of a request stays in use until the end of the step in which the request
// ends. Otherwise a new request with the id would get results that are still queued for the old one.
func TestIDInUseUntilResultsDelivered(t *testing.T) {
	l, w := newTestLimiter(t)
	l.settings.CounterTimeout = 0
	tooLate := command("same", "read", "1") // too little time left for an attempt
	w.receive(l, 0, clientConn, tooLate+command("same", "read", "480"))
	require.Contains(t, w.wrote[clientConn], errIDInUse.Error())
	require.Empty(t, l.requests.byID)
	w.receive(l, 0, clientConn, command("same", "read", "480"))
	require.NotNil(t, l.requests.byID["same"])
}
