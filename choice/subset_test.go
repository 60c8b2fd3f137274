package choice

import (
	"fmt"
	"testing"
)

func TestEligibleServers(t *testing.T) {
	t.Run("the in-flight limit holds for all servers together", func(t *testing.T) {
		controller, _ := newTestController()
		controller.concurrency.inFlightLimit = 4
		controller.servers.byID["a"].inFlight = 3
		reindex(controller, 0)
		if able := controller.eligibleServers(0, &request{units: 2, class: &Class{}}); able != nil {
			t.Fatal(len(able), "servers are able")
		}
	})
	t.Run("a full server rests for a look", func(t *testing.T) {
		controller, _ := newTestController()
		q := sendRequest(controller, "read")
		controller.AttemptDone(1, AttemptResult{Request: "j", Outcome: Overloaded, Duration: 1})
		q.attempts = nil
		if able := controller.eligibleServers(2, q); len(able) != 0 && able[0].id == "a" {
			t.Fatal("it is asked again at once")
		}
	})
	t.Run("a request with an idempotency key that may have run looks in its group alone", func(t *testing.T) {
		controller, _ := newTestController()
		controller.UpdateEndpoints(0, false, []Endpoint{{ID: "c", Zone: "x"}})
		controller.servers.byID["c"].turns.current = 0
		sortRingByName(controller)
		q := sendRequest(controller, "mark")
		if able := controller.eligibleServers(second/2, q); len(able) != 1 || able[0].id != "c" {
			t.Fatal(len(able), "servers are able")
		}
		if able := controller.eligibleServers(second, q); len(able) != 0 {
			t.Fatal("after its window")
		}
	})
}

// fleet is so many limiters that know the same servers, each with its place.
func fleet(limiters int, entries []Endpoint) []*Controller {
	all := make([]*Controller, limiters)
	for i := range all {
		controller, _ := newTestController()
		controller.settings.Limiters, controller.settings.Position = limiters, i
		controller.UpdateEndpoints(0, true, entries)
		controller.TimerFired(0, 0) // lets go of the two servers that made knows
		controller.UpdateEndpoints(0, true, entries)
		all[i] = controller
	}
	return all
}

func TestSubset(t *testing.T) {
	const limiters = 80
	var entries []Endpoint
	for i := range 60 {
		entries = append(entries, Endpoint{ID: fmt.Sprint("s", i), Weight: 1})
	}
	ids := func(servers []*server) map[string]bool {
		set := map[string]bool{}
		for _, s := range servers {
			set[s.id] = true
		}
		return set
	}
	both := func(a, b map[string]bool) (n int) {
		for id := range a {
			if b[id] {
				n++
			}
		}
		return n
	}
	all, share := fleet(limiters, entries), map[string]int{}
	circles := make([]map[string]bool, limiters)
	for i, controller := range all {
		circles[i] = ids(controller.servers.ring[:controller.servers.subsetSize()])
		for id := range circles[i] {
			share[id]++
		}
	}
	controller := all[7]
	able := func() map[string]bool {
		return ids(controller.eligibleServers(0, &request{class: controller.settings.Classes["read"]}))
	}
	t.Run("each server is shared by as many limiters, and neighbours in number share few", func(t *testing.T) {
		for id, n := range share {
			if n < limitersPerServer-2 || n > limitersPerServer+2 {
				t.Fatalf("%s is shared by %d", id, n)
			}
		}
		for i := range limiters - 1 {
			if n := both(circles[i], circles[i+1]); n > len(circles[i])/2 {
				t.Fatalf("%d and %d share %d of %d", i, i+1, n, len(circles[i]))
			}
		}
	})
	t.Run(
		"those beyond it come in for each that cannot be used, and one at a time where none has room",
		func(t *testing.T) {
			if n := both(able(), circles[7]); n != controller.servers.subsetSize() || len(able()) != n {
				t.Fatal(n, "servers")
			}
			for _, s := range controller.servers.ring[:controller.servers.subsetSize()/2] {
				s.health.state = ejected
			}
			reindex(controller, 0)
			if n := len(able()); n != controller.servers.subsetSize() {
				t.Fatal(n, "servers with half of them aside")
			}
			for _, s := range controller.servers.ring[:2*controller.servers.subsetSize()] {
				s.health.state, s.overloadedUntil = healthy, 1
			}
			reindex(controller, 0)
			if n := len(able()); n != 1 {
				t.Fatal(n, "servers where all are full")
			}
		},
	)
	t.Run("a limiter that is not told its place uses all servers", func(t *testing.T) {
		controller, _ := newTestController()
		controller.settings.Limiters, controller.settings.Position = limiters, -1
		controller.UpdateEndpoints(0, true, entries)
		if controller.servers.subsetSize() != len(controller.servers.ring) {
			t.Fatal(controller.servers.subsetSize(), "of", len(controller.servers.ring))
		}
	})
	t.Run("a server that goes moves no limiter by more than two others", func(t *testing.T) {
		for i, controller := range all {
			controller.UpdateEndpoints(1, false, []Endpoint{{ID: "s33", State: EndpointGone}})
			controller.TimerFired(1, 0)
			controller.UpdateEndpoints(1, false, nil)
			kept := both(ids(controller.servers.ring[:controller.servers.subsetSize()]), circles[i])
			if kept < len(circles[i])-3 {
				t.Fatalf("limiter %d kept %d of %d", i, kept, len(circles[i]))
			}
		}
	})
	t.Run("cold servers get no more than their part of all limiters' turns together", func(t *testing.T) {
		for i := range 12 { // one in five has just started
			entries[5*i].StartedAt = second
		}
		turns, cold := map[string]float64{}, 0.0
		for i, controller := range fleet(limiters, entries) {
			for range 50 * (1 + i%3) { // some get three times as many requests as others
				turns[controller.pickServer(second, &request{class: controller.settings.Classes["read"]}).id]++
			}
		}
		warm := 0.0
		for _, e := range entries {
			if e.StartedAt == 0 {
				warm += turns[e.ID] / 48
			}
		}
		for i := range 12 {
			cold = max(cold, turns[entries[5*i].ID])
		}
		if part := cold / warm; part > 0.25*2 { // it falls at three times its part
			t.Fatalf("a cold server gets %v of a warm one's turns", part)
		}
	})
}

func TestSubsetHasEightServersAtLeast(t *testing.T) {
	controller, _ := newControllerOfServers(100)
	controller.settings.Limiters = 1000
	if got := controller.servers.subsetSize(); got != 8 {
		t.Fatalf("%d servers", got)
	}
}
