package sockets

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"ospreycroft/internal/limiter"
)

// This file writes, and tells what the kernel knows of a connection.

// The kernel's numbers, in the first byte of TCP_INFO, for a connection that the other side has broken off or ended.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// Write is an effect. A failure ends the connection, which the poller finds and tells. Written by nbio, it would be
// closed here, before the poller (see shut); so nbio gets only what the kernel has no room for, and what comes behind
// that.
func (s *Sockets) Write(id limiter.ConnID, bytes []byte) {
	l := s.connections[id]
	if l == nil {
		return
	}
	c, waits := l.conn.Load(), l.bytesHanded > l.written.Load()
	// What was sent to us before its end waits in the kernel still; what we write behind it would count as sent.
	if l.accepting == nil && peerEnded(c) {
		return
	}
	l.bytesHanded += int64(len(bytes))
	if !waits {
		n, err := writeNow(c, bytes)
		l.written.Add(int64(n))
		if err != nil {
			shutdown(c, syscall.SHUT_RDWR)
			return
		}
		bytes = bytes[n:]
	}
	if len(bytes) > 0 {
		_, _ = c.Write(bytes)
	}
}

// writeNow writes what the kernel takes, until it says that there is no room: nbio waits for word of room, which does not
// come after a write that the kernel has cut short with room left.
func writeNow(c *nbio.Conn, bytes []byte) (written int, err error) {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return 0, net.ErrClosed
	}
	for written < len(bytes) {
		n, err := syscall.Write(c.Hash(), bytes[written:])
		switch err {
		case nil:
			written += n
		case syscall.EAGAIN:
			return written, nil
		case syscall.EINTR:
		default:
			return written, err
		}
	}
	return written, nil
}

// peerEnded tells whether the other side has ended the connection, as far as the kernel knows.
func peerEnded(c *nbio.Conn) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return true
	}
	info, err := syscall.GetsockoptInt(c.Hash(), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	state := info & 0xff
	return err == nil && (state == tcpStateClose || state == tcpStateCloseWait)
}

// timeInKernel is how long ago the latest data on a connection came to this machine, nanoseconds; 0 where the kernel does
// not tell. A process that had no processor for a while, or one with many connections to accept, reads late; the client's
// time has gone on meanwhile.
func timeInKernel(c *nbio.Conn) int64 {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(c.Hash(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return int64(info.Last_data_recv) * int64(time.Millisecond)
}

// Alive is an effect. Of a connection to a server it also asks for what has come and was not told: the next answer on
// it would be taken for what a server sent behind the last one, and what is written to one that the server has ended
// counts as sent.
func (s *Sockets) Alive(id limiter.ConnID) bool {
	l := s.connections[id]
	if l == nil {
		return false
	}
	c := l.conn.Load()
	if closed, _ := c.IsClosed(); closed || l.accepting != nil {
		return !closed
	}
	if !l.readMutex.TryLock() {
		return false
	}
	defer l.readMutex.Unlock()
	return l.bytesPosted == l.bytesDelivered.Load() && isQuiet(c)
}

// isQuiet tells whether neither bytes nor an end wait in the kernel.
func isQuiet(c *nbio.Conn) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	_, _, err := syscall.Recvfrom(c.Hash(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// PeerGone is an effect. The kernel knows of the end before the poller has read up to it, and before the reducer is
// told.
func (s *Sockets) PeerGone(id limiter.ConnID) bool {
	l := s.connections[id]
	return l == nil || peerEnded(l.conn.Load())
}

// Written is an effect.
func (s *Sockets) Written(id limiter.ConnID) int64 {
	if l := s.connections[id]; l != nil {
		return l.written.Load()
	}
	return 0
}

// waitingBytes asks the kernel how many bytes wait on a connection; 0 where that cannot be known.
func waitingBytes(c *nbio.Conn, which uintptr) int {
	c.Lock()
	defer c.Unlock()
	waiting := int32(0)
	if closed, _ := c.IsClosed(); closed {
		return 0
	}
	_, _, failed := syscall.Syscall(syscall.SYS_IOCTL, uintptr(c.Hash()), which, uintptr(unsafe.Pointer(&waiting)))
	if failed != 0 {
		return 0
	}
	return int(waiting)
}
