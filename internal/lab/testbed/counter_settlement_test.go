package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnaddedReservationAddedBeforeExit: the counter turns a reservation away, the slice lets the request through, and the process is told
// to end before another call could bring the units to the counter: they are added before it goes, once, and it waits
// for the answer.
func TestUnaddedReservationAddedBeforeExit(t *testing.T) {
	if !runUnaddedReservationAddedBeforeExit(t) { // a window of the counter's has ended just then, but does not twice within seconds
		require.True(t, runUnaddedReservationAddedBeforeExit(t))
	}
}

// runUnaddedReservationAddedBeforeExit plays it, and tells whether the units were added in the window in which they were reserved. In the next
// one they weigh less, by what has faded over a whole window.
func runUnaddedReservationAddedBeforeExit(t *testing.T) (sameWindow bool) {
	t.Helper()
	server, counter := Listen(t), Listen(t)
	r := Start(t, configWithCounter(counter, server))
	client := r.Dial(t)
	client.Say(t, Request("a", "read", 3000))
	counterConn := counter.Accept(t)
	window, reserved := counterConn.readTally(t)
	counterConn.Say(t, "busy\r\n")
	c := server.Accept(t)
	require.Equal(t, "a", c.Command(t)[2])
	r.Stop()
	counterConn.Quiet(t, 700*time.Millisecond) // nothing is settled while the attempt is out
	c.Serve(t, "value")
	require.Equal(t, "$value", client.Answer(t))
	windowAtEnd, added := counterConn.readTally(t)
	sameWindow = window == windowAtEnd
	if sameWindow {
		require.InEpsilon(t, reserved, added, 0.2) // the same units, a little later
	}
	select {
	case <-r.Done():
		t.Fatal("it has ended before the counter has answered")
	case <-time.After(50 * time.Millisecond):
	}
	counterConn.Say(t, "ok 1\r\n")
	_, err := client.Rest(t)
	require.NoError(t, err)
	_ = client.TCP.Close()
	r.WaitDone(t, Patience)
	counterConn.Quiet(t, 50*time.Millisecond) // it is added once
	return sameWindow
}
