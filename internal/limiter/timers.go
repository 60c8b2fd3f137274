package limiter

import "container/heap"

// maxStoppedTimers is how many stopped timers the heap keeps if fewer timers are pending.
const maxStoppedTimers = 4096

// timer calls a function at a time.
type timer struct {
	at, order int64
	run       func() // nil once it is stopped
	index     int    // in the heap, -1 once it has fired or was cancelled
}

// timerQueue holds the pending timers, the next one first.
type timerQueue struct {
	heap    timerHeap
	created int64            // timers created so far; of two for the same time the one created first fires first
	stopped int              // stopped timers in the heap
	byToken map[int64]*timer // those of the controller
}

// cancel removes a timer, so that it does not wake the process. It does nothing if the timer is nil or no longer
// pending.
func (q *timerQueue) cancel(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.heap, t.index)
	}
}

// stop makes a timer do nothing. It does nothing if the timer is nil or no longer pending. The timer stays in the heap
// until it is due, as removing each one costs more, but at most maxStoppedTimers and as many as are pending do.
func (q *timerQueue) stop(t *timer) {
	if t == nil || t.index < 0 || t.run == nil {
		return
	}
	t.run = nil
	q.stopped++
	q.limitStopped()
}

// limitStopped removes all stopped timers from the heap if there are too many.
func (q *timerQueue) limitStopped() {
	if q.stopped <= max(maxStoppedTimers, len(q.heap)/2) {
		return
	}
	pending := q.heap[:0]
	for _, t := range q.heap {
		t.index = -1
		if t.run != nil {
			t.index = len(pending)
			pending = append(pending, t)
		}
	}
	clear(q.heap[len(pending):])
	q.heap = pending
	q.stopped = 0
	heap.Init(&q.heap)
}

// add creates a timer.
func (q *timerQueue) add(at int64, run func()) *timer {
	q.created++
	t := &timer{at: at, order: q.created, run: run}
	heap.Push(&q.heap, t)
	return t
}

// next is when the next timer is due. There is always one, that of maintain.
func (q *timerQueue) next() int64 { return q.heap[0].at }

// popDue removes and returns the next timer that is due, nil if none is.
func (q *timerQueue) popDue(now int64) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	t := heap.Pop(&q.heap).(*timer)
	if t.run == nil {
		q.stopped--
	}
	q.limitStopped()
	return t
}

// timerHeap implements heap.Interface, ordered by time.
type timerHeap []*timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less orders timers by time, and by creation at the same time.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

// Swap exchanges two timers.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a timer; heap.Push calls it.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last timer; heap.Pop calls it.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// schedule calls a function at a time.
func (l *Limiter) schedule(at int64, run func()) *timer { return l.timers.add(at, run) }

// armTimer sets the timer of the sockets for the next timer here.
func (l *Limiter) armTimer() {
	l.effects.SetTimer(max(l.timers.next(), l.suspension.timersBlockedUntil))
}

// runTimers runs the timers that are due, except right after a suspension, when received data is read first.
func (l *Limiter) runTimers() {
	if l.now < l.suspension.timersBlockedUntil {
		return
	}
	for t := l.timers.popDue(l.now); t != nil; t = l.timers.popDue(l.now) {
		if t.run != nil {
			t.run()
		}
		l.deliverResults()
	}
}

// SetTimer implements choice.Effects.
func (l *Limiter) SetTimer(at, token int64) {
	if l.timers.byToken == nil {
		l.timers.byToken = map[int64]*timer{}
	}
	l.timers.byToken[token] = l.schedule(at, func() {
		delete(l.timers.byToken, token)
		l.controller.TimerFired(l.now, token)
	})
}

// StopTimer implements choice.Effects.
func (l *Limiter) StopTimer(token int64) {
	l.timers.stop(l.timers.byToken[token])
	delete(l.timers.byToken, token)
}
