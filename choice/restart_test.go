package choice

import (
	"fmt"
	"testing"
)

// These tests cover what a customer's slice holds when the limiter first meets the customer. While the counter has not
// answered in this life, an earlier life may have spent the slice without it: it starts with the largest request and what
// this life has filled it by. Once the counter has answered, it starts whole.

const (
	testBurst  = 200.0 // of the plan "large", shared by four limiters
	wholeSlice = 100.0 // two equal parts of it
	sliceRate  = 5.0   // two equal parts of its 10 units a second

	mostRequests = 1000 // ends a test whose limiter rejects nothing
)

// startedLimiter is a limiter that starts at 0 and has room for all that its customers on the plan "large" may send.
func startedLimiter() *Controller {
	l, _ := made()
	l.settings.Plans["large"] = &Plan{Rate: 10, Burst: testBurst}
	l.concurrency.inFlightLimit = 1000
	for _, s := range l.servers.ring {
		s.limit = 1000
	}
	return l
}

// heardLimiter is one whose counter has answered once, for another customer.
func heardLimiter() *Controller {
	l := startedLimiter()
	l.RequestArrived(0, arrival("first", "read", "plain"))
	l.CounterReplied(0, l.requests.byID["first"].reservation.name, Succeeded, 2)
	return l
}

// sendAll sends requests for a customer until one is rejected, but no more than mostRequests, and returns the units that
// were sent. Each call to the counter ends with the outcome, and with the total of the calls so far.
func sendAll(l *Controller, now int64, customer uint64, outcome Outcome) (units float64) {
	const size = 2.0
	total := 0.0
	for i := range mostRequests {
		id := fmt.Sprint(now, "-", i)
		l.RequestArrived(now, Arrival{ID: id, Timeout: 4 * second, Customer: customer, Plan: "large", Class: "read", Units: size, Limiters: 4})
		if q := l.requests.byID[id]; q != nil && q.state == stateReserving {
			total += size * q.reservation.weight
			l.CounterReplied(now, q.reservation.name, outcome, total)
		}
		if l.requests.byID[id] == nil {
			return units
		}
		units += size
		l.AttemptDone(now, AttemptResult{Request: id, Outcome: Succeeded, Duration: 1e7, Final: true})
	}
	return units
}

func expectUnits(t *testing.T, got, want float64) {
	t.Helper()
	if got != want {
		t.Fatalf("%v units, want %v", got, want)
	}
}

func TestSliceBeforeTheCounterAnswers(t *testing.T) {
	for name, outcome := range map[string]Outcome{"crowded": Overloaded, "silent": TimedOut, "spoilt": ServerError, "down": ConnectFailed} {
		t.Run(name+": the largest request and what this life has filled", func(t *testing.T) {
			l := startedLimiter()
			expectUnits(t, sendAll(l, 0, 50, outcome), l.settings.MaxRequestUnits)
			expectUnits(t, sendAll(l, 8*second, 51, outcome), l.settings.MaxRequestUnits+8*sliceRate)
			expectUnits(t, sendAll(l, 8*second, 50, outcome), 8*sliceRate)
		})
	}
	t.Run("never more than the whole slice", func(t *testing.T) {
		expectUnits(t, sendAll(startedLimiter(), 60*second, 50, ConnectFailed), wholeSlice)
		l := startedLimiter()
		account := l.useAccount(0, Arrival{Customer: 51, Limiters: 1}, &Plan{Rate: 1, Burst: l.settings.MaxRequestUnits - 1})
		expectUnits(t, account.localQuota.tokens, l.settings.MaxRequestUnits-1)
	})
	t.Run("among many limiters the whole slice is the largest request", func(t *testing.T) {
		l := startedLimiter()
		account := l.useAccount(0, Arrival{Customer: 50, Limiters: 400}, l.settings.Plans["large"])
		expectUnits(t, account.localQuota.tokens, l.settings.MaxRequestUnits)
	})
	t.Run("the whole slice where no counter is set: none can tell of an earlier life", func(t *testing.T) {
		l := startedLimiter()
		l.settings.CounterTimeout = 0
		expectUnits(t, sendAll(l, 0, 50, ConnectFailed), wholeSlice)
	})
}

// TestSliceWithTheCounterUp: the total decides from the first request on, and the slice goes by it.
func TestSliceWithTheCounterUp(t *testing.T) {
	l := startedLimiter()
	account := l.useAccount(0, Arrival{Customer: 50, Limiters: 4}, l.settings.Plans["large"])
	account.window.offset = windowLength(l.settings, account) // its window begins now, so units weigh 1
	expectUnits(t, sendAll(l, 0, 50, Succeeded), testBurst)

	l = startedLimiter()
	expectUnits(t, sendAll(l, 0, 50, ConnectFailed), l.settings.MaxRequestUnits)
	account = l.accounts.byCustomer[50]
	l.reservations.observe(0, counterCall{request: &request{}, account: account}, account.counterName(), 0)
	expectUnits(t, account.localQuota.tokens, wholeSlice)
}

func TestSliceAfterTheCounterAnswered(t *testing.T) {
	t.Run("crowded: the whole slice", func(t *testing.T) {
		l := heardLimiter()
		l.sampling.rate = minSamplingRate
		expectUnits(t, sendAll(l, 0, 50, Overloaded), wholeSlice)
	})
	for name, outcome := range map[string]Outcome{"crowded": Overloaded, "silent": TimedOut, "spoilt": ServerError, "down": ConnectFailed} {
		t.Run(name+" in a long outage: the whole slice, once a customer", func(t *testing.T) {
			l := heardLimiter()
			for customer := uint64(50); customer < 53; customer++ {
				expectUnits(t, sendAll(l, second, customer, outcome), wholeSlice)
			}
			expectUnits(t, sendAll(l, second+1, 50, outcome), 0)
			expectUnits(t, sendAll(l, 40*second, 53, outcome), wholeSlice)
		})
	}
}
