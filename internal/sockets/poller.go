package sockets

import (
	"errors"
	"runtime"
	"syscall"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/limiter"
)

// This file is the poller's side: what nbio's goroutines read and how it is queued for the reducer.

// pieces is how many bytes the poller takes at a time.
const pieces = 32 << 10

// mostWaiting is how many bytes may wait for the reducer; past that the poller waits, and then the kernel.
const mostWaiting = 4 << 20

// errInOrder ends a connection whose other side has ended it, behind all that it sent. The poller's own io.EOF may as
// well stand for a reset.
var errInOrder = errors.New("the other side has ended the connection")

// mostOfOne is how many bytes of one client may wait: one that sends without a pause would hold up the poller, and all
// others.
const mostOfOne = 64 << 10

// batch is what waits for the reducer: events, and the bytes that they tell of, in order.
type batch struct {
	events   []queuedEvent
	bytes    []byte
	accepted []*link
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
	conn   limiter.ConnID
	size   int                 // bytes, of dataReceived
	reason limiter.CloseReason // of connClosed
}

// deliver tells the limiter of the event.
func (e queuedEvent) deliver(now int64, l *limiter.Limiter) {
	switch e.kind {
	case clientAccepted:
		l.Step(now, limiter.ClientAccepted{Conn: e.conn})
	case connected:
		l.Step(now, limiter.Connected{Conn: e.conn})
	case dataReceived:
		l.Step(now, limiter.DataReceived{Conn: e.conn, Size: e.size})
	case connClosed:
		l.Step(now, limiter.ConnClosed{Conn: e.conn, Reason: e.reason})
	}
}

// pull reads what has come, to the end where it has come as well: the reducer then learns of a client's bytes and of
// its leaving together. What comes on a connection that was left is never read: the client may send it again
// elsewhere. Nor is what a client that has gone sent past mostOfOne: the poller closes a connection on the word that
// it ends, whatever is unread.
func (s *Sockets) pull(l *link, c *nbio.Conn, into []byte) {
	end := s.drain(l, c, into, s.client(l))
	if end != nil {
		_ = c.CloseWithError(end)
	}
	// The poller would go to sleep in the kernel next and hold the one thread for Go code until the runtime
	// notices; so the reducer goes first.
	runtime.Gosched()
}

func (s *Sockets) drain(l *link, c *nbio.Conn, into []byte, client bool) (end error) {
	l.reading.Lock()
	defer l.reading.Unlock()
	for {
		if client && (l.unasked.Load() || l.full()) {
			return nil // its end is seen apart from what was not read
		}
		n, err := c.Read(into)
		switch {
		case n > 0:
			l.posted += int64(n)
			s.post(l, queuedEvent{kind: dataReceived, size: n}, into[:n])
		case err == nil:
			return errInOrder
		case errors.Is(err, syscall.EAGAIN):
			return nil
		case !errors.Is(err, syscall.EINTR):
			return err
		}
	}
}

// full tells whether the reader is to stop: the reducer then has it go on. Either it finds that the reducer has been
// told of some since, or the reducer finds it stopped.
func (l *link) full() bool {
	if l.posted-l.told.Load() < mostOfOne {
		return false
	}
	l.stuffed.Store(true)
	return l.posted-l.told.Load() >= mostOfOne
}

// telling notes that the reducer is told of an event now. What a client has sent meanwhile is read on a goroutine of
// its own, which closes nothing: the poller sees the end as well.
func (s *Sockets) telling(e queuedEvent) {
	l := s.links[e.conn]
	if l == nil || e.size == 0 {
		return
	}
	l.told.Add(int64(e.size))
	if l.stuffed.CompareAndSwap(true, false) {
		go func() { _ = s.drain(l, l.conn.Load(), make([]byte, pieces), true) }()
	}
}

// post hands an event on a connection to the reducer.
func (s *Sockets) post(l *link, e queuedEvent, data []byte) {
	s.mutex.Lock()
	e.conn = l.id
	for len(s.next.bytes) > mostWaiting {
		s.drained.Wait()
	}
	if e.kind == clientAccepted {
		s.next.accepted = append(s.next.accepted, l)
	}
	s.next.events = append(s.next.events, e)
	s.next.bytes = append(s.next.bytes, data...)
	first := len(s.next.events) == 1
	s.mutex.Unlock()
	if first {
		select {
		case s.waking <- struct{}{}:
		default:
		}
	}
}

// take gets what waits.
func (s *Sockets) take() {
	s.now.events, s.now.bytes, s.now.accepted, s.read = s.now.events[:0], s.now.bytes[:0], s.now.accepted[:0], 0
	if cap(s.now.bytes) > mostWaiting {
		s.now.bytes = nil
	}
	s.mutex.Lock()
	s.now, s.next = s.next, s.now
	s.mutex.Unlock()
	s.drained.Broadcast()
	for _, l := range s.now.accepted {
		s.links[l.id] = l
	}
}

// waits tells whether something has happened that the reducer has not been told.
func (s *Sockets) waits() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.next.events) > 0
}
