package choice

import (
	"math"
	"testing"
)

func TestSlowStartTurns(t *testing.T) {
	controller, _ := newTestController()
	controller.UpdateEndpoints(
		second,
		true,
		[]Endpoint{{ID: "a", Zone: "x", Weight: 1}, {ID: "b", Zone: "y", Weight: 1, StartedAt: second}},
	)
	controller.tick(second)
	a, b := controller.servers.byID["a"], controller.servers.byID["b"]
	a.overloadedUntil, b.credit.slowStart = 1<<62, 0
	got := 0
	for range 100 { // the warm server has no capacity: the other gets its share of turns and no more
		if s := controller.pickServer(second, &request{units: 1, class: controller.settings.Classes["read"]}); s == b {
			got++
		}
	}
	if share := controller.settings.ColdCapacity / (1 + controller.settings.ColdCapacity); float64(got) < 90*share ||
		float64(got) > 100*share+1 {
		t.Fatal("it got", got, "of 100")
	}
}

// With a ColdCapacity of 0, all weights are 0 when all servers have just started. A pick at that time must not spoil
// their slow-start credit.
func TestSlowStartFromNoCapacity(t *testing.T) {
	controller, _ := newTestController()
	controller.settings.ColdCapacity = 0
	controller.UpdateEndpoints(
		second,
		true,
		[]Endpoint{
			{ID: "a", Zone: "x", Weight: 1, StartedAt: second},
			{ID: "b", Zone: "y", Weight: 1, StartedAt: second},
		},
	)
	controller.tick(second)
	controller.pickServer(second, &request{units: 1, class: controller.settings.Classes["read"]})
	// Server a turns out to have started long ago.
	controller.UpdateEndpoints(second, false, []Endpoint{{ID: "a", Zone: "x", Weight: 1, StartedAt: 1}})
	a, b := controller.servers.byID["a"], controller.servers.byID["b"]
	a.startedAt, a.overloadedUntil, b.credit.slowStart = 0, 1<<62, math.Min(b.credit.slowStart, 0)
	reindex(controller, second)
	now := 2 * second // b has a tenth of its capacity
	controller.tick(now)
	got := 0
	for range 110 { // its share of both weights is 1 in 11
		if s := controller.pickServer(now, &request{units: 1, class: controller.settings.Classes["read"]}); s == b {
			got++
		}
	}
	if got < 8 || got > 11 {
		t.Fatal("it got", got, "of 110")
	}
}

// A server that was chosen hundreds of times while it was warm must not start its next slow start with a negative
// credit, which would keep requests from it.
func TestSlowStartAfterReinstatement(t *testing.T) {
	controller, _ := newTestController()
	a, b := controller.servers.byID["a"], controller.servers.byID["b"]
	controller.tick(0)
	for range 500 {
		controller.pickServer(0, &request{units: 1, class: controller.settings.Classes["read"]})
	}
	b.health.failureRatio = 1
	controller.outliers.reinstate(second, b)
	a.overloadedUntil, b.health.failureRatio = 1<<62, 0
	for range 40 {
		if controller.pickServer(second, &request{units: 1, class: controller.settings.Classes["read"]}) == b {
			return
		}
	}
	t.Fatal("it gets none of 40 requests, with a negative credit of", -b.credit.slowStart)
}
