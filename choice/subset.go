package choice

import (
	"cmp"
	"math"
	"slices"
)

const (
	// limitersPerServer is how many limiters share a server.
	limitersPerServer = 16
	// minSubsetSize is the number of servers that a limiter uses at least, where there are so many.
	minSubsetSize = 8
)

// serverSet holds the servers of the endpoint list on a ring, and knows which of them are this limiter's subset. Each
// connection to a server costs a handshake, and what a limiter learns of a server that it seldom meets comes late: so
// among many limiters each keeps to a few servers, enough of them that a server's load is the sum over many limiters.
type serverSet struct {
	settings     *Settings
	slowStart    *slowStart
	repeatable   bool // some class's requests may run again
	byID         map[string]*server
	ring         []*server // in the order of the ring, from this limiter's place on
	ringOutdated bool      // servers came or went since the ring was sorted
	index        serverIndex
}

func newServerSet(settings *Settings, slowStart *slowStart) serverSet {
	return serverSet{
		settings:   settings,
		slowStart:  slowStart,
		repeatable: settings.hasRepeatableClass(),
		byID:       map[string]*server{},
	}
}

// count is the number of servers, whatever their state.
func (x *serverSet) count() int { return len(x.ring) }

// ready is the number of servers that the list gives as ready.
func (x *serverSet) ready() int { return x.index.ready }

// add takes in a server that was not listed before.
func (x *serverSet) add(s *server) {
	x.byID[s.id] = s
	x.ring = append(x.ring, s)
	x.ringOutdated = true
}

// markAllGone begins to take in a complete list: what it does not name is gone.
func (x *serverSet) markAllGone() {
	for _, s := range x.ring {
		s.state = EndpointGone
	}
}

// reindex has the index take in a change of a server.
func (x *serverSet) reindex(now int64, s *server) { x.index.update(now, x.settings.SlowStartWindow, s) }

// reindexAll does so for all servers.
func (x *serverSet) reindexAll(now int64) {
	for _, s := range x.ring {
		x.reindex(now, s)
	}
}

// sortRing puts the servers in the order of the ring, from this limiter's place on. Places go by rank: each server is
// near equally many limiters, in steps of the golden section, so that limiters next to each other in number, which
// share customers, stand far apart. A change of the list moves a limiter by a server or two.
func (x *serverSet) sortRing() {
	slices.SortFunc(x.ring, byRingHash)
	_, place := math.Modf(float64(max(x.settings.Position, 0)) * math.Phi)
	start := int(place * float64(len(x.ring)))
	x.ring = append(slices.Clone(x.ring[start:]), x.ring[:start]...)
	x.ringOutdated = false
	x.number()
}

// number gives the servers their places in the order of the ring.
func (x *serverSet) number() {
	for i, s := range x.ring {
		s.ringIndex = i
	}
}

// byRingHash orders servers on the ring of all limiters.
func byRingHash(a, b *server) int {
	return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.id, b.id))
}

// subsetSize is the number of servers that this limiter's requests go to.
func (x *serverSet) subsetSize() int {
	if x.settings.Position < 0 { // all limiters that do not know their place would have the same subset
		return len(x.ring)
	}
	return max(minSubsetSize, (limitersPerServer*len(x.ring)+x.settings.Limiters-1)/x.settings.Limiters)
}

// mayReceive tells whether a server may get the request at all, whether it has capacity or not.
func (x *serverSet) mayReceive(now int64, q *request, s *server) bool {
	if s.state != EndpointReady || s.health.state == ejected {
		return false
	}
	if s.health.state == halfOpen && (len(s.attempts) > 0 || q.class.Idempotency == NonIdempotent && x.repeatable) {
		return false // one request at a time, and one that may run again where there are such
	}
	for _, earlier := range q.attempts {
		if earlier.server == s || !mayRunAfter(now, earlier, s) {
			return false
		}
	}
	return true
}

// available sums the units in flight at the servers that may get the request, and the slow-start weight of these
// servers. It looks at those in use one by one; the others are all available, except where only some servers drop a
// repeat.
func (x *serverSet) available(now int64, q *request) (inFlight, capacity float64) {
	x.index.finishWarming(now, x.settings.SlowStartWindow)
	among := x.index.active
	if q.class.Idempotency == IdempotentWithKey && q.mayHaveRun() {
		among = x.ring
	} else {
		capacity = x.idleCapacity(now, q)
	}
	for _, s := range among {
		if x.mayReceive(now, q, s) {
			inFlight += s.inFlight
			capacity += x.slowStart.weight(now, s)
		}
	}
	return inFlight, capacity
}

// idleCapacity is the slow-start weight of the servers that have nothing in flight and that the request was not sent
// to yet.
func (x *serverSet) idleCapacity(now int64, q *request) float64 {
	warming, age := x.index.warmingAge(now)
	capacity := float64(x.index.idle) + float64(warming)*x.slowStart.weightAt(age)
	for _, earlier := range q.attempts {
		if earlier.server.group == groupIdle || earlier.server.group == groupWarming {
			capacity -= x.slowStart.weight(now, earlier.server)
		}
	}
	return capacity
}

// forgetFinished lets go of servers that are gone: a fleet that is replaced again and again would fill the memory.
func (x *serverSet) forgetFinished() {
	if !x.index.hasFinished() {
		return
	}
	for _, s := range slices.Clone(x.index.gone) {
		if s.finished() {
			x.index.forget(s)
			delete(x.byID, s.id)
		}
	}
	x.ring = slices.DeleteFunc(x.ring, (*server).finished)
	x.ringOutdated = true
	x.number()
}

// eligibleServers lists the servers that have capacity for the request, if there is capacity in all: among many
// limiters one request at each server is too much already. The list holds until the next call.
func (c *Controller) eligibleServers(now int64, q *request) []*server {
	inFlight, capacity := c.servers.available(now, q)
	if !c.concurrency.admits(now, q, inFlight, capacity) {
		return nil
	}
	eligible := c.candidates[:0]
	seen, subsetSize := 0, c.servers.subsetSize()
	for _, s := range c.servers.ring {
		if !c.servers.mayReceive(now, q, s) {
			continue
		}
		seen++
		if seen > subsetSize && len(eligible) > 0 {
			break // servers beyond the subset come in one by one, where no other has capacity
		}
		if c.concurrency.serverHasCapacity(now, s, q.units, c.slowStart.weight(now, s)) {
			eligible = append(eligible, s)
		}
	}
	c.candidates = eligible
	return eligible
}

// pickServer is the server that gets the request's next attempt, nil for none.
func (c *Controller) pickServer(now int64, q *request) *server {
	return c.rotation.next(now, c.eligibleServers(now, q), q.units)
}
