package limiter

import (
	"bytes"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// requestTable holds the requests that are not forgotten yet.
type requestTable struct {
	byID map[string]*request
	// done are the requests that are forgotten once the controller was told all that is pending. Until then it may still
	// act on them: results wait behind others in one step, and delivering one can end the request of another.
	done      []*request
	heldBytes int64 // bytes of their commands
	lastEnd   int64 // when a request last ended
}

// requestState is where a request stands; move is the only function that changes it.
type requestState uint8

const (
	stateAccepted requestState = iota
	stateSucceeded
	stateRejected
	stateFailed
	stateClientGone // its client has gone
)

// String gives the word for log lines.
func (s requestState) String() string {
	return [...]string{"accepted", "succeeded", "rejected", "failed", "client-gone"}[s]
}

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

var (
	busyAnswer   = []byte("-BUSY\r\n")
	failedAnswer = []byte("-ERR written off\r\n")
)

// addRequest makes a request of a command; the words are copied, for they stand in the connection's buffer.
func (l *Limiter) addRequest(c *client, a *answer, words [][]byte, parsed *parsedRequest) *request {
	size := 0
	for _, w := range words {
		size += len(w)
	}
	text := make([]byte, 0, size)
	q := &request{
		id: parsed.arrival.ID, client: c, answer: a, deadline: l.now + parsed.arrival.Timeout, bytes: int64(size),
		words: make([][]byte, len(words)),
	}
	for i, w := range words {
		text = append(text, w...)
		q.words[i] = text[len(text)-len(w):]
	}
	q.beforeTimeout = q.words[wordFields][:parsed.timeoutStart]
	q.afterTimeout = q.words[wordFields][parsed.timeoutEnd:]
	if class := l.settings.Classes[parsed.arrival.Class]; class.Idempotency == choice.IdempotentWithKey {
		q.deduplicationWindow = class.DeduplicationWindow
		q.deduplicationScope = class.DeduplicationScope
	}
	l.stats.outcomes.accepted++
	l.trace.add(traceRecord{at: l.now, kind: traceAccepted, request: q.id, conn: c.conn.id})
	l.requests.heldBytes += q.bytes
	l.requests.byID[q.id], l.shutdown.flushed = q, false
	return q
}

// move is the only place where a request changes its state. A request ends once, with one answer to its client.
func (l *Limiter) move(q *request, to requestState, text []byte) {
	if q.state != stateAccepted {
		return
	}
	l.requests.lastEnd = l.now
	q.state = to
	l.traceEnd(q)
	if to == stateSucceeded {
		l.stats.outcomes.succeeded++
	}
	for _, att := range q.attempts {
		// A command of which the kernel has only a part must not become whole after the request's end: this comes
		// before the answer.
		if att.open && att.lastByte > 0 && l.effects.Written(att.conn.conn.id) < att.lastByte {
			l.closeConn(att.conn.conn, AttemptCancelled)
		}
	}
	if to != stateClientGone {
		q.client.answer(q.answer, text)
	}
	l.forgetIfDone(q)
}

// forgetIfDone has a request that has ended and has nothing out forgotten, once the controller knows of its end.
func (l *Limiter) forgetIfDone(q *request) {
	if q.state != stateAccepted && q.openAttempts == 0 {
		l.requests.done = append(l.requests.done, q)
	}
}

// forgetDone lets go of the requests that are done; the controller has been told all.
func (t *requestTable) forgetDone() {
	for _, q := range t.done {
		if t.byID[q.id] == q {
			t.heldBytes -= q.bytes
			delete(t.byID, q.id)
		}
	}
	clear(t.done)
	t.done = t.done[:0]
}

// appendCommand writes the request's command with the time that is left.
func (q *request) appendCommand(to []byte, now int64) []byte {
	left := strconv.AppendInt(nil, max(1, (q.deadline-now)/1e6), 10)
	list := bytes.Join([][]byte{q.beforeTimeout, left, q.afterTimeout}, nil)
	words := append(append(make([][]byte, 0, len(q.words)), q.words[:wordFields]...), list)
	return resp.AppendCommand(to, append(words, q.words[wordBody:]...)...)
}

// Reject is an effect of the controller.
func (l *Limiter) Reject(id string, retryAfter int64, cause choice.RejectReason) {
	l.stats.outcomes.rejected[cause]++
	l.trace.add(traceRecord{at: l.now, kind: traceRejected, request: id, detail: cause.String()})
	text := busyAnswer
	if retryAfter > 0 {
		text = strconv.AppendInt([]byte("-BUSY "), (retryAfter+1e6-1)/1e6, 10)
		text = append(text, "\r\n"...)
	}
	if q := l.requests.byID[id]; q != nil {
		l.move(q, stateRejected, text)
	}
}

// Fail is an effect of the controller.
func (l *Limiter) Fail(id string) {
	if q := l.requests.byID[id]; q != nil {
		l.move(q, stateFailed, failedAnswer)
	}
}
