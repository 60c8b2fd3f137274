// Package sockets carries out the effects that package limiter asks for, on lesismal/nbio, and tells it what
// happens, one thing at a time on the goroutine that calls Run.
package sockets

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	nbiologging "github.com/lesismal/nbio/logging"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
	"ospreycroft/internal/settings"
)

// connection is one connection. The poller, nbio's own goroutines and the reducer all use it.
type connection struct {
	id             limiter.ConnID
	nbConn         atomic.Pointer[nbio.Conn] // nil until it is up
	cancel         context.CancelFunc        // ends the dialling; nil for a client's connection
	locallyClosed  atomic.Bool               // the reducer has closed it
	bytesWritten   atomic.Int64
	bytesSubmitted int64          // bytes to write; the reducer's own
	listener       *acceptLimiter // of a client's connection
	readMutex      sync.Mutex     // held from before bytes leave the kernel until they are posted
	bytesRead      int64          // bytes, under reading
	bytesDelivered atomic.Int64   // bytes of them that the reducer was told of
	// maxClientBytes wait, and what else has come is read once the reducer was told of some
	backpressured atomic.Bool
}

// Sockets is safe for use by nbio's goroutines and the one that calls Run; Effects are for the latter alone.
type Sockets struct {
	engine     *nbio.Engine
	dialTCP    dialFunc
	listener   *acceptLimiter
	wakeups    chan struct{}
	mutex      sync.Mutex
	lastID     limiter.ConnID
	batchTaken sync.Cond // the reducer has taken the batch
	queued     eventBatch
	// The rest belongs to the reducer's goroutine.
	connections   map[limiter.ConnID]*connection
	current       eventBatch
	currentOffset int // of the present batch's bytes
	timerAt       int64
	wakeup        *wakeupTimer
	running       atomic.Bool // Run has begun, and the limiter's clock goes on as the process's
	halted        atomic.Bool
	addMutex      sync.RWMutex  // held for reading while the engine takes a connection over
	traceWanted   atomic.Bool   // the trace is to be logged
	lingering     []*connection // connections that were left and may not be closed yet
}

// dialFunc opens a connection as net.Dialer.DialContext does, whose place the tests' own take.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Listen opens the address for clients; at most so many of their connections are held at once, and fewer where the
// process may hold fewer descriptors than it should: the connections to discovery and to servers need theirs. Errors:
// *AddressInUseError, *AddressError, *DescriptorsError.
func Listen(address string, maxClients, descriptors int) (*Sockets, error) {
	nbiologging.SetLogger(&libraryLogger{})
	nbio.MaxOpenFiles = 2 * descriptors // nbio keeps a table of all descriptors there could be
	s := &Sockets{
		dialTCP: newDialer().DialContext,
		wakeups: make(chan struct{}, 1), connections: map[limiter.ConnID]*connection{},
		listener: newAcceptLimiter(maxClientConns(maxClients, descriptors)),
	}
	s.batchTaken.L = &s.mutex
	s.engine = nbio.NewEngine(nbio.Config{
		Name: "ospreycroft", Network: "tcp", Addrs: []string{address}, NPoller: 1,
		// Edge-triggered, since nbio's level-triggered mode may stop waiting for room to write when a connection has
		// just come up and is written to.
		EpollMod: nbio.EPOLLET,
		Listen:   s.listener.listen,
	})
	s.registerHandlers()
	if err := s.engine.Start(); err != nil {
		return nil, listenError(address, err)
	}
	<-s.listener.acceptCalled
	s.wakeup = newWakeupTimer(s.engine)
	return s, nil
}

// registerHandlers has the poller's events queued for the reducer.
func (s *Sockets) registerHandlers() {
	s.engine.OnOpen(s.onOpen)
	buf := make([]byte, readSize) // there is one poller
	s.engine.OnRead(func(nc *nbio.Conn) {
		switch session := nc.Session().(type) {
		case *connection:
			s.readLoop(session, nc, buf)
		case *wakeupTimer:
			s.onWakeupTimer()
		}
	})
	s.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if conn, ok := nc.Session().(*connection); ok {
			conn.bytesWritten.Add(int64(n))
		}
	})
	s.engine.OnClose(s.onClose)
}

// onOpen takes a client's connection in. Those that were dialled have their record already.
func (s *Sockets) onOpen(nc *nbio.Conn) {
	if nc.Session() != nil {
		return
	}
	conn := s.newConnection(nil, s.listener)
	conn.nbConn.Store(nc)
	nc.SetSession(conn)
	s.enqueue(conn, queuedEvent{kind: clientAccepted}, nil)
}

// onClose takes the end of a connection.
func (s *Sockets) onClose(nc *nbio.Conn, err error) {
	if timer, ok := nc.Session().(*wakeupTimer); ok {
		timer.onClose(nc)
		return
	}
	conn, ok := nc.Session().(*connection)
	if !ok {
		return
	}
	reason := limiter.PeerReset
	if errors.Is(err, errPeerClosed) {
		reason = limiter.PeerClosed
	}
	if s.isClient(conn) {
		s.listener.release()
	}
	s.enqueue(conn, queuedEvent{kind: connClosed, reason: reason}, nil)
}

// newConnection makes the record of a new connection.
func (s *Sockets) newConnection(cancel context.CancelFunc, acceptedBy *acceptLimiter) *connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	return &connection{id: s.lastID, cancel: cancel, listener: acceptedBy}
}

// isClient tells whether a connection is a client's. Its record was made under the lock, on another goroutine.
func (s *Sockets) isClient(conn *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return conn.listener != nil
}

// Run tells the limiter what happens until it has finished.
func (s *Sockets) Run(clock func() int64, l *limiter.Limiter, stop <-chan struct{}, renewed <-chan *settings.Config) {
	defer logPanic(l)
	s.running.Store(true)
	timer := time.NewTimer(0)
	for !l.Finished() || !l.Overdue() && (s.hasQueued() || s.hasUnsent()) {
		if s.halted.Load() {
			s.engine.Stop()
			return
		}
		select {
		case <-s.wakeups:
		case <-timer.C:
		case <-stop:
			stop = nil
			l.Step(clock(), limiter.ShutdownRequested{})
		case config := <-renewed:
			l.Step(clock(), limiter.ConfigReloaded{Config: config})
		}
		if s.traceWanted.CompareAndSwap(true, false) {
			l.LogTrace(limiter.AllTrace)
		}
		s.nextBatch()
		for _, e := range s.current.events {
			end := s.currentOffset + e.size
			s.markDelivered(e)
			e.deliver(clock(), l)
			s.currentOffset = end // whether the reducer has read them or not
		}
		if now := clock(); s.timerAt <= now {
			l.Step(now, limiter.TimersDue{})
		}
		wait := max(0, s.timerAt-clock())
		if s.wakeup.set(s.timerAt, time.Duration(wait)) {
			wait += int64(backupDelay)
		}
		if len(s.lingering) > 0 && l.Finished() { // nothing tells that a client's machine has all
			wait = min(wait, lingerCheckInterval)
		}
		timer.Reset(time.Duration(wait))
	}
}

// Halt ends Run whatever is owed, as the end of its process would.
func (s *Sockets) Halt() {
	s.addMutex.Lock() // what is being added comes before, the rest is refused
	s.halted.Store(true)
	s.addMutex.Unlock()
	s.wake()
}

// LogTrace has the reducer's goroutine log the limiter's trace.
func (s *Sockets) LogTrace() {
	s.traceWanted.Store(true)
	s.wake()
}

// wake has Run look at what there is.
func (s *Sockets) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// tracedBeforePanic is how many of the latest records of the trace are logged before the process ends by a panic.
const tracedBeforePanic = 32

// logPanic is deferred on the reducer's goroutine: it logs what happened before a panic, and then the panic, so that the
// log's last lines tell why the process ended.
func logPanic(l *limiter.Limiter) {
	if cause := recover(); cause != nil {
		l.LogTrace(tracedBeforePanic)
		logging.Panic("reducer", cause)
		panic(cause)
	}
}

// SetTimer is an effect.
func (s *Sockets) SetTimer(at int64) { s.timerAt = at }

// WallClock is an effect.
func (s *Sockets) WallClock() int64 { return time.Now().UnixNano() }

// Read is an effect.
func (s *Sockets) Read(into []byte) { copy(into, s.current.bytes[s.currentOffset:]) }
