package choice

import "testing"

func TestTick(t *testing.T) {
	out := func(controller *Controller, id string, s *server) *request {
		q := &request{
			id:       id,
			class:    controller.settings.Classes["read"],
			state:    stateInFlight,
			units:    1,
			deadline: 9 * second,
		}
		controller.send(0, q, s)
		return q
	}
	t.Run("a silent server is ejected and its request goes elsewhere", func(t *testing.T) {
		controller, done := newTestController()
		sendRequest(controller, "read")
		out(controller, "k", controller.servers.byID["a"]).state = stateAnswered
		controller.settings.CanCancel = true
		controller.tick(second * 3 / 4)
		requireEffects(t, done, "cancel j 0")
		if controller.servers.byID["a"].health.state != ejected {
			t.Fatal("not ejected")
		}
	})
	t.Run(
		"a lone attempt shows a silent server only after the latency objective, and is not copied then",
		func(t *testing.T) {
			controller, done := newTestController()
			a := controller.servers.byID["a"]
			out(controller, "k", a)
			controller.tick(second * 3 / 4)
			early := a.health.state
			controller.tick(second * 5 / 4)
			requireEffects(t, done, "send k a")
			if early != healthy || a.health.state != ejected {
				t.Fatal("standing", early, "then", a.health.state)
			}
		},
	)
	t.Run("its attempt is cancelled, then sent again", func(t *testing.T) {
		controller, done := newTestController()
		controller.settings.CanCancel = true
		sendRequest(controller, "read")
		controller.outliers.eject(0, controller.servers.byID["a"], "")
		controller.tick(second / 2)
		requireEffects(t, done, "cancel j 0")
		controller.AttemptDone(second/2, AttemptResult{Request: "j", Outcome: Cancelled, Duration: second / 2})
		requireEffects(t, done, "send j b")
	})
	t.Run("an attempt that is out too long lowers the limit once, before its answer", func(t *testing.T) {
		controller, _ := newTestController()
		a := controller.servers.byID["a"]
		out(controller, "k", a)
		before := a.limit
		controller.tick(second * 6 / 10)
		once := a.limit
		controller.tick(second * 7 / 10)
		if once >= before || a.limit != once {
			t.Fatal("limit", before, once, a.limit)
		}
	})
	t.Run("at least a quarter of the servers stays", func(t *testing.T) {
		controller, _ := newTestController()
		for _, s := range controller.servers.ring {
			controller.outliers.eject(0, s, "")
		}
		if controller.servers.byID["a"].health.state != ejected ||
			controller.servers.byID["b"].health.state != healthy {
			t.Fatal("none is left, or none is ejected")
		}
	})
	t.Run("it comes back after it has passed health checks, cold where it failed", func(t *testing.T) {
		controller, _ := newTestController()
		a := controller.servers.byID["a"]
		a.health.failureRatio = 1
		controller.outliers.eject(0, a, "")
		controller.HealthCheckDone(second, "a", Succeeded)
		once := a.health.state
		controller.HealthCheckDone(second, "a", Succeeded)
		if once != ejected || a.health.state != halfOpen ||
			controller.slowStart.weight(second, a) != controller.settings.ColdCapacity {
			t.Fatal("standing", once, "then", a.health.state, "warmth", controller.slowStart.weight(second, a))
		}
	})
}
