package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
)

// The story of the limiters that ended by themselves in a fault run (docs/incidents/process-ended-by-itself.md).
//
// What users saw: now and then one limiter of many ended with exit status 2, and all requests that it held were lost.
// The order of events: a client sends two requests on one connection and leaves. The counter grants both reservations in
// one read. The first is decided, and as its attempt is about to be written the kernel says that the client has gone; so
// the connection is closed there and then, and both requests are let go of. But the second one's grant waits in the same
// step: the controller sends an attempt for a request that is no longer held.
// The evidence: the panic's line, goroutine=reducer, nil pointer, stack limiter.(*Limiter).Send < choice.(*Controller).send
// < admit < decideByQuota < CounterReplied < limiter.(*Limiter).deliverResults; its trace has both requests ended by
// client-gone before it.

// TestClientClosesBetweenReservations: both grants and the client's end come while the process has no processor, in
// this order. The process goes on, sends nothing for the client that has gone, and serves the next one.
func TestClientClosesBetweenReservations(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	server := testbed.Listen(t)
	h := startHarness(t, server.Address, log)
	counterConn := h.counter.Accept(t)
	h.client.Say(t, testbed.Request("first", "read", 3000))
	counterConn.Line(t)
	counterConn.Say(t, "ok 1\r\n")
	serverConn := server.Accept(t)
	serverConn.Command(t)
	serverConn.Serve(t, "value")
	require.Equal(t, "$value", h.client.Answer(t))
	time.Sleep(100 * time.Millisecond) // the connection to the server has rested, and takes the next attempt at once
	closing := (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)
	closing.Say(t, testbed.Request("left-1", "read", 3000)+testbed.Request("left-2", "read", 3000))
	counterConn.Line(t)
	counterConn.Line(t)

	h.suspend()
	counterConn.Say(t, "ok 2\r\nok 3\r\n")
	time.Sleep(20 * time.Millisecond) // the grants are in the kernel before the end is
	_ = closing.TCP.Close()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, h.program.Process.Signal(syscall.SIGCONT))

	select {
	case err := <-h.exited:
		text, _ := os.ReadFile(log.Name())
		t.Fatalf("it ended by itself: %v\n%s", err, text)
	case <-time.After(200 * time.Millisecond):
	}
	serverConn.Quiet(t, time.Millisecond)
	for range 2 { // both reservations are added back
		require.Contains(t, counterConn.Line(t), " -")
	}
	counterConn.Say(t, "ok 2\r\nok 1\r\n")
	h.client.Say(t, testbed.Request("next", "read", 3000))
	counterConn.Line(t)
	counterConn.Say(t, "ok 2\r\n")
	require.Equal(t, "next", serverConn.Command(t)[2])
	serverConn.Serve(t, "again")
	require.Equal(t, "$again", h.client.Answer(t))
}
