package choice

import "testing"

// TestRefund checks that what a request took is returned, once, if no server received the whole request, whoever ended
// it and whether the counter or the local quota admitted it. Otherwise the units stay taken, and the actual units are
// reconciled even if the client has disconnected.
func TestRefund(t *testing.T) {
	for _, c := range []struct {
		name       string
		outcomes   []Outcome
		clientGone bool // the client disconnects before the last outcome
		units      float64
		addedBack  float64 // what is added to the counter, negative for units that are added back
	}{
		{"not attempted, and the client has disconnected", []Outcome{NotAttempted}, true, 0, -2},
		{"a failed dial, and the client has disconnected", []Outcome{ConnectFailed}, true, 0, -2},
		{"three failed dials", []Outcome{ConnectFailed, ConnectFailed, ConnectFailed}, false, 0, -2},
		{"rejected by a server, and the client has disconnected", []Outcome{Overloaded}, true, 0, 0},
		{"it may have run, then a failed dial", []Outcome{ConnectionLost, ConnectFailed}, true, 0, 0},
		{"served after the client had disconnected", []Outcome{Succeeded}, true, 3, 1},
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
					"%s, local quota only %v: effects %q, pending adjustment %v, then %v, local quota %v, then %v",
					c.name,
					localOnly,
					effects.calls,
					pending,
					acct.window.pendingAdjustment,
					localTokens,
					acct.localQuota.tokens,
				)
			case (acct.ceiling.tokens == 4) != (want < 0): // it held 4 before the request
				t.Errorf("%s, local quota only %v: the ceiling's part holds %v", c.name, localOnly, acct.ceiling.tokens)
			}
			if len(controller.requests.byID) > 0 {
				t.Errorf("%s: the request is not removed", c.name)
			}
		}
	}
}

// TestShutDown checks that ShutDown adds each customer's pending adjustment to its count, once. Units to add back to a
// window that has passed are dropped.
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
		t.Fatalf("effects %q", effects.calls)
	}
	controller.accounts.byCustomer[7].window.pendingAdjustment,
		controller.accounts.byCustomer[3].window.pendingAdjustment = 2, -1
	controller.ShutDown(4 * windowLength(controller.settings, controller.accounts.byCustomer[7]))
	if len(effects.calls) != 3 {
		t.Fatalf("effects %q: units to add back to a window that has passed are not dropped", effects.calls)
	}
}
