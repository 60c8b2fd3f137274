package choice

import (
	"fmt"
	"testing"
)

// The benchmarks measure what a request and a tick cost while few servers and customers are in use, by how many there
// are. They use the exported calls alone, so that they run on any edition of the module.

const (
	benchLimiters = 550
	benchInUse    = 20 // requests that are out meanwhile
)

// benchSettings are those of a fleet of 550 limiters whose customers have quotas and ceilings.
func benchSettings() *Settings {
	return &Settings{
		Classes: map[string]*Class{"read": {LatencyObjective: second, Idempotency: Idempotent, PriorityWeight: 1}},
		Plans:   map[string]*Plan{"hard": {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16}},
		// No lease is so long that a customer is forgotten within a benchmark.
		CounterTimeout: second / 20, MaxRequestUnits: 4, MaxLease: 3600 * second, Limiters: benchLimiters,
		ColdCapacity: 0.25, SlowStartWindow: 10 * second, DialTimeout: second / 4,
		MaxAttempts: 3, MaxRetryAfter: second, TimerResolution: second / 500,
	}
}

// benchWorld answers the counter and the servers at once, or leaves requests out.
type benchWorld struct {
	recordedEffects
	names  []uint64
	answer bool
}

func (w *benchWorld) Send(string, string)                          {}
func (w *benchWorld) Reject(string, int64, RejectReason)           {}
func (w *benchWorld) AddToCounter(name uint64, _ float64, _ int64) { w.names = append(w.names, name) }

// benchFleet is a limiter before so many servers that has met so many customers once.
func benchFleet(servers, customers int) (*Controller, *benchWorld, int64) {
	w := &benchWorld{answer: true}
	controller := New(0, benchSettings(), 1, w)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{ID: fmt.Sprintf("server-%d", i), Zone: fmt.Sprintf("zone-%d", i%4), Weight: 1}
	}
	controller.UpdateEndpoints(0, true, entries)
	now := 100 * second
	for i := range customers {
		w.play(controller, now, fmt.Sprintf("first-%d", i), uint64(i))
	}
	w.answer = false
	for i := range benchInUse {
		now += second / 1000
		w.play(controller, now, fmt.Sprintf("out-%d", i), uint64(i%max(customers, 1)))
	}
	w.answer = true
	return controller, w, now
}

// play takes a request through the counter and, if answer is set, to its end.
func (w *benchWorld) play(controller *Controller, now int64, id string, customer uint64) {
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
	for len(w.names) > 0 {
		name := w.names[0]
		w.names = w.names[1:]
		controller.CounterReplied(now, name, Succeeded, 0.01)
	}
	if w.answer {
		controller.AttemptDone(
			now+second/100,
			AttemptResult{Request: id, Outcome: Succeeded, Duration: second / 100, Final: true},
		)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			controller, w, now := benchFleet(servers, 200)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += second / 100
				w.play(controller, now, "request", uint64(i%200))
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
	controller, _, now := benchFleet(servers, customers)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now++ // time hardly passes, so that nobody is forgotten
		controller.TimerFired(now, 0)
	}
}

// BenchmarkUpdateEndpoints takes in a change of one server, and a new server that goes again.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("change/servers=%d", servers), func(b *testing.B) {
			controller, _, now := benchFleet(servers, 1)
			for i := range b.N {
				controller.UpdateEndpoints(
					now,
					false,
					[]Endpoint{{ID: "server-1", State: EndpointState(i % 2), Weight: 1}},
				)
			}
		})
		b.Run(fmt.Sprintf("new/servers=%d", servers), func(b *testing.B) {
			controller, _, now := benchFleet(servers, 1)
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
