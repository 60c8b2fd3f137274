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

// Dial is an effect. The standard library dials and nbio takes the connection over: nbio's own dialling (v1.6.8)
// copies the first four of the sixteen bytes in which addresses are held, so that each IPv4 address becomes
// 0.0.0.0, and it takes a refused connection for one that is up.
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

// dialFailure is the reason why a connection did not come up.
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

// dialWithRetry dials, and again where this machine is to blame, as long as there is time for another try: the limiter's own
// timer would else call it the other side's silence.
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

// addToEngine has the poller take a connection over. An engine that is being stopped takes none: nbio panics where one is
// added as it waits for the others to close.
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
