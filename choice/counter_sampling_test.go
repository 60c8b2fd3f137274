package choice

import (
	"math"
	"testing"
)

func TestRequestArrivedWhileSampling(t *testing.T) {
	crowded := func(owed float64) *recordedEffects {
		controller, done := newTestController()
		a := controller.useAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
		a.plan.OverQuotaPenalty, a.plan.PriorityWeight = 1, 1
		controller.sampling.rate, a.sharedQuota.tokens, a.localQuota.tokens, a.window.known = 0.999, 0, -9, true
		controller.reservations.rollOver(0, a)
		a.window.pendingAdjustment = owed
		controller.RequestArrived(0, arrival("j", "read", "plain"))
		return done
	}
	t.Run("the counter is not asked for a customer known to be out", func(t *testing.T) {
		requireEffects(t, crowded(0), "reject j")
	})
	t.Run("but when there is something to add back", func(t *testing.T) {
		requireEffects(t, crowded(-3), "count -1")
	})
	t.Run("the retry-after is no longer than clients honour", func(t *testing.T) {
		if done := crowded(0); done.retryAfter > second || done.retryAfter <= second/4 {
			t.Fatal("told to wait", done.retryAfter)
		}
	})
}

// TestSamplingAfterOutage: a counter that was down is soon asked as much as it bore before, one that is crowded is not.
func TestSamplingAfterOutage(t *testing.T) {
	end := func(controller *Controller, outcome Outcome, n int) {
		for range n {
			controller.reservations.calls[1] = append(
				controller.reservations.calls[1],
				counterCall{
					request: &request{state: stateInFlight},
					account: controller.useAccount(
						0,
						arrival("", "read", "plain"),
						controller.settings.Plans["plain"],
					),
					background: true,
				},
			)
			controller.CounterReplied(0, 1, outcome, 0)
		}
	}
	controller, _ := newTestController()
	end(controller, Succeeded, 10)
	end(controller, ConnectFailed, 40)
	if controller.sampling.rate != minSamplingRate {
		t.Fatal("while it is down it is asked", controller.sampling.rate)
	}
	end(controller, Succeeded, 4)
	if controller.sampling.rate != samplingDecrease {
		t.Fatal("after four answers it is asked", controller.sampling.rate)
	}
	controller, _ = newTestController()
	for range 40 {
		end(controller, TimedOut, 1)
		end(controller, Succeeded, 4)
	}
	if controller.sampling.rate > 0.3 {
		t.Fatal("one that leaves a fifth unanswered is asked", controller.sampling.rate)
	}
}

func TestSamplingByPenalty(t *testing.T) {
	share := func(phase int64, costs float64) int {
		controller, _ := newTestController()
		a := controller.useAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
		a.window.offset, a.plan.OverQuotaPenalty, a.plan.PriorityWeight = phase, costs, 1
		controller.sampling.rate, controller.sampling.meanPenalty = 0.5, 1
		n := 0
		for range 100 {
			if controller.sampling.includes(a) {
				n++
			}
			controller.sampling.meanPenalty = 1
		}
		return n
	}
	t.Run("some customers are always asked for", func(t *testing.T) {
		if n := share(math.MaxInt64/2, 1); n != 100 {
			t.Fatal(n, "of 100")
		}
	})
	t.Run("where going beyond costs less only now and then", func(t *testing.T) {
		if n := share(math.MaxInt64/2, 0.1); n == 0 || n > 20 {
			t.Fatal(n, "of 100")
		}
	})
}

func TestSamplingRateRises(t *testing.T) {
	controller, _ := newTestController()
	q := waitForCounter(controller, "read", "plain")
	controller.CounterReplied(0, q.reservation.name, TimedOut, 0)
	var at []float64
	for range 3 {
		controller.reservations.reserve(0, &request{id: "k", account: q.account, class: q.class, charge: 1})
		controller.CounterReplied(0, q.reservation.name, Succeeded, 1)
		at = append(at, controller.sampling.rate)
	}
	if at[0] != 0.75+1.0/256 || at[1] != at[0]+2.0/256 || at[2] != at[1]+3.0/256 {
		t.Fatal("asks rise by", at)
	}
}
