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

// maxClientConns is how many connections of clients, of so many, there are places for: as many less as the process may
// hold fewer descriptors than it should.
func maxClientConns(clients, descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(descriptors) {
		return clients // a limit that cannot be asked for shows when it is met
	}
	return max(clients*int(limit.Cur)/descriptors, 1)
}

// acceptLimiter lets only so many connections in; the rest wait in the kernel, where they are not lost.
type acceptLimiter struct {
	net.Listener
	slots      chan struct{}
	hasBacklog atomic.Bool // one more waits for a place, perhaps, or could not be accepted yet
	// acceptCalled is closed once nbio accepts: stopped before that, it would take no notice and try a closed listener for ever.
	acceptCalled     chan struct{}
	acceptCalledOnce sync.Once
	// convert makes a connection nbio's; the tests put a failing one in its place.
	convert func(net.Conn) (*nbio.Conn, error)
	// The rest belongs to the goroutine that accepts.
	failures int       // since the last that was logged
	loggedAt time.Time // when one was last logged
}

const (
	// acceptLogInterval is how far apart lines on failures to accept are in the log.
	acceptLogInterval = time.Second
	// convertTimeout is how long an accepted connection waits for its second descriptor.
	convertTimeout = 200 * time.Millisecond
)

// newAcceptLimiter makes one with so many places.
func newAcceptLimiter(slots int) *acceptLimiter {
	return &acceptLimiter{slots: make(chan struct{}, slots), acceptCalled: make(chan struct{}), convert: nbio.NBConn}
}

// listen opens the address; the accept limiter is its listener from then on.
func (a *acceptLimiter) listen(network, address string) (net.Listener, error) {
	inner, err := net.Listen(network, address)
	a.Listener = inner
	return a, err
}

// Accept lets the next connection in once there is a place for it. A failure of this machine passes: the connection
// waits in the kernel meanwhile. nbio would try again at once, and log each time.
func (a *acceptLimiter) Accept() (net.Conn, error) {
	a.acceptCalledOnce.Do(func() { close(a.acceptCalled) })
	a.hasBacklog.Store(true)
	a.slots <- struct{}{}
	for backoff := time.Duration(0); ; {
		c, err := a.acceptOne()
		if err == nil {
			a.hasBacklog.Store(false)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			a.release()
			return nil, err
		}
		a.logFailure(err)
		backoff = nextBackoff(backoff)
		time.Sleep(backoff)
	}
}

// acceptOne waits for a connection and makes it nbio's, which would keep the place of one that it cannot take over for want
// of a descriptor. After a failure a connection counts as waiting: it is still in the kernel's backlog.
func (a *acceptLimiter) acceptOne() (net.Conn, error) {
	a.hasBacklog.Store(false)
	c, err := a.Listener.Accept()
	if err != nil {
		a.hasBacklog.Store(true)
		return nil, err
	}
	converted, err := a.convertWithRetry(c)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return converted, nil
}

// convertWithRetry makes a connection nbio's, which takes a second descriptor. Where there is none for a moment the client is not sent
// away: it may have sent its request by now.
func (a *acceptLimiter) convertWithRetry(c net.Conn) (*nbio.Conn, error) {
	start := time.Now()
	for backoff := time.Duration(0); ; {
		converted, err := a.convert(c)
		backoff = nextBackoff(backoff)
		if !transient.IsLocalFailure(err) || time.Since(start)+backoff > convertTimeout {
			return converted, err
		}
		time.Sleep(backoff)
	}
}

// logFailure logs that a connection could not be accepted, at intervals.
func (a *acceptLimiter) logFailure(err error) {
	a.failures++
	if now := time.Now(); now.Sub(a.loggedAt) >= acceptLogInterval {
		slog.Warn("accept-failed", append([]any{"failures", a.failures}, hint.Attrs(&AcceptError{err})...)...)
		a.loggedAt = now
		a.failures = 0
	}
}

func (a *acceptLimiter) release() { <-a.slots }

// HasBacklog is an effect. The listener stays open until the process ends: on the fleet's bench the goroutine that
// closed it stood still for a second and more, and with it the reducer.
func (s *Sockets) HasBacklog() bool { return s.listener.hasBacklog.Load() }
