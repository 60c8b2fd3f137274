package choice

import (
	"math"
	"testing"
)

func TestCounterReplied(t *testing.T) {
	t.Run("within the quota the request is sent", func(t *testing.T) {
		controller, effects := newTestController()
		controller.CounterReplied(0, reserveRequest(controller, "read", "plain").reservation.name, Succeeded, 10)
		requireEffects(t, effects, "send j a")
	})
	t.Run("past the quota the charge is added back and the request rejected", func(t *testing.T) {
		controller, effects := newTestController()
		controller.CounterReplied(0, reserveRequest(controller, "read", "plain").reservation.name, Succeeded, 11)
		requireEffects(t, effects, "count -2", "reject j")
		effects.requireReason(t, RejectedForQuota)
	})
	t.Run("if the counter rejects the call, the local quota decides and nothing is added back", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		req.account.localQuota.tokens = 1
		controller.CounterReplied(0, req.reservation.name, Overloaded, 0)
		requireEffects(t, effects, "count 2", "reject j")
		effects.requireReason(t, RejectedForLocalQuota)
	})
	t.Run("a malformed reply does not lower the sampling rate", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		controller.CounterReplied(0, req.reservation.name, ServerError, 0)
		requireEffects(t, effects, "send j a")
		if controller.sampling.rate != 1 || req.account.window.unconfirmed != 2 {
			t.Fatal("sampling rate", controller.sampling.rate, "unconfirmed", req.account.window.unconfirmed)
		}
	})
	t.Run("a charge that was added for a client that has disconnected is added back", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		controller.ClientDisconnected(0, "j")
		controller.CounterReplied(0, req.reservation.name, Succeeded, 2)
		requireEffects(t, effects, "count 2", "count -2")
	})
	t.Run("without a reply, the charge is deferred until a total shows that it was added", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		controller.CounterReplied(0, req.reservation.name, TimedOut, 0)
		requireEffects(t, effects, "send j a")
		if req.account.window.pendingAdjustment != 2 {
			t.Fatal("pending adjustment", req.account.window.pendingAdjustment)
		}
		controller.reservations.reserve(
			0,
			&request{id: "k", account: req.account, units: 2, charge: 2, class: req.class},
		)
		controller.CounterReplied(0, req.reservation.name, Succeeded, 6)
		requireEffects(t, effects, "count 4", "send k b")
		if req.account.window.pendingAdjustment != -2 {
			t.Fatal("pending adjustment", req.account.window.pendingAdjustment)
		}
	})
	t.Run("a total that has fallen returns no units", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		req.account.window.total, req.account.window.observed, req.account.sharedQuota.tokens = 30, true, 1
		controller.CounterReplied(0, req.reservation.name, Succeeded, 2)
		requireEffects(t, effects, "count -2", "reject j")
	})
	t.Run("what is added back to a window that has passed does not change the quota", func(t *testing.T) {
		controller, _ := newTestController()
		req := reserveRequest(controller, "read", "plain")
		later := 40 * second
		req.reservation.leaseEnd, req.account.sharedQuota.updatedAt = later+1, later
		controller.CounterReplied(later, req.reservation.name, Succeeded, 100)
		controller.reservations.release(later, req, 2)
		req.reservation.held = true
		controller.reservations.release(later, req, 2)
		controller.CounterReplied(later, req.reservation.name, Succeeded, 98)
		if level := req.account.sharedQuota.tokens; level != 3 {
			t.Fatal("the quota holds", level)
		}
	})
	t.Run("what others added while the quota was full took nothing from it", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		req.account.window.observed, req.account.sharedQuota.tokens, req.account.sharedQuota.overflow = true, 10, 24
		controller.CounterReplied(0, req.reservation.name, Succeeded, 26)
		requireEffects(t, effects, "send j a")
	})
	t.Run("what a late call added for a request that was not sent is added back by the next", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		req.account.localQuota.tokens = 1
		controller.CounterReplied(0, req.reservation.name, TimedOut, 0)
		requireEffects(t, effects, "count 2", "reject j")
		controller.reservations.reserve(
			0,
			&request{id: "k", account: req.account, units: 1, charge: 1, class: req.class},
		)
		controller.CounterReplied(0, req.reservation.name, Succeeded, 3)
		if req.account.window.pendingAdjustment != -2 {
			t.Fatal("pending adjustment", req.account.window.pendingAdjustment)
		}
	})
	t.Run("a reservation with a negative amount still decides its request", func(t *testing.T) {
		controller, effects := newTestController()
		acct := controller.getOrCreateAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
		controller.reservations.rollOver(0, acct)
		acct.window.pendingAdjustment = -9
		req := reserveRequest(controller, "read", "plain")
		controller.CounterReplied(0, req.reservation.name, Succeeded, -7)
		requireEffects(t, effects, "count -7", "send j a")
	})
	t.Run("a reply without a call does nothing", func(t *testing.T) {
		controller, effects := newTestController()
		controller.CounterReplied(0, 5, Succeeded, 2)
		requireEffects(t, effects)
	})
}

func TestRelease(t *testing.T) {
	t.Run("does nothing after the lease", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		controller.reservations.release(req.reservation.leaseEnd, req, 2)
		requireEffects(t, effects, "count 2")
	})
}

func TestObserve(t *testing.T) {
	// Other limiters have added 8 units, either now or one refill period ago. The total must tell these apart.
	for _, c := range []struct {
		name        string
		observed    bool
		total, want float64
	}{
		{"first total: use of just now counts in full", false, 8 * math.E, 2},
		{"first total: use of one refill period ago has faded", false, 8, 10 - 8/math.E},
		{"second total: what was known shortly before stays", true, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newTestController()
			now := 2 * second // the quota of 10 refills at 5 a second
			acct := controller.getOrCreateAccount(now, arrival("", "read", "plain"), controller.settings.Plans["plain"])
			acct.window.observed, acct.window.observedAt,
				acct.sharedQuota.tokens, acct.sharedQuota.updatedAt = c.observed, now, 10, now
			controller.reservations.rollOver(now, acct)
			controller.reservations.observe(
				now,
				counterCall{request: &request{}, account: acct},
				acct.counterName(),
				c.total,
			)
			if math.Abs(acct.sharedQuota.tokens-c.want) > 1e-9 {
				t.Fatal("the quota holds", acct.sharedQuota.tokens)
			}
		})
	}
}

func TestSettleWhileSampling(t *testing.T) {
	controller, effects := newTestController()
	req := sendRequest(controller, "read")
	controller.sampling.rate = 0.5
	controller.AttemptDone(1, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4})
	requireEffects(t, effects, "count 2", "send j a")
	if req.account.window.pendingAdjustment < 1.99 || req.account.window.pendingAdjustment > 2.01 {
		t.Fatal("pending adjustment", req.account.window.pendingAdjustment)
	}
}
