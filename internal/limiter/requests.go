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
	// done holds the requests to forget once all queued results are delivered. Until then the controller may still act
	// on them, as delivering one result can end the request of another.
	done      []*request
	heldBytes int64 // memory of all requests, bytes
	lastEnd   int64 // when a request last ended
	abandoned abandonedRequests
}

// requestState is the state of a request; only endRequest changes it.
type requestState uint8

const (
	stateAccepted requestState = iota
	stateSucceeded
	stateRejected
	stateFailed
	stateClientGone // the client has disconnected
)

// String returns the word that log lines use.
func (s requestState) String() string {
	return [...]string{"accepted", "succeeded", "rejected", "failed", "client-gone"}[s]
}

type request struct {
	id       string
	class    string
	state    requestState
	client   *client
	answer   *answer // the client's pending answer
	deadline int64
	// How long after an attempt a server recognizes the request, nanoseconds; 0 if servers do not.
	deduplicationWindow int64
	deduplicationScope  choice.DeduplicationScope // which servers recognize it
	attempts            []*attempt
	openAttempts        int   // attempts that have not ended
	bytes               int64 // its memory, bytes
	// words is the client's command. Its third word is also split around the value of d, which each attempt replaces.
	words                       [][]byte
	beforeTimeout, afterTimeout []byte
}

var (
	busyAnswer   = []byte("-BUSY\r\n")
	failedAnswer = []byte("-ERR written off\r\n")
)

// addRequest adds the request of a command. It copies the words, which lie in the connection's input buffer.
func (l *Limiter) addRequest(cl *client, a *answer, words [][]byte, parsed *parsedRequest) *request {
	size := 0
	for _, w := range words {
		size += len(w)
	}
	text := make([]byte, 0, size)
	req := &request{
		id: parsed.arrival.ID, class: parsed.arrival.Class, client: cl, answer: a, deadline: l.now + parsed.arrival.Timeout,
		bytes: int64(size) + choice.RequestBytes, words: make([][]byte, len(words)),
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

// endRequest ends a request and answers its client. It does nothing if the request has ended, so each has one answer.
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
		// An attempt of which the kernel has only a part must not be completed after the request's end, so its
		// connection is closed before the answer is written.
		if att.open && att.endOffset > 0 && l.effects.Written(att.conn.conn.id) < att.endOffset {
			l.closeConn(att.conn.conn, AttemptCancelled)
		}
	}
	if final != stateClientGone {
		req.client.fillAnswer(req.answer, text)
	}
	l.forgetIfDone(req)
}

// forgetIfDone marks a request as done if it has ended and no attempt is open.
func (l *Limiter) forgetIfDone(req *request) {
	if req.state != stateAccepted && req.openAttempts == 0 {
		l.rememberAbandoned(req)
		l.requests.done = append(l.requests.done, req)
	}
}

// forgetDone forgets the requests that are done; all results have been delivered.
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

// appendCommand appends the request's command, with the time left as the value of d.
func (r *request) appendCommand(to []byte, now int64) []byte {
	left := strconv.AppendInt(nil, max(1, (r.deadline-now)/1e6), 10)
	list := bytes.Join([][]byte{r.beforeTimeout, left, r.afterTimeout}, nil)
	words := append(append(make([][]byte, 0, len(r.words)), r.words[:wordFields]...), list)
	return resp.AppendCommand(to, append(words, r.words[wordBody:]...)...)
}

// Reject implements choice.Effects.
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

// Fail implements choice.Effects.
func (l *Limiter) Fail(id string) {
	if req := l.requests.byID[id]; req != nil {
		l.endRequest(req, stateFailed, failedAnswer)
	}
}
