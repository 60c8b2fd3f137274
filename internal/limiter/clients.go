package limiter

import (
	"container/list"

	"ospreycroft/internal/settings"
)

const (
	// clientDescriptorDivisor: one descriptor in so many is for clients.
	clientDescriptorDivisor = 2
	// evictionDivisor: past one descriptor in so many, idle clients make room for others.
	evictionDivisor = 4
	// reapsNearLimit is how often clients are looked at in a dial time-out while there are many.
	reapsNearLimit = 8
	// newClientGraceDivisor: a client that sent nothing for this part of a dial time-out may be closed to make room.
	newClientGraceDivisor = 4
	// minClientIdle is how long a connection without an open request is kept at least, nanoseconds.
	minClientIdle = 2e9
	// idleCloseDivisor: an idle connection is closed after this part of the time after which the other side closes it.
	idleCloseDivisor = 2
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
	t.evictIdle()
}

// MaxClients is how many connections clients may hold together.
func MaxClients(config *settings.Config) int { return config.Sockets / clientDescriptorDivisor }

// nearLimit: past this the usual clients could soon open no more. They hold a third of our descriptors at most, and
// where each keeps its connection after one request, only as many requests come as connections are closed.
func (t *clientTable) nearLimit() bool { return t.count >= t.limiter.config.Sockets/evictionDivisor }

// evictIdle closes clients' connections without an open request, so that others can come: first those that never brought
// one and had time to, then the one idle longest.
func (t *clientTable) evictIdle() {
	since := t.limiter.now - t.limiter.settings.DialTimeout/newClientGraceDivisor
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
			case !cl.hasRequested, idle > t.limiter.settings.IdleClose/idleCloseDivisor:
				if cl.closeIfIdle() {
					t.limiter.stats.inputErrors.silentClients++
				}
			}
		}
	}
	t.evictIdle()
	interval := t.limiter.reapInterval()
	if t.nearLimit() {
		interval = min(interval, t.limiter.settings.DialTimeout/reapsNearLimit)
	}
	t.limiter.schedule(t.limiter.now+interval, t.reap)
}

// closeSlowReaders closes clients until no more bytes wait for all of them than may: each time the one that holds the
// most. Another one's answer is on its way, and is owed to it whatever others do.
func (t *clientTable) closeSlowReaders(limit int64) {
	for waiting, slowest := t.unreadBytes(); waiting > limit; waiting, slowest = t.unreadBytes() {
		t.limiter.closeConn(slowest, SlowReader)
	}
}

// unreadBytes is how many bytes wait for clients that do not read, and the connection for which most do; of two alike the
// older.
func (t *clientTable) unreadBytes() (sum int64, slowest *conn) {
	largest := int64(0)
	for id, c := range t.limiter.conns {
		if _, ok := c.handler.(*client); !ok {
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
