package scenarios

import (
	"fmt"

	"pgregory.net/rapid"

	"ospreycroft/internal/lab/simfleet"
)

// faultKinds are the kinds of faults that Walk draws from. A link fault is three times as likely as any other kind,
// as it has several kinds of its own.
var faultKinds = []string{"drain", "replace", "crash", "vanish", "silent", "slow", "kill", "term", "stop",
	"quiet", "list", "hup", "half-open", "link", "link", "link", "burst"}

// Walk draws a small fleet and a random schedule of faults between 2.5 s and 14.5 s, and returns a description of
// each fault. World.Result runs the schedule, together with whatever the caller plans in addition, and the rules must
// hold for its result. In half of the draws clients keep their connections open while a limiter shuts down on
// SIGTERM. The limiters get the defects in broken; without any they are sound.
func Walk(t *rapid.T, broken ...simfleet.Broken) (w *World, descriptions []string) {
	const limiters, servers, end = 5, 6, 11.0
	options := simfleet.DefaultOptions(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), limiters, servers)
	options.Mode = rapid.SampledFrom([]simfleet.Mode{simfleet.Pushed, simfleet.Polled}).Draw(t, "mode")
	rate := rapid.SampledFrom([]float64{150, 500}).Draw(t, "rate") // requests a second; the servers' capacity is 900
	options.Load.Rate = rate
	options.Load.Until = nanoseconds(end)
	options.Load.KeepConnections = rapid.Bool().Draw(t, "stay")
	options.Broken = broken
	for i := range options.Load.Customers {
		options.Load.Customers[i].Limiters = 2
		options.Load.Customers[i].First = i % limiters
	}
	w = &World{Options: options}
	// Plan cannot fail here: the fleet is defined.
	plan := func(at float64, step func(f *simfleet.Fleet)) { _ = w.Plan(nanoseconds(at), step) }
	plan(0, func(f *simfleet.Fleet) { f.StartAll(second) })
	for i := range rapid.IntRange(1, 8).Draw(t, "faults") {
		at := float64(rapid.IntRange(25, 95).Draw(t, "at")) / 10
		until := at + float64(rapid.IntRange(1, 50).Draw(t, "for"))/10
		limiter, serverIndex := rapid.IntRange(0, limiters-1).Draw(t, "limiter"),
			rapid.IntRange(0, servers-1).Draw(t, "server")
		server := fmt.Sprintf("s%d", serverIndex)
		isChosen := func(m int) bool { return m == limiter }
		kind := rapid.SampledFrom(faultKinds).Draw(t, "kind")
		descriptions = append(descriptions,
			fmt.Sprintf("%.1f s to %.2f s: %s, limiter %d, %s", at, until, kind, limiter, server))
		inject := func(*simfleet.Fleet) {}
		heal := func(*simfleet.Fleet) {}
		switch kind {
		case "drain":
			inject = func(f *simfleet.Fleet) { f.DrainServer(server) }
		case "replace":
			inject = func(f *simfleet.Fleet) { f.RemoveServer(server); f.AddServer(server, fmt.Sprintf("n%d", i)) }
		case "crash":
			inject = func(f *simfleet.Fleet) { f.CrashServer(server) }
			heal = func(f *simfleet.Fleet) { f.RestartServer(server) }
		case "vanish":
			inject = func(f *simfleet.Fleet) { f.VanishServer(server) }
			heal = func(f *simfleet.Fleet) { f.RestartServer(server) }
		case "silent":
			inject = func(f *simfleet.Fleet) { f.SilenceServer(server, true) }
			heal = func(f *simfleet.Fleet) { f.SilenceServer(server, false) }
		case "slow":
			inject = func(f *simfleet.Fleet) { f.SlowServer(server, 20) }
			heal = func(f *simfleet.Fleet) { f.SlowServer(server, 0) }
		case "kill":
			inject = func(f *simfleet.Fleet) { f.KillLimiter(limiter) }
			heal = func(f *simfleet.Fleet) { f.StartLimiter(limiter) }
		case "term":
			inject = func(f *simfleet.Fleet) { f.TerminateLimiter(limiter, true) }
		case "stop":
			inject = func(f *simfleet.Fleet) { f.PauseLimiter(limiter) }
			heal = func(f *simfleet.Fleet) { f.ResumeLimiter(limiter) }
		case "quiet":
			inject = func(f *simfleet.Fleet) { f.SilenceWatches(func(int) bool { return true }) }
		case "list":
			inject = func(f *simfleet.Fleet) { f.SetDiscoveryDown(true) }
			heal = func(f *simfleet.Fleet) { f.SetDiscoveryDown(false) }
		case "hup":
			inject = func(f *simfleet.Fleet) { f.ReloadLimiter(limiter, 2+i, 2+i) }
		case "half-open":
			inject = func(f *simfleet.Fleet) { f.HalfOpen(server, limiter) }
		case "burst":
			inject = func(f *simfleet.Fleet) { f.SetRequestRate(3 * rate) }
			heal = func(f *simfleet.Fleet) { f.SetRequestRate(rate) }
		case "link":
			fault := simfleet.LinkFault(rapid.IntRange(int(simfleet.LinkCut), int(simfleet.DialDelayed)).Draw(t, "way"))
			remote := rapid.SampledFrom([]string{server, "server", "counter", "list"}).Draw(t, "far")
			from := "limiter"
			to := remote
			if rapid.Bool().Draw(t, "back") {
				from = remote
				to = "limiter"
			}
			descriptions[i] += fmt.Sprintf(": %d %s>%s", fault, from, to)
			var rule *simfleet.LinkRule
			inject = func(f *simfleet.Fleet) { rule = f.AddLinkFault(fault, from, to, isChosen, 100e6, 0.1) }
			heal = func(f *simfleet.Fleet) { f.HealLink(rule) }
		}
		plan(at, inject)
		plan(until, heal)
	}
	return w, descriptions
}
