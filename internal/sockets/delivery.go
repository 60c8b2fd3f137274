package sockets

import (
	"runtime"
	"sync/atomic"

	"ospreycroft/internal/limiter"
)

// This file delivers a batch of events to the reducer. A batch may hold thousands of commands, so events from servers,
// the counter and discovery go first, clients take turns, and what has become due meanwhile is not kept waiting.

const (
	// clientTurnBytes is how many bytes of one client are delivered before the next client's turn.
	clientTurnBytes = 4 << 10
	// maxTimerDelay is how late timers may be before they interrupt a batch, nanoseconds. Otherwise they run after it, so
	// that events that have come already are known to them.
	maxTimerDelay = 1e6
	// maxHold is how long the reducer works before it lets the poller run, nanoseconds. With a single processor
	// (GOMAXPROCS=1) the Go scheduler may otherwise leave a poller that has returned from the kernel waiting for seconds:
	// it looks at the global run queue, where the poller is, only after many runs of other goroutines.
	maxHold = 1e6
)

// delivery is the state of the delivery of a batch.
type delivery struct {
	waiting      []*connection // clients with undelivered events, in the order of their turns
	spare        []*connection // memory for the next round
	interrupting eventBatch    // events of others, delivered in the middle of the batch
	yieldedAt    int64         // when the reducer last let other goroutines run
	stats        reducerStats
	// peerEventsQueued is true while Sockets.queued may hold events that are not from clients. It is set by the goroutines
	// that queue events; all else is used by the reducer only.
	peerEventsQueued atomic.Bool
}

// pendingEvent is a client's event in the current batch that is not delivered completely.
type pendingEvent struct {
	event  queuedEvent // its size is what is left
	offset int         // of the rest of its data in the batch's bytes
}

// deliverBatch delivers the current batch.
func (s *Sockets) deliverBatch(clock func() int64, l *limiter.Limiter) {
	offset := 0
	for _, e := range s.current.events {
		conn := s.connections[e.connID]
		switch {
		case e.taken:
		case !e.client || conn == nil:
			s.deliverEvent(e, offset, clock, l)
		default:
			if len(conn.pending) == 0 {
				s.delivery.waiting = append(s.delivery.waiting, conn)
			}
			conn.pending = append(conn.pending, pendingEvent{e, offset})
		}
		offset += e.size
	}
	for len(s.delivery.waiting) > 0 {
		s.deliverRound(clock, l)
	}
}

// deliverRound gives each waiting client one turn.
func (s *Sockets) deliverRound(clock func() int64, l *limiter.Limiter) {
	round := s.delivery.waiting
	s.delivery.waiting = s.delivery.spare[:0]
	for i, conn := range round {
		round[i] = nil
		if s.halted.Load() {
			conn.pending = nil
			continue
		}
		s.deliverTurn(conn, clock, l)
		if len(conn.pending) > 0 {
			s.delivery.waiting = append(s.delivery.waiting, conn)
		}
		s.deliverDue(clock, l)
	}
	s.delivery.spare = round
}

// deliverTurn delivers a client's next event, or a part of its data.
func (s *Sockets) deliverTurn(conn *connection, clock func() int64, l *limiter.Limiter) {
	next := &conn.pending[0]
	part := *next
	if part.event.size > clientTurnBytes {
		part.event.size = clientTurnBytes
		next.event.size -= clientTurnBytes
		next.offset += clientTurnBytes
	} else {
		conn.pending = conn.pending[1:]
		if len(conn.pending) == 0 {
			conn.pending = nil
		}
	}
	s.deliverEvent(part.event, part.offset, clock, l)
}

// deliverDue delivers what must not wait for the rest of the batch: timers that are late, and events that have come from
// servers, the counter and discovery.
func (s *Sockets) deliverDue(clock func() int64, l *limiter.Limiter) {
	if s.delivery.peerEventsQueued.Load() {
		s.takePeerEvents()
		offset := 0
		batch := s.current.bytes
		s.current.bytes = s.delivery.interrupting.bytes
		for _, e := range s.delivery.interrupting.events {
			s.deliverEvent(e, offset, clock, l)
			offset += e.size
		}
		s.current.bytes = batch
	}
	now := clock()
	s.delivery.yield(now)
	if s.timerAt+maxTimerDelay <= now {
		s.deliverTimers(clock, l)
	}
}

// yield lets other goroutines run if the reducer has run for maxHold.
func (d *delivery) yield(now int64) {
	if now-d.yieldedAt >= maxHold {
		runtime.Gosched()
		d.yieldedAt = now
	}
}

// takePeerEvents moves the events that are not from clients out of the queue. They stay there with their data, marked as
// taken.
func (s *Sockets) takePeerEvents() {
	s.delivery.interrupting.events = s.delivery.interrupting.events[:0]
	s.delivery.interrupting.bytes = s.delivery.interrupting.bytes[:0]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delivery.peerEventsQueued.Store(false)
	for ; s.queued.searched < len(s.queued.events); s.queued.searched++ {
		e := &s.queued.events[s.queued.searched]
		if !e.client {
			s.delivery.interrupting.events = append(s.delivery.interrupting.events, *e)
			s.delivery.interrupting.bytes = append(s.delivery.interrupting.bytes,
				s.queued.bytes[s.queued.searchedBytes:s.queued.searchedBytes+e.size]...)
			e.taken = true
		}
		s.queued.searchedBytes += e.size
	}
}

// deliverEvent delivers an event whose data begins at offset in the current batch's bytes.
func (s *Sockets) deliverEvent(e queuedEvent, offset int, clock func() int64, l *limiter.Limiter) {
	s.currentOffset = offset
	s.markDelivered(e)
	s.delivery.stats.dataWaited(e)
	began := clock()
	e.deliver(began, l)
	s.delivery.stats.stepDone(e.kind.String(), clock()-began)
}

// deliverTimers tells the limiter that its timers are due.
func (s *Sockets) deliverTimers(clock func() int64, l *limiter.Limiter) {
	now := clock()
	s.delivery.stats.timersDue(now - s.timerAt)
	l.Step(now, limiter.TimersDue{})
	s.delivery.stats.stepDone(timersDueName, clock()-now)
}
