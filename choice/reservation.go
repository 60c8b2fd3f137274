package choice

import "math"

const (
	// windowRefillPeriods is the length of a counter window, in times that the quota takes to fill.
	windowRefillPeriods = 16
	// leaseWindows is for how many windows the counter keeps a name.
	leaseWindows = 2
)

// A customer's use is counted on the shared counter under a name that changes with each window of time. Adds weigh
// more the later in the window they come, by a factor of e for each time in which the quota fills: the total over the
// present weight is the use of all limiters, the old faded out. So a first look tells what the quota holds.

// counterWindow is what a limiter knows of a customer's count in its present window.
type counterWindow struct {
	offset            int64   // shifts the customer's windows against the clock, nanoseconds
	number            int64   // of the window that the other fields belong to
	total             float64 // the latest total
	observed          bool    // a total was seen, in this window or an earlier one
	observedAt        int64   // when the latest was
	unconfirmed       float64 // what calls without an answer may have added
	unconfirmedUnsent float64 // the part of it that was for requests that were never sent
	pendingAdjustment float64 // what is still to be added, weighted as of its time
}

func newCounterWindow(customer uint64) counterWindow {
	return counterWindow{offset: int64(mix(customer) >> 1), number: math.MinInt64}
}

// customerHash is the customer's place between 0 and 1, the same at all limiters.
func (w *counterWindow) customerHash() float64 { return float64(w.offset) / math.MaxInt64 }

// windowLength is the length of the customer's windows, in nanoseconds. At each new window what was added before goes
// unseen, so windows are long; but a lease must not be longer than the counter keeps a name.
func windowLength(settings *Settings, acct *account) int64 {
	length := nanoseconds(windowRefillPeriods * acct.sharedQuota.burst / acct.sharedQuota.rate)
	return min(length, settings.MaxLease/leaseWindows)
}

// counterName is the name of the customer's count in the present window.
func (acct *account) counterName() uint64 { return mix(mix(acct.id)^uint64(acct.window.number)) >> 1 }

// refillPeriods is how many times the customer's quota fills in a time.
func (acct *account) refillPeriods(nanoseconds int64) float64 {
	return seconds(nanoseconds) * acct.sharedQuota.rate / acct.sharedQuota.burst
}

// rollOver moves the account to the window that holds now, and gives what an add of one unit weighs in it.
func rollOver(now int64, settings *Settings, acct *account) (weight float64) {
	length := windowLength(settings, acct)
	shifted := now + acct.window.offset%length
	if number := shifted / length; number != acct.window.number {
		w := &acct.window
		w.number = number
		w.total = 0
		w.unconfirmed = 0
		w.unconfirmedUnsent = 0
		w.pendingAdjustment = max(w.pendingAdjustment, 0) * math.Exp(-acct.refillPeriods(length))
	}
	return math.Exp(acct.refillPeriods(shifted % length))
}

// reservation is what a request has on the counter, or owes it.
type reservation struct {
	held     bool    // its units were added, and may be added back
	name     uint64  // the count that has them, or is owed them
	weight   float64 // what one unit weighs there
	leaseEnd int64   // after it the count is forgotten
}

// counterCall is one call to the counter that has no answer yet.
type counterCall struct {
	request *request // an empty one where the call settles an account at the end of the process
	account *account
	amount  float64
	// background: no request waits for the call, which adds back or settles.
	background bool
}

// reservations adds to the shared counter: it reserves, releases and settles, and learns from the totals that come
// back.
type reservations struct {
	settings *Settings
	effects  Effects
	calls    map[uint64][]counterCall // without an answer, in their order, by the name
}

func newReservations(settings *Settings, effects Effects) reservations {
	return reservations{settings: settings, effects: effects, calls: map[uint64][]counterCall{}}
}

// rollOver moves an account to the present window; see the function of the same name.
func (r *reservations) rollOver(now int64, acct *account) (weight float64) {
	return rollOver(now, r.settings, acct)
}

// sendCall makes a sendCall. What a reservation carries along may bring its amount below 0.
func (r *reservations) sendCall(name uint64, call counterCall) {
	r.calls[name] = append(r.calls[name], call)
	r.effects.AddToCounter(name, call.amount, leaseWindows*windowLength(r.settings, call.account))
}

// popOldestCall takes out the oldest call on a name; false where there is none.
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

// reserve adds a request's charge to its customer's count, and what is still to be adjusted with it.
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

// deferCharge notes that a request was sent without a reservation: its charge goes with the next call.
func (r *reservations) deferCharge(now int64, req *request) {
	acct := req.account
	if req.reservation.held || acct.sharedQuota.rate <= 0 {
		return
	}
	req.reservation.weight = r.rollOver(now, acct)
	req.reservation.name = acct.counterName()
	acct.window.pendingAdjustment += req.charge * req.reservation.weight
}

// cancelDeferredCharge takes back what owe noted, unless its window has passed.
func (r *reservations) cancelDeferredCharge(req *request) {
	acct := req.account
	if !req.reservation.held && acct.sharedQuota.rate > 0 && req.reservation.name == acct.counterName() {
		acct.window.pendingAdjustment -= req.charge * req.reservation.weight
	}
}

// release adds back units that were reserved and not used; once, and not after the lease has ended.
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

// reconcile puts the actual units in the place of the estimate, once: in the quotas, and on the count at once or, to
// spare the counter a call, with the next one.
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

// flush adds what a customer still owes, at the end of the process.
func (r *reservations) flush(now int64, acct *account) {
	if acct.window.pendingAdjustment != 0 {
		r.rollOver(now, acct) // what is owed to a window that has passed fades with it
	}
	if acct.window.pendingAdjustment == 0 || r.settings.CounterTimeout <= 0 {
		return
	}
	amount := acct.window.pendingAdjustment
	acct.window.pendingAdjustment = 0
	r.sendCall(acct.counterName(), counterCall{request: &request{}, account: acct, amount: amount, background: true})
}

// failed notes that a call brought no total. Its request, if one waits for it, has no reservation any more: what the
// local quota then sends is owed anew.
func (r *reservations) failed(call counterCall, outcome Outcome) {
	unsent := 0.0
	if !call.background {
		call.request.reservation.held = false
		unsent = call.request.charge * call.request.reservation.weight
	}
	w := &call.account.window
	if outcome == TimedOut || outcome == ServerError { // it may have been added
		w.unconfirmed += call.amount
		w.unconfirmedUnsent += unsent
		return
	}
	w.pendingAdjustment += call.amount - unsent
}

// minObservationGap keeps the correction for the time between two totals finite when they come at once, in times that
// the quota takes to fill.
const minObservationGap = 1e-9

// observe draws what a total shows into the customer's quota: what other limiters have added is taken from it.
func (r *reservations) observe(now int64, call counterCall, name uint64, total float64) {
	acct := call.account
	quota := &acct.sharedQuota
	weight := r.rollOver(now, acct)
	quota.refill(now)
	if name != acct.counterName() {
		return // the count of a window that has passed says nothing of this one
	}
	others := acct.window.addedByOthers(call, total)
	sinceLast := acct.refillPeriods(now - acct.window.observedAt)
	switch {
	case others < -acct.maxCharge*float64(r.settings.Limiters)*weight:
		// Others add back what they rejected, but a total that falls further means that the counter has forgotten, and
		// that gives nothing back: a counter that lost its counts grants nobody a fresh burst.
		others = 0
	case !acct.window.observed || sinceLast > 1:
		// What was known of the quota counts no more: it stands as the faded use of all says.
		quota.tokens = quota.burst - total/weight
		if call.request.state == stateReserving && !call.background {
			quota.tokens += call.request.charge
		}
		others = 0
	default:
		// They added over the whole time since the last total, so a bucket that has overflowed meanwhile lost nothing
		// by it.
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

// addedByOthers takes in a total and gives what other limiters have added since the last one. Calls that nobody
// answered may have been worked off late: what they added is not the others', and what was added for requests that
// were never sent is added back with the next call.
func (w *counterWindow) addedByOthers(call counterCall, total float64) float64 {
	others := total - w.total - call.amount
	w.total = total
	ours := math.Min(max(others, math.Min(w.unconfirmed, 0)), max(w.unconfirmed, 0))
	w.pendingAdjustment -= math.Min(w.unconfirmedUnsent, max(ours, 0))
	w.unconfirmed = 0
	w.unconfirmedUnsent = 0
	return others - ours
}
