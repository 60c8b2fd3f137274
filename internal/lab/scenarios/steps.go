package scenarios

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cucumber/godog"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/simfleet"
)

// Steps gives a scenario the words of this package, and its world.
func Steps(s *godog.ScenarioContext) *World {
	w := &World{}
	s.Given(`^a fleet of (\d+) limiters and (\d+) servers, seed (\d+), whose list is pushed$`,
		func(limiters, servers, seed int) error {
			w.Options = simfleet.Plain(uint64(seed), limiters, servers)
			return nil
		})
	s.Given(`^a fleet of (\d+) limiters and (\d+) servers, seed (\d+), `+
		`whose list is asked for at a service that answers (\d+) calls a second$`,
		func(limiters, servers, seed, budget int) error {
			w.Options = simfleet.Plain(uint64(seed), limiters, servers)
			w.Options.Mode = simfleet.Polled
			w.Options.DiscoveryCallRate = float64(budget)
			return nil
		})
	s.Given(`^operators state that it bears (\d+) calls a second$`, func(calls int) error {
		w.Options.Operator.DiscoveryCallRate = float64(calls)
		return nil
	})
	s.Given(`^a limiter that (.+)$`, w.limiterThat)
	s.Given(`^cold servers fall at ([\d.]+) times what they can do$`, func(times float64) error {
		w.Options.OverloadMultiple = times
		w.Options.OverloadWindow = 1500e6
		return nil
	})
	s.Given(
		`^clients send (\d+) jobs a second from second ([\d.]+) to second ([\d.]+)$`,
		func(rate int, from, until float64) error {
			w.Options.Load.Rate = float64(rate)
			w.Options.Load.From = seconds(from)
			w.Options.Load.Until = seconds(until)
			return nil
		},
	)
	s.Given(`^clients send from second ([\d.]+) to second ([\d.]+)$`, func(from, until float64) error {
		w.Options.Load.From, w.Options.Load.Until = seconds(from), seconds(until)
		return nil
	})
	s.Given(`^clients stay on their connections while a limiter ends$`, func() error {
		w.Options.Load.KeepConnections = true
		return nil
	})
	s.Given(`^(.+) of the servers were replaced since the limiters' lists were written$`, w.replaced)
	w.when(s)
	w.then(s)
	distributionSteps(s, w)
	return w
}

// limiterThat breaks all limiters of the fleet on purpose.
func (w *World) limiterThat(how string) error {
	if !slices.Contains(simfleet.AllBroken, simfleet.Broken(how)) {
		return fmt.Errorf("no limiter %q: one of %q", how, simfleet.AllBroken)
	}
	w.Options.Broken = append(w.Options.Broken, simfleet.Broken(how))
	return nil
}

// replaced lets some servers go and others come, cold, before any limiter starts.
func (w *World) replaced(part string) error {
	of, err := share(part)
	if err != nil {
		return err
	}
	for _, i := range w.some(of, len(w.Options.Servers), 1) {
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

func (w *World) when(s *godog.ScenarioContext) {
	at := func(step func(f *simfleet.Fleet)) func(at float64) error {
		return func(at float64) error { return w.Plan(seconds(at), step) }
	}
	s.When(`^all limiters start together at second ([\d.]+)$`, at(func(f *simfleet.Fleet) { f.StartAll(0) }))
	s.When(`^all limiters start within ([\d.]+) seconds? from second ([\d.]+) on$`, func(over, from float64) error {
		return w.Plan(seconds(from), func(f *simfleet.Fleet) { f.StartAll(seconds(over)) })
	})
	s.When(`^the list service is down from second ([\d.]+) to second ([\d.]+)$`, func(from, until float64) error {
		if err := w.Plan(seconds(until), func(f *simfleet.Fleet) { f.SetDiscoveryDown(false) }); err != nil {
			return err
		}
		return w.Plan(seconds(from), func(f *simfleet.Fleet) { f.SetDiscoveryDown(true) })
	})
	s.When(
		`^the list service is down from second ([\d.]+) on$`,
		at(func(f *simfleet.Fleet) { f.SetDiscoveryDown(true) }),
	)
	s.When(
		`^(.+) of the limiters are killed at second ([\d.]+) and start again ([\d.]+) seconds? later with their old list$`,
		w.killed,
	)
	s.When(`^all open watches fall silent at second ([\d.]+)$`,
		at(func(f *simfleet.Fleet) { f.SilenceWatches(func(int) bool { return true }) }))
	s.When(`^server "([^"]+)" drains at second ([\d.]+)$`, func(name string, at float64) error {
		return w.Plan(seconds(at), func(f *simfleet.Fleet) { f.DrainServer(name) })
	})
	s.When(`^server "([^"]+)" crashes at second ([\d.]+) and is back, cold, ([\d.]+) seconds? later$`,
		func(name string, at, later float64) error {
			if err := w.Plan(seconds(at), func(f *simfleet.Fleet) { f.CrashServer(name) }); err != nil {
				return err
			}
			return w.Plan(seconds(at+later), func(f *simfleet.Fleet) { f.RestartServer(name) })
		})
	s.When(
		`^the limiters are restarted from second ([\d.]+) on, a tenth at a time, every ([\d.]+) seconds?$`,
		w.restarted,
	)
	s.When(
		`^limiter (\d+) is stopped from second ([\d.]+) to second ([\d.]+)$`,
		func(n int, from, until float64) error {
			if err := w.Plan(seconds(from), func(f *simfleet.Fleet) { f.PauseLimiter(n) }); err != nil {
				return err
			}
			return w.Plan(seconds(until), func(f *simfleet.Fleet) { f.ResumeLimiter(n) })
		},
	)
	s.When(`^what (.+) of the limiters send to the counter is lost from second ([\d.]+) to second ([\d.]+)$`,
		func(part string, from, until float64) error {
			return w.cut(part, "limiter", "counter", from, until)
		})
	s.When(`^what the counter answers (.+) of the limiters is lost from second ([\d.]+) to second ([\d.]+)$`,
		func(part string, from, until float64) error {
			return w.cut(part, "counter", "limiter", from, until)
		})
	s.When(`^SIGHUP moves all limiters to list service (\d+) and counter (\d+) at second ([\d.]+)$`,
		func(list, counter int, at float64) error {
			return w.Plan(seconds(at), func(f *simfleet.Fleet) {
				for n := range w.Options.Limiters {
					f.ReloadLimiter(n, list, counter)
				}
			})
		})
}

func (w *World) killed(part string, at, later float64) error {
	of, err := share(part)
	if err != nil {
		return err
	}
	hit := w.some(of, w.Options.Limiters, 2)
	if err := w.Plan(seconds(at), func(f *simfleet.Fleet) {
		for _, n := range hit {
			f.KillLimiter(n)
		}
	}); err != nil {
		return err
	}
	return w.Plan(seconds(at+later), func(f *simfleet.Fleet) {
		for _, n := range hit {
			f.StartLimiter(n)
		}
	})
}

func (w *World) restarted(from, every float64) error {
	for step := range 10 {
		if err := w.Plan(seconds(from+every*float64(step)), func(f *simfleet.Fleet) {
			for n := step; n < w.Options.Limiters; n += 10 {
				f.TerminateLimiter(n, true)
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) cut(part, from, to string, since, until float64) error {
	of, err := share(part)
	if err != nil {
		return err
	}
	hit := w.some(of, w.Options.Limiters, 3)
	var rule *simfleet.LinkRule
	if err := w.Plan(seconds(since), func(f *simfleet.Fleet) {
		rule = f.AddLinkFault(simfleet.LinkCut, from, to, func(n int) bool { return slices.Contains(hit, n) }, 0, 0)
	}); err != nil {
		return err
	}
	return w.Plan(seconds(until), func(f *simfleet.Fleet) { f.HealLink(rule) })
}

func (w *World) then(s *godog.ScenarioContext) {
	check := func(look func(r *simfleet.Result) error) func() error {
		return func() error {
			r, err := w.Result()
			if err != nil {
				return err
			}
			return look(r)
		}
	}
	s.Then(`^no rule is broken$`, check(broken))
	s.Then(`^rule (\d) is broken$`, func(rule int) error {
		r, err := w.Result()
		if err == nil && r.Verdict.Counts[rule] == 0 {
			err = fmt.Errorf("rule %d was kept: %s", rule, r.Verdict.Line())
		}
		return err
	})
	s.Then(`^rule (\d) is kept$`, func(rule int) error {
		r, err := w.Result()
		if err == nil && r.Verdict.Counts[rule] > 0 {
			err = broken(r)
		}
		return err
	})
	s.Then(`^no limiter crashes$`, check(func(r *simfleet.Result) error {
		if len(r.Faults) > 0 {
			return broken(r)
		}
		return nil
	}))
	s.Then(`^limiter (\d+) sends nothing to server "([^"]+)" from second ([\d.]+) on$`, w.sendsNothing)
	s.Then(`^no cold server falls$`, check(func(r *simfleet.Result) error {
		if r.OverloadCrashes > 0 {
			return fmt.Errorf("%d fell", r.OverloadCrashes)
		}
		return nil
	}))
	s.Then(`^a cold server falls$`, check(func(r *simfleet.Result) error {
		if r.OverloadCrashes == 0 {
			return fmt.Errorf("none fell")
		}
		return nil
	}))
	s.Then(
		`^no server takes more than (\d+) new connections in any second from second (\d+) to second (\d+)$`,
		w.handshakes,
	)
	s.Then(`^the list service gets at most (\d+) calls in any second$`, func(most int) error {
		r, err := w.Result()
		if err == nil && slices.Max(append([]int{0}, r.DiscoveryCalls...)) > most {
			err = fmt.Errorf("calls by second: %v", r.DiscoveryCalls)
		}
		return err
	})
	s.Then(`^the list service turns away at most (\d+) calls$`, func(most int) error {
		r, err := w.Result()
		if err == nil && sum(r.ThrottledCalls) > most {
			err = fmt.Errorf("%d, by second: %v of %v", sum(r.ThrottledCalls), r.ThrottledCalls, r.DiscoveryCalls)
		}
		return err
	})
	s.Then(`^the list service turns away more than (\d+) calls$`, func(least int) error {
		r, err := w.Result()
		if err == nil && sum(r.ThrottledCalls) <= least {
			err = fmt.Errorf("%d, by second: %v of %v", sum(r.ThrottledCalls), r.ThrottledCalls, r.DiscoveryCalls)
		}
		return err
	})
	s.Then(
		`^at least (\d+) in 100 of the jobs sent from second ([\d.]+) to second ([\d.]+) are done in their agreed time$`,
		w.served,
	)
	s.Then(`^each limiter has the drain before it counts as told$`, check(func(r *simfleet.Result) error {
		if len(r.Missed) == 0 {
			return fmt.Errorf("no watch had fallen silent")
		}
		for _, m := range r.Missed {
			if m.Delivered >= m.Notified {
				return fmt.Errorf(
					"limiter %d: the drain of %s counted as told at %.3f s, and was handed over at %.3f s",
					m.Limiter,
					m.Server,
					float64(m.Notified)/1e9,
					float64(m.Delivered)/1e9,
				)
			}
		}
		return nil
	}))
	s.Then(`^no limiter is killed for being late to end$`, check(func(r *simfleet.Result) error {
		for _, e := range r.Run.Events {
			if e.Kind == "overdue" {
				return fmt.Errorf("%s had not ended at %.3f s", e.Target, float64(e.At)/1e9)
			}
		}
		return nil
	}))
}

// sendsNothing looks for a limiter's attempts by the server's record.
func (w *World) sendsNothing(n int, server string, from float64) error {
	r, err := w.Result()
	if err != nil {
		return err
	}
	of := map[string]bool{}
	for _, j := range r.Run.Requests {
		of[j.ID] = j.Limiter == n
	}
	for _, s := range r.Run.Attempts {
		if s.Server == server && of[s.ID] && s.At >= seconds(from) {
			return fmt.Errorf("job %s at %.3f s", s.ID, float64(s.At)/1e9)
		}
	}
	return nil
}

func sum(of []int) int {
	all := 0
	for _, n := range of {
		all += n
	}
	return all
}

// handshakes looks at the connections that servers took in whole seconds.
func (w *World) handshakes(most, from, until int) error {
	r, err := w.Result()
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.Handshakes)) {
		for second, n := range r.Handshakes[name] {
			if second >= from && second < until && n > most {
				return fmt.Errorf("%s took %d in second %d: %v", name, n, second, r.Handshakes[name])
			}
		}
	}
	return nil
}

// served looks at what became of the requests of a time, by the clients' records.
func (w *World) served(least int, from, until float64) error {
	r, err := w.Result()
	if err != nil {
		return err
	}
	all := 0
	done := 0
	for _, j := range r.Run.Requests {
		if j.Sent >= seconds(from) && j.Sent < seconds(until) {
			all++
			if j.Outcome == history.Succeeded && j.Answered-j.Sent <= w.fleet.LatencyObjective(j.Class) {
				done++
			}
		}
	}
	if all == 0 || done*100 < least*all {
		return fmt.Errorf("%d of %d: %s", done, all, r.Verdict.Line())
	}
	return nil
}
