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
func (l *Limiter) addRequest(cl *client, a *answer, words [][]byte, parsed *parsedRequest) *request {
	size := 0
	for _, w := range words {
		size += len(w)
	}
	text := make([]byte, 0, size)
	req := &request{
		id: parsed.arrival.ID, client: cl, answer: a, deadline: l.now + parsed.arrival.Timeout, bytes: int64(size),
		words: make([][]byte, len(words)),
	}
	for i, w := range words {
		text = append(text, w...)
		req.words[i] = text[len(text)-len(w):]
	}
	req.beforeTimeout = req.words[wordFields][:parsed.timeoutStart]
	req.afterTimeout = req.words[wordFields][parsed.timeoutEnd:]
	if class := l.settings.Classes[parsed.arrival.Class]; class.Idempotency == choice.IdempotentWithKey {
		req.deduplicationWindow = class.DeduplicationWindow
		req.deduplicationScope = class.DeduplicationScope
	}
	l.stats.outcomes.accepted++
	l.trace.add(traceRecord{at: l.now, kind: traceAccepted, request: req.id, conn: cl.conn.id})
	l.requests.heldBytes += req.bytes
	l.requests.byID[req.id], l.shutdown.flushed = req, false
	return req
}

// endRequest is the only place where a request changes its state. A request ends once, with one answer to its client.
func (l *Limiter) endRequest(req *request, final requestState, text []byte) {
	if req.state != stateAccepted {
		return
	}
	l.requests.lastEnd = l.now
	req.state = final
	l.traceEnd(req)
	if final == stateSucceeded {
		l.stats.outcomes.succeeded++
	}
	for _, att := range req.attempts {
		// A command of which the kernel has only a part must not become whole after the request's end: this comes
		// before the answer.
		if att.open && att.endOffset > 0 && l.effects.Written(att.conn.conn.id) < att.endOffset {
			l.closeConn(att.conn.conn, AttemptCancelled)
		}
	}
	if final != stateClientGone {
		req.client.fillAnswer(req.answer, text)
	}
	l.forgetIfDone(req)
}

// forgetIfDone has a request that has ended and has nothing out forgotten, once the controller knows of its end.
func (l *Limiter) forgetIfDone(req *request) {
	if req.state != stateAccepted && req.openAttempts == 0 {
		l.requests.done = append(l.requests.done, req)
	}
}

// forgetDone lets go of the requests that are done; the controller has been told all.
func (t *requestTable) forgetDone() {
	for _, req := range t.done {
		if t.byID[req.id] == req {
			t.heldBytes -= req.bytes
			delete(t.byID, req.id)
		}
	}
	clear(t.done)
	t.done = t.done[:0]
}

// appendCommand writes the request's command with the time that is left.
func (r *request) appendCommand(to []byte, now int64) []byte {
	left := strconv.AppendInt(nil, max(1, (r.deadline-now)/1e6), 10)
	list := bytes.Join([][]byte{r.beforeTimeout, left, r.afterTimeout}, nil)
	words := append(append(make([][]byte, 0, len(r.words)), r.words[:wordFields]...), list)
	return resp.AppendCommand(to, append(words, r.words[wordBody:]...)...)
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
	if req := l.requests.byID[id]; req != nil {
		l.endRequest(req, stateRejected, text)
	}
}

// Fail is an effect of the controller.
func (l *Limiter) Fail(id string) {
	if req := l.requests.byID[id]; req != nil {
		l.endRequest(req, stateFailed, failedAnswer)
	}
}
