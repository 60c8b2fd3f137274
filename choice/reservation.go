package choice

import "math"

const (
	// windowRefillPeriods is the length of a counter window in refill periods. A refill period is the time in which the
	// quota refills from empty to full.
	windowRefillPeriods = 16
	// leaseWindows is for how many windows the counter keeps a name.
	leaseWindows = 2
)

// A customer's use is counted on the shared counter under a name that changes with each time window. An add weighs more
// the later it comes in the window, by a factor of e for each refill period. The total divided by the current weight is
// then the use of all limiters with old use faded out, so a limiter's first total already shows what the quota holds.

// counterWindow is what a limiter knows of a customer's count in the current window.
type counterWindow struct {
	offset            int64   // shifts the customer's windows against the clock, in nanoseconds
	number            int64   // the window that the other fields refer to
	total             float64 // latest total
	observed          bool    // a total was received, in this window or an earlier one
	observedAt        int64   // when the latest total was received
	unconfirmed       float64 // weighted units that unanswered calls may have added
	unconfirmedUnsent float64 // the part of unconfirmed for requests that were never sent
	pendingAdjustment float64 // weighted units that the next call has to add
}

func newCounterWindow(customer uint64) counterWindow {
	return counterWindow{offset: int64(mix(customer) >> 1), number: math.MinInt64}
}

// customerHash maps the customer to a number between 0 and 1, the same at all limiters.
func (w *counterWindow) customerHash() float64 { return float64(w.offset) / math.MaxInt64 }

// windowLength returns the length of the customer's windows, in nanoseconds. A new window does not show what was added
// before, so windows are long; but a lease must not be longer than the counter keeps a name.
func windowLength(settings *Settings, acct *account) int64 {
	length := nanoseconds(windowRefillPeriods * acct.sharedQuota.burst / acct.sharedQuota.rate)
	return min(length, settings.MaxLease/leaseWindows)
}

// counterName is the name of the customer's count in the current window.
func (acct *account) counterName() uint64 { return mix(mix(acct.id)^uint64(acct.window.number)) >> 1 }

// refillPeriods converts a duration to refill periods of the customer's quota.
func (acct *account) refillPeriods(nanoseconds int64) float64 {
	return seconds(nanoseconds) * acct.sharedQuota.rate / acct.sharedQuota.burst
}

// rollOver moves the account to the window that contains now, and returns the weight of one unit added now.
func rollOver(now int64, settings *Settings, acct *account) (weight float64) {
	length := windowLength(settings, acct)
	shifted := now + acct.window.offset%length
	if number := shifted / length; number != acct.window.number {
		w := &acct.window
		w.number = number
		w.total = 0
		w.unconfirmed = 0
		w.unconfirmedUnsent = 0
		w.pendingAdjustment = max(w.pendingAdjustment, 0) * exponential(-acct.refillPeriods(length))
	}
	return exponential(acct.refillPeriods(shifted % length))
}

// reservation is what a request has added to the counter, or still has to add.
type reservation struct {
	held     bool    // its units were added, and can be released
	name     uint64  // the count that its units were or will be added to
	weight   float64 // weight of one unit there
	leaseEnd int64   // units are not released after it, since the counter may have dropped the count
}

// counterCall is a call to the counter that has not been answered.
type counterCall struct {
	request *request // empty if the call flushes an account at shutdown
	account *account
	amount  float64
	// background is set if no request waits for the call: it releases, reconciles or flushes.
	background bool
}

// reservations adds to the shared counter: it reserves, releases and reconciles, and updates the quotas from the totals
// that are returned.
type reservations struct {
	settings *Settings
	effects  Effects
	calls    map[uint64][]counterCall // unanswered calls by name, the oldest first
}

func newReservations(settings *Settings, effects Effects) reservations {
	return reservations{settings: settings, effects: effects, calls: map[uint64][]counterCall{}}
}

// rollOver moves an account to the current window; see the function of the same name.
func (r *reservations) rollOver(now int64, acct *account) (weight float64) {
	return rollOver(now, r.settings, acct)
}

// sendCall sends a call to the counter. A pending adjustment may make the amount of a reservation negative.
func (r *reservations) sendCall(name uint64, call counterCall) {
	r.calls[name] = append(r.calls[name], call)
	r.effects.AddToCounter(name, call.amount, leaseWindows*windowLength(r.settings, call.account))
}

// popOldestCall removes and returns the oldest call on a name, false if there is none.
func (r *reservations) popOldestCall(name uint64) (counterCall, bool) {
	queue := r.calls[name]
	if len(queue) == 0 {
		return counterCall{}, false
	}
	r.calls[name] = queue[1:]
	if len(queue) == 1 {
		delete(r.calls, name)
	}
	return queue[0], true
}

// reserve adds a request's charge, and the pending adjustment with it, to its customer's count.
func (r *reservations) reserve(now int64, req *request) {
	acct := req.account
	weight := r.rollOver(now, acct)
	req.reservation = reservation{
		held:     true,
		name:     acct.counterName(),
		weight:   weight,
		leaseEnd: now + windowLength(r.settings, acct),
	}
	req.setState(stateReserving)
	amount := req.charge*weight + acct.window.pendingAdjustment
	acct.window.pendingAdjustment = 0
	r.sendCall(req.reservation.name, counterCall{request: req, account: acct, amount: amount})
}

// deferCharge records that a request was sent without a reservation: the next call adds its charge.
func (r *reservations) deferCharge(now int64, req *request) {
	acct := req.account
	if req.reservation.held || acct.sharedQuota.rate <= 0 {
		return
	}
	req.reservation.weight = r.rollOver(now, acct)
	req.reservation.name = acct.counterName()
	acct.window.pendingAdjustment += req.charge * req.reservation.weight
}

// cancelDeferredCharge reverts deferCharge, unless its window has passed.
func (r *reservations) cancelDeferredCharge(req *request) {
	acct := req.account
	if !req.reservation.held && acct.sharedQuota.rate > 0 && req.reservation.name == acct.counterName() {
		acct.window.pendingAdjustment -= req.charge * req.reservation.weight
	}
}

// release adds back units that were reserved and not used, at most once and not after the lease has ended.
func (r *reservations) release(now int64, req *request, units float64) {
	if req.reservation.held && now < req.reservation.leaseEnd && units != 0 {
		amount := -units * req.reservation.weight
		r.sendCall(
			req.reservation.name,
			counterCall{request: req, account: req.account, amount: amount, background: true},
		)
	}
	req.reservation.held = false
}

// reconcile replaces the estimated units by the actual ones, once: in the quotas at once, and on the counter at once
// or, if spareCounter is set, with the next call.
func (r *reservations) reconcile(now int64, req *request, actual float64, spareCounter bool) {
	difference := actual - req.units
	if actual > 0 && difference != 0 && req.account.plan.Rate > 0 {
		req.account.correct(difference)
		if !req.reservation.held || spareCounter {
			weight := r.rollOver(now, req.account)
			req.account.window.pendingAdjustment += difference * weight
			req.reservation.held = false
		}
		r.release(now, req, -difference)
	}
	req.reservation.held = false
}

// flush adds a customer's pending adjustment to its count when the process ends.
func (r *reservations) flush(now int64, acct *account) {
	if acct.window.pendingAdjustment != 0 {
		r.rollOver(now, acct) // an adjustment to a window that has passed fades with it
	}
	if acct.window.pendingAdjustment == 0 || r.settings.CounterTimeout <= 0 {
		return
	}
	amount := acct.window.pendingAdjustment
	acct.window.pendingAdjustment = 0
	r.sendCall(acct.counterName(), counterCall{request: &request{}, account: acct, amount: amount, background: true})
}

// failed records a call without a total. A request that waits for it loses its reservation: if the local quota admits
// it, its charge is deferred.
func (r *reservations) failed(call counterCall, outcome Outcome) {
	unsent := 0.0
	if !call.background {
		call.request.reservation.held = false
		unsent = call.request.charge * call.request.reservation.weight
	}
	w := &call.account.window
	if outcome == TimedOut || outcome == ServerError { // the counter may have added it
		w.unconfirmed += call.amount
		w.unconfirmedUnsent += unsent
		return
	}
	w.pendingAdjustment += call.amount - unsent
}

// minObservationGap is the minimum time assumed between two totals, in refill periods. It keeps the correction for that
// time finite if they come at once.
const minObservationGap = 1e-9

// observe updates the customer's quota from a total: it takes what other limiters have added.
func (r *reservations) observe(now int64, call counterCall, name uint64, total float64) {
	acct := call.account
	quota := &acct.sharedQuota
	weight := r.rollOver(now, acct)
	quota.refill(now)
	if name != acct.counterName() {
		return // the count of another window says nothing about this one
	}
	others := acct.window.addedByOthers(call, total)
	sinceLast := acct.refillPeriods(now - acct.window.observedAt)
	switch {
	case others < -acct.maxCharge*float64(r.settings.Limiters)*weight:
		// Other limiters release what they rejected, but a total that falls further means that the counter has lost its
		// counts. That returns no units: a counter that restarts must not grant everyone a fresh burst.
		others = 0
	case !acct.window.observed || sinceLast > 1:
		// Earlier knowledge of the quota is outdated: its level follows from the faded use of all limiters.
		quota.tokens = quota.burst - total/weight
		if call.request.state == stateReserving && !call.background {
			quota.tokens += call.request.charge
		}
		others = 0
	default:
		// The others added over the whole time since the last total, so what they used while the bucket was full only
		// reduced its overflow.
		gap := max(sinceLast, minObservationGap)
		others *= gap / (weight * -math.Expm1(-gap))
		others -= math.Min(max(others, 0), quota.overflow)
	}
	quota.tokens = math.Min(quota.burst, max(quota.tokens-others, -quota.burst))
	quota.overflow = 0
	acct.window.observed = true
	acct.window.observedAt = now
	acct.resetLocalQuota(now, quota.tokens)
}

// addedByOthers returns what other limiters have added since the last total. Unanswered calls may have been carried out
// late: what they added is not the others', and what they added for requests that were never sent is added back with
// the next call.
func (w *counterWindow) addedByOthers(call counterCall, total float64) float64 {
	others := total - w.total - call.amount
	w.total = total
	ours := math.Min(max(others, math.Min(w.unconfirmed, 0)), max(w.unconfirmed, 0))
	w.pendingAdjustment -= math.Min(w.unconfirmedUnsent, max(ours, 0))
	w.unconfirmed = 0
	w.unconfirmedUnsent = 0
	return others - ours
}
