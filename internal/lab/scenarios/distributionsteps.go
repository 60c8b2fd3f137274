package scenarios

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cucumber/godog"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/simfleet"
)

const (
	// distributionStart is when the source, the relays and the subscribers start, in nanoseconds: after the limiters'
	// processes, which distribution scenarios start at 0.
	distributionStart = millisecond
	// deadlineSeconds is how long after its publication a change has to be in force at a reachable limiter.
	deadlineSeconds = 18
	// deadlineMarginSeconds is how long a scenario runs past the last deadline.
	deadlineMarginSeconds = 0.5
	// invalidPort is above the highest TCP port, 65535. The simulated fleet would accept it, so that only the applier's
	// validation keeps limiters from moving to it.
	invalidPort = 70000
)

var errNoDistribution = errors.New(`no configuration source; first say "given a source of configuration ..."`)

// distributionScenario is the configuration distribution of one scenario.
type distributionScenario struct {
	world           *World
	coldStart       bool
	fault           subscriberFault
	planned         bool
	network         *network
	newestDiscovery int   // the number of the newest discovery service
	firstErr        error // the first error of a planned step during the run
}

// registerDistributionSteps registers the steps of the configuration distribution.
func registerDistributionSteps(s *godog.ScenarioContext, w *World) {
	d := &distributionScenario{world: w, newestDiscovery: 1}
	s.Given(`^a source of configuration, and (\d+) regions of (\d+) zones with a relay each$`, d.planNetwork)
	s.Given(`^no subscriber has a saved state$`, func() error {
		d.coldStart = true
		return nil
	})
	s.Given(`^a subscriber that (.+)$`, func(how string) (err error) {
		d.fault, err = parseSubscriberFault(how)
		return err
	})
	d.registerWhenSteps(s)
	d.registerThenSteps(s)
}

// planNetwork plans the start of the distribution.
func (d *distributionScenario) planNetwork(regions, zones int) error {
	d.planned = true
	return d.world.Plan(distributionStart, func(f *simfleet.Fleet) {
		shape := topology{regions, zones}
		d.network, d.firstErr = newNetwork(f, d.world.Options, shape, d.coldStart, d.fault)
	})
}

// plan plans a step at the given second and extends the run until a change published at that second has to be in
// force. Once a step has failed, the later ones are skipped.
func (d *distributionScenario) plan(at float64, step func(n *network) error) error {
	if !d.planned {
		return errNoDistribution
	}
	if err := d.world.Plan(nanoseconds(at+deadlineSeconds+deadlineMarginSeconds), func(*simfleet.Fleet) {}); err != nil {
		return err
	}
	return d.world.Plan(nanoseconds(at), func(*simfleet.Fleet) {
		if d.firstErr == nil {
			d.firstErr = step(d.network)
		}
	})
}

func (d *distributionScenario) registerWhenSteps(s *godog.ScenarioContext) {
	s.When(`^relay (\d+) is killed at second ([\d.]+)$`, func(relay int, at float64) error {
		return d.plan(at, func(n *network) error { n.killRelay(relay); return nil })
	})
	s.When(`^relay (\d+) is stalled at second ([\d.]+)$`, func(relay int, at float64) error {
		return d.plan(at, func(n *network) error { n.stallRelay(relay); return nil })
	})
	s.When(`^the limiters of zone (\d+) are cut off from all relays from second ([\d.]+) to second ([\d.]+)$`,
		func(zone int, from, until float64) error {
			return d.planPartition(from, until, func(_ *network, a, b *peer) bool {
				return a.limiter >= 0 && a.zone == zone || b.limiter >= 0 && b.zone == zone
			})
		})
	s.When(
		`^region (\d+) is cut off from second ([\d.]+) to second ([\d.]+)$`,
		func(region int, from, until float64) error {
			return d.planPartition(
				from,
				until,
				func(_ *network, a, b *peer) bool { return (a.region == region) != (b.region == region) },
			)
		},
	)
	s.When(`^relay (\d+) is cut off from the source from second ([\d.]+) to second ([\d.]+)$`,
		func(relay int, from, until float64) error {
			return d.planPartition(from, until, func(n *network, a, b *peer) bool {
				return a == n.relays[relay] && b == n.sourcePeer || a == n.sourcePeer && b == n.relays[relay]
			})
		})
	s.When(`^(.+) of the limiters are killed at second ([\d.]+) and start again ([\d.]+) seconds? later `+
		`from the configuration that they saved$`, d.planRestarts)
	s.When(`^discovery's address changes at second ([\d.]+)$`, func(at float64) error {
		return d.plan(at, d.publishMove(firstEpoch))
	})
	s.When(`^discovery's address changes (\d+) times from second ([\d.]+) to second ([\d.]+)$`, d.publishRepeatedly)
	s.When(`^an invalid address is published at second ([\d.]+)$`, func(at float64) error {
		return d.plan(at, func(n *network) error {
			change, err := n.publish(firstEpoch, setDiscovery(discoveryAddress(invalidPort)))
			n.record.invalidVersion = change.Version
			return err
		})
	})
	s.When(`^a second writer takes over and changes discovery's address at second ([\d.]+)$`, func(at float64) error {
		return d.plan(at, func(n *network) error {
			if _, err := n.source.Open(n.now(), firstEpoch+1); err != nil {
				return err
			}
			return d.publishMove(firstEpoch + 1)(n)
		})
	})
	s.When(`^the first writer changes discovery's address at second ([\d.]+)$`, func(at float64) error {
		return d.plan(at, func(n *network) error {
			_, n.record.firstWriterErr = n.publish(firstEpoch, setDiscovery(discoveryAddress(d.newestDiscovery+1)))
			return nil
		})
	})
}

// publishMove returns a step that publishes the address of a discovery service that no limiter has used yet.
func (d *distributionScenario) publishMove(epoch uint64) func(n *network) error {
	return func(n *network) error {
		d.newestDiscovery++
		if _, err := n.publish(epoch, setDiscovery(discoveryAddress(d.newestDiscovery))); err != nil {
			return err
		}
		n.record.publications = append(n.record.publications, publication{n.now(), d.newestDiscovery})
		return nil
	}
}

// publishRepeatedly plans changes of the discovery address at equal distances of time.
func (d *distributionScenario) publishRepeatedly(times int, from, until float64) error {
	for i := range times {
		at := from + (until-from)*float64(i)/float64(times)
		if err := d.plan(at, d.publishMove(firstEpoch)); err != nil {
			return err
		}
	}
	return nil
}

// planPartition plans a partition between the peers for which between returns true. A scenario can have only one
// partition at a time.
func (d *distributionScenario) planPartition(from, until float64, between func(n *network, a, b *peer) bool) error {
	if err := d.plan(from, func(n *network) error {
		n.setPartition(func(a, b *peer) bool { return between(n, a, b) })
		return nil
	}); err != nil {
		return err
	}
	return d.plan(until, func(n *network) error { n.setPartition(nil); return nil })
}

// planRestarts plans to kill some limiters and to restart them with the state that their subscribers had in force.
func (d *distributionScenario) planRestarts(part string, at, later float64) error {
	fraction, err := parseFraction(part)
	if err != nil {
		return err
	}
	chosen := d.world.chooseSome(fraction, d.world.Options.Limiters, 4)
	saved := map[int]*distribution.Snapshot{}
	if err := d.plan(at, func(n *network) error {
		for _, i := range chosen {
			saved[i] = n.killLimiter(i)
		}
		return nil
	}); err != nil {
		return err
	}
	return d.plan(at+later, func(n *network) error {
		for _, i := range chosen {
			if err := n.restartLimiter(i, saved[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *distributionScenario) registerThenSteps(s *godog.ScenarioContext) {
	check := func(verify func(r *simfleet.Result, record *distributionRecord) error) func() error {
		return func() error {
			result, err := d.world.Result()
			switch {
			case err != nil:
				return err
			case d.firstErr != nil:
				return d.firstErr
			case d.network == nil:
				return errNoDistribution
			}
			return verify(result, &d.network.record)
		}
	}
	s.Then(`^the change is in force within 18 seconds at every limiter that can be reached$`,
		check(func(r *simfleet.Result, record *distributionRecord) error {
			return record.checkInForce(r, deadlineSeconds*second)
		}))
	s.Then(`^the change is not in force in time at a limiter that can be reached$`,
		check(func(r *simfleet.Result, record *distributionRecord) error {
			return expectFailure(record.checkInForce(r, deadlineSeconds*second), "it was in force everywhere in time")
		}))
	s.Then(`^no limiter went back to an older version$`,
		check(func(r *simfleet.Result, record *distributionRecord) error { return record.checkNoRegression(r) }))
	s.Then(`^a limiter went back to an older version$`,
		check(func(r *simfleet.Result, record *distributionRecord) error {
			return expectFailure(record.checkNoRegression(r), "no limiter went back to an older version")
		}))
	s.Then(`^all requests have one answer$`, check(allAnswered))
	s.Then(`^each limiter that started again began unconfirmed$`, check(beganUnconfirmed))
	s.Then(`^each limiter refused the invalid address$`, check(allRefused))
	s.Then(`^the first writer is rejected$`, check(func(_ *simfleet.Result, record *distributionRecord) error {
		var fenced *distribution.FencedError
		if !errors.As(record.firstWriterErr, &fenced) {
			return fmt.Errorf("the first writer's publication was not fenced: %w", record.firstWriterErr)
		}
		return nil
	}))
}

// expectFailure returns an error with the given message if a check passed, that is if err is nil.
func expectFailure(err error, message string) error {
	if err == nil {
		return errors.New(message)
	}
	return nil
}

func allAnswered(r *simfleet.Result, _ *distributionRecord) error {
	if len(r.Run.Requests) == 0 {
		return errors.New("no request was sent")
	}
	if r.Verdict.Counts[1] > 0 {
		return ruleBreaches(r)
	}
	return nil
}

func beganUnconfirmed(_ *simfleet.Result, record *distributionRecord) error {
	if len(record.restarted) == 0 {
		return errors.New("no limiter was restarted")
	}
	for _, restart := range record.restarted {
		if restart.condition != distribution.Unconfirmed {
			return fmt.Errorf("limiter %d began as %s after its restart", restart.limiter, restart.condition)
		}
	}
	return nil
}

func allRefused(_ *simfleet.Result, record *distributionRecord) error {
	for limiter, versions := range record.refused {
		if !slices.Contains(versions, record.invalidVersion) {
			return fmt.Errorf("limiter %d did not refuse version %v", limiter, record.invalidVersion)
		}
	}
	return nil
}
