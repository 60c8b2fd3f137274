package standin

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// Request is one request of a usual client.
type Request struct {
	Verb, Customer, ID, Class, Plan string
	Timeout                         time.Duration // d
	Units                           float64
	Spread, First                   int
	Body                            string // of SVC.SUBMIT
}

// Command is the request as it is written.
func (r Request) Command() []byte {
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=%d", r.Class, r.Plan, r.Timeout.Milliseconds(), r.Units,
		r.Spread, r.First)
	words := []string{r.Verb, r.Customer, r.ID, list}
	if r.Verb == "SVC.SUBMIT" {
		words = append(words, r.Body)
	}
	return AppendCommand(nil, words...)
}

// Result is how a request ended for its client.
type Result struct {
	Request  Request
	Limiter  string
	Sent     time.Duration // of its last byte
	Took     time.Duration
	Kind     Kind   // empty if there was no answer
	Text     string // the value, the line, or why there is no answer
	NotTaken bool   // it could not be written to a connection that the limiter's machine accepted
}

// Clients are the usual clients of one limiter. They hold on to connections and open more once all of them are busy.
type Clients struct {
	Record  *Record
	Limiter string // its name
	Address string
	// Patience is how long beyond a request's time its client goes on waiting, so that a late answer can be told from none.
	Patience time.Duration

	mutex   sync.Mutex
	idle    []*clientConn
	results []Result
	open    sync.WaitGroup
}

type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
}

// Send sends a request, on a goroutine of its own.
func (c *Clients) Send(r Request) {
	c.open.Go(func() {
		result := c.do(r)
		c.Record.Linef("client of %s id=%s class=%s plan=%s units=%g spread=%d first=%d d=%dms took=%.3fs end=%s %q", c.Limiter,
			r.ID, r.Class, r.Plan, r.Units, r.Spread, r.First, r.Timeout.Milliseconds(), result.Took.Seconds(), result.Kind,
			result.Text)
		c.mutex.Lock()
		c.results = append(c.results, result)
		c.mutex.Unlock()
	})
}

// Wait waits for the ends of all requests and returns their results.
func (c *Clients) Wait() []Result {
	c.open.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.idle {
		_ = conn.conn.Close()
	}
	c.idle = nil
	return c.results
}

func (c *Clients) take() *clientConn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return conn
	}
	return nil
}

// do sends a request and waits for its answer. Where a kept connection ends without an answer, the limiter may have
// closed it between requests, so the request is sent once more, on a new connection.
func (c *Clients) do(r Request) Result {
	if conn := c.take(); conn != nil {
		result, answered := c.on(conn, r)
		if answered || result.Took >= r.Timeout {
			return result
		}
		r.Timeout -= result.Took
	}
	dialled, err := net.DialTimeout("tcp", c.Address, r.Timeout)
	if err != nil {
		return Result{Request: r, Limiter: c.Limiter, Sent: c.Record.Now(), Text: err.Error(), NotTaken: true}
	}
	result, _ := c.on(&clientConn{dialled, bufio.NewReader(dialled)}, r)
	return result
}

// on sends a request on a connection. answered is false if the connection ended without an answer.
func (c *Clients) on(conn *clientConn, r Request) (result Result, answered bool) {
	result = Result{Request: r, Limiter: c.Limiter}
	begun := time.Now()
	if _, err := conn.conn.Write(r.Command()); err != nil {
		_ = conn.conn.Close()
		result.Sent, result.Took, result.Text, result.NotTaken = c.Record.Now(), time.Since(begun), err.Error(), true
		return result, false
	}
	result.Sent = c.Record.Now()
	begun = time.Now()
	_ = conn.conn.SetReadDeadline(begun.Add(r.Timeout + c.Patience))
	kind, text, err := ReadAnswer(conn.in)
	result.Took = time.Since(begun)
	if err != nil {
		_ = conn.conn.Close()
		result.Text = err.Error()
		timeout, ok := err.(net.Error)
		return result, ok && timeout.Timeout()
	}
	result.Kind, result.Text = kind, text
	c.mutex.Lock()
	c.idle = append(c.idle, conn)
	c.mutex.Unlock()
	return result, true
}
