package simfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/resp"
)

// Customer is the part of the load that one customer sends.
type Customer struct {
	ID       string // 16 hex digits
	Plan     string
	Share    float64
	Limiters int // number of consecutive limiters that the customer's requests are spread over
	First    int // index of the first of these limiters
}

// ClassShare is the part of the load that has one class.
type ClassShare struct {
	Class    string
	Share    float64
	Units    float64
	Deadline int64 // nanoseconds after the request is sent
}

// Load describes the requests of the clients. The load is open loop: requests arrive at the given rate whether or not
// earlier ones have been answered.
type Load struct {
	Rate      float64 // requests per second of all customers together
	From      int64   // earliest time of a request, in nanoseconds of the fleet's clock
	Until     int64   // end of the load, in nanoseconds of the fleet's clock
	Customers []Customer
	Classes   []ClassShare
	// KeepConnections makes clients keep using open connections to a limiter that is shutting down; false closes them
	// once the shutdown is noticed.
	KeepConnections bool
	AbandonShare    float64 // share of requests whose client disconnects after half of the time to the deadline
	RetryShare      float64 // share of rejected requests that are retried once, as a new request
}

// lateAnswerWindow is how long after its deadline a client still waits for an answer, in nanoseconds.
const lateAnswerWindow = 500e6

// clients simulates all clients and the load balancer that distributes their requests over the limiters.
type clients struct {
	f        *Fleet
	host     *host
	rng      *rand.Rand
	rate     float64
	limiters []*limiterState // by limiter index
	next     int
	unserved int // requests for which none of the customer's limiters was ready
}

// limiterState is what the load balancer knows of a limiter.
type limiterState struct {
	ready    bool // the limiter has answered PING since it started
	draining bool // its shutdown was noticed: it gets no new connections
	idle     []*clientConn
	starts   int
	readyAt  int64 // when it became ready
}

// clientConn is a client's connection to a limiter.
type clientConn struct {
	limiter  int
	end      *connEnd
	received []byte
	pending  *pendingRequest
	ping     bool
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	request  history.Request
	command  []byte
	timeout  int64
	abandons bool
	resent   bool
	conn     *clientConn
	finished bool
	sends    int // how often the request was sent; a deadline check for an earlier send does nothing
	// Issues the request once more after a rejection, as a new request; nil if its client does not retry.
	retry func()
}

func (c *clients) accept(*connEnd) {}

func (c *clients) connected(end *connEnd) {
	conn := end.data.(*clientConn)
	if conn.ping {
		end.write([]byte("*1\r\n$4\r\nPING\r\n"))
	} else if conn.pending != nil {
		c.writeRequest(conn)
	}
}

// scheduleNext schedules the next request after an exponentially distributed pause. Each request schedules its
// successor, until the end of the load.
func (c *clients) scheduleNext() {
	load := &c.f.options.Load
	c.f.q.at(c.f.q.now+int64(c.rng.ExpFloat64()/c.rate*1e9), func() {
		if c.f.q.now >= load.Until {
			return
		}
		customer := weightedChoice(c.rng, load.Customers, func(c Customer) float64 { return c.Share })
		class := weightedChoice(c.rng, load.Classes, func(m ClassShare) float64 { return m.Share })
		c.issue(customer, class, false)
		c.scheduleNext()
	})
}

// weightedChoice draws an item with a probability proportional to its share.
func weightedChoice[T any](rng *rand.Rand, items []T, share func(T) float64) T {
	total := 0.0
	for _, it := range items {
		total += share(it)
	}
	u := rng.Float64() * total
	for _, it := range items {
		u -= share(it)
		if u < 0 {
			return it
		}
	}
	return items[len(items)-1]
}

// issue creates a request and sends it to a ready limiter among the customer's, starting the search at a random one.
func (c *clients) issue(customer Customer, class ClassShare, retry bool) {
	total := len(c.limiters)
	offset := c.rng.IntN(customer.Limiters)
	chosen := -1
	for i := range customer.Limiters {
		candidate := (customer.First + (offset+i)%customer.Limiters) % total
		if state := c.limiters[candidate]; state.ready &&
			(!state.draining || c.f.options.Load.KeepConnections && len(state.idle) > 0) {
			chosen = candidate
			break
		}
	}
	if chosen < 0 {
		c.unserved++
		return
	}
	c.next++
	effect := c.f.settings.Classes[class.Class].Idempotency
	pending := &pendingRequest{timeout: class.Deadline, abandons: c.rng.Float64() < c.f.options.Load.AbandonShare}
	pending.request = history.Request{
		ID:            fmt.Sprintf("%016x", c.next),
		Customer:      customer.ID,
		Plan:          customer.Plan,
		Class:         class.Class,
		Units:         class.Units,
		Limiter:       chosen,
		Retry:         retry,
		NonIdempotent: effect == choice.NonIdempotent,
	}
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d", class.Class, customer.Plan, class.Deadline/1e6,
		strconv.FormatFloat(class.Units, 'g', -1, 64), customer.Limiters, customer.First)
	if retry {
		fields += ",r=1"
	}
	if effect == choice.IdempotentWithKey {
		fields += ",k=" + pending.request.ID
	}
	words := [][]byte{[]byte("SVC.QUERY"), []byte(customer.ID), []byte(pending.request.ID), []byte(fields)}
	if effect != choice.Idempotent {
		words[0] = []byte("SVC.SUBMIT")
		words = append(words, []byte("body"))
	}
	pending.command = resp.AppendCommand(nil, words...)
	pending.request.Answered = -1
	if c.rng.Float64() < c.f.options.Load.RetryShare && !retry {
		pending.retry = func() { c.issue(customer, class, true) }
	}
	c.send(pending, false)
}

// send writes the request to the idle connection that was used last, or to a new connection if there is none or fresh
// is set.
func (c *clients) send(pending *pendingRequest, newConn bool) {
	state := c.limiters[pending.request.Limiter]
	pending.sends++
	if last := len(state.idle) - 1; last >= 0 && !newConn {
		conn := state.idle[last]
		state.idle = state.idle[:last]
		conn.pending = pending
		pending.conn = conn
		c.writeRequest(conn)
		return
	}
	conn := &clientConn{limiter: pending.request.Limiter, pending: pending}
	pending.conn = conn
	pending.request.Sent = c.f.q.now
	pending.request.Deadline = c.f.q.now + pending.timeout
	conn.end = c.f.net.dial(c.host, c, c.f.limiters[conn.limiter].host.name, 1e9)
	conn.end.data = conn
}

// writeRequest writes the pending request of a connection. The request's time to its deadline starts here, not when the
// connection was dialed.
func (c *clients) writeRequest(conn *clientConn) {
	pending, now := conn.pending, c.f.q.now
	pending.request.Sent = now
	pending.request.Deadline = now + pending.timeout
	conn.end.write(pending.command)
	send := pending.sends
	checkAt := pending.request.Deadline + lateAnswerWindow
	if pending.abandons {
		checkAt = now + pending.timeout/2
	}
	c.f.q.at(checkAt, func() {
		if pending.finished || pending.sends != send {
			return
		}
		conn.end.close()
		if pending.abandons {
			c.finish(pending, history.GaveUp, 0)
		} else {
			c.finish(pending, history.Unanswered, 0)
		}
	})
}

// finish records the outcome of a request and schedules its retry, no earlier than retryAfter nanoseconds from now.
func (c *clients) finish(pending *pendingRequest, outcome history.Outcome, retryAfter int64) {
	pending.finished = true
	pending.request.Answered = c.f.q.now
	pending.request.Outcome = outcome
	pending.request.RetryAfter = retryAfter
	if pending.conn != nil {
		pending.conn.pending = nil
	}
	c.f.requests = append(c.f.requests, pending.request)
	if at := c.f.q.now + max(retryAfter, 50e6); pending.retry != nil && outcome == history.Rejected &&
		at < c.f.options.Load.Until {
		c.f.q.at(at, pending.retry)
	}
}

func (c *clients) read(end *connEnd, data []byte, _ int64) {
	conn := end.data.(*clientConn)
	conn.received = append(conn.received, data...)
	value, n, err := resp.ReadValue(conn.received)
	if n == 0 && err == nil {
		return
	}
	pending := conn.pending
	if conn.ping {
		end.close()
		if string(value.Text) == "PONG" {
			c.markReady(conn.limiter)
		}
		return
	}
	if pending == nil || err != nil {
		c.f.recordFault("answer", fmt.Sprintf("limiter:%d", conn.limiter), "unsolicited or malformed answer")
		end.close()
		state := c.limiters[conn.limiter]
		state.idle = slices.DeleteFunc(state.idle, func(o *clientConn) bool { return o == conn })
		if pending != nil {
			c.finish(pending, history.ConnectionBroken, 0)
		}
		return
	}
	conn.received = conn.received[n:]
	outcome, retryAfter := outcomeOf(value)
	if c.f.q.now > pending.request.Deadline {
		outcome = history.Late
	}
	c.finish(pending, outcome, retryAfter)
	state := c.limiters[conn.limiter]
	if state.draining && !c.f.options.Load.KeepConnections {
		end.close()
		return
	}
	state.idle = append(state.idle, conn)
}

// outcomeOf returns the outcome that an answer stands for in the client protocol, and its retry-after in nanoseconds.
func outcomeOf(answer resp.Value) (history.Outcome, int64) {
	switch {
	case answer.Kind == '$' && !answer.Null:
		return history.Succeeded, 0
	case answer.Kind == '-' && len(answer.Text) >= 4 && string(answer.Text[:4]) == "BUSY":
		ms, _ := strconv.ParseInt(string(answer.Text[min(len(answer.Text), 5):]), 10, 64)
		return history.Rejected, ms * 1e6
	}
	return history.Failed, 0
}

func (c *clients) ended(end *connEnd, reason limiter.CloseReason) {
	conn := end.data.(*clientConn)
	state := c.limiters[conn.limiter]
	state.idle = slices.DeleteFunc(state.idle, func(o *clientConn) bool { return o == conn })
	pending := conn.pending
	if pending == nil {
		return
	}
	unread := reason == limiter.ConnRefused || reason == limiter.DialTimedOut || end.peer.bytesRead < end.bytesWritten
	switch {
	// The limiter closed the connection before it read the request: resend it once.
	case unread && !pending.resent && reason != limiter.DialTimedOut:
		pending.resent = true
		c.send(pending, true)
	case unread:
		pending.request.Answered = c.f.q.now
		c.finish(pending, history.NotAccepted, 0)
	default:
		c.finish(pending, history.ConnectionBroken, 0)
	}
}

// limiterStarted starts health checks of a limiter that has just started.
func (c *clients) limiterStarted(n int) {
	state := c.limiters[n]
	state.ready = false
	state.draining = false
	state.starts++
	c.pingUntilReady(n, state.starts)
}

// pingInterval is the interval of health checks of a limiter that is not ready, and their timeout, in nanoseconds.
const pingInterval = 100e6

func (c *clients) pingUntilReady(n, start int) {
	state := c.limiters[n]
	if state.ready || state.starts != start {
		return
	}
	conn := &clientConn{limiter: n, ping: true}
	conn.end = c.f.net.dial(c.host, c, c.f.limiters[n].host.name, pingInterval)
	conn.end.data = conn
	c.f.q.at(c.f.q.now+pingInterval, func() {
		conn.end.close()
		c.pingUntilReady(n, start)
	})
}

// markReady puts a limiter into rotation.
func (c *clients) markReady(n int) {
	state := c.limiters[n]
	if !state.ready {
		state.ready = true
		state.readyAt = c.f.q.now
		c.f.recordEvent("ready", fmt.Sprintf("limiter:%d", n), "")
	}
}

// limiterEnded takes a limiter that has ended out of rotation after 1 to 3 s, unless it has started again by then.
func (c *clients) limiterEnded(n int) {
	state := c.limiters[n]
	start := state.starts
	c.f.q.at(c.f.q.now+1e9+c.rng.Int64N(2e9), func() {
		if state.starts == start {
			state.ready = false
		}
	})
}

// limiterDraining stops new connections to a limiter 0.2 to 0.4 s after its SIGTERM: the load balancer notices a
// shutdown with a delay.
func (c *clients) limiterDraining(n int) {
	state := c.limiters[n]
	start := state.starts
	c.f.q.at(c.f.q.now+200e6+c.rng.Int64N(200e6), func() {
		if state.starts != start {
			return
		}
		state.draining = true
		if !c.f.options.Load.KeepConnections {
			for _, conn := range state.idle {
				conn.end.close()
			}
			state.idle = nil
		}
	})
}
