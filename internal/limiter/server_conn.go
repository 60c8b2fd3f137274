package limiter

import (
	"container/list"
	"errors"
	"math"
	"ospreycroft/choice"
	"ospreycroft/internal/resp"
	"slices"
)

// promptCloseShare: an end within this part of a dial time-out is the answer to a command's first byte.
const promptCloseShare = 8

// serverConn is one connection to a server, with at most one command out on it: one behind another would wait for the
// other's answer.
type serverConn struct {
	pool             *serverPool
	address          string // the address
	conn             *conn
	attempt          *attempt
	healthCheckTimer *timer        // until when the probe that is out must be answered, nil if none is
	responseTimer    *timer        // until when an answer that has begun must be whole
	idleTime         int64         // how long it had been idle before the command that is out, 0 where it is new
	writtenAt        int64         // when that was written
	idleElement      *list.Element // in the limiter's list of idle connections, nil while it is in use
}

var (
	errUnexpectedResponse = errors.New("an answer that nobody asked for")
	errEarlyResponse      = errors.New("an answer to a command of which the kernel has only a part")
)

func (b *serverConn) onConnected() {
	l := b.pool.l
	if att := b.attempt; att != nil && att.request.state == accepted {
		att.request.client.closeIfGone()
	}
	if att := b.attempt; att != nil && (att.request.state != accepted || l.now >= att.request.deadline || b.pool.draining || att.outdated()) {
		// The request has ended while its connection came up, and nothing may be sent for it any more, or it is too late for this
		// attempt: it was decided on before the process stood still.
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: DeadlineExceeded.outcome(false)})
	}
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
	if att := b.attempt; att != nil {
		att.lastByte, att.location = b.conn.bytesSent, b.pool.location
		if l.effects.Written(b.conn.id) < att.lastByte && att.deduplicatedUntil() < math.MaxInt64 {
			// The kernel has a part of a repeat, which must not become whole once servers do not know the request again.
			l.schedule(att.deduplicatedUntil(), func() {
				if att.open && l.effects.Written(b.conn.id) < att.lastByte {
					l.closeConn(b.conn, DeadlineExceeded)
				}
			})
		}
	}
}

// release keeps the connection for the next command, if the server is to get any.
func (b *serverConn) release() {
	if b.pool.draining || b.address != b.pool.address {
		b.pool.l.closeConn(b.conn, IdleClosed)
		return
	}
	b.pool.idle = append(b.pool.idle, b)
	b.idleElement = b.pool.l.servers.idle.PushBack(b)
}

// takeFromIdle takes the connection out of the idle ones, if it is one.
func (b *serverConn) takeFromIdle() {
	b.pool.idle = without(b.pool.idle, b)
	if b.idleElement != nil {
		b.pool.l.servers.idle.Remove(b.idleElement)
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
	l := b.pool.l
	att := b.attempt
	parse := resp.ReadAnswer
	switch {
	case b.healthCheckTimer != nil:
		parse = resp.ReadValue
	case att == nil:
		return 0, errUnexpectedResponse
	}
	v, n, err := parse(bytes)
	if err != nil {
		return 0, err
	}
	if n == 0 {
		// The rest of a good answer is right behind; a spoilt one would hold its request until the deadline.
		if b.responseTimer == nil {
			b.responseTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(b.conn, ProtocolError) })
		}
		return 0, nil
	}
	early := att != nil && l.effects.Written(b.conn.id) < att.lastByte
	l.timers.cancel(b.responseTimer)
	b.responseTimer = nil
	if b.idleTime > l.servers.keepIdle/2 {
		l.servers.lengthenKeepIdle()
	}
	if b.healthCheckTimer != nil {
		l.timers.cancel(b.healthCheckTimer)
		b.healthCheckTimer = nil
		l.results = append(l.results, pendingResult{healthChecked: b.pool.id, outcome: choice.Succeeded})
	} else {
		reply, value := decodeAnswer(v, l.settings.MaxActualUnits)
		if early && reply.Outcome != choice.Overloaded {
			return 0, errEarlyResponse
		}
		if reply.Outcome == choice.Succeeded {
			l.move(att.request, succeeded, resp.AppendBulk(nil, value))
		}
		b.attempt = nil
		l.endAttempt(att, reply)
	}
	if early {
		l.closeConn(b.conn, AttemptCancelled) // the rest of the command must not follow
	} else if l.conns[b.conn.id] == b.conn {
		b.release()
	}
	return n, nil
}

func (b *serverConn) onClosed(end CloseReason, written int64) {
	l := b.pool.l
	att := b.attempt
	l.servers.connCount--
	b.pool.conns = without(b.pool.conns, b)
	l.timers.cancel(b.responseTimer)
	b.takeFromIdle()
	if (att != nil || b.healthCheckTimer != nil) && end != ConnRefused && end != ProtocolError {
		// What is still idle may be as dead, where a machine has vanished and says nothing: a command on it might
		// have run for all we know, while one for which no connection comes up has not. One that writes nonsense
		// is not dead.
		b.pool.closeIdle()
	}
	if end == ProtocolError {
		l.stats.inputErrors.malformedAnswers++
	}
	if (end == PeerReset || end == PeerClosed) && att != nil && b.idleTime > 0 && b.responseTimer == nil && l.now-b.writtenAt <= l.settings.DialTimeout/promptCloseShare {
		// It had ended before the command came, and nobody had said so: what is idle is not to be trusted for so long.
		l.servers.shortenKeepIdle()
	}
	if att != nil {
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: end.outcome(att.lastByte > 0 && written >= att.lastByte)})
	}
	if b.healthCheckTimer != nil {
		l.timers.cancel(b.healthCheckTimer)
		b.healthCheckTimer = nil
		l.results = append(l.results, pendingResult{healthChecked: b.pool.id, outcome: end.outcome(written > 0)})
	}
	b.pool.forgetIfEmpty()
}
