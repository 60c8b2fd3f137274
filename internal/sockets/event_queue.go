package sockets

// This file holds the queue between the goroutines that read from connections and the reducer, which takes it in batches.

// maxQueuedBytes is how many received bytes may wait for the reducer. Above it enqueue blocks, so the poller stops
// reading and the kernel's receive buffers fill up.
const maxQueuedBytes = 4 << 20

// eventBatch is a queue of events for the reducer, with the received bytes of all of them, in order.
type eventBatch struct {
	events      []queuedEvent
	bytes       []byte
	accepted    []*connection // those of the clientAccepted events, to be added to Sockets.connections
	undelivered int           // events that wait for their clients' turns; used by the reducer only
	held        bool          // it was taken and is not released; used by the reducer only
}

const (
	// maxSpareBatches is how many delivered batches are kept for reuse, and maxSpareBytes the size of the data buffers
	// with which they are.
	maxSpareBatches = 8
	maxSpareBytes   = 256 << 10
)

// emptyBatch returns an empty batch, with the memory of an earlier one if there is any.
func (d *delivery) emptyBatch() *eventBatch {
	last := len(d.spareBatches) - 1
	if last < 0 {
		return &eventBatch{}
	}
	b := d.spareBatches[last]
	d.spareBatches = d.spareBatches[:last]
	b.events, b.bytes, b.accepted = b.events[:0], b.bytes[:0], b.accepted[:0]
	return b
}

// enqueue queues an event on a connection, with the data received, and wakes the reducer if the queue was empty. It
// blocks while more than maxQueuedBytes wait.
func (s *Sockets) enqueue(conn *connection, e queuedEvent, data []byte) {
	s.mutex.Lock()
	e.connID = conn.id
	e.client = conn.listener != nil
	if s.waitingBytes.Load() > maxQueuedBytes {
		s.delivery.stats.blockedReads.Add(1)
	}
	for s.waitingBytes.Load() > maxQueuedBytes {
		s.bytesReleased.Wait()
	}
	s.waitingBytes.Add(int64(len(data)))
	if e.kind == clientAccepted {
		s.queued.accepted = append(s.queued.accepted, conn)
	}
	s.queued.events = append(s.queued.events, e)
	s.queued.bytes = append(s.queued.bytes, data...)
	wasEmpty := len(s.queued.events) == 1
	s.delivery.eventsQueued.Store(true)
	s.mutex.Unlock()
	if wasEmpty {
		s.wake()
	}
}

// nextBatch makes the queued events the current batch.
func (s *Sockets) nextBatch() {
	if s.current.undelivered == 0 {
		s.release(s.current)
	}
	empty := s.delivery.emptyBatch()
	s.mutex.Lock()
	s.current, s.queued = s.queued, empty
	s.delivery.eventsQueued.Store(false)
	s.mutex.Unlock()
	s.current.held = true
	for _, conn := range s.current.accepted {
		s.connections[conn.id] = conn
	}
}

// release makes room for further received bytes once a batch is delivered. It keeps the batch for reuse.
func (s *Sockets) release(b *eventBatch) {
	if !b.held {
		return
	}
	b.held = false
	if len(s.delivery.spareBatches) < maxSpareBatches && cap(b.bytes) <= maxSpareBytes {
		s.delivery.spareBatches = append(s.delivery.spareBatches, b)
	}
	s.mutex.Lock()
	s.waitingBytes.Add(-int64(len(b.bytes)))
	s.mutex.Unlock()
	s.bytesReleased.Broadcast()
}

// hasQueued reports whether events wait for the reducer.
func (s *Sockets) hasQueued() bool {
	if s.delivery.clientsWait() {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.queued.events) > 0
}
