package limiter

import "log/slog"

const (
	// shutdownLinger is how long clients still come once the end was asked for, nanoseconds.
	shutdownLinger = 500e6
	// finalReadDelay: so long after that no byte of a client is on its way to us.
	finalReadDelay = 200e6
	// lateRequestDelay: a request that comes later than this after the end was asked for is lost where SIGKILL finds it
	// unanswered.
	lateRequestDelay = 700e6
	// maxKillDelay: SIGKILL may come so long after that, or after the longest deadline if that is shorter.
	maxKillDelay = 3e9
	// killMargin is what it takes to answer, and killMarginShare: no more than this part of the longest deadline.
	killMargin        = 200e6
	killMarginDivisor = 4
)

// shutdown is the graceful end of the process.
type shutdown struct {
	lingerUntil int64 // until when clients still come, 0 before the end was asked for
	flushed     bool  // what customers owe the counter was added
}

// answerWindow is how long after the end was asked for all has to be answered: just before SIGKILL may come.
func (l *Limiter) answerWindow() int64 {
	kill := int64(maxKillDelay)
	if longest := l.settings.LongestDeadline; longest > 0 {
		kill = min(kill, longest)
	}
	return lateRequestDelay + kill - min(killMargin, kill/killMarginDivisor)
}

// clientHoldTime is how long past the linger time a client's connection can hold the process.
func (l *Limiter) clientHoldTime() int64 { return l.answerWindow() - shutdownLinger }

// lingerOver tells whether the linger time is over: clients' connections are closed once they are answered.
func (s *shutdown) lingerOver(now int64) bool { return s.lingerUntil != 0 && now >= s.lingerUntil }

// startShutdown begins the end: clients still come for a while, and what was taken is answered.
func (l *Limiter) startShutdown() {
	if l.shutdown.lingerUntil != 0 {
		return
	}
	l.shutdown.lingerUntil = l.now + shutdownLinger
	slog.Info("stopping", "requests", len(l.requests.byID), "clients", l.clients.count)
	l.schedule(l.shutdown.lingerUntil, func() {
		for _, c := range l.connsInOrder() {
			if cl, ok := c.handler.(*client); ok {
				cl.closeWhenAnswered()
			}
		}
	})
	l.schedule(l.shutdown.lingerUntil+finalReadDelay, func() {}) // wakes, to see whether it has finished
	l.schedule(l.shutdown.lingerUntil+l.clientHoldTime()+1, func() {})
}

// tooLateToAnswer: what the process takes now it may not be able to answer. A request that came late is lost if the
// process is killed first.
func (l *Limiter) tooLateToAnswer(budget int64) bool {
	since := l.now - (l.shutdown.lingerUntil - shutdownLinger)
	return l.shutdown.lingerUntil != 0 && since > lateRequestDelay && since+budget > l.answerWindow()
}

// flushIfDone lets the controller add what it owes to the counter, once the process is to end and nothing is out;
// again if a request came after all.
func (l *Limiter) flushIfDone() {
	if l.shutdown.lingerUntil != 0 && l.now >= l.shutdown.lingerUntil && len(l.requests.byID) == 0 &&
		!l.shutdown.flushed {
		l.shutdown.flushed = true
		l.controller.ShutDown(l.now)
		l.deliverResults()
	}
}

// Finished tells whether nothing is left to do after Stopping.
func (l *Limiter) Finished() bool {
	// An attempt that is out may still tell the true units, if its client has gone as well; it ends by its deadline.
	if l.shutdown.lingerUntil == 0 || l.now < l.shutdown.lingerUntil+finalReadDelay || !l.shutdown.flushed ||
		l.counter.hasPendingCalls() {
		return false
	}
	return l.Overdue() || l.clients.count == 0 && !l.effects.HasBacklog()
}

// Overdue tells whether SIGKILL may come soon: no client can hold the process any longer. All that was taken is
// answered by then, and who has an answer to read has had time to. A process that stood still first reads what has
// come meanwhile.
func (l *Limiter) Overdue() bool {
	return l.shutdown.lingerUntil != 0 &&
		l.now > max(
			l.shutdown.lingerUntil+l.clientHoldTime(),
			l.requests.lastEnd+killMargin,
			l.suspension.timersBlockedUntil,
		)
}
