package limiter

import (
	"cmp"
	"slices"

	"ospreycroft/internal/buffer"
)

// connHandler is the other side of a connection.
type connHandler interface {
	onConnected()
	// onData takes from the bytes that have come and tells how many it has used up.
	onData(bytes []byte) (used int, err error)
	onClosed(reason CloseReason, written int64)
	// peer tells what the other side is.
	peer() peerKind
}

type conn struct {
	id                ConnID
	handler           connHandler
	open              bool
	input             buffer.Buffer
	bytesSent         int64  // bytes that were written, whether the kernel has taken them or not
	lastUsed          int64  // when it was last used
	receivedAt        int64  // when the latest bytes came to this machine
	dialTimer         *timer // until when it must come up
	countedInputBytes int64  // its buffer's part of buffered
}

// dial begins a connection for a party, which is told when it is up or has ended. It ends in time even where the
// sockets say nothing.
func (l *Limiter) dial(h connHandler, address string, timeout int64) *conn {
	c := &conn{id: l.effects.Dial(address, timeout), handler: h, lastUsed: l.now}
	l.conns[c.id] = c
	c.dialTimer = l.schedule(l.now+timeout, func() { l.closeConn(c, DialTimedOut) })
	return c
}

// connected takes word that a connection that was dialled is up, unless it has ended already.
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

// dataReceived reads what has come on a connection. Bytes may come before the word that the connection is up.
func (l *Limiter) dataReceived(e DataReceived) {
	c := l.conns[e.Conn]
	if c == nil {
		return
	}
	l.effects.Read(c.input.Space(e.Size))
	c.input.Filled(e.Size)
	c.receivedAt = l.now - e.Age
	if c.open {
		l.consume(c)
	}
}

// consume lets the other side's bytes be used as far as they are whole.
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
		c.input.Use(used)
	}
	if l.conns[c.id] == c {
		l.bufferedBytes += int64(c.input.Size()) - c.countedInputBytes
		c.countedInputBytes = int64(c.input.Size())
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

// closeConn is the only place where a connection ends.
func (l *Limiter) closeConn(c *conn, reason CloseReason) {
	delete(l.conns, c.id)
	l.bufferedBytes -= c.countedInputBytes
	l.timers.cancel(c.dialTimer)
	l.traceClose(c, reason)
	c.handler.onClosed(reason, l.effects.Close(c.id))
}

// connsInOrder lists the connections that have not ended, in a fixed order.
func (l *Limiter) connsInOrder() []*conn {
	list := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return list
}
