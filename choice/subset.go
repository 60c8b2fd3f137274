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
	settings             *Settings
	slowStart            *slowStart
	retryableClassExists bool // some class's requests may run again
	byID                 map[string]*server
	ring                 []*server // in the order of the ring, from this limiter's place on
	ringOutdated         bool      // servers came or went since the ring was sorted
	index                serverIndex
}

func newServerSet(settings *Settings, slowStart *slowStart) serverSet {
	return serverSet{
		settings:             settings,
		slowStart:            slowStart,
		retryableClassExists: settings.hasRetryableClass(),
		byID:                 map[string]*server{},
	}
}

// count is the number of servers, whatever their state.
func (set *serverSet) count() int { return len(set.ring) }

// ready is the number of servers that the list gives as ready.
func (set *serverSet) ready() int { return set.index.ready }

// add takes in a server that was not listed before.
func (set *serverSet) add(s *server) {
	set.byID[s.id] = s
	set.ring = append(set.ring, s)
	set.ringOutdated = true
}

// markAllGone begins to take in a complete list: what it does not name is gone.
func (set *serverSet) markAllGone() {
	for _, s := range set.ring {
		s.state = EndpointGone
	}
}

// reindex has the index take in a change of a server.
func (set *serverSet) reindex(now int64, s *server) {
	set.index.update(now, set.settings.SlowStartWindow, s)
}

// reindexAll does so for all servers.
func (set *serverSet) reindexAll(now int64) {
	for _, s := range set.ring {
		set.reindex(now, s)
	}
}

// sortRing puts the servers in the order of the ring, from this limiter's place on. Places go by rank: each server is
// near equally many limiters, in steps of the golden section, so that limiters next to each other in number, which
// share customers, stand far apart. A change of the list moves a limiter by a server or two.
func (set *serverSet) sortRing() {
	slices.SortFunc(set.ring, compareByRingHash)
	_, fraction := math.Modf(float64(max(set.settings.Position, 0)) * math.Phi)
	start := int(fraction * float64(len(set.ring)))
	set.ring = append(slices.Clone(set.ring[start:]), set.ring[:start]...)
	set.ringOutdated = false
	set.updateRingIndexes()
}

// updateRingIndexes gives the servers their places in the order of the ring.
func (set *serverSet) updateRingIndexes() {
	for i, s := range set.ring {
		s.ringIndex = i
	}
}

// compareByRingHash orders servers on the ring of all limiters.
func compareByRingHash(a, b *server) int {
	return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.id, b.id))
}

// subsetSize is the number of servers that this limiter's requests go to.
func (set *serverSet) subsetSize() int {
	if set.settings.Position < 0 { // all limiters that do not know their place would have the same subset
		return len(set.ring)
	}
	return max(minSubsetSize, (limitersPerServer*len(set.ring)+set.settings.Limiters-1)/set.settings.Limiters)
}

// mayReceive tells whether a server may get the request at all, whether it has capacity or not.
func (set *serverSet) mayReceive(now int64, req *request, s *server) bool {
	if s.state != EndpointReady || s.health.state == ejected {
		return false
	}
	if s.health.state == halfOpen &&
		(len(s.attempts) > 0 || req.class.Idempotency == NonIdempotent && set.retryableClassExists) {
		return false // one request at a time, and one that may run again where there are such
	}
	for _, earlier := range req.attempts {
		if earlier.server == s || !mayRunAfter(now, earlier, s) {
			return false
		}
	}
	return true
}

// available sums the units in flight at the servers that may get the request, and the slow-start weight of these
// servers. It looks at those in use one by one; the others are all available, except where only some servers drop a
// repeat.
func (set *serverSet) available(now int64, req *request) (inFlight, capacity float64) {
	set.index.finishWarming(now, set.settings.SlowStartWindow)
	candidates := set.index.active
	if req.class.Idempotency == IdempotentWithKey && req.mayHaveRun() {
		candidates = set.ring
	} else {
		capacity = set.idleCapacity(now, req)
	}
	for _, s := range candidates {
		if set.mayReceive(now, req, s) {
			inFlight += s.inFlight
			capacity += set.slowStart.weight(now, s)
		}
	}
	return inFlight, capacity
}

// idleCapacity is the slow-start weight of the servers that have nothing in flight and that the request was not sent
// to yet.
func (set *serverSet) idleCapacity(now int64, req *request) float64 {
	warming, age := set.index.warmingAge(now)
	capacity := float64(set.index.idle) + float64(warming)*set.slowStart.weightAt(age)
	for _, earlier := range req.attempts {
		if earlier.server.group == groupIdle || earlier.server.group == groupWarming {
			capacity -= set.slowStart.weight(now, earlier.server)
		}
	}
	return capacity
}

// removeFinished lets go of servers that are gone: a fleet that is replaced again and again would fill the memory.
func (set *serverSet) removeFinished() {
	if !set.index.hasFinished() {
		return
	}
	for _, s := range slices.Clone(set.index.gone) {
		if s.finished() {
			set.index.deleteServer(s)
			delete(set.byID, s.id)
		}
	}
	set.ring = slices.DeleteFunc(set.ring, (*server).finished)
	set.ringOutdated = true
	set.updateRingIndexes()
}

// eligibleServers lists the servers that have capacity for the request, if there is capacity in all: among many
// limiters one request at each server is too much already. The list holds until the next call.
func (c *Controller) eligibleServers(now int64, req *request) []*server {
	inFlight, capacity := c.servers.available(now, req)
	if !c.concurrency.admits(now, req, inFlight, capacity) {
		return nil
	}
	eligible := c.candidates[:0]
	considered, subsetSize := 0, c.servers.subsetSize()
	for _, s := range c.servers.ring {
		if !c.servers.mayReceive(now, req, s) {
			continue
		}
		considered++
		if considered > subsetSize && len(eligible) > 0 {
			break // servers beyond the subset come in one by one, where no other has capacity
		}
		if c.concurrency.serverHasCapacity(now, s, req.units, c.slowStart.weight(now, s)) {
			eligible = append(eligible, s)
		}
	}
	c.candidates = eligible
	return eligible
}

// pickServer is the server that gets the request's next attempt, nil for none.
func (c *Controller) pickServer(now int64, req *request) *server {
	return c.rotation.next(now, c.eligibleServers(now, req), req.units)
}
