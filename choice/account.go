package choice

import (
	"container/list"
	"maps"
	"math"
	"slices"
)

// Constants of the local quota, a limiter's part of a customer's quota, and of plans that cap the attempts in flight.
const (
	// LocalQuotaParts is how many equal parts of a full quota a limiter's local quota has, where the quota is divided
	// into one part for each limiter that serves the customer. It is more than one because use is uneven and most
	// customers use only half of their quota.
	LocalQuotaParts = 2
	// inFlightDecayDivisor divides the shortest latency objective to give the time constant with which charges fade in
	// plans that cap the attempts in flight.
	inFlightDecayDivisor = 4
)

// account is a limiter's record of one customer.
type account struct {
	id           uint64
	plan         *Plan
	limiters     float64     // limiters that serve the customer
	maxCharge    float64     // largest charge of a single request
	sharedQuota  tokenBucket // the customer's quota, updated from the counter's totals
	localQuota   tokenBucket // this limiter's part of the quota, used when no total is available
	ceiling      tokenBucket // this limiter's part of the hard ceiling
	window       counterWindow
	lastUsed     int64
	openRequests int // requests of the customer in the request table
	expiresAt    int64
	expiryIndex  int           // in accountTable.expiries, notScheduled if it is not in it
	element      *list.Element // in accountLimit.newcomers or returning
	returning    bool          // the customer has sent more than one request
}

// resetLocalQuota sets the local quota to this limiter's part of the tokens that the quota holds. It holds at least the
// largest request: among many limiters an equal part is smaller, and large requests would be rejected for good, even
// well inside the quota.
func (acct *account) resetLocalQuota(now int64, tokens float64) {
	parts := max(1, acct.limiters/(1+(LocalQuotaParts-1)*max(0, tokens)/acct.sharedQuota.burst))
	acct.localQuota = tokenBucket{
		tokens:    math.Min(tokens, max(tokens/parts, acct.maxCharge)),
		burst:     max(acct.sharedQuota.burst/parts, acct.maxCharge),
		rate:      acct.sharedQuota.rate / parts,
		updatedAt: now,
	}
}

// ceilingWait returns the nanoseconds until this limiter's part of the ceiling holds the units, 0 if it holds them now
// or the plan has no ceiling.
func (acct *account) ceilingWait(now int64, units float64) int64 {
	if acct.plan.CeilingRate <= 0 || acct.ceiling.refill(now) >= units {
		return 0
	}
	return 1 + acct.ceiling.waitFor(units)
}

// charge takes an admitted request's charge from the quotas and its units from the ceiling.
func (acct *account) charge(now int64, req *request) {
	acct.sharedQuota.take(now, req.charge)
	acct.localQuota.take(now, req.charge)
	acct.ceiling.refill(now)
	if acct.plan.CeilingRate > 0 { // without a rate the bucket never refills, and the account could never be evicted
		acct.ceiling.tokens -= req.units
	}
}

// refund returns to the buckets what charge took for a request.
func (acct *account) refund(now int64, req *request) {
	acct.sharedQuota.putBack(now, req.charge)
	acct.localQuota.putBack(now, req.charge)
	acct.ceiling.putBack(now, req.units)
}

// correct takes the difference between a request's actual and estimated units from both quotas.
func (acct *account) correct(difference float64) {
	acct.sharedQuota.tokens -= difference
	acct.localQuota.tokens -= difference
}

// requestStarted counts a request of the customer that was added to the request table.
func (acct *account) requestStarted() { acct.openRequests++ }

// requestEnded counts a request that was removed from the request table. The customer counts as used up to the latest
// tick before the removal.
func (acct *account) requestEnded(lastTick int64) {
	acct.openRequests--
	acct.lastUsed = max(acct.lastUsed, lastTick)
}

// accountTable holds the accounts of customers that have not been evicted.
type accountTable struct {
	settings             *Settings
	startedAt            int64
	inFlightDecaySeconds float64 // time constant with which charges of plans with MaxInFlight fade
	byCustomer           map[uint64]*account
	expiries             expiryQueue
	limit                accountLimit
	// flush adds what an account owes to the counter before the account is evicted for a new one.
	flush func(now int64, acct *account)
}

func newAccountTable(settings *Settings, startedAt int64) accountTable {
	return accountTable{
		settings: settings, startedAt: startedAt, byCustomer: map[uint64]*account{},
		limit:                newAccountLimit(settings.MemoryLimit),
		inFlightDecaySeconds: seconds(settings.shortestObjective()) / inFlightDecayDivisor,
	}
}

// getOrCreate returns the customer's account, marked as used now, or nil if there is no room for a new one.
// counterAnswered is true if the counter has answered since this process started, or if there is no counter.
func (t *accountTable) getOrCreate(now int64, arrival Arrival, plan *Plan, counterAnswered bool) *account {
	if acct := t.byCustomer[arrival.Customer]; acct != nil {
		t.limit.used(acct)
		acct.lastUsed = now
		return acct
	}
	if !t.makeRoom(now) {
		return nil
	}
	acct := t.newAccount(now, arrival, plan)
	if !counterAnswered {
		// An earlier incarnation may have spent the local quota without the counter, so the account starts with the
		// largest request and what has refilled since this process started.
		filled := acct.maxCharge + acct.localQuota.rate*seconds(now-t.startedAt)
		acct.localQuota.tokens = min(acct.localQuota.tokens, filled)
	}
	t.byCustomer[arrival.Customer] = acct
	t.expiries.schedule(now, acct)
	t.limit.added(acct)
	return acct
}

// makeRoom evicts an account if there is no room for another one. It returns false if none can be evicted.
func (t *accountTable) makeRoom(now int64) bool {
	if t.limit.max == 0 || len(t.byCustomer) < t.limit.max {
		return true
	}
	victim := t.limit.victim(now, t.startedAt)
	if victim == nil {
		return false
	}
	t.flush(now, victim)
	t.expiries.remove(victim)
	t.remove(victim)
	t.limit.evicted++
	return true
}

// remove removes an account that is not scheduled.
func (t *accountTable) remove(acct *account) {
	t.limit.removed(acct)
	delete(t.byCustomer, acct.id)
}

func (t *accountTable) newAccount(now int64, arrival Arrival, plan *Plan) *account {
	rate, burst, maxCharge := t.quotaOf(plan)
	limiters := float64(max(arrival.Limiters, 1))
	acct := &account{
		id: arrival.Customer, plan: plan, limiters: limiters, maxCharge: maxCharge,
		lastUsed: now, expiryIndex: notScheduled,
		window:      newCounterWindow(arrival.Customer),
		sharedQuota: tokenBucket{tokens: burst / limiters, burst: burst, rate: rate, updatedAt: now},
		// The ceiling's bucket is not reset by a restart, so this limiter's part of it starts empty: all incarnations
		// of all limiters together then never send more than the burst and what has refilled since.
		ceiling: tokenBucket{
			burst:     plan.CeilingBurst / limiters,
			rate:      plan.CeilingRate / limiters,
			updatedAt: t.startedAt,
		},
	}
	acct.resetLocalQuota(now, burst)
	return acct
}

// quotaOf returns the quota of a plan and the largest charge of a request. A cap on attempts in flight, without a rate,
// is a quota whose charges fade as attempts end: each request is charged 1, so that the faded use is the number of
// attempts in flight. With a rate, the cap bounds the burst.
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

// customers returns the customers' numbers in ascending order.
func (t *accountTable) customers() []uint64 { return slices.Sorted(maps.Keys(t.byCustomer)) }

// evictUnused removes the accounts that equal a new one and have no open requests. The bucket of the ceiling equals a
// new one once it is full, since a new one refills from the start of the process and would be full too.
func (t *accountTable) evictUnused(now int64) {
	for acct := t.expiries.popDue(now); acct != nil; acct = t.expiries.popDue(now) {
		if t.byCustomer[acct.id] != acct {
			continue
		}
		if at := t.evictableAt(now, acct); at > now {
			t.expiries.schedule(at, acct)
		} else {
			t.remove(acct)
		}
	}
}

// evictableAt returns the earliest time at which the account can be evicted, as far as is known now.
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
