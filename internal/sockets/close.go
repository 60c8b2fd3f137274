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
	conn := s.connections[id]
	if conn == nil {
		return 0
	}
	delete(s.connections, id)
	conn.locallyClosed.Store(true)
	if conn.cancel != nil {
		conn.cancel()
	}
	if nc := conn.nbConn.Load(); nc != nil {
		if conn.listener == nil && conn.bytesWritten.Load() == conn.bytesSubmitted && kernelQueueSize(nc, syscall.TIOCOUTQ) > 0 {
			resetOnClose(nc)
		}
		shutdown(nc, syscall.SHUT_RDWR)
	}
	return conn.bytesWritten.Load()
}

// CloseGracefully is an effect. What lies unread in the kernel is read first: the process may have had no processor
// for a while. From the look at what has come until the sending has ended the poller reads nothing: it holds the lock
// as long as bytes are out of the kernel and not posted. Both directions end when the client has ended its own, or
// after a time unless its machine still lacks bytes: to close over what was not read breaks the connection off, and
// takes these along.
func (s *Sockets) CloseGracefully(id limiter.ConnID, linger, maxLinger int64) bool {
	conn := s.connections[id]
	if conn == nil {
		return true
	}
	if !conn.readMutex.TryLock() {
		return false
	}
	defer conn.readMutex.Unlock()
	nc := conn.nbConn.Load()
	if conn.bytesRead > conn.bytesDelivered.Load() || kernelQueueSize(nc, syscall.TIOCINQ) > 0 {
		return false
	}
	delete(s.connections, id)
	conn.locallyClosed.Store(true)
	if !shutdown(nc, syscall.SHUT_WR) {
		return true
	}
	s.lingering = append(slices.DeleteFunc(s.lingering, (*connection).isClosed), conn)
	var scheduleClose func(lingered int64)
	scheduleClose = func(lingered int64) {
		time.AfterFunc(time.Duration(linger), func() {
			defer logging.LogPanic("lingering close")
			if lingered < maxLinger && kernelQueueSize(nc, syscall.TIOCOUTQ) > 0 {
				scheduleClose(lingered + linger)
				return
			}
			shutdown(nc, syscall.SHUT_RDWR)
		})
	}
	scheduleClose(linger)
	return true
}

func (c *connection) isClosed() bool {
	closed, _ := c.nbConn.Load().IsClosed()
	return closed
}

// hasUnsent tells whether the end of the process could break off a connection that was left: its client's machine lacks
// bytes, or has sent some that were not read.
func (s *Sockets) hasUnsent() bool {
	s.lingering = slices.DeleteFunc(s.lingering, func(conn *connection) bool {
		nc := conn.nbConn.Load()
		return kernelQueueSize(nc, syscall.TIOCOUTQ) <= 0 && kernelQueueSize(nc, syscall.TIOCINQ) <= 0
	})
	return len(s.lingering) > 0
}

// resetOnClose has the closing of the descriptor, which follows, take along what the other machine lacks: a command that
// was given up and that the kernel has whole would else become whole there later, when it takes bytes again, and run
// for nobody.
func resetOnClose(nc *nbio.Conn) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); !closed {
		_ = syscall.SetsockoptLinger(nc.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// shutdown ends one or both directions and leaves closing the descriptor to the poller, which sees the end next. Were it
// closed here, what the poller still has to tell of it could hit a new connection with the same number. It tells
// whether there was something to end.
func shutdown(nc *nbio.Conn, how int) bool {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return false
	}
	if err := syscall.Shutdown(nc.Hash(), how); err != nil && err != syscall.ENOTCONN {
		slog.Warn("socket-shutdown", "error", err)
	}
	return true
}
