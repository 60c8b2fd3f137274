package choice

import (
	"math"
	"testing"
)

func TestCounterReplied(t *testing.T) {
	t.Run("within the allowance the request is sent", func(t *testing.T) {
		controller, done := newTestController()
		controller.CounterReplied(0, waitForCounter(controller, "read", "plain").reservation.name, Succeeded, 10)
		requireEffects(t, done, "send j a")
	})
	t.Run("past the allowance it is added back and rejected", func(t *testing.T) {
		controller, done := newTestController()
		controller.CounterReplied(0, waitForCounter(controller, "read", "plain").reservation.name, Succeeded, 11)
		requireEffects(t, done, "count -2", "reject j")
		done.requireReason(t, RejectedForQuota)
	})
	t.Run("refused, the local quota decides and nothing is added back", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		q.account.localQuota.tokens = 1
		controller.CounterReplied(0, q.reservation.name, Overloaded, 0)
		requireEffects(t, done, "count 2", "reject j")
		done.requireReason(t, RejectedForLocalQuota)
	})
	t.Run("malformed, the counter is asked as before", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		controller.CounterReplied(0, q.reservation.name, ServerError, 0)
		requireEffects(t, done, "send j a")
		if controller.sampling.rate != 1 || q.account.window.unconfirmed != 2 {
			t.Fatal("asks", controller.sampling.rate, "unsure", q.account.window.unconfirmed)
		}
	})
	t.Run("late for a request whose client has left, it is added back", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		controller.ClientDisconnected(0, "j")
		controller.CounterReplied(0, q.reservation.name, Succeeded, 2)
		requireEffects(t, done, "count 2", "count -2")
	})
	t.Run("unanswered, what the local quota sends is owed until a total shows that it was added", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		controller.CounterReplied(0, q.reservation.name, TimedOut, 0)
		requireEffects(t, done, "send j a")
		if q.account.window.pendingAdjustment != 2 {
			t.Fatal("owed", q.account.window.pendingAdjustment)
		}
		controller.reservations.reserve(0, &request{id: "k", account: q.account, units: 2, charge: 2, class: q.class})
		controller.CounterReplied(0, q.reservation.name, Succeeded, 6)
		requireEffects(t, done, "count 4", "send k b")
		if q.account.window.pendingAdjustment != -2 {
			t.Fatal("owed", q.account.window.pendingAdjustment)
		}
	})
	t.Run("a total that has fallen frees nothing", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		q.account.window.total, q.account.window.known, q.account.sharedQuota.tokens = 30, true, 1
		controller.CounterReplied(0, q.reservation.name, Succeeded, 2)
		requireEffects(t, done, "count -2", "reject j")
	})
	t.Run("what is added back to a window that has passed leaves the bucket alone", func(t *testing.T) {
		controller, _ := newTestController()
		q := waitForCounter(controller, "read", "plain")
		later := 40 * second
		q.reservation.leaseEnd, q.account.sharedQuota.updatedAt = later+1, later
		controller.CounterReplied(later, q.reservation.name, Succeeded, 100)
		controller.reservations.release(later, q, 2)
		q.reservation.held = true
		controller.reservations.release(later, q, 2)
		controller.CounterReplied(later, q.reservation.name, Succeeded, 98)
		if level := q.account.sharedQuota.tokens; level != 3 {
			t.Fatal("the bucket has fallen to", level)
		}
	})
	t.Run("what others added while the bucket was full took nothing from it", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		q.account.window.known, q.account.sharedQuota.tokens, q.account.sharedQuota.overflow = true, 10, 24
		controller.CounterReplied(0, q.reservation.name, Succeeded, 26)
		requireEffects(t, done, "send j a")
	})
	t.Run("what a late call added for a request not sent is added back with the next", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		q.account.localQuota.tokens = 1
		controller.CounterReplied(0, q.reservation.name, TimedOut, 0)
		requireEffects(t, done, "count 2", "reject j")
		controller.reservations.reserve(0, &request{id: "k", account: q.account, units: 1, charge: 1, class: q.class})
		controller.CounterReplied(0, q.reservation.name, Succeeded, 3)
		if q.account.window.pendingAdjustment != -2 {
			t.Fatal("owed", q.account.window.pendingAdjustment)
		}
	})
	t.Run("a reservation that carries more to add back than it adds still decides its request", func(t *testing.T) {
		controller, done := newTestController()
		a := controller.useAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
		controller.reservations.rollOver(0, a)
		a.window.pendingAdjustment = -9
		q := waitForCounter(controller, "read", "plain")
		controller.CounterReplied(0, q.reservation.name, Succeeded, -7)
		requireEffects(t, done, "count -7", "send j a")
	})
	t.Run("an answer to no call does nothing", func(t *testing.T) {
		controller, done := newTestController()
		controller.CounterReplied(0, 5, Succeeded, 2)
		requireEffects(t, done)
	})
}

func TestRelease(t *testing.T) {
	t.Run("does nothing after the lease", func(t *testing.T) {
		controller, done := newTestController()
		q := waitForCounter(controller, "read", "plain")
		controller.reservations.release(q.reservation.leaseEnd, q, 2)
		requireEffects(t, done, "count 2")
	})
}

func TestObserve(t *testing.T) {
	// Others have added 8 units, now or a filling of the bucket ago; the second look must tell them apart.
	for _, c := range []struct {
		name        string
		known       bool
		added, held float64
	}{
		{"at first sight, use of just now counts in full", false, 8 * math.E, 2},
		{"at first sight, use of a filling ago has faded", false, 8, 10 - 8/math.E},
		{"what is known since shortly before stands", true, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newTestController()
			now := 2 * second // the bucket of 10 fills at 5 a second
			a := controller.useAccount(now, arrival("", "read", "plain"), controller.settings.Plans["plain"])
			a.window.known, a.window.seenAt, a.sharedQuota.tokens, a.sharedQuota.updatedAt = c.known, now, 10, now
			controller.reservations.rollOver(now, a)
			controller.reservations.observe(now, counterCall{request: &request{}, account: a}, a.counterName(), c.added)
			if math.Abs(a.sharedQuota.tokens-c.held) > 1e-9 {
				t.Fatal("holds", a.sharedQuota.tokens)
			}
		})
	}
}

func TestSettleWhileSampling(t *testing.T) {
	controller, done := newTestController()
	q := sendRequest(controller, "read")
	controller.sampling.rate = 0.5
	controller.AttemptDone(1, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4})
	requireEffects(t, done, "count 2", "send j a")
	if q.account.window.pendingAdjustment < 1.99 || q.account.window.pendingAdjustment > 2.01 {
		t.Fatal("owes", q.account.window.pendingAdjustment)
	}
}
