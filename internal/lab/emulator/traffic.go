package emulator

import (
	"net"
	"sync/atomic"
)

// Traffic counts the payload bytes on an emulator's connections, without TCP and IP headers, and its calls. The zero
// value is ready to use. It is safe for concurrent use.
type Traffic struct {
	Received atomic.Int64 // bytes read from callers
	Sent     atomic.Int64 // bytes written to callers
	Calls    atomic.Int64 // complete calls read
	Opened   atomic.Int64 // connections accepted
}

// countingListener is a listener that counts the traffic of its accepted connections.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection, wrapped to count its traffic.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrapConn(c), nil
}

// wrapConn counts the connection c as opened and returns it wrapped to count its bytes.
func (t *Traffic) wrapConn(c net.Conn) net.Conn {
	t.Opened.Add(1)
	return &countingConn{Conn: c, traffic: t}
}

// countingConn adds the bytes read and written to traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
