package limiter

import (
	"bytes"
	"container/list"
	"strconv"

	"ospreycroft/internal/buffer"
	"ospreycroft/internal/resp"
)

// maxPipelined is how many commands may wait on one client's connection.
const maxPipelined = 1024

// client is a connection that a client holds. Answers go out in the order of its commands.
type client struct {
	limiter         *Limiter
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
	commandDeadline int64         // of the command that is taken, 0 where it tells none
	expiryTimer     *timer        // ends what keeps answers that are due from going out
}

// answer is the place of one command's answer among a client's.
type answer struct {
	request  *request // nil where the limiter itself answers
	text     []byte
	deadline int64 // when the client stops waiting for it, 0 where it did not tell
}

// onConnected is for connections that were dialled, which a client's never is.
func (cl *client) onConnected() {}

// open tells whether the connection has not ended, as far as the reducer was told.
func (cl *client) open() bool { return cl.limiter.conns[cl.conn.id] == cl.conn }

// idle: nothing is owed to the client, all is written and no part of a command has come that is still to be read.
func (cl *client) idle() bool {
	inputRead := cl.inputDiscarded || len(cl.conn.input.Bytes()) == 0
	return len(cl.answers) == 0 && inputRead && cl.allWritten()
}

// allWritten tells whether the kernel has taken all that was written to the client.
func (cl *client) allWritten() bool {
	return cl.limiter.effects.Written(cl.conn.id) >= cl.conn.bytesSent
}

// onData takes the commands that have come, and answers together what can be answered at once.
func (cl *client) onData(b []byte) (used int, err error) {
	if !cl.limiter.effects.Alive(cl.conn.id) {
		return len(b), nil // it has gone, and waits for nothing: its end is told next
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

// nextCommand takes one command.
func (cl *client) nextCommand(b []byte) int {
	words, n, err := resp.ReadCommand(b, cl.limiter.scratch.words[:0])
	cl.limiter.scratch.words = words[:0]
	if len(cl.answers) >= maxPipelined {
		cl.flush()
	}
	memoryExceeded := n == 0 && len(b) > buffer.MinCapacity && cl.limiter.bufferedBytes > cl.limiter.config.Memory/bufferMemoryDivisor
	if err == nil && (memoryExceeded || len(cl.answers) >= maxPipelined) {
		err = resp.ErrTooLong
	}
	if err != nil {
		cl.limiter.stats.inputErrors.malformedCommands++
		cl.rejectInput(err.Error())
		return len(b)
	}
	if n > 0 {
		cl.handleCommand(words)
	}
	return n
}

// handleCommand acts on one handleCommand.
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

// handleRequest hands a handleRequest to the controller, or answers what no controller can make sense of.
func (cl *client) handleRequest(words [][]byte) {
	l := cl.limiter
	parsed, err := parseRequest(words, l.settings)
	if err != nil {
		cl.answerError(err)
		return
	}
	timeout := parsed.arrival.Timeout
	waited := l.now - cl.conn.receivedAt
	delay := max(waited, l.readDelay())
	if timeout > delay {
		cl.commandDeadline = l.now + timeout - delay
	} else if timeout > waited { // its time may be over: behind a standstill that is not known for sure
		cl.commandDeadline = l.now + timeout - waited
	}
	if l.requests.byID[parsed.arrival.ID] != nil {
		cl.answerError(errIDInUse)
		return
	}
	if cl.closing || l.tooLateToAnswer(timeout) || timeout <= delay {
		// A connection that is never without an open request would never end, nor would the process; or the client's
		// time is over.
		cl.answerBusy()
		return
	}
	if l.requests.heldBytes > l.config.Memory/bufferMemoryDivisor {
		// Nothing of it was sent, and one more might end the process with all that it has accepted.
		cl.answerDirectly("-BUSY")
		return
	}
	parsed.arrival.Timeout = timeout - delay
	cl.markRequested()
	pending := cl.addAnswer()
	pending.request = l.addRequest(cl, pending, words, &parsed)
	l.controller.RequestArrived(l.now, parsed.arrival)
}

// markRequested notes that the client has brought a request.
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

// answerBusy rejects a request that nothing was done for: another limiter may take it soon.
func (cl *client) answerBusy() {
	text := "-BUSY"
	if after := min(cl.limiter.settings.DialTimeout, cl.limiter.settings.MaxRetryAfter); after > 0 {
		text += " " + strconv.FormatInt((after+1e6-1)/1e6, 10)
	}
	cl.answerDirectly(text)
}

// answerError answers a command that can never be right; -BUSY would say that it may be sent again.
func (cl *client) answerError(err error) {
	cl.limiter.stats.inputErrors.invalidCommands++
	cl.answerDirectly("-ERR " + err.Error())
}

// rejectInput tells a client why it is closed, behind the answers to what it sent before. Where these take too long
// they fail: it is owed an error or a close soon.
func (cl *client) rejectInput(message string) {
	l := cl.limiter
	cl.inputDiscarded = true
	cl.closing = true
	cl.answerDirectly("-ERR " + message)
	if len(cl.answers) > 0 && l.conns[cl.conn.id] == cl.conn {
		l.schedule(max(cl.connectedAt+minClientIdle, l.now+l.settings.DialTimeout), func() {
			for len(cl.answers) > 0 && l.conns[cl.conn.id] == cl.conn {
				req := cl.answers[0].request
				l.results = append(l.results, pendingResult{disconnected: req.id})
				l.endRequest(req, stateFailed, failedAnswer)
			}
		})
	}
}

// fillAnswer fills one place and writes what is due, unless more is to come: answers go out in the order of the commands.
func (cl *client) fillAnswer(a *answer, text []byte) {
	a.text = text
	if !cl.processingInput {
		cl.flush()
	}
}

// flush writes the answers that are due.
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
	if len(cl.answers) == 0 {
		cl.answers = nil // what many at once have taken is let go
	}
	cl.markUsed()
	l.write(cl.conn, l.scratch.write)
	cl.lastWrite = l.now
	if !cl.allWritten() {
		l.clients.closeSlowReaders(l.config.Memory / bufferMemoryDivisor)
	}
	if cl.open() && (cl.closing || l.shutdown.lingerOver(l.now)) { // one that came late is closed after its first answers
		cl.closeWhenAnswered()
	}
}

// closeIfIdle closes the connection, which owes nothing, unless a command has come on it in this very moment.
func (cl *client) closeIfIdle() bool {
	if !cl.limiter.effects.CloseGracefully(cl.conn.id, cl.limiter.settings.DialTimeout, cl.limiter.settings.IdleClose) {
		return false
	}
	cl.limiter.closeConn(cl.conn, IdleClosed)
	return true
}

// closeWhenAnswered ends the connection as soon as all is answered: our sending first, behind the last answer, so that
// it arrives, and nothing is read from then on. Its client may send on until it finds the end; what was never read it
// sends again elsewhere.
func (cl *client) closeWhenAnswered() {
	l := cl.limiter
	cl.closing = true
	if len(cl.answers) > 0 || cl.idle() && cl.closeIfIdle() {
		return
	}
	// One that was refused may send on for ever, or never read.
	waited := l.now - cl.lastWrite
	if cl.inputDiscarded && (waited > l.settings.IdleClose || waited > l.settings.DialTimeout && cl.allWritten()) {
		l.closeConn(cl.conn, IdleClosed)
		return
	}
	// The rest of an answer is on its way, or the rest of a command to us.
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

// closeIfGone ends the connection of a client that has gone. The event that tells of it may be far behind others.
func (cl *client) closeIfGone() {
	if cl.open() && cl.limiter.effects.PeerGone(cl.conn.id) {
		cl.limiter.closeConn(cl.conn, PeerClosed)
	}
}

// markUsed notes that a client that has brought a request is in use.
func (cl *client) markUsed() {
	if cl.hasRequested {
		cl.lastUsed = cl.limiter.now
		cl.limiter.clients.withRequest.MoveToBack(cl.element)
	}
}

// onClosed gives up what the client still waits for.
func (cl *client) onClosed(reason CloseReason, _ int64) {
	l := cl.limiter
	l.timers.cancel(cl.expiryTimer)
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
}
