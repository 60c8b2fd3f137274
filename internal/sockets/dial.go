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
	l := s.newConnection(cancel, nil)
	s.connections[l.id] = l
	go func() {
		defer logging.LogPanic("dialler")
		defer cancel()
		if err := s.dialUntil(ctx, l, address); err != nil {
			s.enqueue(l, queuedEvent{kind: connClosed, reason: dialFailure(ctx, err)}, nil)
			return
		}
		s.enqueue(l, queuedEvent{kind: connected}, nil)
	}()
	return l.id
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

// dialUntil dials, and again where this machine is to blame, as long as there is time for another try: the limiter's own
// timer would else call it the other side's silence.
func (s *Sockets) dialUntil(ctx context.Context, l *connection, address string) error {
	end, _ := ctx.Deadline()
	for pause := time.Duration(0); ; {
		err := s.dial(ctx, l, address)
		pause = nextPause(pause)
		if err == nil || !transient.IsLocalFailure(err) || time.Until(end) < 2*pause {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

func (s *Sockets) dial(ctx context.Context, l *connection, address string) error {
	plain, err := s.dialTCP(ctx, "tcp", address)
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
	err = s.addToEngine(c)
	if err == nil && l.locallyClosed.Load() {
		shutdown(c, syscall.SHUT_RDWR)
	}
	return err
}

// addToEngine has the poller take a connection over. An engine that is being stopped takes none: nbio panics where one is
// added as it waits for the others to close.
func (s *Sockets) addToEngine(c *nbio.Conn) error {
	s.adding.RLock()
	defer s.adding.RUnlock()
	if s.halted.Load() {
		_ = c.Close()
		return net.ErrClosed
	}
	_, err := s.engine.AddConn(c)
	return err
}
