package limiter

import (
	"cmp"
	"container/list"
	"math"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
)

const (
	// serverDescriptorDivisor: one descriptor in so many is for connections to servers.
	serverDescriptorDivisor = 4
	// reuseIdleDecreaseDivisor: the time for which an idle connection is trusted is shortened by this part when one turns out
	// to have ended without notice.
	reuseIdleDecreaseDivisor = 4
	// reuseIdleIncreaseDivisor: it is lengthened by this part when a connection still serves near its end, and at regular
	// times.
	reuseIdleIncreaseDivisor = 16
	// reuseDelayTicks is for how many ticks of the clock a connection has to be idle before its next command.
	reuseDelayTicks = 8
)

// serverPools holds the connections to servers, in a pool for each.
type serverPools struct {
	limiter      *Limiter
	pools        map[string]*serverPool // by the server's id
	poolsSeen    int64                  // servers that were ever listed
	connCount    int                    // connections to servers
	idle         list.List              // those that are idle, the one used last at the end
	maxReuseIdle int64                  // how long a connection may be idle and be used again, nanoseconds
}

// lengthenReuseIdle trusts idle connections for a little longer.
func (s *serverPools) lengthenReuseIdle() {
	s.maxReuseIdle = min(s.maxReuseIdle+s.maxReuseIdle/reuseIdleIncreaseDivisor, s.limiter.settings.IdleClose/idleCloseDivisor)
}

// shortenReuseIdle trusts them for a shorter time.
func (s *serverPools) shortenReuseIdle() {
	s.maxReuseIdle = max(s.maxReuseIdle-s.maxReuseIdle/reuseIdleDecreaseDivisor, 2*s.limiter.settings.TimerResolution)
}

// serverPool holds the connections to one server.
type serverPool struct {
	limiter  *Limiter
	id       string
	address  string
	location location
	// reportedStart is when a list said that the server started, by the wall clock, and startedAt the same by the limiter's
	reportedStart, startedAt int64
	listOrder                int64            // in the order in which the limiter met its servers
	lastListedIn             int64            // the latest whole list that names it
	conns                    []*serverConn    // its connections, idle or not, in the order in which they were dialled
	idle                     []*serverConn    // the one used last at the end
	draining                 bool             // it drains or is gone: no connection to it is kept
	removed                  bool             // it is let go of once there is none
	newConnBucket            coldstart.Bucket // of new connections, without bound where none is stated
}

// addPool makes the pool of a server that was not listed yet, one of so many.
func (s *serverPools) addPool(id string, servers int) *serverPool {
	s.poolsSeen++
	p := &serverPool{
		limiter:       s.limiter,
		id:            id,
		listOrder:     s.poolsSeen,
		newConnBucket: s.limiter.coldStart.connectionBucket(servers),
	}
	s.pools[id] = p
	return p
}

// markMissing are the servers that a whole list does not name, which are gone, in the order in which they were met.
func (s *serverPools) markMissing(listNumber int64) (missing []*serverPool) {
	for _, p := range s.pools {
		if p.lastListedIn != listNumber {
			p.draining = true
			p.removed = true
			missing = append(missing, p)
		}
	}
	slices.SortFunc(missing, func(a, b *serverPool) int { return cmp.Compare(a.listOrder, b.listOrder) })
	return missing
}

// closeOldestIdle closes the connection to a server that has been idle longest.
func (s *serverPools) closeOldestIdle() bool {
	oldest := s.idle.Front()
	if oldest == nil {
		return false
	}
	s.limiter.closeConn(oldest.Value.(*serverConn).conn, IdleClosed)
	return true
}

// closeExpiredIdle closes the connections to servers that have been idle for long: a command that crosses with the
// server's closing counts as sent.
func (s *serverPools) closeExpiredIdle() {
	for e := s.idle.Front(); e != nil && e.Value.(*serverConn).conn.lastUsed < s.limiter.now-s.maxReuseIdle; e = s.idle.Front() {
		s.limiter.closeConn(e.Value.(*serverConn).conn, IdleClosed)
	}
}

// acquire takes the connection that was used last or opens one; nil if there is no descriptor for it or no more may be
// opened. One that has just brought an answer rests first: what a server sends too much comes some milliseconds
// behind, and would be taken for the answer to the next command.
func (p *serverPool) acquire() *serverConn {
	l := p.limiter
	reuseDelay := max(l.settings.TimerResolution, min(reuseDelayTicks*l.settings.TimerResolution, l.servers.maxReuseIdle/2))
	for i := len(p.idle) - 1; i >= 0; i-- {
		sc := p.idle[i]
		sc.idleTime = l.now - sc.conn.lastUsed
		if sc.idleTime > l.servers.maxReuseIdle {
			break
		} else if sc.idleTime >= reuseDelay {
			sc.removeFromIdle()
			return sc
		}
	}
	if !p.newConnBucket.Take(l.now) ||
		l.servers.connCount >= l.config.Sockets/serverDescriptorDivisor && !l.servers.closeOldestIdle() {
		return nil
	}
	l.servers.connCount++
	sc := &serverConn{pool: p, address: p.address}
	p.conns = append(p.conns, sc)
	return sc
}

// withConn takes a connection for a command that begin puts on it: at once where it is open, else when it comes up.
// One that had ended already, which the sockets have yet to tell, took nothing of the command: the next one is
// tried, or the server would be blamed for closing an idle connection.
func (p *serverPool) withConn(assign func(sc *serverConn)) bool {
	for {
		sc := p.acquire()
		if sc == nil {
			return false
		}
		if sc.conn == nil {
			assign(sc)
			sc.conn = p.limiter.dial(sc, sc.address, p.limiter.settings.DialTimeout)
			return true
		}
		if p.limiter.effects.Alive(sc.conn.id) {
			assign(sc)
			sc.onConnected()
			return true
		}
		p.limiter.closeConn(sc.conn, PeerClosed)
	}
}

func (p *serverPool) send(att *attempt) {
	l := p.limiter
	assign := func(sc *serverConn) {
		sc.attempt = att
		att.conn = sc
		att.deadlineTimer = l.schedule(att.request.deadline, func() { l.closeConn(att.conn.conn, DeadlineExceeded) })
	}
	if !p.withConn(assign) {
		l.endAttempt(att, choice.AttemptResult{Outcome: NoConnection.outcome(false)})
	}
}

// HealthCheck is an effect of the controller: the server answers a command that does no work.
func (l *Limiter) HealthCheck(server string) {
	assign := func(sc *serverConn) {
		sc.healthCheckTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(sc.conn, DeadlineExceeded) })
	}
	if p := l.servers.pools[server]; p == nil || !p.withConn(assign) {
		l.results = append(l.results, pendingResult{healthChecked: server, outcome: NoConnection.outcome(false)})
	}
}

// forgetIfEmpty lets go of a server that is gone once nothing is open to it: on a day on which all servers are
// replaced, again and again, they would fill the memory.
func (p *serverPool) forgetIfEmpty() {
	if l := p.limiter; p.removed && len(p.conns) == 0 && l.servers.pools[p.id] == p {
		delete(l.servers.pools, p.id)
	}
}

// closeUnused ends what is not in use of the connections to a server that drains or is gone. An attempt whose
// connection is not up yet is taken back: by the time it is up the grace may be over.
func (p *serverPool) closeUnused() {
	p.closeIdle()
	for _, sc := range slices.Clone(p.conns) {
		if p.limiter.conns[sc.conn.id] == sc.conn && !sc.conn.open {
			p.limiter.closeConn(sc.conn, AttemptCancelled)
		}
	}
}

func (p *serverPool) closeIdle() { p.closeLastUsedBefore(math.MaxInt64) }

// closeLastUsedBefore ends the connections that have been idle since before a time.
func (p *serverPool) closeLastUsedBefore(at int64) {
	for len(p.idle) > 0 && p.idle[0].conn.lastUsed < at {
		p.limiter.closeConn(p.idle[0].conn, IdleClosed)
	}
}
