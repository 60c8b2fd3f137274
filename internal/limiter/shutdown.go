package limiter

import "log/slog"

const (
	// shutdownLinger is how long clients may still connect after a shutdown was requested, nanoseconds.
	shutdownLinger = 500e6
	// finalReadDelay is how long after shutdownLinger bytes that a client sent may still arrive, nanoseconds.
	finalReadDelay = 200e6
	// lateRequestDelay: a request that comes longer than this after the shutdown was requested is lost if SIGKILL comes
	// before its answer. Nanoseconds.
	lateRequestDelay = 700e6
	// maxKillDelay: SIGKILL may come this long after lateRequestDelay, or the longest deadline after it if that is
	// shorter. Nanoseconds.
	maxKillDelay = 3e9
	// killMargin is the time reserved to write answers, nanoseconds. It is shorter where the longest deadline is:
	// at most that divided by killMarginDivisor.
	killMargin        = 200e6
	killMarginDivisor = 4
)

// shutdown is the state of the graceful shutdown.
type shutdown struct {
	lingerUntil int64 // until when clients may still connect, 0 before a shutdown is requested
	flushed     bool  // the controller has added what customers owe to the counter
}

// answerWindow is how long after the shutdown was requested everything has to be answered: just before SIGKILL may
// come.
func (l *Limiter) answerWindow() int64 {
	kill := int64(maxKillDelay)
	if longest := l.settings.LongestDeadline; longest > 0 {
		kill = min(kill, longest)
	}
	return lateRequestDelay + kill - min(killMargin, kill/killMarginDivisor)
}

// clientHoldTime is how long after shutdownLinger a client's connection can delay the end of the process.
func (l *Limiter) clientHoldTime() int64 { return l.answerWindow() - shutdownLinger }

// lingerOver tells whether shutdownLinger has passed: clients' connections are closed once they are answered.
func (s *shutdown) lingerOver(now int64) bool { return s.lingerUntil != 0 && now >= s.lingerUntil }

// startShutdown begins the shutdown. Clients may still connect for a while, and accepted requests are answered.
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
	// These timers only cause a Step, after which the caller asks for Finished.
	l.schedule(l.shutdown.lingerUntil+finalReadDelay, func() {})
	l.schedule(l.shutdown.lingerUntil+l.clientHoldTime()+1, func() {})
}

// tooLateToAnswer tells whether a request with this budget, in nanoseconds, may end after SIGKILL. A request that comes
// late in the shutdown is lost if the process is killed before its answer.
func (l *Limiter) tooLateToAnswer(budget int64) bool {
	since := l.now - (l.shutdown.lingerUntil - shutdownLinger)
	return l.shutdown.lingerUntil != 0 && since > lateRequestDelay && since+budget > l.answerWindow()
}

// flushIfDone has the controller add what customers owe to the counter once shutdownLinger has passed and no request is
// held; again if another request came.
func (l *Limiter) flushIfDone() {
	if l.shutdown.lingerUntil != 0 && l.now >= l.shutdown.lingerUntil && len(l.requests.byID) == 0 &&
		!l.shutdown.flushed {
		l.shutdown.flushed = true
		l.controller.ShutDown(l.now)
		l.deliverResults()
	}
}

// Finished tells whether the process may end after ShutdownRequested.
func (l *Limiter) Finished() bool {
	// An open attempt whose client has disconnected may still bring the actual units; it ends by its deadline.
	if l.shutdown.lingerUntil == 0 || l.now < l.shutdown.lingerUntil+finalReadDelay || !l.shutdown.flushed ||
		l.counter.hasPendingCalls() {
		return false
	}
	return l.Overdue() || l.clients.count == 0 && !l.effects.HasBacklog()
}

// Overdue tells whether SIGKILL may come soon, so that clients can no longer delay the end of the process. By then all
// accepted requests are answered and their clients have had time to read. After a suspension, received data is read
// first.
func (l *Limiter) Overdue() bool {
	return l.shutdown.lingerUntil != 0 &&
		l.now > max(
			l.shutdown.lingerUntil+l.clientHoldTime(),
			l.requests.lastEnd+killMargin,
			l.suspension.timersBlockedUntil,
		)
}
