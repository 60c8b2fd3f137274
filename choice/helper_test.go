package choice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// recordedEffects writes down what the limiter did, one line each.
type recordedEffects struct {
	did        []string
	retryAfter int64        // the latest retry-after
	reason     RejectReason // and why
	logged     []string     // apart from did: a decision is logged beside what it does
}

func (done *recordedEffects) add(form string, args ...any) {
	done.did = append(done.did, fmt.Sprintf(form, args...))
}

func (done *recordedEffects) Send(request, server string) { done.add("send %s %s", request, server) }
func (done *recordedEffects) Cancel(request string, attempt int) {
	done.add("cancel %s %d", request, attempt)
}
func (done *recordedEffects) Reject(request string, after int64, reason RejectReason) {
	done.retryAfter, done.reason = after, reason
	done.add("reject %s", request)
}
func (done *recordedEffects) Fail(request string) { done.add("fail %s", request) }
func (done *recordedEffects) AddToCounter(name uint64, amount float64, _ int64) {
	done.add("count %v", amount)
}
func (done *recordedEffects) HealthCheck(server string) { done.add("health check %s", server) }
func (done *recordedEffects) SetTimer(at, token int64)  {}
func (done *recordedEffects) Log(text string)           { done.logged = append(done.logged, text) }

const second = int64(1e9)

// newTestController makes a limiter with the servers a and b, an idempotent, a keyed and a non-idempotent class, and
// one plan without and one with a ceiling.
func newTestController() (*Controller, *recordedEffects) {
	done := &recordedEffects{}
	set := &Settings{
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
	controller := New(0, set, 1, done)
	controller.UpdateEndpoints(0, true, []Endpoint{{ID: "a", Zone: "x", Weight: 1}, {ID: "b", Zone: "y", Weight: 1}})
	for _, s := range controller.servers.ring {
		s.turns.current = 0
	}
	sortRingByName(controller)
	startWindow(controller, "plain", 0)
	startWindow(controller, "hard", 0)
	return controller, done
}

// requireReason checks why the latest rejection came.
func (done *recordedEffects) requireReason(t *testing.T, want RejectReason) {
	t.Helper()
	if done.reason != want {
		t.Fatalf("rejected for %v, want %v", done.reason, want)
	}
}

// reindex takes in what a test has changed in the servers by hand.
func reindex(controller *Controller, now int64) {
	for _, s := range controller.servers.ring {
		controller.servers.reindex(now, s)
	}
}

// sortRingByName puts the servers in the order of their ids instead of the ring's.
func sortRingByName(controller *Controller) {
	slices.SortFunc(controller.servers.ring, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	controller.servers.number()
}

// startWindow lets a window of the plan's customer begin at the time.
func startWindow(controller *Controller, plan string, at int64) {
	acc := controller.useAccount(0, arrival("", "read", plan), controller.settings.Plans[plan])
	acc.window.offset = windowLength(controller.settings, acc) - at
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

// waitForCounter makes a request that waits for the counter.
func waitForCounter(controller *Controller, class, plan string) *request {
	controller.RequestArrived(0, arrival("j", class, plan))
	return controller.requests.byID["j"]
}

// sendRequest makes a request whose first attempt is out.
func sendRequest(controller *Controller, class string) *request {
	q := waitForCounter(controller, class, "plain")
	controller.CounterReplied(0, q.reservation.name, Succeeded, 2)
	return q
}

// requireEffects checks the last effect and the effects before it that a test names.
func requireEffects(t *testing.T, done *recordedEffects, want ...string) {
	t.Helper()
	if len(done.did) < len(want) {
		t.Fatalf("did %q, want %q at the end", done.did, want)
	}
	got := done.did[len(done.did)-len(want):]
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("did %q, want %q at the end", done.did, want)
		}
	}
}

// useAccount gives the account of an arrival's customer.
func (c *Controller) useAccount(now int64, a Arrival, plan *Plan) *account {
	return c.accounts.use(now, a, plan, c.settings.CounterTimeout == 0 || c.sampling.everAnswered())
}

// forgetAccounts is the part of a tick that lets go of customers.
func (c *Controller) forgetAccounts(now int64) {
	c.lastTick = now
	c.accounts.forgetUnused(now)
}
