package choice

import (
	"cmp"
	"math"
	"slices"
)

const (
	// limitersPerServer is how many limiters share a server.
	limitersPerServer = 16
	// minSubsetSize is the minimum number of servers in a limiter's subset, if there are that many.
	minSubsetSize = 8
)

// serverSet holds the servers of the endpoint list in ring order, and determines which of them form this limiter's
// subset. Each connection to a server costs a handshake, and a limiter learns late about a server that it seldom uses.
// So among many limiters each uses only a few servers, but enough that a server's load is the sum over many limiters.
type serverSet struct {
	settings             *Settings
	slowStart            *slowStart
	retryableClassExists bool // the requests of some class may run more than once
	byID                 map[string]*server
	ring                 []*server // in ring order, starting at this limiter's position
	ringOutdated         bool      // servers were added or removed since the ring was sorted
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

// count is the number of servers in any state.
func (set *serverSet) count() int { return len(set.ring) }

// ready is the number of servers listed as ready.
func (set *serverSet) ready() int { return set.index.ready }

// add adds a server that was not listed before.
func (set *serverSet) add(s *server) {
	set.byID[s.id] = s
	set.ring = append(set.ring, s)
	set.ringOutdated = true
}

// markAllGone prepares for a complete list: servers that it does not name are gone.
func (set *serverSet) markAllGone() {
	for _, s := range set.ring {
		s.state = EndpointGone
	}
}

// reindex updates the index after a change of a server.
func (set *serverSet) reindex(now int64, s *server) {
	set.index.update(now, set.settings.SlowStartWindow, s)
}

// reindexAll updates the index for all servers.
func (set *serverSet) reindexAll(now int64) {
	for _, s := range set.ring {
		set.reindex(now, s)
	}
}

// sortRing puts the servers in ring order, starting at this limiter's position. Positions go by rank, in steps of the
// golden ratio: each server is near equally many limiters, and limiters with neighbouring numbers, which share
// customers, are far apart. A change of the list moves a limiter by a server or two.
func (set *serverSet) sortRing() {
	slices.SortFunc(set.ring, compareByRingHash)
	_, fraction := math.Modf(float64(max(set.settings.Position, 0)) * math.Phi)
	start := int(fraction * float64(len(set.ring)))
	set.ring = append(slices.Clone(set.ring[start:]), set.ring[:start]...)
	set.ringOutdated = false
	set.updateRingIndexes()
}

// updateRingIndexes sets each server's position in ring order.
func (set *serverSet) updateRingIndexes() {
	for i, s := range set.ring {
		s.ringIndex = i
	}
}

// compareByRingHash orders servers on the ring of all servers.
func compareByRingHash(a, b *server) int {
	return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.id, b.id))
}

// subsetSize is the number of servers in this limiter's subset.
func (set *serverSet) subsetSize() int {
	if set.settings.Position < 0 { // all limiters without a position would have the same subset
		return len(set.ring)
	}
	return max(minSubsetSize, (limitersPerServer*len(set.ring)+set.settings.Limiters-1)/set.settings.Limiters)
}

// mayReceive reports whether the request may be sent to a server, regardless of the server's capacity.
func (set *serverSet) mayReceive(now int64, req *request, s *server) bool {
	if s.state != EndpointReady || s.health.state == ejected {
		return false
	}
	if s.health.state == halfOpen &&
		(len(s.attempts) > 0 || req.class.Idempotency == NonIdempotent && set.retryableClassExists) {
		return false // one request at a time, and only one that may run again if there are such classes
	}
	for _, earlier := range req.attempts {
		if earlier.server == s || !mayRunAfter(now, earlier, s) {
			return false
		}
	}
	return true
}

// available returns the units in flight at the servers that may receive the request, and the sum of these servers'
// slow-start weights. It visits servers in use one by one. The others may all receive the request, unless it has an
// idempotency key and may have run, since then only some servers would drop the repeat.
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

// idleCapacity is the sum of the slow-start weights of the servers that have nothing in flight and that the request has
// not been sent to.
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

// removeFinished removes the servers that are gone with nothing in flight. If they were kept, a fleet that is replaced
// repeatedly would fill the memory.
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

// eligibleServers returns the servers that have capacity for the request, none if the in-flight limit is reached: among
// many limiters, one request at each server can be too many. The slice is valid until the next call.
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
			break // servers beyond the subset are added one by one, if no other has capacity
		}
		if c.concurrency.serverHasCapacity(now, s, req.units, c.slowStart.weight(now, s)) {
			eligible = append(eligible, s)
		}
	}
	c.candidates = eligible
	return eligible
}

// pickServer returns the server for the request's next attempt, nil if there is none.
func (c *Controller) pickServer(now int64, req *request) *server {
	return c.rotation.next(now, c.eligibleServers(now, req), req.units)
}
