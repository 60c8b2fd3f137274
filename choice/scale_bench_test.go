package choice

import (
	"fmt"
	"testing"
)

// The benchmarks measure what a request and a tick cost while few servers and customers are in use, by how many there are.
// They use the exported calls alone, so that they run on any edition of the module.

const (
	benchLimiters = 550
	benchInUse    = 20 // requests that are out meanwhile
)

// benchSettings are those of a fleet of 550 limiters whose customers have quotas and ceilings.
func benchSettings() *Settings {
	return &Settings{
		Classes: map[string]*Class{"read": {Target: second, Effect: Idempotent, Value: 1}},
		Plans:   map[string]*Plan{"hard": {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16}},
		// No lease is so long that a customer is forgotten within a benchmark.
		CounterWait: second / 20, MostUnits: 4, LongestLease: 3600 * second, Limiters: benchLimiters,
		ColdFrom: 0.25, WarmWithin: 10 * second, DialTimeout: second / 4,
		MostAttempts: 3, MostAdvice: second, Granularity: second / 500,
	}
}

// benchWorld answers the counter and the servers at once, or leaves requests out.
type benchWorld struct {
	effects
	names  []uint64
	answer bool
}

func (w *benchWorld) Send(string, string)                   {}
func (w *benchWorld) Reject(string, int64, Cause)           {}
func (w *benchWorld) Count(name uint64, _ float64, _ int64) { w.names = append(w.names, name) }

// benchFleet is a limiter before so many servers that has met so many customers once.
func benchFleet(servers, customers int) (*Limiter, *benchWorld, int64) {
	w := &benchWorld{answer: true}
	l := New(0, benchSettings(), 1, w)
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{ID: fmt.Sprintf("server-%d", i), Zone: fmt.Sprintf("zone-%d", i%4), Hint: 1}
	}
	l.Members(0, true, entries)
	now := 100 * second
	for i := range customers {
		w.play(l, now, fmt.Sprintf("first-%d", i), uint64(i))
	}
	w.answer = false
	for i := range benchInUse {
		now += second / 1000
		w.play(l, now, fmt.Sprintf("out-%d", i), uint64(i%max(customers, 1)))
	}
	w.answer = true
	return l, w, now
}

// play takes a request through the counter and, if answer is set, to its end.
func (w *benchWorld) play(l *Limiter, now int64, id string, customer uint64) {
	l.Request(now, Arrival{ID: id, Budget: 3600 * second, Customer: customer, Plan: "hard", Class: "read", Units: 0.01, Spread: 2})
	for len(w.names) > 0 {
		name := w.names[0]
		w.names = w.names[1:]
		l.Counted(now, name, Succeeded, 0.01)
	}
	if w.answer {
		l.Answer(now+second/100, Reply{Request: id, Outcome: Succeeded, Took: second / 100, Final: true})
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l, w, now := benchFleet(servers, 200)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += second / 100
				w.play(l, now, "request", uint64(i%200))
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
	l, _, now := benchFleet(servers, customers)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now++ // time hardly passes, so that nobody is forgotten
		l.Woken(now, 0)
	}
}

// BenchmarkMembers takes in a change of one server, and a new server that goes again.
func BenchmarkMembers(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("change/servers=%d", servers), func(b *testing.B) {
			l, _, now := benchFleet(servers, 1)
			for i := range b.N {
				l.Members(now, false, []Entry{{ID: "server-1", Listing: Listing(i % 2), Hint: 1}})
			}
		})
		b.Run(fmt.Sprintf("new/servers=%d", servers), func(b *testing.B) {
			l, _, now := benchFleet(servers, 1)
			for i := range b.N {
				l.Members(now, false, []Entry{{ID: "new", Listing: []Listing{Ready, Gone}[i%2], Hint: 1}})
				l.Woken(now, 0)
			}
		})
	}
}
