package choice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// effects writes down what the limiter did, one line each.
type effects struct {
	did    []string
	after  int64        // the latest retry-after
	reason RejectReason // and why
}

func (d *effects) add(form string, args ...any) { d.did = append(d.did, fmt.Sprintf(form, args...)) }

func (d *effects) Send(request, server string)        { d.add("send %s %s", request, server) }
func (d *effects) Cancel(request string, attempt int) { d.add("cancel %s %d", request, attempt) }
func (d *effects) Reject(request string, after int64, reason RejectReason) {
	d.after, d.reason = after, reason
	d.add("reject %s", request)
}
func (d *effects) Fail(request string)                               { d.add("fail %s", request) }
func (d *effects) AddToCounter(name uint64, amount float64, _ int64) { d.add("count %v", amount) }
func (d *effects) HealthCheck(server string)                         { d.add("probe %s", server) }
func (d *effects) SetTimer(at, token int64)                          {}
func (d *effects) Log(text string)                                   {}

const second = int64(1e9)

// made is a limiter with the servers a and b, an idempotent, a keyed and a non-idempotent class, and one
// plan without and one with a ceiling.
func made() (*Controller, *effects) {
	d := &effects{}
	set := &Settings{
		Classes: map[string]*Class{
			"read":  {LatencyObjective: second, Idempotency: Idempotent, PriorityWeight: 1},
			"mark":  {LatencyObjective: second, Idempotency: IdempotentWithKey, DeduplicationScope: ScopeZone, DeduplicationWindow: second, PriorityWeight: 1},
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
	l := New(0, set, 1, d)
	l.UpdateEndpoints(0, true, []Endpoint{{ID: "a", Zone: "x", Weight: 1}, {ID: "b", Zone: "y", Weight: 1}})
	for _, s := range l.servers.ring {
		s.turns.current = 0
	}
	byName(l)
	opens(l, "plain", 0)
	opens(l, "hard", 0)
	return l, d
}

// because checks why the latest rejection came.
func (d *effects) because(t *testing.T, want RejectReason) {
	t.Helper()
	if d.reason != want {
		t.Fatalf("rejected for %v, want %v", d.reason, want)
	}
}

// reindex takes in what a test has changed in the servers by hand.
func reindex(l *Controller, now int64) {
	for _, s := range l.servers.ring {
		l.servers.reindex(now, s)
	}
}

// byName puts the servers in the order of their ids instead of the ring's.
func byName(l *Controller) {
	slices.SortFunc(l.servers.ring, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	l.servers.number()
}

// opens lets a window of the plan's customer begin at the time.
func opens(l *Controller, plan string, at int64) {
	acc := l.useAccount(0, arrival("", "read", plan), l.settings.Plans[plan])
	acc.window.offset = windowLength(l.settings, acc) - at
}

func arrival(id, class, plan string) Arrival {
	return Arrival{ID: id, Timeout: 4 * second, Customer: uint64(len(plan)), Plan: plan, Class: class, Units: 2, Limiters: 2}
}

// reserving is a request that waits for the counter.
func reserving(l *Controller, class, plan string) *request {
	l.RequestArrived(0, arrival("j", class, plan))
	return l.requests.byID["j"]
}

// sent is a request whose first attempt is out.
func sent(l *Controller, class string) *request {
	q := reserving(l, class, "plain")
	l.CounterReplied(0, q.reservation.name, Succeeded, 2)
	return q
}

// expect checks the last effect and the effects before it that a test names.
func expect(t *testing.T, d *effects, want ...string) {
	t.Helper()
	if len(d.did) < len(want) {
		t.Fatalf("did %q, want %q at the end", d.did, want)
	}
	got := d.did[len(d.did)-len(want):]
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("did %q, want %q at the end", d.did, want)
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
