package scenarios

import (
	"fmt"

	"pgregory.net/rapid"

	"ospreycroft/internal/lab/simfleet"
)

// Walk draws a small fleet and a random schedule of faults, from 2.5 s to 14.5 s, and tells in words what it drew. What a
// test plans beside it is played with it. The fleet is played by World.Result, and the rules are what must hold of it.
// Clients stay on their connections through SIGTERM in half of them. The limiters are broken in the ways given.
func Walk(t *rapid.T, broken ...simfleet.Broken) (w *World, told []string) {
	const limiters, servers, end = 5, 6, 11.0
	o := simfleet.Plain(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), limiters, servers)
	o.Mode = rapid.SampledFrom([]simfleet.Mode{simfleet.Pushed, simfleet.Asked}).Draw(t, "mode")
	rate := rapid.SampledFrom([]float64{150, 500}).Draw(t, "rate") // of 900 that the servers can do
	o.Load.Rate, o.Load.Until, o.Load.Stay, o.Broken = rate, seconds(end), rapid.Bool().Draw(t, "stay"), broken
	for i := range o.Load.Customers {
		o.Load.Customers[i].Spread, o.Load.Customers[i].First = 2, i%limiters
	}
	w = &World{Options: o}
	plan := func(at float64, step func(f *simfleet.Fleet)) { _ = w.Plan(seconds(at), step) } // it has a fleet: no error
	plan(0, func(f *simfleet.Fleet) { f.StartAll(second) })
	for i := range rapid.IntRange(1, 8).Draw(t, "faults") {
		at := float64(rapid.IntRange(25, 95).Draw(t, "at")) / 10
		until := at + float64(rapid.IntRange(1, 50).Draw(t, "for"))/10
		n, s := rapid.IntRange(0, limiters-1).Draw(t, "limiter"), rapid.IntRange(0, servers-1).Draw(t, "server")
		server := fmt.Sprintf("s%d", s)
		among := func(m int) bool { return m == n }
		kinds := []string{"drain", "replace", "crash", "vanish", "silent", "slow", "kill", "term", "stop", "quiet", "list", "hup",
			"half-open", "link", "link", "link", "burst"}
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		told = append(told, fmt.Sprintf("%.1f s to %.2f s: %s, limiter %d, %s", at, until, kind, n, server))
		begin, over := func(*simfleet.Fleet) {}, func(*simfleet.Fleet) {}
		switch kind {
		case "drain":
			begin = func(f *simfleet.Fleet) { f.Drain(server) }
		case "replace":
			begin = func(f *simfleet.Fleet) { f.Gone(server); f.Add(server, fmt.Sprintf("n%d", i)) }
		case "crash":
			begin, over = func(f *simfleet.Fleet) { f.Crash(server) }, func(f *simfleet.Fleet) { f.Back(server) }
		case "vanish":
			begin, over = func(f *simfleet.Fleet) { f.Vanish(server) }, func(f *simfleet.Fleet) { f.Back(server) }
		case "silent":
			begin, over = func(f *simfleet.Fleet) { f.Silence(server, true) }, func(f *simfleet.Fleet) { f.Silence(server, false) }
		case "slow":
			begin, over = func(f *simfleet.Fleet) { f.Slow(server, 20) }, func(f *simfleet.Fleet) { f.Slow(server, 0) }
		case "kill":
			begin, over = func(f *simfleet.Fleet) { f.Kill(n) }, func(f *simfleet.Fleet) { f.Start(n) }
		case "term":
			begin = func(f *simfleet.Fleet) { f.Term(n, true) }
		case "stop":
			begin, over = func(f *simfleet.Fleet) { f.Stop(n) }, func(f *simfleet.Fleet) { f.Continue(n) }
		case "quiet":
			begin = func(f *simfleet.Fleet) { f.Quiet(func(int) bool { return true }) }
		case "list":
			begin, over = func(f *simfleet.Fleet) { f.ListDown(true) }, func(f *simfleet.Fleet) { f.ListDown(false) }
		case "hup":
			begin = func(f *simfleet.Fleet) { f.Hup(n, 2+i, 2+i) }
		case "half-open":
			begin = func(f *simfleet.Fleet) { f.HalfOpen(server, n) }
		case "burst":
			begin, over = func(f *simfleet.Fleet) { f.Rate(3 * rate) }, func(f *simfleet.Fleet) { f.Rate(rate) }
		case "link":
			way := simfleet.Way(rapid.IntRange(int(simfleet.Cut), int(simfleet.Late)).Draw(t, "way"))
			far := rapid.SampledFrom([]string{server, "server", "counter", "list"}).Draw(t, "far")
			from, to := "limiter", far
			if rapid.Bool().Draw(t, "back") {
				from, to = far, "limiter"
			}
			told[i] += fmt.Sprintf(": %d %s>%s", way, from, to)
			var rule *simfleet.Rule
			begin = func(f *simfleet.Fleet) { rule = f.Link(way, from, to, among, 100e6, 0.1) }
			over = func(f *simfleet.Fleet) { f.Heal(rule) }
		}
		plan(at, begin)
		plan(until, over)
	}
	return w, told
}
