// Package choice holds every decision of the gateway, all of them in this file.
// A Limiter is one instance. Its caller makes it with New and then calls Members, Request, Answer, Counted,
// Probed, Left, Woken and Closing as things happen, each with the clock in nanoseconds; Ready tells when
// clients should come. The limiter acts through the Effects it was given, in types.go with the settings;
// state.go has the records that it keeps. It is not safe for concurrent use.
// The ordinary path is Reserve and Reconcile (docs/design.md). Servers take turns in a weighted rotation,
// in a large fleet those of the limiter's subset. Beside it stand these mechanisms:
//  1. ceiling: each limiter's own part of a hard ceiling, which every first attempt must fit;
//  2. memory: what the counter has forgotten, or added for a call without an answer, is put right;
//  3. sampling: a counter that does not answer is asked for some of the customers only;
//  4. limits: the work out is bounded by what is answered well inside the target latency, at a server and in
//     all, more widely while load reports show short stays;
//  5. health: a server that shows no life is ejected until it answers, and its requests go elsewhere;
//  6. lost: so does a request whose answer is long overdue where others come promptly.
package choice

import (
	"maps"
	"math"
	"math/rand"
	"slices"
)

// Controller is one instance of the gateway's decisions.
type Controller struct {
	set           *Settings
	effects       Effects
	rng           *rand.Rand
	began         int64
	servers       map[string]*server
	order         []*server // on their ring, from this limiter's place on
	requests      map[string]*request
	timers        map[int64]*request
	tokens        int64
	accounts      map[uint64]*account
	index         serverIndex
	expiries      expiryQueue
	fitting       []*server // a buffer of able
	unturned      bool      // servers came or went since the ring was turned
	ticked        int64     // the latest tick
	calls         map[uint64][]call
	samplingRate  float64 // the share of requests for which the counter is asked
	answered      float64 // the calls answered since one was not
	sustainedRate float64 // the share that it bore before the first of the calls unanswered in a row
	overQuotaCost float64 // what a request beyond the quota costs, a fading mean over their plans
	timeTaken     float64
	unitsDone     float64
	tickInterval  int64
	subsetWeight  float64 // the weight of all servers in the subset
	capDecay      float64 // the seconds in which attempts under a cap fade
	retryBudget   float64 // second attempts in hand
	part          float64 // the largest request over the number of limiters: the least limit of a server
	inFlightLimit float64 // units that may be out at all servers together
	meanInFlight  float64 // units that were out at them, faded over the target latency
	overloadRatio float64 // the fading share of answers that were late or full
	meanStay      float64 // the fading mean logarithm of the seconds that requests stay, by load reports
	reported      int64   // when the latest came
	busy          bool    // more than half of the in-flight limit was taken at the last request
	highestValue  *Class  // the class whose units bring the most, and of several the most urgent
	hasRepeatable bool    // some class's requests may run again
}

const (
	windowBursts    = 16        // a window is so many times the time in which the store fills
	sharers         = 16        // the limiters that share a server
	subsetLeast     = 8         // the servers that a limiter has at least, where there are so many
	startLargest    = 3         // the largest requests that all limiters may have out at a new server
	samplingLess    = 0.75      // the share of requests asked for falls so with each call unanswered
	samplingLeast   = 1.0 / 16  // it is never less
	samplingMore    = 1.0 / 256 // and rises by so much times the answers since the last one that failed
	ticksPerTarget  = 20        // ticks in one target latency
	fade            = 40        // answers after which an old one has lost most of its weight
	overloadFade    = 16        // the same for the share of slow answers
	wellInside      = 2         // an answer within this part of the target latency is prompt
	stayFade        = 8         // the same for the mean stay: each limiter hears a few reports a second
	fewUsable       = 0.5       // with less of the subset to choose from, a cold server must be owed a turn
	late            = 10        // a late attempt takes off so many times what a prompt one adds to a limit
	lateAll         = 4         // and at most so many times from the limit at all servers
	overloadLeast   = 1.0 / 32  // that is by an attempt for each such share of slow answers
	burstDeviations = 4         // the limit grows to the mean in flight and so many deviations
	capDecayParts   = 4         // a capped attempt lasts for this part of the shortest target latency
	LocalQuotaParts = 2         // a slice is so many equal parts: use is uneven, and most customers take half
	lostAfter       = 4         // an attempt out for so many times what it should take is taken for lost
	lostLeast       = 4         // but not before such a part of the target latency
	cheapLess       = 0.8       // the part of the limit that a class worth nothing does not get
	grow            = 8         // prompt answers that raise a limit by their own size
	paceMost        = 3         // a server's weight may be so many times the mean or so small a part of it
	badStep         = 0.25      // the weight of the latest attempt in the share that came to nothing
	badMost         = 0.55      // a larger share ejects a server: three in a row
	ejectedMost     = 0.75      // the share of the servers that may be ejected
	retryBudgetPart = 10        // one second attempt for so many first ones
)

// New makes a limiter that knows nothing yet.
func New(now int64, set *Settings, seed int64, effects Effects) *Controller {
	l := &Controller{set: set, effects: effects, rng: rand.New(rand.NewSource(seed)), began: now,
		servers: map[string]*server{}, requests: map[string]*request{}, timers: map[int64]*request{},
		accounts: map[uint64]*account{}, calls: map[uint64][]call{}, retryBudget: 1, samplingRate: 1,
		overloadRatio: 1, part: set.MaxRequestUnits / float64(set.Limiters)}
	target := int64(math.MaxInt64)
	for _, t := range set.Classes {
		target = min(target, t.LatencyObjective)
		l.hasRepeatable = l.hasRepeatable || t.Idempotency != NonIdempotent
		if l.highestValue == nil || t.PriorityWeight > l.highestValue.PriorityWeight ||
			t.PriorityWeight == l.highestValue.PriorityWeight && t.LatencyObjective < l.highestValue.LatencyObjective {
			l.highestValue = t
		}
	}
	l.capDecay = seconds(target) / capDecayParts
	l.tickInterval = max(target/ticksPerTarget, set.TimerResolution)
	effects.SetTimer(now+l.tickInterval, 0)
	return l
}

// ReadyAt is when each part of a ceiling holds the largest request. Before that, customers inside their quotas
// are rejected for what a limiter of this name may have sent before this start; clients that can wait should.
func (l *Controller) ReadyAt() int64 {
	at := l.began
	for _, p := range l.set.Plans {
		if p.CeilingRate > 0 {
			part := math.Min(p.CeilingBurst, l.set.MaxRequestUnits*float64(l.set.Limiters))
			at = max(at, l.began+min(nanos(part/p.CeilingRate), l.set.SlowStartWindow))
		}
	}
	return at
}

// UpdateEndpoints takes in the server list, whole or its changes only.
func (l *Controller) UpdateEndpoints(now int64, whole bool, entries []Endpoint) {
	if whole {
		for _, s := range l.order {
			s.listing = EndpointGone
		}
	}
	for _, e := range entries {
		s := l.servers[e.ID]
		fresh := server{id: e.ID, place: placed(e.ID), limit: startLargest * l.part, heard: now}
		fresh.warmFrom = e.StartedAt
		fresh.slowStartTurns = l.turnOffset(&fresh)
		if s == nil {
			// Limiters that start together, all knowing nothing, must not all begin at the same server.
			s, fresh.credit = &fresh, l.rng.Float64()
			l.servers[e.ID], l.order, l.unturned = s, append(l.order, s), true
		} else if e.StartedAt > s.warmFrom {
			// A new process: nothing known of the old one holds for it.
			fresh.attempts, fresh.out = s.attempts, s.out
			fresh.position, fresh.indexRecord = s.position, s.indexRecord
			*s = fresh
		}
		s.zone, s.cell, s.listing, s.hint = e.Zone, e.Cell, e.State, e.Weight
		l.note(now, s)
	}
	if whole {
		for _, s := range l.order {
			l.note(now, s)
		}
	}
	if l.inFlightLimit == 0 {
		least := l.least()
		l.inFlightLimit = max(startLargest*least, least+burstDeviations*math.Sqrt(least*l.set.MaxRequestUnits))
	}
	if l.unturned {
		l.turnRing()
	}
}

// turnRing puts the servers in the order of the ring, from this limiter's place on. Places go by rank: each
// server is near as many limiters, in steps of the golden section: neighbours in number share customers and
// stand far apart. A change of the list moves a limiter by a server or two.
func (l *Controller) turnRing() {
	slices.SortFunc(l.order, byPlace)
	_, part := math.Modf(float64(max(l.set.Position, 0)) * math.Phi)
	start := int(part * float64(len(l.order)))
	l.order, l.unturned = append(slices.Clone(l.order[start:]), l.order[:start]...), false
	l.number()
}

// subsetSize is the number of servers that this limiter's requests go to. Each connection to a server costs a
// handshake, and what a limiter learns of a server that it seldom meets comes late. So among many limiters
// each keeps to a few servers, enough of them that a server's load is the sum over many limiters.
func (l *Controller) subsetSize() int {
	if l.set.Position < 0 { // all limiters that do not know their place would have the same subset
		return len(l.order)
	}
	return max(subsetLeast, (sharers*len(l.order)+l.set.Limiters-1)/l.set.Limiters)
}

// turnOffset is what a cold server is owed of its first turn: those that share it stand evenly over it.
func (l *Controller) turnOffset(s *server) float64 {
	if l.set.Position < 0 {
		return l.rng.Float64()
	}
	part := math.Mod(float64(l.set.Position)*math.Phi, 1) * float64(len(l.order)) / float64(l.subsetSize())
	return math.Mod(part+float64(s.place)/math.MaxUint64, 1)
}

// RequestArrived takes a request from a client: it reserves on the counter, or decides by the slice when it cannot.
func (l *Controller) RequestArrived(now int64, a Arrival) {
	l.tokens++
	q := &request{id: a.ID, token: l.tokens, class: l.set.Classes[a.Class], units: a.Units, charge: a.Units,
		end: now + a.Timeout - 2*l.set.TimerResolution}
	l.requests[q.id], l.timers[q.token] = q, q
	plan := l.set.Plans[a.Plan]
	if plan == nil || q.class == nil {
		// Nobody has granted it an allowance, and it loses nothing by asking again.
		l.reject(now, q, l.set.MaxRetryAfter, RejectedForPlan)
		return
	}
	q.account = l.accountOf(now, a, plan)
	acc := q.account
	acc.hold()
	if q.end <= now || len(l.able(now, q)) == 0 {
		l.reject(now, q, l.retryAfterRoom(), RejectedForCapacity)
		return
	}
	if wait := acc.overCeiling(now, q.units); wait > 0 {
		l.reject(now, q, wait, RejectedForCeiling)
		return
	}
	l.effects.SetTimer(q.end, q.token)
	if acc.quota.rate <= 0 {
		l.place(now, q)
		return
	}
	if plan.Rate <= 0 {
		q.charge = 1
	}
	// The counter is not asked for a customer that is known to be out of units: the store kept here fills at
	// the whole rate, so the true one holds no more, but for what others add back. A call that brings what is
	// still to be added back is made: the others go by a total that is too high until then.
	out := acc.quota.fill(now) < q.charge && acc.pendingAdjustment >= 0
	if l.set.CounterTimeout == 0 || out && acc.known || l.samplingRate < 1 && (out || !l.sampled(acc)) {
		l.bySlice(now, q)
		return
	}
	l.reserve(now, q)
}

func (l *Controller) accountOf(now int64, a Arrival, plan *Plan) *account {
	acc := l.accounts[a.Customer]
	if acc == nil {
		part, rate, burst, most := float64(max(a.Limiters, 1)), plan.Rate, plan.Burst, l.set.MaxRequestUnits
		if rate <= 0 && plan.MaxInFlight > 0 {
			// A cap on attempts out: each counts one and fades as they end, so the faded use is what is out.
			rate, burst, most = plan.MaxInFlight/l.capDecay, plan.MaxInFlight, 1
		} else if plan.MaxInFlight > 0 {
			burst = min(burst, max(plan.MaxInFlight/2, 2)*most)
		}
		acc = &account{id: a.Customer, plan: plan, window: math.MinInt64, phase: int64(mix(a.Customer) >> 1),
			quota: store{level: burst / part, depth: burst, rate: rate, at: now}, part: part, most: most,
			// The ceiling's store stands as it was before we started, so our part of it starts empty: what
			// all starts of all limiters send is then never more than the store has held and filled.
			ceiling: store{depth: plan.CeilingBurst / part, rate: plan.CeilingRate / part, at: l.began}}
		if l.slice(now, acc, burst); l.set.CounterTimeout > 0 && l.answered+l.sustainedRate == 0 {
			// The counter has not answered in this life: an earlier one may have spent the slice without it.
			acc.slice.level = min(acc.slice.level, acc.most+acc.slice.rate*seconds(now-l.began))
		}
		l.accounts[a.Customer] = acc
		l.expiries.enter(now, acc)
	}
	acc.used = now
	return acc
}

// sampled tells whether a crowded counter is asked for a customer: always for some, the same at all limiters
// (a count of a part of the use says little), more where going beyond costs more. The rest see if it is back.
func (l *Controller) sampled(a *account) bool {
	stake := max(0, a.plan.OverQuotaPenalty-a.plan.OverQuotaRevenue) * a.plan.PriorityWeight
	l.overQuotaCost += (stake - l.overQuotaCost) / fade
	share := (l.samplingRate - samplingLeast) / (1 - l.samplingRate) * stake / l.overQuotaCost
	return float64(a.phase)/math.MaxInt64 < share || l.rng.Float64() < samplingLeast
}

// span is the length of the customer's windows. At each turn what was added before goes unseen, so turns are
// rare; a lease of two windows must not be longer than the counter keeps a name.
func (l *Controller) span(a *account) int64 {
	return min(nanos(windowBursts*a.quota.depth/a.quota.rate), l.set.MaxLease/2)
}

// turn moves the account to the window that holds now and tells what an add of one unit weighs in it. Adds
// weigh more the later they come, by e for each filling of the store: the total over the present weight is
// the use of all limiters, the old faded out. So a first look tells what the store holds.
func (l *Controller) turn(now int64, a *account) float64 {
	span := l.span(a)
	since := now + a.phase%span
	fills := func(ns int64) float64 { return seconds(ns) * a.quota.rate / a.quota.depth }
	if w := since / span; w != a.window {
		a.window, a.total, a.unsure, a.idle = w, 0, 0, 0
		a.pendingAdjustment = max(a.pendingAdjustment, 0) * math.Exp(-fills(span))
	}
	return math.Exp(fills(since % span))
}

func (l *Controller) reserve(now int64, q *request) {
	a := q.account
	q.weight = l.turn(now, a)
	q.name, q.reserved, q.lease = a.name(), true, now+l.span(a)
	l.move(q, stateReserving)
	l.count(q, q.charge*q.weight+a.pendingAdjustment, false)
	a.pendingAdjustment = 0
}

// release adds back what was reserved and not used; once, and not after the lease has ended.
func (l *Controller) release(now int64, q *request, amount float64) {
	if q.reserved && now < q.lease && amount != 0 {
		l.count(q, -amount*q.weight, true)
	}
	q.reserved = false
}

// settle puts true units in the guess's place, once: on the count or with the next call, and in the stores.
func (l *Controller) settle(now int64, q *request, units float64) {
	if more := units - q.units; units > 0 && more != 0 && q.account.plan.Rate > 0 {
		a := q.account
		a.quota.level, a.slice.level = a.quota.level-more, a.slice.level-more
		if !q.reserved || l.samplingRate < 1 { // a crowded counter is spared the call: the next one brings it
			a.pendingAdjustment += more * l.turn(now, a)
			q.reserved = false
		}
		l.release(now, q, -more)
	}
	q.reserved = false
}

// CounterReplied takes the counter's answer to the oldest call on a name.
func (l *Controller) CounterReplied(now int64, name uint64, outcome Outcome, total float64) {
	queue := l.calls[name]
	if len(queue) == 0 {
		return
	}
	c := queue[0]
	if l.calls[name] = queue[1:]; len(queue) == 1 {
		delete(l.calls, name)
	}
	q, a := c.request, c.account
	if outcome != Succeeded {
		// A counter that is down or crowded is asked less, so that nothing waits for it in vain and it can
		// work off its line; it is asked more again step by step, so that its return brings no rush.
		if outcome != ServerError { // it has worked off the call, or may have, and only its answer was spoilt
			if l.samplingRate *= samplingLess; l.answered > 0 {
				l.sustainedRate = l.samplingRate
			}
			l.samplingRate, l.answered = max(l.samplingRate, samplingLeast), 0
		}
		vain := 0.0
		if !c.back { // what the slice sends is owed anew
			q.reserved, vain = false, q.charge*q.weight
		}
		if outcome == TimedOut || outcome == ServerError {
			a.unsure, a.idle = a.unsure+c.amount, a.idle+vain
		} else {
			a.pendingAdjustment += c.amount - vain
		}
		if q.state == stateReserving { // a call that adds back comes after that
			l.bySlice(now, q)
		}
		return
	}
	l.answered++
	regained := math.Min(2*l.samplingRate, l.sustainedRate)
	l.samplingRate = math.Min(1, max(l.samplingRate+samplingMore*l.answered, regained))
	l.see(now, c, name, total)
	if c.back {
		return
	}
	if gone := q.state != stateReserving; gone || a.quota.level < q.charge {
		if l.release(now, q, q.charge); !gone {
			l.reject(now, q, nanos((q.charge-a.quota.level)/a.quota.rate), RejectedForQuota)
		}
		return
	}
	l.place(now, q)
}

// see draws what a total shows into the customer's store: what others have added is taken from it.
func (l *Controller) see(now int64, c call, name uint64, total float64) {
	a := c.account
	weight := l.turn(now, a)
	a.quota.fill(now)
	if name != a.name() {
		return // a count of a window that has passed says nothing of this one
	}
	others := total - a.total - c.amount
	a.total = total
	// Calls that nobody answered may have been worked off late: what they added is not the others', and what
	// was added for requests that were never sent is added back with the next call.
	ours := math.Min(max(others, math.Min(a.unsure, 0)), max(a.unsure, 0))
	a.pendingAdjustment -= math.Min(a.idle, max(ours, 0))
	others, a.unsure, a.idle = others-ours, 0, 0
	// Others add back what they rejected, but a total that falls further means that the counter has
	// forgotten, and that gives nothing back: a flushed counter grants nobody a fresh burst.
	gap := seconds(now-a.looked) * a.quota.rate / a.quota.depth
	if others < -a.most*float64(l.set.Limiters)*weight {
		others = 0
	} else if !a.known || gap > 1 {
		// What was known here of the store counts no more: it stands as the faded use of all says.
		if a.quota.level, others = a.quota.depth-total/weight, 0; c.request.state == stateReserving && !c.back {
			a.quota.level += c.request.charge
		}
	} else {
		// They added over the whole time since the last look, so a store that has spilt meanwhile did not.
		others *= max(gap, 1e-9) / (weight * -math.Expm1(-max(gap, 1e-9)))
		others -= math.Min(max(others, 0), a.quota.spilt)
	}
	a.quota.level = math.Min(a.quota.depth, max(a.quota.level-others, -a.quota.depth))
	a.quota.spilt, a.known, a.looked = 0, true, now
	l.slice(now, a, a.quota.level)
}

// slice gives this limiter its part of what the store holds. It holds the largest request at least: among
// many limiters an equal part is smaller, and would refuse for good requests well inside the quota.
func (l *Controller) slice(now int64, a *account, level float64) {
	part := max(1, a.part/(1+(LocalQuotaParts-1)*max(0, level)/a.quota.depth))
	a.slice = store{level: math.Min(level, max(level/part, a.most)),
		depth: max(a.quota.depth/part, a.most), rate: a.quota.rate / part, at: now}
}

// bySlice decides by the local slice, when the counter does not answer.
func (l *Controller) bySlice(now int64, q *request) {
	if s := &q.account.slice; s.fill(now) < q.charge {
		l.reject(now, q, min(nanos((q.charge-s.level)/s.rate), l.retryAfterRoom()), RejectedForLocalQuota)
		return
	}
	l.place(now, q)
}

// place sends the first attempt if there is room, and in the ceiling still: others may have gone meanwhile.
func (l *Controller) place(now int64, q *request) {
	a, wait, cause := q.account, q.account.overCeiling(now, q.units), RejectedForCeiling
	var s *server
	if wait == 0 {
		s, wait, cause = l.pick(now, q), l.retryAfterRoom(), RejectedForCapacity
	}
	if s == nil {
		l.release(now, q, q.charge)
		l.reject(now, q, wait, cause)
		return
	}
	a.quota.level, a.slice.level = a.quota.fill(now)-q.charge, a.slice.fill(now)-q.charge
	if !q.reserved && a.quota.rate > 0 {
		q.weight = l.turn(now, a)
		a.pendingAdjustment, q.name = a.pendingAdjustment+q.charge*q.weight, a.name()
	}
	if a.ceiling.fill(now); a.plan.CeilingRate > 0 { // one that never fills would never be forgotten
		a.ceiling.level -= q.units
	}
	l.retryBudget = math.Min(l.retryBudget+1.0/retryBudgetPart, float64(len(l.order)))
	l.move(q, InFlight)
	l.send(now, q, s)
}

func (l *Controller) send(now int64, q *request, s *server) {
	att := &attempt{request: q, server: s, number: len(q.attempts), at: now, open: true, maybe: true}
	q.attempts, q.open = append(q.attempts, att), q.open+1
	s.attempts, s.out = append(s.attempts, att), s.out+q.units
	l.note(now, s)
	l.effects.Send(q.id, s.id)
}

// slowStartWeight is the share of its capacity that a server is sure to have.
func (l *Controller) slowStartWeight(now int64, s *server) float64 {
	if s.warmFrom == 0 || now >= s.warmFrom+l.set.SlowStartWindow {
		return 1
	}
	return l.slowStartWeightAt(max(0, now-s.warmFrom))
}

// slowStartWeightAt is the slow-start weight of a server so long after it began to warm up.
func (l *Controller) slowStartWeightAt(age int64) float64 {
	return l.set.ColdCapacity + (1-l.set.ColdCapacity)*float64(age)/float64(l.set.SlowStartWindow)
}

// weight follows the nominal size and the pace that the server's answers have shown.
func (l *Controller) weight(now int64, s *server) float64 {
	pace := 1.0
	if s.did > 0 && l.unitsDone > 0 {
		pace = (l.timeTaken / l.unitsDone) / (s.took / s.did)
		pace = math.Min(paceMost, max(1.0/paceMost, pace))
	}
	if s.hint > 0 {
		pace *= s.hint
	}
	return pace * l.slowStartWeight(now, s) * (1 - s.bad)
}

// usable tells whether a server may get this request at all.
func (l *Controller) usable(now int64, q *request, s *server) bool {
	// A trial is one request at a time, and for requests that may run again, where there are any.
	if s.listing != EndpointReady || s.health == ejected ||
		s.health == trial && (len(s.attempts) > 0 || q.class.Idempotency == NonIdempotent && l.hasRepeatable) {
		return false
	}
	for _, att := range q.attempts {
		if att.server == s || att.maybe && q.class.Idempotency == IdempotentWithKey && !q.class.dropsRepeat(now, att, s) {
			return false
		}
	}
	return true
}

// dropsRepeat tells whether a server would know a keyed request again that may have run by this attempt.
func (t *Class) dropsRepeat(now int64, att *attempt, s *server) bool {
	same := t.DeduplicationScope == ScopeAll || t.DeduplicationScope == ScopeZone && att.server.zone == s.zone ||
		t.DeduplicationScope == ScopeCell && att.server.cell == s.cell
	return same && now < att.at+t.DeduplicationWindow
}

// able lists the servers that have room for the request, if there is room in all: among many limiters one
// request at each server is too much already. What may be out shrinks with the servers that can be used.
// The list holds until the next call.
func (l *Controller) able(now int64, q *request) []*server {
	out, usable := l.usableSums(now, q)
	out += q.units
	room := l.inFlightLimit * l.limitFactor(now, q) * usable / max(float64(l.index.ready), 1)
	room *= 1 - cheapLess*(1-q.class.PriorityWeight/l.highestValue.PriorityWeight)
	if l.busy = out > room/2; out > room && out > q.units {
		return nil
	}
	able, near, circle := l.fitting[:0], 0, l.subsetSize()
	for _, s := range l.order {
		if !l.usable(now, q, s) {
			continue
		}
		if near++; near > circle && len(able) > 0 {
			break // it is another's; those beyond the subset come in one by one where no other has room
		}
		if now >= s.fullTill && (len(s.attempts) == 0 || s.out+q.units <= s.limit*l.slowStartWeight(now, s)) {
			able = append(able, s)
		}
	}
	l.fitting = able
	return able
}

// limitFactor raises the limit while load reports show that requests, of whatever limiter, stay at the
// servers for well inside the target latency: what they hold over what they do a second is that stay. One
// limiter among many cannot tell a few heavy requests of its own from servers that fill up. Old reports say
// nothing.
func (l *Controller) limitFactor(now int64, q *request) float64 {
	if l.reported == 0 || now-l.reported > q.class.LatencyObjective {
		return 1
	}
	target := min(q.class.LatencyObjective, l.highestValue.LatencyObjective) // no class may fill the servers for a dearer one
	return max(1, seconds(target)/wellInside/math.Exp(l.meanStay))
}

// pick takes the next in the weighted rotation; those that hold more than their share of what is out pass.
func (l *Controller) pick(now int64, q *request) *server {
	able := l.able(now, q)
	out, sum, cold := q.units, 0.0, 0.0
	for _, s := range able {
		w := l.weight(now, s)
		if out, sum = out+s.out, sum+w; l.slowStartWeight(now, s) < 1 {
			cold += w
		}
	}
	var best *server
	turn, most := 0.0, 0.0
	for _, s := range able {
		w, claim := l.weight(now, s), 0.0
		if l.slowStartWeight(now, s) < 1 {
			// Where no other has room, or in a small group, a cold one gets no more than its turns either.
			whole := max(l.subsetWeight, sum, math.SmallestNonzeroFloat64)
			s.slowStartTurns = math.Min(1, s.slowStartTurns+w/whole)
			if s.slowStartTurns < 1 && sum < l.subsetWeight*fewUsable {
				continue
			}
			// Beside enough warm ones it gets its turns at once: those kept could all come together. Before
			// that it is taken only where no warm one can be.
			if cold < sum*fewUsable {
				claim = math.Copysign(math.Inf(1), s.slowStartTurns-1)
			}
		}
		if s.out/w > out/sum {
			continue
		}
		turn, s.credit = turn+w, s.credit+w
		if claim += s.credit; best == nil || claim > most {
			best, most = s, claim
		}
	}
	if best != nil {
		best.credit, best.slowStartTurns = best.credit-turn, best.slowStartTurns-1
	}
	return best
}

// retryAfterRoom is the retry-after of a request for which no server has room: when work out will be done.
func (l *Controller) retryAfterRoom() int64 {
	if l.reported > 0 {
		return max(l.tickInterval, nanos(math.Exp(l.meanStay)))
	}
	return max(l.tickInterval, l.set.DialTimeout)
}

func (l *Controller) reject(now int64, q *request, after int64, cause RejectReason) {
	l.move(q, Rejected)
	// Clients that were told the same time would come back together.
	after = max(l.set.TimerResolution, after) + int64(l.rng.Float64()*float64(l.tickInterval))
	l.effects.Reject(q.id, min(after, l.set.MaxRetryAfter), cause)
	l.drop(now, q)
}

// finish ends a request that cannot be served: rejected if that is true and harmless, else failed.
func (l *Controller) finish(now int64, q *request) {
	for _, att := range q.attempts {
		marked := q.class.Idempotency == IdempotentWithKey && q.class.DeduplicationScope != ScopeAll
		if att.maybe && (q.class.Idempotency == NonIdempotent || marked) {
			l.move(q, Failed)
			l.effects.Fail(q.id)
			l.drop(now, q)
			return
		}
	}
	l.reject(now, q, l.retryAfterRoom(), RejectedForAttempts)
}

// AttemptDone takes the end of an attempt.
func (l *Controller) AttemptDone(now int64, r AttemptResult) {
	q := l.requests[r.Request]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || !q.attempts[r.Attempt].open {
		return
	}
	att := q.attempts[r.Attempt]
	att.open, q.open = false, q.open-1
	q.spent = q.spent || r.Outcome != ConnectFailed && r.Outcome != NotAttempted
	att.maybe = r.Outcome != Overloaded && r.Outcome != ConnectFailed && r.Outcome != NotAttempted
	l.learn(now, att, r)
	if r.Outcome == Succeeded { // of a client that has gone too
		l.settle(now, q, r.ActualUnits)
	}
	if r.Outcome == Succeeded && r.Final && !q.ended() {
		if !att.late { // well spent: where some servers are bad and others good, more may follow
			l.retryBudget += float64(len(q.attempts) - 1)
		}
		l.move(q, Answered)
	}
	if r.Final && !q.ended() {
		l.move(q, ClientGone)
	}
	if q.ended() {
		l.drop(now, q)
		return
	}
	if q.open == 0 && !l.again(now, q) {
		l.finish(now, q)
	}
}

// again sends a further attempt where the class, the time, the attempts left and the pressure allow it.
func (l *Controller) again(now int64, q *request) bool {
	if q.end <= now || len(q.attempts) >= l.set.MaxAttempts || l.retryBudget < 1 || q.open > 0 {
		return false
	}
	for _, att := range q.attempts {
		if att.maybe && q.class.Idempotency == NonIdempotent {
			return false
		}
	}
	s := l.pick(now, q)
	if s == nil {
		return false
	}
	l.retryBudget--
	l.send(now, q, s)
	return true
}

// overdue lowers a server's limit for an attempt that is not answered well inside the target latency, without
// waiting for the answer: servers that slow down together would fill up until then.
func (l *Controller) overdue(now int64, att *attempt) {
	if !att.late && now-att.at > att.request.class.LatencyObjective/wellInside {
		att.late = true
		att.server.limit = max(att.server.limit-att.request.units*late/grow, l.part)
		l.lowerLimit(att.request)
	}
}

// lowerLimit takes from the in-flight limit for an attempt that is late or full. One limiter among hundreds
// sees a server too seldom to learn its limit in time; all together soon tell that they fill up. Where
// answers are prompt the rest are silent, not overrun, and it takes no more than a prompt answer adds.
func (l *Controller) lowerLimit(q *request) {
	times := max(1, math.Min(lateAll, l.overloadRatio/overloadLeast))
	l.inFlightLimit = max(l.inFlightLimit-q.units*times/grow, l.least())
}

// least is the in-flight limit that is always there: the largest request at each server, over all limiters.
func (l *Controller) least() float64 { return l.part * float64(len(l.order)) }

// learn keeps the record of the server that an attempt was sent to.
func (l *Controller) learn(now int64, att *attempt, r AttemptResult) {
	s, u := att.server, att.request.units
	l.overdue(now, att)
	s.attempts, s.out = slices.DeleteFunc(s.attempts, func(o *attempt) bool { return o == att }),
		max(0, s.out-u)
	switch r.Outcome {
	case Succeeded:
		s.heard, s.bad = now, s.bad*(1-badStep)
		if s.health == ejected || s.health == trial && s.bad < badMost/2 {
			l.log("server %s answers again", s.id)
			s.health, s.rest = healthy, 0
		}
		if told := r.stay(); told > 0 {
			stay := math.Log(told) // a few servers that are stuck do not make a mean of logarithms
			if l.reported == 0 {
				l.meanStay = stay
			}
			l.meanStay, l.reported = l.meanStay+(stay-l.meanStay)/stayFade, now
		}
		took := seconds(r.Duration)
		s.took, s.did = s.took*(1-1.0/fade)+took, s.did*(1-1.0/fade)+u
		l.timeTaken, l.unitsDone = l.timeTaken*(1-0.1/fade)+took, l.unitsDone*(1-0.1/fade)+u
		if l.overloadRatio -= l.overloadRatio / overloadFade; att.late {
			l.overloadRatio += 1.0 / overloadFade
			break
		}
		if s.out+u > s.limit/2 || l.busy {
			s.limit += u / grow
		}
		// The limit is what can come together by chance, not the load: few requests out swing the most.
		if l.inFlightLimit < l.meanInFlight+burstDeviations*math.Sqrt(l.meanInFlight*l.set.MaxRequestUnits) {
			l.inFlightLimit += u / grow
		}
	case Overloaded:
		s.heard, s.fullTill = now, now+l.tickInterval
		s.limit = math.Min(s.limit, s.out)
		l.overloadRatio += (1 - l.overloadRatio) / overloadFade
		l.lowerLimit(att.request)
	case ServerError, ConnectFailed, ConnectionLost, Cancelled:
		// A server that fails is quick at it: its answers say nothing of its pace, or it would draw all
		// requests. One that takes no connection is not tried three times: each of many limiters would do so.
		if s.bad += badStep * (1 - s.bad); s.bad > badMost || r.Outcome == ConnectFailed {
			l.eject(now, s, "fails")
		}
	}
	s.limit = max(s.limit, l.part)
	l.note(now, s)
}

// eject keeps new requests from a server until it shows life. A shared cause must not take all of them.
func (l *Controller) eject(now int64, s *server, why string) {
	if s.health == ejected || float64(l.index.away()+1) > float64(l.index.ready)*ejectedMost {
		return
	}
	l.log("server %s %s, ejected", s.id, why)
	s.rest = min(max(2*s.rest, l.tickInterval*ticksPerTarget), l.set.SlowStartWindow)
	s.health, s.probes, s.next = ejected, 0, now+s.rest
	l.note(now, s)
}

// tick is the regular tick at the servers in use: it finds the silent ones and lets others come back. Those
// that are gone are let go of: a fleet that is replaced again and again would fill the memory.
func (l *Controller) tick(now int64) {
	l.letGo()
	l.meanInFlight -= l.meanInFlight / ticksPerTarget
	l.subsetWeight = 0
	for i, near := 0, l.subsetSize(); i < len(l.order) && near > 0; i++ {
		if s := l.order[i]; s.listing == EndpointReady && s.health != ejected {
			l.subsetWeight, near = l.subsetWeight+l.weight(now, s), near-1
		}
	}
	active := l.index.inOrder()
	for _, s := range active {
		for _, att := range s.attempts {
			l.overdue(now, att)
		}
		if s.listing == EndpointReady && s.health == ejected {
			l.tryAgain(now, s)
		} else if s.listing == EndpointReady {
			l.meanInFlight += s.out / ticksPerTarget
			l.listen(now, s)
		}
	}
	for _, s := range active {
		for _, att := range slices.Clone(s.attempts) {
			l.cancelLost(now, att)
		}
	}
}

// tryAgain probes an ejected server, or reinstates it where there are no probes, when it has rested.
func (l *Controller) tryAgain(now int64, s *server) {
	if now < s.next {
		return
	}
	if !l.set.HealthChecks {
		l.reinstate(now, s)
		return
	}
	l.effects.HealthCheck(s.id)
	s.next = now + max(s.rest, l.set.DialTimeout)
}

// listen ejects a server that has been silent for too long.
func (l *Controller) listen(now int64, s *server) {
	if len(s.attempts) == 0 {
		return
	}
	first := s.attempts[0]
	wait := first.request.class.LatencyObjective
	if len(s.attempts) > 1 {
		wait = wait * 2 / 3
	}
	if now-max(s.heard, first.at) > wait {
		l.eject(now, s, "is silent")
	}
}

// cancelLost cancels an attempt whose answer is lost, or whose server is ejected or gone.
func (l *Controller) cancelLost(now int64, att *attempt) {
	s, q, lost := att.server, att.request, l.lost(now, att)
	if q.state != InFlight || q.class.Idempotency == NonIdempotent || !l.set.CanCancel {
		return
	}
	if lost && now-q.attempts[0].at > q.class.LatencyObjective {
		// A late answer is worth nothing: the server and the client are spared it.
		l.finish(now, q)
		l.effects.Cancel(q.id, att.number)
		return
	}
	if s.health != ejected && s.listing != EndpointGone && !lost || now-att.at > q.class.LatencyObjective {
		return
	}
	if l.retryBudget >= 1 && len(l.able(now, q)) > 0 {
		l.effects.Cancel(q.id, att.number) // it is sent again once its end is known
	}
}

// lost tells whether an attempt's answer is likely not to come, whether its server lives or not: it is out
// for many times as long as a request of its size takes there, while the answers that do come are prompt.
func (l *Controller) lost(now int64, att *attempt) bool {
	s := att.server
	return s.did > 0 && l.overloadRatio < lateAll*overloadLeast &&
		now-att.at > max(nanos(lostAfter*att.request.units*s.took/s.did), att.request.class.LatencyObjective/lostLeast)
}

// reinstate lets a server that was ejected have one request at a time. One that failed may be a new process
// that the list does not tell of yet, so it is taken as cold.
func (l *Controller) reinstate(now int64, s *server) {
	if s.health, s.heard = trial, now; s.bad > badMost {
		s.warmFrom, s.slowStartTurns = now, l.turnOffset(s)
	}
}

// HealthCheckDone takes what a probe found.
func (l *Controller) HealthCheckDone(now int64, id string, outcome Outcome) {
	s := l.servers[id]
	if s == nil || s.health != ejected {
		return
	}
	if s.probes++; outcome != Succeeded {
		s.probes = 0
	} else if s.probes >= 2 {
		l.reinstate(now, s)
	}
}

// ClientDisconnected says that the client has gone.
func (l *Controller) ClientDisconnected(now int64, id string) {
	if q := l.requests[id]; q != nil && !q.ended() {
		l.move(q, ClientGone)
		l.drop(now, q)
	}
}

// ShutDown says that the process ends with nothing out: what is owed is added, as no later call will come.
func (l *Controller) ShutDown(now int64) {
	for _, id := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[id]
		if a.pendingAdjustment != 0 {
			l.turn(now, a) // what is owed to a window that has passed fades with it
		}
		if a.pendingAdjustment != 0 && l.set.CounterTimeout > 0 {
			l.count(&request{account: a, name: a.name()}, a.pendingAdjustment, true)
			a.pendingAdjustment = 0
		}
	}
}

// TimerFired takes a timer that was asked for.
func (l *Controller) TimerFired(now, token int64) {
	if token == 0 {
		l.tick(now)
		l.forget(now)
		l.effects.SetTimer(now+l.tickInterval, 0)
		return
	}
	if q := l.timers[token]; q != nil && now >= q.end {
		l.finish(now, q)
	}
}

// forget lets go of customers whose every count and store is as good as new and has nothing to settle. A full
// part of a ceiling is: a new one, which fills from the start on, would be full too.
func (l *Controller) forget(now int64) {
	l.ticked = now
	for a := l.expiries.due(now); a != nil; a = l.expiries.due(now) {
		if l.accounts[a.id] != a {
			continue
		}
		if at := l.forgetAt(now, a); at > now {
			l.expiries.enter(at, a)
		} else {
			delete(l.accounts, a.id)
		}
	}
}

// forgetAt is the earliest time at which a customer can be let go of, as far as is known now.
func (l *Controller) forgetAt(now int64, a *account) int64 {
	a.ceiling.fill(now)
	at := a.ceiling.fullAt(math.MaxInt64)
	if a.quota.rate > 0 {
		if a.held > 0 {
			a.used = now
		}
		a.quota.fill(now)
		at = max(at, a.quota.fullAt(math.MaxInt64), a.used+l.span(a)+1)
	}
	return at
}

// drop forgets an ended request once nothing of it is out. If no server got it whole all it took goes back.
func (l *Controller) drop(now int64, q *request) {
	delete(l.timers, q.token)
	if q.open > 0 || l.requests[q.id] != q {
		return
	}
	delete(l.requests, q.id)
	if q.account != nil {
		q.account.release(l.ticked)
	}
	if a := q.account; len(q.attempts) > 0 && !q.spent {
		a.quota.level = math.Min(a.quota.depth, a.quota.fill(now)+q.charge)
		a.slice.level = math.Min(a.slice.depth, a.slice.fill(now)+q.charge)
		a.ceiling.level = math.Min(a.ceiling.depth, a.ceiling.fill(now)+q.units)
		if !q.reserved && a.quota.rate > 0 && q.name == a.name() {
			a.pendingAdjustment -= q.charge * q.weight
		}
		l.release(now, q, q.charge)
	}
}
