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
	chunkSize = 16 << 10
	mostHeld  = 256 << 10 // bytes that wait in one direction; past that the sender's kernel holds them
)

// chunk is what came at once, or how a direction ended.
type chunk struct {
	bytes []byte
	at    time.Time
	end   error // io.EOF for an orderly end
}

// pipe is one direction of a connection.
type pipe struct {
	src, dst net.Conn
	to       bool // towards the far side
	queue    []chunk
	size     int
}

// conn is one connection over a link.
type conn struct {
	link  *Proxy
	near  net.Conn
	rng   *rand.Rand
	draws []float64 // for each fault of the script
	cutTo bool      // the direction in which a reset cuts

	mu    sync.Mutex
	wake  sync.Cond
	cond  condition
	far   net.Conn
	gone  bool
	half  bool // a side has ended and the other was not told
	ended int  // directions that ended in order
}

func newConn(l *Proxy, near net.Conn, rng *rand.Rand) *conn {
	c := &conn{link: l, near: near, rng: rng}
	c.wake.L = &c.mu
	for range l.script {
		c.draws = append(c.draws, rng.Float64())
	}
	c.cutTo = rng.IntN(2) == 0
	return c
}

// hit tells whether a fault of the script hits this connection.
func (c *conn) hit(i int) bool {
	share := c.link.script[i].Share
	return share == 0 || c.draws[i] < share
}

// set is the one function that changes a connection's condition, and what follows from one that is over.
func (c *conn) set(to condition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.cond
	c.cond = to
	if was.cut && !to.cut || c.half && !to.halfOpen {
		c.end(true)
	}
	c.wake.Broadcast()
}

// end ends both sides, with a reset or in order.
func (c *conn) end(reset bool) {
	if c.gone {
		return
	}
	c.gone = true
	for _, side := range []net.Conn{c.near, c.far} {
		if t, ok := side.(*net.TCPConn); ok && t != nil {
			if reset {
				_ = t.SetLinger(0)
			}
			_ = t.Close()
		}
	}
	c.wake.Broadcast()
}

// cutOff resets both sides.
func (c *conn) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(true)
}

// run brings the far side up, once nothing holds it, and carries bytes until the connection is over.
func (c *conn) run(address string) {
	defer c.link.forget(c)
	c.mu.Lock()
	for !c.gone && (c.cond.holdTo || c.cond.holdFrom) {
		c.wake.Wait()
	}
	c.mu.Unlock()
	far, err := net.DialTimeout("tcp", address, dialWithin)
	c.mu.Lock()
	if err != nil || c.gone {
		if err == nil {
			_ = far.Close()
		}
		c.end(true)
		c.mu.Unlock()
		return
	}
	c.far = far
	c.mu.Unlock()
	var both sync.WaitGroup
	for _, p := range []*pipe{{src: c.near, dst: far, to: true}, {src: far, dst: c.near}} {
		both.Add(2)
		go func() { defer both.Done(); c.read(p) }()
		go func() { defer both.Done(); c.write(p) }()
	}
	both.Wait()
}

// read takes what the source sends, and how it ends.
func (c *conn) read(p *pipe) {
	for {
		buf := make([]byte, chunkSize)
		n, err := p.src.Read(buf)
		c.mu.Lock()
		for p.size > mostHeld && !c.gone {
			c.wake.Wait()
		}
		now := time.Now()
		if n > 0 {
			p.queue, p.size = append(p.queue, chunk{bytes: buf[:n], at: now}), p.size+n
		}
		if err != nil {
			p.queue = append(p.queue, chunk{end: err, at: now})
		}
		gone := c.gone
		c.wake.Broadcast()
		c.mu.Unlock()
		if err != nil || gone {
			return
		}
	}
}

// holds tells whether bytes of a direction wait.
func (c *conn) holds(p *pipe) bool {
	return p.to && c.cond.holdTo || !p.to && c.cond.holdFrom
}

// write passes on what may pass, when it may.
func (c *conn) write(p *pipe) {
	for {
		c.mu.Lock()
		for !c.gone && (len(p.queue) == 0 || c.holds(p)) {
			c.wake.Wait()
		}
		if c.gone {
			c.mu.Unlock()
			return
		}
		head := p.queue[0]
		if wait := time.Until(head.at.Add(time.Duration(c.cond.delay))); c.cond.delay > 0 && wait > 0 {
			c.mu.Unlock()
			time.Sleep(wait)
			continue
		}
		p.queue, p.size = p.queue[1:], p.size-len(head.bytes)
		c.wake.Broadcast()
		if head.end != nil {
			over := c.ends(p, head.end)
			c.mu.Unlock()
			if over {
				return
			}
			continue
		}
		n := len(head.bytes)
		cut := c.cond.reset && p.to == c.cutTo && len(head.bytes) > 1
		if cut {
			n = 1 + c.rng.IntN(n-1)
		}
		c.mu.Unlock()
		_, err := p.dst.Write(head.bytes[:n])
		c.mu.Lock()
		switch {
		case cut:
			c.end(true)
		case err != nil && c.cond.halfOpen:
			c.half = true // its own end is not told either
		case err != nil:
			c.end(true)
		}
		c.mu.Unlock()
	}
}

// ends takes the end of a direction, which the other side is told unless the connection is half open; it says whether
// the direction is over.
func (c *conn) ends(p *pipe, err error) bool {
	switch {
	case c.cond.halfOpen:
		c.half = true
	case !errors.Is(err, io.EOF):
		c.end(true)
	default:
		if t, ok := p.dst.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		c.ended++
		if c.ended == 2 {
			c.end(false)
		}
	}
	return true
}
