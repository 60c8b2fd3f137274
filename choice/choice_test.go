package choice

import (
	"strings"
	"testing"
)

func TestRequestArrived(t *testing.T) {
	t.Run("reserves before its first attempt", func(t *testing.T) {
		controller, effects := newTestController()
		controller.RequestArrived(0, arrival("j", "read", "plain"))
		requireEffects(t, effects, "count 2")
	})
	t.Run("of a customer known to be out of units is rejected without a call", func(t *testing.T) {
		controller, effects := newTestController()
		req := reserveRequest(controller, "read", "plain")
		controller.CounterReplied(0, req.reservation.name, Succeeded, 60)
		effects.calls = nil
		controller.RequestArrived(second/10, arrival("k", "read", "plain"))
		requireEffects(t, effects, "reject k")
		if len(effects.calls) != 1 {
			t.Fatalf("effects %q", effects.calls)
		}
		controller.RequestArrived(10*second, arrival("m", "read", "plain")) // the quota may have refilled
		if last := effects.calls[len(effects.calls)-1]; !strings.HasPrefix(last, "count ") {
			t.Fatalf("effects %q", effects.calls)
		}
	})
	t.Run("of an unknown plan is rejected", func(t *testing.T) {
		controller, effects := newTestController()
		controller.RequestArrived(0, arrival("j", "read", "nobody's"))
		requireEffects(t, effects, "reject j")
	})
	t.Run("with no time left is rejected", func(t *testing.T) {
		controller, effects := newTestController()
		a := arrival("j", "read", "plain")
		a.Timeout = 0
		controller.RequestArrived(0, a)
		requireEffects(t, effects, "reject j")
	})
	t.Run("right after the start finds this limiter's part of the ceiling empty", func(t *testing.T) {
		controller, effects := newTestController()
		startWindow(controller, "hard", second)
		controller.RequestArrived(0, arrival("j", "read", "hard"))
		requireEffects(t, effects, "reject j")
		effects.requireReason(t, RejectedForCeiling)
		controller.RequestArrived(second, arrival("k", "read", "hard"))
		requireEffects(t, effects, "count 2")
	})
	t.Run("is rejected for the ceiling if another was sent while it waited for the counter", func(t *testing.T) {
		controller, effects := newTestController()
		startWindow(controller, "hard", second/2)
		controller.RequestArrived(second/2, arrival("j", "read", "hard"))
		controller.RequestArrived(second/2, arrival("k", "read", "hard"))
		name := controller.requests.byID["j"].reservation.name
		controller.CounterReplied(second/2, name, Succeeded, 2)
		controller.CounterReplied(second/2, name, Succeeded, 4)
		requireEffects(t, effects, "count 2", "count 2", "send j a", "count -2", "reject k")
		effects.requireReason(t, RejectedForCeiling)
	})
	t.Run("is decided by the local quota while the counter is not called", func(t *testing.T) {
		controller, effects := newTestController()
		controller.sampling.rate = 0
		controller.RequestArrived(0, arrival("j", "read", "plain"))
		requireEffects(t, effects, "send j a")
		if controller.requests.byID["j"].account.window.pendingAdjustment != 2 {
			t.Fatal("its charge is not deferred")
		}
	})
}

func TestUpdateEndpoints(t *testing.T) {
	t.Run("a server missing from a complete list is gone", func(t *testing.T) {
		controller, _ := newTestController()
		controller.UpdateEndpoints(0, true, []Endpoint{{ID: "b"}})
		if controller.servers.byID["a"].state != EndpointGone || controller.servers.byID["b"].state != EndpointReady {
			t.Fatal("a server has the wrong state")
		}
	})
	t.Run("a server that is gone is removed once nothing is in flight there", func(t *testing.T) {
		controller, _ := newTestController()
		sendRequest(controller, "read")
		controller.UpdateEndpoints(0, true, nil)
		controller.tick(0)
		if len(controller.servers.ring) != 1 || controller.servers.byID["a"] == nil ||
			controller.servers.byID["b"] != nil {
			t.Fatal(len(controller.servers.ring), "servers left")
		}
		controller.AttemptDone(1, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true})
		controller.tick(1)
		if len(controller.servers.ring)+len(controller.servers.byID) > 0 {
			t.Fatal(len(controller.servers.ring), "servers left")
		}
	})
	t.Run("the limit of a new server is shared by all limiters", func(t *testing.T) {
		controller, _ := newTestController()
		if limit := controller.servers.byID["a"].limit; limit*2 !=
			initialLimitRequests*controller.settings.MaxRequestUnits {
			t.Fatal("limit", limit)
		}
	})
	t.Run("a new process gets a new record that keeps the attempts in flight", func(t *testing.T) {
		controller, _ := newTestController()
		sendRequest(controller, "read")
		controller.outliers.eject(0, controller.servers.byID["a"], "")
		controller.UpdateEndpoints(second, false, []Endpoint{{ID: "a", StartedAt: second}})
		if a := controller.servers.byID["a"]; a.health.state != healthy || a.inFlight != 2 ||
			controller.slowStart.weight(second, a) != controller.settings.ColdCapacity {
			t.Fatal("state", a.health.state, "in flight", a.inFlight)
		}
	})
}

func TestClientDisconnected(t *testing.T) {
	t.Run("nothing is sent for a client that has disconnected", func(t *testing.T) {
		controller, effects := newTestController()
		sendRequest(controller, "read")
		controller.ClientDisconnected(1, "j")
		controller.AttemptDone(2, AttemptResult{Request: "j", Outcome: Overloaded, Duration: 2})
		requireEffects(t, effects, "send j a")
		if controller.requests.byID["j"] != nil {
			t.Fatal("the request is not removed")
		}
	})
}

// A limiter's part of a ceiling starts empty. If the limiter were ready before that part holds the largest request, it
// would reject customers inside their quotas.
func TestReadyAt(t *testing.T) {
	for _, c := range []struct {
		name                  string
		rate, burst           float64
		slowStartWindow, want int64
	}{
		{"no ceiling", 0, 0, 10 * second, 0},
		{"once each limiter's part holds the largest request", 4, 16, 10 * second, 2 * second},
		{"once it is full", 4, 4, 10 * second, second},
		{"but no later than the slow start window", 4, 16, second, second},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newTestController()
			controller.settings.Plans["hard"].CeilingRate,
				controller.settings.Plans["hard"].CeilingBurst,
				controller.settings.SlowStartWindow = c.rate, c.burst, c.slowStartWindow
			if at := controller.ReadyAt(); at != c.want {
				t.Fatal("ready at", at)
			}
		})
	}
}

func TestAttemptDone(t *testing.T) {
	for _, c := range []struct {
		name, class string
		outcome     Outcome
		want        string
	}{
		{"a non-idempotent request that never ran is retried elsewhere", "write", Overloaded, "send j b"},
		{"a non-idempotent request that may have run fails", "write", ConnectionLost, "fail j"},
		{"a request with an idempotency key that may have run stays in scope", "mark", ConnectionLost, "fail j"},
		{"an idempotent request is retried elsewhere", "read", ServerError, "send j b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, effects := newTestController()
			sendRequest(controller, c.class)
			controller.AttemptDone(second/10, AttemptResult{Request: "j", Outcome: c.outcome, Duration: second / 10})
			requireEffects(t, effects, c.want)
		})
	}
	t.Run("a server that fails quickly attracts no requests", func(t *testing.T) {
		controller, _ := newTestController()
		sendRequest(controller, "read")
		controller.servers.byID["a"].health.failureRatio = maxFailureRatio
		controller.AttemptDone(1, AttemptResult{Request: "j", Outcome: ServerError, Duration: 1})
		if s := controller.servers.byID["a"]; s.health.state != ejected || s.pace.units > 0 {
			t.Fatal("not ejected, or its duration was observed")
		}
	})
	t.Run("actual units are reconciled once", func(t *testing.T) {
		controller, effects := newTestController()
		req := sendRequest(controller, "read")
		controller.AttemptDone(
			second/10,
			AttemptResult{Request: "j", Outcome: Succeeded, Duration: second / 10, Final: true, ActualUnits: 5},
		)
		requireEffects(t, effects, "send j a", "count 3")
		if controller.requests.byID["j"] != nil || req.state != stateAnswered || req.account.sharedQuota.tokens > 5.6 {
			t.Fatalf("request in state %d, the quota holds %v", req.state, req.account.sharedQuota.tokens)
		}
	})
}

func TestTimerFired(t *testing.T) {
	t.Run("at its deadline a non-idempotent request in flight fails", func(t *testing.T) {
		controller, effects := newTestController()
		req := sendRequest(controller, "write")
		controller.TimerFired(req.deadline, req.timer)
		requireEffects(t, effects, "fail j")
	})
	t.Run("at its deadline an idempotent request is rejected", func(t *testing.T) {
		controller, effects := newTestController()
		req := sendRequest(controller, "read")
		controller.TimerFired(req.deadline, req.timer)
		requireEffects(t, effects, "reject j")
	})
}

func TestRecordResult(t *testing.T) {
	t.Run("a failed dial ejects the server at once, for one latency objective", func(t *testing.T) {
		controller, _ := newTestController()
		req := sendRequest(controller, "read")
		controller.recordResult(0, req.attempts[0], &AttemptResult{Outcome: ConnectFailed})
		if s := controller.servers.byID["a"]; s.health.state != ejected || s.health.nextCheck != second {
			t.Fatal("state", s.health.state, "until", s.health.nextCheck)
		}
	})
	t.Run("the in-flight limit grows to four standard deviations above the mean and no further", func(t *testing.T) {
		controller, _ := newTestController()
		req := sendRequest(controller, "read")
		// The mean plus four standard deviations is 20.
		controller.concurrency.meanInFlight, controller.concurrency.inFlightLimit = 4, 19.9
		for range 3 {
			controller.recordResult(0, req.attempts[0], &AttemptResult{Outcome: Succeeded, Duration: 1})
		}
		if controller.concurrency.inFlightLimit != 20.15 {
			t.Fatal("the limit is", controller.concurrency.inFlightLimit)
		}
	})
}

func TestAttemptDoneOfAnUnknownRequestDoesNothing(t *testing.T) {
	controller, effects := newTestController()
	controller.AttemptDone(0, AttemptResult{Request: "unknown", Outcome: Succeeded})
	req := sendRequest(controller, "read")
	calls := len(effects.calls)
	controller.AttemptDone(0, AttemptResult{Request: req.id, Attempt: 1, Outcome: Succeeded})
	if len(effects.calls) != calls || req.ended() {
		t.Fatalf("effects %q", effects.calls)
	}
}

func TestFinalFailureEndsTheRequest(t *testing.T) {
	controller, effects := newTestController()
	req := sendRequest(controller, "read")
	calls := len(effects.calls)
	controller.AttemptDone(1, AttemptResult{Request: req.id, Outcome: ConnectionLost, Duration: 1, Final: true})
	if req.state != stateClientGone || len(effects.calls) != calls || controller.requests.byID[req.id] != nil {
		t.Fatalf("state %d, effects %q", req.state, effects.calls)
	}
}
