package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/loadgen"
	"ospreycroft/internal/lab/runner"
)

// clients are those beside the load: they leave, send several requests at once, say nothing or send what is no command.
type clients struct {
	scenario *Scenario
	lab      *runner.Lab
	stop     <-chan struct{}
	next     atomic.Int64
}

const (
	dialTimeout   = time.Second
	maxPipelined  = 6                      // requests that a client sends at once
	maxStay       = 150 * time.Millisecond // how long one stays that leaves
	badClientWait = 4 * time.Second        // a malformed client is owed an error or a close within 3 s
)

// run has all of them come and go until stop.
func (c *clients) run() {
	var running sync.WaitGroup
	each := func(count int, salt uint64, act func(rng *rand.Rand)) {
		for i := range count {
			running.Add(1)
			go func() {
				defer running.Done()
				rng := rand.New(rand.NewPCG(c.scenario.Seed, salt<<32+uint64(i)))
				for !c.stopped(time.Duration(rng.IntN(100)) * time.Millisecond) {
					act(rng)
				}
			}()
		}
	}
	each(c.scenario.Leavers, 1, c.leave)
	each(c.scenario.Pipelines, 4, c.pipeline)
	each(c.scenario.Malformed, 2, c.malform)
	limiters := c.scenario.Experiment.Limiters.Count
	each(c.scenario.Crowd*limiters, 3, c.idle)
	running.Wait()
}

// stopped waits, and tells whether the run is over.
func (c *clients) stopped(wait time.Duration) bool {
	select {
	case <-c.stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// dial connects to a limiter that the front would use, nil where there is none.
func (c *clients) dial(limiter int) *net.TCPConn {
	if !c.lab.Open(limiter) {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.lab.Address(limiter), dialTimeout)
	if err != nil {
		return nil
	}
	return conn.(*net.TCPConn)
}

// leave sends some requests at once and leaves soon, with an end or a reset.
func (c *clients) leave(rng *rand.Rand) {
	conn, requests, text := c.several(rng)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(text)
	time.Sleep(time.Duration(rng.Int64N(int64(maxStay))))
	if rng.IntN(2) == 0 {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
	book, clock := c.lab.Record()
	left := clock.Now()
	for i := range requests {
		requests[i].Outcome, requests[i].Answered = history.GaveUp, left
		book.AddRequest(requests[i])
	}
}

// pipeline sends some requests at once, with more time and with less, and waits for all answers.
func (c *clients) pipeline(rng *rand.Rand) {
	conn, requests, text := c.several(rng)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	book, clock := c.lab.Record()
	loadgen.Pipeline(conn, clock, text, requests)
	for i := range requests {
		book.AddRequest(requests[i])
	}
}

// several draws some requests of one customer and connects to one of its limiters; nil where that cannot be reached.
func (c *clients) several(rng *rand.Rand) (conn *net.TCPConn, requests []history.Request, text []byte) {
	e := c.scenario.Experiment
	customer := e.Load.Customers[rng.IntN(len(e.Load.Customers))]
	limiter := (customer.First + rng.IntN(customer.Spread)) % e.Limiters.Count
	conn = c.dial(limiter)
	if conn == nil {
		return nil, nil, nil
	}
	_, clock := c.lab.Record()
	requests = make([]history.Request, 1+rng.IntN(maxPipelined))
	for i := range requests {
		track := e.Load.Tracks[rng.IntN(len(e.Load.Tracks))]
		cutOff := time.Duration(experiment.Nanos(track.CutOff))
		requests[i] = history.Request{
			ID: fmt.Sprintf("1%015x", c.next.Add(1)), Customer: customer.ID, Plan: customer.Plan, Class: track.Name,
			Units: track.Units, Limiter: limiter, Sent: clock.Now(), Deadline: clock.Now() + int64(cutOff),
		}
		text = append(text, loadgen.Command(e, &requests[i], customer, cutOff)...)
	}
	return conn, requests, text
}

// nonsense is what malformed clients send.
var nonsense = []string{
	"GET / HTTP/1.1\r\n\r\n", "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000", "*0\r\n", "*99999999\r\n", "$3\r\nabc\r\n",
	"*1\r\n$4\r\nNONE\r\n", "*4\r\n$9\r\nSVC.QUERY\r\n$1\r\nx\r\n$1\r\ny\r\n$3\r\nc=z\r\n", "\x00\x01\x02\r\n", "*1\r\n$-1\r\n",
}

// malform sends what is no command, or half of one, and waits for its error or close.
func (c *clients) malform(rng *rand.Rand) {
	conn := c.dial(rng.IntN(c.scenario.Experiment.Limiters.Count))
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(nonsense[rng.IntN(len(nonsense))]))
	if rng.IntN(2) == 0 {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(badClientWait))
	_, _ = conn.Read(make([]byte, 64))
}

// idle holds a connection and says nothing until it is closed.
func (c *clients) idle(rng *rand.Rand) {
	conn := c.dial(rng.IntN(c.scenario.Experiment.Limiters.Count))
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	select {
	case <-closed:
	case <-c.stop:
	}
}
