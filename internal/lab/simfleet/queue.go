package simfleet

// event is a function that is scheduled for a time. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at, order int64
	run       func()
}

// queue runs all events of a fleet in order of their time. It is the fleet's clock too: nanoseconds since the run
// began.
type queue struct {
	now, lastOrder int64
	heap           []event
	steps          int64
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.order < o.order }

// at schedules an event; a time in the past means now.
func (q *queue) at(at int64, run func()) {
	q.lastOrder++
	q.heap = append(q.heap, event{max(at, q.now), q.lastOrder, run})
	h := q.heap
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// run runs all events up to a time, to which it then advances the clock.
func (q *queue) run(until int64) {
	for len(q.heap) > 0 && q.heap[0].at <= until {
		h := q.heap
		next := h[0]
		last := len(h) - 1
		h[0], h[last] = h[last], event{}
		h = h[:last]
		q.heap = h
		for i := 0; ; {
			least := i
			for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
				if h[child].before(h[least]) {
					least = child
				}
			}
			if least == i {
				break
			}
			h[i], h[least] = h[least], h[i]
			i = least
		}
		q.now = next.at
		q.steps++
		next.run()
	}
	q.now = max(q.now, until)
}
