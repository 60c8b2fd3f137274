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
	// inFlightDecayDivisor: an attempt of a plan that caps attempts in flight counts for this part of the shortest latency
	// objective, fading.
	inFlightDecayDivisor = 4
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
func (acct *account) resetLocalQuota(now int64, tokens float64) {
	parts := max(1, acct.limiters/(1+(LocalQuotaParts-1)*max(0, tokens)/acct.sharedQuota.burst))
	acct.localQuota = tokenBucket{
		tokens:    math.Min(tokens, max(tokens/parts, acct.maxCharge)),
		burst:     max(acct.sharedQuota.burst/parts, acct.maxCharge),
		rate:      acct.sharedQuota.rate / parts,
		updatedAt: now,
	}
}

// ceilingWait is how many nanoseconds this limiter's part of the ceiling must fill before it holds the units; 0 where
// it does.
func (acct *account) ceilingWait(now int64, units float64) int64 {
	if acct.plan.CeilingRate <= 0 || acct.ceiling.refill(now) >= units {
		return 0
	}
	return 1 + acct.ceiling.waitFor(units)
}

// charge takes a request that is sent from all its buckets.
func (acct *account) charge(now int64, req *request) {
	acct.sharedQuota.take(now, req.charge)
	acct.localQuota.take(now, req.charge)
	acct.ceiling.refill(now)
	if acct.plan.CeilingRate > 0 { // a bucket that never fills again would never be forgotten
		acct.ceiling.tokens -= req.units
	}
}

// refund puts back all that a request took.
func (acct *account) refund(now int64, req *request) {
	acct.sharedQuota.putBack(now, req.charge)
	acct.localQuota.putBack(now, req.charge)
	acct.ceiling.putBack(now, req.units)
}

// correct takes the difference between a request's actual units and its estimate from the quotas.
func (acct *account) correct(difference float64) {
	acct.sharedQuota.tokens -= difference
	acct.localQuota.tokens -= difference
}

// requestStarted notes that a request of the customer is known.
func (acct *account) requestStarted() { acct.openRequests++ }

// requestEnded notes that a request is no longer known. The customer counts as used up to the latest tick at which it
// was.
func (acct *account) requestEnded(lastTick int64) {
	acct.openRequests--
	acct.lastUsed = max(acct.lastUsed, lastTick)
}

// accountTable holds the customers that are not forgotten yet.
type accountTable struct {
	settings             *Settings
	startedAt            int64
	inFlightDecaySeconds float64 // seconds in which attempts under a cap fade
	byCustomer           map[uint64]*account
	expiries             expiryQueue
}

func newAccountTable(settings *Settings, startedAt int64) accountTable {
	return accountTable{
		settings: settings, startedAt: startedAt, byCustomer: map[uint64]*account{},
		inFlightDecaySeconds: seconds(settings.shortestObjective()) / inFlightDecayDivisor,
	}
}

// getOrCreate gives the customer's account, which it makes where there is none. counterKnown says that the counter has
// answered in this process's life, or that there is none.
func (t *accountTable) getOrCreate(now int64, arrival Arrival, plan *Plan, counterAnswered bool) *account {
	acct := t.byCustomer[arrival.Customer]
	if acct == nil {
		acct = t.newAccount(now, arrival, plan)
		if !counterAnswered {
			// An earlier life may have spent the local quota without the counter.
			filled := acct.maxCharge + acct.localQuota.rate*seconds(now-t.startedAt)
			acct.localQuota.tokens = min(acct.localQuota.tokens, filled)
		}
		t.byCustomer[arrival.Customer] = acct
		t.expiries.schedule(now, acct)
	}
	acct.lastUsed = now
	return acct
}

func (t *accountTable) newAccount(now int64, arrival Arrival, plan *Plan) *account {
	rate, burst, maxCharge := t.quotaOf(plan)
	limiters := float64(max(arrival.Limiters, 1))
	acct := &account{
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
	acct.resetLocalQuota(now, burst)
	return acct
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
		return plan.MaxInFlight / t.inFlightDecaySeconds, plan.MaxInFlight, 1
	default:
		burst = min(burst, max(plan.MaxInFlight/2, 2)*maxCharge)
	}
	return rate, burst, maxCharge
}

// customers lists the customers in the order of their numbers.
func (t *accountTable) customers() []uint64 { return slices.Sorted(maps.Keys(t.byCustomer)) }

// evictUnused lets go of the customers whose counts and buckets are as good as new and who have nothing to settle. A
// part of a ceiling is once it is full: a new one, which fills from the start on, would be full too.
func (t *accountTable) evictUnused(now int64) {
	for acct := t.expiries.popDue(now); acct != nil; acct = t.expiries.popDue(now) {
		if t.byCustomer[acct.id] != acct {
			continue
		}
		if at := t.evictableAt(now, acct); at > now {
			t.expiries.schedule(at, acct)
		} else {
			delete(t.byCustomer, acct.id)
		}
	}
}

// evictableAt is the earliest time at which a customer can be let go of, as far as is known now.
func (t *accountTable) evictableAt(now int64, acct *account) int64 {
	acct.ceiling.refill(now)
	at := acct.ceiling.fullAt()
	if acct.sharedQuota.rate <= 0 {
		return at
	}
	if acct.openRequests > 0 {
		acct.lastUsed = now
	}
	acct.sharedQuota.refill(now)
	return max(at, acct.sharedQuota.fullAt(), acct.lastUsed+windowLength(t.settings, acct)+1)
}
