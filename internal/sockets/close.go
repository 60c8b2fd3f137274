package sockets

import (
	"log/slog"
	"slices"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
)

// This file ends connections.

// lingerCheckInterval is how often connections that were left are looked at, nanoseconds.
const lingerCheckInterval = 5e6

// Close is an effect.
func (s *Sockets) Close(id limiter.ConnID) int64 {
	l := s.connections[id]
	if l == nil {
		return 0
	}
	delete(s.connections, id)
	l.locallyClosed.Store(true)
	if l.cancel != nil {
		l.cancel()
	}
	if c := l.conn.Load(); c != nil {
		if l.accepting == nil && l.written.Load() == l.bytesHanded && waitingBytes(c, syscall.TIOCOUTQ) > 0 {
			resetOnClose(c)
		}
		shutdown(c, syscall.SHUT_RDWR)
	}
	return l.written.Load()
}

// CloseGracefully is an effect. What lies unread in the kernel is read first: the process may have had no processor
// for a while. From the look at what has come until the sending has ended the poller reads nothing: it holds the lock
// as long as bytes are out of the kernel and not posted. Both directions end when the client has ended its own, or
// after a time unless its machine still lacks bytes: to close over what was not read breaks the connection off, and
// takes these along.
func (s *Sockets) CloseGracefully(id limiter.ConnID, after, most int64) bool {
	l := s.connections[id]
	if l == nil {
		return true
	}
	if !l.readMutex.TryLock() {
		return false
	}
	defer l.readMutex.Unlock()
	c := l.conn.Load()
	if l.bytesPosted > l.bytesDelivered.Load() || waitingBytes(c, syscall.TIOCINQ) > 0 {
		return false
	}
	delete(s.connections, id)
	l.locallyClosed.Store(true)
	if !shutdown(c, syscall.SHUT_WR) {
		return true
	}
	s.lingering = append(slices.DeleteFunc(s.lingering, (*connection).isClosed), l)
	var wait func(so int64)
	wait = func(so int64) {
		time.AfterFunc(time.Duration(after), func() {
			defer logging.LogPanic("lingering close")
			if so < most && waitingBytes(c, syscall.TIOCOUTQ) > 0 {
				wait(so + after)
				return
			}
			shutdown(c, syscall.SHUT_RDWR)
		})
	}
	wait(after)
	return true
}

func (l *connection) isClosed() bool {
	closed, _ := l.conn.Load().IsClosed()
	return closed
}

// hasUnsent tells whether the end of the process could break off a connection that was left: its client's machine lacks
// bytes, or has sent some that were not read.
func (s *Sockets) hasUnsent() bool {
	s.lingering = slices.DeleteFunc(s.lingering, func(l *connection) bool {
		c := l.conn.Load()
		return waitingBytes(c, syscall.TIOCOUTQ) <= 0 && waitingBytes(c, syscall.TIOCINQ) <= 0
	})
	return len(s.lingering) > 0
}

// resetOnClose has the closing of the descriptor, which follows, take along what the other machine lacks: a command that
// was given up and that the kernel has whole would else become whole there later, when it takes bytes again, and run
// for nobody.
func resetOnClose(c *nbio.Conn) {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); !closed {
		_ = syscall.SetsockoptLinger(c.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// shutdown ends one or both directions and leaves closing the descriptor to the poller, which sees the end next. Were it
// closed here, what the poller still has to tell of it could hit a new connection with the same number. It tells
// whether there was something to end.
func shutdown(c *nbio.Conn, how int) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	if err := syscall.Shutdown(c.Hash(), how); err != nil && err != syscall.ENOTCONN {
		slog.Warn("socket-shutdown", "error", err)
	}
	return true
}
