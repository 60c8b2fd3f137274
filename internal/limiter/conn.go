package limiter

import (
	"cmp"
	"slices"

	"ospreycroft/internal/buffer"
)

// connHandler handles what happens on a connection; there is one type for each kind of peer.
type connHandler interface {
	onConnected()
	// onData handles received bytes and returns how many it has used; the rest is passed again with later bytes.
	onData(bytes []byte) (used int, err error)
	onClosed(reason CloseReason, written int64)
	// peer tells what kind of peer the connection has.
	peer() peerKind
}

type conn struct {
	id                ConnID
	handler           connHandler
	open              bool
	input             buffer.Buffer
	bytesSent         int64  // bytes passed to Effects.Write, whether or not the kernel has taken them
	lastUsed          int64  // when it was dialled or accepted, came up, or last carried bytes
	receivedAt        int64  // when the latest bytes reached this machine
	dialTimer         *timer // ends a dial that takes too long; nil for a client's connection
	countedInputBytes int64  // the share of input in Limiter.bufferedBytes
}

// dial starts a connection for a handler, which is told when it is up or has ended. A timer ends the dial after timeout
// nanoseconds even if the sockets report nothing.
func (l *Limiter) dial(h connHandler, address string, timeout int64) *conn {
	c := &conn{id: l.effects.Dial(address, timeout), handler: h, lastUsed: l.now}
	l.conns[c.id] = c
	c.dialTimer = l.schedule(l.now+timeout, func() { l.closeConn(c, DialTimedOut) })
	return c
}

// connected handles the end of a dial, unless the connection has ended already.
func (l *Limiter) connected(id ConnID) {
	c := l.conns[id]
	if c == nil {
		return
	}
	c.open = true
	c.lastUsed = l.now
	l.timers.cancel(c.dialTimer)
	c.handler.onConnected()
	l.consume(c)
}

// dataReceived reads the bytes that have come. They may come before Connected.
func (l *Limiter) dataReceived(e DataReceived) {
	c := l.conns[e.Conn]
	if c == nil {
		return
	}
	l.effects.Read(c.input.Reserve(e.Size))
	c.input.Commit(e.Size)
	c.receivedAt = l.now - e.Age
	if c.open {
		l.consume(c)
	}
}

// consume passes the received bytes to the handler until it has used all complete messages.
func (l *Limiter) consume(c *conn) {
	c.lastUsed = l.now
	for l.conns[c.id] == c {
		used, err := c.handler.onData(c.input.Bytes())
		if err != nil && l.conns[c.id] == c {
			l.closeConn(c, ProtocolError)
		}
		if err != nil || used == 0 {
			break
		}
		c.input.Consume(used)
	}
	if l.conns[c.id] == c {
		l.bufferedBytes += int64(c.input.Cap()) - c.countedInputBytes
		c.countedInputBytes = int64(c.input.Cap())
		if cl, ok := c.handler.(*client); ok && cl.closing {
			cl.closeWhenAnswered()
		}
	}
}

func (l *Limiter) write(c *conn, bytes []byte) {
	c.bytesSent += int64(len(bytes))
	c.lastUsed = l.now
	l.effects.Write(c.id, bytes)
}

// closeConn ends a connection; it is the only place that does.
func (l *Limiter) closeConn(c *conn, reason CloseReason) {
	delete(l.conns, c.id)
	l.bufferedBytes -= c.countedInputBytes
	l.timers.cancel(c.dialTimer)
	l.traceClose(c, reason)
	c.handler.onClosed(reason, l.effects.Close(c.id))
	c.input = buffer.Buffer{} // a request that outlives its client's connection must not keep the buffer
}

// connsInOrder lists the open connections by ID.
func (l *Limiter) connsInOrder() []*conn {
	list := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return list
}
