package choice

import (
	"math"
	"testing"
)

func TestRequestArrivedWhileSampling(t *testing.T) {
	arriveWithExhaustedQuota := func(owed float64) *recordedEffects {
		controller, effects := newTestController()
		acct := controller.getOrCreateAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
		acct.plan.OverQuotaPenalty, acct.plan.PriorityWeight = 1, 1
		controller.sampling.rate, acct.sharedQuota.tokens,
			acct.localQuota.tokens, acct.window.observed = 0.999, 0, -9, true
		controller.reservations.rollOver(0, acct)
		acct.window.pendingAdjustment = owed
		controller.RequestArrived(0, arrival("j", "read", "plain"))
		return effects
	}
	t.Run("the counter is not called for a customer known to be out of units", func(t *testing.T) {
		requireEffects(t, arriveWithExhaustedQuota(0), "reject j")
	})
	t.Run("but it is called if there are units to add back", func(t *testing.T) {
		requireEffects(t, arriveWithExhaustedQuota(-3), "count -1")
	})
	t.Run("the retry-after is no longer than clients honour", func(t *testing.T) {
		if effects := arriveWithExhaustedQuota(0); effects.retryAfter > second || effects.retryAfter <= second/4 {
			t.Fatal("Retry-After", effects.retryAfter)
		}
	})
}

// TestSamplingAfterOutage checks that a counter that was down is soon called as often as before, while one that is
// overloaded and leaves a fifth of the calls unanswered is not.
func TestSamplingAfterOutage(t *testing.T) {
	replyToCalls := func(controller *Controller, outcome Outcome, n int) {
		for range n {
			controller.reservations.calls[1] = append(
				controller.reservations.calls[1],
				counterCall{
					request: &request{state: stateInFlight},
					account: controller.getOrCreateAccount(
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
	replyToCalls(controller, Succeeded, 10)
	replyToCalls(controller, ConnectFailed, 40)
	if controller.sampling.rate != minSamplingRate {
		t.Fatal("the sampling rate while the counter is down is", controller.sampling.rate)
	}
	replyToCalls(controller, Succeeded, 4)
	if controller.sampling.rate != samplingDecrease {
		t.Fatal("the sampling rate after four answers is", controller.sampling.rate)
	}
	controller, _ = newTestController()
	for range 40 {
		replyToCalls(controller, TimedOut, 1)
		replyToCalls(controller, Succeeded, 4)
	}
	if controller.sampling.rate > 0.3 {
		t.Fatal("the sampling rate with a fifth of the calls unanswered is", controller.sampling.rate)
	}
}

func TestSamplingByPenalty(t *testing.T) {
	countIncluded := func(windowOffset int64, penalty float64) int {
		controller, _ := newTestController()
		acct := controller.getOrCreateAccount(0, arrival("", "read", "plain"), controller.settings.Plans["plain"])
		acct.window.offset, acct.plan.OverQuotaPenalty, acct.plan.PriorityWeight = windowOffset, penalty, 1
		controller.sampling.rate, controller.sampling.meanPenalty = 0.5, 1
		n := 0
		for range 100 {
			if controller.sampling.includes(acct) {
				n++
			}
			controller.sampling.meanPenalty = 1
		}
		return n
	}
	t.Run("the counter is always called for some customers", func(t *testing.T) {
		if n := countIncluded(math.MaxInt64/2, 1); n != 100 {
			t.Fatal(n, "of 100")
		}
	})
	t.Run("but seldom for the same customers if going past the quota costs less", func(t *testing.T) {
		if n := countIncluded(math.MaxInt64/2, 0.1); n == 0 || n > 20 {
			t.Fatal(n, "of 100")
		}
	})
}

func TestSamplingRateRises(t *testing.T) {
	controller, _ := newTestController()
	req := reserveRequest(controller, "read", "plain")
	controller.CounterReplied(0, req.reservation.name, TimedOut, 0)
	var rates []float64
	for range 3 {
		controller.reservations.reserve(0, &request{id: "k", account: req.account, class: req.class, charge: 1})
		controller.CounterReplied(0, req.reservation.name, Succeeded, 1)
		rates = append(rates, controller.sampling.rate)
	}
	if rates[0] != 0.75+1.0/256 || rates[1] != rates[0]+2.0/256 || rates[2] != rates[1]+3.0/256 {
		t.Fatal("the sampling rates are", rates)
	}
}
