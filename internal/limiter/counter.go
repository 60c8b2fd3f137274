package limiter

import (
	"log/slog"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/counterwire"
	"ospreycroft/internal/hint"
)

const (
	maxCounterConns = 8  // connections to the counter, which accepts 32 from one limiter
	silentTimeouts  = 20 // counter timeouts after which a connection with an unanswered call is closed
	pingTimeouts    = 40 // counter timeouts after which an idle connection is pinged, before the counter closes it
)

// counterClient manages the connections to the counter.
type counterClient struct {
	limiter    *Limiter
	conns      []*counterConn
	lastReply  int64 // when the counter last answered
	loggedDown bool  // the log says that the counter does not answer
	// rejectedLoggedAt is when a rejected call was last logged, and rejectedLeftOut how many were not since.
	rejectedLoggedAt int64
	rejectedLeftOut  int
}

// counterConn is one connection to the counter. Answers come in the order of the calls.
type counterConn struct {
	client   *counterClient
	conn     *conn
	calls    []*counterCall
	byName   map[uint64]int // number of calls by name, without pings
	draining bool           // the counter's address has changed: no new calls, closed once all are answered
}

type counterCall struct {
	conn      *counterConn
	name      uint64
	amount    float64
	lifetime  int64 // of the name on the counter, nanoseconds
	madeAt    int64
	timeout   *timer
	ping      bool
	endOffset int64 // offset behind its last byte in its connection's output, 0 before it is written
	answered  bool  // the controller has the result; a later answer is ignored
}

// connect opens one more connection.
func (cc *counterClient) connect() *counterConn {
	cconn := &counterConn{client: cc, byName: map[uint64]int{}}
	cc.conns = append(cc.conns, cconn)
	cconn.conn = cc.limiter.dial(cconn, cc.limiter.config.Counter, cc.limiter.settings.DialTimeout)
	return cconn
}

// AddToCounter implements choice.Effects. Calls on the same name that are in flight share a connection, so that they
// are answered in order.
func (l *Limiter) AddToCounter(name uint64, amount float64, lifetime int64) {
	cc := &l.counter
	c := &counterCall{name: name, amount: amount, lifetime: lifetime, madeAt: l.now}
	cc.assign(c)
	c.timeout = l.schedule(l.now+l.settings.CounterTimeout, func() { c.conn.timeOut(c) })
}

// assign adds a call to a connection, and writes it if the connection is up.
func (cc *counterClient) assign(c *counterCall) {
	cconn := cc.connFor(c.name)
	c.conn = cconn
	cconn.calls = append(cconn.calls, c)
	cconn.byName[c.name]++
	if cconn.conn.open {
		cconn.write(c)
	}
}

// connFor picks the connection for a call: the one with a call on the same name, else the one with the fewest calls, or
// a new one.
func (cc *counterClient) connFor(name uint64) *counterConn {
	var best *counterConn
	active := 0
	for _, cconn := range cc.conns {
		if cconn.pins(name) {
			return cconn
		}
		if cconn.draining {
			continue
		}
		active++
		if best == nil || len(cconn.calls) < len(best.calls) {
			best = cconn
		}
	}
	if best == nil || len(best.calls) > 0 && active < maxCounterConns {
		return cc.connect()
	}
	return best
}

// pins reports whether another call on a name has to be made on this connection. On the connections to an old address
// only calls that are not finished count.
func (cconn *counterConn) pins(name uint64) bool {
	if !cconn.draining || cconn.byName[name] == 0 {
		return cconn.byName[name] > 0
	}
	return slices.ContainsFunc(cconn.calls, func(c *counterCall) bool {
		return !c.ping && c.name == name && !c.answered
	})
}

// removed updates byName after a call was taken from calls.
func (cconn *counterConn) removed(c *counterCall) {
	if c.ping {
		return
	}
	cconn.byName[c.name]--
	if cconn.byName[c.name] == 0 {
		delete(cconn.byName, c.name)
	}
}

// remove removes a call. Calls time out in the order in which they were made, so it is the first one, as a rule.
func (cconn *counterConn) remove(c *counterCall) {
	i := slices.Index(cconn.calls, c)
	if i < 0 {
		return
	}
	if i == 0 {
		cconn.calls = cconn.calls[1:]
	} else {
		cconn.calls = slices.Delete(cconn.calls, i, i+1)
	}
	cconn.removed(c)
}

// changeAddress switches to the counter's new address. Calls that were written wait for their answers on the old
// connections; the others are written to a new connection, once.
func (cc *counterClient) changeAddress() {
	var waiting []*counterCall
	for _, cconn := range slices.Clone(cc.conns) {
		cconn.draining = true
		if !cconn.conn.open {
			waiting = append(waiting, cconn.calls...)
			cconn.calls = nil
			clear(cconn.byName)
		}
		cconn.closeIfDrained()
	}
	for _, c := range waiting {
		cc.assign(c)
	}
	if len(waiting) == 0 {
		cc.connect()
	}
}

// closeIfDrained closes a connection to the old address if it has no calls in flight.
func (cconn *counterConn) closeIfDrained() {
	if cconn.draining && len(cconn.calls) == 0 {
		cconn.client.limiter.closeConn(cconn.conn, IdleClosed)
	}
}

func (cconn *counterConn) write(c *counterCall) {
	l := cconn.client.limiter
	if c.ping {
		l.scratch.write = counterwire.AppendPing(l.scratch.write[:0])
	} else {
		l.scratch.write = counterwire.AppendAdd(l.scratch.write[:0], c.name, c.amount, c.lifetime)
	}
	l.write(cconn.conn, l.scratch.write)
	c.endOffset = cconn.conn.bytesSent
}

// timeOut ends a call without an answer. If it was not written yet, it is never written.
func (cconn *counterConn) timeOut(c *counterCall) {
	if c.endOffset == 0 {
		cconn.remove(c)
	}
	cconn.client.finishCall(c, DeadlineExceeded.counterOutcome(c.endOffset > 0), 0)
}

// finishCall queues a call's result for the controller. It does nothing for pings and calls that are finished.
func (cc *counterClient) finishCall(c *counterCall, outcome choice.Outcome, total float64) {
	if c.answered || c.ping {
		return
	}
	c.answered = true
	cc.limiter.timers.cancel(c.timeout)
	cc.limiter.results = append(
		cc.limiter.results,
		pendingResult{counterReply: true, name: c.name, outcome: outcome, total: total},
	)
	if down := cc.limiter.now-cc.lastReply > silentTimeouts*cc.limiter.settings.CounterTimeout; down && !cc.loggedDown {
		cc.loggedDown = true
		slog.Warn("counter", "answers", false)
	}
}

// logRejected logs a call that the counter rejected, at most once in failureLogInterval: it may reject each call.
func (cc *counterClient) logRejected(c *counterCall) {
	if cc.rejectedLoggedAt != 0 && cc.limiter.now-cc.rejectedLoggedAt < failureLogInterval {
		cc.rejectedLeftOut++
		return
	}
	rejected := &counterwire.RejectedError{Name: c.name, Amount: c.amount}
	attrs := append([]any{"name", c.name, "amount", c.amount}, hint.Attrs(rejected)...)
	if cc.rejectedLeftOut > 0 {
		attrs = append(attrs, "left_out", cc.rejectedLeftOut)
	}
	slog.Error("counter-refused", attrs...)
	cc.rejectedLoggedAt = cc.limiter.now
	cc.rejectedLeftOut = 0
}

// noteReply records that the counter has answered.
func (cc *counterClient) noteReply() {
	cc.lastReply = cc.limiter.now
	if cc.loggedDown {
		cc.loggedDown = false
		slog.Info("counter", "answers", true)
	}
}

func (cconn *counterConn) onConnected() {
	for _, c := range cconn.calls {
		cconn.write(c)
	}
}

func (cconn *counterConn) onData(b []byte) (int, error) {
	kind, total, n, err := counterwire.ReadReply(b)
	if err != nil {
		cconn.client.limiter.stats.inputErrors.malformedCounterReplies++
		return 0, err
	}
	if n == 0 {
		return 0, nil
	}
	if len(cconn.calls) == 0 {
		return 0, errUnexpectedResponse
	}
	c := cconn.calls[0]
	if c.ping != (kind == counterwire.Pong) {
		slog.Error("counter-line", hint.Attrs(&counterwire.MismatchError{Ping: c.ping})...)
		return 0, errUnexpectedResponse
	}
	cconn.calls = cconn.calls[1:]
	cconn.removed(c)
	cconn.client.noteReply()
	switch kind {
	case counterwire.Added:
		cconn.client.finishCall(c, choice.Succeeded, total)
	case counterwire.Overloaded:
		cconn.client.finishCall(c, choice.Overloaded, 0)
	case counterwire.Rejected:
		cconn.client.logRejected(c)
		cconn.client.finishCall(c, ConnRefused.counterOutcome(false), 0)
	}
	cconn.closeIfDrained()
	return n, nil
}

func (cconn *counterConn) onClosed(reason CloseReason, written int64) {
	cc := cconn.client
	cc.conns = slices.DeleteFunc(cc.conns, func(other *counterConn) bool { return other == cconn })
	for _, c := range cconn.calls {
		cc.finishCall(c, reason.counterOutcome(c.endOffset > 0 && written >= c.endOffset), 0)
	}
}

// maintain closes connections that the counter does not answer on, and pings idle ones so that the counter keeps them.
func (cc *counterClient) maintain() {
	l := cc.limiter
	for _, cconn := range slices.Clone(cc.conns) {
		switch {
		case !cconn.conn.open:
		case len(cconn.calls) > 0 && l.now-cconn.calls[0].madeAt > silentTimeouts*l.settings.CounterTimeout:
			l.closeConn(cconn.conn, NoResponse)
		case len(cconn.calls) == 0 && l.now-cconn.conn.lastUsed > pingTimeouts*l.settings.CounterTimeout:
			c := &counterCall{ping: true, madeAt: l.now}
			cconn.calls = append(cconn.calls, c)
			cconn.write(c)
		}
	}
}

// hasPendingCalls tells whether the controller waits for a call in flight.
func (cc *counterClient) hasPendingCalls() bool {
	for _, cconn := range cc.conns {
		for _, c := range cconn.calls {
			if !c.answered && !c.ping {
				return true
			}
		}
	}
	return false
}
