package choice

import "testing"

func TestPickServer(t *testing.T) {
	unsentRequest := &request{units: 2, class: &Class{}}
	t.Run("takes turns", func(t *testing.T) {
		controller, _ := newTestController()
		if a, b := controller.pickServer(0, unsentRequest), controller.pickServer(0, unsentRequest); a == b {
			t.Fatal("the same server twice")
		}
	})
	t.Run("gives a server that fails fewer turns", func(t *testing.T) {
		controller, _ := newTestController()
		controller.servers.byID["a"].health.failureRatio = 0.5
		a := controller.rotation.weight(0, controller.servers.byID["a"])
		b := controller.rotation.weight(0, controller.servers.byID["b"])
		if a != b/2 {
			t.Fatal("weights", a, b)
		}
	})
	t.Run(
		"skips a half-open server for non-idempotent requests, and for others while it has one in flight",
		func(t *testing.T) {
			controller, _ := newTestController()
			a := controller.servers.byID["a"]
			a.health.state = halfOpen
			reindex(controller, 0)
			idempotentAllowed, nonIdempotentAllowed := controller.servers.mayReceive(
				0,
				unsentRequest,
				a,
			), controller.servers.mayReceive(
				0,
				&request{class: controller.settings.Classes["write"]},
				a,
			)
			controller.send(0, &request{class: unsentRequest.class}, a)
			if !idempotentAllowed || nonIdempotentAllowed || controller.servers.mayReceive(0, unsentRequest, a) {
				t.Fatal(
					"may receive",
					idempotentAllowed,
					nonIdempotentAllowed,
					controller.servers.mayReceive(0, unsentRequest, a),
				)
			}
		},
	)
	t.Run("skips a server that is draining", func(t *testing.T) {
		controller, _ := newTestController()
		controller.UpdateEndpoints(
			0,
			false,
			[]Endpoint{{ID: "a", State: EndpointDraining}, {ID: "b", State: EndpointGone}},
		)
		if s := controller.pickServer(0, unsentRequest); s != nil {
			t.Fatal("picked", s.id)
		}
	})
	t.Run("gives a warming server its share of the turns", func(t *testing.T) {
		controller, _ := newTestController()
		controller.servers.byID["a"].startedAt = second
		reindex(controller, second)
		turns := 0
		for range 100 {
			if controller.pickServer(second, unsentRequest) == controller.servers.byID["a"] {
				turns++
			}
		}
		if turns < 15 || turns > 25 {
			t.Fatal(turns, "turns of 100")
		}
	})
}

func TestControllersStartAtDifferentServers(t *testing.T) {
	chosen := map[string]bool{}
	for seed := range int64(20) {
		effects := &recordedEffects{}
		read := &Class{LatencyObjective: second, PriorityWeight: 1}
		controller := New(
			0,
			&Settings{Limiters: 20, MaxRequestUnits: 1, SlowStartWindow: 1, Classes: map[string]*Class{"read": read}},
			seed,
			effects,
		)
		controller.UpdateEndpoints(0, true, []Endpoint{{ID: "a"}, {ID: "b"}})
		chosen[controller.pickServer(0, &request{units: 1, class: read}).id] = true
	}
	if len(chosen) != 2 {
		t.Fatal("all start at", chosen)
	}
}
