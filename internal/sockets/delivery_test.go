package sockets

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/limiter"
)

// queuePings has clients connect and send commands in small pieces, until events of that number are queued.
func queuePings(d *driver, clients, rounds int) (conns []net.Conn) {
	d.t.Helper()
	for range clients {
		conn := d.dialClient()
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		conns = append(conns, conn)
	}
	d.stepUntil("the clients are accepted", func() bool { return len(d.s.listener.slots) > clients })
	for round := range rounds {
		for _, conn := range conns {
			send(d.t, conn, ping)
		}
		want := (round + 1) * clients * len(ping)
		require.Eventually(d.t, func() bool { return d.queuedBytes(0) >= want }, testTimeout, 100*time.Microsecond)
	}
	return conns
}

// runWithClock calls Run with a clock until done returns true, which is asked on the reducer's goroutine.
func runWithClock(d *driver, clock func() int64, done func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(testTimeout)
	d.s.wake()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.s.Run(func() int64 {
			if done() || time.Now().After(deadline) {
				runtime.Goexit() // Run ends in no other way without stopping the engine, which the test's end stops
			}
			return clock()
		}, d.l, nil, nil)
	}()
	<-ended
	require.True(d.t, time.Now().Before(deadline), "Run did not get so far")
}

// TestTimersWithinBatch guards against timers that wait until all commands of a batch are handled: the deadlines of
// requests would pass unanswered while other clients flood the limiter.
func TestTimersWithinBatch(t *testing.T) {
	d := newDriver(t, 256, nil)
	queuePings(d, 10, 50)
	// Each reading of the clock is a millisecond later, as if each event took that long.
	clock := func() int64 { d.now += int64(time.Millisecond); return d.now }
	readingsAfter := 10 // of the clock, so that timers that waited for the end of the batch are counted
	runWithClock(d, clock, func() bool {
		if d.delivered(10 * 50) {
			readingsAfter--
		}
		return readingsAfter == 0
	})
	require.Less(t, d.s.delivery.stats.latestTimer, int64(50*time.Millisecond))
}

// delivered reports whether so many pings of clients have been delivered to the limiter.
func (d *driver) delivered(pings int) bool {
	size := int64(0)
	for _, conn := range d.s.connections {
		if conn.listener != nil {
			size += conn.bytesDelivered.Load()
		}
	}
	return size >= int64(pings*len(ping))
}

// TestAnswerWithinBatch guards against answers of servers that wait until all commands that clients have sent are
// handled.
func TestAnswerWithinBatch(t *testing.T) {
	server := listenLoopback(t)
	accepted := acceptConns(t, server)
	d := newDisconnectDriver(t, newDriver(t, 256, server))
	send(t, d.client, request("r1"))
	require.Eventually(t, d.clientConn.hasUndelivered, testTimeout, time.Millisecond)
	d.step(0) // dials
	serverSide := d.acceptServerConn(accepted)
	d.waitConnectedQueued()
	d.step(0) // writes the attempt
	const clients, rounds = 10, 50
	queuePings(d.driver, clients, rounds)
	before := d.s.Written(d.clientConn.id)
	readings, answeredAt := 0, 0
	runWithClock(d.driver, func() int64 {
		readings++
		if readings == 20 {
			_, _ = io.WriteString(serverSide, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			time.Sleep(100 * time.Millisecond) // the poller reads it
		}
		if answeredAt == 0 && d.s.Written(d.clientConn.id) > before {
			answeredAt = readings
		}
		return d.now
	}, func() bool { return answeredAt > 0 && d.delivered(clients*rounds) })
	require.Less(t, answeredAt, readings/2, "the answer came at the end of the batch")
}

// TestClientWithinBatch guards against commands that wait until all that was queued before them is handled.
func TestClientWithinBatch(t *testing.T) {
	d := newDriver(t, 256, nil)
	other := d.dialClient()
	var otherID limiter.ConnID
	d.stepUntil("the client is accepted", func() bool {
		for id, conn := range d.s.connections {
			if conn.listener != nil {
				otherID = id
			}
		}
		return otherID > 0
	})
	const clients, rounds = 10, 50
	queuePings(d, clients, rounds)
	readings, answeredAt := 0, 0
	runWithClock(d, func() int64 {
		readings++
		if readings == 20 {
			send(t, other, ping)
			time.Sleep(100 * time.Millisecond) // the poller reads it
		}
		if answeredAt == 0 && d.s.Written(otherID) > 0 {
			answeredAt = readings
		}
		return d.now
	}, func() bool { return answeredAt > 0 && d.delivered(clients*rounds+1) })
	require.Less(t, answeredAt, readings/2, "the answer came at the end of the batch")
}
