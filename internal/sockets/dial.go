package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/limiter"
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
		defer cancel()
		if err := s.dial(ctx, l, address); err != nil {
			end := limiter.ConnRefused
			if ctx.Err() != nil {
				end = limiter.DialTimedOut
			}
			s.enqueue(l, queuedEvent{kind: connClosed, reason: end}, nil)
			return
		}
		s.enqueue(l, queuedEvent{kind: connected}, nil)
	}()
	return l.id
}

func (s *Sockets) dial(ctx context.Context, l *connection, address string) error {
	var dialer net.Dialer
	plain, err := dialer.DialContext(ctx, "tcp", address)
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
	_, err = s.engine.AddConn(c)
	if err == nil && l.locallyClosed.Load() {
		shutdown(c, syscall.SHUT_RDWR)
	}
	return err
}
