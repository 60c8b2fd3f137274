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
	// serverDescriptorDivisor: connections to servers may hold this fraction of the descriptors, 1/4.
	serverDescriptorDivisor = 4
	// maxReuseIdleDecreaseDivisor: maxReuseIdle decreases by this fraction, 1/4, when a connection turns out to have
	// ended while it was idle.
	maxReuseIdleDecreaseDivisor = 4
	// maxReuseIdleIncreaseDivisor: maxReuseIdle increases by this fraction, 1/16, when a connection idle for more than
	// half of it still serves, and at each maintenance.
	maxReuseIdleIncreaseDivisor = 16
	// reuseDelayTicks is how many timer ticks a connection has to be idle before it is reused.
	reuseDelayTicks = 8
)

// serverPools holds the connections to servers, in one pool for each server.
type serverPools struct {
	limiter      *Limiter
	pools        map[string]*serverPool // by the server's ID
	byAddress    map[string]*serverPool // the server listed at an address; it may have left it or be draining
	poolsSeen    int64                  // servers that were ever listed
	connCount    int                    // connections to servers, including those being dialled
	idle         list.List              // idle connections, the least recently used first
	maxReuseIdle int64                  // how long a connection may be idle and still be reused, nanoseconds
}

// raiseMaxReuseIdle increases maxReuseIdle, up to a fraction of the time after which servers close idle connections.
func (s *serverPools) raiseMaxReuseIdle() {
	s.maxReuseIdle = min(
		s.maxReuseIdle+s.maxReuseIdle/maxReuseIdleIncreaseDivisor,
		s.limiter.settings.IdleClose/idleCloseDivisor,
	)
}

// lowerMaxReuseIdle decreases maxReuseIdle, to two timer ticks at least.
func (s *serverPools) lowerMaxReuseIdle() {
	s.maxReuseIdle = max(
		s.maxReuseIdle-s.maxReuseIdle/maxReuseIdleDecreaseDivisor,
		2*s.limiter.settings.TimerResolution,
	)
}

// serverPool holds the connections to one server.
type serverPool struct {
	limiter  *Limiter
	id       string
	address  string
	location location
	// reportedStart is the server's start as listed, by a wall clock; startedAt is the same by the limiter's clock.
	reportedStart, startedAt int64
	listOrder                int64            // rank in the order in which servers were first listed
	lastListedIn             int64            // number of the latest complete list that names the server
	conns                    []*serverConn    // idle or in use, in the order in which they were dialled
	idle                     []*serverConn    // the least recently used first
	draining                 bool             // the server is draining or gone: connections are not kept
	removed                  bool             // the server is gone: the pool is forgotten once it is empty
	newConnBucket            coldstart.Bucket // limits new connections; zero without an operator's bound
}

// addPool adds the pool of a server that was not listed yet; servers is the number of servers listed.
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

// markMissing marks the servers that the complete list with this number does not name as gone, and returns them in the
// order in which they were first listed.
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

// closeOldestIdle closes the connection that has been idle longest, and tells whether there was one.
func (s *serverPools) closeOldestIdle() bool {
	oldest := s.idle.Front()
	if oldest == nil {
		return false
	}
	s.limiter.closeConn(oldest.Value.(*serverConn).conn, IdleClosed)
	return true
}

// closeExpiredIdle closes connections that have been idle for too long to be reused. The server may close them soon,
// and a command that crosses with the close counts as sent.
func (s *serverPools) closeExpiredIdle() {
	for e := s.idle.Front(); e != nil &&
		e.Value.(*serverConn).conn.lastUsed < s.limiter.now-s.maxReuseIdle; e = s.idle.Front() {
		s.limiter.closeConn(e.Value.(*serverConn).conn, IdleClosed)
	}
}

// acquire reuses the most recently used connection or opens one. It returns nil if no descriptor is left or no new
// connection is allowed. A connection that has just brought an answer is not reused at once: surplus bytes from a
// server come some milliseconds after the answer, and would be taken for the answer to the next command.
func (p *serverPool) acquire() *serverConn {
	l := p.limiter
	reuseDelay := max(
		l.settings.TimerResolution,
		min(reuseDelayTicks*l.settings.TimerResolution, l.servers.maxReuseIdle/2),
	)
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

// withConn acquires a connection for a command, which assign puts on it. The command is written at once if the
// connection is up, else when it comes up. withConn tells whether there was a connection. One that has ended, though no
// event has reported it, is skipped: nothing was written, and the server must not be blamed for closing an idle
// connection.
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

// HealthCheck implements choice.Effects. It sends a command that does no work on the server.
func (l *Limiter) HealthCheck(server string) {
	assign := func(sc *serverConn) {
		sc.healthCheckTimer = l.schedule(
			l.now+l.settings.DialTimeout,
			func() { l.closeConn(sc.conn, DeadlineExceeded) },
		)
	}
	if p := l.servers.pools[server]; p == nil || !p.withConn(assign) {
		l.results = append(l.results, pendingResult{healthChecked: server, outcome: NoConnection.outcome(false)})
	}
}

// forgetIfEmpty forgets a server that is gone and has no connections. Without this, servers that are replaced again and
// again would fill the memory.
func (p *serverPool) forgetIfEmpty() {
	if l := p.limiter; p.removed && len(p.conns) == 0 && l.servers.pools[p.id] == p {
		delete(l.servers.pools, p.id)
		if l.servers.byAddress[p.address] == p {
			delete(l.servers.byAddress, p.address)
		}
	}
}

// closeUnused closes the idle connections to a server that is draining, gone or has a new address, and those being
// dialled. Their attempts are cancelled, as the drain grace may be over by the time the dial succeeds.
func (p *serverPool) closeUnused() {
	p.closeIdle()
	for _, sc := range slices.Clone(p.conns) {
		if p.limiter.conns[sc.conn.id] == sc.conn && !sc.conn.open {
			p.limiter.closeConn(sc.conn, AttemptCancelled)
		}
	}
}

func (p *serverPool) closeIdle() { p.closeLastUsedBefore(math.MaxInt64) }

// closeLastUsedBefore closes the idle connections that were last used before a time.
func (p *serverPool) closeLastUsedBefore(at int64) {
	for len(p.idle) > 0 && p.idle[0].conn.lastUsed < at {
		p.limiter.closeConn(p.idle[0].conn, IdleClosed)
	}
}
