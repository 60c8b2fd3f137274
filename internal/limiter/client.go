package limiter

import (
	"bytes"
	"container/list"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/buffer"
	"ospreycroft/internal/resp"
)

// client is a connection from a client. Answers go out in the order of its commands.
type client struct {
	limiter         *Limiter
	conn            *conn
	answers         []*answer
	closing         bool          // the connection is closed once everything is answered
	closePending    bool          // a timer calls closeWhenAnswered again
	inputDiscarded  bool          // it sent malformed input; what follows is not read
	processingInput bool          // onData is running: answers go out together at its end
	connectedAt     int64         // when it connected
	lastWrite       int64         // when something was last written to it
	lastUsed        int64         // when its present command began, or its last one was answered
	partialCommand  bool          // a command has begun and is not complete
	hasRequested    bool          // it has sent a request
	element         *list.Element // in clientTable.withoutRequest or withRequest
	commandDeadline int64         // of the command that is handled, 0 if it has none
	expiryTimer     *timer        // runs expireBlocking
	rejectionTimer  *timer        // runs failOpenRequests
}

// answer is the answer to one command, pending while text is nil.
type answer struct {
	request  *request // nil if the limiter itself answers
	text     []byte
	deadline int64 // when the client stops waiting, 0 if unknown
}

// onConnected is for dialled connections; a client's connection is accepted, so it is never called.
func (cl *client) onConnected() {}

// open tells whether the connection is open, as far as events have told.
func (cl *client) open() bool { return cl.limiter.conns[cl.conn.id] == cl.conn }

// idle tells whether no answer is pending, all output is in the kernel and no input is left to be read.
func (cl *client) idle() bool {
	inputRead := cl.inputDiscarded || len(cl.conn.input.Bytes()) == 0
	return len(cl.answers) == 0 && inputRead && cl.allWritten()
}

// allWritten tells whether the kernel has taken all that was written to the client.
func (cl *client) allWritten() bool {
	return cl.limiter.effects.Written(cl.conn.id) >= cl.conn.bytesSent
}

// onData handles the commands that have come, and writes the finished answers together.
func (cl *client) onData(b []byte) (used int, err error) {
	if !cl.limiter.effects.Alive(cl.conn.id) {
		return len(b), nil // the client has disconnected, and ConnClosed follows
	}
	cl.processingInput = true
	for n := 1; n > 0 && used < len(b) && !cl.inputDiscarded && cl.open(); used += n {
		n = cl.nextCommand(b[used:])
	}
	if cl.inputDiscarded {
		used = len(b)
	}
	if partial := used < len(b); partial != cl.partialCommand {
		cl.partialCommand = partial
		cl.markUsed()
	}
	cl.processingInput = false
	cl.flush()
	return used, nil
}

// nextCommand parses and handles one command, and returns how many bytes it used.
func (cl *client) nextCommand(b []byte) int {
	l := cl.limiter
	words, n, err := resp.ReadCommand(b, l.scratch.words[:0])
	l.scratch.words = words[:0]
	if !cl.admitsCommand() {
		cl.flush()
	}
	memoryExceeded := n == 0 && len(b) > buffer.MinCapacity && !l.memory().KeepsPartialCommand(l.bufferedBytes)
	if err == nil && (memoryExceeded || !cl.admitsCommand()) {
		l.stats.memory.closedClients++
		err = resp.ErrTooLong
	}
	if err != nil {
		l.stats.inputErrors.malformedCommands++
		cl.rejectInput(err.Error())
		return len(b)
	}
	if n > 0 {
		cl.handleCommand(words)
	}
	return n
}

// admitsCommand tells whether another command may wait for its answer.
func (cl *client) admitsCommand() bool {
	return cl.limiter.memory().AdmitsCommand(len(cl.answers), cl.limiter.clients.pendingAnswers)
}

// handleCommand handles one command.
func (cl *client) handleCommand(words [][]byte) {
	l := cl.limiter
	cl.commandDeadline = 0
	switch string(bytes.ToUpper(words[0])) {
	case "SVC.QUERY", "SVC.SUBMIT":
		cl.handleRequest(words)
	case "PING":
		if l.readiness.ready {
			cl.answerDirectly("+PONG")
		} else {
			cl.answerDirectly("-LOADING not ready yet")
		}
	default:
		cl.answerError(errUnknownVerb)
	}
}

// handleRequest passes a request to the controller, or answers it if it is invalid or cannot be taken.
func (cl *client) handleRequest(words [][]byte) {
	l := cl.limiter
	parsed, err := parseRequest(words, l.settings, &l.scratch.names)
	if err != nil {
		cl.answerError(err)
		return
	}
	timeout := choice.LimitTimeout(parsed.arrival.Timeout, l.settings.LongestDeadline)
	waited := l.now - cl.conn.receivedAt
	delay := max(waited, l.readDelay())
	if timeout > delay {
		cl.commandDeadline = l.now + timeout - delay
	} else if timeout > waited {
		// After a suspension it is not certain how long the request waited, so its deadline may have passed.
		cl.commandDeadline = l.now + timeout - waited
	}
	if l.requests.byID[parsed.arrival.ID] != nil || l.requests.abandoned.contains(l.now, parsed.arrival.ID) {
		cl.answerError(errIDInUse)
		return
	}
	if cl.closing || l.tooLateToAnswer(timeout) || timeout <= delay {
		// The connection is closing, the process may be killed before the deadline, or the deadline has passed. A
		// client that always has an open request would else keep its connection, and so the process, from ending.
		cl.answerBusy()
		return
	}
	if !cl.knownConnected() {
		l.stats.inputErrors.unreadRequests++
		cl.answerBusy()
		return
	}
	if !l.memory().AdmitsRequest(len(cl.answers), l.requests.heldBytes) {
		l.stats.memory.rejectedRequests++
		cl.answerDirectly("-BUSY")
		return
	}
	parsed.arrival.Timeout = timeout - delay
	cl.markRequested()
	pending := cl.addAnswer()
	pending.request = l.addRequest(cl, pending, words, &parsed)
	l.controller.RequestArrived(l.now, parsed.arrival)
}

// markRequested records that the client has sent a request.
func (cl *client) markRequested() {
	if !cl.hasRequested {
		cl.limiter.clients.withoutRequest.Remove(cl.element)
		cl.hasRequested = true
		cl.element = cl.limiter.clients.withRequest.PushBack(cl)
	}
	cl.markUsed()
}

// answerDirectly answers a command without the controller.
func (cl *client) answerDirectly(text string) {
	cl.fillAnswer(cl.addAnswer(), []byte(text+"\r\n"))
}

// answerBusy rejects a request of which nothing was done; the client may send it to another limiter soon.
func (cl *client) answerBusy() {
	text := "-BUSY"
	if after := min(cl.limiter.settings.DialTimeout, cl.limiter.settings.MaxRetryAfter); after > 0 {
		text += " " + strconv.FormatInt((after+1e6-1)/1e6, 10)
	}
	cl.answerDirectly(text)
}

// answerError answers an invalid command. -BUSY would be wrong, as it tells the client to send the command again.
func (cl *client) answerError(err error) {
	cl.limiter.stats.inputErrors.invalidCommands++
	cl.answerDirectly("-ERR " + err.Error())
}

// rejectInput sends the client an error, behind the answers to its earlier commands, and closes the connection.
// Requests that are still open after a while are failed: the client must get an error or a close soon.
func (cl *client) rejectInput(message string) {
	l := cl.limiter
	cl.inputDiscarded = true
	cl.closing = true
	cl.answerDirectly("-ERR " + message)
	if len(cl.answers) > 0 && l.conns[cl.conn.id] == cl.conn {
		at := max(cl.connectedAt+minClientIdle, l.now+l.settings.DialTimeout)
		cl.rejectionTimer = l.schedule(at, cl.failOpenRequests)
	}
}

// failOpenRequests fails the open requests of a client whose input was rejected.
func (cl *client) failOpenRequests() {
	l := cl.limiter
	for len(cl.answers) > 0 && l.conns[cl.conn.id] == cl.conn {
		req := cl.answers[0].request
		l.results = append(l.results, pendingResult{disconnected: req.id})
		l.endRequest(req, stateFailed, failedAnswer)
	}
}

// fillAnswer sets the text of an answer and writes all finished answers, unless onData is running, which writes them
// together.
func (cl *client) fillAnswer(a *answer, text []byte) {
	a.text = text
	if !cl.processingInput {
		cl.flush()
	}
}

// flush writes the finished answers up to the first pending one.
func (cl *client) flush() {
	l := cl.limiter
	due := 0
	l.scratch.write = l.scratch.write[:0]
	for due < len(cl.answers) && cl.answers[due].text != nil {
		l.scratch.write = append(l.scratch.write, cl.answers[due].text...)
		cl.answers[due] = nil
		due++
	}
	if due == 0 || l.conns[cl.conn.id] != cl.conn {
		return
	}
	cl.answers = cl.answers[due:]
	l.clients.pendingAnswers -= due
	if len(cl.answers) == 0 {
		cl.answers = nil // releases the memory of many pipelined answers
	}
	cl.markUsed()
	l.write(cl.conn, l.scratch.write)
	cl.lastWrite = l.now
	if !cl.allWritten() {
		l.clients.closeSlowReaders(l.memory().MaxUnreadOutput())
	}
	if cl.open() && (cl.closing || l.shutdown.lingerOver(l.now)) {
		// A client that connected late is closed after its first answers.
		cl.closeWhenAnswered()
	}
}

// closeIfIdle closes the idle connection unless a command has just come on it, and tells whether it did.
func (cl *client) closeIfIdle() bool {
	if !cl.limiter.effects.CloseGracefully(cl.conn.id, cl.limiter.settings.DialTimeout, cl.limiter.settings.IdleClose) {
		return false
	}
	cl.limiter.closeConn(cl.conn, IdleClosed)
	return true
}

// closeWhenAnswered closes the connection once everything is answered. It ends the sending direction first, so that the
// last answer arrives, and reads nothing from then on. The client may go on sending until it notices; commands that
// were never read can safely be sent to another limiter.
func (cl *client) closeWhenAnswered() {
	l := cl.limiter
	cl.closing = true
	if len(cl.answers) > 0 || cl.idle() && cl.closeIfIdle() {
		return
	}
	// A client whose input is discarded may go on sending without end, or never read.
	waited := l.now - cl.lastWrite
	if cl.inputDiscarded && (waited > l.settings.IdleClose || waited > l.settings.DialTimeout && cl.allWritten()) {
		l.closeConn(cl.conn, IdleClosed)
		return
	}
	// An answer is not written completely, or a command has come in part.
	if !cl.closePending {
		cl.closePending = true
		l.schedule(l.now+l.settings.TimerResolution, func() {
			cl.closePending = false
			if l.conns[cl.conn.id] == cl.conn {
				cl.closeWhenAnswered()
			}
		})
	}
}

// closeIfGone closes the connection if the client has disconnected. The event that reports it may be queued behind many
// others.
func (cl *client) closeIfGone() {
	if cl.open() && cl.limiter.effects.PeerGone(cl.conn.id) {
		cl.limiter.closeConn(cl.conn, PeerClosed)
	}
}

// knownConnected tells whether the client cannot have disconnected for so long that nothing may be sent for it.
func (cl *client) knownConnected() bool {
	return choice.MayBeSentFor(cl.limiter.effects.UnreadFor(cl.conn.id))
}

// giveUpIfUnknown ends a request if its client may have disconnected behind bytes that are not read.
func (cl *client) giveUpIfUnknown(req *request) {
	if req.state != stateAccepted || cl.knownConnected() {
		return
	}
	l := cl.limiter
	l.stats.inputErrors.unreadRequests++
	l.results = append(l.results, pendingResult{disconnected: req.id})
	if req.mayHaveRun() {
		l.endRequest(req, stateFailed, failedAnswer)
	} else {
		l.endRequest(req, stateRejected, busyAnswer)
	}
}

// markUsed updates lastUsed of a client that has sent a request. The others stay in the order in which they connected.
func (cl *client) markUsed() {
	if cl.hasRequested {
		cl.lastUsed = cl.limiter.now
		cl.limiter.clients.withRequest.MoveToBack(cl.element)
	}
}

// onClosed ends the client's open requests.
func (cl *client) onClosed(reason CloseReason, _ int64) {
	l := cl.limiter
	l.timers.cancel(cl.expiryTimer)
	l.timers.stop(cl.rejectionTimer)
	l.clients.count--
	if cl.hasRequested {
		l.clients.withRequest.Remove(cl.element)
	} else {
		l.clients.withoutRequest.Remove(cl.element)
	}
	if reason == SlowReader {
		l.stats.inputErrors.slowReaders++
	}
	for _, a := range cl.answers {
		if a.request != nil && a.request.state == stateAccepted {
			l.endRequest(a.request, stateClientGone, nil)
			l.results = append(l.results, pendingResult{disconnected: a.request.id})
		}
	}
	l.clients.pendingAnswers -= len(cl.answers)
	cl.answers = nil // a request that outlives the connection must not keep them
}
