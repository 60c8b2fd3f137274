// Package sockets carries out the effects that package limiter asks for, on lesismal/nbio, and tells it what
// happens, one thing at a time on the goroutine that calls Run.
package sockets

import (
	"context"
	"errors"
	"log"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// mostWaiting is how many bytes may wait for the reducer; past that the poller waits, and then the kernel.
const mostWaiting = 4 << 20

// link is one connection. The poller, nbio's own goroutines and the reducer all use it.
type link struct {
	id      limiter.ID
	conn    atomic.Pointer[nbio.Conn] // nil until it is up
	cancel  context.CancelFunc        // ends the dialling; nil for a client's connection
	unasked atomic.Bool               // the reducer has closed it
	written atomic.Int64
	gate    *gate // of a client's connection
}

// batch is what waits for the reducer: happenings, and the bytes that they tell of, in order.
type batch struct {
	happenings []limiter.Happening
	bytes      []byte
	accepted   []*link
}

// Sockets is safe for use by nbio's goroutines and the one that calls Run; Effects are for the latter alone.
type Sockets struct {
	engine  *nbio.Engine
	gate    *gate
	waking  chan struct{}
	mutex   sync.Mutex
	lastID  limiter.ID
	drained sync.Cond // the reducer has taken the batch
	next    batch
	// The rest belongs to the reducer's goroutine.
	links map[limiter.ID]*link
	now   batch
	read  int // of the present batch's bytes
	wake  int64
	halt  atomic.Bool
}

// Listen opens the address for clients; at most so many of their connections are held at once.
func Listen(address string, clients, descriptors int) (*Sockets, error) {
	logging.SetLevel(logging.LevelError)
	// nbio keeps a table of all descriptors there could be.
	nbio.MaxOpenFiles = 2 * descriptors
	s := &Sockets{waking: make(chan struct{}, 1), links: map[limiter.ID]*link{}}
	s.drained.L = &s.mutex
	gate := &gate{free: make(chan struct{}, clients)}
	s.gate = gate
	s.engine = nbio.NewEngine(nbio.Config{
		Name: "ospreycroft", Network: "tcp", Addrs: []string{address}, NPoller: 1,
		// Edge-triggered, since nbio's level-triggered mode may stop waiting for room to write when a connection
		// has just come up and is written to.
		EpollMod: nbio.EPOLLET,
		Listen: func(network, address string) (net.Listener, error) {
			inner, err := net.Listen(network, address)
			gate.Listener = inner
			return gate, err
		},
	})
	s.engine.OnOpen(func(c *nbio.Conn) {
		if c.Session() != nil {
			return // we have dialled it
		}
		l := s.link(nil, gate)
		l.conn.Store(c)
		c.SetSession(l)
		s.post(l, limiter.Happening{Kind: limiter.Accepted}, nil)
	})
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		if l, is := c.Session().(*link); is {
			s.post(l, limiter.Happening{Kind: limiter.Readable, Size: len(data)}, data)
		}
	})
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if l, is := c.Session().(*link); is {
			l.written.Add(int64(n))
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, err error) {
		l, is := c.Session().(*link)
		if !is {
			return
		}
		end := limiter.PeerClosed
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
			end = limiter.PeerReset
		}
		s.post(l, limiter.Happening{Kind: limiter.Ended, End: end}, nil)
		if l.gate != nil {
			l.gate.leave()
		}
	})
	if err := s.engine.Start(); err != nil {
		return nil, refused(address, err)
	}
	return s, nil
}

// gate lets only so many connections in; the rest wait in the kernel, where they are not lost.
type gate struct {
	net.Listener
	free chan struct{}
	full atomic.Bool // one more waits for a place, perhaps
}

func (g *gate) Accept() (net.Conn, error) {
	g.full.Store(true)
	g.free <- struct{}{}
	g.full.Store(false)
	c, err := g.Listener.Accept()
	if err != nil {
		g.leave()
	}
	return c, err
}

func (g *gate) leave() { <-g.free }

// link makes the record of a new connection.
func (s *Sockets) link(cancel context.CancelFunc, gate *gate) *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	return &link{id: s.lastID, cancel: cancel, gate: gate}
}

// post hands a happening on a connection to the reducer.
func (s *Sockets) post(l *link, h limiter.Happening, data []byte) {
	s.mutex.Lock()
	h.Conn = l.id
	for len(s.next.bytes) > mostWaiting {
		s.drained.Wait()
	}
	if h.Kind == limiter.Accepted {
		s.next.accepted = append(s.next.accepted, l)
	}
	s.next.happenings = append(s.next.happenings, h)
	s.next.bytes = append(s.next.bytes, data...)
	first := len(s.next.happenings) == 1
	s.mutex.Unlock()
	if first {
		select {
		case s.waking <- struct{}{}:
		default:
		}
		// The poller would go to sleep in the kernel next and hold the one thread for Go code until the runtime
		// notices; so the reducer goes first.
		runtime.Gosched()
	}
}

// take gets what waits.
func (s *Sockets) take() {
	s.now.happenings, s.now.bytes, s.now.accepted, s.read = s.now.happenings[:0], s.now.bytes[:0], s.now.accepted[:0], 0
	if cap(s.now.bytes) > mostWaiting {
		s.now.bytes = nil
	}
	s.mutex.Lock()
	s.now, s.next = s.next, s.now
	s.mutex.Unlock()
	s.drained.Broadcast()
	for _, l := range s.now.accepted {
		s.links[l.id] = l
	}
}

// Run tells the limiter what happens until it has finished.
func (s *Sockets) Run(clock func() int64, l *limiter.Limiter, stop <-chan struct{}, renewed <-chan *settings.Config) {
	timer := time.NewTimer(0)
	for !l.Finished() {
		if s.halt.Load() {
			s.engine.Stop()
			return
		}
		select {
		case <-s.waking:
		case <-timer.C:
		case <-stop:
			stop = nil
			l.Step(clock(), limiter.Happening{Kind: limiter.Stopping})
		case config := <-renewed:
			l.Step(clock(), limiter.Happening{Kind: limiter.Renewed, Config: config})
		}
		s.take()
		for _, h := range s.now.happenings {
			end := s.read + h.Size
			l.Step(clock(), h)
			s.read = end // whether the reducer has read them or not
		}
		if now := clock(); s.wake <= now {
			l.Step(now, limiter.Happening{Kind: limiter.Due})
		}
		timer.Reset(time.Duration(max(0, s.wake-clock())))
	}
}

// Halt ends Run whatever is owed, as the end of its process would.
func (s *Sockets) Halt() {
	s.halt.Store(true)
	select {
	case s.waking <- struct{}{}:
	default:
	}
}

// Wake is an effect.
func (s *Sockets) Wake(at int64) { s.wake = at }

// Read is an effect.
func (s *Sockets) Read(into []byte) { copy(into, s.now.bytes[s.read:]) }

// Dial is an effect. The standard library dials and nbio takes the connection over: nbio's own dialling (v1.6.8)
// copies the first four of the sixteen bytes in which addresses are held, so that each IPv4 address becomes
// 0.0.0.0, and it takes a refused connection for one that is up.
func (s *Sockets) Dial(address string, timeout int64) limiter.ID {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeout))
	l := s.link(cancel, nil)
	s.links[l.id] = l
	go func() {
		defer cancel()
		if err := s.dial(ctx, l, address); err != nil {
			end := limiter.Refused
			if ctx.Err() != nil {
				end = limiter.DialOver
			}
			s.post(l, limiter.Happening{Kind: limiter.Ended, End: end}, nil)
			return
		}
		s.post(l, limiter.Happening{Kind: limiter.Connected}, nil)
	}()
	return l.id
}

func (s *Sockets) dial(ctx context.Context, l *link, address string) error {
	var dialer net.Dialer
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c, err := nbio.NBConn(plain)
	if err != nil {
		_ = plain.Close()
		return err
	}
	c.SetSession(l)
	l.conn.Store(c)
	if _, err = s.engine.AddConn(c); err == nil && l.unasked.Load() {
		shut(c)
	}
	return err
}

// Write is an effect.
func (s *Sockets) Write(id limiter.ID, bytes []byte) {
	if l := s.links[id]; l != nil {
		_, _ = l.conn.Load().Write(bytes) // a failure ends the connection, which is told
	}
}

// Alive is an effect.
func (s *Sockets) Alive(id limiter.ID) bool {
	l := s.links[id]
	if l == nil {
		return false
	}
	closed, _ := l.conn.Load().IsClosed()
	return !closed
}

// Written is an effect.
func (s *Sockets) Written(id limiter.ID) int64 {
	if l := s.links[id]; l != nil {
		return l.written.Load()
	}
	return 0
}

// Close is an effect.
func (s *Sockets) Close(id limiter.ID) int64 {
	l := s.links[id]
	if l == nil {
		return 0
	}
	delete(s.links, id)
	l.unasked.Store(true)
	if l.cancel != nil {
		l.cancel()
	}
	if c := l.conn.Load(); c != nil {
		shut(c)
	}
	return l.written.Load()
}

// Heard is an effect. The kernel counts what the other side's machine has not acknowledged.
func (s *Sockets) Heard(id limiter.ID) bool {
	l := s.links[id]
	if l == nil {
		return true
	}
	c := l.conn.Load()
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return true
	}
	waiting := int32(0)
	_, _, failed := syscall.Syscall(syscall.SYS_IOCTL, uintptr(c.Hash()), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&waiting)))
	return failed != 0 || waiting <= 0
}

// Queued is an effect. The listener stays open until the process ends: on the fleet's bench the goroutine that closed it stood still for a
// second and more, and with it the reducer.
func (s *Sockets) Queued() bool { return s.gate.full.Load() }

// shut ends both directions and leaves closing the descriptor to the poller, which sees the end next. Were it
// closed here, what the poller still has to tell of it could hit a new connection with the same number.
func shut(c *nbio.Conn) {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); !closed {
		if err := syscall.Shutdown(c.Hash(), syscall.SHUT_RDWR); err != nil && err != syscall.ENOTCONN {
			log.Printf("event=shutdown error=%q", err)
		}
	}
}
