package sockets

import (
	"errors"
	"runtime"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
)

// This file is the poller's side: what nbio's goroutines read and how it is queued for the reducer.

// readSize is how many bytes the poller takes at a time.
const readSize = 32 << 10

// processStart is when this package was loaded, by the monotonic clock.
var processStart = time.Now()

// elapsed is the process's own time, nanoseconds.
func elapsed() int64 { return int64(time.Since(processStart)) }

// maxQueuedBytes is how many bytes may wait for the reducer; past that the poller waits, and then the kernel.
const maxQueuedBytes = 4 << 20

// errPeerClosed ends a connection whose other side has ended it, behind all that it sent. The poller's own io.EOF may as
// well stand for a reset.
var errPeerClosed = errors.New("the other side has ended the connection")

// maxQueuedBytesPerClient is how many bytes of one client may wait: one that sends without a pause would hold up the poller, and all
// others.
const maxQueuedBytesPerClient = 64 << 10

// eventBatch is what waits for the reducer: events, and the bytes that they tell of, in order.
type eventBatch struct {
	events   []queuedEvent
	bytes    []byte
	accepted []*connection
}

// eventKind tells which of the limiter's events a queuedEvent becomes.
type eventKind uint8

const (
	clientAccepted eventKind = iota
	connected
	dataReceived
	connClosed
)

// queuedEvent is an event of one connection that waits for the reducer. It becomes one of the limiter's events as it
// is delivered.
type queuedEvent struct {
	kind   eventKind
	connID limiter.ConnID
	size   int // bytes, of dataReceived
	// arrivedAt is when the last of these bytes came from a client to this machine, by elapsed; 0 where it does not matter.
	arrivedAt int64
	reason    limiter.CloseReason // of connClosed
}

// deliver tells the limiter of the event.
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

// readLoop reads what has come, to the end where it has come as well: the reducer then learns of a client's bytes and of
// its leaving together. What comes on a connection that was left is never read: the client may send it again
// elsewhere. Nor is what a client that has gone sent past mostOfOne: the poller closes a connection on the word that
// it ends, whatever is unread.
func (s *Sockets) readLoop(conn *connection, nc *nbio.Conn, buf []byte) {
	defer logging.LogPanic("poller")
	closeErr := s.readAvailable(conn, nc, buf, s.isClient(conn))
	if closeErr != nil {
		_ = nc.CloseWithError(closeErr)
	}
	// The poller would go to sleep in the kernel next and hold the one thread for Go code until the runtime
	// notices; so the reducer goes first.
	runtime.Gosched()
}

func (s *Sockets) readAvailable(conn *connection, nc *nbio.Conn, buf []byte, client bool) (closeErr error) {
	conn.readMutex.Lock()
	defer conn.readMutex.Unlock()
	for {
		if client && (conn.locallyClosed.Load() || conn.isBackpressured()) {
			return nil // its end is seen apart from what was not read
		}
		n, err := nc.Read(buf)
		switch {
		case n > 0:
			conn.bytesRead += int64(n)
			arrivedAt := int64(0)
			if client && s.running.Load() {
				arrivedAt = elapsed() - sinceLastReceive(nc)
			}
			s.enqueue(conn, queuedEvent{kind: dataReceived, size: n, arrivedAt: arrivedAt}, buf[:n])
		case err == nil:
			return errPeerClosed
		case errors.Is(err, syscall.EAGAIN):
			return nil
		case !errors.Is(err, syscall.EINTR):
			return err
		}
	}
}

// isBackpressured tells whether the reader is to stop: the reducer then has it go on. Either it finds that the reducer has been
// told of some since, or the reducer finds it stopped.
func (c *connection) isBackpressured() bool {
	if c.bytesRead-c.bytesDelivered.Load() < maxQueuedBytesPerClient {
		return false
	}
	c.backpressured.Store(true)
	return c.bytesRead-c.bytesDelivered.Load() >= maxQueuedBytesPerClient
}

// markDelivered notes that the reducer is told of an event now. What a client has sent meanwhile is read on a goroutine of
// its own, which closes nothing: the poller sees the end as well.
func (s *Sockets) markDelivered(e queuedEvent) {
	conn := s.connections[e.connID]
	if conn == nil || e.size == 0 {
		return
	}
	conn.bytesDelivered.Add(int64(e.size))
	if conn.backpressured.CompareAndSwap(true, false) {
		go func() {
			defer logging.LogPanic("resumed reader")
			_ = s.readAvailable(conn, conn.nbConn.Load(), make([]byte, readSize), true)
		}()
	}
}

// enqueue hands an event on a connection to the reducer.
func (s *Sockets) enqueue(conn *connection, e queuedEvent, data []byte) {
	s.mutex.Lock()
	e.connID = conn.id
	for len(s.queued.bytes) > maxQueuedBytes {
		s.batchTaken.Wait()
	}
	if e.kind == clientAccepted {
		s.queued.accepted = append(s.queued.accepted, conn)
	}
	s.queued.events = append(s.queued.events, e)
	s.queued.bytes = append(s.queued.bytes, data...)
	wasEmpty := len(s.queued.events) == 1
	s.mutex.Unlock()
	if wasEmpty {
		s.wake()
	}
}

// nextBatch gets what waits.
func (s *Sockets) nextBatch() {
	s.current.events, s.current.bytes, s.current.accepted, s.currentOffset = s.current.events[:0], s.current.bytes[:0], s.current.accepted[:0], 0
	if cap(s.current.bytes) > maxQueuedBytes {
		s.current.bytes = nil
	}
	s.mutex.Lock()
	s.current, s.queued = s.queued, s.current
	s.mutex.Unlock()
	s.batchTaken.Broadcast()
	for _, conn := range s.current.accepted {
		s.connections[conn.id] = conn
	}
}

// hasQueued tells whether something has happened that the reducer has not been told.
func (s *Sockets) hasQueued() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.queued.events) > 0
}
