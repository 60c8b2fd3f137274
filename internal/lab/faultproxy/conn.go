package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	chunkSize      = 16 << 10
	maxQueuedBytes = 256 << 10 // bytes queued in one direction; beyond that, data waits in the sender's kernel
)

// chunk is the data of one read, or the end of a direction.
type chunk struct {
	data     []byte
	received time.Time
	endErr   error // nil for data; io.EOF if the source closed its side without a reset
}

// pipe is one direction of a connection. Its queue is guarded by the connection's mutex.
type pipe struct {
	src, dst    net.Conn
	toFar       bool // from the near to the far side
	queue       []chunk
	queuedBytes int
}

// conn is one proxied connection.
type conn struct {
	proxy      *Proxy
	near       net.Conn
	rng        *rand.Rand
	draws      []float64 // one per fault of the script, compared with its Share
	resetToFar bool      // a Reset fault cuts a message to the far side; false for one to the near side

	mu              sync.Mutex
	changed         sync.Cond
	current         condition
	far             net.Conn
	closed          bool
	halfClosed      bool // a side has closed and the close was withheld from the other
	endedDirections int  // directions that ended with io.EOF
}

func newConn(p *Proxy, near net.Conn, rng *rand.Rand) *conn {
	c := &conn{proxy: p, near: near, rng: rng}
	c.changed.L = &c.mu
	for range p.script {
		c.draws = append(c.draws, rng.Float64())
	}
	c.resetToFar = rng.IntN(2) == 0
	return c
}

// affected reports whether fault i of the script applies to this connection.
func (c *conn) affected(i int) bool {
	share := c.proxy.script[i].Share
	return share == 0 || c.draws[i] < share
}

// setCondition applies a new condition; nothing else changes it. It resets the connection if a cut has ended, or if a
// half-open fault has ended after a close was withheld.
func (c *conn) setCondition(next condition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.current
	c.current = next
	if previous.cut && !next.cut || c.halfClosed && !next.halfOpen {
		c.closeBoth(true)
	}
	c.changed.Broadcast()
}

// closeBoth closes both sides, with a TCP reset or a regular close. The caller holds c.mu.
func (c *conn) closeBoth(reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	for _, side := range []net.Conn{c.near, c.far} {
		if t, ok := side.(*net.TCPConn); ok && t != nil {
			if reset {
				_ = t.SetLinger(0)
			}
			_ = t.Close()
		}
	}
	c.changed.Broadcast()
}

// reset resets both sides.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeBoth(true)
}

// run connects to the far side once no fault pauses the connection, and forwards data until the connection is closed.
func (c *conn) run(address string) {
	defer c.proxy.remove(c)
	c.mu.Lock()
	for !c.closed && (c.current.pauseToFar || c.current.pauseFromFar) {
		c.changed.Wait()
	}
	c.mu.Unlock()
	far, err := net.DialTimeout("tcp", address, dialTimeout)
	c.mu.Lock()
	if err != nil || c.closed {
		if err == nil {
			_ = far.Close()
		}
		c.closeBoth(true)
		c.mu.Unlock()
		return
	}
	c.far = far
	c.mu.Unlock()
	var pumps sync.WaitGroup
	for _, p := range []*pipe{{src: c.near, dst: far, toFar: true}, {src: far, dst: c.near}} {
		pumps.Add(2)
		go func() { defer pumps.Done(); c.readLoop(p) }()
		go func() { defer pumps.Done(); c.writeLoop(p) }()
	}
	pumps.Wait()
}

// readLoop queues the data that the source sends, and its end.
func (c *conn) readLoop(p *pipe) {
	for {
		buf := make([]byte, chunkSize)
		n, err := p.src.Read(buf)
		c.mu.Lock()
		for p.queuedBytes > maxQueuedBytes && !c.closed {
			c.changed.Wait()
		}
		now := time.Now()
		if n > 0 {
			p.queue, p.queuedBytes = append(p.queue, chunk{data: buf[:n], received: now}), p.queuedBytes+n
		}
		if err != nil {
			p.queue = append(p.queue, chunk{endErr: err, received: now})
		}
		closed := c.closed
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil || closed {
			return
		}
	}
}

// paused reports whether data of a direction is held back. The caller holds c.mu.
func (c *conn) paused(p *pipe) bool {
	return p.toFar && c.current.pauseToFar || !p.toFar && c.current.pauseFromFar
}

// writeLoop forwards queued data to the destination as the condition allows.
func (c *conn) writeLoop(p *pipe) {
	for {
		c.mu.Lock()
		for !c.closed && (len(p.queue) == 0 || c.paused(p)) {
			c.changed.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		head := p.queue[0]
		if wait := time.Until(head.received.Add(time.Duration(c.current.delay))); c.current.delay > 0 && wait > 0 {
			c.mu.Unlock()
			time.Sleep(wait)
			continue
		}
		p.queue, p.queuedBytes = p.queue[1:], p.queuedBytes-len(head.data)
		c.changed.Broadcast()
		if head.endErr != nil {
			done := c.handleEnd(p, head.endErr)
			c.mu.Unlock()
			if done {
				return
			}
			continue
		}
		n := len(head.data)
		cut := c.current.reset && p.toFar == c.resetToFar && len(head.data) > 1
		if cut {
			n = 1 + c.rng.IntN(n-1)
		}
		c.mu.Unlock()
		_, err := p.dst.Write(head.data[:n])
		c.mu.Lock()
		switch {
		case cut:
			c.closeBoth(true)
		case err != nil && c.current.halfOpen:
			c.halfClosed = true // the failure is withheld from the source too
		case err != nil:
			c.closeBoth(true)
		}
		c.mu.Unlock()
	}
}

// handleEnd handles the end of a direction: it forwards a close or a reset to the other side, or withholds it while the
// connection is half open. It reports whether the direction is finished. The caller holds c.mu.
func (c *conn) handleEnd(p *pipe, err error) bool {
	switch {
	case c.current.halfOpen:
		c.halfClosed = true
	case !errors.Is(err, io.EOF):
		c.closeBoth(true)
	default:
		if t, ok := p.dst.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		c.endedDirections++
		if c.endedDirections == 2 {
			c.closeBoth(false)
		}
	}
	return true
}
