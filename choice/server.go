package choice

import "slices"

// server is a limiter's record of one server.
type server struct {
	id              string
	state           EndpointState
	health          serverHealth
	startedAt       int64 // when it started to warm up, 0 for long ago
	attempts        []*attempt
	inFlight        float64 // units
	limit           float64 // units that may be in flight
	overloadedUntil int64   // it has rejected a request, and gets none until then
	nominalWeight   float64 // 0 if the endpoint list does not give one
	pace            servicePace
	credit          rotationCredit
	zone            string
	cell            int64
	ringHash        uint64 // position on the ring of all servers, the same at all limiters
	ringIndex       int    // position in ring order, starting at this limiter's position
	indexEntry
}

// servicePace holds decaying totals of the units that servers completed and of the seconds that these took.
type servicePace struct {
	seconds float64
	units   float64
}

// rotationCredit is a server's state in the weighted rotation.
type rotationCredit struct {
	current   float64 // current weight of the smooth weighted round robin; the highest is next
	slowStart float64 // turns that the server is owed while it warms up
}

// finished reports whether the server is gone with nothing in flight.
func (s *server) finished() bool { return s.state == EndpointGone && len(s.attempts) == 0 }

// attemptStarted adds an attempt that is sent to the server.
func (s *server) attemptStarted(a *attempt) {
	s.attempts = append(s.attempts, a)
	s.inFlight += a.request.units
}

// attemptEnded removes an attempt that has ended.
func (s *server) attemptEnded(ended *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(a *attempt) bool { return a == ended })
	s.inFlight = max(0, s.inFlight-ended.request.units)
}

// replaceWith replaces the record with that of a new process at the same endpoint. Attempts in flight are kept.
func (s *server) replaceWith(fresh server) {
	fresh.attempts = s.attempts
	fresh.inFlight = s.inFlight
	fresh.ringIndex = s.ringIndex
	fresh.indexEntry = s.indexEntry
	*s = fresh
}

// updateEndpoint applies one entry of the endpoint list.
func (c *Controller) updateEndpoint(now int64, endpoint *Endpoint) {
	// A new record is made for each entry, whether it is needed or not: it draws random numbers, and a controller must
	// make the same decisions from the same input.
	fresh := c.newServer(now, endpoint)
	s := c.servers.byID[endpoint.ID]
	switch {
	case s == nil:
		s = &fresh
		// Limiters that start together, without any record, must not all choose the same server first.
		s.credit.current = c.random.Float64()
		c.servers.add(s)
	case endpoint.StartedAt > s.startedAt:
		s.replaceWith(fresh) // what is known of the old process does not apply to the new one
	}
	s.zone = endpoint.Zone
	s.cell = endpoint.Cell
	s.state = endpoint.State
	s.nominalWeight = endpoint.Weight
	c.servers.reindex(now, s)
}

func (c *Controller) newServer(now int64, endpoint *Endpoint) server {
	hash := hashString(endpoint.ID)
	return server{
		id: endpoint.ID, ringHash: hash, startedAt: endpoint.StartedAt,
		limit:  c.concurrency.initialServerLimit(),
		health: serverHealth{lastSeenAlive: now},
		credit: rotationCredit{slowStart: c.slowStart.initialCredit(hash, c.servers.count(), c.servers.subsetSize())},
	}
}

// TakesOverAddress reports whether a server that is listed as ready at the address of another shows that the other is
// gone, as only one process can listen there: the one that started later or, if they started alike, the one that is
// listed while the other is not. The starts are those of Endpoint.
func TakesOverAddress(startedAt, otherStartedAt int64, otherListed bool) bool {
	if startedAt != otherStartedAt {
		return startedAt > otherStartedAt
	}
	return !otherListed
}
