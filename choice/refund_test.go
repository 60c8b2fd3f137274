package choice

import "testing"

// TestRefund: what a request took goes back, once, if no server got it whole, whoever ended it and whether the counter
// or the slice let it in; else the units are taken, and the true ones are settled even if the client has gone.
func TestRefund(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes []Outcome
		gone     bool // the client leaves before the last of them
		units    float64
		back     float64 // what is added back to the counter
	}{
		{"the connection never came up and the client has gone", []Outcome{NotAttempted}, true, 0, -2},
		{"refused, and the client has gone", []Outcome{ConnectFailed}, true, 0, -2},
		{"no connection came up, three times", []Outcome{ConnectFailed, ConnectFailed, ConnectFailed}, false, 0, -2},
		{"rejected by a server, and the client has gone", []Outcome{Overloaded}, true, 0, 0},
		{"it may have run, and then no connection", []Outcome{ConnectionLost, ConnectFailed}, true, 0, 0},
		{"served after the client had gone", []Outcome{Succeeded}, true, 3, 1},
		{"served", []Outcome{Succeeded}, false, 3, 1},
	} {
		for _, slice := range []bool{false, true} {
			controller, done := newTestController()
			controller.retries.retries = 9
			controller.UpdateEndpoints(0, false, []Endpoint{{ID: "c", Zone: "y", Weight: 1}})
			startWindow(controller, "hard", second)
			if slice {
				controller.sampling.rate = 0
			}
			controller.RequestArrived(second, arrival("j", "read", "hard"))
			q := controller.requests.byID["j"]
			a := q.account
			if !slice {
				controller.CounterReplied(second, q.reservation.name, Succeeded, 2)
			}
			level, owed := a.localQuota.tokens, a.window.pendingAdjustment
			for i, o := range c.outcomes {
				if c.gone && i == len(c.outcomes)-1 {
					controller.ClientDisconnected(second, "j")
				}
				done.did = nil
				controller.AttemptDone(
					second,
					AttemptResult{
						Request:     "j",
						Attempt:     i,
						Outcome:     o,
						Final:       q.ended() || o == Succeeded,
						ActualUnits: c.units,
					},
				)
			}
			counted := 0
			for _, did := range done.did {
				if did == "count -2" || did == "count 1" {
					counted++
				}
			}
			switch want := c.back; {
			case slice && a.window.pendingAdjustment != owed+want,
				!slice && (counted != 0) != (want != 0),
				a.localQuota.tokens != level-want:
				t.Errorf(
					"%s, slice %v: did %q, owed %v before and %v, slice %v before and %v",
					c.name,
					slice,
					done.did,
					owed,
					a.window.pendingAdjustment,
					level,
					a.localQuota.tokens,
				)
			case (a.ceiling.tokens == 4) != (want < 0): // it held 4 before the request
				t.Errorf("%s, slice %v: the ceiling's part holds %v", c.name, slice, a.ceiling.tokens)
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
	controller, done := newTestController()
	for id, owed := range map[uint64]float64{7: 2, 3: -1, 5: 0} {
		a := controller.useAccount(0, Arrival{Customer: id, Limiters: 1}, controller.settings.Plans["plain"])
		controller.reservations.rollOver(0, a)
		a.window.pendingAdjustment = owed
	}
	controller.ShutDown(0)
	requireEffects(t, done, "count -1", "count 2")
	controller.ShutDown(0)
	if len(done.did) != 2 {
		t.Fatalf("did %q", done.did)
	}
	controller.accounts.byCustomer[7].window.pendingAdjustment, controller.accounts.byCustomer[3].window.pendingAdjustment = 2, -1
	controller.ShutDown(4 * windowLength(controller.settings, controller.accounts.byCustomer[7]))
	if len(done.did) != 3 {
		t.Fatalf("did %q: what was owed back to a window that has passed is not added", done.did)
	}
}
