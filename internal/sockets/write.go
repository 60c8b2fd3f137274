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

// This file writes to connections and queries the kernel for their state.

// minUnreadTime is the shortest time that UnreadFor reports, nanoseconds; the kernel is not asked about shorter ones.
const minUnreadTime = 10e6

// Values of the first byte of TCP_INFO, the state of a TCP connection, after a reset or a close by the peer.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// Write implements limiter.Effects. After a failed write it shuts the connection down, and the poller reports the
// close. nbio's Write would close the descriptor on this goroutine instead, which is unsafe (see shutdown). So nbio
// gets only the bytes that the kernel has no room for, and bytes that follow those.
func (s *Sockets) Write(id limiter.ConnID, data []byte) {
	conn := s.connections[id]
	if conn == nil {
		return
	}
	nc, pending := conn.nbConn.Load(), conn.bytesSubmitted > conn.bytesWritten.Load()
	// The server has closed. Its last bytes may still be unread, and bytes written now would wrongly count as sent.
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

// writeNow writes until all is written or the kernel returns EAGAIN. A short write is not enough to stop at: nbio waits
// for an edge-triggered event for writability, which does not come if the kernel cut the write short with room left.
func writeNow(nc *nbio.Conn, data []byte) (written int, err error) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return 0, net.ErrClosed
	}
	for written < len(data) {
		n, err := syscall.Write(nc.Hash(), data[written:])
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

// peerClosed reports whether the kernel has seen the peer close or reset the connection.
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

// sinceLastReceive returns the time since the kernel last received data on a connection, in nanoseconds, or 0 if
// unknown. A client's deadline runs from then: a process that was not scheduled for a while, or that has many
// connections to accept, reads the data late.
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

// Alive implements limiter.Effects. A client's connection is alive until nbio closes it. A connection to a server is
// alive only if, in addition, no input or close is pending, in the kernel or undelivered: bytes that a server sent
// after its last response would be taken for the response to the next request, and bytes written after the server's
// close would count as sent.
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

// readWouldBlock reports whether the kernel has neither bytes nor a close to read on a connection.
func readWouldBlock(nc *nbio.Conn) bool {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return false
	}
	_, _, err := syscall.Recvfrom(nc.Hash(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// PeerGone implements limiter.Effects. It asks the kernel, which knows of a close before the poller has read up to it
// and before the reducer gets the event.
func (s *Sockets) PeerGone(id limiter.ConnID) bool {
	conn := s.connections[id]
	return conn == nil || peerClosed(conn.nbConn.Load())
}

// UnreadFor implements limiter.Effects.
func (s *Sockets) UnreadFor(id limiter.ConnID) int64 {
	conn := s.connections[id]
	if conn == nil {
		return 0
	}
	began := conn.unreadSince.Load()
	since := elapsed() - began
	if began == 0 || since < minUnreadTime || kernelQueueSize(conn.nbConn.Load(), syscall.TIOCINQ) <= 0 {
		return 0
	}
	return since
}

// Written implements limiter.Effects.
func (s *Sockets) Written(id limiter.ConnID) int64 {
	if conn := s.connections[id]; conn != nil {
		return conn.bytesWritten.Load()
	}
	return 0
}

// kernelQueueSize returns how many bytes are in a connection's kernel queue: request is TIOCINQ for the receive queue
// or TIOCOUTQ for the send queue. It returns 0 if the connection is closed or the call fails.
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
