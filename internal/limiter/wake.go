package limiter

import (
	"log"
	"math"
)

// The process may stand still for long, stopped or without a processor, and finds on waking that all its timers are due,
// that clients' requests have waited unread, and that the list may have changed. What it was told meanwhile counts.

const (
	standsStill = 2     // so many dial time-outs without an event are none that the timers allow
	stillLeast  = 250e6 // nor are so many nanoseconds,
	spare       = 50e6  // but so many beyond the grace in which news has to be acted on are, where the settings tell it
	settles     = 8     // for this part of the time between visits what has come meanwhile is read, and no timer runs
	countsFrom  = 2e9   // where discovery is asked, what it had to tell in less than this is in the kernel, or not told
)

// wake is what the limiter knows of the latest time for which it stood still.
type wake struct {
	begun  bool  // something has happened
	at     int64 // when it ended
	slept  int64 // how long it was
	blind  int64 // until when no timer runs
	doubts bool  // the list may have changed meanwhile, and no attempt goes out
	held   []func()
	limit  *timer
}

// visits is how often clients are visited, so that something happens: in a dial time-out or in the grace, if that is shorter.
func (l *Limiter) visits() int64 {
	if l.set.DrainGrace > 0 {
		return min(l.set.DialTimeout, max(l.set.DrainGrace, spare))
	}
	return l.set.DialTimeout
}

// still is the longest time without an event that is no standing still. What the process was told in it may be read behind
// a request, so it must not be longer than the grace.
func (l *Limiter) still() int64 {
	still := max(standsStill*l.set.DialTimeout, stillLeast)
	if l.set.DrainGrace > 0 {
		still = min(still, max(l.set.DrainGrace, l.visits()+spare))
	}
	return still
}

// looked moves the clock on.
func (l *Limiter) looked(now int64) {
	gap, first := now-l.now, !l.wake.begun
	l.now, l.wake.begun = now, true
	if first || gap <= l.still() { // what a start takes is no standing still
		return
	}
	w := &l.wake
	w.at, w.slept, w.blind, w.doubts = now, gap, now+l.visits()/settles, true
	log.Printf("event=woken still_ms=%d", gap/1e6)
	l.timers.drop(w.limit)
	w.limit = l.at(now+l.watch.pace.DialTimeout(), l.trust) // what is held then must do: a list service that is down stops nothing
	if (l.set.PollInterval == 0 || gap >= countsFrom) && !l.start.budgeted() {
		l.watch.anew()
	} else { // the answer of the call that is out is in the kernel, if there is one
		l.timers.drop(w.limit)
		w.limit = l.at(w.blind, l.trust)
	}
}

// sure does something at once, or where the list is in doubt once it is not.
func (l *Limiter) sure(do func()) {
	if l.wake.doubts {
		l.wake.held = append(l.wake.held, do)
	} else {
		do()
	}
}

// trust lets go what waited for the list.
func (l *Limiter) trust() {
	l.timers.drop(l.wake.limit)
	l.wake.doubts = false
	held := l.wake.held
	l.wake.held = nil
	for _, do := range held {
		do()
	}
}

// age is how long a request that is read now may have waited to be read.
func (l *Limiter) age() int64 {
	if l.wake.slept == 0 || l.now >= l.wake.at+l.visits()/settles {
		return 0
	}
	return l.wake.slept + l.now - l.wake.at
}

// stale: longer ago than the doubt and the dialling of a process that runs may take, or past the time for which servers
// know the request again by an earlier attempt, or in no group with that one. The module is to decide anew.
func (att *attempt) stale() bool {
	now := att.backend.pool.l.now
	return now-att.at > standsStill*att.backend.pool.l.set.DialTimeout || now >= att.known()
}

// known is until when the server would know the request again by each earlier attempt that may have run: 0 if it does not by one,
// and without end where none has. What counts is where an earlier attempt was written, wherever a list has its server now.
func (att *attempt) known() int64 {
	q, until := att.request, int64(math.MaxInt64)
	for _, e := range q.attempts[:att.number] {
		if q.repeats > 0 && e.last > 0 && !e.never {
			if until = min(until, e.at+q.repeats); !e.place.same(q.group, att.backend.pool.place) {
				return 0
			}
		}
	}
	return until
}
