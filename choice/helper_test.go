package choice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// recordedEffects implements Effects and records each call as a line of text.
type recordedEffects struct {
	calls      []string
	retryAfter int64        // of the latest rejection
	reason     RejectReason // of the latest rejection
	logLines   []string     // texts passed to Log, which calls leaves out
}

func (e *recordedEffects) record(format string, args ...any) {
	e.calls = append(e.calls, fmt.Sprintf(format, args...))
}

func (e *recordedEffects) Send(request, server string) { e.record("send %s %s", request, server) }
func (e *recordedEffects) Cancel(request string, attempt int) {
	e.record("cancel %s %d", request, attempt)
}
func (e *recordedEffects) Reject(request string, after int64, reason RejectReason) {
	e.retryAfter, e.reason = after, reason
	e.record("reject %s", request)
}
func (e *recordedEffects) Fail(request string) { e.record("fail %s", request) }
func (e *recordedEffects) AddToCounter(name uint64, amount float64, _ int64) {
	e.record("count %v", amount)
}
func (e *recordedEffects) HealthCheck(server string) { e.record("health check %s", server) }
func (e *recordedEffects) SetTimer(at, token int64)  {}
func (e *recordedEffects) StopTimer(token int64)     {}
func (e *recordedEffects) Log(text string)           { e.logLines = append(e.logLines, text) }

const second = int64(1e9)

// newTestController returns a controller with the servers a and b, an idempotent class, a class with an idempotency key
// and a non-idempotent one, and one plan without and one with a ceiling.
func newTestController() (*Controller, *recordedEffects) {
	effects := &recordedEffects{}
	settings := &Settings{
		Classes: map[string]*Class{
			"read": {LatencyObjective: second, Idempotency: Idempotent, PriorityWeight: 1},
			"mark": {
				LatencyObjective:    second,
				Idempotency:         IdempotentWithKey,
				DeduplicationScope:  ScopeZone,
				DeduplicationWindow: second,
				PriorityWeight:      1,
			},
			"write": {LatencyObjective: second, Idempotency: NonIdempotent, PriorityWeight: 1},
		},
		Plans: map[string]*Plan{
			"plain": {Rate: 5, Burst: 10},
			"hard":  {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16},
		},
		CounterTimeout: second / 20, MaxRequestUnits: 4, MaxLease: 60 * second, Limiters: 2,
		ColdCapacity: 0.25, SlowStartWindow: 10 * second, DialTimeout: second / 4,
		MaxAttempts: 3, MaxRetryAfter: second, HealthChecks: true, TimerResolution: second / 500,
	}
	controller := New(0, settings, 1, effects)
	controller.UpdateEndpoints(0, true, []Endpoint{{ID: "a", Zone: "x", Weight: 1}, {ID: "b", Zone: "y", Weight: 1}})
	for _, s := range controller.servers.ring {
		s.credit.current = 0
	}
	sortRingByID(controller)
	startWindow(controller, "plain", 0)
	startWindow(controller, "hard", 0)
	return controller, effects
}

// requireReason checks the reason of the latest rejection.
func (e *recordedEffects) requireReason(t *testing.T, want RejectReason) {
	t.Helper()
	if e.reason != want {
		t.Fatalf("rejected for %v, want %v", e.reason, want)
	}
}

// reindex updates the index after a test has changed servers directly.
func reindex(controller *Controller, now int64) {
	for _, s := range controller.servers.ring {
		controller.servers.reindex(now, s)
	}
}

// sortRingByID puts the servers in the order of their IDs instead of the ring's.
func sortRingByID(controller *Controller) {
	slices.SortFunc(controller.servers.ring, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	controller.servers.updateRingIndexes()
}

// startWindow makes a counter window of the plan's customer begin at the given time.
func startWindow(controller *Controller, plan string, at int64) {
	acct := controller.getOrCreateAccount(0, arrival("", "read", plan), controller.settings.Plans[plan])
	acct.window.offset = windowLength(controller.settings, acct) - at
}

func arrival(id, class, plan string) Arrival {
	return Arrival{
		ID:       id,
		Timeout:  4 * second,
		Customer: uint64(len(plan)),
		Plan:     plan,
		Class:    class,
		Units:    2,
		Limiters: 2,
	}
}

// reserveRequest returns a request that waits for the counter.
func reserveRequest(controller *Controller, class, plan string) *request {
	controller.RequestArrived(0, arrival("j", class, plan))
	return controller.requests.byID["j"]
}

// sendRequest returns a request whose first attempt is in flight.
func sendRequest(controller *Controller, class string) *request {
	req := reserveRequest(controller, class, "plain")
	controller.CounterReplied(0, req.reservation.name, Succeeded, 2)
	return req
}

// requireEffects checks that the recorded effects end with the given ones, in order.
func requireEffects(t *testing.T, effects *recordedEffects, want ...string) {
	t.Helper()
	if len(effects.calls) < len(want) {
		t.Fatalf("effects %q do not end with %q", effects.calls, want)
	}
	got := effects.calls[len(effects.calls)-len(want):]
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("effects %q do not end with %q", effects.calls, want)
		}
	}
}

// getOrCreateAccount returns the account of an arrival's customer.
func (c *Controller) getOrCreateAccount(now int64, a Arrival, plan *Plan) *account {
	return c.accounts.getOrCreate(now, a, plan, c.settings.CounterTimeout == 0 || c.sampling.everAnswered())
}

// evictAccounts is the part of a tick that evicts accounts.
func (c *Controller) evictAccounts(now int64) {
	c.lastTick = now
	c.accounts.evictUnused(now)
}
