package limiter

import (
	"bytes"
	"cmp"
	"log"
	"slices"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/buffer"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

// client is a connection that a client holds. Answers go out in the order of its commands.
type client struct {
	l       *Limiter
	c       *conn
	answers []*answer
	closing bool // it is closed once it is answered
	deaf    bool // what it sent was malformed, and what comes behind that is not read
}

type answer struct {
	job  *job // nil where the limiter itself answers
	text []byte
}

func (l *Limiter) accept(id ID) {
	c := &conn{id: id, open: true, since: l.now}
	c.party = &client{l: l, c: c}
	l.conns[id] = c
	if l.clients++; l.clients >= MostClients(l.config)*3/4 {
		l.freeClient(id)
	}
}

// MostClients is how many connections clients may hold together.
func MostClients(config *settings.Config) int { return config.Sockets / clientShare }

// freeClient closes the client connection that has been idle longest, so that others can come. One that has sent a
// part of a command and then nothing for as long as servers let a connection idle counts as idle too. The newcomer,
// whose command may be on its way, stays.
func (l *Limiter) freeClient(newcomer ID) {
	var oldest *conn
	for _, c := range l.byID() {
		if cl, is := c.party.(*client); is && c.id != newcomer && len(cl.answers) == 0 && (oldest == nil || c.since < oldest.since) &&
			(cl.idle() || l.now-c.since > l.set.IdleClose) {
			oldest = c
		}
	}
	if oldest != nil {
		l.over(oldest, Unused)
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

// idle: nothing is owed to the client, all is written and no part of a command has come.
func (cl *client) idle() bool {
	return len(cl.answers) == 0 && len(cl.c.in.Bytes()) == 0 && cl.l.effects.Written(cl.c.id) >= cl.c.sent
}

// leave closes the connection as soon as that loses nothing.
func (cl *client) leave() {
	cl.closing = true
	if cl.idle() {
		cl.l.over(cl.c, Unused)
	} else if len(cl.answers) == 0 {
		// The rest of an answer is on its way into the kernel, or the rest of a command to us.
		cl.l.at(cl.l.now+cl.l.set.Granularity, func() {
			if cl.l.conns[cl.c.id] == cl.c && len(cl.answers) == 0 {
				cl.leave()
			}
		})
	}
}

func (cl *client) up() {}

func (cl *client) ended(end End, _ int64) {
	l := cl.l
	l.clients--
	if end == Overrun {
		log.Printf("event=client-overrun")
	}
	for _, a := range cl.answers {
		if a.job != nil && a.job.state == Taken {
			l.move(a.job, Left, nil)
			l.owed = append(l.owed, owed{left: a.job.id})
		}
	}
}

// read takes one command.
func (cl *client) read(b []byte) (int, error) {
	if cl.deaf {
		return len(b), nil
	}
	words, n, err := resp.ReadCommand(b, cl.l.words[:0])
	cl.l.words = words[:0]
	crowded := n == 0 && len(b) > buffer.Least && cl.l.buffered > cl.l.config.Memory/heldShare
	if err == nil && (crowded || len(cl.answers) >= mostPipeline) {
		err = resp.ErrTooLong
	}
	if err != nil {
		// It is told why behind the answers to what it sent before, and then the connection is closed.
		cl.deaf, cl.closing = true, true
		log.Printf("event=client-malformed error=%q", err)
		cl.own("-ERR " + err.Error())
		return len(b), nil
	}
	if n > 0 {
		cl.command(words)
	}
	return n, nil
}

// own answers a command without the module.
func (cl *client) own(text string) {
	a := &answer{}
	cl.answers = append(cl.answers, a)
	cl.answer(a, []byte(text+"\r\n"))
}

func (cl *client) command(words [][]byte) {
	l := cl.l
	switch string(bytes.ToUpper(words[0])) {
	case "SVC.QUERY", "SVC.SUBMIT":
		cl.job(words)
	case "PING":
		if l.ready {
			cl.own("+PONG")
		} else {
			cl.own("-LOADING not ready yet")
		}
	default:
		cl.own("-ERR unknown command")
	}
}

// job hands a job to the module, or answers what no module can make sense of.
func (cl *client) job(words [][]byte) {
	l := cl.l
	if len(words) < 4 || len(words) > 5 {
		cl.own("-ERR wrong number of arguments")
		return
	}
	arrival, before, past, fault := l.arrival(words)
	if fault == "" && l.jobs[arrival.ID] != nil {
		fault = "id is in use"
	}
	if fault != "" {
		cl.own("-ERR " + fault)
		return
	}
	if l.held > l.config.Memory/heldShare {
		// Nothing of it was sent, and one more might end the process with all that it has taken.
		cl.own("-BUSY")
		return
	}
	a := &answer{}
	cl.answers = append(cl.answers, a)
	a.job = l.take(cl, a, words, before, past, arrival.Budget)
	l.logic.Job(l.now, arrival)
}

// arrival reads a job's command; before and past enclose the time in its list of names and values.
func (l *Limiter) arrival(words [][]byte) (a choice.Arrival, before, past int, fault string) {
	var err error
	if a.Customer, err = strconv.ParseUint(string(words[1]), 16, 64); err != nil {
		return a, 0, 0, "customer is not a number"
	}
	if len(words[2]) == 0 {
		return a, 0, 0, "id is empty"
	}
	a.ID = string(words[2])
	for from := 0; from <= len(words[3]); {
		field := words[3][from:]
		if i := bytes.IndexByte(field, ','); i >= 0 {
			field = field[:i]
		}
		name, value, found := bytes.Cut(field, []byte("="))
		if !found {
			return a, 0, 0, "a value without a name"
		}
		switch string(name) {
		case "c":
			a.Track = string(value)
		case "t":
			a.Plan = string(value)
		case "d":
			var left float64
			if left, err = number(value); err != nil || left <= 0 {
				return a, 0, 0, "d is not a time"
			}
			a.Budget = int64(left * 1e6)
			before, past = from+len("d="), from+len(field)
		case "units":
			if a.Units, err = number(value); err != nil || a.Units < 0 {
				return a, 0, 0, "units is not a number"
			}
		case "spread":
			if a.Spread, err = strconv.Atoi(string(value)); err != nil || a.Spread < 1 {
				return a, 0, 0, "spread is not a number"
			}
		}
		from += len(field) + 1
	}
	switch {
	case l.set.Tracks[a.Track] == nil:
		return a, 0, 0, "unknown class"
	case l.set.Plans[a.Plan] == nil:
		return a, 0, 0, "unknown plan"
	case a.Budget == 0:
		return a, 0, 0, "d is missing"
	case a.Spread == 0:
		return a, 0, 0, "spread is missing"
	}
	return a, before, past, ""
}

// number reads what fits any count of units or milliseconds.
func number(text []byte) (float64, error) {
	x, err := strconv.ParseFloat(string(text), 64)
	if err == nil && !(x >= -1e9 && x <= 1e9) {
		err = strconv.ErrRange
	}
	return x, err
}

// answer fills one place and writes what is due: answers go out in the order of the commands.
func (cl *client) answer(a *answer, text []byte) {
	l := cl.l
	a.text = text
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
	cl.answers = cl.answers[due:]
	l.write(cl.c, l.scratch)
	l.quiet = l.now
	if l.effects.Written(cl.c.id) < cl.c.sent && l.backlog() > l.config.Memory/heldShare {
		l.over(cl.c, Overrun)
	} else if cl.closing {
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
