package limiter

import (
	"math"

	"ospreycroft/choice"
)

type attempt struct {
	request       *request
	number        int
	decidedAt     int64
	open          bool
	conn          *serverConn
	deadlineTimer *timer
	endOffset     int64    // the place of its last byte among all that was written on its connection, 0 before
	location      location // where its server was then
	neverRan      bool     // it has ended, and has not run
}

// location is what a list says of where a server stands.
type location struct {
	zone string
	cell int64
}

// sharesScope tells whether two places are in one group.
func (p location) sharesScope(group choice.DeduplicationScope, other location) bool {
	return group == choice.ScopeAll || group == choice.ScopeZone && p.zone == other.zone ||
		group == choice.ScopeCell && p.cell == other.cell
}

// Send is an effect of the controller. An attempt that cannot be sent any more was never sent.
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

// Cancel is an effect of the controller: it closes the attempt's connection.
func (l *Limiter) Cancel(id string, number int) {
	req := l.requests.byID[id]
	if req == nil || number >= len(req.attempts) || !req.attempts[number].open {
		return
	}
	if sc := req.attempts[number].conn; sc != nil {
		l.closeConn(sc.conn, AttemptCancelled)
	} else { // it waits for a sure list
		l.endAttempt(req.attempts[number], choice.AttemptResult{Outcome: choice.NotAttempted})
	}
}

// endAttempt ends an attempt, once, and owes the controller its answer.
func (l *Limiter) endAttempt(att *attempt, reply choice.AttemptResult) {
	if !att.open {
		return
	}
	req := att.request
	l.timers.cancel(att.deadlineTimer)
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

// outdated: longer ago than the doubt and the dialling of a process that runs may take, or past the time for which
// servers know the request again by an earlier attempt, or in no group with that one. The controller is to decide anew.
func (att *attempt) outdated() bool {
	now := att.conn.pool.limiter.now
	return now-att.decidedAt > suspensionDialTimeouts*att.conn.pool.limiter.settings.DialTimeout ||
		now >= att.deduplicatedUntil()
}

// deduplicatedUntil is until when the server would know the request again by each earlier attempt that may have run: 0
// if it does not by one, and without end where none has. What counts is where an earlier attempt was written, wherever
// a list has its server now.
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
