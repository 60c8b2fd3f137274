package limiter

import "log/slog"

// A process may be suspended: stopped by a signal or left without a processor. When it resumes, all its timers are due,
// clients' requests have waited unread and the endpoint list may have changed. Changes that discovery sent in the
// meantime count as notified although the limiter has not read them.

const (
	// suspensionDialTimeouts is how many dial timeouts may pass without an event: timers fire more often than that.
	suspensionDialTimeouts = 2
	// minSuspension is the lower bound of suspensionThreshold where no drain grace is set, nanoseconds.
	minSuspension = 250e6
	// drainGraceMargin is the shortest reapInterval where a drain grace is set, and how far suspensionThreshold is
	// above reapInterval at least, nanoseconds.
	drainGraceMargin = 50e6
	// timerBlockDivisor: after a suspension no timer runs for reapInterval divided by this, so that received data is
	// read first.
	timerBlockDivisor = 8
	// minSuspensionToRevalidate: where discovery is polled, changes made during a shorter suspension have been received
	// by the kernel or do not count as notified yet, so no new poll is needed. Nanoseconds.
	minSuspensionToRevalidate = 2e9
)

// suspension describes the latest suspension of the process. Times are nanoseconds of the limiter's clock.
type suspension struct {
	clockStarted       bool  // Step has been called at least once
	wokeAt             int64 // when the process resumed, 0 before the first suspension
	duration           int64 // how long the suspension lasted
	timersBlockedUntil int64 // no timer runs before this time
	listMayBeStale     bool  // the list may have changed during the suspension; attempts are deferred
	deferredSends      []func()
	listCurrentTimer   *timer
}

// reapInterval is how often clients are checked, which also makes sure that events keep coming: each dial timeout, or
// each drain grace if that is shorter.
func (l *Limiter) reapInterval() int64 {
	if l.settings.DrainGrace > 0 {
		return min(l.settings.DialTimeout, max(l.settings.DrainGrace, drainGraceMargin))
	}
	return l.settings.DialTimeout
}

// suspensionThreshold is the longest gap between events that does not count as a suspension. A list change that arrived
// in the gap may be read after a request, so the threshold must not exceed the drain grace.
func (l *Limiter) suspensionThreshold() int64 {
	threshold := max(suspensionDialTimeouts*l.settings.DialTimeout, minSuspension)
	if l.settings.DrainGrace > 0 {
		threshold = min(threshold, max(l.settings.DrainGrace, l.reapInterval()+drainGraceMargin))
	}
	return threshold
}

// observeClock advances the clock and detects a suspension.
func (l *Limiter) observeClock(now int64) {
	gap := now - l.now
	firstEvent := !l.suspension.clockStarted
	l.now = now
	l.suspension.clockStarted = true
	if firstEvent || gap <= l.suspensionThreshold() { // the time that a start takes is no suspension
		return
	}
	state := &l.suspension
	state.wokeAt, state.duration, state.timersBlockedUntil, state.listMayBeStale =
		now, gap, now+l.reapInterval()/timerBlockDivisor, true
	slog.Warn("woken", "still_ms", gap/1e6)
	l.servers.closeOverduePartialWrites()
	l.timers.cancel(state.listCurrentTimer)
	// If discovery does not answer within a dial timeout, the present list is used: an unavailable discovery stops
	// nothing.
	state.listCurrentTimer = l.schedule(now+l.discovery.pacer.DialTimeout(), l.markListCurrent)
	if (l.settings.PollInterval == 0 || gap >= minSuspensionToRevalidate) && !l.coldStart.hasCallRate() {
		l.discovery.revalidate()
	} else { // the answer to the outstanding call, if there is one, is in the kernel
		l.timers.cancel(state.listCurrentTimer)
		state.listCurrentTimer = l.schedule(state.timersBlockedUntil, l.markListCurrent)
	}
}

// whenListCurrent runs send now, or once markListCurrent is called if the list may be stale.
func (l *Limiter) whenListCurrent(send func()) {
	if l.suspension.listMayBeStale {
		l.suspension.deferredSends = append(l.suspension.deferredSends, send)
	} else {
		send()
	}
}

// markListCurrent ends the wait for the list and runs the deferred sends.
func (l *Limiter) markListCurrent() {
	l.timers.cancel(l.suspension.listCurrentTimer)
	l.suspension.listMayBeStale = false
	deferred := l.suspension.deferredSends
	l.suspension.deferredSends = nil
	for _, send := range deferred {
		send()
	}
}

// readDelay is the longest time for which a request that is read now may have waited unread because of a suspension,
// nanoseconds.
func (l *Limiter) readDelay() int64 {
	if l.suspension.duration == 0 || l.now >= l.suspension.wokeAt+l.reapInterval()/timerBlockDivisor {
		return 0
	}
	return l.suspension.duration + l.now - l.suspension.wokeAt
}
