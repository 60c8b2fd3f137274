package limiter

import (
	"container/list"
	"errors"
	"math"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// promptCloseShare: an end within this part of a dial time-out is the answer to a command's first byte.
const promptCloseShare = 8

// serverConn is one connection to a server, with at most one command out on it: one behind another would wait for the
// other's answer.
type serverConn struct {
	pool             *serverPool
	address          string
	conn             *conn
	attempt          *attempt
	healthCheckTimer *timer        // until when the health check that is out must be answered, nil if none is
	responseTimer    *timer        // until when an answer that has begun must be whole
	idleTime         int64         // how long it had been idle before the command that is out, 0 where it is new
	writtenAt        int64         // when that was written
	idleElement      *list.Element // in the limiter's list of idle connections, nil while it is in use
}

var (
	errUnexpectedResponse = errors.New("an answer that nobody asked for")
	errEarlyResponse      = errors.New("an answer to a command of which the kernel has only a part")
)

// onConnected writes the command that the connection was opened or taken for.
func (b *serverConn) onConnected() {
	l := b.pool.limiter
	b.dropEndedAttempt()
	if b.attempt == nil && b.healthCheckTimer == nil {
		b.release()
		return
	}
	l.scratch.write = l.scratch.write[:0]
	if b.healthCheckTimer != nil {
		l.scratch.write = resp.AppendCommand(l.scratch.write, []byte("SELECT"), []byte("0"))
	} else {
		l.scratch.write = b.attempt.request.appendCommand(l.scratch.write, l.now)
	}
	l.write(b.conn, l.scratch.write)
	b.writtenAt = l.now
	if b.attempt != nil {
		b.attempt.lastByte = b.conn.bytesSent
		b.attempt.location = b.pool.location
		b.guardPartialRepeat(b.attempt)
	}
}

// dropEndedAttempt ends the connection's attempt if its request has ended while the connection came up, so that
// nothing may be sent for it any more, or if it is too late for the attempt: it was decided on before the process
// stood still.
func (b *serverConn) dropEndedAttempt() {
	l := b.pool.limiter
	att := b.attempt
	if att == nil {
		return
	}
	if att.request.state == stateAccepted {
		att.request.client.closeIfGone()
	}
	att = b.attempt // none is left where the client has gone
	if att == nil {
		return
	}
	if att.request.state != stateAccepted || l.now >= att.request.deadline || b.pool.draining || att.outdated() {
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: DeadlineExceeded.outcome(false)})
	}
}

// guardPartialRepeat closes the connection in time where the kernel has only a part of a repeat: it must not become
// whole once servers do not know the request again.
func (b *serverConn) guardPartialRepeat(att *attempt) {
	l := b.pool.limiter
	if !b.hasPartOf(att) || att.deduplicatedUntil() == math.MaxInt64 {
		return
	}
	l.schedule(att.deduplicatedUntil(), func() {
		if b.hasPartOf(att) {
			l.closeConn(b.conn, DeadlineExceeded)
		}
	})
}

// hasPartOf tells whether an attempt is out of which the kernel has only a part.
func (b *serverConn) hasPartOf(att *attempt) bool {
	return att.open && att.lastByte > 0 && b.pool.limiter.effects.Written(b.conn.id) < att.lastByte
}

// closeOverdueParts breaks off the attempts of which the kernel has only a part and whose time is over. Timers do that
// as a rule, but do not run right behind a suspension, and the rest must not go out meanwhile.
func (s *serverPools) closeOverdueParts() {
	l := s.limiter
	for _, c := range l.connsInOrder() {
		b, is := c.handler.(*serverConn)
		if !is || l.conns[c.id] != c || b.attempt == nil || !b.hasPartOf(b.attempt) {
			continue
		}
		if l.now >= min(b.attempt.request.deadline, b.attempt.deduplicatedUntil()) {
			l.closeConn(c, DeadlineExceeded)
		}
	}
}

// release keeps the connection for the next command, if the server is to get any.
func (b *serverConn) release() {
	if b.pool.draining || b.address != b.pool.address {
		b.pool.limiter.closeConn(b.conn, IdleClosed)
		return
	}
	b.pool.idle = append(b.pool.idle, b)
	b.idleElement = b.pool.limiter.servers.idle.PushBack(b)
}

// takeFromIdle takes the connection out of the idle ones, if it is one.
func (b *serverConn) takeFromIdle() {
	b.pool.idle = without(b.pool.idle, b)
	if b.idleElement != nil {
		b.pool.limiter.servers.idle.Remove(b.idleElement)
		b.idleElement = nil
	}
}

// without is a list of connections without one of them.
func without(all []*serverConn, one *serverConn) []*serverConn {
	if i := slices.Index(all, one); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// onData takes the answer to the command that is out.
func (b *serverConn) onData(bytes []byte) (int, error) {
	if len(bytes) == 0 {
		return 0, nil
	}
	if b.attempt == nil && b.healthCheckTimer == nil {
		return 0, errUnexpectedResponse
	}
	parse := resp.ReadAnswer
	if b.healthCheckTimer != nil {
		parse = resp.ReadValue
	}
	value, n, err := parse(bytes)
	if err != nil {
		return 0, err
	}
	l := b.pool.limiter
	if n == 0 {
		b.awaitRest()
		return 0, nil
	}
	early := b.attempt != nil && l.effects.Written(b.conn.id) < b.attempt.lastByte
	l.timers.cancel(b.responseTimer)
	b.responseTimer = nil
	if b.idleTime > l.servers.keepIdle/2 {
		l.servers.lengthenKeepIdle()
	}
	if b.healthCheckTimer != nil {
		b.endHealthCheck(choice.Succeeded)
	} else if err := b.takeAnswer(value, early); err != nil {
		return 0, err
	}
	switch {
	case early:
		l.closeConn(b.conn, AttemptCancelled) // the rest of the command must not follow
	case l.conns[b.conn.id] == b.conn:
		b.release()
	}
	return n, nil
}

// awaitRest bounds how long the rest of an answer may take. The rest of a good answer is right behind; a malformed one
// would hold its request until the deadline.
func (b *serverConn) awaitRest() {
	l := b.pool.limiter
	if b.responseTimer == nil {
		b.responseTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(b.conn, ProtocolError) })
	}
}

// takeAnswer ends the attempt by its answer. early says that the kernel has only a part of the command, so that a
// server can only have rejected it.
func (b *serverConn) takeAnswer(value resp.Value, early bool) error {
	l := b.pool.limiter
	att := b.attempt
	result, body := decodeAnswer(value, l.settings.MaxActualUnits)
	if early && result.Outcome != choice.Overloaded {
		return errEarlyResponse
	}
	if result.Outcome == choice.Succeeded {
		l.move(att.request, stateSucceeded, resp.AppendBulk(nil, body))
	}
	b.attempt = nil
	l.endAttempt(att, result)
	return nil
}

// endHealthCheck ends the health check that is out, and owes the controller its outcome.
func (b *serverConn) endHealthCheck(outcome choice.Outcome) {
	l := b.pool.limiter
	l.timers.cancel(b.healthCheckTimer)
	b.healthCheckTimer = nil
	l.results = append(l.results, pendingResult{healthChecked: b.pool.id, outcome: outcome})
}

// onClosed ends what was out on the connection.
func (b *serverConn) onClosed(end CloseReason, written int64) {
	l := b.pool.limiter
	att := b.attempt
	l.servers.connCount--
	b.pool.conns = without(b.pool.conns, b)
	l.timers.cancel(b.responseTimer)
	b.takeFromIdle()
	inUse := att != nil || b.healthCheckTimer != nil
	if inUse && end != ConnRefused && end != ProtocolError {
		// What is still idle may be as dead, where a machine has vanished and says nothing: a command on it might have
		// run for all we know, while one for which no connection comes up has not. A server that writes nonsense is
		// not dead.
		b.pool.closeIdle()
	}
	if end == ProtocolError {
		l.stats.inputErrors.malformedAnswers++
	}
	if att != nil && b.endedWhileIdle(end) {
		l.servers.shortenKeepIdle()
	}
	if att != nil {
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: end.outcome(att.lastByte > 0 && written >= att.lastByte)})
	}
	if b.healthCheckTimer != nil {
		b.endHealthCheck(end.outcome(written > 0))
	}
	b.pool.forgetIfEmpty()
}

// endedWhileIdle tells whether the server had closed the connection, without notice, before its latest command came.
func (b *serverConn) endedWhileIdle(end CloseReason) bool {
	l := b.pool.limiter
	byServer := end == PeerReset || end == PeerClosed
	prompt := l.now-b.writtenAt <= l.settings.DialTimeout/promptCloseShare
	return byServer && prompt && b.idleTime > 0 && b.responseTimer == nil
}
