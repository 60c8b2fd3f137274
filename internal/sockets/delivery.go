package sockets

import (
	"runtime"
	"sync/atomic"

	"ospreycroft/internal/limiter"
)

// This file delivers queued events to the reducer. Thousands of commands may be queued, so events from servers, the
// counter and discovery go first, clients take turns, and what comes or becomes due meanwhile is not kept waiting. A
// client that has just sent something goes before those that have had a turn already, so that clients which send at full
// speed delay only each other.

const (
	// clientTurnBytes is how many bytes of one client are delivered before the next client's turn.
	clientTurnBytes = 4 << 10
	// maxTimerDelay is how late timers may be before they go before clients' events, nanoseconds. Otherwise they run
	// after these, so that events that have come already are known to them.
	maxTimerDelay = 1e6
	// maxHold is how long the reducer works before it lets the poller run, nanoseconds. With a single processor
	// (GOMAXPROCS=1) the Go scheduler may otherwise leave a poller that has returned from the kernel waiting for seconds:
	// it looks at the global run queue, where the poller is, only after many runs of other goroutines.
	maxHold = 1e6
)

// delivery is the state of the delivery of events.
type delivery struct {
	fresh        fifo[*connection] // clients with undelivered events that have had no turn in this round
	waiting      fifo[*connection] // other clients with undelivered events
	round        int64             // a round gives each of the waiting clients one turn; the first is 1
	turnsLeft    int               // in this round
	spareBatches []*eventBatch     // memory for further batches
	now          int64             // the latest reading of the limiter's clock
	yieldedAt    int64             // when the reducer last let other goroutines run
	stats        reducerStats
	// The goroutines that read and queue events use these as well.
	backlogged     atomic.Bool  // clients wait for their turns
	eventsQueued   atomic.Bool  // Sockets.queued may hold events
	waitingClients atomic.Int64 // clients that waited for their turns when events were last taken
}

// pendingEvent is a client's event that is not delivered completely.
type pendingEvent struct {
	event  queuedEvent // its size is what is left
	batch  *eventBatch
	offset int // of the rest of its data in the batch's bytes
}

// closedChannel is always ready to receive from.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// clientsWait reports whether clients wait for their turns.
func (d *delivery) clientsWait() bool { return d.fresh.len()+d.waiting.len() > 0 }

// ready returns a channel that can be received from while clients wait for their turns.
func (d *delivery) ready() <-chan struct{} {
	if d.clientsWait() {
		return closedChannel
	}
	return nil
}

// yield lets other goroutines run if the reducer has run for maxHold. If clients wait, the kernel's timer wakes the poller
// maxHold later: the poller may block in the kernel and keep the only Go processor.
func (s *Sockets) yield() {
	d := &s.delivery
	if d.now-d.yieldedAt < maxHold {
		return
	}
	if d.clientsWait() {
		s.wakeup.set(d.now+maxHold, maxHold)
	}
	runtime.Gosched()
	d.yieldedAt = d.now
}

// takeEvents takes the queued events. It delivers those that are not from clients, and has the others' clients wait for
// their turns.
func (s *Sockets) takeEvents(clock func() int64, l *limiter.Limiter) {
	if !s.delivery.eventsQueued.Load() {
		return
	}
	s.nextBatch()
	batch := s.current
	s.delivery.stats.batchTaken(len(batch.bytes))
	offset := 0
	for _, e := range batch.events {
		if conn := s.connections[e.connID]; e.client && conn != nil {
			s.addPending(conn, pendingEvent{e, batch, offset})
		} else {
			s.deliverEvent(e, batch.bytes[offset:offset+e.size], clock, l)
		}
		offset += e.size
	}
	if batch.undelivered == 0 {
		s.release(batch)
	}
	s.delivery.waitingClients.Store(int64(s.delivery.fresh.len() + s.delivery.waiting.len()))
}

// addPending appends an event to those of its client, which waits for its turn from then on.
func (s *Sockets) addPending(conn *connection, e pendingEvent) {
	d := &s.delivery
	if conn.pending.len() == 0 {
		if conn.lastTurn == d.round {
			d.waiting.push(conn)
		} else {
			d.fresh.push(conn)
		}
	}
	conn.pending.push(e)
	e.batch.undelivered++
}

// deliverTurns gives waiting clients their turns for maxHold, or until none waits.
func (s *Sockets) deliverTurns(clock func() int64, l *limiter.Limiter) {
	end := s.delivery.now + maxHold
	for s.delivery.clientsWait() && !s.halted.Load() {
		conn := s.delivery.nextClient()
		s.deliverTurn(conn, clock, l)
		if conn.pending.len() > 0 {
			s.delivery.waiting.push(conn)
		}
		s.takeEvents(clock, l)
		if s.timerAt+maxTimerDelay <= s.delivery.now {
			s.deliverTimers(clock, l)
		}
		if s.delivery.now >= end {
			return
		}
	}
	s.delivery.round++
	s.delivery.turnsLeft = 0
}

// nextClient removes and returns the client whose turn it is. There must be one.
func (d *delivery) nextClient() (conn *connection) {
	if d.fresh.len() > 0 {
		conn = d.fresh.pop()
	} else {
		if d.turnsLeft == 0 {
			d.round++
			d.turnsLeft = d.waiting.len()
		}
		d.turnsLeft--
		conn = d.waiting.pop()
	}
	conn.lastTurn = d.round
	return conn
}

// deliverTurn delivers a client's next event, or a part of its data.
func (s *Sockets) deliverTurn(conn *connection, clock func() int64, l *limiter.Limiter) {
	next := conn.pending.front()
	part := *next
	if part.event.size > clientTurnBytes {
		part.event.size = clientTurnBytes
		next.event.size -= clientTurnBytes
		next.offset += clientTurnBytes
	} else {
		conn.pending.pop()
		part.batch.undelivered--
	}
	s.deliverEvent(part.event, part.batch.bytes[part.offset:part.offset+part.event.size], clock, l)
	if part.batch.undelivered == 0 {
		s.release(part.batch)
	}
}

// deliverEvent delivers an event with its data.
func (s *Sockets) deliverEvent(e queuedEvent, data []byte, clock func() int64, l *limiter.Limiter) {
	s.data = data
	s.markDelivered(e)
	s.delivery.stats.dataWaited(e)
	began := clock()
	s.stepBegan = elapsed()
	e.deliver(began, l)
	s.delivery.now = clock()
	s.delivery.stats.stepDone(e.kind.String(), s.delivery.now-began)
}

// step passes an event that is not a connection's to the limiter; now is the limiter's time.
func (s *Sockets) step(now int64, l *limiter.Limiter, event limiter.Event) {
	s.stepBegan = elapsed()
	l.Step(now, event)
}

// deliverTimers tells the limiter that its timers are due.
func (s *Sockets) deliverTimers(clock func() int64, l *limiter.Limiter) {
	began := clock()
	s.delivery.stats.timersDue(began - s.timerAt)
	s.step(began, l, limiter.TimersDue{})
	s.delivery.now = clock()
	s.delivery.stats.stepDone(timersDueName, s.delivery.now-began)
}
