package choice

// reject sends a final answer: the request had no effect. retryAfter is in nanoseconds; it is extended by a random
// jitter, so that clients that were given the same time do not return together.
func (c *Controller) reject(now int64, req *request, retryAfter int64, reason RejectReason) {
	req.setState(stateRejected)
	jitter := int64(c.random.Float64() * float64(c.tickInterval))
	retryAfter = max(c.settings.TimerResolution, retryAfter) + jitter
	c.effects.Reject(req.id, min(retryAfter, c.settings.MaxRetryAfter), reason)
	c.removeIfDone(now, req)
}

// rejectOrFail ends a request that cannot be served. It is rejected if it is known to have had no effect or if running
// it again is harmless; otherwise it fails.
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

// capacityRetryAfter is the Retry-After of a request for which no server has capacity, in nanoseconds: the time after
// which the requests in flight should be done.
func (c *Controller) capacityRetryAfter() int64 {
	if c.concurrency.reportedAt > 0 {
		return max(c.tickInterval, nanoseconds(exponential(c.concurrency.meanResidence)))
	}
	return max(c.tickInterval, c.settings.DialTimeout)
}
