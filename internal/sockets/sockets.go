// Package sockets implements limiter.Effects on top of the network library lesismal/nbio, and passes the events on
// its connections to the limiter. "The reducer" in this package is the limiter (limiter.Limiter) on the goroutine
// that calls Run, which delivers one event at a time; "the poller" is nbio's goroutine that waits in epoll and reads.
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

// connection is the state of one connection to a client or server. The poller, other goroutines of nbio and the reducer
// share it.
type connection struct {
	id             limiter.ConnID
	nbConn         atomic.Pointer[nbio.Conn] // nil until it is established
	cancel         context.CancelFunc        // cancels the dial; nil for a client's connection
	locallyClosed  atomic.Bool               // Close or CloseGracefully was called
	bytesWritten   atomic.Int64              // bytes that the kernel has taken
	bytesSubmitted int64                     // bytes passed to Write; used by the reducer only
	listener       *acceptLimiter            // the listener that accepted a client's connection; nil for a dialed one
	readMutex      sync.Mutex                // held from before bytes leave the kernel until they are queued
	bytesRead      int64                     // bytes read from the kernel; guarded by readMutex
	bytesDelivered atomic.Int64              // bytes of bytesRead that the reducer has been given
	unreadSince    atomic.Int64              // first read after which the kernel has had bytes ever since, on the clock of elapsed; 0 for none
	// backpressured is true while reading is stopped because maxQueuedBytesPerClient bytes are undelivered.
	backpressured atomic.Bool
	// The fields below are a client's and used by the reducer only.
	pending  fifo[pendingEvent] // undelivered events
	lastTurn int64              // round of the latest turn
}

// Sockets is the listener for clients and all connections of a limiter. Listen creates one. The methods of
// limiter.Effects may be called only from the goroutine that calls Run; Halt and LogTrace from any.
type Sockets struct {
	engine        *nbio.Engine
	dialTCP       dialFunc
	listener      *acceptLimiter
	wakeups       chan struct{} // holds an element while Run has something new to look at
	mutex         sync.Mutex
	lastID        limiter.ConnID // of the newest connection; guarded by mutex
	queued        *eventBatch    // guarded by mutex
	waitingBytes  atomic.Int64   // received bytes that are queued, or of batches that are not released; changed under mutex
	bytesReleased sync.Cond      // signals that waitingBytes has decreased
	sharedBytes   atomic.Int64   // sharedQueueBytes; tests change it
	// pollerYieldedAt is when the poller last let the reducer run, on the clock of elapsed; used by the poller only.
	pollerYieldedAt int64
	// The fields below are used only by the reducer's goroutine, except for running, halted, addMutex and traceWanted.
	connections map[limiter.ConnID]*connection
	current     *eventBatch // the batch taken last
	data        []byte      // the current event's
	timerAt     int64       // limiter's time at which TimersDue is next due, nanoseconds
	stepBegan   int64       // when the present step of the limiter began, on the clock of elapsed
	wakeup      *wakeupTimer
	running     atomic.Bool   // Run has begun, so the limiter's clock advances with the process's
	halted      atomic.Bool   // Halt was called
	addMutex    sync.RWMutex  // read-locked while a connection is added to the engine
	traceWanted atomic.Bool   // LogTrace was called and the trace is not logged yet
	lingering   []*connection // gracefully closed connections that may still be open
	delivery    delivery
}

// dialFunc has the signature of net.Dialer.DialContext; tests replace the dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Listen listens on the address for clients and starts the network library. At most maxClients connections of clients
// are open at once, and proportionally fewer if the process may open fewer than descriptors file descriptors, so that
// some are left for connections to discovery and to servers. The error is an *AddressInUseError, an *AddressError or a
// *DescriptorsError.
func Listen(address string, maxClients, descriptors int) (*Sockets, error) {
	nbiologging.SetLogger(&libraryLogger{})
	nbio.MaxOpenFiles = 2 * descriptors // the size of nbio's table of connections by descriptor
	s := &Sockets{
		dialTCP: newDialer().DialContext,
		wakeups: make(chan struct{}, 1), connections: map[limiter.ConnID]*connection{},
		listener: newAcceptLimiter(maxClientConns(maxClients, descriptors)),
	}
	s.queued = &eventBatch{}
	s.current = &eventBatch{}
	s.delivery.round = 1
	s.sharedBytes.Store(sharedQueueBytes)
	s.bytesReleased.L = &s.mutex
	s.engine = nbio.NewEngine(nbio.Config{
		Name: "ospreycroft", Network: "tcp", Addrs: []string{address}, NPoller: 1,
		// In level-triggered mode nbio may stop waiting for writability if a connection is written to just after it
		// was established.
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

// registerHandlers sets the engine's callbacks, which queue events for the reducer.
func (s *Sockets) registerHandlers() {
	s.engine.OnOpen(s.onOpen)
	buf := make([]byte, readSize) // one buffer suffices for the single poller
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

// onOpen is called for each connection added to the engine. Dialed connections and the timer already have a session.
func (s *Sockets) onOpen(nc *nbio.Conn) {
	if nc.Session() != nil {
		return
	}
	conn := s.newConnection(nil, s.listener)
	conn.nbConn.Store(nc)
	nc.SetSession(conn)
	s.enqueue(conn, queuedEvent{kind: clientAccepted}, nil)
}

// onClose is called when nbio closes a connection. It frees a client's slot and queues the close.
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

// newConnection returns a connection with a new ID; acceptedBy is nil for a dialed one.
func (s *Sockets) newConnection(cancel context.CancelFunc, acceptedBy *acceptLimiter) *connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	return &connection{id: s.lastID, cancel: cancel, listener: acceptedBy}
}

// isClient reports whether a connection is a client's. It locks the mutex because the connection was created under it
// on another goroutine.
func (s *Sockets) isClient(conn *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return conn.listener != nil
}

// Run delivers events, timers, the stop request and reloaded configurations to the limiter until the limiter has
// finished. Unless the limiter is then overdue, Run also waits until no event is queued and no gracefully closed
// connection has unsent bytes. After Halt it returns at once. clock returns the limiter's time in nanoseconds.
func (s *Sockets) Run(clock func() int64, l *limiter.Limiter, stop <-chan struct{}, reloaded <-chan *settings.Config) {
	defer logPanic(l)
	s.running.Store(true)
	timer := time.NewTimer(0)
	for !l.Finished() || !l.Overdue() && (s.hasQueued() || s.hasUnsent()) {
		if s.halted.Load() {
			s.engine.Stop()
			return
		}
		s.yield()
		select {
		case <-s.delivery.ready():
		case <-s.wakeups:
		case <-timer.C:
		case <-stop:
			stop = nil
			s.step(clock(), l, limiter.ShutdownRequested{})
		case config := <-reloaded:
			s.step(clock(), l, limiter.ConfigReloaded{Config: config})
		}
		if s.traceWanted.CompareAndSwap(true, false) {
			l.LogTrace(limiter.AllTrace)
		}
		s.delivery.now = clock()
		s.takeEvents(clock, l)
		s.deliverTurns(clock, l)
		s.delivery.stats.logIfDue(s.delivery.now, l)
		backlogged := s.delivery.clientsWait()
		s.delivery.backlogged.Store(backlogged)
		if backlogged {
			continue
		}
		if s.timerAt <= s.delivery.now {
			s.deliverTimers(clock, l)
		}
		s.armTimer(timer, s.delivery.now, l.Finished())
	}
}

// armTimer sets the timers that wake Run when the limiter's timers are due.
func (s *Sockets) armTimer(timer *time.Timer, now int64, finished bool) {
	wait := max(0, s.timerAt-now)
	if s.wakeup.set(s.timerAt, time.Duration(wait)) {
		wait += int64(backupDelay)
	}
	if len(s.lingering) > 0 && finished { // no event reports that a client has received everything
		wait = min(wait, lingerCheckInterval)
	}
	timer.Reset(time.Duration(wait))
}

// Halt makes Run return without finishing requests, as if the process had been killed.
func (s *Sockets) Halt() {
	s.addMutex.Lock() // waits for additions in progress; later ones fail
	s.halted.Store(true)
	s.addMutex.Unlock()
	s.wake()
}

// LogTrace makes the reducer's goroutine log the limiter's trace.
func (s *Sockets) LogTrace() {
	s.traceWanted.Store(true)
	s.wake()
}

// wake makes Run check for new events and requests.
func (s *Sockets) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// tracedBeforePanic is how many of the trace's latest records are logged before a panic ends the process.
const tracedBeforePanic = 32

// logPanic is deferred on the reducer's goroutine. On a panic it logs the latest trace records and then the panic, so
// that the last lines of the log show why the process ended.
func logPanic(l *limiter.Limiter) {
	if cause := recover(); cause != nil {
		l.LogTrace(tracedBeforePanic)
		logging.Panic("reducer", cause)
		panic(cause)
	}
}

// SetTimer implements limiter.Effects.
func (s *Sockets) SetTimer(at int64) { s.timerAt = at }

// SinceStep implements limiter.Effects.
func (s *Sockets) SinceStep() int64 { return elapsed() - s.stepBegan }

// WallClock implements limiter.Effects.
func (s *Sockets) WallClock() int64 { return time.Now().UnixNano() }

// Read implements limiter.Effects.
func (s *Sockets) Read(into []byte) { copy(into, s.data) }
