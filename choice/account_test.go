package choice

import (
	"math"
	"strings"
	"testing"
)

func TestEvictUnused(t *testing.T) {
	// If accounts were never evicted, customers that send a single request would fill the memory.
	t.Run("keeps a customer while its part of a ceiling is not full", func(t *testing.T) {
		controller, _ := newTestController()
		controller.evictAccounts(second)
		early := len(controller.accounts.byCustomer)
		controller.accounts.byCustomer[4].ceiling.updatedAt,
			controller.accounts.byCustomer[4].ceiling.tokens = 100*second, 7
		controller.evictAccounts(100 * second)
		if early != 2 || controller.accounts.byCustomer[5] != nil || controller.accounts.byCustomer[4] == nil {
			t.Fatal(early, "accounts left, then", len(controller.accounts.byCustomer))
		}
		controller.evictAccounts(101 * second)
		if len(controller.accounts.byCustomer) > 0 {
			t.Fatal(len(controller.accounts.byCustomer), "accounts left")
		}
		acct := controller.getOrCreateAccount(
			101*second,
			arrival("", "read", "hard"),
			controller.settings.Plans["hard"],
		)
		if acct.ceiling.refill(101*second) != 8 {
			t.Fatal("the ceiling of a new account holds", acct.ceiling.tokens)
		}
	})
	t.Run("keeps a customer with units in flight, to reconcile the actual units", func(t *testing.T) {
		controller, effects := newTestController()
		controller.sampling.rate = 0 // the local quota decides, and charges are deferred
		controller.RequestArrived(second, arrival("j", "read", "plain"))
		acct := controller.requests.byID["j"].account
		for now := second; now < 200*second; now += second {
			controller.evictAccounts(now)
		}
		if controller.accounts.byCustomer[acct.id] != acct {
			t.Fatal("the account is evicted while an attempt is in flight")
		}
		effects.calls = nil
		controller.AttemptDone(
			200*second,
			AttemptResult{Request: "j", Outcome: Succeeded, ActualUnits: 3, Duration: second, Final: true},
		)
		controller.ShutDown(200 * second)
		if len(effects.calls) != 1 {
			t.Fatalf("effects %q: the actual units are lost", effects.calls)
		}
		controller.evictAccounts(400 * second)
		if controller.accounts.byCustomer[acct.id] != nil {
			t.Fatal("the account is never evicted")
		}
	})
	t.Run("evicts a customer whose request has ended, whether its plan has a ceiling or not", func(t *testing.T) {
		for _, plan := range []string{"plain", "hard", "free"} {
			controller, _ := newTestController()
			controller.settings.Plans["free"], controller.accounts.byCustomer = &Plan{}, map[uint64]*account{}
			controller.RequestArrived(3*second, arrival("j", "read", plan))
			controller.CounterReplied(3*second, controller.requests.byID["j"].reservation.name, Succeeded, 2)
			controller.AttemptDone(
				4*second,
				AttemptResult{Request: "j", Outcome: Succeeded, Duration: second, Final: true},
			)
			controller.evictAccounts(200 * second)
			if len(controller.accounts.byCustomer) > 0 {
				t.Fatalf("%s: %d accounts left", plan, len(controller.accounts.byCustomer))
			}
		}
	})
}

func TestLocalQuotaAmongManyLimiters(t *testing.T) {
	t.Run("holds the largest request among many limiters", func(t *testing.T) {
		controller, effects := newTestController()
		controller.sampling.rate = 0
		a := arrival("j", "read", "plain")
		a.Limiters = 200
		controller.RequestArrived(0, a)
		requireEffects(t, effects, "send j a")
	})
}

func TestCapOnAttemptsInFlight(t *testing.T) {
	newCappedController := func() (*Controller, *recordedEffects) {
		controller, effects := newTestController()
		controller.settings.Plans["cap"] = &Plan{MaxInFlight: 2, OverQuotaRevenue: 0.1}
		startWindow(controller, "cap", 0)
		return controller, effects
	}
	t.Run(
		"charges 1 for each request, whatever its units, and admits none past the cap despite over-quota revenue",
		func(t *testing.T) {
			controller, effects := newCappedController()
			req := reserveRequest(controller, "read", "cap")
			requireEffects(t, effects, "count 1")
			controller.CounterReplied(0, req.reservation.name, Succeeded, 3) // two requests of others were just sent
			requireEffects(t, effects, "count -1", "reject j")
			effects.requireReason(t, RejectedForQuota)
		},
	)
	t.Run("a charge fades with time", func(t *testing.T) {
		controller, effects := newCappedController()
		reserveRequest(controller, "read", "cap")
		acct := controller.requests.byID["j"].account
		controller.CounterReplied(0, controller.requests.byID["j"].reservation.name, Succeeded, 3)
		controller.RequestArrived(second, arrival("k", "read", "cap"))
		if last := effects.calls[len(effects.calls)-1]; !strings.HasPrefix(last, "count ") ||
			acct.sharedQuota.tokens < 1 {
			t.Fatalf("effects %q, shared quota %v", effects.calls, acct.sharedQuota.tokens)
		}
	})
	t.Run("actual units do not change the count", func(t *testing.T) {
		controller, effects := newCappedController()
		req := reserveRequest(controller, "read", "cap")
		controller.CounterReplied(0, req.reservation.name, Succeeded, 1)
		effects.calls = nil
		controller.AttemptDone(
			1,
			AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4},
		)
		if len(effects.calls) != 0 || req.account.window.pendingAdjustment != 0 {
			t.Fatalf("effects %q, pending adjustment %v", effects.calls, req.account.window.pendingAdjustment)
		}
	})
}

func TestCapWithRateAndCeiling(t *testing.T) {
	controller, effects := newTestController()
	controller.settings.Plans["cap+rate"] = &Plan{Rate: 5, Burst: 40, MaxInFlight: 4, CeilingRate: 8, CeilingBurst: 16}
	startWindow(controller, "cap+rate", second)
	req := func() *request {
		controller.RequestArrived(second, arrival("j", "read", "cap+rate"))
		return controller.requests.byID["j"]
	}()
	// The burst covers four requests of half the largest size, and a request is charged its units rather than 1.
	requireEffects(t, effects, "count 2")
	if req.account.sharedQuota.burst != 8 {
		t.Fatal("the burst is", req.account.sharedQuota.burst)
	}
	controller.CounterReplied(second, req.reservation.name, Succeeded, 2)
	requireEffects(t, effects, "count 2", "send j a")
	if req.account.ceiling.tokens != 2 { // 4 units have refilled, 2 were taken
		t.Fatal("the ceiling's part holds", req.account.ceiling.tokens)
	}
	controller.AttemptDone(
		second,
		AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4},
	)
	requireEffects(t, effects, "count 2")
	if req.account.ceiling.tokens != 2 { // reconciled in the quota, not in the ceiling
		t.Fatal("the ceiling's part holds", req.account.ceiling.tokens)
	}
	controller.RequestArrived(
		second,
		Arrival{ID: "k", Timeout: second, Customer: 8, Plan: "cap+rate", Class: "read", Units: 3, Limiters: 2},
	)
	requireEffects(t, effects, "reject k")
	effects.requireReason(t, RejectedForCeiling)
}

func TestLocalQuotaParts(t *testing.T) {
	controller, effects := newTestController()
	acct := controller.getOrCreateAccount(0, Arrival{Customer: 99, Limiters: 4}, &Plan{Rate: 40, Burst: 80})
	for _, c := range []struct{ sharedTokens, localTokens, rate float64 }{{80, 40, 20}, {40, 15, 15}, {0, 0, 10}} {
		acct.resetLocalQuota(0, c.sharedTokens)
		if math.Abs(acct.localQuota.tokens-c.localTokens) > 1e-9 || math.Abs(acct.localQuota.rate-c.rate) > 1e-9 {
			t.Errorf(
				"with %v shared tokens the local quota holds %v and refills at %v",
				c.sharedTokens,
				acct.localQuota.tokens,
				acct.localQuota.rate,
			)
		}
	}
	controller.sampling.rate, controller.settings.CounterTimeout = 0, 0
	controller.concurrency.reportedAt, controller.concurrency.meanResidence = 1, math.Log(0.1)
	slowRefill := controller.getOrCreateAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
	slowRefill.localQuota.tokens, slowRefill.localQuota.rate = -9, 0.1
	controller.RequestArrived(0, arrival("j", "read", "plain"))
	requireEffects(t, effects, "reject j")
	if effects.retryAfter > second/10+controller.tickInterval { // another limiter may have the units
		t.Fatal("Retry-After", effects.retryAfter)
	}
}
