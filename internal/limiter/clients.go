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
	l               *Limiter
	conn            *conn
	answers         []*answer
	closing         bool          // it is closed once it is answered
	closePending    bool          // that is looked at again soon
	inputDiscarded  bool          // what it sent was malformed, and what comes behind that is not read
	processingInput bool          // what has come is being read: its answers go out together behind that
	connectedAt     int64         // when it connected
	lastWrite       int64         // when it was last written to
	lastUsed        int64         // when its present command began, or its last one was answered
	partialCommand  bool          // a command has begun and is not whole
	hasRequested    bool          // it has brought a request
	element         *list.Element // in newClients or usedClients
}

type answer struct {
	request *request // nil where the limiter itself answers
	text    []byte
}

func (l *Limiter) accept(id ConnID) {
	c := &conn{id: id, open: true, lastUsed: l.now}
	cl := &client{l: l, conn: c, connectedAt: l.now, lastUsed: l.now}
	cl.element = l.newClients.PushBack(cl)
	c.handler, l.conns[id] = cl, c
	l.clientCount++
	l.makeRoomForClients()
}

// MaxClients is how many connections clients may hold together.
func MaxClients(config *settings.Config) int { return config.Sockets / clientDescriptorShare }

// nearClientLimit: past this the usual clients could soon open no more. They hold a third of our descriptors at most, and where
// each keeps its connection after one request, only as many requests come as connections are closed.
func (l *Limiter) nearClientLimit() bool { return l.clientCount >= l.config.Sockets/clientLimitShare }

// makeRoomForClients closes clients' connections without an open request, so that others can come: first those that never brought
// one and had time to, then the one idle longest.
func (l *Limiter) makeRoomForClients() {
	since := l.now - l.settings.DialTimeout/newClientGraceShare
	for l.nearClientLimit() && (l.closeFirstIdle(&l.newClients, since) || l.closeFirstIdle(&l.usedClients, since)) {
	}
}

// closeFirstIdle closes the first of a list that has been idle since a time, and tells whether there is one.
func (l *Limiter) closeFirstIdle(clients *list.List, since int64) bool {
	for e := clients.Front(); e != nil; e = e.Next() {
		if cl := e.Value.(*client); cl.lastUsed > since {
			return false
		} else if cl.idle() && cl.closeIfIdle() {
			return true
		}
	}
	return false
}

// closeIfIdle closes the connection, which owes nothing, unless a command has come on it in this very moment.
func (cl *client) closeIfIdle() bool {
	if !cl.l.effects.CloseGracefully(cl.conn.id, cl.l.settings.DialTimeout, cl.l.settings.IdleClose) {
		return false
	}
	cl.l.closeConn(cl.conn, IdleClosed)
	return true
}

// reapClients looks at the clients at intervals. One that says nothing or half a command is closed: it would hold its place
// for good.
func (l *Limiter) reapClients() {
	for _, clients := range []*list.List{&l.newClients, &l.usedClients} {
		for e := clients.Front(); e != nil; {
			cl := e.Value.(*client)
			e = e.Next()
			switch idle := l.now - cl.lastUsed; {
			case len(cl.answers) > 0 || cl.inputDiscarded || idle < minClientIdle:
			case cl.partialCommand:
				l.rejectedInput.silentClients++
				cl.rejectInput("too slow")
			case !cl.idle(): // an answer is on its way into the kernel
			case !cl.hasRequested, idle > l.settings.IdleClose/idleCloseShare:
				if cl.closeIfIdle() {
					l.rejectedInput.silentClients++
				}
			}
		}
	}
	l.makeRoomForClients()
	every := l.reapInterval()
	if l.nearClientLimit() {
		every = min(every, l.settings.DialTimeout/reapsNearLimit)
	}
	l.schedule(l.now+every, l.reapClients)
}

// markUsed notes that a client that has brought a request is in use.
func (cl *client) markUsed() {
	if cl.hasRequested {
		cl.lastUsed = cl.l.now
		cl.l.usedClients.MoveToBack(cl.element)
	}
}

// rejectInput tells a client why it is closed, behind the answers to what it sent before. Where these take too long they
// fail: it is owed an error or a close soon.
func (cl *client) rejectInput(why string) {
	l := cl.l
	cl.inputDiscarded, cl.closing = true, true
	cl.answerDirectly("-ERR " + why)
	if len(cl.answers) > 0 && l.conns[cl.conn.id] == cl.conn {
		l.schedule(max(cl.connectedAt+minClientIdle, l.now+l.settings.DialTimeout), func() {
			for len(cl.answers) > 0 && l.conns[cl.conn.id] == cl.conn {
				q := cl.answers[0].request
				l.pendingResults = append(l.pendingResults, pendingResult{disconnected: q.id})
				l.move(q, requestFailed, failedAnswer)
			}
		})
	}
}

// connsInOrder lists the connections in a fixed order.
func (l *Limiter) connsInOrder() []*conn {
	list := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return list
}

// idle: nothing is owed to the client, all is written and no part of a command has come that is still to be read.
func (cl *client) idle() bool {
	return len(cl.answers) == 0 && (cl.inputDiscarded || len(cl.conn.input.Bytes()) == 0) && cl.l.effects.Written(cl.conn.id) >= cl.conn.bytesSent
}

// closeWhenAnswered ends the connection as soon as all is answered: our sending first, behind the last answer, so that it arrives, and nothing
// is read from then on. Its client may send on until it finds the end; what was never read it sends again elsewhere.
func (cl *client) closeWhenAnswered() {
	l := cl.l
	if cl.closing = true; len(cl.answers) > 0 || cl.idle() && cl.closeIfIdle() {
		return
	}
	// One that was refused may send on for ever, or never read.
	waited := l.now - cl.lastWrite
	if cl.inputDiscarded && (waited > l.settings.IdleClose || waited > l.settings.DialTimeout && l.effects.Written(cl.conn.id) >= cl.conn.bytesSent) {
		l.closeConn(cl.conn, IdleClosed)
		return
	}
	// The rest of an answer is on its way, or the rest of a command to us.
	if !cl.closePending {
		cl.closePending = true
		l.schedule(l.now+l.settings.TimerResolution, func() {
			if cl.closePending = false; l.conns[cl.conn.id] == cl.conn {
				cl.closeWhenAnswered()
			}
		})
	}
}

func (cl *client) onConnected() {}

// open tells whether the connection has not ended, as far as the reducer was told.
func (cl *client) open() bool { return cl.l.conns[cl.conn.id] == cl.conn }

// closeIfGone ends the connection of a client that has gone. The event that tells of it may be far behind others.
func (cl *client) closeIfGone() {
	if cl.open() && cl.l.effects.PeerGone(cl.conn.id) {
		cl.l.closeConn(cl.conn, PeerClosed)
	}
}

func (cl *client) onClosed(end CloseReason, _ int64) {
	l := cl.l
	l.clientCount--
	if cl.hasRequested {
		l.usedClients.Remove(cl.element)
	} else {
		l.newClients.Remove(cl.element)
	}
	if end == SlowReader {
		l.rejectedInput.slowReaders++
	}
	for _, a := range cl.answers {
		if a.request != nil && a.request.state == accepted {
			l.move(a.request, clientGone, nil)
			l.pendingResults = append(l.pendingResults, pendingResult{disconnected: a.request.id})
		}
	}
}

// onData takes the commands that have come, and answers together what can be answered at once.
func (cl *client) onData(b []byte) (used int, err error) {
	if !cl.l.effects.Alive(cl.conn.id) {
		return len(b), nil // it has gone, and waits for nothing: its end is told next
	}
	cl.processingInput = true
	for n := 1; n > 0 && used < len(b) && !cl.inputDiscarded && cl.open(); used += n {
		n = cl.next(b[used:])
	}
	if cl.inputDiscarded {
		used = len(b)
	}
	if half := used < len(b); half != cl.partialCommand {
		cl.partialCommand = half
		cl.markUsed()
	}
	cl.processingInput = false
	cl.flush()
	return used, nil
}

// next takes one command.
func (cl *client) next(b []byte) int {
	words, n, err := resp.ReadCommand(b, cl.l.wordBuffer[:0])
	cl.l.wordBuffer = words[:0]
	if len(cl.answers) >= maxPipelined {
		cl.flush()
	}
	crowded := n == 0 && len(b) > buffer.MinCapacity && cl.l.bufferedBytes > cl.l.config.Memory/memoryShare
	if err == nil && (crowded || len(cl.answers) >= maxPipelined) {
		err = resp.ErrTooLong
	}
	if err != nil {
		cl.l.rejectedInput.malformedCommands++
		cl.rejectInput(err.Error())
		return len(b)
	}
	if n > 0 {
		cl.command(words)
	}
	return n
}

// answerDirectly answers a command without the module.
func (cl *client) answerDirectly(text string) {
	a := &answer{}
	cl.answers = append(cl.answers, a)
	cl.answer(a, []byte(text+"\r\n"))
}

// answerBusy rejects a request that nothing was done for: another limiter may take it soon.
func (cl *client) answerBusy() {
	text := "-BUSY"
	if after := min(cl.l.settings.DialTimeout, cl.l.settings.MaxRetryAfter); after > 0 {
		text += " " + strconv.FormatInt((after+1e6-1)/1e6, 10)
	}
	cl.answerDirectly(text)
}

func (cl *client) command(words [][]byte) {
	l := cl.l
	switch string(bytes.ToUpper(words[0])) {
	case "SVC.QUERY", "SVC.SUBMIT":
		cl.request(words)
	case "PING":
		if l.ready {
			cl.answerDirectly("+PONG")
		} else {
			cl.answerDirectly("-LOADING not ready yet")
		}
	default:
		cl.answerError("unknown command")
	}
}

// answerError answers a command that can never be right; -BUSY would say that it may be sent again.
func (cl *client) answerError(why string) {
	cl.l.rejectedInput.invalidCommands++
	cl.answerDirectly("-ERR " + why)
}

// request hands a request to the module, or answers what no module can make sense of.
func (cl *client) request(words [][]byte) {
	l := cl.l
	if len(words) < 4 || len(words) > 5 {
		cl.answerError("wrong number of arguments")
		return
	}
	arrival, before, past, fault := l.parseArrival(words)
	if fault == "" && l.requests[arrival.ID] != nil {
		fault = "id is in use"
	}
	if fault != "" {
		cl.answerError(fault)
		return
	}
	age := l.readDelay()
	if cl.closing || l.outlivesShutdown(arrival.Timeout) || arrival.Timeout <= age {
		// A connection that is never without an open request would never end, nor would the process; or the client's time is
		// over.
		cl.answerBusy()
		return
	}
	if l.heldBytes > l.config.Memory/memoryShare {
		// Nothing of it was sent, and one more might end the process with all that it has taken.
		cl.answerDirectly("-BUSY")
		return
	}
	arrival.Timeout -= age
	if !cl.hasRequested {
		l.newClients.Remove(cl.element)
		cl.hasRequested, cl.element = true, l.usedClients.PushBack(cl)
	}
	cl.markUsed()
	a := &answer{}
	cl.answers = append(cl.answers, a)
	a.request = l.addRequest(cl, a, words, before, past, arrival.Timeout)
	if t := l.settings.Classes[arrival.Class]; t.Idempotency == choice.IdempotentWithKey {
		a.request.deduplicationWindow, a.request.deduplicationScope = t.DeduplicationWindow, t.DeduplicationScope
	}
	l.controller.RequestArrived(l.now, arrival)
}

// parseArrival reads a request's command; before and past enclose the time in its list of names and values. It is as strict as
// the protocol: what a server turns away costs that server's connection and its standing, and what is not so may spoil
// the record of a customer that others share.
func (l *Limiter) parseArrival(words [][]byte) (a choice.Arrival, before, past int, fault string) {
	var err error
	if a.Customer, err = strconv.ParseUint(string(words[1]), 16, 64); err != nil || len(words[1]) != 16 || a.Customer >= 1<<33 {
		return a, 0, 0, "customer is not a number below 2^33 in 16 digits"
	}
	if len(words[2]) == 0 || len(words[2]) > maxIDBytes {
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
			if a.Units, err = number(value); err != nil || a.Units <= 0 || a.Units > l.settings.MaxRequestUnits {
				return a, 0, 0, "units is not a number of units"
			}
		case "spread":
			if a.Limiters, err = strconv.Atoi(string(value)); err != nil || a.Limiters < 1 || a.Limiters > l.settings.Limiters {
				return a, 0, 0, "spread is not a number of limiters"
			}
		case "first":
			if first, err = number(value); err != nil || first >= float64(l.settings.Limiters) || first != math.Trunc(first) {
				return a, 0, 0, "first is not a limiter's number"
			}
		case "r":
			if string(value) != "0" && string(value) != "1" {
				return a, 0, 0, "r is neither 0 nor 1"
			}
		}
		from += len(field) + 1
	}
	t := l.settings.Classes[a.Class]
	switch {
	case t == nil:
		return a, 0, 0, "unknown class"
	case l.settings.Plans[a.Plan] == nil:
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
	if a.text = text; !cl.processingInput {
		cl.flush()
	}
}

// flush writes the answers that are due.
func (cl *client) flush() {
	l := cl.l
	due := 0
	l.writeBuffer = l.writeBuffer[:0]
	for due < len(cl.answers) && cl.answers[due].text != nil {
		l.writeBuffer = append(l.writeBuffer, cl.answers[due].text...)
		cl.answers[due] = nil
		due++
	}
	if due == 0 || l.conns[cl.conn.id] != cl.conn {
		return
	}
	if cl.answers = cl.answers[due:]; len(cl.answers) == 0 {
		cl.answers = nil // what many at once have taken is let go
	}
	cl.markUsed()
	l.write(cl.conn, l.writeBuffer)
	cl.lastWrite = l.now
	if l.effects.Written(cl.conn.id) < cl.conn.bytesSent && l.unreadBytes() > l.config.Memory/memoryShare {
		l.closeConn(cl.conn, SlowReader)
	} else if cl.closing || l.lingerUntil != 0 && l.now >= l.lingerUntil { // one that came late is left after its first answers
		cl.closeWhenAnswered()
	}
}

// unreadBytes is how many bytes wait for clients that do not read.
func (l *Limiter) unreadBytes() int64 {
	waiting := int64(0)
	for id, c := range l.conns {
		if _, is := c.handler.(*client); is {
			waiting += c.bytesSent - l.effects.Written(id)
		}
	}
	return waiting
}
