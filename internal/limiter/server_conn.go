package limiter

import (
	"container/list"
	"errors"
	"math"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/buffer"
	"ospreycroft/internal/resp"
)

// promptCloseDivisor: a close within this fraction of a dial timeout, 1/8, is the peer's response to a command's first
// byte.
const promptCloseDivisor = 8

// serverConn is one connection to a server. It carries one command at a time, as a second one would wait for the first
// one's answer.
type serverConn struct {
	pool             *serverPool
	address          string
	conn             *conn
	attempt          *attempt
	healthCheckTimer *timer        // deadline of the health check in flight, nil if there is none
	responseTimer    *timer        // deadline for the rest of an answer that has begun
	idleTime         int64         // how long it was idle before its present command, 0 if it is new
	writtenAt        int64         // when the present command was written
	idleElement      *list.Element // in serverPools.idle, nil while the connection is in use
}

var (
	errUnexpectedResponse = errors.New("answer without a command or call in flight")
	errEarlyResponse      = errors.New("answer to a command that is not fully written")
	errNoMemory           = errors.New("partial answers take their part of the memory")
)

// onConnected writes the command for which the connection was opened or reused.
func (sc *serverConn) onConnected() {
	l := sc.pool.limiter
	now := l.now
	if since := l.effects.SinceStep(); since >= l.settings.TimerResolution {
		now += since // a process that was held up must not send what is over, nor tell too much time
	}
	sc.dropEndedAttempt(now)
	if sc.attempt == nil && sc.healthCheckTimer == nil {
		sc.release()
		return
	}
	l.scratch.write = l.scratch.write[:0]
	if sc.healthCheckTimer != nil {
		l.scratch.write = resp.AppendCommand(l.scratch.write, []byte("SELECT"), []byte("0"))
	} else {
		l.scratch.write = sc.attempt.request.appendCommand(l.scratch.write, now)
	}
	l.write(sc.conn, l.scratch.write)
	sc.writtenAt = l.now
	if sc.attempt != nil {
		sc.attempt.endOffset = sc.conn.bytesSent
		sc.attempt.location = sc.pool.location
		sc.limitPartialRetry(sc.attempt)
	}
}

// dropEndedAttempt ends the connection's attempt if it must not be written any more: its request has ended while the
// connection came up, its deadline is over at now, its server is draining, or the attempt is outdated.
func (sc *serverConn) dropEndedAttempt(now int64) {
	l := sc.pool.limiter
	att := sc.attempt
	if att == nil {
		return
	}
	if att.request.state == stateAccepted {
		att.request.client.closeIfGone()
		att.request.client.giveUpIfUnknown(att.request)
	}
	att = sc.attempt // nil if the client has disconnected
	if att == nil {
		return
	}
	if att.request.state != stateAccepted || now >= att.request.deadline || sc.pool.draining || att.outdated(now) {
		sc.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: DeadlineExceeded.outcome(false)})
	}
}

// limitPartialRetry closes the connection once servers no longer recognize the request if the kernel then still has
// only a part of the retry: a retry completed later could run the request twice.
func (sc *serverConn) limitPartialRetry(att *attempt) {
	l := sc.pool.limiter
	if !sc.partlyWritten(att) || att.deduplicatedUntil() == math.MaxInt64 {
		return
	}
	att.partialWriteTimer = l.schedule(att.deduplicatedUntil(), func() {
		if sc.partlyWritten(att) {
			l.closeConn(sc.conn, DeadlineExceeded)
		}
	})
}

// partlyWritten tells whether the attempt is open and the kernel has only a part of it.
func (sc *serverConn) partlyWritten(att *attempt) bool {
	return att.open && att.endOffset > 0 && sc.pool.limiter.effects.Written(sc.conn.id) < att.endOffset
}

// closeOverduePartialWrites closes the connections of attempts that are past their time and of which the kernel has
// only a part. Timers would do so, but they do not run right after a suspension, and the rest must not be sent
// meanwhile.
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

// release keeps the connection for the next command, or closes it if the server is draining or its address has changed.
func (sc *serverConn) release() {
	if sc.pool.draining || sc.address != sc.pool.address {
		sc.pool.limiter.closeConn(sc.conn, IdleClosed)
		return
	}
	sc.pool.idle = append(sc.pool.idle, sc)
	sc.idleElement = sc.pool.limiter.servers.idle.PushBack(sc)
}

// removeFromIdle takes the connection out of the idle ones, if it is idle.
func (sc *serverConn) removeFromIdle() {
	sc.pool.idle = without(sc.pool.idle, sc)
	if sc.idleElement != nil {
		sc.pool.limiter.servers.idle.Remove(sc.idleElement)
		sc.idleElement = nil
	}
}

// without returns a list of connections without one of them. It reuses the list's array.
func without(all []*serverConn, one *serverConn) []*serverConn {
	if i := slices.Index(all, one); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// onData handles the answer to the command in flight.
func (sc *serverConn) onData(bytes []byte) (int, error) {
	if len(bytes) == 0 {
		return 0, nil
	}
	if sc.attempt == nil && sc.healthCheckTimer == nil {
		return 0, errUnexpectedResponse
	}
	parse := resp.ReadReply
	if sc.healthCheckTimer != nil {
		parse = resp.ReadValue
	}
	value, n, err := parse(bytes)
	if err != nil {
		return 0, err
	}
	l := sc.pool.limiter
	if n == 0 {
		if len(bytes) > buffer.MinCapacity && !l.memory().KeepsPartialAnswer(l.bufferedBytes) {
			l.stats.memory.partialAnswers++
			return 0, errNoMemory
		}
		sc.startResponseTimer()
		return 0, nil
	}
	early := sc.attempt != nil && l.effects.Written(sc.conn.id) < sc.attempt.endOffset
	l.timers.cancel(sc.responseTimer)
	sc.responseTimer = nil
	if sc.idleTime > l.servers.maxReuseIdle/2 {
		l.servers.raiseMaxReuseIdle()
	}
	if sc.healthCheckTimer != nil {
		sc.endHealthCheck(choice.Succeeded)
	} else if err := sc.handleAnswer(value, early); err != nil {
		return 0, err
	}
	switch {
	case early:
		l.closeConn(sc.conn, AttemptCancelled) // the rest of the command must not be sent
	case l.conns[sc.conn.id] == sc.conn:
		sc.release()
	}
	return n, nil
}

// startResponseTimer bounds how long the rest of an answer may take. It normally follows at once; a malformed answer
// would hold its request until the deadline.
func (sc *serverConn) startResponseTimer() {
	l := sc.pool.limiter
	if sc.responseTimer == nil {
		sc.responseTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(sc.conn, ProtocolError) })
	}
}

// handleAnswer ends the attempt with its answer. early says that the kernel has only a part of the command: the server
// can only have rejected it, and any other answer is errEarlyResponse.
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

// endHealthCheck ends the health check in flight and queues its outcome for the controller.
func (sc *serverConn) endHealthCheck(outcome choice.Outcome) {
	l := sc.pool.limiter
	l.timers.cancel(sc.healthCheckTimer)
	sc.healthCheckTimer = nil
	l.results = append(l.results, pendingResult{healthChecked: sc.pool.id, outcome: outcome})
}

// onClosed ends the attempt or health check on the connection.
func (sc *serverConn) onClosed(reason CloseReason, written int64) {
	l := sc.pool.limiter
	att := sc.attempt
	l.servers.connCount--
	sc.pool.conns = without(sc.pool.conns, sc)
	l.timers.cancel(sc.responseTimer)
	sc.removeFromIdle()
	inUse := att != nil || sc.healthCheckTimer != nil
	if inUse && reason != ConnRefused && reason != ProtocolError {
		// If the server's machine has vanished without notice, its idle connections are dead too. An attempt written to
		// one may have run as far as can be known, while one that cannot connect has not. A refused connection or
		// malformed data does not mean that the machine has vanished.
		sc.pool.closeIdle()
	}
	if reason == ProtocolError {
		l.stats.inputErrors.malformedAnswers++
	}
	if att != nil && sc.endedWhileIdle(reason) {
		l.servers.lowerMaxReuseIdle()
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

// endedWhileIdle tells whether the server had closed the connection, unnoticed here, before its latest command.
func (sc *serverConn) endedWhileIdle(reason CloseReason) bool {
	l := sc.pool.limiter
	closedByServer := reason == PeerReset || reason == PeerClosed
	prompt := l.now-sc.writtenAt <= l.settings.DialTimeout/promptCloseDivisor
	return closedByServer && prompt && sc.idleTime > 0 && sc.responseTimer == nil
}
