package limiter

import (
	"math"

	"ospreycroft/choice"
)

type attempt struct {
	request       *request
	number        int   // among the request's attempts, from 0
	decidedAt     int64 // when the controller decided on it, nanoseconds
	open          bool
	conn          *serverConn
	deadlineTimer *timer
	// partialWriteTimer ends a retry that the kernel has taken only in part; nil if it took the whole at once.
	partialWriteTimer *timer
	endOffset         int64    // offset behind its last byte in its connection's output, 0 before it is written
	location          location // of its server when it was written
	neverRan          bool     // it has ended and the server did not run it
}

// location is where a server is, as the endpoint list has it.
type location struct {
	zone string
	cell int64
}

// sharesScope tells whether two locations are in the same deduplication scope.
func (p location) sharesScope(group choice.DeduplicationScope, other location) bool {
	return group == choice.ScopeAll || group == choice.ScopeZone && p.zone == other.zone ||
		group == choice.ScopeCell && p.cell == other.cell
}

// Send implements choice.Effects. An attempt that can no longer be sent ends as NotAttempted.
func (l *Limiter) Send(id, server string) {
	req := l.requests.byID[id]
	att := &attempt{request: req, number: len(req.attempts), decidedAt: l.now, open: true}
	req.attempts = append(req.attempts, att)
	req.openAttempts++
	if att.number > 0 {
		l.stats.outcomes.retries++
	}
	l.trace.add(traceRecord{at: l.now, kind: traceAttempt, request: id, attempt: att.number, peer: server})
	if req.state != stateAccepted || l.now >= req.deadline || len(req.attempts) > l.settings.MaxAttempts {
		l.endAttempt(att, choice.AttemptResult{Outcome: choice.NotAttempted})
		return
	}
	p := l.servers.pools[server]
	l.whenListCurrent(func() {
		if req.state != stateAccepted || l.now >= req.deadline || p == nil || p.draining {
			l.endAttempt(att, choice.AttemptResult{Outcome: choice.NotAttempted})
		} else if att.open {
			p.send(att)
		}
	})
}

// Cancel implements choice.Effects. It closes the attempt's connection.
func (l *Limiter) Cancel(id string, number int) {
	req := l.requests.byID[id]
	if req == nil || number >= len(req.attempts) || !req.attempts[number].open {
		return
	}
	if sc := req.attempts[number].conn; sc != nil {
		l.closeConn(sc.conn, AttemptCancelled)
	} else { // it is deferred until the list is current
		l.endAttempt(req.attempts[number], choice.AttemptResult{Outcome: choice.NotAttempted})
	}
}

// endAttempt ends an attempt and queues its result for the controller. It does nothing if the attempt has ended.
func (l *Limiter) endAttempt(att *attempt, reply choice.AttemptResult) {
	if !att.open {
		return
	}
	req := att.request
	l.timers.cancel(att.deadlineTimer)
	l.timers.stop(att.partialWriteTimer)
	att.open = false
	att.conn = nil
	att.neverRan = reply.Outcome == choice.Overloaded || reply.Outcome == choice.ConnectFailed ||
		reply.Outcome == choice.NotAttempted
	req.openAttempts--
	l.traceAttemptEnd(att, reply.Outcome)
	reply.Request = req.id
	reply.Attempt = att.number
	reply.Duration = l.now - att.decidedAt
	reply.Final = req.state != stateAccepted
	l.results = append(l.results, pendingResult{attempt: reply})
	l.forgetIfDone(req)
}

// outdated tells whether the attempt must not be written any more: it was decided on longer ago than a running process
// may take to get the list and to dial, or servers may no longer recognize the request from an earlier attempt. The
// controller then decides again.
func (att *attempt) outdated(now int64) bool {
	return now-att.decidedAt > suspensionDialTimeouts*att.conn.pool.limiter.settings.DialTimeout ||
		now >= att.deduplicatedUntil()
}

// deduplicatedUntil is the time until which the server recognizes the request from every earlier attempt that may have
// run: 0 if it is outside the scope of one of them, math.MaxInt64 if there is none. An earlier attempt counts with the
// location that its server had when it was written, whatever a later list says.
func (att *attempt) deduplicatedUntil() int64 {
	req := att.request
	until := int64(math.MaxInt64)
	for _, earlier := range req.attempts[:att.number] {
		if req.deduplicationWindow > 0 && earlier.endOffset > 0 && !earlier.neverRan {
			until = min(until, earlier.decidedAt+req.deduplicationWindow)
			if !earlier.location.sharesScope(req.deduplicationScope, att.conn.pool.location) {
				return 0
			}
		}
	}
	return until
}
