package limiter

import (
	"container/list"

	"ospreycroft/internal/settings"
)

const (
	// clientDescriptorShare: one descriptor in so many is for clients.
	clientDescriptorShare = 2
	// clientLimitShare: past one descriptor in so many, idle clients make room for others.
	clientLimitShare = 4
	// reapsNearLimit is how often clients are looked at in a dial time-out while there are many.
	reapsNearLimit = 8
	// newClientGraceShare: a client that sent nothing for this part of a dial time-out may be closed to make room.
	newClientGraceShare = 4
	// minClientIdle is how long a connection without an open request is kept at least, nanoseconds.
	minClientIdle = 2e9
	// idleCloseShare: an idle connection is closed after this part of the time after which the other side closes it.
	idleCloseShare = 2
)

// clientTable holds the clients' connections, and closes those that are idle for long or in the way of others.
type clientTable struct {
	limiter *Limiter
	count   int
	// withoutRequest are those that have brought no request yet, the oldest first; withRequest the others, the one
	// used last at the end.
	withoutRequest, withRequest list.List
}

func (t *clientTable) accept(id ConnID) {
	c := &conn{id: id, open: true, lastUsed: t.limiter.now}
	cl := &client{limiter: t.limiter, conn: c, connectedAt: t.limiter.now, lastUsed: t.limiter.now}
	cl.element = t.withoutRequest.PushBack(cl)
	c.handler, t.limiter.conns[id] = cl, c
	t.count++
	t.makeRoom()
}

// MaxClients is how many connections clients may hold together.
func MaxClients(config *settings.Config) int { return config.Sockets / clientDescriptorShare }

// nearLimit: past this the usual clients could soon open no more. They hold a third of our descriptors at most, and
// where each keeps its connection after one request, only as many requests come as connections are closed.
func (t *clientTable) nearLimit() bool { return t.count >= t.limiter.config.Sockets/clientLimitShare }

// makeRoom closes clients' connections without an open request, so that others can come: first those that never brought
// one and had time to, then the one idle longest.
func (t *clientTable) makeRoom() {
	since := t.limiter.now - t.limiter.settings.DialTimeout/newClientGraceShare
	for t.nearLimit() && (t.closeFirstIdle(&t.withoutRequest, since) || t.closeFirstIdle(&t.withRequest, since)) {
	}
}

// closeFirstIdle closes the first of a list that has been idle since a time, and tells whether there is one.
func (t *clientTable) closeFirstIdle(clients *list.List, since int64) bool {
	for e := clients.Front(); e != nil; e = e.Next() {
		if cl := e.Value.(*client); cl.lastUsed > since {
			return false
		} else if cl.idle() && cl.closeIfIdle() {
			return true
		}
	}
	return false
}

// reap looks at the clients at intervals. One that says nothing or half a command is closed: it would hold its place
// for good.
func (t *clientTable) reap() {
	for _, clients := range []*list.List{&t.withoutRequest, &t.withRequest} {
		for e := clients.Front(); e != nil; {
			cl := e.Value.(*client)
			e = e.Next()
			switch idle := t.limiter.now - cl.lastUsed; {
			case len(cl.answers) > 0 || cl.inputDiscarded || idle < minClientIdle:
			case cl.partialCommand:
				t.limiter.stats.inputErrors.silentClients++
				cl.rejectInput("too slow")
			case !cl.idle(): // an answer is on its way into the kernel
			case !cl.hasRequested, idle > t.limiter.settings.IdleClose/idleCloseShare:
				if cl.closeIfIdle() {
					t.limiter.stats.inputErrors.silentClients++
				}
			}
		}
	}
	t.makeRoom()
	every := t.limiter.reapInterval()
	if t.nearLimit() {
		every = min(every, t.limiter.settings.DialTimeout/reapsNearLimit)
	}
	t.limiter.schedule(t.limiter.now+every, t.reap)
}

// closeSlowReaders closes clients until no more bytes wait for all of them than may: each time the one that holds the
// most. Another one's answer is on its way, and is owed to it whatever others do.
func (t *clientTable) closeSlowReaders(most int64) {
	for unread, slowest := t.unread(); unread > most; unread, slowest = t.unread() {
		t.limiter.closeConn(slowest, SlowReader)
	}
}

// unread is how many bytes wait for clients that do not read, and the connection for which most do; of two alike the
// older.
func (t *clientTable) unread() (sum int64, slowest *conn) {
	largest := int64(0)
	for id, c := range t.limiter.conns {
		if _, is := c.handler.(*client); !is {
			continue
		}
		waiting := c.bytesSent - t.limiter.effects.Written(id)
		sum += waiting
		if waiting > largest || waiting == largest && waiting > 0 && c.id < slowest.id {
			largest = waiting
			slowest = c
		}
	}
	return sum, slowest
}
