package choice

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// eligibleByWalk is eligibleServers without the index: it looks at every server. The index must give the same servers.
func eligibleByWalk(controller *Controller, now int64, q *request) []*server {
	var able []*server
	out, usable, ready, near := q.units, 0.0, 0.0, 0
	for _, s := range controller.servers.ring {
		if s.state == EndpointReady {
			ready++
		}
		if !controller.servers.mayReceive(now, q, s) {
			continue
		}
		warmth := controller.slowStart.weight(now, s)
		out, usable, near = out+s.inFlight, usable+warmth, near+1
		if near > controller.servers.subsetSize() && len(able) > 0 {
			continue
		}
		if now >= s.overloadedUntil && (len(s.attempts) == 0 || s.inFlight+q.units <= s.limit*warmth) {
			able = append(able, s)
		}
	}
	room := controller.concurrency.inFlightLimit * controller.concurrency.residenceFactor(
		now,
		q.class,
	) * usable / max(
		ready,
		1,
	)
	room *= 1 - priorityReserve*(1-q.class.PriorityWeight/controller.concurrency.mostValuable.PriorityWeight)
	if out > room && out > q.units {
		return nil
	}
	return able
}

// forgettableByWalk are the customers that a look at every one would let go of now. It changes nothing.
func forgettableByWalk(controller *Controller, now int64) map[uint64]bool {
	inUse := map[*account]bool{}
	for _, q := range controller.requests.byID {
		inUse[q.account] = true
	}
	let := map[uint64]bool{}
	for id, a := range controller.accounts.byCustomer {
		quota, ceiling := a.sharedQuota, a.ceiling
		unused := !inUse[a] && now-a.lastUsed > windowLength(controller.settings, a)
		full := quota.rate <= 0 || unused && quota.refill(now) >= quota.burst
		let[id] = full && ceiling.refill(now) >= ceiling.burst
	}
	return let
}

// world answers what a limiter asks for at random.
type world struct {
	recordedEffects
	rng    *rand.Rand
	sent   []string
	called []uint64
	ended  map[string]bool
}

func (w *world) Send(request, _ string)                         { w.sent = append(w.sent, request) }
func (w *world) Reject(request string, _ int64, _ RejectReason) { w.ended[request] = true }
func (w *world) Fail(request string)                            { w.ended[request] = true }
func (w *world) AddToCounter(name uint64, _ float64, _ int64)   { w.called = append(w.called, name) }
func (w *world) Cancel(request string, _ int)                   {}
func (w *world) HealthCheck(string)                             {}

// randomFleet is a limiter with random settings before a random list of servers.
func randomFleet(seed int64) (*Controller, *world) {
	w := &world{rng: rand.New(rand.NewSource(seed)), ended: map[string]bool{}}
	set := &Settings{
		Classes: map[string]*Class{
			"read": {LatencyObjective: second, Idempotency: Idempotent, PriorityWeight: 1},
			"mark": {
				LatencyObjective:    2 * second,
				Idempotency:         IdempotentWithKey,
				DeduplicationScope:  DeduplicationScope(w.rng.Intn(3)),
				DeduplicationWindow: 3 * second,
				PriorityWeight:      2,
			},
			"write": {LatencyObjective: second / 2, Idempotency: NonIdempotent, PriorityWeight: 1},
		},
		Plans: map[string]*Plan{
			"plain": {
				Rate:           5,
				Burst:          10,
				PriorityWeight: 1,
			}, "hard": {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16, PriorityWeight: 1},
			"open": {MaxInFlight: 4, PriorityWeight: 1}, "free": {PriorityWeight: 1},
		},
		CounterTimeout: second / 20, MaxRequestUnits: 4, MaxLease: 20 * second, Limiters: 1 + w.rng.Intn(60), Position: w.rng.Intn(60),
		ColdCapacity: 0.25 * float64(w.rng.Intn(3)), SlowStartWindow: 4 * second, DialTimeout: second / 4, MaxAttempts: 3, MaxRetryAfter: second,
		HealthChecks: w.rng.Intn(2) == 0, CanCancel: true, TimerResolution: second / 500,
	}
	controller := New(0, set, seed, w)
	controller.UpdateEndpoints(0, true, w.entries(1+w.rng.Intn(120), 0))
	return controller, w
}

// entries are lines of a list on some of so many servers: ready, draining, gone, started now or long ago.
func (w *world) entries(servers int, now int64) (entries []Endpoint) {
	for i := range servers {
		e := Endpoint{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%4), Cell: int64(i % 6), Weight: 1}
		switch w.rng.Intn(8) {
		case 0:
			e.State = EndpointDraining
		case 1:
			e.State = EndpointGone
		case 2:
			e.StartedAt = now
		case 3:
			e.StartedAt = now + second/3 // a clock that runs ahead
		}
		entries = append(entries, e)
	}
	return entries
}

// step lets one random thing happen.
func (w *world) step(controller *Controller, now int64, n int) {
	switch w.rng.Intn(10) {
	case 0, 1, 2:
		plans, classes := []string{"plain", "hard", "open", "free"}, []string{"read", "mark", "write"}
		customer := w.rng.Intn(40)
		controller.RequestArrived(
			now,
			Arrival{ID: fmt.Sprint("q", n), Timeout: 3 * second, Customer: uint64(customer), Plan: plans[customer%4],
				Class: classes[w.rng.Intn(3)], Units: 1, Limiters: 2},
		)
	case 3, 4:
		if len(w.called) > 0 {
			controller.CounterReplied(
				now,
				w.called[0],
				[]Outcome{Succeeded, Succeeded, TimedOut, ServerError}[w.rng.Intn(4)],
				3,
			)
			w.called = w.called[1:]
		}
	case 5, 6, 7:
		if len(w.sent) > 0 {
			i := w.rng.Intn(len(w.sent))
			id := w.sent[i]
			w.sent = slices.Delete(w.sent, i, i+1)
			w.answer(controller, now, id)
		}
	case 8:
		w.change(controller, now)
	case 9:
		controller.ClientDisconnected(now, fmt.Sprint("q", w.rng.Intn(n+1)))
	}
}

// answer ends the open attempt of a request in some way.
func (w *world) answer(controller *Controller, now int64, id string) {
	q := controller.requests.byID[id]
	if q == nil {
		return
	}
	for _, att := range q.attempts {
		if att.open {
			outcome := []Outcome{Succeeded, Succeeded, ServerError, Overloaded, TimedOut, ConnectFailed, ConnectionLost}[w.rng.Intn(7)]
			controller.AttemptDone(
				now,
				AttemptResult{
					Request:  id,
					Attempt:  att.number,
					Outcome:  outcome,
					Duration: now - att.sentAt,
					Final:    outcome == Succeeded,
				},
			)
			return
		}
	}
}

// change has some servers come, go or be probed.
func (w *world) change(controller *Controller, now int64) {
	entries := w.entries(130, now)
	if w.rng.Intn(4) == 0 {
		controller.UpdateEndpoints(now, true, entries[w.rng.Intn(60):])
		return
	}
	i := w.rng.Intn(len(entries))
	controller.UpdateEndpoints(now, false, entries[i:i+1])
	controller.HealthCheckDone(now, entries[i].ID, Succeeded)
}

// check compares the index with a walk over all servers.
func check(t *testing.T, controller *Controller, now int64) {
	t.Helper()
	ready := 0
	for i, s := range controller.servers.ring {
		if s.state == EndpointReady {
			ready++
		}
		inUse := len(s.attempts) > 0 || s.state == EndpointReady && (s.health.state != healthy || s.inFlight > 0)
		if s.ringIndex != i || inUse && (s.group != groupActive || controller.servers.index.active[s.slot] != s) {
			t.Fatalf("server %s at %d: position %d, group %d", s.id, i, s.ringIndex, s.group)
		}
		if !inUse && s.startedAt == 0 && s.group == groupActive {
			t.Fatalf("server %s is looked at by itself and not in use", s.id)
		}
	}
	if controller.servers.index.ready != ready || len(controller.servers.ring) != len(controller.servers.byID) {
		t.Fatalf(
			"%d ready, %d counted; %d in order of %d",
			ready,
			controller.servers.index.ready,
			len(controller.servers.ring),
			len(controller.servers.byID),
		)
	}
	requests := []*request{
		{units: 1, class: controller.settings.Classes["read"]},
		{units: 1, class: controller.settings.Classes["write"]},
	}
	for _, q := range controller.requests.byID {
		if q.account != nil {
			requests = append(requests, q)
		}
	}
	for _, q := range requests {
		want, got := eligibleByWalk(controller, now, q), controller.eligibleServers(now, q)
		if !slices.Equal(want, got) {
			t.Fatalf("a walk finds %d servers, the index %d", len(want), len(got))
		}
	}
	let := forgettableByWalk(controller, now)
	before := len(controller.accounts.byCustomer)
	controller.forgetAccounts(now)
	for id, over := range let {
		if kept := controller.accounts.byCustomer[id] != nil; kept == over {
			t.Fatalf("of %d customers %d is kept: %v, a walk lets go of it: %v", before, id, kept, over)
		}
	}
}

// TestIndex plays random fleets: what the index finds is what a walk over all servers and customers finds, at every
// step.
func TestIndex(t *testing.T) {
	for seed := range int64(40) {
		controller, w := randomFleet(seed)
		now := second
		for n := range 400 {
			now += int64(w.rng.Intn(int(second) / 20))
			if w.rng.Intn(50) == 0 {
				now += 8 * second // long enough for customers to be forgotten
			}
			w.step(controller, now, n)
			for _, q := range controller.requests.byTimer {
				if now >= q.deadline {
					controller.TimerFired(now, q.timer)
					break
				}
			}
			if n%5 == 0 {
				controller.tick(now)
			}
			check(t, controller, now)
		}
	}
}

// TestWarmingCapacity: the warmth of servers that warm up is summed exactly, however many there are and whenever they
// began.
func TestWarmingCapacity(t *testing.T) {
	controller, _ := newTestController()
	var entries []Endpoint
	for i := range 8500 {
		entries = append(entries, Endpoint{ID: fmt.Sprint(i), StartedAt: 100*second + int64(i)*second/1000})
	}
	now := 109 * second
	controller.UpdateEndpoints(now, true, entries)
	want := 0.0
	for _, s := range controller.servers.ring {
		if s.state == EndpointReady {
			want += controller.slowStart.weight(now, s)
		}
	}
	_, got := controller.servers.available(now, &request{units: 1, class: controller.settings.Classes["read"]})
	if math.Abs(got-want) > 1e-6 {
		t.Fatalf("the sum is %v, %v by a walk", got, want)
	}
}

// TestLastUsedUntilForgotten: a customer counts as used up to the latest tick at which a request of it was known.
func TestLastUsedUntilForgotten(t *testing.T) {
	controller, _ := newTestController()
	q := sendRequest(controller, "read")
	controller.TimerFired(5*second, 0)
	controller.TimerFired(6*second, 0)
	controller.AttemptDone(7*second, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 7 * second, Final: true})
	if q.account.lastUsed != 6*second || q.account.openRequests != 0 {
		t.Fatalf("used at %d, %d requests held", q.account.lastUsed, q.account.openRequests)
	}
}
