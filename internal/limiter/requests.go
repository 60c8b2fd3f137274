package limiter

import (
	"bytes"
	"fmt"
	"log"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// requestState is where a request stands; move is the only function that changes it.
type requestState uint8

const (
	accepted requestState = iota
	succeeded
	rejected
	requestFailed
	clientGone // its client has gone
)

type request struct {
	id       string
	state    requestState
	client   *client
	answer   *answer // its place among the client's answers
	deadline int64
	// How long a server knows the request again after an attempt, where it does; 0 else.
	repeats  int64
	group    choice.DeduplicationScope // and which servers do
	attempts []*attempt
	open     int // attempts that are out
	size     int64
	// The command as the client sent it: its words, and the third of them around the time that it gives.
	words        [][]byte
	before, past []byte
}

type attempt struct {
	request *request
	number  int
	at      int64
	open    bool
	backend *backend
	limit   *timer
	last    int64 // the place of its last byte among all that was written on its connection, 0 before
	place   place // where its server was then
	never   bool  // it has ended, and has not run
}

// place is what a list says of where a server stands.
type place struct {
	zone string
	cell int64
}

// same tells whether two places are in one group.
func (p place) same(group choice.DeduplicationScope, o place) bool {
	return group == choice.ScopeAll || group == choice.ScopeZone && p.zone == o.zone || group == choice.ScopeCell && p.cell == o.cell
}

var (
	rejectedPlain = []byte("-BUSY\r\n")
	failed        = []byte("-ERR written off\r\n")
)

// take makes a request of a command; the words are copied, for they stand in the connection's buffer.
func (l *Limiter) take(c *client, a *answer, words [][]byte, before, past int, budget int64) *request {
	size := 0
	for _, w := range words {
		size += len(w)
	}
	text := make([]byte, 0, size)
	q := &request{id: string(words[2]), client: c, answer: a, deadline: l.now + budget, size: int64(size),
		words: make([][]byte, len(words))}
	for i, w := range words {
		text = append(text, w...)
		q.words[i] = text[len(text)-len(w):]
	}
	q.before, q.past = q.words[3][:before], q.words[3][past:]
	l.outcomes.taken++
	l.held += q.size
	l.requests[q.id], l.settled = q, false
	return q
}

// move is the only place where a request changes its state. A request ends once, with one answer to its client.
func (l *Limiter) move(q *request, to requestState, text []byte) {
	if q.state != accepted {
		return
	}
	l.ended = l.now
	if q.state = to; to == succeeded {
		l.outcomes.succeeded++
	}
	for _, att := range q.attempts {
		// A command of which the kernel has only a part must not become whole after the request's end: this comes before the
		// answer.
		if att.open && att.last > 0 && l.effects.Written(att.backend.c.id) < att.last {
			l.over(att.backend.c, AttemptCancelled)
		}
	}
	if to != clientGone {
		q.client.answer(q.answer, text)
	}
	l.drop(q)
}

// drop lets go of a request that has ended, once nothing of it is out.
func (l *Limiter) drop(q *request) {
	if q.state != accepted && q.open == 0 && l.requests[q.id] == q {
		l.held -= q.size
		delete(l.requests, q.id)
	}
}

// command writes the request's command with the time that is left.
func (q *request) command(to []byte, now int64) []byte {
	left := strconv.AppendInt(nil, max(1, (q.deadline-now)/1e6), 10)
	list := bytes.Join([][]byte{q.before, left, q.past}, nil)
	words := append(append(make([][]byte, 0, len(q.words)), q.words[:3]...), list)
	return resp.AppendCommand(to, append(words, q.words[4:]...)...)
}

// outcomeCounts counts what became of requests since it was last logged.
type outcomeCounts struct {
	taken, succeeded int
	rejected         [choice.RejectReasons]int
}

// LogOutcomes logs the counts since the last time, if there are any, in one line whatever their number.
func (l *Limiter) LogOutcomes() {
	if t := l.outcomes; t != (outcomeCounts{}) {
		line := fmt.Sprintf("event=requests taken=%d succeeded=%d", t.taken, t.succeeded)
		for c, n := range t.rejected {
			line += fmt.Sprintf(" %s=%d", choice.RejectReason(c), n)
		}
		log.Print(line)
		l.outcomes = outcomeCounts{}
	}
}

// Send is an effect of the module. An attempt that cannot be sent any more was never sent.
func (l *Limiter) Send(id, server string) {
	q := l.requests[id]
	att := &attempt{request: q, number: len(q.attempts), at: l.now, open: true}
	q.attempts = append(q.attempts, att)
	q.open++
	if q.state != accepted || l.now >= q.deadline || len(q.attempts) > l.set.MaxAttempts {
		l.endAttempt(att, choice.AttemptResult{Outcome: choice.NotAttempted})
		return
	}
	p := l.pools[server]
	l.sure(func() {
		if q.state != accepted || l.now >= q.deadline || p.leaving {
			l.endAttempt(att, choice.AttemptResult{Outcome: choice.NotAttempted})
		} else if att.open {
			p.send(att)
		}
	})
}

// Cancel is an effect of the module: it closes the attempt's connection.
func (l *Limiter) Cancel(id string, number int) {
	q := l.requests[id]
	if q == nil || number >= len(q.attempts) || !q.attempts[number].open {
		return
	}
	if b := q.attempts[number].backend; b != nil {
		l.over(b.c, AttemptCancelled)
	} else { // it waits for a sure list
		l.endAttempt(q.attempts[number], choice.AttemptResult{Outcome: choice.NotAttempted})
	}
}

// endAttempt ends an attempt, once, and owes the module its answer.
func (l *Limiter) endAttempt(att *attempt, reply choice.AttemptResult) {
	if !att.open {
		return
	}
	q := att.request
	l.timers.drop(att.limit)
	att.open, att.backend = false, nil
	att.never = reply.Outcome == choice.Overloaded || reply.Outcome == choice.ConnectFailed || reply.Outcome == choice.NotAttempted
	q.open--
	reply.Request, reply.Attempt, reply.Duration, reply.Final = q.id, att.number, l.now-att.at, q.state != accepted
	l.pendingResults = append(l.pendingResults, pendingResult{reply: reply})
	l.drop(q)
}

// Reject is an effect of the module.
func (l *Limiter) Reject(id string, retryAfter int64, cause choice.RejectReason) {
	l.outcomes.rejected[cause]++
	text := rejectedPlain
	if retryAfter > 0 {
		text = strconv.AppendInt([]byte("-BUSY "), (retryAfter+1e6-1)/1e6, 10)
		text = append(text, "\r\n"...)
	}
	if q := l.requests[id]; q != nil {
		l.move(q, rejected, text)
	}
}

// Fail is an effect of the module.
func (l *Limiter) Fail(id string) {
	if q := l.requests[id]; q != nil {
		l.move(q, requestFailed, failed)
	}
}
