package choice

import (
	"cmp"
	"container/heap"
	"slices"
)

// group is the part of a serverIndex that holds a server.
type group uint8

const (
	unlisted group = iota // not ready for new requests, and nothing out
	idle                  // ready, fit and warm, with nothing out
	warming               // the same, but still warming up
	active                // has attempts out, or is ready and not fit: it is looked at by itself
)

// serverIndex finds the servers that a request or a tick has to look at, so that their cost follows what is in use and not how
// many servers there are. Each server is in one group by its state; note moves it there after a change.
type serverIndex struct {
	ready    int       // servers that are listed as ready
	idle     int       // servers of the group idle
	warmSum  int64     // the sum of warmFrom over warming, modulo 2^64
	warming  warmQueue // the servers of the group warming
	active   []*server // the servers of the group active, in no order
	gone     []*server // servers that were listed as gone, each once
	visiting []*server // a buffer of inOrder
}

// groupOf tells where a server belongs.
func groupOf(now, warmWithin int64, s *server) group {
	switch {
	case len(s.attempts) > 0 || s.out > 0 && s.listing == EndpointReady:
		return active
	case s.listing != EndpointReady:
		return unlisted
	case s.health != healthy || s.warmFrom > now:
		return active
	case s.warmFrom == 0 || now >= s.warmFrom+warmWithin:
		return idle
	}
	return warming
}

// note puts a server that is new or has changed into its group.
func (x *serverIndex) note(now, warmWithin int64, s *server) {
	x.remove(s)
	if s.listing == EndpointReady {
		x.ready++
		s.counted = true
	}
	if s.listing == EndpointGone && !s.leaving {
		x.gone, s.leaving = append(x.gone, s), true
	}
	switch s.group = groupOf(now, warmWithin, s); s.group {
	case idle:
		x.idle++
	case warming:
		s.indexed = s.warmFrom
		x.warmSum += s.indexed
		heap.Push(&x.warming, s)
	case active:
		s.slot = len(x.active)
		x.active = append(x.active, s)
	}
}

// remove takes a server out of its group.
func (x *serverIndex) remove(s *server) {
	if s.counted {
		x.ready--
		s.counted = false
	}
	switch s.group {
	case idle:
		x.idle--
	case warming:
		x.warmSum -= s.indexed
		heap.Remove(&x.warming, s.slot)
	case active:
		last := len(x.active) - 1
		x.active[s.slot] = x.active[last]
		x.active[s.slot].slot = s.slot
		x.active[last] = nil
		x.active = x.active[:last]
	}
	s.group = unlisted
}

// warmUp moves the servers that are warm by now from warming to idle.
func (x *serverIndex) warmUp(now, warmWithin int64) {
	for len(x.warming) > 0 && now >= x.warming[0].indexed+warmWithin {
		x.note(now, warmWithin, x.warming[0])
	}
}

// warmingAge is the number of servers that are warming up with nothing out, and their mean time since they began.
func (x *serverIndex) warmingAge(now int64) (servers, age int64) {
	if servers = int64(len(x.warming)); servers > 0 {
		age = (servers*now - x.warmSum) / servers
	}
	return servers, age
}

// inOrder lists the active servers in the order of the ring. The list holds until the next call.
func (x *serverIndex) inOrder() []*server {
	x.visiting = append(x.visiting[:0], x.active...)
	slices.SortFunc(x.visiting, func(a, b *server) int { return cmp.Compare(a.position, b.position) })
	return x.visiting
}

// away is the number of ready servers that are ejected.
func (x *serverIndex) away() (servers int) {
	for _, s := range x.active {
		if s.listing == EndpointReady && s.health == ejected {
			servers++
		}
	}
	return servers
}

// finished tells whether a server is gone and nothing is out there.
func (s *server) finished() bool { return s.listing == EndpointGone && len(s.attempts) == 0 }

// forgettable tells whether some server is gone with nothing out.
func (x *serverIndex) forgettable() bool {
	x.gone = slices.DeleteFunc(x.gone, func(s *server) bool {
		s.leaving = s.listing == EndpointGone
		return !s.leaving
	})
	return slices.ContainsFunc(x.gone, (*server).finished)
}

// forget takes a server that is finished out of the index.
func (x *serverIndex) forget(s *server) {
	x.remove(s)
	x.gone = slices.DeleteFunc(x.gone, func(o *server) bool { return o == s })
}

// warmQueue is a heap of servers by when they began to warm up.
type warmQueue []*server

func (w warmQueue) Len() int           { return len(w) }
func (w warmQueue) Less(i, j int) bool { return w[i].indexed < w[j].indexed }
func (w warmQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].slot, w[j].slot = i, j
}

// Push is heap's.
func (w *warmQueue) Push(s any) {
	s.(*server).slot = len(*w)
	*w = append(*w, s.(*server))
}

// Pop is heap's.
func (w *warmQueue) Pop() any {
	last := len(*w) - 1
	s := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return s
}

// expiryQueue is a heap of customers by the earliest time at which each could be forgotten. The time may have moved on since it
// was entered: who takes one out looks again, and enters it anew.
type expiryQueue []expiry

type expiry struct {
	at      int64
	account *account
}

func (e expiryQueue) Len() int           { return len(e) }
func (e expiryQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e expiryQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is heap's.
func (e *expiryQueue) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop is heap's.
func (e *expiryQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = expiry{}
	*e = (*e)[:last]
	return x
}

// due takes out the next customer that could be forgotten by now, nil for none.
func (e *expiryQueue) due(now int64) *account {
	if len(*e) == 0 || (*e)[0].at > now {
		return nil
	}
	return heap.Pop(e).(expiry).account
}

// enter has a customer looked at again by the first tick from a time on.
func (e *expiryQueue) enter(at int64, a *account) { heap.Push(e, expiry{at, a}) }

// hold notes that a request of the customer is known.
func (a *account) hold() { a.held++ }

// release notes that one is no longer known. The customer counts as used up to the latest tick at which it was.
func (a *account) release(ticked int64) {
	a.held--
	a.used = max(a.used, ticked)
}

// fullAt is when the store will be full if nothing is taken, never for one that does not fill.
func (s *store) fullAt(never int64) int64 {
	missing := s.depth - s.level
	switch {
	case missing <= 0:
		return s.at
	case s.rate <= 0 || missing/s.rate >= seconds(never-s.at):
		return never
	}
	return s.at + nanos(missing/s.rate)
}

// note has the index take in a change of a server.
func (l *Controller) note(now int64, s *server) { l.index.note(now, l.set.SlowStartWindow, s) }

// usableSums are the units out at all servers that may get the request, and the slow-start weight of these together. It
// looks at those in use one by one; the others are all usable but where only a group drops a repeat.
func (l *Controller) usableSums(now int64, q *request) (out, warmth float64) {
	l.index.warmUp(now, l.set.SlowStartWindow)
	among := l.index.active
	if q.class.Idempotency == IdempotentWithKey && slices.ContainsFunc(q.attempts, func(att *attempt) bool { return att.maybe }) {
		among = l.order
	} else {
		cold, age := l.index.warmingAge(now)
		warmth = float64(l.index.idle) + float64(cold)*l.slowStartWeightAt(age)
		for _, att := range q.attempts {
			if att.server.group == idle || att.server.group == warming {
				warmth -= l.slowStartWeight(now, att.server)
			}
		}
	}
	for _, s := range among {
		if l.usable(now, q, s) {
			out, warmth = out+s.out, warmth+l.slowStartWeight(now, s)
		}
	}
	return out, warmth
}

// letGo forgets servers that are gone.
func (l *Controller) letGo() {
	if !l.index.forgettable() {
		return
	}
	for _, s := range slices.Clone(l.index.gone) {
		if s.finished() {
			l.index.forget(s)
			delete(l.servers, s.id)
		}
	}
	l.order, l.unturned = slices.DeleteFunc(l.order, (*server).finished), true
	l.number()
}

// byPlace orders servers on the ring of all limiters.
func byPlace(a, b *server) int {
	if a.place != b.place {
		return cmp.Compare(a.place, b.place)
	}
	return cmp.Compare(a.id, b.id)
}

// number gives the servers their places in the order of the ring.
func (l *Controller) number() {
	for i, s := range l.order {
		s.position = i
	}
}
