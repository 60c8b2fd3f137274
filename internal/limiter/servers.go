package limiter

import (
	"bytes"
	"container/list"
	"errors"
	"math"
	"slices"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/resp"
)

// serverPool holds the connections to one server.
type serverPool struct {
	l        *Limiter
	id       string
	address  string
	location location
	order    int64            // in the order in which the limiter met its servers
	listedIn int64            // the latest whole list that names it
	conns    []*serverConn    // its connections, idle or not, in the order in which they were dialled
	idle     []*serverConn    // the one used last at the end
	draining bool             // it drains or is gone: no connection to it is kept
	removed  bool             // it is let go of once there is none
	newConns coldstart.Bucket // of new connections, without bound where none is stated
}

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

// acquire takes the connection that was used last or opens one; nil if there is no descriptor for it
// or no more may be opened. One that has
// just brought an answer rests first: what a server sends too much comes some milliseconds behind, and would be taken for the
// answer to the next command.
func (p *serverPool) acquire() *serverConn {
	l := p.l
	rest := max(l.settings.TimerResolution, min(restTicks*l.settings.TimerResolution, l.keepIdle/2))
	for i := len(p.idle) - 1; i >= 0; i-- {
		b := p.idle[i]
		if b.idleTime = l.now - b.conn.lastUsed; b.idleTime > l.keepIdle {
			break
		} else if b.idleTime >= rest {
			b.takeFromIdle()
			return b
		}
	}
	if !p.newConns.Take(l.now) || l.serverConns >= l.config.Sockets/serverDescriptorShare && !l.closeOldestIdle() {
		return nil
	}
	l.serverConns++
	b := &serverConn{pool: p, address: p.address}
	p.conns = append(p.conns, b)
	return b
}

// closeOldestIdle closes the connection to a server that has been idle longest.
func (l *Limiter) closeOldestIdle() bool {
	oldest := l.idleConns.Front()
	if oldest == nil {
		return false
	}
	l.closeConn(oldest.Value.(*serverConn).conn, IdleClosed)
	return true
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
			b.conn = p.l.dial(b, b.address, p.l.settings.DialTimeout)
			return true
		}
		if p.l.effects.Alive(b.conn.id) {
			begin(b)
			b.onConnected()
			return true
		}
		p.l.closeConn(b.conn, PeerClosed)
	}
}

func (p *serverPool) send(att *attempt) {
	l := p.l
	begin := func(b *serverConn) {
		b.attempt, att.conn = att, b
		att.deadlineTimer = l.schedule(att.request.deadline, func() { l.closeConn(att.conn.conn, DeadlineExceeded) })
	}
	if !p.withConn(begin) {
		l.endAttempt(att, choice.AttemptResult{Outcome: NoConnection.outcome(false)})
	}
}

// HealthCheck is an effect of the module: the server answers a command that does no work.
func (l *Limiter) HealthCheck(server string) {
	begin := func(b *serverConn) {
		b.healthCheckTimer = l.schedule(l.now+l.settings.DialTimeout, func() { l.closeConn(b.conn, DeadlineExceeded) })
	}
	if !l.pools[server].withConn(begin) {
		l.pendingResults = append(l.pendingResults, pendingResult{healthChecked: server, outcome: NoConnection.outcome(false)})
	}
}

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
	l.writeBuffer = l.writeBuffer[:0]
	if b.healthCheckTimer != nil {
		l.writeBuffer = resp.AppendCommand(l.writeBuffer, []byte("SELECT"), []byte("0"))
	} else {
		l.writeBuffer = b.attempt.request.appendCommand(l.writeBuffer, l.now)
	}
	l.write(b.conn, l.writeBuffer)
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
	b.idleElement = b.pool.l.idleConns.PushBack(b)
}

// takeFromIdle takes the connection out of the idle ones, if it is one.
func (b *serverConn) takeFromIdle() {
	b.pool.idle = without(b.pool.idle, b)
	if b.idleElement != nil {
		b.pool.l.idleConns.Remove(b.idleElement)
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
	l, att := b.pool.l, b.attempt
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
	if b.idleTime > l.keepIdle/2 {
		l.keepIdle = min(l.keepIdle+l.keepIdle/keepIdleIncrease, l.settings.IdleClose/idleCloseShare)
	}
	if b.healthCheckTimer != nil {
		l.timers.cancel(b.healthCheckTimer)
		b.healthCheckTimer = nil
		l.pendingResults = append(l.pendingResults, pendingResult{healthChecked: b.pool.id, outcome: choice.Succeeded})
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

// maxReportFigure is the largest figure of a load report that is believed, the protocol's largest amount.
const maxReportFigure = 1e9

// decodeAnswer tells what a server's answer means and its value: the true units, so many at most, and the load report where
// it gives them.
func decodeAnswer(v resp.Value, most float64) (reply choice.AttemptResult, value []byte) {
	switch {
	case v.Kind == '*':
		reply = choice.AttemptResult{Outcome: choice.Succeeded, ActualUnits: loadFigure(v.List[1].Text, "cost", most)}
		if len(v.List) > 2 {
			reply.Load.InFlight = loadFigure(v.List[2].Text, "outstanding", maxReportFigure)
			reply.Load.Throughput = loadFigure(v.List[2].Text, "throughput", maxReportFigure)
			reply.Load.Queued = loadFigure(v.List[2].Text, "backlog", maxReportFigure)
			reply.Load.ServiceTime = int64(loadFigure(v.List[2].Text, "recent_ms", maxReportFigure) * 1e6)
		}
		return reply, v.List[0].Text
	case (string(v.Text) == "BUSY" || bytes.HasPrefix(v.Text, []byte("BUSY "))):
		return choice.AttemptResult{Outcome: choice.Overloaded}, nil
	}
	return choice.AttemptResult{Outcome: choice.ServerError}, nil
}

// loadFigure finds one of the figures on use or load by its name. One that cannot be right counts as none, 0: settled,
// it would spoil the customer's account for good.
func loadFigure(figures []byte, wanted string, most float64) float64 {
	for _, field := range bytes.Split(figures, []byte(",")) {
		if name, value, _ := bytes.Cut(field, []byte("=")); string(name) == wanted {
			if x, err := strconv.ParseFloat(string(value), 64); err == nil && x > 0 && x <= most {
				return x
			}
		}
	}
	return 0
}

func (b *serverConn) onClosed(end CloseReason, written int64) {
	l, att := b.pool.l, b.attempt
	l.serverConns--
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
		l.rejectedInput.malformedAnswers++
	}
	if (end == PeerReset || end == PeerClosed) && att != nil && b.idleTime > 0 && b.responseTimer == nil && l.now-b.writtenAt <= l.settings.DialTimeout/promptCloseShare {
		// It had ended before the command came, and nobody had said so: what is idle is not to be trusted for so long.
		l.keepIdle = max(l.keepIdle-l.keepIdle/keepIdleDecrease, 2*l.settings.TimerResolution)
	}
	if att != nil {
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: end.outcome(att.lastByte > 0 && written >= att.lastByte)})
	}
	if b.healthCheckTimer != nil {
		l.timers.cancel(b.healthCheckTimer)
		b.healthCheckTimer = nil
		l.pendingResults = append(l.pendingResults, pendingResult{healthChecked: b.pool.id, outcome: end.outcome(written > 0)})
	}
	b.pool.forgetIfEmpty()
}

// forgetIfEmpty lets go of a server that is gone once nothing is open to it: on a day on which all servers are replaced,
// again and again, they would fill the memory.
func (p *serverPool) forgetIfEmpty() {
	if l := p.l; p.removed && len(p.conns) == 0 && l.pools[p.id] == p {
		delete(l.pools, p.id)
	}
}

// closeUnused ends what is not in use of the connections to a server that drains or is gone. An attempt whose connection is
// not up yet is taken back: by the time it is up the grace may be over.
func (p *serverPool) closeUnused() {
	p.closeIdle()
	for _, b := range slices.Clone(p.conns) {
		if p.l.conns[b.conn.id] == b.conn && !b.conn.open {
			p.l.closeConn(b.conn, AttemptCancelled)
		}
	}
}

func (p *serverPool) closeIdle() { p.closeIdleSince(math.MaxInt64) }

// closeIdleSince ends the connections that have been idle since before a time.
func (p *serverPool) closeIdleSince(at int64) {
	for len(p.idle) > 0 && p.idle[0].conn.lastUsed < at {
		p.l.closeConn(p.idle[0].conn, IdleClosed)
	}
}

// closeExpiredIdle closes the connections to servers that have been idle for long: a command that crosses with the server's closing
// counts as sent.
func (l *Limiter) closeExpiredIdle() {
	for e := l.idleConns.Front(); e != nil && e.Value.(*serverConn).conn.lastUsed < l.now-l.keepIdle; e = l.idleConns.Front() {
		l.closeConn(e.Value.(*serverConn).conn, IdleClosed)
	}
}
