package choice

import "math"

const (
	// requestsPerRetry: the retry budget grows by one retry for so many requests.
	requestsPerRetry = 10
	// lostFactor is how many times as long as it should take an attempt must be in flight to be taken for lost.
	lostFactor = 4
	// minLostDivisor: but not before this part of the latency objective.
	minLostDivisor = 4
)

// retryBudget bounds the retries by the requests: retries of many limiters would overload servers that are slow
// already.
type retryBudget struct {
	retries float64 // that may be made now
}

func newRetryBudget() retryBudget { return retryBudget{retries: 1} }

// available tells whether a retry may be made.
func (b *retryBudget) available() bool { return b.retries >= 1 }

// spend takes one retry.
func (b *retryBudget) spend() { b.retries-- }

// requestSent adds what a first attempt brings, up to one retry a server.
func (b *retryBudget) requestSent(servers int) {
	b.retries = math.Min(b.retries+1.0/requestsPerRetry, float64(servers))
}

// retriesSucceeded gives retries back that brought a prompt answer: where some servers are bad and others good, more may follow.
func (b *retryBudget) retriesSucceeded(retries int) { b.retries += float64(retries) }

// deduplicates tells whether a server would drop the repeat of a request with an idempotency key that may have run by
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

// mayRunAfter tells whether a request may be sent to a server after an earlier attempt, as far as its idempotency key
// goes.
func mayRunAfter(now int64, earlier *attempt, s *server) bool {
	class := earlier.request.class
	return !earlier.mayHaveRun || class.Idempotency != IdempotentWithKey || class.deduplicates(now, earlier, s)
}

// retry sends a further attempt where the class, the time, the attempts left and the retry budget allow it.
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

// cancelLost cancels an attempt whose answer is lost, or whose server is ejected or gone. It is sent again once its
// end is known.
func (c *Controller) cancelLost(now int64, a *attempt) {
	s := a.server
	req := a.request
	lost := c.isLost(now, a)
	if req.state != stateInFlight || req.class.Idempotency == NonIdempotent || !c.settings.CanCancel {
		return
	}
	if lost && now-req.attempts[0].sentAt > req.class.LatencyObjective {
		// A late answer is worth nothing: the server and the client are spared it.
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

// isLost tells whether an attempt's answer is likely not to come, whether its server lives or not: it is in flight for
// many times as long as a request of its size takes there, while the answers that do come are prompt.
func (c *Controller) isLost(now int64, a *attempt) bool {
	s := a.server
	if s.pace.units <= 0 || !c.concurrency.answersArePrompt() {
		return false
	}
	expected := nanoseconds(lostFactor * a.request.units * s.pace.seconds / s.pace.units)
	return now-a.sentAt > max(expected, a.request.class.LatencyObjective/minLostDivisor)
}
