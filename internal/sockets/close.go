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

// This file closes connections.

// lingerCheckInterval is how often Run, before it returns, checks whether gracefully closed connections still have
// unsent bytes; in nanoseconds.
const lingerCheckInterval = 5e6

// Close implements limiter.Effects. If the kernel holds all that was written to a server but has not sent all of it,
// the connection is reset (see resetOnClose).
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
		if conn.listener == nil && conn.bytesWritten.Load() == conn.bytesSubmitted &&
			kernelQueueSize(nc, syscall.TIOCOUTQ) > 0 {
			resetOnClose(nc)
		}
		shutdown(nc, syscall.SHUT_RDWR)
	}
	return conn.bytesWritten.Load()
}

// CloseGracefully implements limiter.Effects. It returns false and leaves the connection open while bytes from the
// client are unread or undelivered, as they may be when the process has not been scheduled for a while. From this
// check until the shutdown of the write side it holds readMutex, which the poller holds from before bytes leave the
// kernel until they are queued; so nothing is read in between.
//
// The connection closes when the client closes its side. Otherwise it is closed after linger nanoseconds, or after a
// multiple of linger up to about maxLinger while the kernel's send queue is not empty: closing a connection with unread
// input resets it, and a reset discards bytes that the client has not received.
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

// isClosed reports whether nbio has closed the connection.
func (c *connection) isClosed() bool {
	closed, _ := c.nbConn.Load().IsClosed()
	return closed
}

// hasUnsent reports whether the exit of the process could reset a gracefully closed connection before its client has
// received everything: bytes are left in the kernel's send queue, or unread in its receive queue.
func (s *Sockets) hasUnsent() bool {
	s.lingering = slices.DeleteFunc(s.lingering, func(conn *connection) bool {
		nc := conn.nbConn.Load()
		return kernelQueueSize(nc, syscall.TIOCOUTQ) <= 0 && kernelQueueSize(nc, syscall.TIOCINQ) <= 0
	})
	return len(s.lingering) > 0
}

// resetOnClose sets a zero linger time, so that closing the descriptor, which follows, resets the connection and
// discards the kernel's send queue. Without it a server that has stopped reading would receive the rest of an abandoned
// command when it reads again, and execute it although nobody waits for the answer.
func resetOnClose(nc *nbio.Conn) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); !closed {
		_ = syscall.SetsockoptLinger(nc.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// shutdown shuts down one or both directions and leaves closing the descriptor to the poller, which then reads the end
// of file. If the descriptor were closed here, an event that the poller has already fetched for it could be applied to
// a new connection with the same descriptor number. It returns false if the connection was closed already.
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
