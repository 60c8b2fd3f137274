package emulator

import (
	"net"
	"sync/atomic"
)

// Traffic counts what crosses a stand-in's connections: bytes of payload, without the headers of TCP and IP, and
// calls. The zero value has counted nothing. It is safe for concurrent use.
type Traffic struct {
	Received atomic.Int64 // bytes that callers sent
	Sent     atomic.Int64 // bytes that were written to callers
	Calls    atomic.Int64 // calls that were read whole
	Opened   atomic.Int64 // connections that were accepted
}

// countingListener counts what crosses the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept waits for a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrapConn(c), nil
}

// wrapConn is a connection whose bytes are wrapConn.
func (t *Traffic) wrapConn(c net.Conn) net.Conn {
	t.Opened.Add(1)
	return &countingConn{Conn: c, traffic: t}
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
