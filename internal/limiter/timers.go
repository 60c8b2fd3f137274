package limiter

import "container/heap"

// timer runs something at a time.
type timer struct {
	at, order int64
	run       func()
	index     int // in the heap, -1 once it is out of it
}

// timerQueue holds the timers that have not run, the next one first.
type timerQueue struct {
	heap    timerHeap
	created int64 // timers that were ever made; of two at one time the one made first runs first
}

// cancel takes a timer back that nothing waits for any more: each that runs wakes the process. nil and one that has
// run are fine.
func (q *timerQueue) cancel(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.heap, t.index)
	}
}

// add makes a timer.
func (q *timerQueue) add(at int64, run func()) *timer {
	q.created++
	t := &timer{at: at, order: q.created, run: run}
	heap.Push(&q.heap, t)
	return t
}

// next is when the next timer is due. There is always one: the maintenance's.
func (q *timerQueue) next() int64 { return q.heap[0].at }

// popDue takes out the next timer that is due, nil for none.
func (q *timerQueue) popDue(now int64) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer)
}

// timerHeap is a heap of timers by their times.
type timerHeap []*timer

// Len is a method of heap.Interface, as are Less, Swap, Push and Pop.
func (h timerHeap) Len() int { return len(h) }

// Less puts the earlier timer first.
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

// schedule has something run at a time.
func (l *Limiter) schedule(at int64, run func()) *timer { return l.timers.add(at, run) }

// armTimer asks the sockets for the next timer's time.
func (l *Limiter) armTimer() {
	l.effects.SetTimer(max(l.timers.next(), l.suspension.timersBlockedUntil))
}

// runTimers runs the timers that are due, unless the process has just stood still: what has come meanwhile is read
// first.
func (l *Limiter) runTimers() {
	if l.now < l.suspension.timersBlockedUntil {
		return
	}
	for t := l.timers.popDue(l.now); t != nil; t = l.timers.popDue(l.now) {
		t.run()
		l.deliverResults()
	}
}

// SetTimer is an effect of the controller.
func (l *Limiter) SetTimer(at, token int64) {
	l.schedule(at, func() { l.controller.TimerFired(l.now, token) })
}
