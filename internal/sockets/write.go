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
func (s *Sockets) Write(id limiter.ConnID, data []byte) {
	conn := s.connections[id]
	if conn == nil {
		return
	}
	nc, pending := conn.nbConn.Load(), conn.bytesSubmitted > conn.bytesWritten.Load()
	// What was sent to us before its end waits in the kernel still; what we write behind it would count as sent.
	if conn.listener == nil && peerClosed(nc) {
		return
	}
	conn.bytesSubmitted += int64(len(data))
	if !pending {
		n, err := writeNow(nc, data)
		conn.bytesWritten.Add(int64(n))
		if err != nil {
			shutdown(nc, syscall.SHUT_RDWR)
			return
		}
		data = data[n:]
	}
	if len(data) > 0 {
		_, _ = nc.Write(data)
	}
}

// writeNow writes what the kernel takes, until it says that there is no room: nbio waits for word of room, which does not
// come after a write that the kernel has cut short with room left.
func writeNow(nc *nbio.Conn, bytes []byte) (written int, err error) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return 0, net.ErrClosed
	}
	for written < len(bytes) {
		n, err := syscall.Write(nc.Hash(), bytes[written:])
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

// peerClosed tells whether the other side has ended the connection, as far as the kernel knows.
func peerClosed(nc *nbio.Conn) bool {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return true
	}
	info, err := syscall.GetsockoptInt(nc.Hash(), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	state := info & 0xff
	return err == nil && (state == tcpStateClose || state == tcpStateCloseWait)
}

// sinceLastReceive is how long ago the latest data on a connection came to this machine, nanoseconds; 0 where the kernel does
// not tell. A process that had no processor for a while, or one with many connections to accept, reads late; the client's
// time has gone on meanwhile.
func sinceLastReceive(nc *nbio.Conn) int64 {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(nc.Hash(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return int64(info.Last_data_recv) * int64(time.Millisecond)
}

// Alive is an effect. Of a connection to a server it also asks for what has come and was not told: the next answer on
// it would be taken for what a server sent behind the last one, and what is written to one that the server has ended
// counts as sent.
func (s *Sockets) Alive(id limiter.ConnID) bool {
	conn := s.connections[id]
	if conn == nil {
		return false
	}
	nc := conn.nbConn.Load()
	if closed, _ := nc.IsClosed(); closed || conn.listener != nil {
		return !closed
	}
	if !conn.readMutex.TryLock() {
		return false
	}
	defer conn.readMutex.Unlock()
	return conn.bytesRead == conn.bytesDelivered.Load() && readWouldBlock(nc)
}

// readWouldBlock tells whether neither bytes nor an end wait in the kernel.
func readWouldBlock(nc *nbio.Conn) bool {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return false
	}
	_, _, err := syscall.Recvfrom(nc.Hash(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// PeerGone is an effect. The kernel knows of the end before the poller has read up to it, and before the reducer is
// told.
func (s *Sockets) PeerGone(id limiter.ConnID) bool {
	conn := s.connections[id]
	return conn == nil || peerClosed(conn.nbConn.Load())
}

// Written is an effect.
func (s *Sockets) Written(id limiter.ConnID) int64 {
	if conn := s.connections[id]; conn != nil {
		return conn.bytesWritten.Load()
	}
	return 0
}

// kernelQueueSize asks the kernel how many bytes wait on a connection; 0 where that cannot be known.
func kernelQueueSize(nc *nbio.Conn, request uintptr) int {
	nc.Lock()
	defer nc.Unlock()
	size := int32(0)
	if closed, _ := nc.IsClosed(); closed {
		return 0
	}
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(nc.Hash()), request, uintptr(unsafe.Pointer(&size)))
	if errno != 0 {
		return 0
	}
	return int(size)
}
