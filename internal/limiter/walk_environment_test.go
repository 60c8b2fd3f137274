package limiter

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"ospreycroft/internal/resp"
)

// This file simulates the environment of the random walks in walk_test.go: a kernel whose connections close, reset and
// transfer data in pieces, and the clients, servers, counter and discovery at the other end. It checks what these see.

const (
	// walkDiscovery and walkCounter are what the addresses of discovery and the counter begin with.
	walkDiscovery = "discovery"
	walkCounter   = "counter"
	// walkDrainGrace is how long after the limiter learns that a server drains it may still write attempts to it,
	// nanoseconds.
	walkDrainGrace = int64(1e8)
	// walkTimeLeftSlack is how far the time left that a server is sent may exceed the client's, nanoseconds.
	walkTimeLeftSlack = int64(15e7)
	// walkDeduplicationWindow is for how long servers recognize a request with an idempotency key, nanoseconds.
	walkDeduplicationWindow = 2 * second
)

// walkConn is a connection of the simulated kernel.
type walkConn struct {
	id      ConnID
	address string // the dialled address; empty for a client's connection
	open    bool   // it is established
	closed  bool   // the limiter has closed it, or its end was reported to it
	ended   bool   // the peer has closed or reset it
	reset   bool   // the peer has reset it: data that was not delivered is lost

	written  []byte // all that the limiter wrote
	accepted int    // how many bytes of it the kernel has accepted
	read     int    // how many bytes of that the peer has read
	incoming []byte // from the peer, not delivered yet

	commands      []*walkCommand // a client's, in order
	answered      int            // how many of them are answered
	answerBytes   int            // how many bytes of answers the client has read
	inputRejected bool           // the client has sent malformed input, or was too slow to complete a command
	// discarded: the limiter has answered that it reads no more from this client.
	discarded      bool
	sentBytes      int            // how many bytes the client has sent
	deliveredBytes int            // how many bytes were delivered to the limiter
	pending        []*walkAttempt // a server's commands without an answer
	rejectsPartial bool           // the server has rejected a command that it has not read completely
	calls          []string       // the counter's or discovery's calls without an answer
}

// walkCommand is one command of a client.
type walkCommand struct {
	request   *walkRequest // nil for a PING
	endOffset int          // offset after its last byte in the client's input
	deadline  int64        // 0 until it is delivered to the limiter
	expired   bool         // it was delivered after its deadline
	answer    string       // "" until the client has read one
}

// walkRequest is a request with its attempts.
type walkRequest struct {
	id, class string
	client    *walkConn
	command   *walkCommand
	timeout   int64 // nanoseconds
	attempts  []*walkAttempt
}

// walkAttempt is one command that a server has read.
type walkAttempt struct {
	request  *walkRequest
	at       int64 // when the server read its last byte
	rejected bool  // the server has answered, or will answer, that it did not run
}

// walkEnvironment simulates the kernel and the peers. It implements Effects for the limiter.
type walkEnvironment struct {
	random     *rand.Rand
	limiter    *Limiter
	now        int64
	timerAt    int64
	wallStep   int64
	last       ConnID
	conns      map[ConnID]*walkConn
	readFrom   *walkConn               // the connection of the present DataReceived event
	requests   map[string]*walkRequest // by id
	version    int                     // generation of the latest list
	lifecycles map[string]string       // of the servers, by id, as discovery has them
	draining   map[string]int64        // when the limiter learned that a server drains, by the server's address
	history    []string                // the latest notes, for the report of a violation
	events     []func()                // randomEvent picks from these; a likelier event has more entries
	// badCounter and badServers: the counter or the servers may also answer with errors.
	badCounter, badServers bool
	// Settings of the configuration: whether it has a list, and durations in nanoseconds.
	knowsList                    bool
	pollInterval, counterTimeout int64
	violations                   []string // of the checks
}

// fail records a violation.
func (w *walkEnvironment) fail(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

// oneIn returns true with probability 1/n.
func (w *walkEnvironment) oneIn(n int) bool { return w.random.IntN(n) == 0 }

// Dial implements Effects.
func (w *walkEnvironment) Dial(address string, _ int64) ConnID {
	w.last++
	w.conns[w.last] = &walkConn{id: w.last, address: address}
	return w.last
}

// Read implements Effects.
func (w *walkEnvironment) Read(into []byte) {
	copy(into, w.readFrom.incoming)
	w.readFrom.incoming = w.readFrom.incoming[len(into):]
	w.readFrom.deliveredBytes += len(into)
}

// Write implements Effects.
func (w *walkEnvironment) Write(id ConnID, text []byte) {
	c := w.conns[id]
	if c == nil || c.closed {
		w.fail("connection %d is written to after its end", id)
		return
	}
	c.written = append(c.written, text...)
	if !c.ended && !w.oneIn(8) {
		w.accept(c)
	}
	switch {
	case c.address == "":
		w.readAnswers(c)
	case c.isServer():
		w.checkAttempt(c, text)
	}
}

// Alive implements Effects.
func (w *walkEnvironment) Alive(id ConnID) bool {
	c := w.conns[id]
	return c.open && !c.closed && !c.ended && (c.address == "" || len(c.incoming) == 0)
}

// PeerGone implements Effects.
func (w *walkEnvironment) PeerGone(id ConnID) bool { return w.conns[id].ended || w.conns[id].closed }

// Written implements Effects.
func (w *walkEnvironment) Written(id ConnID) int64 { return int64(w.conns[id].accepted) }

// Close implements Effects.
func (w *walkEnvironment) Close(id ConnID) int64 {
	c := w.conns[id]
	w.close(c)
	return int64(c.accepted)
}

// CloseGracefully implements Effects.
func (w *walkEnvironment) CloseGracefully(id ConnID, _, _ int64) bool {
	c := w.conns[id]
	if len(c.incoming) > 0 {
		return false
	}
	w.close(c)
	return true
}

// HasBacklog implements Effects.
func (w *walkEnvironment) HasBacklog() bool { return false }
func (w *walkEnvironment) SinceStep() int64 { return 0 }

// UnreadFor implements Effects. A few clients have unread bytes for long, others at other times.
func (w *walkEnvironment) UnreadFor(id ConnID) int64 {
	if (int64(id)+w.timerAt/1e7)%16 == 0 {
		return second
	}
	return 0
}

// SetTimer implements Effects.
func (w *walkEnvironment) SetTimer(at int64) { w.timerAt = at }

// WallClock implements Effects.
func (w *walkEnvironment) WallClock() int64 { return w.now + w.wallStep }

// close marks a connection as closed by the limiter and checks that a connected client has all its answers.
func (w *walkEnvironment) close(c *walkConn) {
	if c.closed {
		return
	}
	c.closed = true
	if c.address != "" || c.ended {
		return
	}
	for _, command := range c.commands[c.answered:] {
		if command.deadline != 0 {
			w.fail("the connection of client %d is closed with a command unanswered: %+v", c.id, command.request)
		}
	}
}

func (c *walkConn) isServer() bool {
	return c.address != "" && !strings.HasPrefix(c.address, walkDiscovery) && !strings.HasPrefix(c.address, walkCounter)
}

// hasPartOfCommand tells whether only a part of a command was delivered to the limiter.
func (c *walkConn) hasPartOfCommand() bool {
	start := 0
	for _, command := range c.commands {
		if start < c.deliveredBytes && c.deliveredBytes < command.endOffset {
			return true
		}
		start = command.endOffset
	}
	return false
}

// readAnswers reads what the limiter has written to a client and checks that each command gets one answer, in order.
// The deadlines are checked by checkOverdue, rejections by checkRejections.
func (w *walkEnvironment) readAnswers(c *walkConn) {
	for c.answerBytes < len(c.written) {
		value, n, err := resp.ReadValue(c.written[c.answerBytes:])
		if err != nil || n == 0 {
			w.fail("client %d cannot read %q: %v", c.id, c.written[c.answerBytes:], err)
			return
		}
		text := string(c.written[c.answerBytes : c.answerBytes+n])
		c.answerBytes += n
		if c.answered < len(c.commands) && c.commands[c.answered].deadline != 0 {
			command := c.commands[c.answered]
			c.answered++
			command.answer = text
			if q := command.request; q != nil && value.Kind == '$' && string(value.Text) != q.id {
				w.fail("%s got the answer to another request: %q", q.id, text)
			}
			continue
		}
		if text == "-ERR too slow\r\n" && c.hasPartOfCommand() {
			c.inputRejected = true
			c.discarded = true
			continue
		}
		if !c.inputRejected || value.Kind != '-' {
			w.fail("client %d got an answer without a command: %q", c.id, text)
		}
	}
}

// checkAttempt checks a command that is written to a server.
func (w *walkEnvironment) checkAttempt(c *walkConn, text []byte) {
	words, _, err := resp.ReadCommand(text, nil)
	if err != nil || len(words) == 0 {
		w.fail("invalid command written to %s: %q", c.address, text)
		return
	}
	if string(words[0]) == "SELECT" {
		return
	}
	q := w.requests[string(words[wordID])]
	if q.command.answer != "" {
		w.fail("%s is sent after its answer", q.id)
	}
	if q.client.ended || q.client.closed {
		w.fail("%s is sent for a client that has disconnected", q.id)
	}
	if since, known := w.draining[c.address]; known && w.now > since+walkDrainGrace {
		w.fail("%s is sent to %s, which has been draining for %d ms", q.id, c.address, (w.now-since)/1e6)
	}
	if timeLeft := commandTimeLeft(words); timeLeft > q.command.deadline-w.now+walkTimeLeftSlack {
		w.fail("%s: a server is sent a time left of %d ms, the client has %d ms",
			q.id, timeLeft/1e6, (q.command.deadline-w.now)/1e6)
	}
}

// commandTimeLeft returns the time left that a command gives, nanoseconds.
func commandTimeLeft(words [][]byte) int64 {
	_, rest, _ := bytes.Cut(words[wordFields], []byte("d="))
	digits, _, _ := bytes.Cut(rest, []byte(","))
	milliseconds, _ := strconv.ParseInt(string(digits), 10, 64)
	return milliseconds * 1e6
}

// connsWhere returns the connections that the limiter has not closed and that match, in the order of their ids.
func (w *walkEnvironment) connsWhere(matches func(c *walkConn) bool) []*walkConn {
	var list []*walkConn
	for _, id := range slices.Sorted(maps.Keys(w.conns)) {
		if c := w.conns[id]; !c.closed && matches(c) {
			list = append(list, c)
		}
	}
	return list
}

// pickConn returns a random one of the connections that match; nil if there is none.
func (w *walkEnvironment) pickConn(matches func(c *walkConn) bool) *walkConn {
	list := w.connsWhere(matches)
	if len(list) == 0 {
		return nil
	}
	return list[w.random.IntN(len(list))]
}

// step has the limiter handle one event.
func (w *walkEnvironment) step(event Event) {
	w.note("%T %+v", event, event)
	w.limiter.Step(w.now, event)
}

// note adds a line to the history, of which the latest lines are kept.
func (w *walkEnvironment) note(format string, arguments ...any) {
	const limit = 60
	w.history = append(w.history, fmt.Sprintf("%d ", w.now/1e6)+fmt.Sprintf(format, arguments...))
	w.history = w.history[max(0, len(w.history)-limit):]
}

// deliver delivers the next size received bytes to the limiter. age is how long they have waited, nanoseconds.
func (w *walkEnvironment) deliver(c *walkConn, size int, age int64) {
	if size == 0 {
		return
	}
	w.readFrom = c
	for _, command := range c.commands {
		if command.deadline != 0 || command.endOffset > c.deliveredBytes+size || c.discarded {
			continue
		}
		command.deadline = w.now - age
		if q := command.request; q != nil {
			command.deadline += q.timeout
			command.expired = command.deadline <= w.now
		}
	}
	w.step(DataReceived{Conn: c.id, Size: size, Age: age})
}

// deliverClose reports to the limiter that the peer has closed a connection, after the data received before it unless
// the connection was reset.
func (w *walkEnvironment) deliverClose(c *walkConn, reason CloseReason) {
	if !c.reset {
		w.deliver(c, len(c.incoming), 0)
	}
	if !c.closed {
		w.step(ConnClosed{Conn: c.id, Reason: reason})
	}
}

// accept has the kernel accept the rest of what was written, or a part of it, and the peer read that.
func (w *walkEnvironment) accept(c *walkConn) {
	size := len(c.written) - c.accepted
	if w.oneIn(4) {
		size = w.random.IntN(size + 1)
	}
	c.accepted += size
	w.peerReads(c)
}

// noteDraining records which servers the limiter knows to be draining or removed.
func (w *walkEnvironment) noteDraining() {
	for server := range w.lifecycles {
		address := server + ":9"
		pool := w.limiter.servers.pools[server]
		_, known := w.draining[address]
		switch {
		case pool != nil && !pool.draining:
			delete(w.draining, address)
		case !known:
			w.draining[address] = w.now
		}
	}
}

// checkOverdue checks that all requests whose deadline has passed are answered.
func (w *walkEnvironment) checkOverdue() {
	for _, c := range w.connsWhere(func(c *walkConn) bool { return c.address == "" && !c.ended }) {
		for _, command := range c.commands[c.answered:] {
			answerOwed := command.request != nil && command.deadline != 0 && !command.expired
			if answerOwed && w.now >= max(command.deadline, w.limiter.suspension.timersBlockedUntil) {
				w.fail("%s has no answer %d ms after its deadline", command.request.id, (w.now-command.deadline)/1e6)
			}
		}
	}
}

// checkRejections checks that no non-idempotent request was rejected although it may have run. One with an idempotency
// key that all servers recognize may be sent again, so it may be rejected.
func (w *walkEnvironment) checkRejections() {
	for _, q := range w.requests {
		if !strings.HasPrefix(q.command.answer, "-BUSY") || q.class != "write" {
			continue
		}
		if slices.ContainsFunc(q.attempts, func(a *walkAttempt) bool { return !a.rejected }) {
			w.fail("%s (%s) was rejected and may have run: %q at %v", q.id, q.class, q.command.answer, q.attempts[0])
		}
	}
}

// noteUnanswered adds the requests that connected clients wait for to the history.
func (w *walkEnvironment) noteUnanswered() {
	for _, c := range w.connsWhere(func(c *walkConn) bool { return c.address == "" && !c.ended }) {
		for _, command := range c.commands[c.answered:] {
			q := command.request
			if q == nil || command.deadline == 0 {
				continue
			}
			state := "forgotten"
			if pending := w.limiter.requests.byID[q.id]; pending != nil {
				state = pending.state.String()
			}
			w.note("client %d waits for %s until %d ms: %s", c.id, q.id, command.deadline/1e6, state)
		}
	}
}
