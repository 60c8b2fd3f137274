package scale

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

// clients send requests to one address over connections that they keep.
type clients struct {
	clock   *history.Clock
	address string
	idle    chan *clientConn
	next    atomic.Int64 // of the requests' ids
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// sent is one request as its client saw it; times are nanoseconds on the run's clock.
type sent struct {
	id       string
	customer uint64
	began    int64 // just before it was written
	answered int64 // when the whole answer had been read
	answer   byte  // its first byte, '$' for a value; 0 where none came
}

const (
	mostIdle     = 1024
	clientWaits  = 3 * time.Second
	firstOfLives = 1 << 20 // customers of this run are numbered from here on
)

func newClients(clock *history.Clock, address string) *clients {
	return &clients{clock: clock, address: address, idle: make(chan *clientConn, mostIdle)}
}

func (c *clients) close() {
	for {
		select {
		case conn := <-c.idle:
			_ = conn.Close()
		default:
			return
		}
	}
}

// command is a request's command.
func command(id string, customer uint64) []byte {
	list := fmt.Sprintf(
		"c=%s,t=%s,d=%d,units=%d,spread=%d,first=0",
		className,
		planName,
		requestBudget,
		requestUnits,
		requestSpread,
	)
	return resp.AppendCommand(nil, []byte("SVC.QUERY"), fmt.Appendf(nil, "%016x", customer), []byte(id), []byte(list))
}

// send sends one request and waits for its answer.
func (c *clients) send(customer uint64) sent {
	one := sent{id: fmt.Sprintf("%016x", c.next.Add(1)), customer: customer}
	text := command(one.id, customer)
	conn, err := c.connection()
	if err != nil {
		one.began = c.clock.Now()
		return one
	}
	_ = conn.SetDeadline(time.Now().Add(clientWaits))
	one.began = c.clock.Now()
	_, err = conn.Write(text)
	if err == nil {
		one.answer, err = conn.answer()
	}
	one.answered = c.clock.Now()
	if err != nil {
		_ = conn.Close()
		return one
	}
	select {
	case c.idle <- conn:
	default:
		_ = conn.Close()
	}
	return one
}

func (c *clients) connection() (*clientConn, error) {
	select {
	case conn := <-c.idle:
		return conn, nil
	default:
	}
	conn, err := net.DialTimeout("tcp", c.address, clientWaits)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// answer reads an answer, of a limiter (a bulk string or a line) or of a server (an array of bulk strings).
func (c *clientConn) answer() (first byte, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	items := 0
	switch line[0] {
	case '*':
		items, err = strconv.Atoi(strings.TrimSpace(line[1:]))
	case '$':
		err = c.skip(line)
	}
	for range items {
		line, err = c.in.ReadString('\n')
		if err == nil {
			err = c.skip(line)
		}
		if err != nil {
			return 0, err
		}
	}
	return line[0], err
}

// skip passes over a bulk string whose first line was read.
func (c *clientConn) skip(line string) error {
	size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err == nil && size >= 0 {
		_, err = c.in.Discard(size + len("\r\n"))
	}
	return err
}

// open sends requests at random times, so many a second on average, of so many customers in turn, whatever the answers
// do, and gives what became of them.
func (c *clients) open(rate float64, customers int, length time.Duration, seed uint64) []sent {
	rng := rand.New(rand.NewPCG(seed, 0xc11e))
	var mutex sync.Mutex
	var out []sent
	var wait sync.WaitGroup
	end := c.clock.Now() + int64(length)
	for at, i := c.clock.Now(), 0; ; i++ {
		at += int64(rng.ExpFloat64() / rate * 1e9)
		if at >= end {
			break
		}
		if pause := time.Duration(at - c.clock.Now()); pause > 0 {
			time.Sleep(pause)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			one := c.send(uint64(firstOfLives + i%customers))
			mutex.Lock()
			out = append(out, one)
			mutex.Unlock()
		}()
	}
	wait.Wait()
	return out
}

// each sends one request of each of so many customers, several at a time, and tells how many were answered: a limiter
// knows the customer of one that it rejects for want of room as well.
func (c *clients) each(customers, together int) (answered int) {
	var wait sync.WaitGroup
	var count atomic.Int64
	next := make(chan uint64)
	for range together {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for customer := range next {
				if one := c.send(customer); one.answer != 0 {
					count.Add(1)
				}
			}
		}()
	}
	for i := range customers {
		next <- uint64(firstOfLives + i)
	}
	close(next)
	wait.Wait()
	return int(count.Load())
}

// servedShare is the share of requests that were answered with a value.
func servedShare(all []sent) float64 {
	if len(all) == 0 {
		return 0
	}
	served := 0
	for _, one := range all {
		if one.answer == '$' {
			served++
		}
	}
	return float64(served) / float64(len(all))
}
