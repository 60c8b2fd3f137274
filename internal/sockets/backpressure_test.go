package sockets

import (
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/limiter"
)

// unlimitedSharedBytes lets clients fill the queue: each may have maxQueuedBytesPerClient undelivered.
const unlimitedSharedBytes = 1 << 40

// connHistory is what the reducer has been given for one connection, in order.
type connHistory struct {
	kinds []eventKind
	text  strings.Builder // all data received
	last  queuedEvent
}

// recordingDriver is a driver that records the delivered events by connection and fails the test if a call blocks.
type recordingDriver struct {
	*driver
	histories map[limiter.ConnID]*connHistory
}

// requireNonBlocking makes a call as the reducer and fails the test if it does not return within testTimeout.
func (d *recordingDriver) requireNonBlocking(what string, call func()) {
	d.t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); call() }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		d.t.Fatal("the reducer is blocked: ", what)
	}
}

// takeBatch delivers one batch to the reducer and records it.
func (d *recordingDriver) takeBatch() {
	d.t.Helper()
	d.requireNonBlocking("a batch", func() { d.step(0) })
	require.LessOrEqual(d.t, len(d.s.current.bytes), maxQueuedBytes+readSize, "more than maxQueuedBytes was queued")
	from := 0
	for _, e := range d.s.current.events {
		history := d.histories[e.connID]
		if history == nil {
			history = &connHistory{}
			d.histories[e.connID] = history
		}
		history.kinds, history.last = append(history.kinds, e.kind), e
		history.text.Write(d.s.current.bytes[from : from+e.size])
		from += e.size
	}
}

// takeUntil takes batches until the condition holds.
func (d *recordingDriver) takeUntil(what string, condition func() bool) {
	d.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		require.Less(d.t, time.Since(start), testTimeout, what)
		d.takeBatch()
	}
}

// waitUntilQueueFull waits until more than maxQueuedBytes are queued for the reducer.
func (d *recordingDriver) waitUntilQueueFull() {
	d.t.Helper()
	require.Eventually(
		d.t,
		func() bool { return d.queuedBytes(0) > maxQueuedBytes },
		testTimeout,
		time.Millisecond,
		"the queue does not fill up",
	)
}

// connectClient connects a client and returns both ends of its connection.
func (d *recordingDriver) connectClient() (net.Conn, *connection) {
	d.t.Helper()
	client, conn := d.dialClient(), (*connection)(nil)
	d.takeUntil("the client is accepted", func() bool {
		for _, candidate := range d.s.connections {
			if nc := candidate.nbConn.Load(); nc != nil && nc.RemoteAddr().String() == client.LocalAddr().String() {
				conn = candidate
			}
		}
		return conn != nil
	})
	return client, conn
}

// endedByClose reports whether the last event delivered for a connection was its close.
func (d *recordingDriver) endedByClose(id limiter.ConnID) bool {
	history := d.histories[id]
	return history != nil && history.kinds[len(history.kinds)-1] == connClosed
}

// readInProgress reports whether a reader holds bytes of a connection that are not queued yet.
func (c *connection) readInProgress() bool {
	free := c.readMutex.TryLock()
	if free {
		c.readMutex.Unlock()
	}
	return !free
}

// TestBackpressure fills the reducer's queue, so that every goroutine that queues events blocks: the poller, the
// accepting goroutine, dialers, nbio's closing goroutine and resumed readers. Guards against a deadlock: the reducer's
// calls must not wait for any of them. Once it takes batches again, all events must arrive in order and all slots must
// be released.
func TestBackpressure(t *testing.T) {
	server := listenLoopback(t)
	d := &recordingDriver{newDriver(t, 512, nil), map[limiter.ConnID]*connHistory{}}
	d.s.sharedBytes.Store(unlimitedSharedBytes)
	t.Cleanup(func() { // a poller that is blocked in enqueue could not be stopped
		for range 50 {
			d.s.nextBatch()
			d.s.bytesReleased.Broadcast()
			time.Sleep(time.Millisecond)
		}
	})
	const clientCount, commandsPerClient = 80, 40
	var clients [clientCount]net.Conn
	var conns [clientCount]*connection
	var sent [clientCount]string
	for i := range clientCount {
		clients[i], conns[i] = d.connectClient()
		for k := range commandsPerClient {
			sent[i] += fmt.Sprintf("*2\r\n$1\r\nX\r\n$5000\r\n%2500d%2500d\r\n", i, k)
		}
	}
	pingClient, pingConn := d.connectClient()
	writtenClient, writtenConn := d.connectClient()
	gracefulClient, gracefulConn := d.connectClient()
	closingClient, closingConn := d.connectClient()
	resettingClient, resettingConn := d.connectClient()
	_, locallyLostConn := d.connectClient()
	for i := range clientCount {
		go func() { _, _ = io.WriteString(clients[i], sent[i]) }()
	}
	d.waitUntilQueueFull()
	d.takeBatch() // this resumes the readers of the clients in the batch
	d.waitUntilQueueFull()
	send(t, pingClient, ping)
	var blockedConn *connection
	require.Eventually(t, func() bool { // a reader has taken bytes from the kernel and is blocked in enqueue
		for _, conn := range conns[1:] {
			if conn.readInProgress() {
				time.Sleep(20 * time.Millisecond)
				blockedConn = conn
				return conn.readInProgress()
			}
		}
		return false
	}, testTimeout, time.Millisecond, "no reader is blocked")
	require.Zero(t, d.queuedBytes(pingConn.id), "the poller is not blocked")

	// Each kind of event on connections now happens while the queue is full.
	slotsInUse, last := len(d.s.listener.slots), d.lastID()
	stayingClient, leavingClient, abortedClient := d.dialClient(), d.dialClient(), d.dialClient()
	send(t, stayingClient, ping+ping)
	send(t, leavingClient, ping+ping+ping)
	require.NoError(t, leavingClient.Close())
	require.NoError(t, abortedClient.(*net.TCPConn).SetLinger(0))
	require.NoError(t, abortedClient.Close())
	require.Eventually(t, func() bool { return d.lastID() > last }, testTimeout, time.Millisecond, "no client is accepted")
	require.NoError(t, closingClient.Close())
	require.NoError(t, resettingClient.(*net.TCPConn).SetLinger(0))
	require.NoError(t, resettingClient.Close())
	_ = locallyLostConn.nbConn.Load().Close() // as the poller would; nbio calls onClose on a goroutine of its own
	require.Eventually(
		t,
		func() bool { return len(d.s.listener.slots) == slotsInUse-1 },
		testTimeout,
		time.Millisecond,
		"its slot is not released",
	)
	var dialedID, refusedID limiter.ConnID
	var closedBlocked, closedGraceful, hasBacklog bool
	d.requireNonBlocking("effects", func() {
		dialedID = d.s.Dial(server.Addr().String(), int64(testTimeout))
		refusedID = d.s.Dial("127.0.0.1:1", int64(testTimeout))
		d.s.Close(d.s.Dial(server.Addr().String(), int64(testTimeout)))
		closedBlocked = d.s.CloseGracefully(blockedConn.id, 1e9, 1e9)
		for _, conn := range conns {
			_ = d.s.Alive(conn.id)
		}
		d.s.Write(writtenConn.id, []byte("text"))
		closedGraceful = d.s.CloseGracefully(gracefulConn.id, 1e9, 1e9)
		d.s.Close(conns[0].id)
		hasBacklog = d.s.HasBacklog()
	})
	require.False(t, closedBlocked, "closed a connection with undelivered commands")
	require.True(t, closedGraceful)
	require.False(t, hasBacklog)
	expectRead(t, writtenClient, "text")
	_, err := gracefulClient.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Greater(t, d.queuedBytes(0), maxQueuedBytes, "the queue was emptied meanwhile")

	d.takeUntil("all that was sent is delivered", func() bool {
		for i, conn := range conns[1:] {
			if history := d.histories[conn.id]; history.text.Len() < len(sent[i+1]) {
				return false
			}
		}
		return d.endedByClose(closingConn.id) && d.endedByClose(resettingConn.id) &&
			d.endedByClose(locallyLostConn.id) && d.endedByClose(refusedID) && d.histories[dialedID] != nil
	})
	for i, conn := range conns[1:] {
		require.True(t, d.histories[conn.id].text.String() == sent[i+1], "out of order")
	}
	require.True(t, strings.HasPrefix(sent[0], d.histories[conns[0].id].text.String()))
	require.Equal(t, connected, d.histories[dialedID].last.kind)
	require.Equal(t, limiter.ConnRefused, d.histories[refusedID].last.reason)
	require.Equal(t, ping, d.histories[pingConn.id].text.String())
	for _, c := range append(clients[:], pingClient, writtenClient, gracefulClient) {
		_ = c.Close()
	}
	d.takeUntil("each accepted client and each close is delivered", func() bool {
		pingsReceived := map[string]int{} // abortedClient may have been reset before it was accepted
		for id, history := range d.histories {
			if history.kinds[0] == clientAccepted && history.text.String() != ping+ping && !d.endedByClose(id) {
				return false
			} else if history.text.Len() > 0 && history.text.Len() <= 3*len(ping) {
				pingsReceived[history.text.String()]++
			}
		}
		return maps.Equal(pingsReceived, map[string]int{ping: 1, ping + ping: 1, ping + ping + ping: 1})
	})
	require.NoError(t, stayingClient.Close())
	d.takeUntil("all slots are released", func() bool { return len(d.s.listener.slots) == 1 })
}

// lastID returns the ID of the newest connection.
func (d *recordingDriver) lastID() limiter.ConnID {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	return d.s.lastID
}

// TestFullQueueIsReleasedOnceDelivered guards against a reader that stays blocked although all that it waits for has been
// delivered, as no further event can come then.
func TestFullQueueIsReleasedOnceDelivered(t *testing.T) {
	d := newDriver(t, 64, nil)
	const pieces = 8
	server := &connection{id: 1 << 30}
	queued := make(chan struct{})
	go func() {
		defer close(queued)
		for range pieces {
			d.s.enqueue(server, queuedEvent{kind: dataReceived, size: maxQueuedBytes / 4}, make([]byte, maxQueuedBytes/4))
		}
	}()
	require.Eventually(t, func() bool { return d.queuedBytes(server.id) > maxQueuedBytes }, testTimeout, time.Millisecond)
	d.s.takeEvents(func() int64 { return d.now }, d.l)
	select {
	case <-queued:
	case <-time.After(testTimeout):
		d.s.release(d.s.current)
		t.Fatal("the reader is still blocked")
	}
}
