package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
	"ospreycroft/internal/transient"
)

// This file opens connections.

// Dial implements limiter.Effects. The standard library dials, and the connection is then added to nbio. The dialer of
// nbio v1.6.8 is not used: it copies the first four bytes of a 16-byte address, which turns each IPv4 address into
// 0.0.0.0, and it reports a refused connection as established.
func (s *Sockets) Dial(address string, timeout int64) limiter.ConnID {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeout))
	conn := s.newConnection(cancel, nil)
	s.connections[conn.id] = conn
	go func() {
		defer logging.LogPanic("dialler")
		defer cancel()
		if err := s.dialWithRetry(ctx, conn, address); err != nil {
			s.enqueue(conn, queuedEvent{kind: connClosed, reason: dialFailure(ctx, err)}, nil)
			return
		}
		s.enqueue(conn, queuedEvent{kind: connected}, nil)
	}()
	return conn.id
}

// dialFailure returns the close reason for a failed dial. A route failure that outlasts the retries counts as refused,
// since a network partition may cause it.
func dialFailure(ctx context.Context, err error) limiter.CloseReason {
	switch {
	case transient.IsAny(err, routeFailures):
		return limiter.ConnRefused
	case transient.IsLocalFailure(err):
		return limiter.LocalFailure
	case ctx.Err() != nil:
		return limiter.DialTimedOut
	}
	return limiter.ConnRefused
}

// dialWithRetry dials, and retries local failures while the deadline leaves time for another attempt. It returns before
// the deadline in order to report the local failure; otherwise the limiter's own timer would report a server that does
// not answer.
func (s *Sockets) dialWithRetry(ctx context.Context, conn *connection, address string) error {
	deadline, _ := ctx.Deadline()
	for backoff := time.Duration(0); ; {
		err := s.dialOnce(ctx, conn, address)
		backoff = nextBackoff(backoff)
		if err == nil || !transient.IsLocalFailure(err) || time.Until(deadline) < 2*backoff {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff):
		}
	}
}

// dialOnce dials and adds the connection to the engine. A connection that Close was called for meanwhile is shut down.
func (s *Sockets) dialOnce(ctx context.Context, conn *connection, address string) error {
	tcpConn, err := s.dialTCP(ctx, "tcp", address)
	if err != nil {
		return err
	}
	nc, err := nbio.NBConn(tcpConn)
	if err != nil {
		_ = tcpConn.Close()
		return err
	}
	nc.SetSession(conn)
	conn.nbConn.Store(nc)
	err = s.addToEngine(nc)
	if err == nil && conn.locallyClosed.Load() {
		shutdown(nc, syscall.SHUT_RDWR)
	}
	return err
}

// addToEngine registers a connection with nbio's poller. It closes the connection and returns net.ErrClosed after Halt:
// nbio panics if a connection is added while a stopping engine waits for the others to close.
func (s *Sockets) addToEngine(nc *nbio.Conn) error {
	s.addMutex.RLock()
	defer s.addMutex.RUnlock()
	if s.halted.Load() {
		_ = nc.Close()
		return net.ErrClosed
	}
	_, err := s.engine.AddConn(nc)
	return err
}
