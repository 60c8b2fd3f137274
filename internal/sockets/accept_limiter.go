package sockets

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/hint"
	"ospreycroft/internal/transient"
)

// This file bounds how many clients' connections are open.

// clientPlaces is how many connections of clients, of so many, there are places for: as many less as the process may
// hold fewer descriptors than it should.
func clientPlaces(clients, descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(descriptors) {
		return clients // a limit that cannot be asked for shows when it is met
	}
	return max(clients*int(limit.Cur)/descriptors, 1)
}

// acceptLimiter lets only so many connections in; the rest wait in the kernel, where they are not lost.
type acceptLimiter struct {
	net.Listener
	places  chan struct{}
	waiting atomic.Bool // one more waits for a place, perhaps, or could not be accepted yet
	// began is closed once nbio accepts: stopped before that, it would take no notice and try a closed listener for ever.
	began     chan struct{}
	beganOnce sync.Once
	// adopt makes a connection nbio's; the tests put a failing one in its place.
	adopt func(net.Conn) (*nbio.Conn, error)
	// The rest belongs to the goroutine that accepts.
	failures int       // since the last that was logged
	loggedAt time.Time // when one was last logged
}

const (
	// acceptLogInterval is how far apart lines on failures to accept are in the log.
	acceptLogInterval = time.Second
	// takeOverTimeout is how long an accepted connection waits for its second descriptor.
	takeOverTimeout = 200 * time.Millisecond
)

// newAcceptLimiter makes one with so many places.
func newAcceptLimiter(places int) *acceptLimiter {
	return &acceptLimiter{places: make(chan struct{}, places), began: make(chan struct{}), adopt: nbio.NBConn}
}

// listen opens the address; the accept limiter is its listener from then on.
func (g *acceptLimiter) listen(network, address string) (net.Listener, error) {
	inner, err := net.Listen(network, address)
	g.Listener = inner
	return g, err
}

// Accept lets the next connection in once there is a place for it. A failure of this machine passes: the connection
// waits in the kernel meanwhile. nbio would try again at once, and log each time.
func (g *acceptLimiter) Accept() (net.Conn, error) {
	g.beganOnce.Do(func() { close(g.began) })
	g.waiting.Store(true)
	g.places <- struct{}{}
	for pause := time.Duration(0); ; {
		c, err := g.acceptOne()
		if err == nil {
			g.waiting.Store(false)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			g.release()
			return nil, err
		}
		g.logFailure(err)
		pause = nextPause(pause)
		time.Sleep(pause)
	}
}

// acceptOne waits for a connection and makes it nbio's, which would keep the place of one that it cannot take over for want
// of a descriptor. After a failure a connection counts as waiting: it is still in the kernel's backlog.
func (g *acceptLimiter) acceptOne() (net.Conn, error) {
	g.waiting.Store(false)
	c, err := g.Listener.Accept()
	if err != nil {
		g.waiting.Store(true)
		return nil, err
	}
	taken, err := g.takeOver(c)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return taken, nil
}

// takeOver makes a connection nbio's, which takes a second descriptor. Where there is none for a moment the client is not sent
// away: it may have sent its request by now.
func (g *acceptLimiter) takeOver(c net.Conn) (*nbio.Conn, error) {
	began := time.Now()
	for pause := time.Duration(0); ; {
		taken, err := g.adopt(c)
		pause = nextPause(pause)
		if !transient.IsLocalFailure(err) || time.Since(began)+pause > takeOverTimeout {
			return taken, err
		}
		time.Sleep(pause)
	}
}

// logFailure logs that a connection could not be accepted, at intervals.
func (g *acceptLimiter) logFailure(err error) {
	g.failures++
	if now := time.Now(); now.Sub(g.loggedAt) >= acceptLogInterval {
		slog.Warn("accept-failed", append([]any{"failures", g.failures}, hint.Attrs(&AcceptError{err})...)...)
		g.loggedAt = now
		g.failures = 0
	}
}

func (g *acceptLimiter) release() { <-g.places }

// HasBacklog is an effect. The listener stays open until the process ends: on the fleet's bench the goroutine that
// closed it stood still for a second and more, and with it the reducer.
func (s *Sockets) HasBacklog() bool { return s.accepting.waiting.Load() }
