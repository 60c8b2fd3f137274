package sockets

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/hint"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
)

// netError returns an error as package net returns it for a failed system call.
func netError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// TestDialRetriesAfterLocalFailure: socket or connect fails for a moment because of a lack of resources on this
// machine. The same Dial must establish the connection, and must not report a failure.
func TestDialRetriesAfterLocalFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			s, address := listen(t, 2)
			dial, attempts := s.dialTCP, 0
			s.dialTCP = func(ctx context.Context, network, address string) (net.Conn, error) {
				if attempts++; attempts <= 3 {
					return nil, netError("connect", errno)
				}
				return dial(ctx, network, address)
			}
			id := s.Dial(address, int64(testTimeout))
			for {
				e, _ := nextEvent(t, s)
				if e.connID == id {
					require.Equal(t, connected, e.kind)
					return
				}
			}
		})
	}
}

// TestPersistentLocalFailure: a local failure that lasts must be reported as such before the dial timeout, at which the
// limiter would blame the server. A refused connection is reported without a retry.
func TestPersistentLocalFailure(t *testing.T) {
	const timeout = 250 * time.Millisecond
	for _, c := range []struct {
		errno    syscall.Errno
		reason   limiter.CloseReason
		attempts int // at most
	}{
		{syscall.ENFILE, limiter.LocalFailure, 50},
		{syscall.ENETUNREACH, limiter.ConnRefused, 50},
		{syscall.ECONNREFUSED, limiter.ConnRefused, 1},
		{syscall.EHOSTUNREACH, limiter.ConnRefused, 1},
	} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			s, address := listen(t, 2)
			attempts := 0
			s.dialTCP = func(context.Context, string, string) (net.Conn, error) {
				attempts++
				return nil, netError("connect", c.errno)
			}
			start := time.Now()
			id := s.Dial(address, int64(timeout))
			e := expectEvent(t, s, connClosed, id)
			require.Equal(t, c.reason, e.reason)
			require.LessOrEqual(t, attempts, c.attempts)
			require.Less(t, time.Since(start), timeout)
		})
	}
}

// failingListener is a listener whose next Accept calls fail, as many as failures says.
type failingListener struct {
	net.Listener
	failures int
	errno    syscall.Errno
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, netError("accept4", l.errno)
	}
	return l.Listener.Accept()
}

// TestAcceptRetriesAfterLocalFailure: accept fails for a moment. The client in the accept queue must be accepted after
// that, and no slot may be lost.
func TestAcceptRetriesAfterLocalFailure(t *testing.T) {
	inner := listenLoopback(t)
	a := newAcceptLimiter(1)
	a.Listener = &failingListener{Listener: inner, failures: 4, errno: syscall.ENFILE}
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	var log bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(logging.NewHandler(&log)))
	start := time.Now()
	c, err := a.Accept()
	require.NoError(t, err)
	_ = c.Close()
	acceptErr := &AcceptError{Cause: netError("accept4", syscall.ENFILE)}
	require.ErrorIs(t, acceptErr, syscall.ENFILE)
	require.Contains(t, log.String(), hint.Line(acceptErr))
	require.Equal(t, 1, strings.Count(log.String(), "event=accept-failed"))
	require.GreaterOrEqual(t, time.Since(start), 4*minBackoff, "retries without a backoff")
	require.False(t, a.hasBacklog.Load())
	require.Equal(t, 3, a.failures, "only the first failure was logged")
	a.release()
	_ = inner.Close()
	_, err = a.Accept()
	require.True(t, errors.Is(err, net.ErrClosed))
	require.Empty(t, a.slots)
}

// TestAcceptedConnectionWaitsForDescriptor: for a moment no second descriptor is available for an accepted
// connection. It must not be closed, since its client may have sent a request already, but converted once a
// descriptor is available.
func TestAcceptedConnectionWaitsForDescriptor(t *testing.T) {
	inner := listenLoopback(t)
	a := newAcceptLimiter(1)
	a.Listener = inner
	failures, convert := 0, a.convert
	a.convert = func(c net.Conn) (*nbio.Conn, error) {
		if failures < 3 {
			failures++
			return nil, netError("dup", syscall.EMFILE)
		}
		return convert(c)
	}
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	_, err = client.Write([]byte("request"))
	require.NoError(t, err)
	c, err := a.Accept()
	require.NoError(t, err)
	require.Equal(t, 3, failures)
	require.Equal(t, client.LocalAddr().String(), c.RemoteAddr().String())
	_ = c.Close()
}

// TestListenWaitsForFirstAccept: an nbio engine misses a stop that comes before its accepting goroutine runs, and then
// calls Accept on the closed listener in a busy loop. So Listen must not return before Accept was called.
func TestListenWaitsForFirstAccept(t *testing.T) {
	for range 20 {
		s, _ := listen(t, 2)
		select {
		case <-s.listener.acceptCalled:
		default:
			t.Fatal("Listen returned before the first Accept call")
		}
	}
}
