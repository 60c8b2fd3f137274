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

// pool holds the connections to one server.
type pool struct {
	l       *Limiter
	id      string
	address string
	place   place
	number  int64            // in the order in which the limiter met its servers
	listed  int64            // the latest whole list that names it
	open    []*backend       // its connections, idle or not, in the order in which they were dialled
	idle    []*backend       // the one used last at the end
	leaving bool             // it drains or is gone: no connection to it is kept
	gone    bool             // it is let go of once there is none
	bucket  coldstart.Bucket // of new connections, without bound where none is stated
}

// backend is one connection to a server, with at most one command out on it: one behind another would wait for the
// other's answer.
type backend struct {
	pool    *pool
	to      string // the address
	c       *conn
	attempt *attempt
	probe   *timer        // until when the probe that is out must be answered, nil if none is
	half    *timer        // until when an answer that has begun must be whole
	rested  int64         // how long it had been idle before the command that is out, 0 where it is new
	wrote   int64         // when that was written
	resting *list.Element // in the limiter's list of idle connections, nil while it is in use
}

var (
	errUnasked = errors.New("an answer that nobody asked for")
	errEarly   = errors.New("an answer to a command of which the kernel has only a part")
)

// backend takes the connection that was used last or opens one; nil if there is no descriptor for it
// or no more may be opened. One that has
// just brought an answer rests first: what a server sends too much comes some milliseconds behind, and would be taken for the
// answer to the next command.
func (p *pool) backend() *backend {
	l := p.l
	rest := max(l.set.TimerResolution, min(rests*l.set.TimerResolution, l.keep/2))
	for i := len(p.idle) - 1; i >= 0; i-- {
		b := p.idle[i]
		if b.rested = l.now - b.c.since; b.rested > l.keep {
			break
		} else if b.rested >= rest {
			b.wake()
			return b
		}
	}
	if !p.bucket.Take(l.now) || l.backends >= l.config.Sockets/serverShare && !l.freeBackend() {
		return nil
	}
	l.backends++
	b := &backend{pool: p, to: p.address}
	p.open = append(p.open, b)
	return b
}

// freeBackend closes the connection to a server that has been idle longest.
func (l *Limiter) freeBackend() bool {
	oldest := l.idle.Front()
	if oldest == nil {
		return false
	}
	l.over(oldest.Value.(*backend).c, IdleClosed)
	return true
}

// use takes a connection for a command that begin puts on it: at once where it is open, else when it comes up.
// One that had ended already, which the sockets have yet to tell, took nothing of the command: the next one is
// tried, or the server would be blamed for closing an idle connection.
func (p *pool) use(begin func(b *backend)) bool {
	for {
		b := p.backend()
		if b == nil {
			return false
		}
		if b.c == nil {
			begin(b)
			b.c = p.l.dial(b, b.to, p.l.set.DialTimeout)
			return true
		}
		if p.l.effects.Alive(b.c.id) {
			begin(b)
			b.up()
			return true
		}
		p.l.over(b.c, PeerClosed)
	}
}

func (p *pool) send(att *attempt) {
	l := p.l
	begin := func(b *backend) {
		b.attempt, att.backend = att, b
		att.limit = l.at(att.request.deadline, func() { l.over(att.backend.c, DeadlineExceeded) })
	}
	if !p.use(begin) {
		l.endAttempt(att, choice.AttemptResult{Outcome: NoConnection.outcome(false)})
	}
}

// HealthCheck is an effect of the module: the server answers a command that does no work.
func (l *Limiter) HealthCheck(server string) {
	begin := func(b *backend) {
		b.probe = l.at(l.now+l.set.DialTimeout, func() { l.over(b.c, DeadlineExceeded) })
	}
	if !l.pools[server].use(begin) {
		l.pendingResults = append(l.pendingResults, pendingResult{probed: server, outcome: NoConnection.outcome(false)})
	}
}

func (b *backend) up() {
	l := b.pool.l
	if att := b.attempt; att != nil && att.request.state == accepted {
		att.request.client.endIfGone()
	}
	if att := b.attempt; att != nil && (att.request.state != accepted || l.now >= att.request.deadline || b.pool.leaving || att.stale()) {
		// The request has ended while its connection came up, and nothing may be sent for it any more, or it is too late for this
		// attempt: it was decided on before the process stood still.
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: DeadlineExceeded.outcome(false)})
	}
	if b.attempt == nil && b.probe == nil {
		b.rest()
		return
	}
	l.scratch = l.scratch[:0]
	if b.probe != nil {
		l.scratch = resp.AppendCommand(l.scratch, []byte("SELECT"), []byte("0"))
	} else {
		l.scratch = b.attempt.request.command(l.scratch, l.now)
	}
	l.write(b.c, l.scratch)
	b.wrote = l.now
	if att := b.attempt; att != nil {
		att.last, att.place = b.c.sent, b.pool.place
		if l.effects.Written(b.c.id) < att.last && att.known() < math.MaxInt64 {
			// The kernel has a part of a repeat, which must not become whole once servers do not know the request again.
			l.at(att.known(), func() {
				if att.open && l.effects.Written(b.c.id) < att.last {
					l.over(b.c, DeadlineExceeded)
				}
			})
		}
	}
}

// rest keeps the connection for the next command, if the server is to get any.
func (b *backend) rest() {
	if b.pool.leaving || b.to != b.pool.address {
		b.pool.l.over(b.c, IdleClosed)
		return
	}
	b.pool.idle = append(b.pool.idle, b)
	b.resting = b.pool.l.idle.PushBack(b)
}

// wake takes the connection out of the idle ones, if it is one.
func (b *backend) wake() {
	b.pool.idle = without(b.pool.idle, b)
	if b.resting != nil {
		b.pool.l.idle.Remove(b.resting)
		b.resting = nil
	}
}

// without is a list of connections without one of them.
func without(all []*backend, one *backend) []*backend {
	if i := slices.Index(all, one); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// read takes the answer to the command that is out.
func (b *backend) read(bytes []byte) (int, error) {
	if len(bytes) == 0 {
		return 0, nil
	}
	l, att := b.pool.l, b.attempt
	parse := resp.ReadAnswer
	switch {
	case b.probe != nil:
		parse = resp.ReadValue
	case att == nil:
		return 0, errUnasked
	}
	v, n, err := parse(bytes)
	if err != nil {
		return 0, err
	}
	if n == 0 {
		// The rest of a good answer is right behind; a spoilt one would hold its request until the deadline.
		if b.half == nil {
			b.half = l.at(l.now+l.set.DialTimeout, func() { l.over(b.c, ProtocolError) })
		}
		return 0, nil
	}
	early := att != nil && l.effects.Written(b.c.id) < att.last
	l.timers.drop(b.half)
	b.half = nil
	if b.rested > l.keep/2 {
		l.keep = min(l.keep+l.keep/keepMore, l.set.IdleClose/idleShare)
	}
	if b.probe != nil {
		l.timers.drop(b.probe)
		b.probe = nil
		l.pendingResults = append(l.pendingResults, pendingResult{probed: b.pool.id, outcome: choice.Succeeded})
	} else {
		reply, value := judge(v, l.set.MaxActualUnits)
		if early && reply.Outcome != choice.Overloaded {
			return 0, errEarly
		}
		if reply.Outcome == choice.Succeeded {
			l.move(att.request, succeeded, resp.AppendBulk(nil, value))
		}
		b.attempt = nil
		l.endAttempt(att, reply)
	}
	if early {
		l.over(b.c, AttemptCancelled) // the rest of the command must not follow
	} else if l.conns[b.c.id] == b.c {
		b.rest()
	}
	return n, nil
}

// mostReport is the largest figure of a load report that is believed, the protocol's largest amount.
const mostReport = 1e9

// judge tells what a server's answer means and its value: the true units, so many at most, and the load report where
// it gives them.
func judge(v resp.Value, most float64) (reply choice.AttemptResult, value []byte) {
	switch {
	case v.Kind == '*':
		reply = choice.AttemptResult{Outcome: choice.Succeeded, ActualUnits: figure(v.List[1].Text, "cost", most)}
		if len(v.List) > 2 {
			reply.Load.InFlight = figure(v.List[2].Text, "outstanding", mostReport)
			reply.Load.Throughput = figure(v.List[2].Text, "throughput", mostReport)
			reply.Load.Queued = figure(v.List[2].Text, "backlog", mostReport)
			reply.Load.ServiceTime = int64(figure(v.List[2].Text, "recent_ms", mostReport) * 1e6)
		}
		return reply, v.List[0].Text
	case (string(v.Text) == "BUSY" || bytes.HasPrefix(v.Text, []byte("BUSY "))):
		return choice.AttemptResult{Outcome: choice.Overloaded}, nil
	}
	return choice.AttemptResult{Outcome: choice.ServerError}, nil
}

// figure finds one of the figures on use or load by its name. One that cannot be right counts as none, 0: settled,
// it would spoil the customer's account for good.
func figure(figures []byte, wanted string, most float64) float64 {
	for _, field := range bytes.Split(figures, []byte(",")) {
		if name, value, _ := bytes.Cut(field, []byte("=")); string(name) == wanted {
			if x, err := strconv.ParseFloat(string(value), 64); err == nil && x > 0 && x <= most {
				return x
			}
		}
	}
	return 0
}

func (b *backend) ended(end CloseReason, written int64) {
	l, att := b.pool.l, b.attempt
	l.backends--
	b.pool.open = without(b.pool.open, b)
	l.timers.drop(b.half)
	b.wake()
	if (att != nil || b.probe != nil) && end != ConnRefused && end != ProtocolError {
		// What is still idle may be as dead, where a machine has vanished and says nothing: a command on it might
		// have run for all we know, while one for which no connection comes up has not. One that writes nonsense
		// is not dead.
		b.pool.retireIdle()
	}
	if end == ProtocolError {
		l.faulty.garbled++
	}
	if (end == PeerReset || end == PeerClosed) && att != nil && b.rested > 0 && b.half == nil && l.now-b.wrote <= l.set.DialTimeout/prompt {
		// It had ended before the command came, and nobody had said so: what is idle is not to be trusted for so long.
		l.keep = max(l.keep-l.keep/keepLess, 2*l.set.TimerResolution)
	}
	if att != nil {
		b.attempt = nil
		l.endAttempt(att, choice.AttemptResult{Outcome: end.outcome(att.last > 0 && written >= att.last)})
	}
	if b.probe != nil {
		l.timers.drop(b.probe)
		b.probe = nil
		l.pendingResults = append(l.pendingResults, pendingResult{probed: b.pool.id, outcome: end.outcome(written > 0)})
	}
	b.pool.prune()
}

// prune lets go of a server that is gone once nothing is open to it: on a day on which all servers are replaced,
// again and again, they would fill the memory.
func (p *pool) prune() {
	if l := p.l; p.gone && len(p.open) == 0 && l.pools[p.id] == p {
		delete(l.pools, p.id)
	}
}

// retire ends what is not in use of the connections to a server that drains or is gone. An attempt whose connection is
// not up yet is taken back: by the time it is up the grace may be over.
func (p *pool) retire() {
	p.retireIdle()
	for _, b := range slices.Clone(p.open) {
		if p.l.conns[b.c.id] == b.c && !b.c.open {
			p.l.over(b.c, AttemptCancelled)
		}
	}
}

func (p *pool) retireIdle() { p.retireBefore(math.MaxInt64) }

// retireBefore ends the connections that have been idle since before a time.
func (p *pool) retireBefore(at int64) {
	for len(p.idle) > 0 && p.idle[0].c.since < at {
		p.l.over(p.idle[0].c, IdleClosed)
	}
}

// closeIdle closes the connections to servers that have been idle for long: a command that crosses with the server's closing
// counts as sent.
func (l *Limiter) closeIdle() {
	for e := l.idle.Front(); e != nil && e.Value.(*backend).c.since < l.now-l.keep; e = l.idle.Front() {
		l.over(e.Value.(*backend).c, IdleClosed)
	}
}
