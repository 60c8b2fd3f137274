package flood

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// stopCheckInterval bounds how long a blocked write or read continues after the flood's end.
	stopCheckInterval = 100 * time.Millisecond
)

// blockNumbers numbers the blocks of all senders.
var blockNumbers atomic.Int64

// Send floods the address until the given time, on one connection at a time: a connection that the limiter ends is
// followed by another at once. With unread the sender reads none of its answers.
func Send(address string, kind Kind, unread bool, until time.Time) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			time.Sleep(stopCheckInterval)
			continue
		}
		sendOn(conn, kind, unread, until)
		_ = conn.Close()
	}
}

// sendOn floods one connection until it ends or until is reached.
func sendOn(conn net.Conn, kind Kind, unread bool, until time.Time) {
	_ = conn.SetDeadline(until)
	if !unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for time.Now().Before(until) {
		text := kind.Block(blockNumbers.Add(1))
		size := kind.PieceBytes
		if size == 0 {
			size = len(text)
		}
		for len(text) > 0 {
			written, err := conn.Write(text[:min(size, len(text))])
			if err != nil {
				return
			}
			text = text[written:]
		}
	}
}
