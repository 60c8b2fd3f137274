// Package sockets carries out the effects that package limiter asks for, on lesismal/nbio, and tells it what
// happens, one thing at a time on the goroutine that calls Run.
package sockets

import (
	"context"
	"errors"
	"log"
	"net"
	"runtime"
	"slices"
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

// pieces is how many bytes the poller takes at a time.
const pieces = 32 << 10

// looks is how often connections that were left are looked at, nanoseconds.
const looks = 5e6

// The kernel's numbers, in the first byte of TCP_INFO, for a connection that the other side has broken off or ended.
const (
	brokenOff = 7
	closeWait = 8
)

// mostWaiting is how many bytes may wait for the reducer; past that the poller waits, and then the kernel.
const mostWaiting = 4 << 20

// errInOrder ends a connection whose other side has ended it, behind all that it sent. The poller's own io.EOF may as well stand
// for a reset.
var errInOrder = errors.New("the other side has ended the connection")

// mostOfOne is how many bytes of one client may wait: one that sends without a pause would hold up the poller, and all others.
const mostOfOne = 64 << 10

// link is one connection. The poller, nbio's own goroutines and the reducer all use it.
type link struct {
	id      limiter.ID
	conn    atomic.Pointer[nbio.Conn] // nil until it is up
	cancel  context.CancelFunc        // ends the dialling; nil for a client's connection
	unasked atomic.Bool               // the reducer has closed it
	written atomic.Int64
	handed  int64        // bytes to write; the reducer's own
	gate    *gate        // of a client's connection
	reading sync.Mutex   // held from before bytes leave the kernel until they are posted
	posted  int64        // bytes, under reading
	told    atomic.Int64 // bytes of them that the reducer was told of
	stuffed atomic.Bool  // mostOfOne wait, and what else has come is read once the reducer was told of some
}

// batch is what waits for the reducer: events, and the bytes that they tell of, in order.
type batch struct {
	events   []limiter.Event
	bytes    []byte
	accepted []*link
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
	left  []*link // connections that were left and may not be closed yet
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
		s.post(l, limiter.Event{Kind: limiter.Accepted}, nil)
	})
	into := make([]byte, pieces) // there is one poller
	s.engine.OnRead(func(c *nbio.Conn) {
		if l, is := c.Session().(*link); is {
			s.pull(l, c, into)
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
		end := limiter.PeerReset
		if errors.Is(err, errInOrder) {
			end = limiter.PeerClosed
		}
		if s.client(l) {
			s.gate.leave()
		}
		s.post(l, limiter.Event{Kind: limiter.Ended, End: end}, nil)
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
	if err == nil {
		var taken *nbio.Conn // nbio would keep the place of one that it cannot take over for want of a descriptor
		if taken, err = nbio.NBConn(c); err == nil {
			return taken, nil
		}
		_ = c.Close()
	}
	g.leave()
	return nil, err
}

func (g *gate) leave() { <-g.free }

// link makes the record of a new connection.
func (s *Sockets) link(cancel context.CancelFunc, gate *gate) *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	return &link{id: s.lastID, cancel: cancel, gate: gate}
}

// client tells whether a connection is a client's. Its record was made under the lock, on another goroutine.
func (s *Sockets) client(l *link) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return l.gate != nil
}

// pull reads what has come, to the end where it has come as well: the reducer then learns of a client's bytes and of its
// leaving together. What comes on a connection that was left is never read: the client may send it again elsewhere. Nor is what
// a client that has gone sent past mostOfOne: the poller closes a connection on the word that it ends, whatever is unread.
func (s *Sockets) pull(l *link, c *nbio.Conn, into []byte) {
	end := s.drain(l, c, into, s.client(l))
	if end != nil {
		_ = c.CloseWithError(end)
	}
	// The poller would go to sleep in the kernel next and hold the one thread for Go code until the runtime
	// notices; so the reducer goes first.
	runtime.Gosched()
}

func (s *Sockets) drain(l *link, c *nbio.Conn, into []byte, client bool) (end error) {
	l.reading.Lock()
	defer l.reading.Unlock()
	for {
		if client && (l.unasked.Load() || l.full()) {
			return nil // its end is seen apart from what was not read
		}
		n, err := c.Read(into)
		switch {
		case n > 0:
			l.posted += int64(n)
			s.post(l, limiter.Event{Kind: limiter.Readable, Size: n}, into[:n])
		case err == nil:
			return errInOrder
		case errors.Is(err, syscall.EAGAIN):
			return nil
		case !errors.Is(err, syscall.EINTR):
			return err
		}
	}
}

// full tells whether the reader is to stop: the reducer then has it go on. Either it finds that the reducer has been told of
// some since, or the reducer finds it stopped.
func (l *link) full() bool {
	if l.posted-l.told.Load() < mostOfOne {
		return false
	}
	l.stuffed.Store(true)
	return l.posted-l.told.Load() >= mostOfOne
}

// telling notes that the reducer is told of an event now. What a client has sent meanwhile is read on a goroutine of its own,
// which closes nothing: the poller sees the end as well.
func (s *Sockets) telling(e limiter.Event) {
	l := s.links[e.Conn]
	if l == nil || e.Size == 0 {
		return
	}
	if l.told.Add(int64(e.Size)); l.stuffed.CompareAndSwap(true, false) {
		go func() { _ = s.drain(l, l.conn.Load(), make([]byte, pieces), true) }()
	}
}

// post hands an event on a connection to the reducer.
func (s *Sockets) post(l *link, e limiter.Event, data []byte) {
	s.mutex.Lock()
	e.Conn = l.id
	for len(s.next.bytes) > mostWaiting {
		s.drained.Wait()
	}
	if e.Kind == limiter.Accepted {
		s.next.accepted = append(s.next.accepted, l)
	}
	s.next.events = append(s.next.events, e)
	s.next.bytes = append(s.next.bytes, data...)
	first := len(s.next.events) == 1
	s.mutex.Unlock()
	if first {
		select {
		case s.waking <- struct{}{}:
		default:
		}
	}
}

// take gets what waits.
func (s *Sockets) take() {
	s.now.events, s.now.bytes, s.now.accepted, s.read = s.now.events[:0], s.now.bytes[:0], s.now.accepted[:0], 0
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
	for !l.Finished() || !l.Late() && (s.waits() || s.owes()) {
		if s.halt.Load() {
			s.engine.Stop()
			return
		}
		select {
		case <-s.waking:
		case <-timer.C:
		case <-stop:
			stop = nil
			l.Step(clock(), limiter.Event{Kind: limiter.Stopping})
		case config := <-renewed:
			l.Step(clock(), limiter.Event{Kind: limiter.Renewed, Config: config})
		}
		s.take()
		for _, e := range s.now.events {
			end := s.read + e.Size
			s.telling(e)
			l.Step(clock(), e)
			s.read = end // whether the reducer has read them or not
		}
		if now := clock(); s.wake <= now {
			l.Step(now, limiter.Event{Kind: limiter.Due})
		}
		wait := max(0, s.wake-clock())
		if len(s.left) > 0 && l.Finished() { // nothing tells that a client's machine has all
			wait = min(wait, looks)
		}
		timer.Reset(time.Duration(wait))
	}
}

// waits tells whether something has happened that the reducer has not been told.
func (s *Sockets) waits() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.next.events) > 0
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
			s.post(l, limiter.Event{Kind: limiter.Ended, End: end}, nil)
			return
		}
		s.post(l, limiter.Event{Kind: limiter.Connected}, nil)
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
		shut(c, syscall.SHUT_RDWR)
	}
	return err
}

// Write is an effect. A failure ends the connection, which the poller finds and tells. Written by nbio, it would be closed here,
// before the poller (see shut); so nbio gets only what the kernel has no room for, and what comes behind that.
func (s *Sockets) Write(id limiter.ID, bytes []byte) {
	l := s.links[id]
	if l == nil {
		return
	}
	c, waits := l.conn.Load(), l.handed > l.written.Load()
	// What was sent to us before its end waits in the kernel still; what we write behind it would count as sent.
	if l.gate == nil && ended(c) {
		return
	}
	if l.handed += int64(len(bytes)); !waits {
		n, err := put(c, bytes)
		if err != nil {
			shut(c, syscall.SHUT_RDWR)
			return
		}
		l.written.Add(int64(n))
		bytes = bytes[n:]
	}
	if len(bytes) > 0 {
		_, _ = c.Write(bytes)
	}
}

// put writes what the kernel takes at once.
func put(c *nbio.Conn, bytes []byte) (int, error) {
	c.Lock()
	defer c.Unlock()
	for {
		if closed, _ := c.IsClosed(); closed {
			return 0, net.ErrClosed
		}
		switch n, err := syscall.Write(c.Hash(), bytes); err {
		case nil:
			return n, nil
		case syscall.EAGAIN:
			return 0, nil
		case syscall.EINTR:
		default:
			return 0, err
		}
	}
}

// ended tells whether the other side has ended the connection, as far as the kernel knows.
func ended(c *nbio.Conn) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return true
	}
	info, err := syscall.GetsockoptInt(c.Hash(), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	state := info & 0xff
	return err == nil && (state == brokenOff || state == closeWait)
}

// Alive is an effect. Of a connection to a server it also asks for what has come and was not told: the next answer on it would be
// taken for what a server sent behind the last one, and what is written to one that the server has ended counts as sent.
func (s *Sockets) Alive(id limiter.ID) bool {
	l := s.links[id]
	if l == nil {
		return false
	}
	c := l.conn.Load()
	if closed, _ := c.IsClosed(); closed || l.gate != nil {
		return !closed
	}
	if !l.reading.TryLock() {
		return false
	}
	defer l.reading.Unlock()
	return l.posted == l.told.Load() && still(c)
}

// still tells whether neither bytes nor an end wait in the kernel.
func still(c *nbio.Conn) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	_, _, err := syscall.Recvfrom(c.Hash(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
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
		if l.gate == nil && l.written.Load() == l.handed && asks(c, syscall.TIOCOUTQ) > 0 {
			breakOff(c)
		}
		shut(c, syscall.SHUT_RDWR)
	}
	return l.written.Load()
}

// Leave is an effect. From the look at what has come until the sending has ended the poller reads nothing: it holds the lock as
// long as bytes are out of the kernel and not posted. Both directions end when the client has ended its own, or after a time
// unless its machine still lacks bytes: to close over what was not read breaks the connection off, and takes these along.
func (s *Sockets) Leave(id limiter.ID, after, most int64) bool {
	l := s.links[id]
	if l == nil {
		return true
	}
	if !l.reading.TryLock() {
		return false
	}
	defer l.reading.Unlock()
	if l.posted > l.told.Load() {
		return false
	}
	delete(s.links, id)
	l.unasked.Store(true)
	c := l.conn.Load()
	if !shut(c, syscall.SHUT_WR) {
		return true
	}
	s.left = append(slices.DeleteFunc(s.left, (*link).closed), l)
	var wait func(so int64)
	wait = func(so int64) {
		time.AfterFunc(time.Duration(after), func() {
			if so < most && asks(c, syscall.TIOCOUTQ) > 0 {
				wait(so + after)
				return
			}
			shut(c, syscall.SHUT_RDWR)
		})
	}
	wait(after)
	return true
}

func (l *link) closed() bool {
	closed, _ := l.conn.Load().IsClosed()
	return closed
}

// owes tells whether the end of the process could break off a connection that was left: its client's machine lacks bytes, or has
// sent some that were not read.
func (s *Sockets) owes() bool {
	s.left = slices.DeleteFunc(s.left, func(l *link) bool {
		c := l.conn.Load()
		return asks(c, syscall.TIOCOUTQ) <= 0 && asks(c, syscall.TIOCINQ) <= 0
	})
	return len(s.left) > 0
}

// asks asks the kernel how many bytes wait on a connection; 0 where that cannot be known.
func asks(c *nbio.Conn, which uintptr) int {
	c.Lock()
	defer c.Unlock()
	waiting := int32(0)
	if closed, _ := c.IsClosed(); closed {
		return 0
	}
	if _, _, failed := syscall.Syscall(syscall.SYS_IOCTL, uintptr(c.Hash()), which, uintptr(unsafe.Pointer(&waiting))); failed != 0 {
		return 0
	}
	return int(waiting)
}

// Queued is an effect. The listener stays open until the process ends: on the fleet's bench the goroutine that closed it stood still for a
// second and more, and with it the reducer.
func (s *Sockets) Queued() bool { return s.gate.full.Load() }

// breakOff has the closing of the descriptor, which follows, take along what the other machine lacks: a command that was given up
// and that the kernel has whole would else become whole there later, when it takes bytes again, and run for nobody.
func breakOff(c *nbio.Conn) {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); !closed {
		_ = syscall.SetsockoptLinger(c.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// shut ends one or both directions and leaves closing the descriptor to the poller, which sees the end next. Were it
// closed here, what the poller still has to tell of it could hit a new connection with the same number. It tells whether there
// was something to end.
func shut(c *nbio.Conn, how int) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	if err := syscall.Shutdown(c.Hash(), how); err != nil && err != syscall.ENOTCONN {
		log.Printf("event=shutdown error=%q", err)
	}
	return true
}
