package choice

import "slices"

// server is what a limiter knows of one server.
type server struct {
	id              string
	state           EndpointState
	health          serverHealth
	startedAt       int64 // when it began to warm up, 0 for long ago
	attempts        []*attempt
	inFlight        float64 // units
	limit           float64 // units that may be in flight
	overloadedUntil int64   // it has rejected a request and gets none until then
	nominalWeight   float64 // 0 where the list does not tell
	pace            servicePace
	credit          rotationCredit
	zone            string
	cell            int64
	ringHash        uint64 // its place on the ring of all servers, the same at all limiters
	ringIndex       int    // its place in the order of the ring, from this limiter's place on
	indexEntry
}

// servicePace is how much a server does in how long, both decaying.
type servicePace struct {
	seconds float64
	units   float64
}

// rotationCredit is what a server is owed by the weighted rotation.
type rotationCredit struct {
	current   float64 // current weight of the smooth weighted round robin: its claim on the next turn
	slowStart float64 // turns that it is owed while it warms up
}

// finished tells whether a server is gone and nothing is in flight there.
func (s *server) finished() bool { return s.state == EndpointGone && len(s.attempts) == 0 }

// attemptStarted takes in an attempt that is sent to the server.
func (s *server) attemptStarted(a *attempt) {
	s.attempts = append(s.attempts, a)
	s.inFlight += a.request.units
}

// attemptEnded takes out an attempt that has ended.
func (s *server) attemptEnded(ended *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(a *attempt) bool { return a == ended })
	s.inFlight = max(0, s.inFlight-ended.request.units)
}

// replaceWith takes the record of a new process at the same endpoint. What is in flight there stays.
func (s *server) replaceWith(fresh server) {
	fresh.attempts = s.attempts
	fresh.inFlight = s.inFlight
	fresh.ringIndex = s.ringIndex
	fresh.indexEntry = s.indexEntry
	*s = fresh
}

// updateEndpoint takes in one entry of the endpoint list.
func (c *Controller) updateEndpoint(now int64, endpoint *Endpoint) {
	// The record of a new process is made for each entry, whether it is needed or not: it draws chance, and a
	// controller that is told the same must decide the same.
	fresh := c.newServer(now, endpoint)
	s := c.servers.byID[endpoint.ID]
	switch {
	case s == nil:
		s = &fresh
		// Limiters that start together, all knowing nothing, must not all begin at the same server.
		s.credit.current = c.random.Float64()
		c.servers.add(s)
	case endpoint.StartedAt > s.startedAt:
		s.replaceWith(fresh) // nothing that is known of the old process holds for the new one
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
