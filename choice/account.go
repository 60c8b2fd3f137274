package choice

import (
	"maps"
	"math"
	"slices"
)

// localQuota: a limiter's local quota is a part of the customer's quota.
const (
	// LocalQuotaParts is the number of equal parts in which the quota is divided while it is full, however many
	// limiters share the customer: use is uneven, and most customers take half of theirs.
	LocalQuotaParts = 2
	// maxInFlightDecay: an attempt of a plan that caps attempts in flight counts for this part of the shortest latency
	// objective, fading.
	maxInFlightDecay = 4
)

// account is what a limiter knows of one customer.
type account struct {
	id           uint64
	plan         *Plan
	limiters     float64     // limiters that share the customer
	maxCharge    float64     // the most that one request can take from the quota
	sharedQuota  tokenBucket // the customer's quota, as far as totals of the counter have shown it
	localQuota   tokenBucket // this limiter's part of it, which decides when no total comes
	ceiling      tokenBucket // this limiter's part of the hard ceiling
	window       counterWindow
	lastUsed     int64
	openRequests int // requests of the customer that are not forgotten
}

// resetLocalQuota gives this limiter its part of what the quota holds. It holds the largest request at least: among
// many limiters an equal part is smaller, and would reject for good requests well inside the quota.
func (a *account) resetLocalQuota(now int64, tokens float64) {
	parts := max(1, a.limiters/(1+(LocalQuotaParts-1)*max(0, tokens)/a.sharedQuota.burst))
	a.localQuota = tokenBucket{
		tokens:    math.Min(tokens, max(tokens/parts, a.maxCharge)),
		burst:     max(a.sharedQuota.burst/parts, a.maxCharge),
		rate:      a.sharedQuota.rate / parts,
		updatedAt: now,
	}
}

// ceilingWait is how many nanoseconds this limiter's part of the ceiling must fill before it holds the units; 0 where
// it does.
func (a *account) ceilingWait(now int64, units float64) int64 {
	if a.plan.CeilingRate <= 0 || a.ceiling.refill(now) >= units {
		return 0
	}
	return 1 + a.ceiling.waitFor(units)
}

// charge takes a request that is sent from all its buckets.
func (a *account) charge(now int64, q *request) {
	a.sharedQuota.take(now, q.charge)
	a.localQuota.take(now, q.charge)
	a.ceiling.refill(now)
	if a.plan.CeilingRate > 0 { // a bucket that never fills again would never be forgotten
		a.ceiling.tokens -= q.units
	}
}

// refund puts back all that a request took.
func (a *account) refund(now int64, q *request) {
	a.sharedQuota.putBack(now, q.charge)
	a.localQuota.putBack(now, q.charge)
	a.ceiling.putBack(now, q.units)
}

// correct takes the difference between a request's actual units and its estimate from the quotas.
func (a *account) correct(difference float64) {
	a.sharedQuota.tokens -= difference
	a.localQuota.tokens -= difference
}

// requestStarted notes that a request of the customer is known.
func (a *account) requestStarted() { a.openRequests++ }

// requestEnded notes that a request is no longer known. The customer counts as used up to the latest tick at which it
// was.
func (a *account) requestEnded(lastTick int64) {
	a.openRequests--
	a.lastUsed = max(a.lastUsed, lastTick)
}

// accountTable holds the customers that are not forgotten yet.
type accountTable struct {
	settings      *Settings
	startedAt     int64
	inFlightDecay float64 // seconds in which attempts under a cap fade
	byCustomer    map[uint64]*account
	expiries      expiryQueue
}

func newAccountTable(settings *Settings, startedAt int64) accountTable {
	return accountTable{
		settings: settings, startedAt: startedAt, byCustomer: map[uint64]*account{},
		inFlightDecay: seconds(settings.shortestObjective()) / maxInFlightDecay,
	}
}

// use gives the customer's account, which it makes where there is none. counterKnown says that the counter has
// answered in this process's life, or that there is none.
func (t *accountTable) use(now int64, arrival Arrival, plan *Plan, counterKnown bool) *account {
	a := t.byCustomer[arrival.Customer]
	if a == nil {
		a = t.newAccount(now, arrival, plan)
		if !counterKnown {
			// An earlier life may have spent the local quota without the counter.
			filled := a.maxCharge + a.localQuota.rate*seconds(now-t.startedAt)
			a.localQuota.tokens = min(a.localQuota.tokens, filled)
		}
		t.byCustomer[arrival.Customer] = a
		t.expiries.enter(now, a)
	}
	a.lastUsed = now
	return a
}

func (t *accountTable) newAccount(now int64, arrival Arrival, plan *Plan) *account {
	rate, burst, maxCharge := t.quotaOf(plan)
	limiters := float64(max(arrival.Limiters, 1))
	a := &account{
		id: arrival.Customer, plan: plan, limiters: limiters, maxCharge: maxCharge,
		window:      newCounterWindow(arrival.Customer),
		sharedQuota: tokenBucket{tokens: burst / limiters, burst: burst, rate: rate, updatedAt: now},
		// The ceiling's bucket stands as it was before the start, so this limiter's part of it starts empty: what all
		// lives of all limiters send is then never more than the bucket has held and filled.
		ceiling: tokenBucket{
			burst:     plan.CeilingBurst / limiters,
			rate:      plan.CeilingRate / limiters,
			updatedAt: t.startedAt,
		},
	}
	a.resetLocalQuota(now, burst)
	return a
}

// quotaOf is the quota of a plan. A cap on attempts in flight is one whose charges fade as attempts end: each counts
// 1, so that the faded use is what is in flight.
func (t *accountTable) quotaOf(plan *Plan) (rate, burst, maxCharge float64) {
	rate = plan.Rate
	burst = plan.Burst
	maxCharge = t.settings.MaxRequestUnits
	switch {
	case plan.MaxInFlight <= 0:
	case rate <= 0:
		return plan.MaxInFlight / t.inFlightDecay, plan.MaxInFlight, 1
	default:
		burst = min(burst, max(plan.MaxInFlight/2, 2)*maxCharge)
	}
	return rate, burst, maxCharge
}

// customers lists the customers in the order of their numbers.
func (t *accountTable) customers() []uint64 { return slices.Sorted(maps.Keys(t.byCustomer)) }

// forgetUnused lets go of the customers whose counts and buckets are as good as new and who have nothing to settle. A
// part of a ceiling is once it is full: a new one, which fills from the start on, would be full too.
func (t *accountTable) forgetUnused(now int64) {
	for a := t.expiries.due(now); a != nil; a = t.expiries.due(now) {
		if t.byCustomer[a.id] != a {
			continue
		}
		if at := t.forgettableAt(now, a); at > now {
			t.expiries.enter(at, a)
		} else {
			delete(t.byCustomer, a.id)
		}
	}
}

// forgettableAt is the earliest time at which a customer can be let go of, as far as is known now.
func (t *accountTable) forgettableAt(now int64, a *account) int64 {
	a.ceiling.refill(now)
	at := a.ceiling.fullAt()
	if a.sharedQuota.rate <= 0 {
		return at
	}
	if a.openRequests > 0 {
		a.lastUsed = now
	}
	a.sharedQuota.refill(now)
	return max(at, a.sharedQuota.fullAt(), a.lastUsed+windowLength(t.settings, a)+1)
}
