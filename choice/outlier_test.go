package choice

import (
	"fmt"
	"slices"
	"testing"
)

func TestTick(t *testing.T) {
	sendTo := func(controller *Controller, id string, s *server) *request {
		req := &request{
			id:       id,
			class:    controller.settings.Classes["read"],
			state:    stateInFlight,
			units:    1,
			deadline: 9 * second,
		}
		controller.send(0, req, s)
		return req
	}
	t.Run("a silent server is ejected and its attempt is cancelled", func(t *testing.T) {
		controller, effects := newTestController()
		sendRequest(controller, "read")
		sendTo(controller, "k", controller.servers.byID["a"]).state = stateAnswered
		controller.settings.CanCancel = true
		controller.tick(second * 3 / 4)
		requireEffects(t, effects, "cancel j 0")
		if controller.servers.byID["a"].health.state != ejected {
			t.Fatal("not ejected")
		}
	})
	t.Run(
		"with a single attempt, a silent server is ejected only after the latency objective and without a retry",
		func(t *testing.T) {
			controller, effects := newTestController()
			a := controller.servers.byID["a"]
			sendTo(controller, "k", a)
			controller.tick(second * 3 / 4)
			early := a.health.state
			controller.tick(second * 5 / 4)
			requireEffects(t, effects, "send k a")
			if early != healthy || a.health.state != ejected {
				t.Fatal("state", early, "then", a.health.state)
			}
		},
	)
	t.Run("an attempt at an ejected server is cancelled, then retried", func(t *testing.T) {
		controller, effects := newTestController()
		controller.settings.CanCancel = true
		sendRequest(controller, "read")
		controller.outliers.eject(0, controller.servers.byID["a"], "")
		controller.tick(second / 2)
		requireEffects(t, effects, "cancel j 0")
		controller.AttemptDone(second/2, AttemptResult{Request: "j", Outcome: Cancelled, Duration: second / 2})
		requireEffects(t, effects, "send j b")
	})
	t.Run("an overdue attempt lowers the limit once, before its answer", func(t *testing.T) {
		controller, _ := newTestController()
		a := controller.servers.byID["a"]
		sendTo(controller, "k", a)
		before := a.limit
		controller.tick(second * 6 / 10)
		once := a.limit
		controller.tick(second * 7 / 10)
		if once >= before || a.limit != once {
			t.Fatal("limit", before, once, a.limit)
		}
	})
	t.Run("at least a quarter of the servers is not ejected", func(t *testing.T) {
		controller, _ := newTestController()
		for _, s := range controller.servers.ring {
			controller.outliers.eject(0, s, "")
		}
		if controller.servers.byID["a"].health.state != ejected ||
			controller.servers.byID["b"].health.state != healthy {
			t.Fatal("none is left, or none is ejected")
		}
	})
	t.Run("a server is reinstated after it has passed health checks, and warms up if it failed", func(t *testing.T) {
		controller, _ := newTestController()
		a := controller.servers.byID["a"]
		a.health.failureRatio = 1
		controller.outliers.eject(0, a, "")
		controller.HealthCheckDone(second, "a", Succeeded)
		once := a.health.state
		controller.HealthCheckDone(second, "a", Succeeded)
		if once != ejected || a.health.state != halfOpen ||
			controller.slowStart.weight(second, a) != controller.settings.ColdCapacity {
			t.Fatal("state", once, "then", a.health.state, "weight", controller.slowStart.weight(second, a))
		}
	})
}

// newControllerWithServers returns a controller with the given number of servers, named by their numbers.
func newControllerWithServers(servers int) (*Controller, *recordedEffects) {
	controller, effects := newTestController()
	var endpoints []Endpoint
	for i := range servers {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint(i), Zone: "x", Weight: 1})
	}
	controller.UpdateEndpoints(0, true, endpoints)
	return controller, effects
}

// sendAt sends an attempt to a server at the given time.
func sendAt(controller *Controller, s *server, at int64) {
	req := &request{
		id:       "k",
		class:    controller.settings.Classes["read"],
		state:    stateInFlight,
		units:    1,
		deadline: 99 * second,
	}
	controller.send(at, req, s)
}

func TestThreeFailuresInARowEject(t *testing.T) {
	controller, effects := newTestController()
	a := controller.servers.byID["a"]
	controller.outliers.failed(0, a, ServerError)
	if a.health.failureRatio != 0.25 {
		t.Fatal("the failure ratio after one failure is", a.health.failureRatio)
	}
	controller.outliers.failed(0, a, ServerError)
	if a.health.state != healthy {
		t.Fatal("ejected after two failures")
	}
	controller.outliers.failed(0, a, ServerError)
	if a.health.state != ejected || !slices.Equal(effects.logLines, []string{"server a fails, ejected"}) {
		t.Fatalf("state %v, logged %q", a.health.state, effects.logLines)
	}
}

func TestEjectsThreeQuartersAtMost(t *testing.T) {
	controller, _ := newControllerWithServers(20)
	for _, s := range controller.servers.ring {
		controller.outliers.eject(0, s, "")
	}
	if got := controller.servers.index.ejected(); got != 15 {
		t.Fatalf("%d of 20 servers are ejected", got)
	}
}

func TestEjectionTimeDoublesUpToTheSlowStartWindow(t *testing.T) {
	controller, effects := newControllerWithServers(20)
	s := controller.servers.byID["3"]
	for i, want := range []int64{1, 2, 4, 8, 10, 10} {
		now := int64(i) * 100 * second
		controller.outliers.eject(now, s, "fails")
		controller.outliers.eject(now+second/2, s, "fails") // already ejected, so this does nothing
		if s.health.ejectionTime != want*second || s.health.nextCheck != now+want*second ||
			len(effects.logLines) != i+1 {
			t.Fatalf("ejection %d: %+v, logged %q", i, s.health, effects.logLines)
		}
		controller.outliers.reinstate(now+50*second, s)
	}
}

func TestSilenceIsMeasuredFromTheLatestSignOfLife(t *testing.T) {
	for _, c := range []struct {
		name         string
		signOfLife   func(d *outlierDetector, s *server)
		sentAt       int64
		notEjectedAt int64
		ejected      int64
	}{
		{"an answer is a sign of life", func(d *outlierDetector, s *server) { d.succeeded(9*second, s) },
			0, 10 * second, 11 * second},
		{"a reinstatement is a sign of life", func(d *outlierDetector, s *server) { d.reinstate(9*second, s) },
			0, 10 * second, 11 * second},
		{"the time counts from the sending of the attempt", func(*outlierDetector, *server) {},
			5 * second, 6 * second, 7 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, effects := newTestController()
			a := controller.servers.byID["a"]
			sendAt(controller, a, c.sentAt)
			c.signOfLife(&controller.outliers, a)
			controller.outliers.checkSilent(c.notEjectedAt, a)
			if a.health.state == ejected {
				t.Fatal("ejected within the latency objective")
			}
			controller.outliers.checkSilent(c.ejected, a)
			if a.health.state != ejected || !slices.Equal(effects.logLines, []string{"server a is silent, ejected"}) {
				t.Fatalf("state %v, logged %q", a.health.state, effects.logLines)
			}
		})
	}
}

func TestHalfOpenServerRecoversBelowHalfTheEjectingRatio(t *testing.T) {
	controller, _ := newTestController()
	a := controller.servers.byID["a"]
	a.health.state = halfOpen
	a.health.failureRatio = 0.4
	if controller.outliers.succeeded(0, a) || a.health.state != halfOpen {
		t.Fatal("recovered at", a.health.failureRatio)
	}
	if !controller.outliers.succeeded(0, a) || a.health.state != healthy {
		t.Fatal("not recovered at", a.health.failureRatio)
	}
}

func TestAnswerOfAnEjectedServerEndsTheEjection(t *testing.T) {
	controller, _ := newTestController()
	a := controller.servers.byID["a"]
	a.health.failureRatio = 1
	controller.outliers.eject(0, a, "")
	controller.HealthCheckDone(0, "a", Succeeded)
	if !controller.outliers.succeeded(0, a) || a.health.state != healthy || a.health.ejectionTime != 0 {
		t.Fatalf("%+v", a.health)
	}
	controller.servers.reindex(0, a)
	controller.outliers.eject(0, a, "")
	controller.HealthCheckDone(0, "a", Succeeded)
	if a.health.state != ejected {
		t.Fatal("a health check of the previous ejection counts")
	}
}

func TestEjectedServerIsCheckedOnceItsTimeIsOver(t *testing.T) {
	controller, effects := newTestController()
	controller.settings.DialTimeout = 3 * second
	a := controller.servers.byID["a"]
	controller.outliers.eject(0, a, "")
	controller.outliers.checkEjected(second-1, a)
	if len(effects.calls) > 0 {
		t.Fatalf("effects %q", effects.calls)
	}
	controller.outliers.checkEjected(second, a)
	requireEffects(t, effects, "health check a")
	if a.health.state != ejected || a.health.nextCheck != 4*second {
		t.Fatalf("the next check comes before this one can have ended: %+v", a.health)
	}
}

func TestReinstatedAfterEjectionTimeWithoutHealthChecks(t *testing.T) {
	controller, effects := newTestController()
	controller.settings.HealthChecks = false
	a := controller.servers.byID["a"]
	controller.outliers.eject(0, a, "")
	controller.outliers.checkEjected(second-1, a)
	early := a.health.state
	controller.outliers.checkEjected(second, a)
	if early != ejected || a.health.state != halfOpen || len(effects.calls) > 0 {
		t.Fatalf("state %v, then %v, effects %q", early, a.health.state, effects.calls)
	}
}

func TestSilentServerIsReinstatedWarm(t *testing.T) {
	controller, _ := newTestController()
	a := controller.servers.byID["a"]
	controller.outliers.eject(0, a, "is silent")
	controller.outliers.reinstate(second, a)
	if controller.slowStart.warming(second, a) {
		t.Fatal("it warms up, though it did not fail")
	}
}

func TestFailedHealthCheckResetsTheCount(t *testing.T) {
	controller, _ := newTestController()
	s := controller.servers.byID["a"]
	controller.outliers.eject(0, s, "")
	controller.HealthCheckDone(second, "a", Succeeded)
	controller.HealthCheckDone(second, "a", TimedOut)
	controller.HealthCheckDone(second, "a", Succeeded)
	if s.health.state != ejected {
		t.Fatal("it is reinstated by two health checks that are not in a row")
	}
	controller.HealthCheckDone(second, "a", Succeeded)
	if s.health.state != halfOpen {
		t.Fatal("it is not reinstated by two health checks in a row")
	}
}
