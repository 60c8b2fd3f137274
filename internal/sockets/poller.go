package sockets

import (
	"errors"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
)

// This file contains what runs on nbio's goroutines: reading from connections and queueing events for the reducer.

// readSize is the size of the poller's read buffer in bytes.
const readSize = 32 << 10

// resumedReadSize is the size of the read buffer of a resumed reader in bytes. There may be one for each client, and all
// of them wait while maxQueuedBytes are queued.
const resumedReadSize = 4 << 10

// processStart is the time at which this package was initialized; it has a monotonic reading.
var processStart = time.Now()

// elapsed returns the monotonic time since processStart in nanoseconds.
func elapsed() int64 { return int64(time.Since(processStart)) }

// errPeerClosed is the error with which a connection is closed when an end of file was read after all data. nbio's own
// io.EOF does not tell this from a reset.
var errPeerClosed = errors.New("the peer closed the connection")

const (
	// maxQueuedBytesPerClient is how many bytes of one client may be undelivered. Without this limit a client that sends
	// continuously would keep the poller busy and delay all other connections.
	maxQueuedBytesPerClient = 64 << 10
	// minQueuedBytesPerClient is the same limit where very many clients have undelivered bytes.
	minQueuedBytesPerClient = 1 << 10
	// sharedQueueBytes is what all clients with undelivered bytes share. It is well below maxQueuedBytes, so that the
	// poller does not block for want of room while it has servers to read.
	sharedQueueBytes = maxQueuedBytes / 4
)

// eventKind says which event of the limiter a queuedEvent is delivered as.
type eventKind uint8

const (
	clientAccepted eventKind = iota
	connected
	dataReceived
	connClosed
)

// timersDueName is the word for the event TimersDue, which is never queued, in log lines.
const timersDueName = "timers"

// String returns the word that log lines use.
func (k eventKind) String() string {
	return [...]string{"client-accepted", "connected", "data", "closed"}[k]
}

// queuedEvent is an event on one connection, queued for the reducer.
type queuedEvent struct {
	kind   eventKind
	connID limiter.ConnID
	client bool // the connection is a client's
	size   int  // number of bytes, for dataReceived
	// arrivedAt is when the kernel received the last of these bytes, on the clock of elapsed; 0 for data from servers and
	// data read before Run.
	arrivedAt int64
	unreadFor int64               // how long they had waited in the kernel when they were read, nanoseconds; 0 as arrivedAt
	reason    limiter.CloseReason // for connClosed
}

// deliver passes the event to the limiter; now is the limiter's time in nanoseconds.
func (e queuedEvent) deliver(now int64, l *limiter.Limiter) {
	switch e.kind {
	case clientAccepted:
		l.Step(now, limiter.ClientAccepted{Conn: e.connID})
	case connected:
		l.Step(now, limiter.Connected{Conn: e.connID})
	case dataReceived:
		age := int64(0)
		if e.arrivedAt != 0 {
			age = elapsed() - e.arrivedAt
		}
		l.Step(now, limiter.DataReceived{Conn: e.connID, Size: e.size, Age: age})
	case connClosed:
		l.Step(now, limiter.ConnClosed{Conn: e.connID, Reason: e.reason})
	}
}

// readLoop reads all available bytes and, if the peer has closed, the end of file after them, so that the reducer
// gets a client's bytes and its close in one batch. It reads nothing from a client's connection that the limiter has
// closed: the client may send those commands again to another limiter. Nor does it read what a client that has closed
// sent beyond maxQueuedBytesPerClient: on the event for the close, nbio closes a connection regardless of unread
// bytes.
func (s *Sockets) readLoop(conn *connection, nc *nbio.Conn, buf []byte) {
	defer logging.LogPanic("poller")
	closeErr := s.readAvailable(conn, nc, buf, s.isClient(conn))
	if closeErr != nil {
		_ = nc.CloseWithError(closeErr)
	}
	s.yieldPoller()
}

// yieldPoller lets the reducer run. The poller may block in a system call next, and if the process has a single
// processor (GOMAXPROCS=1), the poller keeps it until the runtime's monitor takes it back. While clients wait for the
// reducer anyway, the poller yields once in maxHold only: it may have hundreds of connections to read before a client
// that has sent one request.
func (s *Sockets) yieldPoller() {
	now := elapsed()
	if s.delivery.backlogged.Load() && now-s.pollerYieldedAt < maxHold {
		return
	}
	runtime.Gosched()
	s.pollerYieldedAt = elapsed()
}

// readAvailable reads and queues data until the kernel has no more, or until a client has sent too much. It returns the
// error to close the connection with, or nil if the connection stays open.
func (s *Sockets) readAvailable(conn *connection, nc *nbio.Conn, buf []byte, client bool) (closeErr error) {
	conn.readMutex.Lock()
	defer conn.readMutex.Unlock()
	for {
		size := len(buf)
		if client {
			limit := s.clientLimit()
			if conn.locallyClosed.Load() {
				return nil // nbio reports a close even if data before it is unread
			}
			if conn.isBackpressured(limit) {
				s.delivery.stats.pausedReads.Add(1)
				return nil
			}
			size = min(size, int(limit))
		}
		n, err := nc.Read(buf[:size])
		switch {
		case n > 0:
			conn.unreadSince.CompareAndSwap(0, elapsed())
			conn.bytesRead += int64(n)
			received := queuedEvent{kind: dataReceived, size: n}
			if client && s.running.Load() {
				received.unreadFor = sinceLastReceive(nc)
				received.arrivedAt = elapsed() - received.unreadFor
			}
			s.enqueue(conn, received, buf[:n])
		case err == nil:
			return errPeerClosed
		case errors.Is(err, syscall.EAGAIN):
			conn.unreadSince.Store(0)
			return nil
		case !errors.Is(err, syscall.EINTR):
			return err
		}
	}
}

// clientLimit returns how many bytes of one client may be undelivered now.
func (s *Sockets) clientLimit() int64 {
	shared := s.sharedBytes.Load()
	if s.waitingBytes.Load() >= shared {
		return minQueuedBytesPerClient
	}
	clients := max(s.delivery.waitingClients.Load(), 1)
	return max(minQueuedBytesPerClient, min(maxQueuedBytesPerClient, shared/clients))
}

// isBackpressured reports whether reading must stop because limit bytes are undelivered; markDelivered then resumes it.
// The second comparison prevents a lost wakeup: either it sees a delivery that happened after the first one, or
// markDelivered sees the backpressured flag.
func (c *connection) isBackpressured(limit int64) bool {
	if c.bytesRead-c.bytesDelivered.Load() < limit {
		return false
	}
	c.backpressured.Store(true)
	return c.bytesRead-c.bytesDelivered.Load() >= limit
}

// markDelivered counts an event's bytes as delivered and resumes reading if it had stopped. Reading resumes on a new
// goroutine, which ignores the error to close with: the poller sees the close as well.
func (s *Sockets) markDelivered(e queuedEvent) {
	conn := s.connections[e.connID]
	if conn == nil || e.size == 0 {
		return
	}
	conn.bytesDelivered.Add(int64(e.size))
	if conn.backpressured.CompareAndSwap(true, false) {
		go s.resumeReading(conn)
	}
}

// readBuffers holds buffers of resumed readers.
var readBuffers = sync.Pool{New: func() any { return new([resumedReadSize]byte) }}

// resumeReading reads what a client has sent while it was backpressured.
func (s *Sockets) resumeReading(conn *connection) {
	defer logging.LogPanic("resumed reader")
	buf := readBuffers.Get().(*[resumedReadSize]byte)
	defer readBuffers.Put(buf)
	_ = s.readAvailable(conn, conn.nbConn.Load(), buf[:], true)
}
