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

// failure is an error as package net gives it for a system call.
func failure(call string, errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// TestDialAgainAfterLocalFailure: socket or connect fails for a moment for want of something on this machine. The
// connection comes up within the same dial, and nobody is blamed.
func TestDialAgainAfterLocalFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			s, address := listening(t, 2)
			dial, tries := s.dialTCP, 0
			s.dialTCP = func(ctx context.Context, network, address string) (net.Conn, error) {
				if tries++; tries <= 3 {
					return nil, failure("connect", errno)
				}
				return dial(ctx, network, address)
			}
			id := s.Dial(address, int64(patience))
			for {
				e, _ := next(t, s)
				if e.conn == id {
					require.Equal(t, connected, e.kind)
					return
				}
			}
		})
	}
}

// TestLocalFailureThatLasts: it is told as this machine's own, before the limiter's timer calls it the other side's
// silence; a refusal is told at once.
func TestLocalFailureThatLasts(t *testing.T) {
	const timeout = 250 * time.Millisecond
	for _, c := range []struct {
		errno  syscall.Errno
		reason limiter.CloseReason
		tries  int // at most
	}{
		{syscall.ENFILE, limiter.LocalFailure, 50},
		{syscall.ENETUNREACH, limiter.ConnRefused, 50},
		{syscall.ECONNREFUSED, limiter.ConnRefused, 1},
		{syscall.EHOSTUNREACH, limiter.ConnRefused, 1},
	} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			s, address := listening(t, 2)
			tries := 0
			s.dialTCP = func(context.Context, string, string) (net.Conn, error) {
				tries++
				return nil, failure("connect", c.errno)
			}
			began := time.Now()
			id := s.Dial(address, int64(timeout))
			e := expect(t, s, connClosed, id)
			require.Equal(t, c.reason, e.reason)
			require.LessOrEqual(t, tries, c.tries)
			require.Less(t, time.Since(began), timeout)
		})
	}
}

// failingListener fails to accept so many times.
type failingListener struct {
	net.Listener
	failures int
	errno    syscall.Errno
}

// Accept is a method of net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, failure("accept4", l.errno)
	}
	return l.Listener.Accept()
}

// TestAcceptAgainAfterLocalFailure: accept fails for a moment. The client that waits in the kernel is accepted then, it
// counts as waiting meanwhile, and no place is lost.
func TestAcceptAgainAfterLocalFailure(t *testing.T) {
	inner := local(t)
	g := newAcceptLimiter(1)
	g.Listener = &failingListener{Listener: inner, failures: 4, errno: syscall.ENFILE}
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	var log bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(logging.NewHandler(&log)))
	began := time.Now()
	c, err := g.Accept()
	require.NoError(t, err)
	_ = c.Close()
	refused := &AcceptError{Cause: failure("accept4", syscall.ENFILE)}
	require.ErrorIs(t, refused, syscall.ENFILE)
	require.Contains(t, log.String(), hint.Line(refused))
	require.Equal(t, 1, strings.Count(log.String(), "event=accept-failed"))
	require.GreaterOrEqual(t, time.Since(began), 4*minRetryPause, "it does not spin")
	require.False(t, g.waiting.Load())
	require.Equal(t, 3, g.failures, "the first was logged, the others wait for the next line")
	g.release()
	_ = inner.Close()
	_, err = g.Accept()
	require.True(t, errors.Is(err, net.ErrClosed))
	require.Empty(t, g.places)
}

// TestAcceptedConnectionWaitsForDescriptor: for a moment there is no second descriptor for a connection that has been accepted. It
// is not closed, its client would have sent its request in vain, and is taken over once there is one.
func TestAcceptedConnectionWaitsForDescriptor(t *testing.T) {
	inner := local(t)
	g := newAcceptLimiter(1)
	g.Listener = inner
	failures, adopt := 0, g.adopt
	g.adopt = func(c net.Conn) (*nbio.Conn, error) {
		if failures < 3 {
			failures++
			return nil, failure("dup", syscall.EMFILE)
		}
		return adopt(c)
	}
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	_, err = client.Write([]byte("request"))
	require.NoError(t, err)
	c, err := g.Accept()
	require.NoError(t, err)
	require.Equal(t, 3, failures)
	require.Equal(t, client.LocalAddr().String(), c.RemoteAddr().String())
	_ = c.Close()
}

// TestListenWaitsUntilItAccepts: nbio misses a stop that comes before its accepting goroutine runs, and then tries the
// closed listener without a pause until the process ends; so nobody gets the sockets before it runs.
func TestListenWaitsUntilItAccepts(t *testing.T) {
	for range 20 {
		s, _ := listening(t, 2)
		select {
		case <-s.accepting.began:
		default:
			t.Fatal("it may be stopped before it accepts")
		}
	}
}
