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
	c.concurrency.initialize()
	if c.servers.ringOutdated {
		c.servers.sortRing()
	}
}

// RequestArrived takes a request from a client: it reserves the request's units on the counter, or decides by the
// local quota where it cannot.
func (c *Controller) RequestArrived(now int64, arrival Arrival) {
	q := &request{
		id: arrival.ID, class: c.settings.Classes[arrival.Class], units: arrival.Units, charge: arrival.Units,
		deadline: now + arrival.Timeout - 2*c.settings.TimerResolution,
	}
	c.requests.add(q)
	plan := c.settings.Plans[arrival.Plan]
	if plan == nil || q.class == nil {
		// Nobody has granted it an allowance, and it loses nothing by asking again.
		c.reject(now, q, c.settings.MaxRetryAfter, RejectedForPlan)
		return
	}
	counterKnown := c.settings.CounterTimeout == 0 || c.sampling.everAnswered()
	q.account = c.accounts.use(now, arrival, plan, counterKnown)
	q.account.requestStarted()
	if q.deadline <= now || len(c.eligibleServers(now, q)) == 0 {
		c.reject(now, q, c.capacityRetryAfter(), RejectedForCapacity)
		return
	}
	if wait := q.account.ceilingWait(now, q.units); wait > 0 {
		c.reject(now, q, wait, RejectedForCeiling)
		return
	}
	c.effects.SetTimer(q.deadline, q.timer)
	c.checkQuota(now, q)
}

// Expire ends a request before its deadline: answers that are due wait behind its answer.
func (c *Controller) Expire(now int64, id string) {
	if q := c.requests.byID[id]; q != nil && !q.ended() {
		c.rejectOrFail(now, q)
	}
}

// checkQuota reserves the request's charge on the counter, or has the local quota decide where the counter is not
// asked.
func (c *Controller) checkQuota(now int64, q *request) {
	a := q.account
	if a.sharedQuota.rate <= 0 {
		c.admit(now, q)
		return
	}
	if a.plan.Rate <= 0 {
		q.charge = 1
	}
	if c.asksCounter(now, q) {
		c.reservations.reserve(now, q)
		return
	}
	c.decideLocally(now, q)
}

// asksCounter tells whether the counter is asked for the request. It is not for a customer that is known to be out of
// units: the bucket kept here fills at the whole rate, so the true one holds no more, except for what others add back.
// A call that brings what is still to be added back is made: the others go by a total that is too high until then.
func (c *Controller) asksCounter(now int64, q *request) bool {
	a := q.account
	exhausted := a.sharedQuota.refill(now) < q.charge && a.window.pendingAdjustment >= 0
	if c.settings.CounterTimeout == 0 || exhausted && a.window.known {
		return false
	}
	return !c.sampling.reduced() || !exhausted && c.sampling.includes(a)
}

// decideLocally decides by the local quota, where the counter is not asked or does not answer.
func (c *Controller) decideLocally(now int64, q *request) {
	quota := &q.account.localQuota
	if quota.refill(now) < q.charge {
		c.reject(now, q, min(quota.waitFor(q.charge), c.capacityRetryAfter()), RejectedForLocalQuota)
		return
	}
	c.admit(now, q)
}

// admit sends the first attempt if there is capacity, and in the ceiling still: others may have gone meanwhile.
func (c *Controller) admit(now int64, q *request) {
	if wait := q.account.ceilingWait(now, q.units); wait > 0 {
		c.releaseAndReject(now, q, wait, RejectedForCeiling)
		return
	}
	s := c.pickServer(now, q)
	if s == nil {
		c.releaseAndReject(now, q, c.capacityRetryAfter(), RejectedForCapacity)
		return
	}
	q.account.charge(now, q)
	c.reservations.owe(now, q)
	c.retries.requestSent(c.servers.count())
	q.move(stateInFlight)
	c.send(now, q, s)
}

func (c *Controller) releaseAndReject(now int64, q *request, retryAfter int64, reason RejectReason) {
	c.reservations.release(now, q, q.charge)
	c.reject(now, q, retryAfter, reason)
}

// send sends the request's next attempt to a server.
func (c *Controller) send(now int64, q *request, s *server) {
	s.begin(q.addAttempt(now, s))
	c.servers.reindex(now, s)
	c.effects.Send(q.id, s.id)
}

// CounterReplied takes the counter's answer to the oldest call on a name. total is the name's total after the add,
// where the call succeeded.
func (c *Controller) CounterReplied(now int64, name uint64, outcome Outcome, total float64) {
	call, found := c.reservations.oldestCall(name)
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
		c.decideLocally(now, call.request)
	}
}

// decideByQuota admits a request whose reservation was made if the customer's quota holds it, else adds it back and
// rejects.
func (c *Controller) decideByQuota(now int64, q *request) {
	quota := &q.account.sharedQuota
	waiting := q.state == stateReserving
	if waiting && quota.tokens >= q.charge {
		c.admit(now, q)
		return
	}
	c.reservations.release(now, q, q.charge)
	if waiting {
		c.reject(now, q, quota.waitFor(q.charge), RejectedForQuota)
	}
}

// AttemptDone takes the end of an attempt.
func (c *Controller) AttemptDone(now int64, result AttemptResult) {
	q := c.requests.byID[result.Request]
	if q == nil {
		return
	}
	a := q.openAttempt(result.Attempt)
	if a == nil {
		return
	}
	q.endAttempt(a, result.Outcome)
	c.recordResult(now, a, &result)
	if result.Outcome == Succeeded { // also of a client that has gone
		c.reservations.settle(now, q, result.ActualUnits, c.sampling.reduced())
	}
	if result.Final && !q.ended() {
		c.finish(q, a, result.Outcome)
	}
	if q.ended() {
		c.forgetIfDone(now, q)
		return
	}
	if q.openAttempts == 0 && !c.retry(now, q) {
		c.rejectOrFail(now, q)
	}
}

// finish ends a request whose client has its final answer.
func (c *Controller) finish(q *request, a *attempt, outcome Outcome) {
	if outcome != Succeeded {
		q.move(stateClientGone)
		return
	}
	if !a.overdue {
		c.retries.paidOff(len(q.attempts) - 1)
	}
	q.move(stateAnswered)
}

// recordResult keeps the record of the server that an attempt was sent to.
func (c *Controller) recordResult(now int64, a *attempt, result *AttemptResult) {
	s := a.server
	c.concurrency.checkOverdue(now, a)
	s.end(a)
	switch result.Outcome {
	case Succeeded:
		if c.outliers.succeeded(now, s) {
			c.effects.Log("server " + s.id + " answers again")
		}
		c.concurrency.observeLoad(now, &result.Load)
		c.rotation.observe(s, result.Duration, a.request.units)
		c.concurrency.succeeded(a)
	case Overloaded:
		s.health.lastSign = now
		c.concurrency.rejected(a, now+c.tickInterval)
	case ServerError, ConnectFailed, ConnectionLost, Cancelled:
		// Its duration is not observed: a server that fails is quick at it, and would draw all requests.
		c.outliers.failed(now, s, result.Outcome)
	case TimedOut, NotAttempted: // checkSilent judges the first, the second says nothing of the server
	}
	c.concurrency.raiseToMinimum(s)
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
	if q := c.requests.byID[id]; q != nil && !q.ended() {
		q.move(stateClientGone)
		c.forgetIfDone(now, q)
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
		c.accounts.forgetUnused(now)
		c.effects.SetTimer(now+c.tickInterval, tickTimer)
		return
	}
	if q := c.requests.byTimer[token]; q != nil && now >= q.deadline {
		c.rejectOrFail(now, q)
	}
}

// tick looks at the servers in use: it finds those that are silent, and lets others come back.
func (c *Controller) tick(now int64) {
	c.servers.forgetFinished()
	c.concurrency.decayMean()
	c.rotation.measureSubset(now, &c.servers)
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

// forgetIfDone forgets an ended request once nothing of it is in flight. If no server got it whole, all that it took
// is put back.
func (c *Controller) forgetIfDone(now int64, q *request) {
	c.requests.stopTimer(q)
	if q.openAttempts > 0 || !c.requests.remove(q) {
		return
	}
	if q.account == nil {
		return
	}
	q.account.requestEnded(c.lastTick)
	if len(q.attempts) > 0 && !q.reachedAny {
		q.account.refund(now, q)
		c.reservations.forgive(q)
		c.reservations.release(now, q, q.charge)
	}
}
