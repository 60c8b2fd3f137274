package choice

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// eligibleByFullScan is eligibleServers without the index: it visits every server. The index must give the same
// servers.
func eligibleByFullScan(controller *Controller, now int64, req *request) []*server {
	var eligible []*server
	inFlightUnits, capacity, ready, considered := req.units, 0.0, 0.0, 0
	for _, s := range controller.servers.ring {
		if s.state == EndpointReady {
			ready++
		}
		if !controller.servers.mayReceive(now, req, s) {
			continue
		}
		slowStartWeight := controller.slowStart.weight(now, s)
		inFlightUnits, capacity, considered = inFlightUnits+s.inFlight, capacity+slowStartWeight, considered+1
		if considered > controller.servers.subsetSize() && len(eligible) > 0 {
			continue
		}
		if now >= s.overloadedUntil && (len(s.attempts) == 0 || s.inFlight+req.units <= s.limit*slowStartWeight) {
			eligible = append(eligible, s)
		}
	}
	allowed := controller.concurrency.inFlightLimit * controller.concurrency.residenceFactor(
		now,
		req.class,
	) * capacity / max(
		ready,
		1,
	)
	allowed *= 1 - priorityReserve*(1-req.class.PriorityWeight/controller.concurrency.highestPriority.PriorityWeight)
	if inFlightUnits > allowed && inFlightUnits > req.units {
		return nil
	}
	return eligible
}

// evictableByFullScan returns whether each customer's account can be evicted now. It visits every account and changes
// nothing.
func evictableByFullScan(controller *Controller, now int64) map[uint64]bool {
	inUse := map[*account]bool{}
	for _, req := range controller.requests.byID {
		inUse[req.account] = true
	}
	evictable := map[uint64]bool{}
	for id, acct := range controller.accounts.byCustomer {
		quota, ceiling := acct.sharedQuota, acct.ceiling
		unused := !inUse[acct] && now-acct.lastUsed > windowLength(controller.settings, acct)
		full := quota.rate <= 0 || unused && quota.refill(now) >= quota.burst
		evictable[id] = full && ceiling.refill(now) >= ceiling.burst
	}
	return evictable
}

// randomEnvironment implements Effects. It ends requests, calls to the counter and attempts at random.
type randomEnvironment struct {
	recordedEffects
	rng          *rand.Rand
	sent         []string
	counterCalls []uint64
	ended        map[string]bool
}

func (e *randomEnvironment) Send(request, _ string)                         { e.sent = append(e.sent, request) }
func (e *randomEnvironment) Reject(request string, _ int64, _ RejectReason) { e.ended[request] = true }
func (e *randomEnvironment) Fail(request string)                            { e.ended[request] = true }
func (e *randomEnvironment) AddToCounter(name uint64, _ float64, _ int64) {
	e.counterCalls = append(e.counterCalls, name)
}
func (e *randomEnvironment) Cancel(request string, _ int) {}
func (e *randomEnvironment) HealthCheck(string)           {}

// newRandomController returns a controller with random settings and a random list of servers.
func newRandomController(seed int64) (*Controller, *randomEnvironment) {
	env := &randomEnvironment{rng: rand.New(rand.NewSource(seed)), ended: map[string]bool{}}
	settings := &Settings{
		Classes: map[string]*Class{
			"read": {LatencyObjective: second, Idempotency: Idempotent, PriorityWeight: 1},
			"mark": {
				LatencyObjective:    2 * second,
				Idempotency:         IdempotentWithKey,
				DeduplicationScope:  DeduplicationScope(env.rng.Intn(3)),
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
		CounterTimeout: second / 20, MaxRequestUnits: 4, MaxLease: 20 * second,
		Limiters: 1 + env.rng.Intn(60), Position: env.rng.Intn(60),
		ColdCapacity: 0.25 * float64(env.rng.Intn(3)), SlowStartWindow: 4 * second,
		DialTimeout: second / 4, MaxAttempts: 3, MaxRetryAfter: second,
		HealthChecks: env.rng.Intn(2) == 0, CanCancel: true, TimerResolution: second / 500,
	}
	controller := New(0, settings, seed, env)
	controller.UpdateEndpoints(0, true, env.endpoints(1+env.rng.Intn(120), 0))
	return controller, env
}

// endpoints returns a random entry for each of the given number of servers: ready, draining or gone, and started now or
// long ago.
func (e *randomEnvironment) endpoints(servers int, now int64) (endpoints []Endpoint) {
	for i := range servers {
		endpoint := Endpoint{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%4), Cell: int64(i % 6), Weight: 1}
		switch e.rng.Intn(8) {
		case 0:
			endpoint.State = EndpointDraining
		case 1:
			endpoint.State = EndpointGone
		case 2:
			endpoint.StartedAt = now
		case 3:
			endpoint.StartedAt = now + second/3 // the clock of the server's host runs ahead
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// randomStep makes one random event happen.
func (e *randomEnvironment) randomStep(controller *Controller, now int64, n int) {
	switch e.rng.Intn(10) {
	case 0, 1, 2:
		plans, classes := []string{"plain", "hard", "open", "free"}, []string{"read", "mark", "write"}
		customer := e.rng.Intn(40)
		controller.RequestArrived(
			now,
			Arrival{ID: fmt.Sprint("q", n), Timeout: 3 * second, Customer: uint64(customer), Plan: plans[customer%4],
				Class: classes[e.rng.Intn(3)], Units: 1, Limiters: 2},
		)
	case 3, 4:
		if len(e.counterCalls) > 0 {
			controller.CounterReplied(
				now,
				e.counterCalls[0],
				[]Outcome{Succeeded, Succeeded, TimedOut, ServerError}[e.rng.Intn(4)],
				3,
			)
			e.counterCalls = e.counterCalls[1:]
		}
	case 5, 6, 7:
		if len(e.sent) > 0 {
			i := e.rng.Intn(len(e.sent))
			id := e.sent[i]
			e.sent = slices.Delete(e.sent, i, i+1)
			e.finishAttempt(controller, now, id)
		}
	case 8:
		e.changeServers(controller, now)
	case 9:
		controller.ClientDisconnected(now, fmt.Sprint("q", e.rng.Intn(n+1)))
	}
}

// finishAttempt ends the open attempt of a request with a random outcome.
func (e *randomEnvironment) finishAttempt(controller *Controller, now int64, id string) {
	req := controller.requests.byID[id]
	if req == nil {
		return
	}
	for _, att := range req.attempts {
		if att.open {
			outcome := []Outcome{
				Succeeded, Succeeded, ServerError, Overloaded, TimedOut, ConnectFailed, ConnectionLost,
			}[e.rng.Intn(7)]
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

// changeServers applies a random complete list, or a change of one server and a health check that it passed.
func (e *randomEnvironment) changeServers(controller *Controller, now int64) {
	endpoints := e.endpoints(130, now)
	if e.rng.Intn(4) == 0 {
		controller.UpdateEndpoints(now, true, endpoints[e.rng.Intn(60):])
		return
	}
	i := e.rng.Intn(len(endpoints))
	controller.UpdateEndpoints(now, false, endpoints[i:i+1])
	controller.HealthCheckDone(now, endpoints[i].ID, Succeeded)
}

// requireIndexMatchesScan compares the index with a scan of all servers and accounts.
func requireIndexMatchesScan(t *testing.T, controller *Controller, now int64) {
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
			t.Fatalf("server %s is in groupActive but not in use", s.id)
		}
	}
	if controller.servers.index.ready != ready || len(controller.servers.ring) != len(controller.servers.byID) {
		t.Fatalf(
			"%d servers ready, %d counted; %d on the ring, %d by ID",
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
	for _, req := range controller.requests.byID {
		if req.account != nil {
			requests = append(requests, req)
		}
	}
	for _, req := range requests {
		want, got := eligibleByFullScan(controller, now, req), controller.eligibleServers(now, req)
		if !slices.Equal(want, got) {
			t.Fatalf("a full scan finds %d servers, the index %d", len(want), len(got))
		}
	}
	evictable := evictableByFullScan(controller, now)
	before := len(controller.accounts.byCustomer)
	controller.evictAccounts(now)
	for id, evicted := range evictable {
		if kept := controller.accounts.byCustomer[id] != nil; kept == evicted {
			t.Fatalf("of %d customers, %d is kept: %v; a full scan evicts it: %v", before, id, kept, evicted)
		}
	}
}

// TestIndex runs controllers through random events and checks after each that the index finds what a scan of all
// servers and accounts finds.
func TestIndex(t *testing.T) {
	for seed := range int64(40) {
		controller, env := newRandomController(seed)
		now := second
		for n := range 400 {
			now += int64(env.rng.Intn(int(second) / 20))
			if env.rng.Intn(50) == 0 {
				now += 8 * second // long enough for accounts to be evicted
			}
			env.randomStep(controller, now, n)
			for _, req := range controller.requests.byTimer {
				if now >= req.deadline {
					controller.TimerFired(now, req.timer)
					break
				}
			}
			if n%5 == 0 {
				controller.tick(now)
			}
			requireIndexMatchesScan(t, controller, now)
		}
	}
}

// TestWarmingCapacity checks that the slow-start weights of warming servers are summed exactly, whatever their number
// and start times.
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
		t.Fatalf("the sum is %v, want %v", got, want)
	}
}

// TestLastUsedUntilEvicted checks that a customer counts as used up to the latest tick at which a request of it was in
// the table.
func TestLastUsedUntilEvicted(t *testing.T) {
	controller, _ := newTestController()
	req := sendRequest(controller, "read")
	controller.TimerFired(5*second, 0)
	controller.TimerFired(6*second, 0)
	controller.AttemptDone(7*second, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 7 * second, Final: true})
	if req.account.lastUsed != 6*second || req.account.openRequests != 0 {
		t.Fatalf("last used at %d, %d open requests", req.account.lastUsed, req.account.openRequests)
	}
}
