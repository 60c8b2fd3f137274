package choice

import "testing"

// TestRefund: what a request took goes back, once, if no server got it whole, whoever ended it and whether the counter
// or the slice let it in; else the units are taken, and the true ones are settled even if the client has gone.
func TestRefund(t *testing.T) {
	for _, c := range []struct {
		name       string
		outcomes   []Outcome
		clientGone bool // the client leaves before the last of them
		units      float64
		addedBack  float64 // what is added back to the counter
	}{
		{"the connection never came up and the client has gone", []Outcome{NotAttempted}, true, 0, -2},
		{"refused, and the client has gone", []Outcome{ConnectFailed}, true, 0, -2},
		{"no connection came up, three times", []Outcome{ConnectFailed, ConnectFailed, ConnectFailed}, false, 0, -2},
		{"rejected by a server, and the client has gone", []Outcome{Overloaded}, true, 0, 0},
		{"it may have run, and then no connection", []Outcome{ConnectionLost, ConnectFailed}, true, 0, 0},
		{"served after the client had gone", []Outcome{Succeeded}, true, 3, 1},
		{"served", []Outcome{Succeeded}, false, 3, 1},
	} {
		for _, localOnly := range []bool{false, true} {
			controller, effects := newTestController()
			controller.retries.retries = 9
			controller.UpdateEndpoints(0, false, []Endpoint{{ID: "c", Zone: "y", Weight: 1}})
			startWindow(controller, "hard", second)
			if localOnly {
				controller.sampling.rate = 0
			}
			controller.RequestArrived(second, arrival("j", "read", "hard"))
			req := controller.requests.byID["j"]
			acct := req.account
			if !localOnly {
				controller.CounterReplied(second, req.reservation.name, Succeeded, 2)
			}
			localTokens, pending := acct.localQuota.tokens, acct.window.pendingAdjustment
			for i, outcome := range c.outcomes {
				if c.clientGone && i == len(c.outcomes)-1 {
					controller.ClientDisconnected(second, "j")
				}
				effects.calls = nil
				controller.AttemptDone(
					second,
					AttemptResult{
						Request:     "j",
						Attempt:     i,
						Outcome:     outcome,
						Final:       req.ended() || outcome == Succeeded,
						ActualUnits: c.units,
					},
				)
			}
			counted := 0
			for _, call := range effects.calls {
				if call == "count -2" || call == "count 1" {
					counted++
				}
			}
			switch want := c.addedBack; {
			case localOnly && acct.window.pendingAdjustment != pending+want,
				!localOnly && (counted != 0) != (want != 0),
				acct.localQuota.tokens != localTokens-want:
				t.Errorf(
					"%s, slice %v: did %q, owed %v before and %v, slice %v before and %v",
					c.name,
					localOnly,
					effects.calls,
					pending,
					acct.window.pendingAdjustment,
					localTokens,
					acct.localQuota.tokens,
				)
			case (acct.ceiling.tokens == 4) != (want < 0): // it held 4 before the request
				t.Errorf("%s, slice %v: the ceiling's part holds %v", c.name, localOnly, acct.ceiling.tokens)
			}
			if len(controller.requests.byID) > 0 {
				t.Errorf("%s: it is not forgotten", c.name)
			}
		}
	}
}

// TestShutDown: at the end of the process what is owed is added, customer by customer, once; what fades with its
// window is not.
func TestShutDown(t *testing.T) {
	controller, effects := newTestController()
	for id, owed := range map[uint64]float64{7: 2, 3: -1, 5: 0} {
		acct := controller.getOrCreateAccount(0, Arrival{Customer: id, Limiters: 1}, controller.settings.Plans["plain"])
		controller.reservations.rollOver(0, acct)
		acct.window.pendingAdjustment = owed
	}
	controller.ShutDown(0)
	requireEffects(t, effects, "count -1", "count 2")
	controller.ShutDown(0)
	if len(effects.calls) != 2 {
		t.Fatalf("did %q", effects.calls)
	}
	controller.accounts.byCustomer[7].window.pendingAdjustment,
		controller.accounts.byCustomer[3].window.pendingAdjustment = 2, -1
	controller.ShutDown(4 * windowLength(controller.settings, controller.accounts.byCustomer[7]))
	if len(effects.calls) != 3 {
		t.Fatalf("did %q: what was owed back to a window that has passed is not added", effects.calls)
	}
}
