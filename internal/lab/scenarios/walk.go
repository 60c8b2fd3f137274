package scenarios

import (
	"fmt"

	"pgregory.net/rapid"

	"ospreycroft/internal/lab/simfleet"
)

// faultKinds are what Walk draws from; a link fault is drawn as often as three others.
var faultKinds = []string{"drain", "replace", "crash", "vanish", "silent", "slow", "kill", "term", "stop",
	"quiet", "list", "hup", "half-open", "link", "link", "link", "burst"}

// Walk draws a small fleet and a random schedule of faults, from 2.5 s to 14.5 s, and tells in words what it drew.
// What a test plans beside it is played with it. The fleet is played by World.Result, and the rules are what must hold
// of it. Clients stay on their connections through SIGTERM in half of them. The limiters are broken in the ways given.
func Walk(t *rapid.T, broken ...simfleet.Broken) (w *World, told []string) {
	const limiters, servers, end = 5, 6, 11.0
	o := simfleet.Plain(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), limiters, servers)
	o.Mode = rapid.SampledFrom([]simfleet.Mode{simfleet.Pushed, simfleet.Polled}).Draw(t, "mode")
	rate := rapid.SampledFrom([]float64{150, 500}).Draw(t, "rate") // of 900 that the servers can do
	o.Load.Rate = rate
	o.Load.Until = seconds(end)
	o.Load.KeepConnections = rapid.Bool().Draw(t, "stay")
	o.Broken = broken
	for i := range o.Load.Customers {
		o.Load.Customers[i].Limiters = 2
		o.Load.Customers[i].First = i % limiters
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
		kind := rapid.SampledFrom(faultKinds).Draw(t, "kind")
		told = append(told, fmt.Sprintf("%.1f s to %.2f s: %s, limiter %d, %s", at, until, kind, n, server))
		begin := func(*simfleet.Fleet) {}
		over := func(*simfleet.Fleet) {}
		switch kind {
		case "drain":
			begin = func(f *simfleet.Fleet) { f.DrainServer(server) }
		case "replace":
			begin = func(f *simfleet.Fleet) { f.RemoveServer(server); f.AddServer(server, fmt.Sprintf("n%d", i)) }
		case "crash":
			begin = func(f *simfleet.Fleet) { f.CrashServer(server) }
			over = func(f *simfleet.Fleet) { f.RestartServer(server) }
		case "vanish":
			begin = func(f *simfleet.Fleet) { f.VanishServer(server) }
			over = func(f *simfleet.Fleet) { f.RestartServer(server) }
		case "silent":
			begin = func(f *simfleet.Fleet) { f.SilenceServer(server, true) }
			over = func(f *simfleet.Fleet) { f.SilenceServer(server, false) }
		case "slow":
			begin = func(f *simfleet.Fleet) { f.SlowServer(server, 20) }
			over = func(f *simfleet.Fleet) { f.SlowServer(server, 0) }
		case "kill":
			begin = func(f *simfleet.Fleet) { f.KillLimiter(n) }
			over = func(f *simfleet.Fleet) { f.StartLimiter(n) }
		case "term":
			begin = func(f *simfleet.Fleet) { f.TerminateLimiter(n, true) }
		case "stop":
			begin = func(f *simfleet.Fleet) { f.PauseLimiter(n) }
			over = func(f *simfleet.Fleet) { f.ResumeLimiter(n) }
		case "quiet":
			begin = func(f *simfleet.Fleet) { f.SilenceWatches(func(int) bool { return true }) }
		case "list":
			begin = func(f *simfleet.Fleet) { f.SetDiscoveryDown(true) }
			over = func(f *simfleet.Fleet) { f.SetDiscoveryDown(false) }
		case "hup":
			begin = func(f *simfleet.Fleet) { f.ReloadLimiter(n, 2+i, 2+i) }
		case "half-open":
			begin = func(f *simfleet.Fleet) { f.HalfOpen(server, n) }
		case "burst":
			begin = func(f *simfleet.Fleet) { f.SetRequestRate(3 * rate) }
			over = func(f *simfleet.Fleet) { f.SetRequestRate(rate) }
		case "link":
			way := simfleet.LinkFault(rapid.IntRange(int(simfleet.LinkCut), int(simfleet.DialDelayed)).Draw(t, "way"))
			far := rapid.SampledFrom([]string{server, "server", "counter", "list"}).Draw(t, "far")
			from := "limiter"
			to := far
			if rapid.Bool().Draw(t, "back") {
				from = far
				to = "limiter"
			}
			told[i] += fmt.Sprintf(": %d %s>%s", way, from, to)
			var rule *simfleet.LinkRule
			begin = func(f *simfleet.Fleet) { rule = f.AddLinkFault(way, from, to, among, 100e6, 0.1) }
			over = func(f *simfleet.Fleet) { f.HealLink(rule) }
		}
		plan(at, begin)
		plan(until, over)
	}
	return w, told
}
