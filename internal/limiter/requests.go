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
	deduplicationWindow int64
	deduplicationScope  choice.DeduplicationScope // and which servers do
	attempts            []*attempt
	openAttempts        int // attempts that are out
	bytes               int64
	// The command as the client sent it: its words, and the third of them around the time that it gives.
	words                       [][]byte
	beforeTimeout, afterTimeout []byte
}

type attempt struct {
	request       *request
	number        int
	decidedAt     int64
	open          bool
	conn          *serverConn
	deadlineTimer *timer
	lastByte      int64    // the place of its last byte among all that was written on its connection, 0 before
	location      location // where its server was then
	neverRan      bool     // it has ended, and has not run
}

// location is what a list says of where a server stands.
type location struct {
	zone string
	cell int64
}

// sharesScope tells whether two places are in one group.
func (p location) sharesScope(group choice.DeduplicationScope, o location) bool {
	return group == choice.ScopeAll || group == choice.ScopeZone && p.zone == o.zone || group == choice.ScopeCell && p.cell == o.cell
}

var (
	busyAnswer   = []byte("-BUSY\r\n")
	failedAnswer = []byte("-ERR written off\r\n")
)

// addRequest makes a request of a command; the words are copied, for they stand in the connection's buffer.
func (l *Limiter) addRequest(c *client, a *answer, words [][]byte, before, past int, budget int64) *request {
	size := 0
	for _, w := range words {
		size += len(w)
	}
	text := make([]byte, 0, size)
	q := &request{id: string(words[2]), client: c, answer: a, deadline: l.now + budget, bytes: int64(size),
		words: make([][]byte, len(words))}
	for i, w := range words {
		text = append(text, w...)
		q.words[i] = text[len(text)-len(w):]
	}
	q.beforeTimeout, q.afterTimeout = q.words[3][:before], q.words[3][past:]
	l.outcomes.accepted++
	l.heldBytes += q.bytes
	l.requests[q.id], l.flushed = q, false
	return q
}

// move is the only place where a request changes its state. A request ends once, with one answer to its client.
func (l *Limiter) move(q *request, to requestState, text []byte) {
	if q.state != accepted {
		return
	}
	l.lastRequestEnd = l.now
	if q.state = to; to == succeeded {
		l.outcomes.succeeded++
	}
	for _, att := range q.attempts {
		// A command of which the kernel has only a part must not become whole after the request's end: this comes before the
		// answer.
		if att.open && att.lastByte > 0 && l.effects.Written(att.conn.conn.id) < att.lastByte {
			l.closeConn(att.conn.conn, AttemptCancelled)
		}
	}
	if to != clientGone {
		q.client.answer(q.answer, text)
	}
	l.forgetIfDone(q)
}

// forgetIfDone lets go of a request that has ended, once nothing of it is out.
func (l *Limiter) forgetIfDone(q *request) {
	if q.state != accepted && q.openAttempts == 0 && l.requests[q.id] == q {
		l.heldBytes -= q.bytes
		delete(l.requests, q.id)
	}
}

// appendCommand writes the request's appendCommand with the time that is left.
func (q *request) appendCommand(to []byte, now int64) []byte {
	left := strconv.AppendInt(nil, max(1, (q.deadline-now)/1e6), 10)
	list := bytes.Join([][]byte{q.beforeTimeout, left, q.afterTimeout}, nil)
	words := append(append(make([][]byte, 0, len(q.words)), q.words[:3]...), list)
	return resp.AppendCommand(to, append(words, q.words[4:]...)...)
}

// outcomeCounts counts what became of requests since it was last logged.
type outcomeCounts struct {
	accepted, succeeded int
	rejected            [choice.RejectReasons]int
}

// LogOutcomes logs the counts since the last time, if there are any, in one line whatever their number.
func (l *Limiter) LogOutcomes() {
	if t := l.outcomes; t != (outcomeCounts{}) {
		line := fmt.Sprintf("event=requests taken=%d succeeded=%d", t.accepted, t.succeeded)
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
	att := &attempt{request: q, number: len(q.attempts), decidedAt: l.now, open: true}
	q.attempts = append(q.attempts, att)
	q.openAttempts++
	if q.state != accepted || l.now >= q.deadline || len(q.attempts) > l.settings.MaxAttempts {
		l.endAttempt(att, choice.AttemptResult{Outcome: choice.NotAttempted})
		return
	}
	p := l.pools[server]
	l.whenListTrusted(func() {
		if q.state != accepted || l.now >= q.deadline || p.draining {
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
	if b := q.attempts[number].conn; b != nil {
		l.closeConn(b.conn, AttemptCancelled)
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
	l.timers.cancel(att.deadlineTimer)
	att.open, att.conn = false, nil
	att.neverRan = reply.Outcome == choice.Overloaded || reply.Outcome == choice.ConnectFailed || reply.Outcome == choice.NotAttempted
	q.openAttempts--
	reply.Request, reply.Attempt, reply.Duration, reply.Final = q.id, att.number, l.now-att.decidedAt, q.state != accepted
	l.pendingResults = append(l.pendingResults, pendingResult{attempt: reply})
	l.forgetIfDone(q)
}

// Reject is an effect of the module.
func (l *Limiter) Reject(id string, retryAfter int64, cause choice.RejectReason) {
	l.outcomes.rejected[cause]++
	text := busyAnswer
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
		l.move(q, requestFailed, failedAnswer)
	}
}
