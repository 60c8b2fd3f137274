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

// extraClients are the clients that run in addition to the experiment's load: some disconnect before they are answered,
// some pipeline requests, some stay idle, some send malformed input and some flood limiters.
type extraClients struct {
	scenario *Scenario
	lab      *runner.Lab
	launcher string // path of a program that calls flood.SendIfRequested first
	stop     <-chan struct{}
	nextID   atomic.Int64
}

const (
	dialTimeout            = time.Second
	maxPipelined           = 6                      // requests that a client pipelines at most
	maxBurst               = 1000                   // requests that a client sends at most before it leaves
	burstShare             = 0.25                   // share of the leaving clients that send so many
	burstWriteTimeout      = time.Second            // for a burst that the limiter does not read
	maxStayBeforeLeaving   = 150 * time.Millisecond // upper bound of the time until a leaving client disconnects
	malformedClientTimeout = 4 * time.Second        // the limiter owes an error or a close within 3 s
)

// run runs all extra clients until stop is closed. Each client starts a session, and after it a new one, with a random
// pause of less than 100 ms before each.
func (c *extraClients) run() {
	var running sync.WaitGroup
	startClients := func(count int, salt uint64, session func(rng *rand.Rand)) {
		for i := range count {
			running.Add(1)
			go func() {
				defer running.Done()
				rng := rand.New(rand.NewPCG(c.scenario.Seed, salt<<32+uint64(i)))
				for !c.waitOrStopped(time.Duration(rng.IntN(100)) * time.Millisecond) {
					session(rng)
				}
			}()
		}
	}
	startClients(c.scenario.LeavingClients, 1, c.sendAndLeave)
	startClients(c.scenario.PipeliningClients, 4, c.sendPipelined)
	startClients(c.scenario.MalformedClients, 2, c.sendMalformed)
	startClients(c.scenario.FloodingClients, 5, c.sendFlood)
	limiters := c.scenario.Experiment.Limiters.Count
	startClients(c.scenario.IdleClients*limiters, 3, c.holdIdle)
	running.Wait()
}

// waitOrStopped waits, and reports whether stop was closed before the wait was over.
func (c *extraClients) waitOrStopped(wait time.Duration) bool {
	select {
	case <-c.stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// dial connects to a limiter. It returns nil if the front would send no client there, or if the dial fails.
func (c *extraClients) dial(limiter int) *net.TCPConn {
	if !c.lab.AcceptsConnections(limiter) {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.lab.Address(limiter), dialTimeout)
	if err != nil {
		return nil
	}
	return conn.(*net.TCPConn)
}

// sendAndLeave pipelines some requests, or very many, and disconnects soon after, by FIN or by RST. The requests are
// recorded as given up.
func (c *extraClients) sendAndLeave(rng *rand.Rand) {
	limit := maxPipelined
	if rng.Float64() < burstShare {
		limit = maxBurst
	}
	conn, requests, text := c.preparePipelined(rng, limit)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(burstWriteTimeout))
	_, _ = conn.Write(text)
	time.Sleep(time.Duration(rng.Int64N(int64(maxStayBeforeLeaving))))
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

// sendPipelined pipelines some requests with different deadlines and waits for all answers.
func (c *extraClients) sendPipelined(rng *rand.Rand) {
	conn, requests, text := c.preparePipelined(rng, maxPipelined)
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

// preparePipelined draws up to limit requests of one customer and connects to one of its limiters. text holds the
// encoded requests. conn is nil if the limiter cannot be reached.
func (c *extraClients) preparePipelined(
	rng *rand.Rand, limit int,
) (conn *net.TCPConn, requests []history.Request, text []byte) {
	e := c.scenario.Experiment
	customer := e.Load.Customers[rng.IntN(len(e.Load.Customers))]
	limiter := (customer.First + rng.IntN(customer.Spread)) % e.Limiters.Count
	conn = c.dial(limiter)
	if conn == nil {
		return nil, nil, nil
	}
	_, clock := c.lab.Record()
	requests = make([]history.Request, 1+rng.IntN(limit))
	for i := range requests {
		track := e.Load.Classes[rng.IntN(len(e.Load.Classes))]
		cutOff := time.Duration(experiment.Nanos(track.Timeout))
		requests[i] = history.Request{
			ID: fmt.Sprintf("1%015x", c.nextID.Add(1)), Customer: customer.ID, Plan: customer.Plan, Class: track.Name,
			Units: track.Units, Limiter: limiter, Sent: clock.Now(), Deadline: clock.Now() + int64(cutOff),
		}
		text = append(text, loadgen.Command(e, &requests[i], customer, cutOff)...)
	}
	return conn, requests, text
}

// malformedMessages are the messages that malformed clients send.
var malformedMessages = []string{
	"GET / HTTP/1.1\r\n\r\n", "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000", "*0\r\n", "*99999999\r\n", "$3\r\nabc\r\n",
	"*1\r\n$4\r\nNONE\r\n", "*4\r\n$9\r\nSVC.QUERY\r\n$1\r\nx\r\n$1\r\ny\r\n$3\r\nc=z\r\n", "\x00\x01\x02\r\n",
	"*1\r\n$-1\r\n",
}

// sendMalformed sends an invalid or truncated command. Half of the time it then disconnects at once, otherwise it waits
// for an error or a close.
func (c *extraClients) sendMalformed(rng *rand.Rand) {
	conn := c.dial(rng.IntN(c.scenario.Experiment.Limiters.Count))
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(malformedMessages[rng.IntN(len(malformedMessages))]))
	if rng.IntN(2) == 0 {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(malformedClientTimeout))
	_, _ = conn.Read(make([]byte, 64))
}

// holdIdle holds a connection open without sending anything, until the limiter closes it or stop is closed.
func (c *extraClients) holdIdle(rng *rand.Rand) {
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
