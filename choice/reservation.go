package choice

import "math"

const (
	// windowFillTimes is the length of a counter window, in times that the quota takes to fill.
	windowFillTimes = 16
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
	known             bool    // a total was seen, in this window or an earlier one
	seenAt            int64   // when the latest was
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
func windowLength(settings *Settings, a *account) int64 {
	length := nanoseconds(windowFillTimes * a.sharedQuota.burst / a.sharedQuota.rate)
	return min(length, settings.MaxLease/leaseWindows)
}

// counterName is the name of the customer's count in the present window.
func (a *account) counterName() uint64 { return mix(mix(a.id)^uint64(a.window.number)) >> 1 }

// fillTimes is how many times the customer's quota fills in a time.
func (a *account) fillTimes(nanoseconds int64) float64 {
	return seconds(nanoseconds) * a.sharedQuota.rate / a.sharedQuota.burst
}

// rollOver moves the account to the window that holds now, and gives what an add of one unit weighs in it.
func rollOver(now int64, settings *Settings, a *account) (weight float64) {
	length := windowLength(settings, a)
	shifted := now + a.window.offset%length
	if number := shifted / length; number != a.window.number {
		w := &a.window
		w.number = number
		w.total = 0
		w.unconfirmed = 0
		w.unconfirmedUnsent = 0
		w.pendingAdjustment = max(w.pendingAdjustment, 0) * math.Exp(-a.fillTimes(length))
	}
	return math.Exp(a.fillTimes(shifted % length))
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
func (r *reservations) rollOver(now int64, a *account) (weight float64) {
	return rollOver(now, r.settings, a)
}

// call makes a call. What a reservation carries along may bring its amount below 0.
func (r *reservations) call(name uint64, c counterCall) {
	r.calls[name] = append(r.calls[name], c)
	r.effects.AddToCounter(name, c.amount, leaseWindows*windowLength(r.settings, c.account))
}

// oldestCall takes out the oldest call on a name; false where there is none.
func (r *reservations) oldestCall(name uint64) (counterCall, bool) {
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
func (r *reservations) reserve(now int64, q *request) {
	a := q.account
	weight := r.rollOver(now, a)
	q.reservation = reservation{
		held:     true,
		name:     a.counterName(),
		weight:   weight,
		leaseEnd: now + windowLength(r.settings, a),
	}
	q.move(stateReserving)
	amount := q.charge*weight + a.window.pendingAdjustment
	a.window.pendingAdjustment = 0
	r.call(q.reservation.name, counterCall{request: q, account: a, amount: amount})
}

// owe notes that a request was sent without a reservation: its charge goes with the next call.
func (r *reservations) owe(now int64, q *request) {
	a := q.account
	if q.reservation.held || a.sharedQuota.rate <= 0 {
		return
	}
	q.reservation.weight = r.rollOver(now, a)
	q.reservation.name = a.counterName()
	a.window.pendingAdjustment += q.charge * q.reservation.weight
}

// forgive takes back what owe noted, unless its window has passed.
func (r *reservations) forgive(q *request) {
	a := q.account
	if !q.reservation.held && a.sharedQuota.rate > 0 && q.reservation.name == a.counterName() {
		a.window.pendingAdjustment -= q.charge * q.reservation.weight
	}
}

// release adds back units that were reserved and not used; once, and not after the lease has ended.
func (r *reservations) release(now int64, q *request, units float64) {
	if q.reservation.held && now < q.reservation.leaseEnd && units != 0 {
		amount := -units * q.reservation.weight
		r.call(q.reservation.name, counterCall{request: q, account: q.account, amount: amount, background: true})
	}
	q.reservation.held = false
}

// settle puts the actual units in the place of the estimate, once: in the quotas, and on the count at once or, to
// spare the counter a call, with the next one.
func (r *reservations) settle(now int64, q *request, actual float64, spareCounter bool) {
	difference := actual - q.units
	if actual > 0 && difference != 0 && q.account.plan.Rate > 0 {
		q.account.correct(difference)
		if !q.reservation.held || spareCounter {
			weight := r.rollOver(now, q.account)
			q.account.window.pendingAdjustment += difference * weight
			q.reservation.held = false
		}
		r.release(now, q, -difference)
	}
	q.reservation.held = false
}

// flush adds what a customer still owes, at the end of the process.
func (r *reservations) flush(now int64, a *account) {
	if a.window.pendingAdjustment != 0 {
		r.rollOver(now, a) // what is owed to a window that has passed fades with it
	}
	if a.window.pendingAdjustment == 0 || r.settings.CounterTimeout <= 0 {
		return
	}
	amount := a.window.pendingAdjustment
	a.window.pendingAdjustment = 0
	r.call(a.counterName(), counterCall{request: &request{}, account: a, amount: amount, background: true})
}

// failed notes that a call brought no total. Its request, if one waits for it, has no reservation any more: what the
// local quota then sends is owed anew.
func (r *reservations) failed(c counterCall, outcome Outcome) {
	unsent := 0.0
	if !c.background {
		c.request.reservation.held = false
		unsent = c.request.charge * c.request.reservation.weight
	}
	w := &c.account.window
	if outcome == TimedOut || outcome == ServerError { // it may have been added
		w.unconfirmed += c.amount
		w.unconfirmedUnsent += unsent
		return
	}
	w.pendingAdjustment += c.amount - unsent
}

// minObservationGap keeps the correction for the time between two totals finite when they come at once, in times that
// the quota takes to fill.
const minObservationGap = 1e-9

// observe draws what a total shows into the customer's quota: what other limiters have added is taken from it.
func (r *reservations) observe(now int64, c counterCall, name uint64, total float64) {
	a := c.account
	quota := &a.sharedQuota
	weight := r.rollOver(now, a)
	quota.refill(now)
	if name != a.counterName() {
		return // the count of a window that has passed says nothing of this one
	}
	others := a.window.addedByOthers(c, total)
	sinceLast := a.fillTimes(now - a.window.seenAt)
	switch {
	case others < -a.maxCharge*float64(r.settings.Limiters)*weight:
		// Others add back what they rejected, but a total that falls further means that the counter has forgotten, and
		// that gives nothing back: a counter that lost its counts grants nobody a fresh burst.
		others = 0
	case !a.window.known || sinceLast > 1:
		// What was known of the quota counts no more: it stands as the faded use of all says.
		quota.tokens = quota.burst - total/weight
		if c.request.state == stateReserving && !c.background {
			quota.tokens += c.request.charge
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
	a.window.known = true
	a.window.seenAt = now
	a.resetLocalQuota(now, quota.tokens)
}

// addedByOthers takes in a total and gives what other limiters have added since the last one. Calls that nobody
// answered may have been worked off late: what they added is not the others', and what was added for requests that
// were never sent is added back with the next call.
func (w *counterWindow) addedByOthers(c counterCall, total float64) float64 {
	others := total - w.total - c.amount
	w.total = total
	ours := math.Min(max(others, math.Min(w.unconfirmed, 0)), max(w.unconfirmed, 0))
	w.pendingAdjustment -= math.Min(w.unconfirmedUnsent, max(ours, 0))
	w.unconfirmed = 0
	w.unconfirmedUnsent = 0
	return others - ours
}
