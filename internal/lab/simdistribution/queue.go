package simdistribution

import "container/heap"

// event is something that happens at a time.
type event struct {
	at       int64
	sequence int // of events at one time: as they were made
	run      func()
}

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

// queue runs events in the order of their times.
type queue struct {
	now       int64
	scheduled int
	events    events
}

// schedule makes something happen later.
func (q *queue) schedule(delay int64, run func()) {
	q.scheduled++
	heap.Push(&q.events, event{q.now + max(delay, 0), q.scheduled, run})
}

// runUntil runs all events up to a time.
func (q *queue) runUntil(at int64) {
	for len(q.events) > 0 && q.events[0].at <= at {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = at
}
