package choice

import (
	"fmt"
	"math"
	"testing"
)

// A limiter among hundreds must have capacity for a burst from the start: its first requests coincide by chance as
// often as later ones.
func TestInitialInFlightLimit(t *testing.T) {
	for _, c := range []struct {
		limiters, servers int
		minLimit          float64
	}{{300, 180, 14}, {3, 9, 36}} {
		controller, _ := newTestController()
		controller.settings.Limiters = c.limiters
		controller.concurrency.minServerLimit = controller.settings.MaxRequestUnits / float64(c.limiters)
		controller.concurrency.inFlightLimit = 0
		controller.servers.byID = map[string]*server{}
		controller.servers.ring = nil
		controller.servers.index = serverIndex{}
		var entries []Endpoint
		for i := range c.servers {
			entries = append(entries, Endpoint{ID: fmt.Sprint(i), Weight: 1})
		}
		controller.UpdateEndpoints(0, true, entries)
		minimum := controller.concurrency.minInFlightLimit()
		burst := burstDeviations * math.Sqrt(minimum*controller.settings.MaxRequestUnits)
		got := controller.concurrency.inFlightLimit
		if got < minimum+burst || got < c.minLimit {
			t.Fatalf("%d limiters start with an in-flight limit of %v units at %d servers", c.limiters, got, c.servers)
		}
	}
}

func TestInFlightLimit(t *testing.T) {
	t.Run("overdue attempts at any server lower it, to one request per server over all limiters", func(t *testing.T) {
		controller, _ := newTestController()
		req := sendRequest(controller, "read")
		controller.concurrency.checkOverdue(second, req.attempts[0])
		if controller.concurrency.inFlightLimit != 20-1 {
			t.Fatal("the limit is", controller.concurrency.inFlightLimit)
		}
		controller.concurrency.inFlightLimit = 4.5
		if controller.concurrency.inFlightLimit < controller.concurrency.minInFlightLimit() {
			t.Fatal("the minimum is", controller.concurrency.minInFlightLimit())
		}
		controller.concurrency.decreaseInFlightLimit(req.units)
		if controller.concurrency.inFlightLimit != 4 {
			t.Fatal("the limit is", controller.concurrency.inFlightLimit)
		}
	})
	t.Run("a retry that was answered promptly is returned to the budget", func(t *testing.T) {
		controller, _ := newTestController()
		req := sendRequest(controller, "read")
		controller.retries.retries = 1
		controller.retry(0, req)
		controller.AttemptDone(1, AttemptResult{Request: "j", Attempt: 1, Outcome: Succeeded, Duration: 1, Final: true})
		if controller.retries.retries != 1 {
			t.Fatal("retries left", controller.retries.retries)
		}
	})
}

func TestResidenceFactor(t *testing.T) {
	for _, c := range []struct {
		name     string
		reports  []float64 // residence times in seconds, one for each load report
		age      int64
		eligible bool
	}{
		{"no report: the in-flight limit binds", nil, 0, false},
		{"requests stay for a fifth of the latency objective: there is capacity", []float64{0.2, 0.2, 0.2}, 0, true},
		{
			"and one stuck server among many does not hide it",
			[]float64{0.2, 0.2, 0.2, 0.2, 30, 0.2, 0.2, 0.2, 0.2, 0.2},
			0,
			true,
		},
		{
			"requests stay for most of the latency objective: the in-flight limit binds",
			[]float64{0.8, 0.8, 0.8},
			0,
			false,
		},
		{"reports have grown old: the in-flight limit binds", []float64{0.2, 0.2, 0.2}, 2 * second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newTestController()
			for _, residence := range c.reports {
				att := &attempt{
					request: &request{class: controller.settings.Classes["read"], units: 1},
					server:  controller.servers.byID["a"],
				}
				controller.recordResult(
					1,
					att,
					&AttemptResult{Outcome: Succeeded, Load: LoadReport{InFlight: 10 * residence, Throughput: 10}},
				)
			}
			controller.concurrency.inFlightLimit = 2.5
			controller.servers.byID["a"].inFlight = 3
			reindex(controller, c.age)
			eligible := controller.eligibleServers(
				c.age,
				&request{class: controller.settings.Classes["read"], units: 1},
			)
			if len(eligible) > 0 != c.eligible {
				t.Fatalf(
					"eligible %v with an in-flight limit of %v raised by %v",
					eligible,
					controller.concurrency.inFlightLimit,
					controller.concurrency.residenceFactor(c.age, controller.settings.Classes["read"]),
				)
			}
		})
	}
}

func TestDecreaseInFlightLimit(t *testing.T) {
	for _, c := range []struct {
		name           string
		overload, want float64
	}{
		{"while answers are slow, an overdue attempt takes four times what a prompt one adds", 0.5, 19},
		{"while answers are prompt, an overdue attempt takes what a prompt one adds", 0, 19.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newTestController()
			controller.concurrency.overloadRatio = c.overload
			controller.concurrency.decreaseInFlightLimit(2)
			if controller.concurrency.inFlightLimit != c.want {
				t.Fatal("the limit is", controller.concurrency.inFlightLimit)
			}
		})
	}
}

func TestPriorityReserve(t *testing.T) {
	controller, _ := newTestController()
	highPriority := &Class{LatencyObjective: second / 2, PriorityWeight: 5}
	controller.settings.Classes["dear"], controller.concurrency.inFlightLimit = highPriority, 4
	controller = func() *Controller {
		rebuilt := New(0, controller.settings, 1, &recordedEffects{})
		rebuilt.UpdateEndpoints(0, true, []Endpoint{{ID: "a"}, {ID: "b"}})
		return rebuilt
	}()
	controller.concurrency.inFlightLimit = 4
	controller.servers.byID["a"].inFlight = 2
	reindex(controller, 0)
	if len(controller.eligibleServers(0, &request{units: 2, class: highPriority})) == 0 {
		t.Fatal("the class with the highest priority does not get the whole in-flight limit")
	}
	if len(controller.eligibleServers(0, &request{units: 2, class: controller.settings.Classes["read"]})) != 0 {
		t.Fatal("a class with a lower priority gets as much")
	}
	controller.concurrency.reportedAt, controller.concurrency.meanResidence = 1, math.Log(0.2)
	// The factor follows the latency objective of half a second, not that of one second.
	if factor := controller.concurrency.residenceFactor(
		1,
		controller.settings.Classes["read"],
	); math.Abs(factor-1.25) > 1e-9 {
		t.Fatal("a longer latency objective raises the in-flight limit by", factor)
	}
}
