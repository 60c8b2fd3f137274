// Package choice decides about the requests of one limiter: whether a request is admitted, which server it is sent to,
// whether it is retried, and what is added to the customer's count on the shared counter.
//
// A Controller is driven by its methods, each of which takes the current time, and acts through Effects. Its callers
// are internal/limiter, over sockets, and internal/simwire, over the simulator's wire protocol. It does no I/O, starts
// no goroutine, and draws random numbers from the given seed. All times and durations are whole nanoseconds of the
// caller's clock.
//
// A request usually passes through Reserve and Reconcile (docs/design.md). The Controller asks its parts in this order:
// the customer's account for the hard ceiling (account.go), the counter windows for the quota (reservation.go, sampled
// by counter_sampling.go), the concurrency limits for capacity (concurrency.go), the server subset and the rotation for
// a server (subset.go, rotation.go). Slow start, outlier detection, retries and rejection have a file each; request.go
// is a request's state machine.
package choice

import (
	"math/rand"
	"slices"
)

// ticksPerObjective is the number of ticks in the shortest latency objective.
const ticksPerObjective = 20

// tickTimer is the token of the periodic tick's timer. Positive tokens belong to the deadlines of requests.
const tickTimer = 0

// Controller is the admission controller of one limiter. It is not safe for concurrent use.
type Controller struct {
	settings     *Settings
	effects      Effects
	random       *rand.Rand
	startedAt    int64
	tickInterval int64
	lastTick     int64

	requests     requestTable
	accounts     accountTable
	reservations reservations
	sampling     counterSampling
	slowStart    slowStart
	servers      serverSet
	concurrency  concurrencyLimits
	rotation     rotation
	outliers     outlierDetector
	retries      retryBudget

	candidates []*server // buffer that eligibleServers reuses
}

// New returns a controller without servers and customers, and sets the timer of its first tick.
func New(now int64, settings *Settings, seed int64, effects Effects) *Controller {
	random := rand.New(rand.NewSource(seed))
	c := &Controller{
		settings: settings, effects: effects, random: random, startedAt: now,
		tickInterval: max(settings.shortestObjective()/ticksPerObjective, settings.TimerResolution),
		requests:     newRequestTable(),
		accounts:     newAccountTable(settings, now),
		reservations: newReservations(settings, effects),
		sampling:     newCounterSampling(random),
		slowStart:    slowStart{settings: settings, random: random},
		retries:      newRetryBudget(),
	}
	c.accounts.flush = c.reservations.flush
	c.servers = newServerSet(settings, &c.slowStart)
	c.concurrency = newConcurrencyLimits(settings, &c.servers)
	c.rotation.slowStart = &c.slowStart
	c.outliers = outlierDetector{settings: settings, effects: effects, servers: &c.servers, slowStart: &c.slowStart,
		tickInterval: c.tickInterval}
	effects.SetTimer(now+c.tickInterval, tickTimer)
	return c
}

// ReadyAt returns when this limiter's part of each ceiling holds the largest request, at most SlowStartWindow after the
// start. Before that, customers inside their quotas are rejected for what an earlier incarnation of this limiter may
// have sent; clients that can wait should.
func (c *Controller) ReadyAt() int64 {
	at := c.startedAt
	for _, plan := range c.settings.Plans {
		if plan.CeilingRate > 0 {
			needed := min(plan.CeilingBurst, c.settings.MaxRequestUnits*float64(c.settings.Limiters))
			at = max(at, c.startedAt+min(nanoseconds(needed/plan.CeilingRate), c.settings.SlowStartWindow))
		}
	}
	return at
}

// UpdateEndpoints applies an endpoint list: a complete one, or only the changed entries.
func (c *Controller) UpdateEndpoints(now int64, complete bool, endpoints []Endpoint) {
	if complete {
		c.servers.markAllGone()
	}
	for i := range endpoints {
		c.updateEndpoint(now, &endpoints[i])
	}
	if complete {
		c.servers.reindexAll(now)
	}
	c.concurrency.initializeInFlightLimit()
	if c.servers.ringOutdated {
		c.servers.sortRing()
	}
}

// RequestArrived handles a request from a client: it reserves the request's units on the counter, or decides by the
// local quota if the counter is not called.
func (c *Controller) RequestArrived(now int64, arrival Arrival) {
	req := &request{
		id: arrival.ID, class: c.settings.Classes[arrival.Class], units: arrival.Units, charge: arrival.Units,
		deadline: now + arrival.Timeout - 2*c.settings.TimerResolution,
	}
	c.requests.add(req)
	plan := c.settings.Plans[arrival.Plan]
	if plan == nil || req.class == nil {
		// An unknown plan grants no quota, and the request loses nothing by being retried.
		c.reject(now, req, c.settings.MaxRetryAfter, RejectedForPlan)
		return
	}
	counterKnown := c.settings.CounterTimeout == 0 || c.sampling.everAnswered()
	req.account = c.accounts.getOrCreate(now, arrival, plan, counterKnown)
	if req.account == nil {
		c.reject(now, req, c.settings.MaxRetryAfter, RejectedForAccounts)
		return
	}
	req.account.requestStarted()
	if req.deadline <= now || len(c.eligibleServers(now, req)) == 0 {
		c.reject(now, req, c.capacityRetryAfter(), RejectedForCapacity)
		return
	}
	if wait := req.account.ceilingWait(now, req.units); wait > 0 {
		c.reject(now, req, wait, RejectedForCeiling)
		return
	}
	c.effects.SetTimer(req.deadline, req.timer)
	c.checkQuota(now, req)
}

// Expire ends a request before its deadline, when answers that are due have to wait for its answer.
func (c *Controller) Expire(now int64, id string) {
	if req := c.requests.byID[id]; req != nil && !req.ended() {
		c.rejectOrFail(now, req)
	}
}

// checkQuota reserves the request's charge on the counter, or decides by the local quota if the counter is not called.
func (c *Controller) checkQuota(now int64, req *request) {
	acct := req.account
	if acct.sharedQuota.rate <= 0 {
		c.admit(now, req)
		return
	}
	if acct.plan.Rate <= 0 {
		req.charge = 1
	}
	if c.shouldCallCounter(now, req) {
		c.reservations.reserve(now, req)
		return
	}
	c.decideByLocalQuota(now, req)
}

// shouldCallCounter reports whether to call the counter for the request. It does not for a customer known to be out of
// units: the bucket kept here refills at the whole rate, so the true quota holds no more, except for what other
// limiters add back. A call that has units to add back is made all the same: until then, the other limiters go by a
// total that is too high.
func (c *Controller) shouldCallCounter(now int64, req *request) bool {
	acct := req.account
	exhausted := acct.sharedQuota.refill(now) < req.charge && acct.window.pendingAdjustment >= 0
	if c.settings.CounterTimeout == 0 || exhausted && acct.window.observed {
		return false
	}
	return !c.sampling.reduced() || !exhausted && c.sampling.includes(acct)
}

// decideByLocalQuota admits or rejects a request by the local quota, when the counter is not called or does not answer.
func (c *Controller) decideByLocalQuota(now int64, req *request) {
	quota := &req.account.localQuota
	if quota.refill(now) < req.charge {
		c.reject(now, req, min(quota.waitFor(req.charge), c.capacityRetryAfter()), RejectedForLocalQuota)
		return
	}
	c.admit(now, req)
}

// admit sends the first attempt if the ceiling and a server have capacity. The ceiling is checked again because other
// requests may have been sent while this one waited for the counter.
func (c *Controller) admit(now int64, req *request) {
	if wait := req.account.ceilingWait(now, req.units); wait > 0 {
		c.releaseAndReject(now, req, wait, RejectedForCeiling)
		return
	}
	s := c.pickServer(now, req)
	if s == nil {
		c.releaseAndReject(now, req, c.capacityRetryAfter(), RejectedForCapacity)
		return
	}
	req.account.charge(now, req)
	c.reservations.deferCharge(now, req)
	c.retries.requestSent(c.servers.count())
	req.setState(stateInFlight)
	c.send(now, req, s)
}

func (c *Controller) releaseAndReject(now int64, req *request, retryAfter int64, reason RejectReason) {
	c.reservations.release(now, req, req.charge)
	c.reject(now, req, retryAfter, reason)
}

// send sends the request's next attempt to a server.
func (c *Controller) send(now int64, req *request, s *server) {
	s.attemptStarted(req.addAttempt(now, s))
	c.servers.reindex(now, s)
	c.effects.Send(req.id, s.id)
}

// CounterReplied handles the counter's reply to the oldest call on a name. total is the name's total after the add; it
// is valid if outcome is Succeeded.
func (c *Controller) CounterReplied(now int64, name uint64, outcome Outcome, total float64) {
	call, found := c.reservations.popOldestCall(name)
	if !found {
		return
	}
	if outcome != Succeeded {
		c.counterFailed(now, call, outcome)
		return
	}
	c.sampling.answered()
	c.reservations.observe(now, call, name, total)
	if !call.background {
		c.decideByQuota(now, call.request)
	}
}

// counterFailed handles a call without a total. A request that waits for it is decided by the local quota.
func (c *Controller) counterFailed(now int64, call counterCall, outcome Outcome) {
	c.sampling.failed(outcome)
	c.reservations.failed(call, outcome)
	if call.request.state == stateReserving { // otherwise it was a background call, or the request has ended
		c.decideByLocalQuota(now, call.request)
	}
}

// decideByQuota admits a request that was reserved on the counter if the customer's quota covers it; otherwise it
// releases the reservation and rejects the request.
func (c *Controller) decideByQuota(now int64, req *request) {
	quota := &req.account.sharedQuota
	waiting := req.state == stateReserving
	if waiting && quota.tokens >= req.charge {
		c.admit(now, req)
		return
	}
	c.reservations.release(now, req, req.charge)
	if waiting {
		c.reject(now, req, quota.waitFor(req.charge), RejectedForQuota)
	}
}

// AttemptDone handles the end of an attempt.
func (c *Controller) AttemptDone(now int64, result AttemptResult) {
	req := c.requests.byID[result.Request]
	if req == nil {
		return
	}
	a := req.openAttempt(result.Attempt)
	if a == nil {
		return
	}
	req.endAttempt(a, result.Outcome)
	c.recordResult(now, a, &result)
	if result.Outcome == Succeeded { // also if the client has disconnected
		c.reservations.reconcile(now, req, result.ActualUnits, c.sampling.reduced())
	}
	if result.Final && !req.ended() {
		c.finish(req, a, result.Outcome)
	}
	if req.ended() {
		c.removeIfDone(now, req)
		return
	}
	if req.openAttempts == 0 && !c.retry(now, req) {
		c.rejectOrFail(now, req)
	}
}

// finish ends a request whose client has received its final answer.
func (c *Controller) finish(req *request, a *attempt, outcome Outcome) {
	if outcome != Succeeded {
		req.setState(stateClientGone)
		return
	}
	if !a.overdue {
		c.retries.retriesSucceeded(len(req.attempts) - 1)
	}
	req.setState(stateAnswered)
}

// recordResult updates the limits and the record of the server that the attempt was sent to.
func (c *Controller) recordResult(now int64, a *attempt, result *AttemptResult) {
	s := a.server
	c.concurrency.checkOverdue(now, a)
	s.attemptEnded(a)
	switch result.Outcome {
	case Succeeded:
		if c.outliers.succeeded(now, s) {
			c.effects.Log("server " + s.id + " answers again")
		}
		c.concurrency.observeLoad(now, &result.Load)
		c.rotation.observe(s, result.Duration, a.request.units)
		c.concurrency.succeeded(a)
	case Overloaded:
		s.health.lastSeenAlive = now
		c.concurrency.rejected(a, now+c.tickInterval)
	case ServerError, ConnectFailed, ConnectionLost, Cancelled:
		// The duration is not observed: a server that fails is quick at it, and would attract all requests.
		c.outliers.failed(now, s, result.Outcome)
	case TimedOut, NotAttempted: // checkSilent covers TimedOut; NotAttempted says nothing about the server
	}
	c.concurrency.applyMinLimit(s)
	c.servers.reindex(now, s)
}

// HealthCheckDone handles the result of a health check.
func (c *Controller) HealthCheckDone(now int64, id string, outcome Outcome) {
	if s := c.servers.byID[id]; s != nil {
		c.outliers.healthCheckDone(now, s, outcome)
	}
}

// ClientDisconnected handles the loss of a request's client.
func (c *Controller) ClientDisconnected(now int64, id string) {
	if req := c.requests.byID[id]; req != nil && !req.ended() {
		req.setState(stateClientGone)
		c.removeIfDone(now, req)
	}
}

// ShutDown is called when the process ends with nothing in flight. It adds the customers' pending adjustments to their
// counts, as no later call will carry them.
func (c *Controller) ShutDown(now int64) {
	for _, customer := range c.accounts.customers() {
		c.reservations.flush(now, c.accounts.byCustomer[customer])
	}
}

// TimerFired handles a timer that was set through Effects.SetTimer.
func (c *Controller) TimerFired(now, token int64) {
	if token == tickTimer {
		c.tick(now)
		c.lastTick = now
		c.accounts.evictUnused(now)
		c.effects.SetTimer(now+c.tickInterval, tickTimer)
		return
	}
	if req := c.requests.byTimer[token]; req != nil && now >= req.deadline {
		c.rejectOrFail(now, req)
	}
}

// tick checks the servers in use: it ejects those that are silent, reinstates others, and cancels lost attempts.
func (c *Controller) tick(now int64) {
	c.servers.removeFinished()
	c.concurrency.decayMean()
	c.rotation.updateSubsetWeight(now, &c.servers)
	inUse := c.servers.index.activeInOrder()
	for _, s := range inUse {
		c.checkServer(now, s)
	}
	for _, s := range inUse {
		for _, a := range slices.Clone(s.attempts) { // cancelling may remove attempts
			c.cancelLost(now, a)
		}
	}
}

// checkServer updates the limits and the health of one server in use.
func (c *Controller) checkServer(now int64, s *server) {
	for _, a := range s.attempts {
		c.concurrency.checkOverdue(now, a)
	}
	switch {
	case s.state != EndpointReady:
	case s.health.state == ejected:
		c.outliers.checkEjected(now, s)
	default:
		c.concurrency.sample(s)
		c.outliers.checkSilent(now, s)
	}
}
