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

// This file limits how many client connections are open.

// maxClientConns returns how many client connections may be open at once: clients, reduced in proportion if the
// process's limit on open files (RLIMIT_NOFILE) is below descriptors, and at least 1.
func maxClientConns(clients, descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(descriptors) {
		return clients // an unknown limit shows up as EMFILE when it is reached
	}
	return max(clients*int(limit.Cur)/descriptors, 1)
}

// acceptLimiter is the listener for clients. It accepts a connection only while it has a free slot; further connections
// wait in the kernel's accept queue, where no request is lost.
type acceptLimiter struct {
	net.Listener
	slots      chan struct{} // one element for each open connection, and one for the pending Accept call
	hasBacklog atomic.Bool   // a client may be in the accept queue: no slot is free, or the last accept failed
	// acceptCalled is closed when nbio first calls Accept. An nbio engine that is stopped earlier misses the stop and
	// calls Accept on the closed listener forever.
	acceptCalled     chan struct{}
	acceptCalledOnce sync.Once
	// convert is nbio.NBConn; tests replace it by a function that fails.
	convert func(net.Conn) (*nbio.Conn, error)
	// The fields below are used only by the goroutine that calls Accept.
	failures int       // failed accepts since the last log line
	loggedAt time.Time // time of the last log line
}

const (
	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = time.Second
	// convertTimeout is how long convertWithRetry retries for want of a second descriptor.
	convertTimeout = 200 * time.Millisecond
)

// newAcceptLimiter returns an acceptLimiter with a number of slots; it accepts once listen has opened an address.
func newAcceptLimiter(slots int) *acceptLimiter {
	return &acceptLimiter{slots: make(chan struct{}, slots), acceptCalled: make(chan struct{}), convert: nbio.NBConn}
}

// listen opens the address and returns the acceptLimiter as its listener.
func (a *acceptLimiter) listen(network, address string) (net.Listener, error) {
	inner, err := net.Listen(network, address)
	a.Listener = inner
	return a, err
}

// Accept waits for a free slot and then for a connection. It retries a failed accept with a backoff, as the connection
// stays in the accept queue; nbio would retry at once and log each failure. It returns an error only for a closed
// listener.
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

// acceptOne accepts a connection and converts it to an nbio connection. The conversion is done here because nbio would
// not report a connection that it fails to convert for want of a descriptor, and its slot would stay taken. A failed
// accept sets hasBacklog, since the connection is still in the accept queue.
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

// convertWithRetry converts a connection to an nbio connection, which duplicates its descriptor. It retries local
// failures, such as a lack of descriptors, for up to convertTimeout rather than closing the connection: the client may
// already have sent its request.
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

// logFailure logs a failed accept, at most once per acceptLogInterval, with the number of failures since the last line.
func (a *acceptLimiter) logFailure(err error) {
	a.failures++
	if now := time.Now(); now.Sub(a.loggedAt) >= acceptLogInterval {
		slog.Warn("accept-failed", append([]any{"failures", a.failures}, hint.Attrs(&AcceptError{err})...)...)
		a.loggedAt = now
		a.failures = 0
	}
}

// release frees the slot of a connection that has been closed or was not accepted.
func (a *acceptLimiter) release() { <-a.slots }

// HasBacklog implements limiter.Effects. The listener stays open until the process exits, since closing it can block
// the closing goroutine, and with it the reducer, for more than a second.
func (s *Sockets) HasBacklog() bool { return s.listener.hasBacklog.Load() }
