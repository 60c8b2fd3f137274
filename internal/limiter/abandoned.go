package limiter

import "ospreycroft/choice"

// abandonedRequests remembers the ids of requests whose clients have left and that may have run, so that such an id does
// not run again: a client that saw its connection end may send its request on another. The zero value is empty.
type abandonedRequests struct {
	until map[string]int64 // by id, the time until which it is remembered, nanoseconds
	order []string         // the ids, the one to be forgotten first at the front
}

// len returns how many ids are held.
func (a *abandonedRequests) len() int { return len(a.order) }

// contains reports whether an id is remembered at now.
func (a *abandonedRequests) contains(now int64, id string) bool { return now < a.until[id] }

// add remembers an id until a time that is not before those of the ids added earlier. It drops the ids whose time is over
// at now, and the oldest if the memory for them is full; it returns how many of these were dropped before their time.
func (a *abandonedRequests) add(now int64, id string, until int64, budget choice.MemoryBudget) (dropped int) {
	for len(a.order) > 0 && (now >= a.until[a.order[0]] || !budget.KeepsAbandonedID(len(a.order))) {
		if now < a.until[a.order[0]] {
			dropped++
		}
		delete(a.until, a.order[0])
		a.order = a.order[1:]
	}
	if a.contains(now, id) {
		return dropped
	}
	if a.until == nil {
		a.until = map[string]int64{}
	}
	a.until[id] = until
	a.order = append(a.order, id)
	return dropped
}

// rememberAbandoned remembers the id of a request whose client has left, if another run of it could do harm.
func (l *Limiter) rememberAbandoned(req *request) {
	class := l.settings.Classes[req.class]
	if req.state != stateClientGone || class == nil || class.Idempotency == choice.Idempotent || !req.mayHaveRun() {
		return
	}
	until := l.now + choice.AbandonedIDLifetime(l.settings.LongestDeadline)
	l.stats.memory.abandonedIDs += l.requests.abandoned.add(l.now, req.id, until, l.memory())
}

// mayHaveRun reports whether a server may have run one of the request's attempts.
func (r *request) mayHaveRun() bool {
	for _, att := range r.attempts {
		if att.endOffset > 0 && !att.neverRan {
			return true
		}
	}
	return false
}
