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
		if eligible := controller.eligibleServers(0, &request{units: 2, class: &Class{}}); eligible != nil {
			t.Fatal(len(eligible), "servers are eligible")
		}
	})
	t.Run("a server that rejected a request is not eligible until the next tick", func(t *testing.T) {
		controller, _ := newTestController()
		req := sendRequest(controller, "read")
		controller.AttemptDone(1, AttemptResult{Request: "j", Outcome: Overloaded, Duration: 1})
		req.attempts = nil
		if eligible := controller.eligibleServers(2, req); len(eligible) != 0 && eligible[0].id == "a" {
			t.Fatal("it is eligible again at once")
		}
	})
	t.Run("a request with an idempotency key that may have run stays within its scope", func(t *testing.T) {
		controller, _ := newTestController()
		controller.UpdateEndpoints(0, false, []Endpoint{{ID: "c", Zone: "x"}})
		controller.servers.byID["c"].credit.current = 0
		sortRingByID(controller)
		req := sendRequest(controller, "mark")
		if eligible := controller.eligibleServers(second/2, req); len(eligible) != 1 || eligible[0].id != "c" {
			t.Fatal(len(eligible), "servers are eligible")
		}
		if eligible := controller.eligibleServers(second, req); len(eligible) != 0 {
			t.Fatal("a server is eligible after the deduplication window")
		}
	})
}

// newFleet returns the given number of controllers, each with its own position, that know the same servers.
func newFleet(limiters int, entries []Endpoint) []*Controller {
	controllers := make([]*Controller, limiters)
	for i := range controllers {
		controller, _ := newTestController()
		controller.settings.Limiters, controller.settings.Position = limiters, i
		controller.UpdateEndpoints(0, true, entries)
		controller.TimerFired(0, 0) // removes the two servers of newTestController
		controller.UpdateEndpoints(0, true, entries)
		controllers[i] = controller
	}
	return controllers
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
	countCommon := func(a, b map[string]bool) (n int) {
		for id := range a {
			if b[id] {
				n++
			}
		}
		return n
	}
	controllers, limitersSharing := newFleet(limiters, entries), map[string]int{}
	subsets := make([]map[string]bool, limiters)
	for i, controller := range controllers {
		subsets[i] = ids(controller.servers.ring[:controller.servers.subsetSize()])
		for id := range subsets[i] {
			limitersSharing[id]++
		}
	}
	controller := controllers[7]
	eligibleIDs := func() map[string]bool {
		return ids(controller.eligibleServers(0, &request{class: controller.settings.Classes["read"]}))
	}
	t.Run("servers are shared by equally many limiters, and limiters next to each other share few", func(t *testing.T) {
		for id, n := range limitersSharing {
			if n < limitersPerServer-2 || n > limitersPerServer+2 {
				t.Fatalf("%s is shared by %d", id, n)
			}
		}
		for i := range limiters - 1 {
			if n := countCommon(subsets[i], subsets[i+1]); n > len(subsets[i])/2 {
				t.Fatalf("%d and %d share %d of %d", i, i+1, n, len(subsets[i]))
			}
		}
	})
	t.Run(
		"servers beyond the subset replace those that cannot be used, and are added one by one if none has capacity",
		func(t *testing.T) {
			if n := countCommon(eligibleIDs(), subsets[7]); n != controller.servers.subsetSize() ||
				len(eligibleIDs()) != n {
				t.Fatal(n, "servers")
			}
			for _, s := range controller.servers.ring[:controller.servers.subsetSize()/2] {
				s.health.state = ejected
			}
			reindex(controller, 0)
			if n := len(eligibleIDs()); n != controller.servers.subsetSize() {
				t.Fatal(n, "servers with half of them ejected")
			}
			for _, s := range controller.servers.ring[:2*controller.servers.subsetSize()] {
				s.health.state, s.overloadedUntil = healthy, 1
			}
			reindex(controller, 0)
			if n := len(eligibleIDs()); n != 1 {
				t.Fatal(n, "servers while the first are full")
			}
		},
	)
	t.Run("a limiter without a position uses all servers", func(t *testing.T) {
		controller, _ := newTestController()
		controller.settings.Limiters, controller.settings.Position = limiters, -1
		controller.UpdateEndpoints(0, true, entries)
		if controller.servers.subsetSize() != len(controller.servers.ring) {
			t.Fatal(controller.servers.subsetSize(), "of", len(controller.servers.ring))
		}
	})
	t.Run("the removal of a server changes few servers of each subset", func(t *testing.T) {
		for i, controller := range controllers {
			controller.UpdateEndpoints(1, false, []Endpoint{{ID: "s33", State: EndpointGone}})
			controller.TimerFired(1, 0)
			controller.UpdateEndpoints(1, false, nil)
			kept := countCommon(ids(controller.servers.ring[:controller.servers.subsetSize()]), subsets[i])
			if kept < len(subsets[i])-3 {
				t.Fatalf("limiter %d kept %d of %d", i, kept, len(subsets[i]))
			}
		}
	})
	t.Run("warming servers get no more than their share of the turns of all limiters together", func(t *testing.T) {
		for i := range 12 { // one in five has just started
			entries[5*i].StartedAt = second
		}
		turns, maxColdTurns := map[string]float64{}, 0.0
		for i, controller := range newFleet(limiters, entries) {
			for range 50 * (1 + i%3) { // some get three times as many requests as others
				turns[controller.pickServer(second, &request{class: controller.settings.Classes["read"]}).id]++
			}
		}
		warmTurns := 0.0
		for _, e := range entries {
			if e.StartedAt == 0 {
				warmTurns += turns[e.ID] / 48
			}
		}
		for i := range 12 {
			maxColdTurns = max(maxColdTurns, turns[entries[5*i].ID])
		}
		if ratio := maxColdTurns / warmTurns; ratio > 0.25*2 { // servers fail at three times their share
			t.Fatalf("a warming server gets %v of a warm one's turns", ratio)
		}
	})
}

func TestSubsetHasEightServersAtLeast(t *testing.T) {
	controller, _ := newControllerWithServers(100)
	controller.settings.Limiters = 1000
	if got := controller.servers.subsetSize(); got != 8 {
		t.Fatalf("%d servers", got)
	}
}
