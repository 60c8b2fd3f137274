package choice

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// newLimitedController returns a controller that holds at most the given number of accounts, and none at first.
func newLimitedController(accounts int) (*Controller, *recordedEffects) {
	controller, effects := newTestController()
	controller.accounts = newAccountTable(controller.settings, 0)
	controller.accounts.flush = controller.reservations.flush
	controller.accounts.limit.max = accounts
	return controller, effects
}

// requestOf sends one request of a customer and answers its call to the counter, if there is one, as the first of its
// window. It ends the attempt, if there is one, as served.
func requestOf(controller *Controller, now int64, customer uint64, plan string) (rejected bool) {
	a := arrival(fmt.Sprint("request-", customer, "-", now), "read", plan)
	a.Customer = customer
	controller.RequestArrived(now, a)
	req := controller.requests.byID[a.ID]
	if req == nil {
		return true
	}
	if req.state == stateReserving {
		controller.CounterReplied(now, req.reservation.name, Succeeded, req.charge*req.reservation.weight)
	}
	if req.openAttempts == 0 {
		return true
	}
	controller.AttemptDone(now, AttemptResult{Request: a.ID, Outcome: Succeeded, Duration: second, Final: true})
	return false
}

// TestFloodOfNewCustomers guards against customers that are never seen again: they must neither fill the memory nor
// displace the accounts of customers that come again.
func TestFloodOfNewCustomers(t *testing.T) {
	const limit = 50
	controller, _ := newLimitedController(limit)
	var usual []*account
	for customer := range uint64(10) {
		requestOf(controller, second, customer, "plain")
		requestOf(controller, second, customer, "plain")
		usual = append(usual, controller.accounts.byCustomer[customer])
	}
	for number := range uint64(20 * limit) {
		requestOf(controller, second+int64(number), 1000+number, "plain")
		if held := len(controller.accounts.byCustomer); held > limit {
			t.Fatalf("%d accounts are held, %d allowed", held, limit)
		}
	}
	for customer, acct := range usual {
		if controller.accounts.byCustomer[uint64(customer)] != acct {
			t.Errorf("the account of customer %d, which came again, was evicted", customer)
		}
	}
	queued := len(controller.accounts.expiries)
	listed := controller.accounts.limit.newcomers.Len() + controller.accounts.limit.returning.Len()
	if queued != limit || listed != limit {
		t.Errorf("%d accounts are held, %d are in the expiry queue and %d in the lists", limit, queued, listed)
	}
	if usage := controller.AccountUsage(); usage.Held != limit || usage.Max != limit || usage.Evicted == 0 {
		t.Errorf("the usage is %+v", usage)
	}
	controller.evictAccounts(1000 * second)
	if usage := controller.AccountUsage(); usage.Held != 0 || controller.accounts.limit.returning.Len() != 0 {
		t.Errorf("accounts are left after all have expired: %+v", usage)
	}
}

// TestNoRoomForAccount: an account whose ceiling has to remember what was sent, or that has an open request, is never
// evicted. A new customer is then rejected at once, with the longest Retry-After.
func TestNoRoomForAccount(t *testing.T) {
	controller, effects := newLimitedController(2)
	now := 10 * second
	requestOf(controller, now, 1, "hard")
	open := arrival("open", "read", "plain")
	open.Customer = 2
	controller.RequestArrived(now, open)
	if !requestOf(controller, now, 3, "plain") {
		t.Fatal("a request without an account was admitted")
	}
	effects.requireReason(t, RejectedForAccounts)
	if effects.retryAfter != controller.settings.MaxRetryAfter {
		t.Fatal("Retry-After", effects.retryAfter)
	}
	if len(controller.requests.byID) != 1 {
		t.Fatalf("%d requests are held", len(controller.requests.byID))
	}
	now += second // the ceiling has refilled
	if requestOf(controller, now, 3, "plain") {
		t.Fatal("the request was rejected although an account can be evicted")
	}
	if controller.accounts.byCustomer[1] != nil || controller.accounts.byCustomer[2] == nil {
		t.Fatal("the wrong account was evicted")
	}
}

// TestEvictionTellsCounter: what an evicted account owes is added to the counter.
func TestEvictionTellsCounter(t *testing.T) {
	controller, effects := newLimitedController(1)
	controller.sampling.rate = 0 // the local quota decides, and charges are deferred
	requestOf(controller, second, 1, "plain")
	effects.calls = nil
	requestOf(controller, second, 2, "plain")
	if len(effects.calls) == 0 || effects.calls[0][:len("count ")] != "count " {
		t.Fatalf("effects %q do not begin with a call to the counter", effects.calls)
	}
}

// TestCeilingOverEvictions sends requests of random customers through a table that is much too small, also right after
// the start, and checks that no customer is sent more than its part of the ceiling allows.
func TestCeilingOverEvictions(t *testing.T) {
	for seed := range int64(20) {
		controller, _ := newLimitedController(3)
		random := rand.New(rand.NewSource(seed))
		plan := controller.settings.Plans["hard"]
		sent := map[uint64]float64{}
		now := int64(0)
		for range 3000 {
			now += random.Int63n(second / 50)
			customer := uint64(random.Intn(8))
			if requestOf(controller, now, customer, "hard") {
				continue
			}
			sent[customer] += 2
			const limiters = 2 // of the test's arrivals
			allowed := (plan.CeilingBurst + plan.CeilingRate*seconds(now)) / limiters
			if sent[customer] > allowed+1e-6 {
				t.Fatalf("seed %d: customer %d was sent %v units by %v s, %v allowed", seed, customer, sent[customer],
					seconds(now), allowed)
			}
		}
		if controller.AccountUsage().Evicted == 0 {
			t.Fatalf("seed %d: no account was evicted", seed)
		}
	}
}

// TestAccountBytes checks that accountBytes is enough for an account with its entries in all tables.
func TestAccountBytes(t *testing.T) {
	const accounts = 20000
	liveHeap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	controller, _ := newLimitedController(accounts)
	before := liveHeap()
	for number := range uint64(accounts) {
		controller.getOrCreateAccount(0, Arrival{Customer: number, Limiters: 2}, controller.settings.Plans["hard"])
	}
	size := (liveHeap() - before) / accounts
	runtime.KeepAlive(controller)
	if size > accountBytes {
		t.Errorf("an account takes %d bytes, accountBytes is %d", size, accountBytes)
	}
	t.Logf("an account takes %d bytes", size)
}
