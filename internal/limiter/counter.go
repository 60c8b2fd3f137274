package limiter

import (
	"log"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/counterwire"
	"ospreycroft/internal/hint"
)

const (
	mostLines  = 8  // connections to the counter, which holds 32 of a limiter
	silentFor  = 20 // a line whose first call is unanswered for so many time-outs is given up
	pingsAfter = 40 // one that is idle for so many is pinged, before the counter closes it
)

// counter holds the connections to the counter.
type counter struct {
	l     *Limiter
	lines []*line
	heard int64 // when the counter last answered
	down  bool  // as logged: it has not for long
}

// line is one connection to the counter; answers come in the order of its calls.
type line struct {
	counter *counter
	c       *conn
	calls   []*call
	leaving bool // the counter has moved: nothing new is written, and it is closed once all is answered
}

type call struct {
	line   *line
	name   uint64
	amount float64
	life   int64
	at     int64
	limit  *timer
	ping   bool
	last   int64 // the place of its last byte among all that was written, 0 before
	told   bool  // the module has had its answer; a late one belongs to nobody
}

// open dials one more line.
func (k *counter) open() *line {
	ln := &line{counter: k}
	k.lines = append(k.lines, ln)
	ln.c = k.l.dial(ln, k.l.config.Counter, k.l.set.DialTimeout)
	return ln
}

// AddToCounter is an effect of the module. Calls on one name that are out go on one line, so that they are answered in their order.
func (l *Limiter) AddToCounter(name uint64, amount float64, lifetime int64) {
	k := &l.counter
	c := &call{name: name, amount: amount, life: lifetime, at: l.now}
	k.put(c)
	c.limit = l.at(l.now+l.set.CounterTimeout, func() { c.line.late(c) })
}

// put puts a call on a line.
func (k *counter) put(c *call) {
	ln := k.line(c.name)
	c.line, ln.calls = ln, append(ln.calls, c)
	if ln.c.open {
		ln.write(c)
	}
}

// line chooses the line for a call.
func (k *counter) line(name uint64) *line {
	var best *line
	lines := 0
	for _, ln := range k.lines {
		for _, c := range ln.calls {
			if !c.ping && c.name == name && !(c.told && ln.leaving) {
				return ln
			}
		}
		if ln.leaving {
			continue
		}
		if lines++; best == nil || len(ln.calls) < len(best.calls) {
			best = ln
		}
	}
	if best == nil || len(best.calls) > 0 && lines < mostLines {
		return k.open()
	}
	return best
}

// move goes to the counter's new address. What was written is answered on its old line, or ends with it; what was not
// is written on a new one, once.
func (k *counter) move() {
	var waiting []*call
	for _, ln := range slices.Clone(k.lines) {
		ln.leaving = true
		if !ln.c.open {
			waiting = append(waiting, ln.calls...)
			ln.calls = nil
		}
		ln.leave()
	}
	for _, c := range waiting {
		k.put(c)
	}
	if len(waiting) == 0 {
		k.open()
	}
}

// leave closes a line to the old address that nothing is out on any more.
func (ln *line) leave() {
	if ln.leaving && len(ln.calls) == 0 {
		ln.counter.l.over(ln.c, IdleClosed)
	}
}

func (ln *line) write(c *call) {
	l := ln.counter.l
	if c.ping {
		l.scratch = counterwire.AppendPing(l.scratch[:0])
	} else {
		l.scratch = counterwire.AppendAdd(l.scratch[:0], c.name, c.amount, c.life)
	}
	l.write(ln.c, l.scratch)
	c.last = ln.c.sent
}

// late ends a call that has no answer in time. Where it was not written yet it never will be.
func (ln *line) late(c *call) {
	if c.last == 0 {
		ln.calls = slices.DeleteFunc(ln.calls, func(o *call) bool { return o == c })
	}
	ln.counter.tell(c, DeadlineExceeded.counted(c.last > 0), 0)
}

// tell owes the module the answer to a call, once.
func (k *counter) tell(c *call, outcome choice.Outcome, total float64) {
	if c.told || c.ping {
		return
	}
	c.told = true
	k.l.timers.drop(c.limit)
	k.l.pendingResults = append(k.l.pendingResults, pendingResult{call: true, name: c.name, outcome: outcome, total: total})
	if down := k.l.now-k.heard > silentFor*k.l.set.CounterTimeout; down && !k.down {
		k.down = true
		log.Printf("event=counter answers=false")
	}
}

// answered notes a sign of life.
func (k *counter) answered() {
	if k.heard = k.l.now; k.down {
		k.down = false
		log.Printf("event=counter answers=true")
	}
}

func (ln *line) up() {
	for _, c := range ln.calls {
		ln.write(c)
	}
}

func (ln *line) read(b []byte) (int, error) {
	kind, total, n, err := counterwire.ReadReply(b)
	if err != nil {
		ln.counter.l.faulty.spoilt++
		return 0, err
	}
	if n == 0 {
		return 0, nil
	}
	if len(ln.calls) == 0 {
		return 0, errUnasked
	}
	c := ln.calls[0]
	if c.ping != (kind == counterwire.Pong) {
		log.Printf("event=counter-line %s", hint.LogFields(&counterwire.MismatchError{Ping: c.ping}))
		return 0, errUnasked
	}
	ln.calls = ln.calls[1:]
	ln.counter.answered()
	switch kind {
	case counterwire.Added:
		ln.counter.tell(c, choice.Succeeded, total)
	case counterwire.Overloaded:
		ln.counter.tell(c, choice.Overloaded, 0)
	case counterwire.Rejected:
		log.Printf("event=counter-refused name=%d amount=%v %s", c.name, c.amount,
			hint.LogFields(&counterwire.RejectedError{Name: c.name, Amount: c.amount}))
		ln.counter.tell(c, ConnRefused.counted(false), 0)
	}
	ln.leave()
	return n, nil
}

func (ln *line) ended(end CloseReason, written int64) {
	k := ln.counter
	k.lines = slices.DeleteFunc(k.lines, func(o *line) bool { return o == ln })
	for _, c := range ln.calls {
		k.tell(c, end.counted(c.last > 0 && written >= c.last), 0)
	}
}

// sweep gives up silent lines and keeps idle ones from being closed by the counter.
func (k *counter) sweep() {
	l := k.l
	for _, ln := range slices.Clone(k.lines) {
		switch {
		case !ln.c.open:
		case len(ln.calls) > 0 && l.now-ln.calls[0].at > silentFor*l.set.CounterTimeout:
			l.over(ln.c, NoResponse)
		case len(ln.calls) == 0 && l.now-ln.c.since > pingsAfter*l.set.CounterTimeout:
			c := &call{ping: true, at: l.now}
			ln.calls = append(ln.calls, c)
			ln.write(c)
		}
	}
}

// waits tells whether a call is out that the module waits for.
func (k *counter) waits() bool {
	for _, ln := range k.lines {
		for _, c := range ln.calls {
			if !c.told && !c.ping {
				return true
			}
		}
	}
	return false
}
