package scenarios

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cucumber/godog"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/simfleet"
)

// Steps registers all steps of this package for a scenario and returns the scenario's World.
func Steps(s *godog.ScenarioContext) *World {
	w := &World{}
	s.Given(`^a fleet of (\d+) limiters and (\d+) servers, seed (\d+), whose list is pushed$`,
		func(limiters, servers, seed int) error {
			w.Options = simfleet.DefaultOptions(uint64(seed), limiters, servers)
			return nil
		})
	s.Given(`^a fleet of (\d+) limiters and (\d+) servers, seed (\d+), `+
		`whose list is polled from a service that answers (\d+) calls a second$`,
		func(limiters, servers, seed, budget int) error {
			w.Options = simfleet.DefaultOptions(uint64(seed), limiters, servers)
			w.Options.Mode = simfleet.Polled
			w.Options.DiscoveryCallRate = float64(budget)
			return nil
		})
	s.Given(`^operators state that the list service can answer (\d+) calls a second$`, func(calls int) error {
		w.Options.Operator.DiscoveryCallRate = float64(calls)
		return nil
	})
	s.Given(`^a limiter that (.+)$`, w.breakLimiters)
	s.Given(`^cold servers crash at ([\d.]+) times their capacity$`, func(times float64) error {
		w.Options.OverloadMultiple = times
		w.Options.OverloadWindow = 1500e6
		return nil
	})
	s.Given(
		`^clients send (\d+) requests a second from second ([\d.]+) to second ([\d.]+)$`,
		func(rate int, from, until float64) error {
			w.Options.Load.Rate = float64(rate)
			w.Options.Load.From = nanoseconds(from)
			w.Options.Load.Until = nanoseconds(until)
			return nil
		},
	)
	s.Given(`^clients send from second ([\d.]+) to second ([\d.]+)$`, func(from, until float64) error {
		w.Options.Load.From, w.Options.Load.Until = nanoseconds(from), nanoseconds(until)
		return nil
	})
	s.Given(`^clients keep their connections open while a limiter shuts down$`, func() error {
		w.Options.Load.KeepConnections = true
		return nil
	})
	s.Given(`^(.+) of the servers were replaced since the limiters' lists were written$`, w.replaceServers)
	w.registerWhenSteps(s)
	w.registerThenSteps(s)
	registerDistributionSteps(s, w)
	return w
}

// breakLimiters injects a defect, one of simfleet.AllBroken, into all limiters of the fleet.
func (w *World) breakLimiters(how string) error {
	if !slices.Contains(simfleet.AllBroken, simfleet.Broken(how)) {
		return fmt.Errorf("unknown limiter fault %q; want one of %q", how, simfleet.AllBroken)
	}
	w.Options.Broken = append(w.Options.Broken, simfleet.Broken(how))
	return nil
}

// replaceServers plans the replacement of some servers by cold ones before any limiter starts.
func (w *World) replaceServers(part string) error {
	fraction, err := parseFraction(part)
	if err != nil {
		return err
	}
	for _, i := range w.chooseSome(fraction, len(w.Options.Servers), 1) {
		name := w.Options.Servers[i].Name
		if err := w.Plan(0, func(f *simfleet.Fleet) {
			f.AddServer(name, name+"-new")
			f.RemoveServer(name)
		}); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) registerWhenSteps(s *godog.ScenarioContext) {
	at := func(step func(f *simfleet.Fleet)) func(at float64) error {
		return func(at float64) error { return w.Plan(nanoseconds(at), step) }
	}
	s.When(`^all limiters start together at second ([\d.]+)$`, at(func(f *simfleet.Fleet) { f.StartAll(0) }))
	s.When(`^all limiters start within ([\d.]+) seconds? from second ([\d.]+) on$`, func(window, from float64) error {
		return w.Plan(nanoseconds(from), func(f *simfleet.Fleet) { f.StartAll(nanoseconds(window)) })
	})
	s.When(`^the list service is down from second ([\d.]+) to second ([\d.]+)$`, func(from, until float64) error {
		if err := w.Plan(nanoseconds(until), func(f *simfleet.Fleet) { f.SetDiscoveryDown(false) }); err != nil {
			return err
		}
		return w.Plan(nanoseconds(from), func(f *simfleet.Fleet) { f.SetDiscoveryDown(true) })
	})
	s.When(
		`^the list service is down from second ([\d.]+) on$`,
		at(func(f *simfleet.Fleet) { f.SetDiscoveryDown(true) }),
	)
	s.When(
		`^(.+) of the limiters are killed at second ([\d.]+) and start again ([\d.]+) seconds? later with their old list$`,
		w.planRestarts,
	)
	s.When(`^all open watches fall silent at second ([\d.]+)$`,
		at(func(f *simfleet.Fleet) { f.SilenceWatches(func(int) bool { return true }) }))
	s.When(`^server "([^"]+)" drains at second ([\d.]+)$`, func(name string, at float64) error {
		return w.Plan(nanoseconds(at), func(f *simfleet.Fleet) { f.DrainServer(name) })
	})
	s.When(`^server "([^"]+)" crashes at second ([\d.]+) and is back, cold, ([\d.]+) seconds? later$`,
		func(name string, at, later float64) error {
			if err := w.Plan(nanoseconds(at), func(f *simfleet.Fleet) { f.CrashServer(name) }); err != nil {
				return err
			}
			return w.Plan(nanoseconds(at+later), func(f *simfleet.Fleet) { f.RestartServer(name) })
		})
	s.When(
		`^the limiters are restarted from second ([\d.]+) on, a tenth at a time, every ([\d.]+) seconds?$`,
		w.planRollingRestart,
	)
	s.When(
		`^limiter (\d+) is stopped from second ([\d.]+) to second ([\d.]+)$`,
		func(n int, from, until float64) error {
			if err := w.Plan(nanoseconds(from), func(f *simfleet.Fleet) { f.PauseLimiter(n) }); err != nil {
				return err
			}
			return w.Plan(nanoseconds(until), func(f *simfleet.Fleet) { f.ResumeLimiter(n) })
		},
	)
	s.When(`^what (.+) of the limiters send to the counter is lost from second ([\d.]+) to second ([\d.]+)$`,
		func(part string, from, until float64) error {
			return w.planLinkCut(part, "limiter", "counter", from, until)
		})
	s.When(`^what the counter answers (.+) of the limiters is lost from second ([\d.]+) to second ([\d.]+)$`,
		func(part string, from, until float64) error {
			return w.planLinkCut(part, "counter", "limiter", from, until)
		})
	s.When(`^SIGHUP moves all limiters to list service (\d+) and counter (\d+) at second ([\d.]+)$`,
		func(list, counter int, at float64) error {
			return w.Plan(nanoseconds(at), func(f *simfleet.Fleet) {
				for n := range w.Options.Limiters {
					f.ReloadLimiter(n, list, counter)
				}
			})
		})
}

// planRestarts plans to kill some limiters and to start them again.
func (w *World) planRestarts(part string, at, later float64) error {
	fraction, err := parseFraction(part)
	if err != nil {
		return err
	}
	chosen := w.chooseSome(fraction, w.Options.Limiters, 2)
	if err := w.Plan(nanoseconds(at), func(f *simfleet.Fleet) {
		for _, n := range chosen {
			f.KillLimiter(n)
		}
	}); err != nil {
		return err
	}
	return w.Plan(nanoseconds(at+later), func(f *simfleet.Fleet) {
		for _, n := range chosen {
			f.StartLimiter(n)
		}
	})
}

// planRollingRestart plans a restart of all limiters by SIGTERM, a tenth of them every so many seconds.
func (w *World) planRollingRestart(from, every float64) error {
	for step := range 10 {
		if err := w.Plan(nanoseconds(from+every*float64(step)), func(f *simfleet.Fleet) {
			for n := step; n < w.Options.Limiters; n += 10 {
				f.TerminateLimiter(n, true)
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

// planLinkCut plans the loss of all messages in one direction of the links of some limiters.
func (w *World) planLinkCut(part, from, to string, since, until float64) error {
	fraction, err := parseFraction(part)
	if err != nil {
		return err
	}
	chosen := w.chooseSome(fraction, w.Options.Limiters, 3)
	var rule *simfleet.LinkRule
	if err := w.Plan(nanoseconds(since), func(f *simfleet.Fleet) {
		rule = f.AddLinkFault(simfleet.LinkCut, from, to, func(n int) bool { return slices.Contains(chosen, n) }, 0, 0)
	}); err != nil {
		return err
	}
	return w.Plan(nanoseconds(until), func(f *simfleet.Fleet) { f.HealLink(rule) })
}

func (w *World) registerThenSteps(s *godog.ScenarioContext) {
	check := func(verify func(r *simfleet.Result) error) func() error {
		return func() error {
			r, err := w.Result()
			if err != nil {
				return err
			}
			return verify(r)
		}
	}
	s.Then(`^no rule is broken$`, check(ruleBreaches))
	s.Then(`^rule (\d) is broken$`, func(rule int) error {
		r, err := w.Result()
		if err == nil && r.Verdict.Counts[rule] == 0 {
			err = fmt.Errorf("rule %d was not broken: %s", rule, r.Verdict.Line())
		}
		return err
	})
	s.Then(`^rule (\d) is kept$`, func(rule int) error {
		r, err := w.Result()
		if err == nil && r.Verdict.Counts[rule] > 0 {
			err = ruleBreaches(r)
		}
		return err
	})
	s.Then(`^no limiter crashes$`, check(func(r *simfleet.Result) error {
		if len(r.Faults) > 0 {
			return ruleBreaches(r)
		}
		return nil
	}))
	s.Then(`^limiter (\d+) sends nothing to server "([^"]+)" from second ([\d.]+) on$`, w.checkSendsNothing)
	s.Then(`^no cold server crashes from overload$`, check(func(r *simfleet.Result) error {
		if r.OverloadCrashes > 0 {
			return fmt.Errorf("%d cold servers crashed", r.OverloadCrashes)
		}
		return nil
	}))
	s.Then(`^a cold server crashes from overload$`, check(func(r *simfleet.Result) error {
		if r.OverloadCrashes == 0 {
			return fmt.Errorf("no cold server crashed")
		}
		return nil
	}))
	s.Then(
		`^no server takes more than (\d+) new connections in any second from second (\d+) to second (\d+)$`,
		w.checkHandshakes,
	)
	s.Then(`^the list service gets at most (\d+) calls in any second$`, func(most int) error {
		r, err := w.Result()
		if err == nil && slices.Max(append([]int{0}, r.DiscoveryCalls...)) > most {
			err = fmt.Errorf("calls by second: %v", r.DiscoveryCalls)
		}
		return err
	})
	s.Then(`^the list service rejects at most (\d+) calls$`, func(most int) error {
		r, err := w.Result()
		if err == nil && sum(r.ThrottledCalls) > most {
			err = fmt.Errorf("%d rejected; by second: %v of %v", sum(r.ThrottledCalls), r.ThrottledCalls, r.DiscoveryCalls)
		}
		return err
	})
	s.Then(`^the list service rejects more than (\d+) calls$`, func(least int) error {
		r, err := w.Result()
		if err == nil && sum(r.ThrottledCalls) <= least {
			err = fmt.Errorf("%d rejected; by second: %v of %v", sum(r.ThrottledCalls), r.ThrottledCalls, r.DiscoveryCalls)
		}
		return err
	})
	s.Then(
		`^at least (\d+) in 100 of the requests sent from second ([\d.]+) to second ([\d.]+) meet their latency objective$`,
		w.checkServed,
	)
	s.Then(`^each limiter receives the drain before it counts as notified$`, check(func(r *simfleet.Result) error {
		if len(r.Missed) == 0 {
			return fmt.Errorf("no silent watch missed a change")
		}
		for _, m := range r.Missed {
			if m.Delivered >= m.Notified {
				return fmt.Errorf(
					"limiter %d: counted as notified of the drain of %s at %.3f s, but received it at %.3f s",
					m.Limiter,
					m.Server,
					float64(m.Notified)/1e9,
					float64(m.Delivered)/1e9,
				)
			}
		}
		return nil
	}))
	s.Then(`^no limiter is killed for exceeding its shutdown time$`, check(func(r *simfleet.Result) error {
		for _, e := range r.Run.Events {
			if e.Kind == "overdue" {
				return fmt.Errorf("%s had not exited by %.3f s", e.Target, float64(e.At)/1e9)
			}
		}
		return nil
	}))
}

// checkSendsNothing returns an error if a limiter sent an attempt to a server from the given second on, by the
// server's record.
func (w *World) checkSendsNothing(limiter int, server string, from float64) error {
	r, err := w.Result()
	if err != nil {
		return err
	}
	fromLimiter := map[string]bool{}
	for _, request := range r.Run.Requests {
		fromLimiter[request.ID] = request.Limiter == limiter
	}
	for _, attempt := range r.Run.Attempts {
		if attempt.Server == server && fromLimiter[attempt.ID] && attempt.At >= nanoseconds(from) {
			return fmt.Errorf("request %s arrived at %.3f s", attempt.ID, float64(attempt.At)/1e9)
		}
	}
	return nil
}

func sum(values []int) int {
	total := 0
	for _, n := range values {
		total += n
	}
	return total
}

// checkHandshakes returns an error if a server accepted more than limit connections in any whole second in [from,
// until).
func (w *World) checkHandshakes(limit, from, until int) error {
	r, err := w.Result()
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.Handshakes)) {
		for second, n := range r.Handshakes[name] {
			if second >= from && second < until && n > limit {
				return fmt.Errorf("%s accepted %d connections in second %d; by second: %v", name, n, second, r.Handshakes[name])
			}
		}
	}
	return nil
}

// checkServed returns an error if less than the given percentage of the requests sent in [from, until), in seconds,
// succeeded within their latency objective, by the clients' records, or if none was sent.
func (w *World) checkServed(percent int, from, until float64) error {
	r, err := w.Result()
	if err != nil {
		return err
	}
	total := 0
	served := 0
	for _, request := range r.Run.Requests {
		if request.Sent >= nanoseconds(from) && request.Sent < nanoseconds(until) {
			total++
			if request.Outcome == history.Succeeded &&
				request.Answered-request.Sent <= w.fleet.LatencyObjective(request.Class) {
				served++
			}
		}
	}
	if total == 0 || served*100 < percent*total {
		return fmt.Errorf("%d of %d requests served within their latency objective: %s", served, total, r.Verdict.Line())
	}
	return nil
}
