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
	// serverDescriptorShare: one descriptor in so many is for connections to servers.
	serverDescriptorShare = 4
	// keepIdleDecrease: the time for which an idle connection is trusted is shortened by this part when one turns out
	// to have ended without notice.
	keepIdleDecrease = 4
	// keepIdleIncrease: it is lengthened by this part when a connection still serves near its end, and at regular
	// times.
	keepIdleIncrease = 16
	// restTicks is for how many ticks of the clock a connection has to be idle before its next command.
	restTicks = 8
)

// serverPools holds the connections to servers, in a pool for each.
type serverPools struct {
	limiter   *Limiter
	pools     map[string]*serverPool // by the server's id
	poolsSeen int64                  // servers that were ever listed
	connCount int                    // connections to servers
	idle      list.List              // those that are idle, the one used last at the end
	keepIdle  int64                  // how long a connection may be idle and be used again, nanoseconds
}

// lengthenKeepIdle trusts idle connections for a little longer.
func (s *serverPools) lengthenKeepIdle() {
	s.keepIdle = min(s.keepIdle+s.keepIdle/keepIdleIncrease, s.limiter.settings.IdleClose/idleCloseShare)
}

// shortenKeepIdle trusts them for a shorter time.
func (s *serverPools) shortenKeepIdle() {
	s.keepIdle = max(s.keepIdle-s.keepIdle/keepIdleDecrease, 2*s.limiter.settings.TimerResolution)
}

// serverPool holds the connections to one server.
type serverPool struct {
	limiter  *Limiter
	id       string
	address  string
	location location
	// toldStart is when a list said that the server started, by the wall clock, and startedAt the same by the limiter's
	toldStart, startedAt int64
	order                int64            // in the order in which the limiter met its servers
	listedIn             int64            // the latest whole list that names it
	conns                []*serverConn    // its connections, idle or not, in the order in which they were dialled
	idle                 []*serverConn    // the one used last at the end
	draining             bool             // it drains or is gone: no connection to it is kept
	removed              bool             // it is let go of once there is none
	newConns             coldstart.Bucket // of new connections, without bound where none is stated
}

// addPool makes the pool of a server that was not listed yet, one of so many.
func (s *serverPools) addPool(id string, servers int) *serverPool {
	s.poolsSeen++
	p := &serverPool{
		limiter:  s.limiter,
		id:       id,
		order:    s.poolsSeen,
		newConns: s.limiter.coldStart.connectionBucket(servers),
	}
	s.pools[id] = p
	return p
}

// markMissing are the servers that a whole list does not name, which are gone, in the order in which they were met.
func (s *serverPools) markMissing(whole int64) (missing []*serverPool) {
	for _, p := range s.pools {
		if p.listedIn != whole {
			p.draining = true
			p.removed = true
			missing = append(missing, p)
		}
	}
	slices.SortFunc(missing, func(a, b *serverPool) int { return cmp.Compare(a.order, b.order) })
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
	for e := s.idle.Front(); e != nil && e.Value.(*serverConn).conn.lastUsed < s.limiter.now-s.keepIdle; e = s.idle.Front() {
		s.limiter.closeConn(e.Value.(*serverConn).conn, IdleClosed)
	}
}

// acquire takes the connection that was used last or opens one; nil if there is no descriptor for it or no more may be
// opened. One that has just brought an answer rests first: what a server sends too much comes some milliseconds
// behind, and would be taken for the answer to the next command.
func (p *serverPool) acquire() *serverConn {
	l := p.limiter
	rest := max(l.settings.TimerResolution, min(restTicks*l.settings.TimerResolution, l.servers.keepIdle/2))
	for i := len(p.idle) - 1; i >= 0; i-- {
		b := p.idle[i]
		b.idleTime = l.now - b.conn.lastUsed
		if b.idleTime > l.servers.keepIdle {
			break
		} else if b.idleTime >= rest {
			b.takeFromIdle()
			return b
		}
	}
	if !p.newConns.Take(l.now) ||
		l.servers.connCount >= l.config.Sockets/serverDescriptorShare && !l.servers.closeOldestIdle() {
		return nil
	}
	l.servers.connCount++
	b := &serverConn{pool: p, address: p.address}
	p.conns = append(p.conns, b)
	return b
}

// withConn takes a connection for a command that begin puts on it: at once where it is open, else when it comes up.
// One that had ended already, which the sockets have yet to tell, took nothing of the command: the next one is
// tried, or the server would be blamed for closing an idle connection.
func (p *serverPool) withConn(begin func(b *serverConn)) bool {
	for {
		b := p.acquire()
		if b == nil {
			return false
		}
		if b.conn == nil {
			begin(b)
			b.conn = p.limiter.dial(b, b.address, p.limiter.settings.DialTimeout)
			return true
		}
		if p.limiter.effects.Alive(b.conn.id) {
			begin(b)
			b.onConnected()
			return true
		}
		p.limiter.closeConn(b.conn, PeerClosed)
	}
}

func (p *serverPool) send(att *attempt) {
	l := p.limiter
	begin := func(b *serverConn) {
		b.attempt = att
		att.conn = b
		att.deadlineTimer = l.schedule(att.request.deadline, func() { l.closeConn(att.conn.conn, DeadlineExceeded) })
	}
	if !p.withConn(begin) {
		l.endAttempt(att, choice.AttemptResult{Outcome: NoConnection.outcome(false)})
	}
}

// HealthCheck is an effect of the controller: the server answers a command that does no work.
func (l *Limiter) HealthCheck(server string) {
	begin := func(b *serverConn) {
		b.healthCheckTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(b.conn, DeadlineExceeded) })
	}
	if p := l.servers.pools[server]; p == nil || !p.withConn(begin) {
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
	for _, b := range slices.Clone(p.conns) {
		if p.limiter.conns[b.conn.id] == b.conn && !b.conn.open {
			p.limiter.closeConn(b.conn, AttemptCancelled)
		}
	}
}

func (p *serverPool) closeIdle() { p.closeIdleSince(math.MaxInt64) }

// closeIdleSince ends the connections that have been idle since before a time.
func (p *serverPool) closeIdleSince(at int64) {
	for len(p.idle) > 0 && p.idle[0].conn.lastUsed < at {
		p.limiter.closeConn(p.idle[0].conn, IdleClosed)
	}
}
