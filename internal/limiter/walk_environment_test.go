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

// This file is what the walks of walk_test.go go through: a kernel with connections that end, break, and take and give
// their bytes in pieces, and the clients, servers, counter and discovery behind them. It checks what they can see.

const (
	walkDiscovery = "discovery"
	walkCounter   = "counter"
	// walkDrainGrace is how long after notice that a server drains attempts may still be written to it.
	walkDrainGrace = int64(1e8)
	// walkTimeLeftSlack is how much more time than its client has left a server may be told.
	walkTimeLeftSlack = int64(15e7)
	// walkDeduplicationWindow is for how long servers know a request with an idempotency key again.
	walkDeduplicationWindow = 2 * second
)

// walkConn is one connection of the kernel.
type walkConn struct {
	id      ConnID
	address string // what was dialled; empty for a client's
	open    bool   // it is up
	closed  bool   // the limiter has closed it, or was told of its end
	ended   bool   // the other side has ended it, or broken it off
	reset   bool   // broken off: what the limiter was not told yet is lost

	written  []byte // by the limiter
	accepted int    // how much of it the kernel has taken
	read     int    // how much of that the other side has read
	incoming []byte // from the other side, not told yet

	commands      []*walkCommand // a client's, in order
	answered      int            // how many of them have their answers
	answerBytes   int            // bytes of the answers that were read
	inputRejected bool           // the client has sent what is no command
	// discarded: the limiter has said that it reads no more from this client.
	discarded      bool
	sentBytes      int            // bytes that the client has sent
	deliveredBytes int            // bytes that the limiter was told
	pending        []*walkAttempt // a server's commands without an answer
	rejectsPartial bool           // it has said so of a command of which it has a part
	calls          []string       // the counter's or discovery's calls without an answer
}

// walkCommand is one command of a client.
type walkCommand struct {
	request   *walkRequest // nil for a PING, or where the id is in use
	endOffset int          // the place behind its last byte
	deadline  int64        // 0 until the limiter was told of it
	expired   bool         // it was told of it behind its deadline
	answer    string
}

// walkRequest is a request with all that came of it.
type walkRequest struct {
	id, class string
	client    *walkConn
	command   *walkCommand
	timeout   int64
	attempts  []*walkAttempt
}

// walkAttempt is one command that a server has read.
type walkAttempt struct {
	request  *walkRequest
	at       int64 // when its last byte came
	rejected bool  // the server has said, or will say, that it did not run
}

// walkEnvironment is the kernel and the other sides.
type walkEnvironment struct {
	random     *rand.Rand
	limiter    *Limiter
	now        int64
	timerAt    int64
	wallStep   int64
	last       ConnID
	conns      map[ConnID]*walkConn
	readFrom   *walkConn // whose bytes the present event tells
	requests   map[string]*walkRequest
	version    int
	lifecycles map[string]string // of the servers, as discovery has them
	draining   map[string]int64  // addresses of servers, and when the limiter was told that they drain
	history    []string          // the latest steps
	events     []func()          // what may happen, the more often the more likely
	// badCounter and badServers: what these answer may also be no success.
	badCounter, badServers bool
	// What the configuration says.
	knowsList                    bool
	pollInterval, counterTimeout int64
	violations                   []string
}

func (w *walkEnvironment) fail(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

// oneIn is true one time in n.
func (w *walkEnvironment) oneIn(n int) bool { return w.random.IntN(n) == 0 }

// Dial is an effect.
func (w *walkEnvironment) Dial(address string, _ int64) ConnID {
	w.last++
	w.conns[w.last] = &walkConn{id: w.last, address: address}
	return w.last
}

// Read is an effect.
func (w *walkEnvironment) Read(into []byte) {
	copy(into, w.readFrom.incoming)
	w.readFrom.incoming = w.readFrom.incoming[len(into):]
	w.readFrom.deliveredBytes += len(into)
}

// Write is an effect.
func (w *walkEnvironment) Write(id ConnID, text []byte) {
	c := w.conns[id]
	if c == nil || c.closed {
		w.fail("connection %d is written to behind its end", id)
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

// Alive is an effect.
func (w *walkEnvironment) Alive(id ConnID) bool {
	c := w.conns[id]
	return c.open && !c.closed && !c.ended && (c.address == "" || len(c.incoming) == 0)
}

// PeerGone is an effect.
func (w *walkEnvironment) PeerGone(id ConnID) bool { return w.conns[id].ended || w.conns[id].closed }

// Written is an effect.
func (w *walkEnvironment) Written(id ConnID) int64 { return int64(w.conns[id].accepted) }

// Close is an effect.
func (w *walkEnvironment) Close(id ConnID) int64 {
	c := w.conns[id]
	w.close(c)
	return int64(c.accepted)
}

// CloseGracefully is an effect.
func (w *walkEnvironment) CloseGracefully(id ConnID, _, _ int64) bool {
	c := w.conns[id]
	if len(c.incoming) > 0 {
		return false
	}
	w.close(c)
	return true
}

// HasBacklog is an effect.
func (w *walkEnvironment) HasBacklog() bool { return false }

// SetTimer is an effect.
func (w *walkEnvironment) SetTimer(at int64) { w.timerAt = at }

// WallClock is an effect.
func (w *walkEnvironment) WallClock() int64 { return w.now + w.wallStep }

// close is the limiter's end of a connection. A client that is there has all its answers by then.
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

// hasPartOfCommand tells whether the limiter was told of a command's beginning alone.
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

// readAnswers reads what the limiter has written to a client: one answer for each command, in order, not behind the
// command's deadline, and no rejection of what may have run.
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
				w.fail("%s has got another one's answer: %q", q.id, text)
			}
			continue
		}
		if text == "-ERR too slow\r\n" && c.hasPartOfCommand() {
			c.inputRejected = true
			c.discarded = true
			continue
		}
		if !c.inputRejected || value.Kind != '-' {
			w.fail("client %d has got an answer for nothing: %q", c.id, text)
		}
	}
}

// checkAttempt checks what is written to a server.
func (w *walkEnvironment) checkAttempt(c *walkConn, text []byte) {
	words, _, err := resp.ReadCommand(text, nil)
	if err != nil || len(words) == 0 {
		w.fail("what is written to %s is no command: %q", c.address, text)
		return
	}
	if string(words[0]) == "SELECT" {
		return
	}
	q := w.requests[string(words[wordID])]
	if q.command.answer != "" {
		w.fail("%s is sent behind its answer", q.id)
	}
	if q.client.ended || q.client.closed {
		w.fail("%s is sent for a client that has gone", q.id)
	}
	if since, known := w.draining[c.address]; known && w.now > since+walkDrainGrace {
		w.fail("%s is sent to %s, which drains for %d ms", q.id, c.address, (w.now-since)/1e6)
	}
	if timeLeft := toldTimeLeft(words); timeLeft > q.command.deadline-w.now+walkTimeLeftSlack {
		w.fail("%s: a server is told %d ms of %d", q.id, timeLeft/1e6, (q.command.deadline-w.now)/1e6)
	}
}

// toldTimeLeft is the time that a command says its client has left.
func toldTimeLeft(words [][]byte) int64 {
	_, rest, _ := bytes.Cut(words[wordFields], []byte("d="))
	digits, _, _ := bytes.Cut(rest, []byte(","))
	milliseconds, _ := strconv.ParseInt(string(digits), 10, 64)
	return milliseconds * 1e6
}

// connsWhere lists the connections for which something holds, in order.
func (w *walkEnvironment) connsWhere(matches func(c *walkConn) bool) []*walkConn {
	var list []*walkConn
	for _, id := range slices.Sorted(maps.Keys(w.conns)) {
		if c := w.conns[id]; !c.closed && matches(c) {
			list = append(list, c)
		}
	}
	return list
}

// pickConn is one of the connections for which something holds; nil where there is none.
func (w *walkEnvironment) pickConn(matches func(c *walkConn) bool) *walkConn {
	list := w.connsWhere(matches)
	if len(list) == 0 {
		return nil
	}
	return list[w.random.IntN(len(list))]
}

// step has the limiter take one event.
func (w *walkEnvironment) step(event Event) {
	w.note("%T %+v", event, event)
	w.limiter.Step(w.now, event)
}

// note keeps the latest steps, for a walk that fails.
func (w *walkEnvironment) note(format string, arguments ...any) {
	const limit = 60
	w.history = append(w.history, fmt.Sprintf("%d ", w.now/1e6)+fmt.Sprintf(format, arguments...))
	w.history = w.history[max(0, len(w.history)-limit):]
}

// deliver tells the limiter of bytes that have come.
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

// deliverClose tells the limiter of the other side's end, behind all that came before it.
func (w *walkEnvironment) deliverClose(c *walkConn, reason CloseReason) {
	if !c.reset {
		w.deliver(c, len(c.incoming), 0)
	}
	if !c.closed {
		w.step(ConnClosed{Conn: c.id, Reason: reason})
	}
}

// accept has the kernel take what it did not before, or a part of that, and the other side read it.
func (w *walkEnvironment) accept(c *walkConn) {
	size := len(c.written) - c.accepted
	if w.oneIn(4) {
		size = w.random.IntN(size + 1)
	}
	c.accepted += size
	w.peerReads(c)
}

// noteDraining writes down which servers the limiter knows to drain.
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

// checkOverdue checks that all commands whose deadline is over have an answer.
func (w *walkEnvironment) checkOverdue() {
	for _, c := range w.connsWhere(func(c *walkConn) bool { return c.address == "" && !c.ended }) {
		for _, command := range c.commands[c.answered:] {
			answerOwed := command.request != nil && command.deadline != 0 && !command.expired
			if answerOwed && w.now >= max(command.deadline, w.limiter.suspension.timersBlockedUntil) {
				w.fail("%s has no answer %d ms behind its deadline", command.request.id, (w.now-command.deadline)/1e6)
			}
		}
	}
}

// checkRejections checks that nothing that must run once was checkRejections though it may have run. (One with an idempotency key
// that all servers know may come again.)
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

// noteUnanswered writes down what clients that are there wait for, for a walk that fails.
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
