package choice

import (
	"math"
	"strings"
	"testing"
)

func TestForgetUnused(t *testing.T) {
	// Kept for good, customers that come once would fill the memory.
	t.Run("keeps a customer while its part of a ceiling is not full", func(t *testing.T) {
		controller, _ := newTestController()
		controller.forgetAccounts(second)
		early := len(controller.accounts.byCustomer)
		controller.accounts.byCustomer[4].ceiling.updatedAt, controller.accounts.byCustomer[4].ceiling.tokens = 100*second, 7
		controller.forgetAccounts(100 * second)
		if early != 2 || controller.accounts.byCustomer[5] != nil || controller.accounts.byCustomer[4] == nil {
			t.Fatal(early, "kept, then", len(controller.accounts.byCustomer))
		}
		controller.forgetAccounts(101 * second)
		if len(controller.accounts.byCustomer) > 0 {
			t.Fatal(len(controller.accounts.byCustomer), "kept")
		}
		a := controller.useAccount(101*second, arrival("", "read", "hard"), controller.settings.Plans["hard"])
		if a.ceiling.refill(101*second) != 8 {
			t.Fatal("a new one holds", a.ceiling.tokens)
		}
	})
	t.Run("keeps a customer with units out, for the true ones are settled with its account", func(t *testing.T) {
		controller, done := newTestController()
		controller.sampling.rate = 0 // the local quota decides, and what it sends is owed
		controller.RequestArrived(second, arrival("j", "read", "plain"))
		a := controller.requests.byID["j"].account
		for now := second; now < 200*second; now += second {
			controller.forgetAccounts(now)
		}
		if controller.accounts.byCustomer[a.id] != a {
			t.Fatal("it is forgotten while an attempt is out")
		}
		done.did = nil
		controller.AttemptDone(
			200*second,
			AttemptResult{Request: "j", Outcome: Succeeded, ActualUnits: 3, Duration: second, Final: true},
		)
		controller.ShutDown(200 * second)
		if len(done.did) != 1 {
			t.Fatalf("did %q: the true units are lost", done.did)
		}
		controller.forgetAccounts(400 * second)
		if controller.accounts.byCustomer[a.id] != nil {
			t.Fatal("it is kept for good")
		}
	})
	t.Run("lets go of a customer that was sent for, whether its plan has a ceiling or not", func(t *testing.T) {
		for _, plan := range []string{"plain", "hard", "free"} {
			controller, _ := newTestController()
			controller.settings.Plans["free"], controller.accounts.byCustomer = &Plan{}, map[uint64]*account{}
			controller.RequestArrived(3*second, arrival("j", "read", plan))
			controller.CounterReplied(3*second, controller.requests.byID["j"].reservation.name, Succeeded, 2)
			controller.AttemptDone(
				4*second,
				AttemptResult{Request: "j", Outcome: Succeeded, Duration: second, Final: true},
			)
			controller.forgetAccounts(200 * second)
			if len(controller.accounts.byCustomer) > 0 {
				t.Fatalf("%s: %d kept", plan, len(controller.accounts.byCustomer))
			}
		}
	})
}

func TestLocalQuotaAmongManyLimiters(t *testing.T) {
	t.Run("among many limiters it still holds the largest request", func(t *testing.T) {
		controller, done := newTestController()
		controller.sampling.rate = 0
		a := arrival("j", "read", "plain")
		a.Limiters = 200
		controller.RequestArrived(0, a)
		requireEffects(t, done, "send j a")
	})
}

func TestCapOnAttemptsInFlight(t *testing.T) {
	capped := func() (*Controller, *recordedEffects) {
		controller, done := newTestController()
		controller.settings.Plans["cap"] = &Plan{MaxInFlight: 2, OverQuotaRevenue: 0.1}
		startWindow(controller, "cap", 0)
		return controller, done
	}
	t.Run(
		"counts each request as one, whatever its units, and lets none in beyond it though that would earn",
		func(t *testing.T) {
			controller, done := capped()
			q := waitForCounter(controller, "read", "cap")
			requireEffects(t, done, "count 1")
			controller.CounterReplied(0, q.reservation.name, Succeeded, 3) // two of others have just gone out
			requireEffects(t, done, "count -1", "reject j")
			done.requireReason(t, RejectedForQuota)
		},
	)
	t.Run("a place fades with the attempts that hold it", func(t *testing.T) {
		controller, done := capped()
		waitForCounter(controller, "read", "cap")
		acc := controller.requests.byID["j"].account
		controller.CounterReplied(0, controller.requests.byID["j"].reservation.name, Succeeded, 3)
		controller.RequestArrived(second, arrival("k", "read", "cap"))
		if last := done.did[len(done.did)-1]; !strings.HasPrefix(last, "count ") || acc.sharedQuota.tokens < 1 {
			t.Fatalf("did %q, level %v", done.did, acc.sharedQuota.tokens)
		}
	})
	t.Run("true units change nothing of it", func(t *testing.T) {
		controller, done := capped()
		q := waitForCounter(controller, "read", "cap")
		controller.CounterReplied(0, q.reservation.name, Succeeded, 1)
		done.did = nil
		controller.AttemptDone(
			1,
			AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4},
		)
		if len(done.did) != 0 || q.account.window.pendingAdjustment != 0 {
			t.Fatalf("did %q, owes %v", done.did, q.account.window.pendingAdjustment)
		}
	})
}

func TestCapWithRateAndCeiling(t *testing.T) {
	controller, done := newTestController()
	controller.settings.Plans["cap+rate"] = &Plan{Rate: 5, Burst: 40, MaxInFlight: 4, CeilingRate: 8, CeilingBurst: 16}
	startWindow(controller, "cap+rate", second)
	q := func() *request {
		controller.RequestArrived(second, arrival("j", "read", "cap+rate"))
		return controller.requests.byID["j"]
	}()
	// The burst is what four requests of half the largest size take, and units are counted, not places.
	requireEffects(t, done, "count 2")
	if q.account.sharedQuota.burst != 8 {
		t.Fatal("the bucket holds", q.account.sharedQuota.burst)
	}
	controller.CounterReplied(second, q.reservation.name, Succeeded, 2)
	requireEffects(t, done, "count 2", "send j a")
	if q.account.ceiling.tokens != 2 { // half of 8 units filled, 2 taken
		t.Fatal("the ceiling's part holds", q.account.ceiling.tokens)
	}
	controller.AttemptDone(
		second,
		AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4},
	)
	requireEffects(t, done, "count 2")
	if q.account.ceiling.tokens != 2 { // settled on the quota, not on the ceiling
		t.Fatal("the ceiling's part holds", q.account.ceiling.tokens)
	}
	controller.RequestArrived(
		second,
		Arrival{ID: "k", Timeout: second, Customer: 8, Plan: "cap+rate", Class: "read", Units: 3, Limiters: 2},
	)
	requireEffects(t, done, "reject k")
	done.requireReason(t, RejectedForCeiling)
}

func TestLocalQuotaParts(t *testing.T) {
	controller, done := newTestController()
	a := controller.useAccount(0, Arrival{Customer: 99, Limiters: 4}, &Plan{Rate: 40, Burst: 80})
	for _, c := range []struct{ seen, holds, rate float64 }{{80, 40, 20}, {40, 15, 15}, {0, 0, 10}} {
		a.resetLocalQuota(0, c.seen)
		if math.Abs(a.localQuota.tokens-c.holds) > 1e-9 || math.Abs(a.localQuota.rate-c.rate) > 1e-9 {
			t.Errorf("seen at %v it holds %v and fills by %v", c.seen, a.localQuota.tokens, a.localQuota.rate)
		}
	}
	controller.sampling.rate, controller.settings.CounterTimeout = 0, 0
	controller.concurrency.reportedAt, controller.concurrency.meanResidence = 1, math.Log(0.1)
	slow := controller.useAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
	slow.localQuota.tokens, slow.localQuota.rate = -9, 0.1
	controller.RequestArrived(0, arrival("j", "read", "plain"))
	requireEffects(t, done, "reject j")
	if done.retryAfter > second/10+controller.tickInterval { // another limiter may have the units
		t.Fatal("told to wait", done.retryAfter)
	}
}
