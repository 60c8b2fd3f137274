package limiter

import (
	"bytes"
	"cmp"
	"container/list"
	"math"
	"slices"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/buffer"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

// client is a connection that a client holds. Answers go out in the order of its commands.
type client struct {
	l            *Limiter
	c            *conn
	answers      []*answer
	closing      bool          // it is closed once it is answered
	parting      bool          // that is looked at again soon
	deaf         bool          // what it sent was malformed, and what comes behind that is not read
	reading      bool          // what has come is being read: its answers go out together behind that
	since        int64         // when it connected
	wrote        int64         // when it was last written to
	used         int64         // when its present command began, or its last one was answered
	half         bool          // a command has begun and is not whole
	hasRequested bool          // it has brought a request
	place        *list.Element // in newClients or usedClients
}

type answer struct {
	request *request // nil where the limiter itself answers
	text    []byte
}

func (l *Limiter) accept(id ConnID) {
	c := &conn{id: id, open: true, since: l.now}
	cl := &client{l: l, c: c, since: l.now, used: l.now}
	cl.place = l.newClients.PushBack(cl)
	c.party, l.conns[id] = cl, c
	l.clients++
	l.makeRoom()
}

// MaxClients is how many connections clients may hold together.
func MaxClients(config *settings.Config) int { return config.Sockets / clientShare }

// crowded: past this the usual clients could soon open no more. They hold a third of our descriptors at most, and where
// each keeps its connection after one request, only as many requests come as connections are closed.
func (l *Limiter) crowded() bool { return l.clients >= l.config.Sockets/clientRoom }

// makeRoom closes clients' connections without an open request, so that others can come: first those that never brought
// one and had time to, then the one idle longest.
func (l *Limiter) makeRoom() {
	since := l.now - l.set.DialTimeout/settled
	for l.crowded() && (l.partIdlest(&l.newClients, since) || l.partIdlest(&l.usedClients, since)) {
	}
}

// partIdlest closes the first of a list that has been idle since a time, and tells whether there is one.
func (l *Limiter) partIdlest(clients *list.List, since int64) bool {
	for e := clients.Front(); e != nil; e = e.Next() {
		if cl := e.Value.(*client); cl.used > since {
			return false
		} else if cl.idle() && cl.part() {
			return true
		}
	}
	return false
}

// part closes the connection, which owes nothing, unless a command has come on it in this very moment.
func (cl *client) part() bool {
	if !cl.l.effects.CloseGracefully(cl.c.id, cl.l.set.DialTimeout, cl.l.set.IdleClose) {
		return false
	}
	cl.l.over(cl.c, IdleClosed)
	return true
}

// visit looks at the clients at intervals. One that says nothing or half a command is closed: it would hold its place
// for good.
func (l *Limiter) visit() {
	for _, clients := range []*list.List{&l.newClients, &l.usedClients} {
		for e := clients.Front(); e != nil; {
			cl := e.Value.(*client)
			e = e.Next()
			switch idle := l.now - cl.used; {
			case len(cl.answers) > 0 || cl.deaf || idle < mayClose:
			case cl.half:
				l.faulty.silent++
				cl.refuse("too slow")
			case !cl.idle(): // an answer is on its way into the kernel
			case !cl.hasRequested, idle > l.set.IdleClose/idleShare:
				if cl.part() {
					l.faulty.silent++
				}
			}
		}
	}
	l.makeRoom()
	every := l.visits()
	if l.crowded() {
		every = min(every, l.set.DialTimeout/crowdLooks)
	}
	l.at(l.now+every, l.visit)
}

// touch notes that a client that has brought a request is in use.
func (cl *client) touch() {
	if cl.hasRequested {
		cl.used = cl.l.now
		cl.l.usedClients.MoveToBack(cl.place)
	}
}

// refuse tells a client why it is closed, behind the answers to what it sent before. Where these take too long they
// fail: it is owed an error or a close soon.
func (cl *client) refuse(why string) {
	l := cl.l
	cl.deaf, cl.closing = true, true
	cl.own("-ERR " + why)
	if len(cl.answers) > 0 && l.conns[cl.c.id] == cl.c {
		l.at(max(cl.since+mayClose, l.now+l.set.DialTimeout), func() {
			for len(cl.answers) > 0 && l.conns[cl.c.id] == cl.c {
				q := cl.answers[0].request
				l.pendingResults = append(l.pendingResults, pendingResult{left: q.id})
				l.move(q, requestFailed, failed)
			}
		})
	}
}

// byID lists the connections in a fixed order.
func (l *Limiter) byID() []*conn {
	list := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return list
}

// idle: nothing is owed to the client, all is written and no part of a command has come that is still to be read.
func (cl *client) idle() bool {
	return len(cl.answers) == 0 && (cl.deaf || len(cl.c.in.Bytes()) == 0) && cl.l.effects.Written(cl.c.id) >= cl.c.sent
}

// leave ends the connection as soon as all is answered: our sending first, behind the last answer, so that it arrives, and nothing
// is read from then on. Its client may send on until it finds the end; what was never read it sends again elsewhere.
func (cl *client) leave() {
	l := cl.l
	if cl.closing = true; len(cl.answers) > 0 || cl.idle() && cl.part() {
		return
	}
	// One that was refused may send on for ever, or never read.
	waited := l.now - cl.wrote
	if cl.deaf && (waited > l.set.IdleClose || waited > l.set.DialTimeout && l.effects.Written(cl.c.id) >= cl.c.sent) {
		l.over(cl.c, IdleClosed)
		return
	}
	// The rest of an answer is on its way, or the rest of a command to us.
	if !cl.parting {
		cl.parting = true
		l.at(l.now+l.set.TimerResolution, func() {
			if cl.parting = false; l.conns[cl.c.id] == cl.c {
				cl.leave()
			}
		})
	}
}

func (cl *client) up() {}

// open tells whether the connection has not ended, as far as the reducer was told.
func (cl *client) open() bool { return cl.l.conns[cl.c.id] == cl.c }

// endIfGone ends the connection of a client that has gone. The event that tells of it may be far behind others.
func (cl *client) endIfGone() {
	if cl.open() && cl.l.effects.PeerGone(cl.c.id) {
		cl.l.over(cl.c, PeerClosed)
	}
}

func (cl *client) ended(end CloseReason, _ int64) {
	l := cl.l
	l.clients--
	if cl.hasRequested {
		l.usedClients.Remove(cl.place)
	} else {
		l.newClients.Remove(cl.place)
	}
	if end == SlowReader {
		l.faulty.unread++
	}
	for _, a := range cl.answers {
		if a.request != nil && a.request.state == accepted {
			l.move(a.request, clientGone, nil)
			l.pendingResults = append(l.pendingResults, pendingResult{left: a.request.id})
		}
	}
}

// read takes the commands that have come, and answers together what can be answered at once.
func (cl *client) read(b []byte) (used int, err error) {
	if !cl.l.effects.Alive(cl.c.id) {
		return len(b), nil // it has gone, and waits for nothing: its end is told next
	}
	cl.reading = true
	for n := 1; n > 0 && used < len(b) && !cl.deaf && cl.open(); used += n {
		n = cl.next(b[used:])
	}
	if cl.deaf {
		used = len(b)
	}
	if half := used < len(b); half != cl.half {
		cl.half = half
		cl.touch()
	}
	cl.reading = false
	cl.flush()
	return used, nil
}

// next takes one command.
func (cl *client) next(b []byte) int {
	words, n, err := resp.ReadCommand(b, cl.l.words[:0])
	cl.l.words = words[:0]
	if len(cl.answers) >= mostPipeline {
		cl.flush()
	}
	crowded := n == 0 && len(b) > buffer.MinCapacity && cl.l.buffered > cl.l.config.Memory/heldShare
	if err == nil && (crowded || len(cl.answers) >= mostPipeline) {
		err = resp.ErrTooLong
	}
	if err != nil {
		cl.l.faulty.malformed++
		cl.refuse(err.Error())
		return len(b)
	}
	if n > 0 {
		cl.command(words)
	}
	return n
}

// own answers a command without the module.
func (cl *client) own(text string) {
	a := &answer{}
	cl.answers = append(cl.answers, a)
	cl.answer(a, []byte(text+"\r\n"))
}

// busy rejects a request that nothing was done for: another limiter may take it soon.
func (cl *client) busy() {
	text := "-BUSY"
	if after := min(cl.l.set.DialTimeout, cl.l.set.MaxRetryAfter); after > 0 {
		text += " " + strconv.FormatInt((after+1e6-1)/1e6, 10)
	}
	cl.own(text)
}

func (cl *client) command(words [][]byte) {
	l := cl.l
	switch string(bytes.ToUpper(words[0])) {
	case "SVC.QUERY", "SVC.SUBMIT":
		cl.request(words)
	case "PING":
		if l.ready {
			cl.own("+PONG")
		} else {
			cl.own("-LOADING not ready yet")
		}
	default:
		cl.fault("unknown command")
	}
}

// fault answers a command that can never be right; -BUSY would say that it may be sent again.
func (cl *client) fault(why string) {
	cl.l.faulty.faulty++
	cl.own("-ERR " + why)
}

// request hands a request to the module, or answers what no module can make sense of.
func (cl *client) request(words [][]byte) {
	l := cl.l
	if len(words) < 4 || len(words) > 5 {
		cl.fault("wrong number of arguments")
		return
	}
	arrival, before, past, fault := l.arrival(words)
	if fault == "" && l.requests[arrival.ID] != nil {
		fault = "id is in use"
	}
	if fault != "" {
		cl.fault(fault)
		return
	}
	age := l.age()
	if cl.closing || l.leaves(arrival.Timeout) || arrival.Timeout <= age {
		// A connection that is never without an open request would never end, nor would the process; or the client's time is
		// over.
		cl.busy()
		return
	}
	if l.held > l.config.Memory/heldShare {
		// Nothing of it was sent, and one more might end the process with all that it has taken.
		cl.own("-BUSY")
		return
	}
	arrival.Timeout -= age
	if !cl.hasRequested {
		l.newClients.Remove(cl.place)
		cl.hasRequested, cl.place = true, l.usedClients.PushBack(cl)
	}
	cl.touch()
	a := &answer{}
	cl.answers = append(cl.answers, a)
	a.request = l.take(cl, a, words, before, past, arrival.Timeout)
	if t := l.set.Classes[arrival.Class]; t.Idempotency == choice.IdempotentWithKey {
		a.request.repeats, a.request.group = t.DeduplicationWindow, t.DeduplicationScope
	}
	l.logic.RequestArrived(l.now, arrival)
}

// arrival reads a request's command; before and past enclose the time in its list of names and values. It is as strict as
// the protocol: what a server turns away costs that server's connection and its standing, and what is not so may spoil
// the record of a customer that others share.
func (l *Limiter) arrival(words [][]byte) (a choice.Arrival, before, past int, fault string) {
	var err error
	if a.Customer, err = strconv.ParseUint(string(words[1]), 16, 64); err != nil || len(words[1]) != 16 || a.Customer >= 1<<33 {
		return a, 0, 0, "customer is not a number below 2^33 in 16 digits"
	}
	if len(words[2]) == 0 || len(words[2]) > mostID {
		return a, 0, 0, "id is empty or too long"
	}
	a.ID = string(words[2])
	names, first := make([][]byte, 0, 8), -1.0
	for from := 0; from <= len(words[3]); {
		field := words[3][from:]
		if i := bytes.IndexByte(field, ','); i >= 0 {
			field = field[:i]
		}
		name, value, found := bytes.Cut(field, []byte("="))
		twice := slices.ContainsFunc(names, func(o []byte) bool { return bytes.Equal(o, name) })
		if !found || len(value) == 0 || twice {
			return a, 0, 0, "a name without a value, or twice"
		}
		names = append(names, name)
		switch string(name) {
		case "c":
			a.Class = string(value)
		case "t":
			a.Plan = string(value)
		case "d":
			var left float64
			if left, err = number(value); err != nil || left <= 0 {
				return a, 0, 0, "d is not a time"
			}
			a.Timeout = int64(left * 1e6)
			before, past = from+len("d="), from+len(field)
		case "units":
			if a.Units, err = number(value); err != nil || a.Units <= 0 || a.Units > l.set.MaxRequestUnits {
				return a, 0, 0, "units is not a number of units"
			}
		case "spread":
			if a.Limiters, err = strconv.Atoi(string(value)); err != nil || a.Limiters < 1 || a.Limiters > l.set.Limiters {
				return a, 0, 0, "spread is not a number of limiters"
			}
		case "first":
			if first, err = number(value); err != nil || first >= float64(l.set.Limiters) || first != math.Trunc(first) {
				return a, 0, 0, "first is not a limiter's number"
			}
		case "r":
			if string(value) != "0" && string(value) != "1" {
				return a, 0, 0, "r is neither 0 nor 1"
			}
		}
		from += len(field) + 1
	}
	t := l.set.Classes[a.Class]
	switch {
	case t == nil:
		return a, 0, 0, "unknown class"
	case l.set.Plans[a.Plan] == nil:
		return a, 0, 0, "unknown plan"
	case a.Timeout == 0:
		return a, 0, 0, "d is missing"
	case a.Limiters == 0 || first < 0:
		return a, 0, 0, "spread or first is missing"
	case a.Units == 0:
		return a, 0, 0, "units is missing"
	case bytes.EqualFold(words[0], []byte("SVC.QUERY")) != (t.Idempotency == choice.Idempotent):
		return a, 0, 0, "the class goes by the other command"
	case (len(words) == 4) != (t.Idempotency == choice.Idempotent):
		return a, 0, 0, "a body that is missing or too much"
	}
	return a, before, past, ""
}

// number reads what fits any count of units or milliseconds: digits, with a point among them or none.
func number(text []byte) (float64, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 {
		return 0, strconv.ErrSyntax
	}
	x, err := strconv.ParseFloat(string(text), 64)
	if err == nil && x > 1e9 {
		err = strconv.ErrRange
	}
	return x, err
}

// answer fills one place and writes what is due, unless more is to come: answers go out in the order of the commands.
func (cl *client) answer(a *answer, text []byte) {
	if a.text = text; !cl.reading {
		cl.flush()
	}
}

// flush writes the answers that are due.
func (cl *client) flush() {
	l := cl.l
	due := 0
	l.scratch = l.scratch[:0]
	for due < len(cl.answers) && cl.answers[due].text != nil {
		l.scratch = append(l.scratch, cl.answers[due].text...)
		cl.answers[due] = nil
		due++
	}
	if due == 0 || l.conns[cl.c.id] != cl.c {
		return
	}
	if cl.answers = cl.answers[due:]; len(cl.answers) == 0 {
		cl.answers = nil // what many at once have taken is let go
	}
	cl.touch()
	l.write(cl.c, l.scratch)
	cl.wrote = l.now
	if l.effects.Written(cl.c.id) < cl.c.sent && l.backlog() > l.config.Memory/heldShare {
		l.over(cl.c, SlowReader)
	} else if cl.closing || l.stopping != 0 && l.now >= l.stopping { // one that came late is left after its first answers
		cl.leave()
	}
}

// backlog is how many bytes wait for clients that do not read.
func (l *Limiter) backlog() int64 {
	waiting := int64(0)
	for id, c := range l.conns {
		if _, is := c.party.(*client); is {
			waiting += c.sent - l.effects.Written(id)
		}
	}
	return waiting
}
