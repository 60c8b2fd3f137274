package choice

import (
	"fmt"
	"testing"
)

// These tests cover what a customer's slice holds when the limiter first meets the customer. While the counter has not
// answered in this life, an earlier life may have spent the local quota without it: it starts with the largest request
// and what this life has filled it by. Once the counter has answered, it starts whole.

const (
	testBurst      = 200.0 // of the plan "large", shared by four limiters
	fullLocalQuota = 100.0 // two equal parts of it
	localQuotaRate = 5.0   // two equal parts of its 10 units a second

	maxRequests = 1000 // ends a test whose limiter rejects nothing
)

// newLargeQuotaController is a limiter that starts at 0 and has room for all that its customers on the plan "large" may send.
func newLargeQuotaController() *Controller {
	controller, _ := newTestController()
	controller.settings.Plans["large"] = &Plan{Rate: 10, Burst: testBurst}
	controller.concurrency.inFlightLimit = 1000
	for _, s := range controller.servers.ring {
		s.limit = 1000
	}
	return controller
}

// newControllerAfterCounterReply is one whose counter has answered once, for another customer.
func newControllerAfterCounterReply() *Controller {
	controller := newLargeQuotaController()
	controller.RequestArrived(0, arrival("first", "read", "plain"))
	controller.CounterReplied(0, controller.requests.byID["first"].reservation.name, Succeeded, 2)
	return controller
}

// sendUntilRejected sends requests for a customer until one is rejected, but no more than mostRequests, and returns the units
// that were sent. Each call to the counter ends with the outcome, and with the total of the calls so far.
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
		"crowded": Overloaded, "silent": TimedOut, "malformed": ServerError, "down": ConnectFailed,
	} {
		t.Run(name+": the largest request and what this life has filled", func(t *testing.T) {
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
	t.Run("never more than the whole slice", func(t *testing.T) {
		requireUnits(t, sendUntilRejected(newLargeQuotaController(), 60*second, 50, ConnectFailed), fullLocalQuota)
		controller := newLargeQuotaController()
		acct := controller.getOrCreateAccount(
			0,
			Arrival{Customer: 51, Limiters: 1},
			&Plan{Rate: 1, Burst: controller.settings.MaxRequestUnits - 1},
		)
		requireUnits(t, acct.localQuota.tokens, controller.settings.MaxRequestUnits-1)
	})
	t.Run("among many limiters the whole slice is the largest request", func(t *testing.T) {
		controller := newLargeQuotaController()
		acct := controller.getOrCreateAccount(
			0,
			Arrival{Customer: 50, Limiters: 400},
			controller.settings.Plans["large"],
		)
		requireUnits(t, acct.localQuota.tokens, controller.settings.MaxRequestUnits)
	})
	t.Run("the whole slice where no counter is set: none can tell of an earlier life", func(t *testing.T) {
		controller := newLargeQuotaController()
		controller.settings.CounterTimeout = 0
		requireUnits(t, sendUntilRejected(controller, 0, 50, ConnectFailed), fullLocalQuota)
	})
}

// TestLocalQuotaWithTheCounterUp: the total decides from the first request on, and the local quota goes by it.
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
	t.Run("crowded: the whole slice", func(t *testing.T) {
		controller := newControllerAfterCounterReply()
		controller.sampling.rate = minSamplingRate
		requireUnits(t, sendUntilRejected(controller, 0, 50, Overloaded), fullLocalQuota)
	})
	for name, outcome := range map[string]Outcome{
		"crowded": Overloaded, "silent": TimedOut, "malformed": ServerError, "down": ConnectFailed,
	} {
		t.Run(name+" in a long outage: the whole slice, once a customer", func(t *testing.T) {
			controller := newControllerAfterCounterReply()
			for customer := uint64(50); customer < 53; customer++ {
				requireUnits(t, sendUntilRejected(controller, second, customer, outcome), fullLocalQuota)
			}
			requireUnits(t, sendUntilRejected(controller, second+1, 50, outcome), 0)
			requireUnits(t, sendUntilRejected(controller, 40*second, 53, outcome), fullLocalQuota)
		})
	}
}
