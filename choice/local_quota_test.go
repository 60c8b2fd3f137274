package choice

import (
	"fmt"
	"testing"
)

// These tests cover what a customer's slice holds when the limiter first meets the customer. While the counter has not
// answered in this life, an earlier life may have spent the local quota without it: it starts with the largest request
// and what this life has filled it by. Once the counter has answered, it starts whole.

const (
	testBurst       = 200.0 // of the plan "large", shared by four limiters
	wholeLocalQuota = 100.0 // two equal parts of it
	localQuotaRate  = 5.0   // two equal parts of its 10 units a second

	mostRequests = 1000 // ends a test whose limiter rejects nothing
)

// startedController is a limiter that starts at 0 and has room for all that its customers on the plan "large" may send.
func startedController() *Controller {
	controller, _ := newTestController()
	controller.settings.Plans["large"] = &Plan{Rate: 10, Burst: testBurst}
	controller.concurrency.inFlightLimit = 1000
	for _, s := range controller.servers.ring {
		s.limit = 1000
	}
	return controller
}

// controllerWithCounter is one whose counter has answered once, for another customer.
func controllerWithCounter() *Controller {
	controller := startedController()
	controller.RequestArrived(0, arrival("first", "read", "plain"))
	controller.CounterReplied(0, controller.requests.byID["first"].reservation.name, Succeeded, 2)
	return controller
}

// sendAll sends requests for a customer until one is rejected, but no more than mostRequests, and returns the units
// that were sent. Each call to the counter ends with the outcome, and with the total of the calls so far.
func sendAll(controller *Controller, now int64, customer uint64, outcome Outcome) (units float64) {
	const size = 2.0
	total := 0.0
	for i := range mostRequests {
		id := fmt.Sprint(now, "-", i)
		controller.RequestArrived(
			now,
			Arrival{
				ID:       id,
				Timeout:  4 * second,
				Customer: customer,
				Plan:     "large",
				Class:    "read",
				Units:    size,
				Limiters: 4,
			},
		)
		if q := controller.requests.byID[id]; q != nil && q.state == stateReserving {
			total += size * q.reservation.weight
			controller.CounterReplied(now, q.reservation.name, outcome, total)
		}
		if controller.requests.byID[id] == nil {
			return units
		}
		units += size
		controller.AttemptDone(now, AttemptResult{Request: id, Outcome: Succeeded, Duration: 1e7, Final: true})
	}
	return units
}

func expectUnits(t *testing.T, got, want float64) {
	t.Helper()
	if got != want {
		t.Fatalf("%v units, want %v", got, want)
	}
}

func TestLocalQuotaBeforeTheCounterAnswers(t *testing.T) {
	for name, outcome := range map[string]Outcome{"crowded": Overloaded, "silent": TimedOut, "malformed": ServerError, "down": ConnectFailed} {
		t.Run(name+": the largest request and what this life has filled", func(t *testing.T) {
			controller := startedController()
			expectUnits(t, sendAll(controller, 0, 50, outcome), controller.settings.MaxRequestUnits)
			expectUnits(
				t,
				sendAll(controller, 8*second, 51, outcome),
				controller.settings.MaxRequestUnits+8*localQuotaRate,
			)
			expectUnits(t, sendAll(controller, 8*second, 50, outcome), 8*localQuotaRate)
		})
	}
	t.Run("never more than the whole slice", func(t *testing.T) {
		expectUnits(t, sendAll(startedController(), 60*second, 50, ConnectFailed), wholeLocalQuota)
		controller := startedController()
		account := controller.useAccount(
			0,
			Arrival{Customer: 51, Limiters: 1},
			&Plan{Rate: 1, Burst: controller.settings.MaxRequestUnits - 1},
		)
		expectUnits(t, account.localQuota.tokens, controller.settings.MaxRequestUnits-1)
	})
	t.Run("among many limiters the whole slice is the largest request", func(t *testing.T) {
		controller := startedController()
		account := controller.useAccount(0, Arrival{Customer: 50, Limiters: 400}, controller.settings.Plans["large"])
		expectUnits(t, account.localQuota.tokens, controller.settings.MaxRequestUnits)
	})
	t.Run("the whole slice where no counter is set: none can tell of an earlier life", func(t *testing.T) {
		controller := startedController()
		controller.settings.CounterTimeout = 0
		expectUnits(t, sendAll(controller, 0, 50, ConnectFailed), wholeLocalQuota)
	})
}

// TestLocalQuotaWithTheCounterUp: the total decides from the first request on, and the local quota goes by it.
func TestLocalQuotaWithTheCounterUp(t *testing.T) {
	controller := startedController()
	account := controller.useAccount(0, Arrival{Customer: 50, Limiters: 4}, controller.settings.Plans["large"])
	account.window.offset = windowLength(controller.settings, account) // its window begins now, so units weigh 1
	expectUnits(t, sendAll(controller, 0, 50, Succeeded), testBurst)

	controller = startedController()
	expectUnits(t, sendAll(controller, 0, 50, ConnectFailed), controller.settings.MaxRequestUnits)
	account = controller.accounts.byCustomer[50]
	controller.reservations.observe(0, counterCall{request: &request{}, account: account}, account.counterName(), 0)
	expectUnits(t, account.localQuota.tokens, wholeLocalQuota)
}

func TestLocalQuotaAfterTheCounterAnswered(t *testing.T) {
	t.Run("crowded: the whole slice", func(t *testing.T) {
		controller := controllerWithCounter()
		controller.sampling.rate = minSamplingRate
		expectUnits(t, sendAll(controller, 0, 50, Overloaded), wholeLocalQuota)
	})
	for name, outcome := range map[string]Outcome{"crowded": Overloaded, "silent": TimedOut, "malformed": ServerError, "down": ConnectFailed} {
		t.Run(name+" in a long outage: the whole slice, once a customer", func(t *testing.T) {
			controller := controllerWithCounter()
			for customer := uint64(50); customer < 53; customer++ {
				expectUnits(t, sendAll(controller, second, customer, outcome), wholeLocalQuota)
			}
			expectUnits(t, sendAll(controller, second+1, 50, outcome), 0)
			expectUnits(t, sendAll(controller, 40*second, 53, outcome), wholeLocalQuota)
		})
	}
}
