package limiter

import "log/slog"

// The process may stand still for long, stopped or without a processor, and finds on waking that all its timers are
// due, that clients' requests have waited unread, and that the list may have changed. What it was told meanwhile
// counts.

const (
	suspensionDialTimeouts = 2     // so many dial time-outs without an event are none that the timers allow
	minSuspension          = 250e6 // nor are so many nanoseconds,
	// but so many beyond the grace in which news has to be acted on are, where the settings tell it
	drainGraceMargin = 50e6
	// for this part of the time between visits what has come meanwhile is read, and no timer runs
	timerBlockDivisor = 8
	// where discovery is asked, what it had to tell in less than this is in the kernel, or not told
	minSuspensionToRevalidate = 2e9
)

// suspension is what the limiter knows of the latest time for which it stood still.
type suspension struct {
	clockStarted       bool  // something has happened
	wokeAt             int64 // when it ended
	duration           int64 // how long it was
	timersBlockedUntil int64 // until when no timer runs
	listMayBeStale     bool  // the list may have changed meanwhile, and no attempt goes out
	deferredSends      []func()
	listCurrentTimer   *timer
}

// reapInterval is how often clients are visited, so that something happens: in a dial time-out or in the grace, if
// that is shorter.
func (l *Limiter) reapInterval() int64 {
	if l.settings.DrainGrace > 0 {
		return min(l.settings.DialTimeout, max(l.settings.DrainGrace, drainGraceMargin))
	}
	return l.settings.DialTimeout
}

// suspensionThreshold is the longest time without an event that is no suspension. What the process was told in it
// may be read behind a request, so it must not be longer than the grace.
func (l *Limiter) suspensionThreshold() int64 {
	threshold := max(suspensionDialTimeouts*l.settings.DialTimeout, minSuspension)
	if l.settings.DrainGrace > 0 {
		threshold = min(threshold, max(l.settings.DrainGrace, l.reapInterval()+drainGraceMargin))
	}
	return threshold
}

// observeClock moves the clock on.
func (l *Limiter) observeClock(now int64) {
	gap := now - l.now
	firstEvent := !l.suspension.clockStarted
	l.now = now
	l.suspension.clockStarted = true
	if firstEvent || gap <= l.suspensionThreshold() { // what a start takes is no standing still
		return
	}
	state := &l.suspension
	state.wokeAt, state.duration, state.timersBlockedUntil, state.listMayBeStale = now, gap, now+l.reapInterval()/timerBlockDivisor, true
	slog.Warn("woken", "still_ms", gap/1e6)
	l.servers.closeOverduePartialWrites()
	l.timers.cancel(state.listCurrentTimer)
	// what is held then must do: a list service that is down stops nothing
	state.listCurrentTimer = l.schedule(now+l.discovery.pacer.DialTimeout(), l.markListCurrent)
	if (l.settings.PollInterval == 0 || gap >= minSuspensionToRevalidate) && !l.coldStart.hasCallRate() {
		l.discovery.revalidate()
	} else { // the answer of the call that is out is in the kernel, if there is one
		l.timers.cancel(state.listCurrentTimer)
		state.listCurrentTimer = l.schedule(state.timersBlockedUntil, l.markListCurrent)
	}
}

// whenListCurrent does something at once, or where the list is in doubt once it is not.
func (l *Limiter) whenListCurrent(send func()) {
	if l.suspension.listMayBeStale {
		l.suspension.deferredSends = append(l.suspension.deferredSends, send)
	} else {
		send()
	}
}

// markListCurrent lets go what waited for the list.
func (l *Limiter) markListCurrent() {
	l.timers.cancel(l.suspension.listCurrentTimer)
	l.suspension.listMayBeStale = false
	deferred := l.suspension.deferredSends
	l.suspension.deferredSends = nil
	for _, send := range deferred {
		send()
	}
}

// readDelay is how long a request that is read now may have waited to be read.
func (l *Limiter) readDelay() int64 {
	if l.suspension.duration == 0 || l.now >= l.suspension.wokeAt+l.reapInterval()/timerBlockDivisor {
		return 0
	}
	return l.suspension.duration + l.now - l.suspension.wokeAt
}
