package choice

import (
	"fmt"
	"testing"
)

// The benchmarks measure what a request and a tick cost, by the number of servers and customers, while few of these are
// in use. They use exported functions only, so that they run on any version of the module.

const (
	benchLimiters = 550
	benchInFlight = 20 // requests in flight during a benchmark
)

// benchSettings returns the settings of a fleet of 550 limiters whose customers have quotas and ceilings.
func benchSettings() *Settings {
	return &Settings{
		Classes: map[string]*Class{"read": {LatencyObjective: second, Idempotency: Idempotent, PriorityWeight: 1}},
		Plans:   map[string]*Plan{"hard": {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16}},
		// The lease is so long that no account is evicted during a benchmark.
		CounterTimeout: second / 20, MaxRequestUnits: 4, MaxLease: 3600 * second, Limiters: benchLimiters,
		ColdCapacity: 0.25, SlowStartWindow: 10 * second, DialTimeout: second / 4,
		MaxAttempts: 3, MaxRetryAfter: second, TimerResolution: second / 500,
	}
}

// benchEffects records calls to the counter and discards all other effects.
type benchEffects struct {
	recordedEffects
	calledNames []uint64
	answer      bool
}

func (e *benchEffects) Send(string, string)                {}
func (e *benchEffects) Reject(string, int64, RejectReason) {}
func (e *benchEffects) AddToCounter(name uint64, _ float64, _ int64) {
	e.calledNames = append(e.calledNames, name)
}

// newBenchController returns a controller with the given number of servers that has handled one request of each
// customer and has benchInFlight requests in flight, its effects, and the current time.
func newBenchController(servers, customers int) (*Controller, *benchEffects, int64) {
	effects := &benchEffects{answer: true}
	controller := New(0, benchSettings(), 1, effects)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{ID: fmt.Sprintf("server-%d", i), Zone: fmt.Sprintf("zone-%d", i%4), Weight: 1}
	}
	controller.UpdateEndpoints(0, true, entries)
	now := 100 * second
	for i := range customers {
		effects.runRequest(controller, now, fmt.Sprintf("first-%d", i), uint64(i))
	}
	effects.answer = false
	for i := range benchInFlight {
		now += second / 1000
		effects.runRequest(controller, now, fmt.Sprintf("out-%d", i), uint64(i%max(customers, 1)))
	}
	effects.answer = true
	return controller, effects, now
}

// runRequest takes a request through the counter and, if answer is set, to its end.
func (e *benchEffects) runRequest(controller *Controller, now int64, id string, customer uint64) {
	controller.RequestArrived(
		now,
		Arrival{
			ID:       id,
			Timeout:  3600 * second,
			Customer: customer,
			Plan:     "hard",
			Class:    "read",
			Units:    0.01,
			Limiters: 2,
		},
	)
	for len(e.calledNames) > 0 {
		name := e.calledNames[0]
		e.calledNames = e.calledNames[1:]
		controller.CounterReplied(now, name, Succeeded, 0.01)
	}
	if e.answer {
		controller.AttemptDone(
			now+second/100,
			AttemptResult{Request: id, Outcome: Succeeded, Duration: second / 100, Final: true},
		)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			controller, effects, now := newBenchController(servers, 200)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += second / 100
				effects.runRequest(controller, now, "request", uint64(i%200))
			}
		})
	}
}

func BenchmarkTickServers(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchTick(b, servers, 200) })
	}
}

func BenchmarkTickCustomers(b *testing.B) {
	for _, customers := range []int{200, 28000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) { benchTick(b, 20, customers) })
	}
}

func benchTick(b *testing.B, servers, customers int) {
	controller, _, now := newBenchController(servers, customers)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now++ // time hardly passes, so that no account is evicted
		controller.TimerFired(now, 0)
	}
}

// BenchmarkUpdateEndpoints applies a change of one server, and adds and removes a new server.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("change/servers=%d", servers), func(b *testing.B) {
			controller, _, now := newBenchController(servers, 1)
			for i := range b.N {
				controller.UpdateEndpoints(
					now,
					false,
					[]Endpoint{{ID: "server-1", State: EndpointState(i % 2), Weight: 1}},
				)
			}
		})
		b.Run(fmt.Sprintf("new/servers=%d", servers), func(b *testing.B) {
			controller, _, now := newBenchController(servers, 1)
			for i := range b.N {
				controller.UpdateEndpoints(
					now,
					false,
					[]Endpoint{{ID: "new", State: []EndpointState{EndpointReady, EndpointGone}[i%2], Weight: 1}},
				)
				controller.TimerFired(now, 0)
			}
		})
	}
}
