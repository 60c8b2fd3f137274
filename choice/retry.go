package choice

import "math"

const (
	// requestsPerRetry is how many requests add one retry to the retry budget.
	requestsPerRetry = 10
	// lostFactor is how many times its expected duration an attempt must be in flight to count as lost.
	lostFactor = 4
	// minLostDivisor divides the latency objective to give the minimum time after which an attempt counts as lost.
	minLostDivisor = 4
)

// retryBudget limits retries to a share of the requests: the retries of many limiters would overload servers that are
// slow already.
type retryBudget struct {
	retries float64 // retries that may be sent now
}

func newRetryBudget() retryBudget { return retryBudget{retries: 1} }

// available reports whether a retry may be sent.
func (b *retryBudget) available() bool { return b.retries >= 1 }

// spend uses one retry.
func (b *retryBudget) spend() { b.retries-- }

// requestSent adds to the budget for a first attempt, up to one retry per server.
func (b *retryBudget) requestSent(servers int) {
	b.retries = math.Min(b.retries+1.0/requestsPerRetry, float64(servers))
}

// retriesSucceeded returns to the budget the retries that led to a prompt answer: if some servers are bad and others
// good, more retries may follow.
func (b *retryBudget) retriesSucceeded(retries int) { b.retries += float64(retries) }

// deduplicates reports whether a server would drop a repeat of a request with an idempotency key that may have run in
// an earlier attempt.
func (class *Class) deduplicates(now int64, earlier *attempt, s *server) bool {
	var inScope bool
	switch class.DeduplicationScope {
	case ScopeAll:
		inScope = true
	case ScopeZone:
		inScope = earlier.server.zone == s.zone
	case ScopeCell:
		inScope = earlier.server.cell == s.cell
	}
	return inScope && now < earlier.sentAt+class.DeduplicationWindow
}

// mayRunAfter reports whether the idempotency key, if there is one, allows a request to be sent to a server after an
// earlier attempt.
func mayRunAfter(now int64, earlier *attempt, s *server) bool {
	class := earlier.request.class
	return !earlier.mayHaveRun || class.Idempotency != IdempotentWithKey || class.deduplicates(now, earlier, s)
}

// retry sends another attempt if the class, the deadline, the limit on attempts and the retry budget allow it, and
// reports whether it did.
func (c *Controller) retry(now int64, req *request) bool {
	if req.deadline <= now || len(req.attempts) >= c.settings.MaxAttempts ||
		!c.retries.available() || req.openAttempts > 0 {
		return false
	}
	if req.class.Idempotency == NonIdempotent && req.mayHaveRun() {
		return false
	}
	s := c.pickServer(now, req)
	if s == nil {
		return false
	}
	c.retries.spend()
	c.send(now, req, s)
	return true
}

// cancelLost cancels an attempt whose answer is lost, or whose server is ejected or gone. The request is retried once
// the end of the attempt is reported.
func (c *Controller) cancelLost(now int64, a *attempt) {
	s := a.server
	req := a.request
	lost := c.isLost(now, a)
	if req.state != stateInFlight || req.class.Idempotency == NonIdempotent || !c.settings.CanCancel {
		return
	}
	if lost && now-req.attempts[0].sentAt > req.class.LatencyObjective {
		// A late answer is worth nothing, so the request ends now: the server is spared the work and the client the
		// wait.
		c.rejectOrFail(now, req)
		c.effects.Cancel(req.id, a.number)
		return
	}
	unusable := s.health.state == ejected || s.state == EndpointGone || lost
	if !unusable || now-a.sentAt > req.class.LatencyObjective {
		return
	}
	if c.retries.available() && len(c.eligibleServers(now, req)) > 0 {
		c.effects.Cancel(req.id, a.number)
	}
}

// isLost reports whether an attempt's answer is unlikely to come, whether its server is alive or not: the attempt has
// been in flight many times as long as a request of its size takes there, while the answers that do come are prompt.
func (c *Controller) isLost(now int64, a *attempt) bool {
	s := a.server
	if s.pace.units <= 0 || !c.concurrency.answersArePrompt() {
		return false
	}
	expected := nanoseconds(lostFactor * a.request.units * s.pace.seconds / s.pace.units)
	return now-a.sentAt > max(expected, a.request.class.LatencyObjective/minLostDivisor)
}

// maxAbandonedIDLifetime is how long the id of an abandoned request is remembered if some class has no deadline,
// nanoseconds.
const maxAbandonedIDLifetime = 60e9

// AbandonedIDLifetime returns how long, in nanoseconds, the id of a request that may have run is not accepted again
// after its client has left. No client waits for longer than the longest deadline of all classes, 0 for no deadline.
func AbandonedIDLifetime(longestDeadline int64) int64 {
	if longestDeadline == 0 {
		return maxAbandonedIDLifetime
	}
	return longestDeadline
}
