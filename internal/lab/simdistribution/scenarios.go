package simdistribution

import (
	"fmt"
	"slices"

	"ospreycroft/internal/distribution"
)

// Report is what a scenario came to. Times are in nanoseconds, from publication (or from the heal or the start, where
// the scenario says so) until a version was in force at a limiter.
type Report struct {
	Scenario string
	Changes  int // that were published and are counted here
	Limiters int // that are counted for each change
	P50      int64
	P99      int64
	Max      int64
	// Late is how many pairs of limiter and change were not in force after Deadline, Never how many at the end of the
	// run.
	Late, Never int
	// BytesPerSecond is what a limiter took and sent on average over the run, heads and acknowledgements with it.
	BytesPerSecond float64
	// CallsPerSecond is how many calls all limiters made, SummariesPerSecond how many messages the source read.
	CallsPerSecond, SummariesPerSecond float64
}

// Deadline is what Report.Late counts from.
const Deadline = 18 * second

// String gives the word for log lines.
func (r Report) String() string {
	return fmt.Sprintf(
		"%-38s changes %2d limiters %3d  p50 %7.3f s  p99 %7.3f s  max %7.3f s  late at 18 s %3d  never %3d  %6.0f B/s a limiter  "+
			"%5.1f calls/s  %4.1f summaries/s",
		r.Scenario,
		r.Changes,
		r.Limiters,
		seconds(r.P50),
		seconds(r.P99),
		seconds(r.Max),
		r.Late,
		r.Never,
		r.BytesPerSecond,
		r.CallsPerSecond,
		r.SummariesPerSecond,
	)
}

func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / float64(second) }

// Scenario is something that happens to a fleet.
type Scenario struct {
	Name string
	Cold bool
	// Play runs the fleet and returns the versions that count, the time that their delays count from (0 for the time of
	// each publication), and the limiters that count (nil for all).
	Play func(f *Fleet) (outcome, error)
}

type outcome struct {
	versions  []distribution.Version
	countFrom int64
	includes  func(*node) bool
}

const settleTime = 30 * second // a fleet runs for so long before something happens

// publishAndWait publishes a change and lets a minute pass.
func publishAndWait(f *Fleet) (outcome, error) {
	version, err := f.Publish()
	f.Run(60 * second)
	return outcome{versions: []distribution.Version{version}}, err
}

// publishAfter settles, disturbs, waits and publishes a change.
func publishAfter(disturb func(*Fleet) error, delay int64) func(*Fleet) (outcome, error) {
	return func(f *Fleet) (outcome, error) {
		f.Run(settleTime + int64(f.rng.Float64()*float64(5*second)))
		if err := disturb(f); err != nil {
			return outcome{}, err
		}
		f.Run(delay)
		return publishAndWait(f)
	}
}

// Scenarios are all of them.
func Scenarios() []Scenario {
	calm := func(*Fleet) error { return nil }
	killed := func(f *Fleet) error { f.KillRelay(2); return nil }
	stalled := func(f *Fleet) error { f.StallRelay(2); return nil }
	return []Scenario{
		{Name: "calm", Play: publishAfter(calm, 0)},
		{Name: "relay killed as it is published", Play: publishAfter(killed, 0)},
		{Name: "relay killed 2 s before", Play: publishAfter(killed, 2*second)},
		{Name: "relay stalled as it is published", Play: publishAfter(stalled, 0)},
		{Name: "relay stalled 2 s before", Play: publishAfter(stalled, 2*second)},
		{Name: "zone cut (those outside it)", Play: zoneCut(false)},
		{Name: "zone cut (those inside it)", Play: zoneCut(true)},
		{Name: "region cut 60 s, from the heal", Play: regionCut},
		{
			Name: "tenth restarting from disk",
			Play: publishAfter(func(f *Fleet) error { return f.RestartLimiters(10, true) }, 0),
		},
		{
			Name: "tenth restarting without disk",
			Play: publishAfter(func(f *Fleet) error { return f.RestartLimiters(10, false) }, 0),
		},
		{Name: "all and relays started cold", Cold: true, Play: coldStart},
		{Name: "40 changes in a minute", Play: fortyChanges},
	}
}

func zoneCut(inside bool) func(*Fleet) (outcome, error) {
	return func(f *Fleet) (outcome, error) {
		result, err := publishAfter(func(f *Fleet) error { f.IsolateZone(3); return nil }, 0)(f)
		result.includes = func(n *node) bool { return (n.zone == 3) == inside }
		return result, err
	}
}

func regionCut(f *Fleet) (outcome, error) {
	f.Run(settleTime)
	f.IsolateRegion(1)
	var versions []distribution.Version
	for range 10 {
		f.Run(6 * second)
		version, err := f.Publish()
		if err != nil {
			return outcome{}, err
		}
		versions = append(versions, version)
	}
	f.IsolateRegion(-1)
	healed := f.queue.now
	f.Run(60 * second)
	return outcome{versions: versions, countFrom: healed, includes: func(n *node) bool { return n.region == 1 }}, nil
}

func coldStart(f *Fleet) (outcome, error) {
	head := f.source.Head()
	f.published[head] = 0
	f.Run(60 * second)
	return outcome{versions: []distribution.Version{head}}, nil
}

func fortyChanges(f *Fleet) (outcome, error) {
	f.Run(settleTime)
	var result outcome
	for range 40 {
		version, err := f.Publish()
		if err != nil {
			return result, err
		}
		result.versions = append(result.versions, version)
		f.Run(60 * second / 40)
	}
	f.Run(20 * second)
	return result, nil
}

// Run plays a scenario in a fleet of its own.
func Run(options Options, s Scenario) (Report, error) {
	options.Cold = s.Cold
	f, err := New(options)
	if err != nil {
		return Report{}, err
	}
	result, err := s.Play(f)
	if err != nil {
		return Report{}, err
	}
	return f.report(s.Name, result), nil
}

// report sums up what happened.
func (f *Fleet) report(name string, result outcome) Report {
	r := Report{Scenario: name, Changes: len(result.versions)}
	var delays []int64
	bytes := int64(0)
	for _, n := range f.limiters {
		bytes += n.bytes
		if result.includes != nil && !result.includes(n) {
			continue
		}
		r.Limiters++
		for _, version := range result.versions {
			from := max(result.countFrom, f.published[version])
			at, reached := n.inForceAt[version]
			switch {
			case !reached:
				r.Late++
				r.Never++
				continue
			case at-from > Deadline:
				r.Late++
			}
			delays = append(delays, max(at-from, 0))
		}
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		r.P50 = delays[len(delays)/2]
		r.P99 = delays[len(delays)*99/100]
		r.Max = delays[len(delays)-1]
	}
	duration := seconds(f.queue.now)
	r.BytesPerSecond = float64(bytes) / float64(len(f.limiters)) / duration
	r.CallsPerSecond = float64(f.calls) / duration
	r.SummariesPerSecond = float64(f.summaries) / duration
	return r
}
