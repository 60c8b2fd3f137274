package limiter

import (
	"container/list"
	"errors"
	"math"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// promptCloseDivisor: an end within this part of a dial time-out is the answer to a command's first byte.
const promptCloseDivisor = 8

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
func (sc *serverConn) onConnected() {
	l := sc.pool.limiter
	sc.dropEndedAttempt()
	if sc.attempt == nil && sc.healthCheckTimer == nil {
		sc.release()
		return
	}
	l.scratch.write = l.scratch.write[:0]
	if sc.healthCheckTimer != nil {
		l.scratch.write = resp.AppendCommand(l.scratch.write, []byte("SELECT"), []byte("0"))
	} else {
		l.scratch.write = sc.attempt.request.appendCommand(l.scratch.write, l.now)
	}
	l.write(sc.conn, l.scratch.write)
	sc.writtenAt = l.now
	if sc.attempt != nil {
		sc.attempt.endOffset = sc.conn.bytesSent
		sc.attempt.location = sc.pool.location
		sc.limitPartialRetry(sc.attempt)
	}
}

// dropEndedAttempt ends the connection's attempt if its request has ended while the connection came up, so that
// nothing may be sent for it any more, or if it is too late for the attempt: it was decided on before the process
// stood still.
func (sc *serverConn) dropEndedAttempt() {
	l := sc.pool.limiter
	att := sc.attempt
	if att == nil {
		return
	}
	if att.request.state == stateAccepted {
		att.request.client.closeIfGone()
	}
	att = sc.attempt // none is left where the client has gone
	if att == nil {
		return
	}
	if att.request.state != stateAccepted || l.now >= att.request.deadline || sc.pool.draining || att.outdated() {
		sc.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: DeadlineExceeded.outcome(false)})
	}
}

// limitPartialRetry closes the connection in time where the kernel has only a part of a repeat: it must not become
// whole once servers do not know the request again.
func (sc *serverConn) limitPartialRetry(att *attempt) {
	l := sc.pool.limiter
	if !sc.partlyWritten(att) || att.deduplicatedUntil() == math.MaxInt64 {
		return
	}
	l.schedule(att.deduplicatedUntil(), func() {
		if sc.partlyWritten(att) {
			l.closeConn(sc.conn, DeadlineExceeded)
		}
	})
}

// partlyWritten tells whether an attempt is out of which the kernel has only a part.
func (sc *serverConn) partlyWritten(att *attempt) bool {
	return att.open && att.endOffset > 0 && sc.pool.limiter.effects.Written(sc.conn.id) < att.endOffset
}

// closeOverduePartialWrites breaks off the attempts of which the kernel has only a part and whose time is over. Timers do that
// as a rule, but do not run right behind a suspension, and the rest must not go out meanwhile.
func (s *serverPools) closeOverduePartialWrites() {
	l := s.limiter
	for _, c := range l.connsInOrder() {
		sc, ok := c.handler.(*serverConn)
		if !ok || l.conns[c.id] != c || sc.attempt == nil || !sc.partlyWritten(sc.attempt) {
			continue
		}
		if l.now >= min(sc.attempt.request.deadline, sc.attempt.deduplicatedUntil()) {
			l.closeConn(c, DeadlineExceeded)
		}
	}
}

// release keeps the connection for the next command, if the server is to get any.
func (sc *serverConn) release() {
	if sc.pool.draining || sc.address != sc.pool.address {
		sc.pool.limiter.closeConn(sc.conn, IdleClosed)
		return
	}
	sc.pool.idle = append(sc.pool.idle, sc)
	sc.idleElement = sc.pool.limiter.servers.idle.PushBack(sc)
}

// removeFromIdle takes the connection out of the idle ones, if it is one.
func (sc *serverConn) removeFromIdle() {
	sc.pool.idle = without(sc.pool.idle, sc)
	if sc.idleElement != nil {
		sc.pool.limiter.servers.idle.Remove(sc.idleElement)
		sc.idleElement = nil
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
func (sc *serverConn) onData(bytes []byte) (int, error) {
	if len(bytes) == 0 {
		return 0, nil
	}
	if sc.attempt == nil && sc.healthCheckTimer == nil {
		return 0, errUnexpectedResponse
	}
	parse := resp.ReadAnswer
	if sc.healthCheckTimer != nil {
		parse = resp.ReadValue
	}
	value, n, err := parse(bytes)
	if err != nil {
		return 0, err
	}
	l := sc.pool.limiter
	if n == 0 {
		sc.startResponseTimer()
		return 0, nil
	}
	early := sc.attempt != nil && l.effects.Written(sc.conn.id) < sc.attempt.endOffset
	l.timers.cancel(sc.responseTimer)
	sc.responseTimer = nil
	if sc.idleTime > l.servers.maxReuseIdle/2 {
		l.servers.lengthenReuseIdle()
	}
	if sc.healthCheckTimer != nil {
		sc.endHealthCheck(choice.Succeeded)
	} else if err := sc.handleAnswer(value, early); err != nil {
		return 0, err
	}
	switch {
	case early:
		l.closeConn(sc.conn, AttemptCancelled) // the rest of the command must not follow
	case l.conns[sc.conn.id] == sc.conn:
		sc.release()
	}
	return n, nil
}

// startResponseTimer bounds how long the rest of an answer may take. The rest of a good answer is right behind; a malformed one
// would hold its request until the deadline.
func (sc *serverConn) startResponseTimer() {
	l := sc.pool.limiter
	if sc.responseTimer == nil {
		sc.responseTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(sc.conn, ProtocolError) })
	}
}

// handleAnswer ends the attempt by its answer. early says that the kernel has only a part of the command, so that a
// server can only have rejected it.
func (sc *serverConn) handleAnswer(value resp.Value, early bool) error {
	l := sc.pool.limiter
	att := sc.attempt
	result, body := decodeAnswer(value, l.settings.MaxActualUnits)
	if early && result.Outcome != choice.Overloaded {
		return errEarlyResponse
	}
	if result.Outcome == choice.Succeeded {
		l.endRequest(att.request, stateSucceeded, resp.AppendBulk(nil, body))
	}
	sc.attempt = nil
	l.endAttempt(att, result)
	return nil
}

// endHealthCheck ends the health check that is out, and owes the controller its outcome.
func (sc *serverConn) endHealthCheck(outcome choice.Outcome) {
	l := sc.pool.limiter
	l.timers.cancel(sc.healthCheckTimer)
	sc.healthCheckTimer = nil
	l.results = append(l.results, pendingResult{healthChecked: sc.pool.id, outcome: outcome})
}

// onClosed ends what was out on the connection.
func (sc *serverConn) onClosed(reason CloseReason, written int64) {
	l := sc.pool.limiter
	att := sc.attempt
	l.servers.connCount--
	sc.pool.conns = without(sc.pool.conns, sc)
	l.timers.cancel(sc.responseTimer)
	sc.removeFromIdle()
	inUse := att != nil || sc.healthCheckTimer != nil
	if inUse && reason != ConnRefused && reason != ProtocolError {
		// What is still idle may be as dead, where a machine has vanished and says nothing: a command on it might have
		// run for all we know, while one for which no connection comes up has not. A server that writes nonsense is
		// not dead.
		sc.pool.closeIdle()
	}
	if reason == ProtocolError {
		l.stats.inputErrors.malformedAnswers++
	}
	if att != nil && sc.endedWhileIdle(reason) {
		l.servers.shortenReuseIdle()
	}
	if att != nil {
		sc.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: reason.outcome(att.endOffset > 0 && written >= att.endOffset)})
	}
	if sc.healthCheckTimer != nil {
		sc.endHealthCheck(reason.outcome(written > 0))
	}
	sc.pool.forgetIfEmpty()
}

// endedWhileIdle tells whether the server had closed the connection, without notice, before its latest command came.
func (sc *serverConn) endedWhileIdle(reason CloseReason) bool {
	l := sc.pool.limiter
	closedByServer := reason == PeerReset || reason == PeerClosed
	prompt := l.now-sc.writtenAt <= l.settings.DialTimeout/promptCloseDivisor
	return closedByServer && prompt && sc.idleTime > 0 && sc.responseTimer == nil
}
