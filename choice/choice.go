// Package choice decides about the requests of one limiter: whether a request is admitted, which server gets it,
// whether it is tried again, and what is added to the customer's count on the shared counter.
//
// A Controller is told what happens by its methods, each with the clock, and acts through Effects. Its callers are
// internal/limiter, on sockets, and internal/simwire, on the simulator's wire. It does no I/O, has no goroutine, and
// draws chance from the seed that it is given. All times and durations are whole nanoseconds of the caller's clock.
//
// The ordinary path is Reserve and Reconcile (docs/design.md). The Controller asks its parts in this order: the
// customer's account for the hard ceiling (account.go), the counter windows for the quota (reservation.go, sampled by
// counter_sampling.go), the concurrency limits for capacity (concurrency.go), the server subset and the rotation for a
// server (subset.go, rotation.go). Slow start, outlier detection, retries and rejection have a file each; request.go
// is a request's state machine.
package choice

import (
	"math/rand"
	"slices"
)

// ticksPerObjective is the number of ticks in the shortest latency objective.
const ticksPerObjective = 20

// tickTimer is the token of the regular tick's timer; the others are those of requests' deadlines.
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

	candidates []*server // a buffer of eligibleServers
}

// New makes a controller that knows no server and no customer, and starts its regular tick.
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
	c.servers = newServerSet(settings, &c.slowStart)
	c.concurrency = newConcurrencyLimits(settings, &c.servers)
	c.rotation.slowStart = &c.slowStart
	c.outliers = outlierDetector{settings: settings, effects: effects, servers: &c.servers, slowStart: &c.slowStart,
		tickInterval: c.tickInterval}
	effects.SetTimer(now+c.tickInterval, tickTimer)
	return c
}

// ReadyAt is when this limiter's part of each ceiling holds the largest request. Before that, customers inside their
// quotas are rejected for what a limiter of this name may have sent before this start; clients that can wait should.
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

// UpdateEndpoints takes in the endpoint list: a complete one, or the changes only.
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

// RequestArrived takes a request from a client: it reserves the request's units on the counter, or decides by the
// local quota where it cannot.
func (c *Controller) RequestArrived(now int64, arrival Arrival) {
	req := &request{
		id: arrival.ID, class: c.settings.Classes[arrival.Class], units: arrival.Units, charge: arrival.Units,
		deadline: now + arrival.Timeout - 2*c.settings.TimerResolution,
	}
	c.requests.add(req)
	plan := c.settings.Plans[arrival.Plan]
	if plan == nil || req.class == nil {
		// Nobody has granted it an allowance, and it loses nothing by asking again.
		c.reject(now, req, c.settings.MaxRetryAfter, RejectedForPlan)
		return
	}
	counterKnown := c.settings.CounterTimeout == 0 || c.sampling.everAnswered()
	req.account = c.accounts.getOrCreate(now, arrival, plan, counterKnown)
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

// Expire ends a request before its deadline: answers that are due wait behind its answer.
func (c *Controller) Expire(now int64, id string) {
	if req := c.requests.byID[id]; req != nil && !req.ended() {
		c.rejectOrFail(now, req)
	}
}

// checkQuota reserves the request's charge on the counter, or has the local quota decide where the counter is not
// asked.
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

// shouldCallCounter tells whether the counter is asked for the request. It is not for a customer that is known to be out of
// units: the bucket kept here fills at the whole rate, so the true one holds no more, except for what others add back.
// A call that brings what is still to be added back is made: the others go by a total that is too high until then.
func (c *Controller) shouldCallCounter(now int64, req *request) bool {
	acct := req.account
	exhausted := acct.sharedQuota.refill(now) < req.charge && acct.window.pendingAdjustment >= 0
	if c.settings.CounterTimeout == 0 || exhausted && acct.window.observed {
		return false
	}
	return !c.sampling.reduced() || !exhausted && c.sampling.includes(acct)
}

// decideByLocalQuota decides by the local quota, where the counter is not asked or does not answer.
func (c *Controller) decideByLocalQuota(now int64, req *request) {
	quota := &req.account.localQuota
	if quota.refill(now) < req.charge {
		c.reject(now, req, min(quota.waitFor(req.charge), c.capacityRetryAfter()), RejectedForLocalQuota)
		return
	}
	c.admit(now, req)
}

// admit sends the first attempt if there is capacity, and in the ceiling still: others may have gone meanwhile.
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

// CounterReplied takes the counter's answer to the oldest call on a name. total is the name's total after the add,
// where the call succeeded.
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

// counterFailed goes on without an answer of the counter.
func (c *Controller) counterFailed(now int64, call counterCall, outcome Outcome) {
	c.sampling.failed(outcome)
	c.reservations.failed(call, outcome)
	if call.request.state == stateReserving { // else it was a call that adds back, or the request has ended
		c.decideByLocalQuota(now, call.request)
	}
}

// decideByQuota admits a request whose reservation was made if the customer's quota holds it, else adds it back and
// rejects.
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

// AttemptDone takes the end of an attempt.
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
	if result.Outcome == Succeeded { // also of a client that has gone
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

// finish ends a request whose client has its final answer.
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

// recordResult keeps the record of the server that an attempt was sent to.
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
		// Its duration is not observed: a server that fails is quick at it, and would draw all requests.
		c.outliers.failed(now, s, result.Outcome)
	case TimedOut, NotAttempted: // checkSilent judges the first, the second says nothing of the server
	}
	c.concurrency.applyMinLimit(s)
	c.servers.reindex(now, s)
}

// HealthCheckDone takes what a health check found.
func (c *Controller) HealthCheckDone(now int64, id string, outcome Outcome) {
	if s := c.servers.byID[id]; s != nil {
		c.outliers.healthCheckDone(now, s, outcome)
	}
}

// ClientDisconnected says that a request's client has gone.
func (c *Controller) ClientDisconnected(now int64, id string) {
	if req := c.requests.byID[id]; req != nil && !req.ended() {
		req.setState(stateClientGone)
		c.removeIfDone(now, req)
	}
}

// ShutDown says that the process ends with nothing in flight: what customers still owe is added to their counts, as no
// later call will bring it.
func (c *Controller) ShutDown(now int64) {
	for _, customer := range c.accounts.customers() {
		c.reservations.flush(now, c.accounts.byCustomer[customer])
	}
}

// TimerFired takes a timer that was set through Effects.SetTimer.
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

// tick looks at the servers in use: it finds those that are silent, and lets others come back.
func (c *Controller) tick(now int64) {
	c.servers.removeFinished()
	c.concurrency.decayMean()
	c.rotation.updateSubsetWeight(now, &c.servers)
	inUse := c.servers.index.activeInOrder()
	for _, s := range inUse {
		c.checkServer(now, s)
	}
	for _, s := range inUse {
		for _, a := range slices.Clone(s.attempts) { // cancelling takes attempts out
			c.cancelLost(now, a)
		}
	}
}

// checkServer looks at one server in use.
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

// removeIfDone forgets an ended request once nothing of it is in flight. If no server got it whole, all that it took
// is put back.
func (c *Controller) removeIfDone(now int64, req *request) {
	c.requests.stopTimer(req)
	if req.openAttempts > 0 || !c.requests.remove(req) {
		return
	}
	if req.account == nil {
		return
	}
	req.account.requestEnded(c.lastTick)
	if len(req.attempts) > 0 && !req.reachedAnyServer {
		req.account.refund(now, req)
		c.reservations.cancelDeferredCharge(req)
		c.reservations.release(now, req, req.charge)
	}
}
