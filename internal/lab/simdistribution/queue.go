package simdistribution

import "container/heap"

// event is something that happens at a time.
type event struct {
	at    int64
	order int // of events at one time: as they were made
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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
	now    int64
	made   int
	events events
}

// after makes something happen later.
func (q *queue) after(wait int64, run func()) {
	q.made++
	heap.Push(&q.events, event{q.now + max(wait, 0), q.made, run})
}

// until runs all events up to a time.
func (q *queue) until(at int64) {
	for len(q.events) > 0 && q.events[0].at <= at {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = at
}
