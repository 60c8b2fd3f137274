package limiter

import "log/slog"

// The process may stand still for long, stopped or without a processor, and finds on waking that all its timers are
// due, that clients' requests have waited unread, and that the list may have changed. What it was told meanwhile
// counts.

const (
	maxQuietDialTimeouts = 2     // so many dial time-outs without an event are none that the timers allow
	minQuietTime         = 250e6 // nor are so many nanoseconds,
	// but so many beyond the grace in which news has to be acted on are, where the settings tell it
	graceMargin = 50e6
	// for this part of the time between visits what has come meanwhile is read, and no timer runs
	settleShare = 8
	// where discovery is asked, what it had to tell in less than this is in the kernel, or not told
	minMissedNews = 2e9
)

// suspension is what the limiter knows of the latest time for which it stood still.
type suspension struct {
	started            bool  // something has happened
	wokeAt             int64 // when it ended
	duration           int64 // how long it was
	timersBlockedUntil int64 // until when no timer runs
	listInDoubt        bool  // the list may have changed meanwhile, and no attempt goes out
	heldActions        []func()
	trustTimer         *timer
}

// reapInterval is how often clients are visited, so that something happens: in a dial time-out or in the grace, if
// that is shorter.
func (l *Limiter) reapInterval() int64 {
	if l.settings.DrainGrace > 0 {
		return min(l.settings.DialTimeout, max(l.settings.DrainGrace, graceMargin))
	}
	return l.settings.DialTimeout
}

// maxQuietTime is the longest time without an event that is no suspension. What the process was told in it
// may be read behind a request, so it must not be longer than the grace.
func (l *Limiter) maxQuietTime() int64 {
	still := max(maxQuietDialTimeouts*l.settings.DialTimeout, minQuietTime)
	if l.settings.DrainGrace > 0 {
		still = min(still, max(l.settings.DrainGrace, l.reapInterval()+graceMargin))
	}
	return still
}

// observeClock moves the clock on.
func (l *Limiter) observeClock(now int64) {
	gap := now - l.now
	first := !l.suspension.started
	l.now = now
	l.suspension.started = true
	if first || gap <= l.maxQuietTime() { // what a start takes is no standing still
		return
	}
	w := &l.suspension
	w.wokeAt, w.duration, w.timersBlockedUntil, w.listInDoubt = now, gap, now+l.reapInterval()/settleShare, true
	slog.Warn("woken", "still_ms", gap/1e6)
	l.servers.closeOverdueParts()
	l.timers.cancel(w.trustTimer)
	// what is held then must do: a list service that is down stops nothing
	w.trustTimer = l.schedule(now+l.discovery.pacer.DialTimeout(), l.trustList)
	if (l.settings.PollInterval == 0 || gap >= minMissedNews) && !l.coldStart.hasCallRate() {
		l.discovery.revalidate()
	} else { // the answer of the call that is out is in the kernel, if there is one
		l.timers.cancel(w.trustTimer)
		w.trustTimer = l.schedule(w.timersBlockedUntil, l.trustList)
	}
}

// whenListTrusted does something at once, or where the list is in doubt once it is not.
func (l *Limiter) whenListTrusted(do func()) {
	if l.suspension.listInDoubt {
		l.suspension.heldActions = append(l.suspension.heldActions, do)
	} else {
		do()
	}
}

// trustList lets go what waited for the list.
func (l *Limiter) trustList() {
	l.timers.cancel(l.suspension.trustTimer)
	l.suspension.listInDoubt = false
	held := l.suspension.heldActions
	l.suspension.heldActions = nil
	for _, do := range held {
		do()
	}
}

// readDelay is how long a request that is read now may have waited to be read.
func (l *Limiter) readDelay() int64 {
	if l.suspension.duration == 0 || l.now >= l.suspension.wokeAt+l.reapInterval()/settleShare {
		return 0
	}
	return l.suspension.duration + l.now - l.suspension.wokeAt
}
