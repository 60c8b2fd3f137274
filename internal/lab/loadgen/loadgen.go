// Package loadgen drives the lab's clients: open-loop Poisson arrivals over customers and classes, each request sent
// over RESP2 to a limiter of the customer's set, as the platform's front does, and written down with its one answer.
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

// lateAnswerWait is how long past a request's deadline its client waits: an answer up to half a second late counts as
// late, not lost.
const lateAnswerWait = 600 * time.Millisecond

// Driver sends the load of one experiment to the limiters at the addresses it is given.
type Driver struct {
	e        *experiment.Experiment
	clock    *history.Clock
	recorder *history.Recorder
	fleet    Fleet
	mu       sync.Mutex // of rng and next
	rng      *rand.Rand
	idle     []chan net.Conn
	sequence int64
	wg       sync.WaitGroup
}

// Fleet is what clients know of the limiters, each by its number.
type Fleet interface {
	Address(limiter int) string // where it listens now
	// Open tells whether it is given new connections. Where it is not, clients go on using those that they have for as
	// long as these stay open.
	Open(limiter int) bool
	// Dead tells whether its process was killed or crashed or its link has a fault, so that a broken connection is no
	// sign of a crossing.
	Dead(limiter int) bool
}

// New makes a driver.
func New(e *experiment.Experiment, clock *history.Clock, recorder *history.Recorder, fleet Fleet) *Driver {
	d := &Driver{e: e, clock: clock, recorder: recorder, fleet: fleet, rng: rand.New(rand.NewPCG(e.Seed, 0x10ad))}
	for range e.Limiters.Count {
		d.idle = append(d.idle, make(chan net.Conn, 512))
	}
	return d
}

// arrivalRate is the arrival arrivalRate at now, with the timeline's bursts.
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

// Run sends arrivals until the experiment's length has passed, then waits for every request's end.
// progress, when not nil, is called once a second with the share of the length done.
func (d *Driver) Run(progress func(float64)) {
	length := experiment.Nanos(d.e.Length)
	at := d.clock.Now()
	lastProgress := at
	arrivals := rand.New(rand.NewPCG(d.e.Seed, 0xa441)) // apart, so that retries do not change when requests arrive
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

// startRequest draws a request and sends it on a goroutine of its own; a retry keeps the customer and class it had.
func (d *Driver) startRequest(retry bool, customer string, classIndex int) {
	d.mu.Lock() // retries arrive on goroutines of their own
	defer d.mu.Unlock()
	c := pick(d.rng, d.e.Load.Customers, func(c experiment.Customer) float64 { return c.Share })
	class := pick(d.rng, d.e.Load.Tracks, func(t experiment.ClassMix) float64 { return t.Share })
	if retry {
		for _, other := range d.e.Load.Customers {
			if other.ID == customer {
				c = other
			}
		}
		class = d.e.Load.Tracks[classIndex]
	}
	index := 0
	for i, t := range d.e.Load.Tracks {
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
	timeout := time.Duration(class.CutOff * float64(time.Second))
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

// closeRaceWindow is how soon after a request was sent its connection must have ended for the two to have crossed on the way.
const closeRaceWindow = 50 * time.Millisecond

// noLimiter is the number of a request's limiter where the customer's set had none that could be reached.
const noLimiter = -1

// pickLimiter draws a limiter of the customer's set: one to which a connection is idle, if that is asked for, or that the
// front gives new connections (conn is nil then). Where there is none it is nobody.
func (d *Driver) pickLimiter(c experiment.Customer, reuse bool) (limiter int, conn net.Conn) {
	start := d.rng.IntN(c.Spread)
	for offset := range c.Spread {
		limiter = (c.First + (start+offset)%c.Spread) % d.e.Limiters.Count
		if reuse {
			conn = d.idleConn(limiter)
		}
		if conn != nil || d.fleet.Open(limiter) {
			return limiter, conn
		}
	}
	return noLimiter, nil
}

// idleConn takes an idle connection to a limiter that is still open, nil where there is none.
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

// stillOpen tells whether an idle connection's other end has not ended it yet.
func stillOpen(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	_ = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN // else an end, or bytes that nobody asked for
		return true
	})
	return open
}

// send writes one request and reads its one answer, on the open connection it is given or on a new one. Where the
// limiter's closing an idle connection crosses it, it is sent once more, on a new connection.
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

// sendOnce sends a request and tells whether it crossed with the end of its connection.
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
	recordOutcome(request, d.clock.Now(), sinceLastReceived(conn), value, err)
	switch {
	case request.Outcome == history.Unanswered && giveUp:
		request.Outcome = history.GaveUp
	case request.Outcome == history.ConnectionBroken:
		_ = conn.Close()
		return reused && request.Answered-request.Sent < int64(closeRaceWindow) && !d.fleet.Dead(request.Limiter)
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

// Command is the command of a customer's request, whose client waits for so long.
func Command(e *experiment.Experiment, request *history.Request, c experiment.Customer, timeout time.Duration) []byte {
	attributes := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d", request.Class, request.Plan,
		timeout.Milliseconds(), strconv.FormatFloat(request.Units, 'g', -1, 64), c.Spread, c.First)
	if request.Retry {
		attributes += ",r=1"
	}
	if e.Settings.Classes[request.Class].Idempotency == choice.IdempotentWithKey {
		attributes += ",k=" + request.ID // the mark by which servers know a repeat
	}
	words := [][]byte{[]byte("SVC.QUERY"), []byte(request.Customer), []byte(request.ID), []byte(attributes)}
	if e.Settings.Classes[request.Class].Idempotency != choice.Idempotent {
		words[0] = []byte("SVC.SUBMIT")
		words = append(words, []byte("body of "+request.ID))
	}
	return resp.AppendCommand(nil, words...)
}
