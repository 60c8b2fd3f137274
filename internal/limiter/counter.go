package limiter

import (
	"log/slog"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/counterwire"
	"ospreycroft/internal/hint"
)

const (
	maxCounterConns = 8  // connections to the counter, which holds 32 of a limiter
	silentTimeouts  = 20 // a line whose first call is unanswered for so many time-outs is given up
	pingTimeouts    = 40 // one that is idle for so many is pinged, before the counter closes it
)

// counterClient holds the connections to the counter.
type counterClient struct {
	limiter    *Limiter
	conns      []*counterConn
	lastReply  int64 // when the counter last answered
	loggedDown bool  // as logged: it has not for long
}

// counterConn is one connection to the counter; answers come in the order of its calls.
type counterConn struct {
	client   *counterClient
	conn     *conn
	calls    []*counterCall
	draining bool // the counter has moved: nothing new is written, and it is closed once all is answered
}

type counterCall struct {
	conn     *counterConn
	name     uint64
	amount   float64
	lifetime int64
	madeAt   int64
	timeout  *timer
	ping     bool
	lastByte int64 // the place of its last byte among all that was written, 0 before
	answered bool  // the controller has had its answer; a late one belongs to nobody
}

// connect dials one more line.
func (k *counterClient) connect() *counterConn {
	ln := &counterConn{client: k}
	k.conns = append(k.conns, ln)
	ln.conn = k.limiter.dial(ln, k.limiter.config.Counter, k.limiter.settings.DialTimeout)
	return ln
}

// AddToCounter is an effect of the controller. Calls on one name that are out go on one line, so that they are
// answered in their order.
func (l *Limiter) AddToCounter(name uint64, amount float64, lifetime int64) {
	k := &l.counter
	c := &counterCall{name: name, amount: amount, lifetime: lifetime, madeAt: l.now}
	k.assign(c)
	c.timeout = l.schedule(l.now+l.settings.CounterTimeout, func() { c.conn.timeOut(c) })
}

// assign puts a call on a line.
func (k *counterClient) assign(c *counterCall) {
	ln := k.connFor(c.name)
	c.conn, ln.calls = ln, append(ln.calls, c)
	if ln.conn.open {
		ln.write(c)
	}
}

// connFor chooses the connection for a call.
func (k *counterClient) connFor(name uint64) *counterConn {
	var best *counterConn
	lines := 0
	for _, ln := range k.conns {
		for _, c := range ln.calls {
			if !c.ping && c.name == name && (!c.answered || !ln.draining) {
				return ln
			}
		}
		if ln.draining {
			continue
		}
		lines++
		if best == nil || len(ln.calls) < len(best.calls) {
			best = ln
		}
	}
	if best == nil || len(best.calls) > 0 && lines < maxCounterConns {
		return k.connect()
	}
	return best
}

// followMove goes to the counter's new address. What was written is answered on its old line, or ends with it; what
// was not is written on a new one, once.
func (k *counterClient) followMove() {
	var waiting []*counterCall
	for _, ln := range slices.Clone(k.conns) {
		ln.draining = true
		if !ln.conn.open {
			waiting = append(waiting, ln.calls...)
			ln.calls = nil
		}
		ln.closeIfDrained()
	}
	for _, c := range waiting {
		k.assign(c)
	}
	if len(waiting) == 0 {
		k.connect()
	}
}

// closeIfDrained closes a line to the old address that nothing is out on any more.
func (ln *counterConn) closeIfDrained() {
	if ln.draining && len(ln.calls) == 0 {
		ln.client.limiter.closeConn(ln.conn, IdleClosed)
	}
}

func (ln *counterConn) write(c *counterCall) {
	l := ln.client.limiter
	if c.ping {
		l.scratch.write = counterwire.AppendPing(l.scratch.write[:0])
	} else {
		l.scratch.write = counterwire.AppendAdd(l.scratch.write[:0], c.name, c.amount, c.lifetime)
	}
	l.write(ln.conn, l.scratch.write)
	c.lastByte = ln.conn.bytesSent
}

// timeOut ends a call that has no answer in time. Where it was not written yet it never will be.
func (ln *counterConn) timeOut(c *counterCall) {
	if c.lastByte == 0 {
		ln.calls = slices.DeleteFunc(ln.calls, func(o *counterCall) bool { return o == c })
	}
	ln.client.reply(c, DeadlineExceeded.counted(c.lastByte > 0), 0)
}

// reply owes the controller the answer to a call, once.
func (k *counterClient) reply(c *counterCall, outcome choice.Outcome, total float64) {
	if c.answered || c.ping {
		return
	}
	c.answered = true
	k.limiter.timers.cancel(c.timeout)
	k.limiter.results = append(
		k.limiter.results,
		pendingResult{counterReply: true, name: c.name, outcome: outcome, total: total},
	)
	if down := k.limiter.now-k.lastReply > silentTimeouts*k.limiter.settings.CounterTimeout; down && !k.loggedDown {
		k.loggedDown = true
		slog.Warn("counter", "answers", false)
	}
}

// noteReply notes a sign of life.
func (k *counterClient) noteReply() {
	k.lastReply = k.limiter.now
	if k.loggedDown {
		k.loggedDown = false
		slog.Info("counter", "answers", true)
	}
}

func (ln *counterConn) onConnected() {
	for _, c := range ln.calls {
		ln.write(c)
	}
}

func (ln *counterConn) onData(b []byte) (int, error) {
	kind, total, n, err := counterwire.ReadReply(b)
	if err != nil {
		ln.client.limiter.stats.inputErrors.malformedCounterReplies++
		return 0, err
	}
	if n == 0 {
		return 0, nil
	}
	if len(ln.calls) == 0 {
		return 0, errUnexpectedResponse
	}
	c := ln.calls[0]
	if c.ping != (kind == counterwire.Pong) {
		slog.Error("counter-line", hint.Attrs(&counterwire.MismatchError{Ping: c.ping})...)
		return 0, errUnexpectedResponse
	}
	ln.calls = ln.calls[1:]
	ln.client.noteReply()
	switch kind {
	case counterwire.Added:
		ln.client.reply(c, choice.Succeeded, total)
	case counterwire.Overloaded:
		ln.client.reply(c, choice.Overloaded, 0)
	case counterwire.Rejected:
		rejected := &counterwire.RejectedError{Name: c.name, Amount: c.amount}
		slog.Error("counter-refused", append([]any{"name", c.name, "amount", c.amount}, hint.Attrs(rejected)...)...)
		ln.client.reply(c, ConnRefused.counted(false), 0)
	}
	ln.closeIfDrained()
	return n, nil
}

func (ln *counterConn) onClosed(end CloseReason, written int64) {
	k := ln.client
	k.conns = slices.DeleteFunc(k.conns, func(o *counterConn) bool { return o == ln })
	for _, c := range ln.calls {
		k.reply(c, end.counted(c.lastByte > 0 && written >= c.lastByte), 0)
	}
}

// maintain gives up silent lines and keeps idle ones from being closed by the counter.
func (k *counterClient) maintain() {
	l := k.limiter
	for _, ln := range slices.Clone(k.conns) {
		switch {
		case !ln.conn.open:
		case len(ln.calls) > 0 && l.now-ln.calls[0].madeAt > silentTimeouts*l.settings.CounterTimeout:
			l.closeConn(ln.conn, NoResponse)
		case len(ln.calls) == 0 && l.now-ln.conn.lastUsed > pingTimeouts*l.settings.CounterTimeout:
			c := &counterCall{ping: true, madeAt: l.now}
			ln.calls = append(ln.calls, c)
			ln.write(c)
		}
	}
}

// hasPendingCalls tells whether a call is in flight that the controller waits for.
func (k *counterClient) hasPendingCalls() bool {
	for _, ln := range k.conns {
		for _, c := range ln.calls {
			if !c.answered && !c.ping {
				return true
			}
		}
	}
	return false
}
