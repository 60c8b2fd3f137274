package limiter

import (
	"container/list"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

const (
	// clientDescriptorDivisor: clients may hold this fraction of the descriptors, 1 in 2.
	clientDescriptorDivisor = 2
	// evictionDivisor: above this fraction of the descriptors, 1 in 4, idle clients are closed for new ones.
	evictionDivisor = 4
	// reapsNearLimit is how many times in a dial timeout clients are checked while nearLimit.
	reapsNearLimit = 8
	// newClientGraceDivisor: a client that was idle for this fraction of a dial timeout, 1/4, may be evicted.
	newClientGraceDivisor = 4
	// minClientIdle is how long a connection without an open request is kept if it is not evicted, nanoseconds.
	minClientIdle = 2e9
	// idleCloseDivisor: an idle connection is closed after this fraction, 1/2, of the time after which the peer closes
	// it.
	idleCloseDivisor = 2
)

// clientTable holds the clients' connections. It closes those that are idle for long, and idle ones where new clients
// need descriptors.
type clientTable struct {
	limiter *Limiter
	count   int
	// pendingAnswers is how many answers of all clients wait to be written.
	pendingAnswers int
	// withoutRequest holds clients that have sent no request yet, the oldest first; withRequest holds the others, the
	// least recently used first.
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

// MaxClients is the largest number of clients' connections.
func MaxClients(config *settings.Config) int { return config.Sockets / clientDescriptorDivisor }

// nearLimit tells whether idle clients are evicted. Clients commonly hold up to a third of the descriptors. If each
// kept its connection after one request, new requests would come only as fast as connections are closed.
func (t *clientTable) nearLimit() bool { return t.count >= t.limiter.config.Sockets/evictionDivisor }

// evictIdle closes idle clients while nearLimit: first those that never sent a request, then the least recently used. If
// no connection is left even so, it ends clients whose commands stay incomplete.
func (t *clientTable) evictIdle() {
	since := t.limiter.now - t.limiter.settings.DialTimeout/newClientGraceDivisor
	for t.nearLimit() && (t.closeFirstIdle(&t.withoutRequest, since) || t.closeFirstIdle(&t.withRequest, since)) {
	}
	if t.nearLimit() && t.limiter.effects.HasBacklog() {
		t.rejectStalled(&t.withoutRequest)
		t.rejectStalled(&t.withRequest)
	}
}

// rejectStalled rejects the incomplete commands of clients that keep others from being accepted.
func (t *clientTable) rejectStalled(clients *list.List) {
	for e := clients.Front(); e != nil; {
		cl := e.Value.(*client)
		e = e.Next()
		incompleteFor := t.limiter.now - cl.lastUsed
		if !cl.partialCommand || cl.inputDiscarded || len(cl.answers) > 0 ||
			choice.KeepsStalledClient(incompleteFor, t.limiter.settings.DialTimeout) {
			continue
		}
		t.limiter.stats.inputErrors.stalledClients++
		cl.rejectInput("too slow")
	}
}

// closeFirstIdle closes the first idle client of a list that was last used at since or before, and tells whether there
// is one.
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

// reap closes clients that sent nothing or a partial command for too long, and those that are idle for long, and
// schedules itself again. A client that never completes a command would else hold its descriptor for good.
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
			case !cl.idle(): // an answer is not completely in the kernel yet
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

// closeSlowReaders closes clients until at most limit bytes of output wait in all, each time the one with the most.
// Other clients must still get their answers.
func (t *clientTable) closeSlowReaders(limit int64) {
	for waiting, slowest := t.unreadBytes(); waiting > limit; waiting, slowest = t.unreadBytes() {
		t.limiter.closeConn(slowest, SlowReader)
	}
}

// unreadBytes is the output that waits for clients, in bytes, and the connection with the most of it; of equal ones the
// oldest, nil if no output waits.
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
