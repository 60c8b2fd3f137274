package choice

import "math"

// reject answers a request finally: it had no effect. retryAfter is in nanoseconds; it is prolonged at random, since
// clients that were told the same time would come back together.
func (c *Controller) reject(now int64, req *request, retryAfter int64, reason RejectReason) {
	req.setState(stateRejected)
	jitter := int64(c.random.Float64() * float64(c.tickInterval))
	retryAfter = max(c.settings.TimerResolution, retryAfter) + jitter
	c.effects.Reject(req.id, min(retryAfter, c.settings.MaxRetryAfter), reason)
	c.removeIfDone(now, req)
}

// rejectOrFail ends a request that cannot be served: rejected where it is known to have had no effect, or where
// running it again is harmless, else failed.
func (c *Controller) rejectOrFail(now int64, req *request) {
	class := req.class
	scoped := class.Idempotency == IdempotentWithKey && class.DeduplicationScope != ScopeAll
	if req.mayHaveRun() && (class.Idempotency == NonIdempotent || scoped) {
		req.setState(stateFailed)
		c.effects.Fail(req.id)
		c.removeIfDone(now, req)
		return
	}
	c.reject(now, req, c.capacityRetryAfter(), RejectedForAttempts)
}

// capacityRetryAfter is the Retry-After of a request for which no server has capacity, in nanoseconds: when what is in
// flight will be done.
func (c *Controller) capacityRetryAfter() int64 {
	if c.concurrency.reportedAt > 0 {
		return max(c.tickInterval, nanoseconds(math.Exp(c.concurrency.meanResidence)))
	}
	return max(c.tickInterval, c.settings.DialTimeout)
}
