// Package loadgen generates the load of the lab's clients: open-loop Poisson arrivals over customers and classes. Like
// the platform's front end it sends each request over RESP2 to one limiter of the customer's set, and it records
// the request with its answer.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

// lateAnswerWait is how long a client waits past a request's deadline, so that an answer that is up to half a second
// late is recorded as late and not as missing.
const lateAnswerWait = 600 * time.Millisecond

// Driver sends the load of one experiment to the limiters of a fleet.
type Driver struct {
	e        *experiment.Experiment
	clock    *history.Clock
	recorder *history.Recorder
	fleet    Fleet
	mu       sync.Mutex // guards rng and sequence
	rng      *rand.Rand
	idle     []chan net.Conn // idle connections by limiter
	sequence int64           // number of requests so far, from which their ids are made
	wg       sync.WaitGroup
}

// Fleet gives the driver's clients access to the limiters, which are identified by number.
type Fleet interface {
	Address(limiter int) string // current address for clients
	// AcceptsConnections reports whether clients may open new connections to the limiter. If not, they still use the
	// connections that are open.
	AcceptsConnections(limiter int) bool
	// Disrupted reports whether the limiter's process was killed or crashed, or the clients' link to it has a fault. A
	// broken connection is then not taken for the race with an idle close (see Driver.send).
	Disrupted(limiter int) bool
}

// New returns a driver for the load of e.
func New(e *experiment.Experiment, clock *history.Clock, recorder *history.Recorder, fleet Fleet) *Driver {
	d := &Driver{e: e, clock: clock, recorder: recorder, fleet: fleet, rng: rand.New(rand.NewPCG(e.Seed, 0x10ad))}
	for range e.Limiters.Count {
		d.idle = append(d.idle, make(chan net.Conn, 512))
	}
	return d
}

// arrivalRate returns the arrival rate at now in requests per second, including bursts of the timeline.
func (d *Driver) arrivalRate(now int64) float64 {
	r := d.e.Load.Rate
	for _, f := range d.e.Faults {
		if f.Target == "load" && f.Kind == "burst" && now >= experiment.Nanos(f.From) &&
			(f.Until == 0 || now < experiment.Nanos(f.Until)) {
			r *= f.Factor
		}
	}
	return r
}

// Run sends requests for the experiment's length and then waits until all have ended. A non-nil progress is called
// about once per second with the share of the length that has passed.
func (d *Driver) Run(progress func(float64)) {
	length := experiment.Nanos(d.e.Length)
	at := d.clock.Now()
	lastProgress := at
	arrivals := rand.New(rand.NewPCG(d.e.Seed, 0xa441)) // separate, so that retries do not shift arrivals
	for {
		at += int64(arrivals.ExpFloat64() / d.arrivalRate(at) * 1e9)
		if at >= length {
			break
		}
		if wait := time.Duration(at - d.clock.Now()); wait > 0 {
			time.Sleep(wait)
		}
		if progress != nil && at-lastProgress > int64(time.Second) {
			lastProgress = at
			progress(float64(at) / float64(length))
		}
		d.startRequest(false, "", 0)
	}
	d.wg.Wait()
	for _, p := range d.idle {
		close(p)
		for c := range p {
			_ = c.Close()
		}
	}
}

// pick draws an item with a probability proportional to its share.
func pick[T any](rng *rand.Rand, items []T, share func(T) float64) T {
	total := 0.0
	for _, item := range items {
		total += share(item)
	}
	u := rng.Float64() * total
	for _, item := range items {
		u -= share(item)
		if u < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

// startRequest draws a request and sends it on a goroutine of its own. A retry has the given customer and class.
func (d *Driver) startRequest(retry bool, customer string, classIndex int) {
	d.mu.Lock() // retries call this from their own goroutines
	defer d.mu.Unlock()
	c := pick(d.rng, d.e.Load.Customers, func(c experiment.Customer) float64 { return c.Share })
	class := pick(d.rng, d.e.Load.Classes, func(t experiment.ClassMix) float64 { return t.Share })
	if retry {
		for _, other := range d.e.Load.Customers {
			if other.ID == customer {
				c = other
			}
		}
		class = d.e.Load.Classes[classIndex]
	}
	index := 0
	for i, t := range d.e.Load.Classes {
		if t.Name == class.Name {
			index = i
		}
	}
	limiter, conn := d.pickLimiter(c, true)
	d.sequence++
	request := history.Request{ID: fmt.Sprintf("%016x", d.e.Seed<<32^uint64(d.sequence)), Customer: c.ID, Plan: c.Plan,
		Class: class.Name, Units: class.Units, Limiter: limiter, Retry: retry,
		NonIdempotent: d.e.Settings.Classes[class.Name].Idempotency == choice.NonIdempotent}
	giveUp := d.rng.Float64() < d.e.Load.GiveUp
	willRetry := d.rng.Float64() < d.e.Load.Retry
	timeout := time.Duration(class.Timeout * float64(time.Second))
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.send(&request, c, conn, timeout, giveUp)
		d.recorder.AddRequest(request)
		if request.Outcome == history.Rejected && willRetry && !retry {
			wait := time.Duration(max(request.RetryAfter, int64(50*time.Millisecond)))
			if d.clock.Now()+int64(wait) < experiment.Nanos(d.e.Length) {
				time.Sleep(wait)
				d.wg.Add(1)
				go func() { defer d.wg.Done(); d.startRequest(true, request.Customer, index) }()
			}
		}
	}()
}

// closeRaceWindow is the longest time between sending a request on a reused connection and seeing that connection end
// for which the limiter counts as having closed it before it received the request.
const closeRaceWindow = 50 * time.Millisecond

// noLimiter stands for the limiter of a request when no limiter of the customer's set is reachable.
const noLimiter = -1

// pickLimiter draws a limiter of the customer's set that accepts new connections or, with reuse, to which a connection
// is idle, and returns that connection or nil. It returns noLimiter if there is none. d.mu must be held.
func (d *Driver) pickLimiter(c experiment.Customer, reuse bool) (limiter int, conn net.Conn) {
	start := d.rng.IntN(c.Spread)
	for offset := range c.Spread {
		limiter = (c.First + (start+offset)%c.Spread) % d.e.Limiters.Count
		if reuse {
			conn = d.idleConn(limiter)
		}
		if conn != nil || d.fleet.AcceptsConnections(limiter) {
			return limiter, conn
		}
	}
	return noLimiter, nil
}

// idleConn removes an idle connection to a limiter from the pool and returns it, or nil if none is open.
func (d *Driver) idleConn(limiter int) net.Conn {
	for {
		select {
		case conn := <-d.idle[limiter]:
			if stillOpen(conn) {
				return conn
			}
			_ = conn.Close()
		default:
			return nil
		}
	}
}

// stillOpen reports whether the other end of an idle connection has neither closed it nor sent unexpected bytes.
func stillOpen(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	_ = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN // otherwise the connection ended or has unexpected bytes
		return true
	})
	return open
}

// send sends a request and reads its answer, on conn or, if that is nil, on a new connection. If the limiter closed the
// idle connection while the request was on its way, send sends it once more on a new connection.
func (d *Driver) send(
	request *history.Request, c experiment.Customer, conn net.Conn, timeout time.Duration, giveUp bool,
) {
	if d.sendOnce(request, c, conn, timeout, giveUp) {
		request.Resent = true
		d.mu.Lock()
		request.Limiter, _ = d.pickLimiter(c, false)
		d.mu.Unlock()
		d.sendOnce(request, c, nil, timeout, giveUp)
	}
}

// sendOnce sends a request once and reports whether it raced with the close of its idle connection.
func (d *Driver) sendOnce(
	request *history.Request,
	c experiment.Customer,
	conn net.Conn,
	timeout time.Duration,
	giveUp bool,
) bool {
	reused := conn != nil
	if !reused {
		err := net.ErrClosed
		if request.Limiter != noLimiter {
			conn, err = net.DialTimeout("tcp", d.fleet.Address(request.Limiter), time.Second)
		}
		if err != nil {
			request.Sent, request.Deadline = d.clock.Now(), d.clock.Now()+int64(timeout)
			request.Answered = request.Sent
			request.Outcome = history.NotAccepted
			return false
		}
	}
	request.Reused = reused
	request.Sent = d.clock.Now()
	request.Deadline = request.Sent + int64(timeout)
	wait := timeout + lateAnswerWait
	if giveUp {
		wait = timeout / 2
	}
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, err := conn.Write(Command(d.e, request, c, timeout))
	var value resp.Value
	if err == nil {
		value, err = newAnswerReader(conn).next()
	}
	recordOutcome(request, conn, d.clock.Now(), value, err)
	switch {
	case request.Outcome == history.Unanswered && giveUp:
		request.Outcome = history.GaveUp
	case request.Outcome == history.ConnectionBroken:
		_ = conn.Close()
		ended := request.Answered - request.AnswerUnread
		return reused && ended-request.Sent < int64(closeRaceWindow) && !d.fleet.Disrupted(request.Limiter)
	case err == nil:
		select {
		case d.idle[request.Limiter] <- conn:
			return false
		default:
		}
	}
	_ = conn.Close()
	return false
}

// Command returns the encoded command of a customer's request whose client waits for timeout.
func Command(e *experiment.Experiment, request *history.Request, c experiment.Customer, timeout time.Duration) []byte {
	attributes := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d", request.Class, request.Plan,
		timeout.Milliseconds(), strconv.FormatFloat(request.Units, 'g', -1, 64), c.Spread, c.First)
	if request.Retry {
		attributes += ",r=1"
	}
	if e.Settings.Classes[request.Class].Idempotency == choice.IdempotentWithKey {
		attributes += ",k=" + request.ID // idempotency key
	}
	words := [][]byte{[]byte("SVC.QUERY"), []byte(request.Customer), []byte(request.ID), []byte(attributes)}
	if e.Settings.Classes[request.Class].Idempotency != choice.Idempotent {
		words[0] = []byte("SVC.SUBMIT")
		words = append(words, []byte("body of "+request.ID))
	}
	return resp.AppendCommand(nil, words...)
}
