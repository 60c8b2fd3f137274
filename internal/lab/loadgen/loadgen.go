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
	e     *experiment.Experiment
	clock *history.Clock
	book  *history.Recorder
	front Front
	mu    sync.Mutex // of rng and next
	rng   *rand.Rand
	pools []chan net.Conn
	next  int64
	wg    sync.WaitGroup
}

// Front is what clients know of the limiters, each by its number.
type Front interface {
	Address(limiter int) string // where it listens now
	// Open tells whether it is given new connections. Where it is not, clients go on using those that they have for as
	// long as these stay open.
	Open(limiter int) bool
	// Dead tells whether its process was killed or crashed or its link has a fault, so that a broken connection is no
	// sign of a crossing.
	Dead(limiter int) bool
}

// New makes a driver.
func New(e *experiment.Experiment, clock *history.Clock, book *history.Recorder, front Front) *Driver {
	d := &Driver{e: e, clock: clock, book: book, front: front, rng: rand.New(rand.NewPCG(e.Seed, 0x10ad))}
	for range e.Limiters.Count {
		d.pools = append(d.pools, make(chan net.Conn, 512))
	}
	return d
}

// rate is the arrival rate at now, with the timeline's bursts.
func (d *Driver) rate(now int64) float64 {
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
	shown := at
	times := rand.New(rand.NewPCG(d.e.Seed, 0xa441)) // apart, so that retries do not change when requests arrive
	for {
		at += int64(times.ExpFloat64() / d.rate(at) * 1e9)
		if at >= length {
			break
		}
		if wait := time.Duration(at - d.clock.Now()); wait > 0 {
			time.Sleep(wait)
		}
		if progress != nil && at-shown > int64(time.Second) {
			shown = at
			progress(float64(at) / float64(length))
		}
		d.arrive(false, "", 0)
	}
	d.wg.Wait()
	for _, p := range d.pools {
		close(p)
		for c := range p {
			_ = c.Close()
		}
	}
}

func pick[T any](rng *rand.Rand, items []T, share func(T) float64) T {
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

// arrive draws a request and sends it on a goroutine of its own; a retry keeps the customer and class it had.
func (d *Driver) arrive(retry bool, customer string, trackAt int) {
	d.mu.Lock() // retries arrive on goroutines of their own
	defer d.mu.Unlock()
	c := pick(d.rng, d.e.Load.Customers, func(c experiment.Customer) float64 { return c.Share })
	track := pick(d.rng, d.e.Load.Tracks, func(t experiment.TrackMix) float64 { return t.Share })
	if retry {
		for _, k := range d.e.Load.Customers {
			if k.ID == customer {
				c = k
			}
		}
		track = d.e.Load.Tracks[trackAt]
	}
	index := 0
	for i, t := range d.e.Load.Tracks {
		if t.Name == track.Name {
			index = i
		}
	}
	limiter, conn := d.deal(c, true)
	d.next++
	job := history.Request{ID: fmt.Sprintf("%016x", d.e.Seed<<32^uint64(d.next)), Customer: c.ID, Plan: c.Plan,
		Class: track.Name, Units: track.Units, Limiter: limiter, Retry: retry,
		NonIdempotent: d.e.Settings.Classes[track.Name].Idempotency == choice.NonIdempotent}
	giveUp := d.rng.Float64() < d.e.Load.GiveUp
	again := d.rng.Float64() < d.e.Load.Retry
	cutOff := time.Duration(track.CutOff * float64(time.Second))
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.send(&job, c, conn, cutOff, giveUp)
		d.book.AddRequest(job)
		if job.Outcome == history.Rejected && again && !retry {
			wait := time.Duration(max(job.RetryAfter, int64(50*time.Millisecond)))
			if d.clock.Now()+int64(wait) < experiment.Nanos(d.e.Length) {
				time.Sleep(wait)
				d.wg.Add(1)
				go func() { defer d.wg.Done(); d.arrive(true, job.Customer, index) }()
			}
		}
	}()
}

// crossing is how soon after a request was sent its connection must have ended for the two to have crossed on the way.
const crossing = 50 * time.Millisecond

// nobody is the number of a request's limiter where the customer's set had none that could be reached.
const nobody = -1

// deal draws a limiter of the customer's set: one to which a connection is idle, if that is asked for, or that the
// front gives new connections (conn is nil then). Where there is none it is nobody.
func (d *Driver) deal(c experiment.Customer, idle bool) (limiter int, conn net.Conn) {
	at := d.rng.IntN(c.Spread)
	for try := range c.Spread {
		limiter = (c.First + (at+try)%c.Spread) % d.e.Limiters.Count
		if idle {
			conn = d.held(limiter)
		}
		if conn != nil || d.front.Open(limiter) {
			return limiter, conn
		}
	}
	return nobody, nil
}

// held takes an idle connection to a limiter that is still open, nil where there is none.
func (d *Driver) held(limiter int) net.Conn {
	for {
		select {
		case conn := <-d.pools[limiter]:
			if stands(conn) {
				return conn
			}
			_ = conn.Close()
		default:
			return nil
		}
	}
}

// stands tells whether an idle connection's other end has not ended it yet.
func stands(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	stands := false
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stands = err == syscall.EAGAIN // else an end, or bytes that nobody asked for
		return true
	})
	return stands
}

// send writes one request and reads its one answer, on the open connection it is given or on a new one. Where the
// limiter's closing an idle connection crosses it, it is sent once more, on a new connection.
func (d *Driver) send(job *history.Request, c experiment.Customer, conn net.Conn, cutOff time.Duration, giveUp bool) {
	if d.once(job, c, conn, cutOff, giveUp) {
		job.Resent = true
		d.mu.Lock()
		job.Limiter, _ = d.deal(c, false)
		d.mu.Unlock()
		d.once(job, c, nil, cutOff, giveUp)
	}
}

// once sends a request and tells whether it crossed with the end of its connection.
func (d *Driver) once(
	job *history.Request,
	c experiment.Customer,
	conn net.Conn,
	cutOff time.Duration,
	giveUp bool,
) bool {
	reused := conn != nil
	if !reused {
		err := net.ErrClosed
		if job.Limiter != nobody {
			conn, err = net.DialTimeout("tcp", d.front.Address(job.Limiter), time.Second)
		}
		if err != nil {
			job.Sent, job.Deadline = d.clock.Now(), d.clock.Now()+int64(cutOff)
			job.Answered = job.Sent
			job.Outcome = history.NotAccepted
			return false
		}
	}
	job.Sent = d.clock.Now()
	job.Deadline = job.Sent + int64(cutOff)
	wait := cutOff + lateAnswerWait
	if giveUp {
		wait = cutOff / 2
	}
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, err := conn.Write(Command(d.e, job, c, cutOff))
	var v resp.Value
	if err == nil {
		v, err = newAnswerReader(conn).next()
	}
	conclude(job, d.clock.Now(), unread(conn), v, err)
	switch {
	case job.Outcome == history.Unanswered && giveUp:
		job.Outcome = history.GaveUp
	case job.Outcome == history.ConnectionBroken:
		_ = conn.Close()
		return reused && job.Answered-job.Sent < int64(crossing) && !d.front.Dead(job.Limiter)
	case err == nil:
		select {
		case d.pools[job.Limiter] <- conn:
			return false
		default:
		}
	}
	_ = conn.Close()
	return false
}

// Command is the command of a customer's request, whose client waits for so long.
func Command(e *experiment.Experiment, job *history.Request, c experiment.Customer, cutOff time.Duration) []byte {
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d", job.Class, job.Plan, cutOff.Milliseconds(),
		strconv.FormatFloat(job.Units, 'g', -1, 64), c.Spread, c.First)
	if job.Retry {
		list += ",r=1"
	}
	if e.Settings.Classes[job.Class].Idempotency == choice.IdempotentWithKey {
		list += ",k=" + job.ID // the mark by which servers know a repeat
	}
	words := [][]byte{[]byte("SVC.QUERY"), []byte(job.Customer), []byte(job.ID), []byte(list)}
	if e.Settings.Classes[job.Class].Idempotency != choice.Idempotent {
		words[0] = []byte("SVC.SUBMIT")
		words = append(words, []byte("body of "+job.ID))
	}
	return resp.AppendCommand(nil, words...)
}
