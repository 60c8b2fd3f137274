package simdistribution

import "container/heap"

// event is a function that runs at a time of the virtual clock, in nanoseconds.
type event struct {
	at       int64
	sequence int // orders events of the same time by when they were scheduled
	run      func()
}

// events implements heap.Interface; the earliest event comes first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// queue is a virtual clock that runs scheduled events in the order of their times.
type queue struct {
	now       int64
	scheduled int // number of events scheduled so far
	events    events
}

// schedule calls run after delay. A negative delay counts as 0.
func (q *queue) schedule(delay int64, run func()) {
	q.scheduled++
	heap.Push(&q.events, event{q.now + max(delay, 0), q.scheduled, run})
}

// runUntil runs all events up to and including a time and sets the clock to it.
func (q *queue) runUntil(at int64) {
	for len(q.events) > 0 && q.events[0].at <= at {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = at
}
