package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnaddedReservationAddedBeforeExit checks that units which are not yet in the counter are added once before the
// process exits, and that it waits for the counter's answer. The counter rejects the reservation, the local share of
// the quota admits the request, and the process is told to stop before another call could add the units.
func TestUnaddedReservationAddedBeforeExit(t *testing.T) {
	// A run cannot compare the amounts if a counter window ends during it, which does not happen twice within seconds.
	if !runUnaddedReservationAddedBeforeExit(t) {
		require.True(t, runUnaddedReservationAddedBeforeExit(t))
	}
}

// runUnaddedReservationAddedBeforeExit runs the test once and reports whether the units were added in the counter
// window in which they were reserved. In the next window the amount is smaller, by the decay over one window.
func runUnaddedReservationAddedBeforeExit(t *testing.T) (sameWindow bool) {
	t.Helper()
	server, counter := Listen(t), Listen(t)
	r := Start(t, configWithCounter(counter, server))
	client := r.Dial(t)
	client.Send(t, Request("a", "read", 3000))
	counterConn := counter.Accept(t)
	window, reserved := counterConn.readTally(t)
	counterConn.Send(t, "busy\r\n")
	c := server.Accept(t)
	require.Equal(t, "a", c.ReadCommand(t)[2])
	r.Stop()
	counterConn.ExpectNothing(t, 700*time.Millisecond) // nothing is settled while the attempt is in flight
	c.SendServed(t, "value")
	require.Equal(t, "$value", client.ReadAnswer(t))
	windowAtEnd, added := counterConn.readTally(t)
	sameWindow = window == windowAtEnd
	if sameWindow {
		require.InEpsilon(t, reserved, added, 0.2) // the same units, decayed over the time since
	}
	select {
	case <-r.Done():
		t.Fatal("the limiter finished before the counter answered")
	case <-time.After(50 * time.Millisecond):
	}
	counterConn.Send(t, "ok 1\r\n")
	_, err := client.ReadToEnd(t)
	require.NoError(t, err)
	_ = client.TCP.Close()
	r.WaitDone(t, Timeout)
	counterConn.ExpectNothing(t, 50*time.Millisecond) // the units are added once only
	return sameWindow
}
