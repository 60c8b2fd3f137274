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

// clientPool sends requests to one address over connections that are kept open and reused.
type clientPool struct {
	clock   *history.Clock
	address string
	idle    chan *clientConn
	lastID  atomic.Int64 // id of the latest request
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// requestResult is one request as its client saw it. Times are nanoseconds on the run's clock.
type requestResult struct {
	id         string
	customer   uint64
	sentAt     int64 // just before the request was written
	answeredAt int64 // after the whole answer was read
	firstByte  byte  // of the answer: '$' for a value; 0 if no answer came
}

const (
	maxIdleConns  = 1024
	clientTimeout = 3 * time.Second
	firstCustomer = 1 << 20 // number of the first customer that sends requests
)

func newClientPool(clock *history.Clock, address string) *clientPool {
	return &clientPool{clock: clock, address: address, idle: make(chan *clientConn, maxIdleConns)}
}

func (c *clientPool) close() {
	for {
		select {
		case conn := <-c.idle:
			_ = conn.Close()
		default:
			return
		}
	}
}

// queryCommand encodes an SVC.QUERY request.
func queryCommand(id string, customer uint64) []byte {
	fields := fmt.Sprintf(
		"c=%s,t=%s,d=%d,units=%d,spread=%d,first=0",
		className,
		planName,
		requestBudget,
		requestUnits,
		requestSpread,
	)
	return resp.AppendCommand(nil, []byte("SVC.QUERY"), fmt.Appendf(nil, "%016x", customer), []byte(id), []byte(fields))
}

// send sends one request and waits for its answer, for clientTimeout at most.
func (c *clientPool) send(customer uint64) requestResult {
	result := requestResult{id: fmt.Sprintf("%016x", c.lastID.Add(1)), customer: customer}
	request := queryCommand(result.id, customer)
	conn, err := c.takeConn()
	if err != nil {
		result.sentAt = c.clock.Now()
		return result
	}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	result.sentAt = c.clock.Now()
	_, err = conn.Write(request)
	if err == nil {
		result.firstByte, err = conn.readAnswer()
	}
	result.answeredAt = c.clock.Now()
	if err != nil {
		_ = conn.Close()
		return result
	}
	select {
	case c.idle <- conn:
	default:
		_ = conn.Close()
	}
	return result
}

func (c *clientPool) takeConn() (*clientConn, error) {
	select {
	case conn := <-c.idle:
		return conn, nil
	default:
	}
	conn, err := net.DialTimeout("tcp", c.address, clientTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// readAnswer reads one answer and returns its first byte. A limiter answers with a bulk string or a line, a server
// with an array of bulk strings, of which the last one's first byte is returned.
func (c *clientConn) readAnswer() (first byte, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	items := 0
	switch line[0] {
	case '*':
		items, err = strconv.Atoi(strings.TrimSpace(line[1:]))
	case '$':
		err = c.skipBulk(line)
	}
	for range items {
		line, err = c.in.ReadString('\n')
		if err == nil {
			err = c.skipBulk(line)
		}
		if err != nil {
			return 0, err
		}
	}
	return line[0], err
}

// skipBulk discards the body of the bulk string whose header line is given; the null bulk string has no body.
func (c *clientConn) skipBulk(line string) error {
	size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err == nil && size >= 0 {
		_, err = c.in.Discard(size + len("\r\n"))
	}
	return err
}

// sendAtRate sends requests as a Poisson process of rate requests per second, for the given length and for the
// customers in turn. It is an open loop: a request is sent at its time whether or not earlier ones are answered. It
// returns the results of all requests.
func (c *clientPool) sendAtRate(rate float64, customers int, length time.Duration, seed uint64) []requestResult {
	rng := rand.New(rand.NewPCG(seed, 0xc11e))
	var mutex sync.Mutex
	var results []requestResult
	var pending sync.WaitGroup
	end := c.clock.Now() + int64(length)
	for sendAt, i := c.clock.Now(), 0; ; i++ {
		sendAt += int64(rng.ExpFloat64() / rate * 1e9)
		if sendAt >= end {
			break
		}
		if pause := time.Duration(sendAt - c.clock.Now()); pause > 0 {
			time.Sleep(pause)
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			result := c.send(uint64(firstCustomer + i%customers))
			mutex.Lock()
			results = append(results, result)
			mutex.Unlock()
		}()
	}
	pending.Wait()
	return results
}

// sendForEach sends one request for each customer, several concurrently, and returns how many were answered.
// Rejections count: a limiter also records the customer of a request that it rejects for lack of capacity.
func (c *clientPool) sendForEach(customers, concurrency int) (answered int) {
	var workers sync.WaitGroup
	var count atomic.Int64
	next := make(chan uint64)
	for range concurrency {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for customer := range next {
				if result := c.send(customer); result.firstByte != 0 {
					count.Add(1)
				}
			}
		}()
	}
	for i := range customers {
		next <- uint64(firstCustomer + i)
	}
	close(next)
	workers.Wait()
	return int(count.Load())
}

// servedShare returns the share of requests that were answered with a value; 0 if there are no requests.
func servedShare(results []requestResult) float64 {
	if len(results) == 0 {
		return 0
	}
	served := 0
	for _, result := range results {
		if result.firstByte == '$' {
			served++
		}
	}
	return float64(served) / float64(len(results))
}
