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

// TestClientClosesBetweenReservations guards against a panic that ended limiters with exit status 2 and lost the
// requests they held (docs/incidents/process-ended-by-itself.md).
//
// A client sends two requests on one connection and closes it. The counter grants both reservations in one read. When
// the first request's attempt is about to be written, the kernel reports that the client has closed; the connection is
// closed at once and both requests are dropped. But the second grant is still to be handled in the same step, and the
// controller sent an attempt for a request that no longer existed: nil pointer on the reducer's goroutine, stack
// limiter.(*Limiter).Send < choice.(*Controller).send < admit < decideByQuota < CounterReplied <
// limiter.(*Limiter).deliverResults, after the trace had both requests ended by client-gone.
//
// Here both grants and then the client's close arrive while the process is suspended. The process keeps running, sends
// nothing for the client that has closed, and serves the next one.
func TestClientClosesBetweenReservations(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	server := testbed.Listen(t)
	h := startHarness(t, server.Address, log)
	counterConn := h.counter.Accept(t)
	h.client.Send(t, testbed.Request("first", "read", 3000))
	counterConn.ReadLine(t)
	counterConn.Send(t, "ok 1\r\n")
	serverConn := server.Accept(t)
	serverConn.ReadCommand(t)
	serverConn.SendServed(t, "value")
	require.Equal(t, "$value", h.client.ReadAnswer(t))
	time.Sleep(100 * time.Millisecond) // the server connection may be reused, so the next attempt is written at once
	closing := (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)
	closing.Send(t, testbed.Request("left-1", "read", 3000)+testbed.Request("left-2", "read", 3000))
	counterConn.ReadLine(t)
	counterConn.ReadLine(t)

	h.suspend()
	counterConn.Send(t, "ok 2\r\nok 3\r\n")
	time.Sleep(20 * time.Millisecond) // the grants reach the kernel before the close
	_ = closing.TCP.Close()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, h.program.Process.Signal(syscall.SIGCONT))

	select {
	case err := <-h.exited:
		text, _ := os.ReadFile(log.Name())
		t.Fatalf("the program ended by itself: %v\n%s", err, text)
	case <-time.After(200 * time.Millisecond):
	}
	serverConn.ExpectNothing(t, time.Millisecond)
	for range 2 { // both reservations are returned to the counter
		require.Contains(t, counterConn.ReadLine(t), " -")
	}
	counterConn.Send(t, "ok 2\r\nok 1\r\n")
	h.client.Send(t, testbed.Request("next", "read", 3000))
	counterConn.ReadLine(t)
	counterConn.Send(t, "ok 2\r\n")
	require.Equal(t, "next", serverConn.ReadCommand(t)[2])
	serverConn.SendServed(t, "again")
	require.Equal(t, "$again", h.client.ReadAnswer(t))
}
