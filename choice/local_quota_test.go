package choice

import (
	"fmt"
	"testing"
)

// These tests cover the local quota of an account when the limiter first meets the customer. While the counter has not
// answered since the process started, an earlier incarnation may have spent the local quota without it: the account
// starts with the largest request and what has refilled since the start. Once the counter has answered, the account
// starts with the full local quota.

const (
	testBurst      = 200.0 // of the plan "large", used through four limiters
	fullLocalQuota = 100.0 // two equal parts of testBurst
	localQuotaRate = 5.0   // two equal parts of the plan's 10 units a second

	maxRequests = 1000 // ends a test whose limiter rejects nothing
)

// newLargeQuotaController returns a controller that starts at 0 and has capacity for all that customers of the plan
// "large" may send.
func newLargeQuotaController() *Controller {
	controller, _ := newTestController()
	controller.settings.Plans["large"] = &Plan{Rate: 10, Burst: testBurst}
	controller.concurrency.inFlightLimit = 1000
	for _, s := range controller.servers.ring {
		s.limit = 1000
	}
	return controller
}

// newControllerAfterCounterReply returns such a controller after the counter has answered once, for another customer.
func newControllerAfterCounterReply() *Controller {
	controller := newLargeQuotaController()
	controller.RequestArrived(0, arrival("first", "read", "plain"))
	controller.CounterReplied(0, controller.requests.byID["first"].reservation.name, Succeeded, 2)
	return controller
}

// sendUntilRejected sends requests of a customer until one is rejected, but no more than maxRequests, and returns the
// units that were sent. Each call to the counter ends with the outcome, and with the total of the calls so far.
func sendUntilRejected(controller *Controller, now int64, customer uint64, outcome Outcome) (units float64) {
	const requestUnits = 2.0
	total := 0.0
	for i := range maxRequests {
		id := fmt.Sprint(now, "-", i)
		controller.RequestArrived(
			now,
			Arrival{
				ID:       id,
				Timeout:  4 * second,
				Customer: customer,
				Plan:     "large",
				Class:    "read",
				Units:    requestUnits,
				Limiters: 4,
			},
		)
		if req := controller.requests.byID[id]; req != nil && req.state == stateReserving {
			total += requestUnits * req.reservation.weight
			controller.CounterReplied(now, req.reservation.name, outcome, total)
		}
		if controller.requests.byID[id] == nil {
			return units
		}
		units += requestUnits
		controller.AttemptDone(now, AttemptResult{Request: id, Outcome: Succeeded, Duration: 1e7, Final: true})
	}
	return units
}

func requireUnits(t *testing.T, got, want float64) {
	t.Helper()
	if got != want {
		t.Fatalf("%v units, want %v", got, want)
	}
}

func TestLocalQuotaBeforeTheCounterAnswers(t *testing.T) {
	for name, outcome := range map[string]Outcome{
		"overloaded": Overloaded, "silent": TimedOut, "malformed": ServerError, "down": ConnectFailed,
	} {
		t.Run(name+": the largest request and what has refilled since the start", func(t *testing.T) {
			controller := newLargeQuotaController()
			requireUnits(t, sendUntilRejected(controller, 0, 50, outcome), controller.settings.MaxRequestUnits)
			requireUnits(
				t,
				sendUntilRejected(controller, 8*second, 51, outcome),
				controller.settings.MaxRequestUnits+8*localQuotaRate,
			)
			requireUnits(t, sendUntilRejected(controller, 8*second, 50, outcome), 8*localQuotaRate)
		})
	}
	t.Run("never more than the full local quota", func(t *testing.T) {
		requireUnits(t, sendUntilRejected(newLargeQuotaController(), 60*second, 50, ConnectFailed), fullLocalQuota)
		controller := newLargeQuotaController()
		acct := controller.getOrCreateAccount(
			0,
			Arrival{Customer: 51, Limiters: 1},
			&Plan{Rate: 1, Burst: controller.settings.MaxRequestUnits - 1},
		)
		requireUnits(t, acct.localQuota.tokens, controller.settings.MaxRequestUnits-1)
	})
	t.Run("among many limiters the full local quota is the largest request", func(t *testing.T) {
		controller := newLargeQuotaController()
		acct := controller.getOrCreateAccount(
			0,
			Arrival{Customer: 50, Limiters: 400},
			controller.settings.Plans["large"],
		)
		requireUnits(t, acct.localQuota.tokens, controller.settings.MaxRequestUnits)
	})
	t.Run("the full local quota if no counter is set: none can tell of an earlier incarnation", func(t *testing.T) {
		controller := newLargeQuotaController()
		controller.settings.CounterTimeout = 0
		requireUnits(t, sendUntilRejected(controller, 0, 50, ConnectFailed), fullLocalQuota)
	})
}

// TestLocalQuotaWithTheCounterUp checks that the counter's total decides from the first request on, and that the local
// quota is reset from it.
func TestLocalQuotaWithTheCounterUp(t *testing.T) {
	controller := newLargeQuotaController()
	acct := controller.getOrCreateAccount(0, Arrival{Customer: 50, Limiters: 4}, controller.settings.Plans["large"])
	acct.window.offset = windowLength(controller.settings, acct) // its window begins now, so units weigh 1
	requireUnits(t, sendUntilRejected(controller, 0, 50, Succeeded), testBurst)

	controller = newLargeQuotaController()
	requireUnits(t, sendUntilRejected(controller, 0, 50, ConnectFailed), controller.settings.MaxRequestUnits)
	acct = controller.accounts.byCustomer[50]
	controller.reservations.observe(0, counterCall{request: &request{}, account: acct}, acct.counterName(), 0)
	requireUnits(t, acct.localQuota.tokens, fullLocalQuota)
}

func TestLocalQuotaAfterTheCounterAnswered(t *testing.T) {
	t.Run("overloaded: the full local quota", func(t *testing.T) {
		controller := newControllerAfterCounterReply()
		controller.sampling.rate = minSamplingRate
		requireUnits(t, sendUntilRejected(controller, 0, 50, Overloaded), fullLocalQuota)
	})
	for name, outcome := range map[string]Outcome{
		"overloaded": Overloaded, "silent": TimedOut, "malformed": ServerError, "down": ConnectFailed,
	} {
		t.Run(name+" in a long outage: the full local quota, once for each customer", func(t *testing.T) {
			controller := newControllerAfterCounterReply()
			for customer := uint64(50); customer < 53; customer++ {
				requireUnits(t, sendUntilRejected(controller, second, customer, outcome), fullLocalQuota)
			}
			requireUnits(t, sendUntilRejected(controller, second+1, 50, outcome), 0)
			requireUnits(t, sendUntilRejected(controller, 40*second, 53, outcome), fullLocalQuota)
		})
	}
}
