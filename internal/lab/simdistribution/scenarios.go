package simdistribution

import (
	"fmt"
	"slices"

	"ospreycroft/internal/distribution"
)

// Report is the result of a scenario. P50, P99 and Max are in nanoseconds, from a change's publication (or from the
// end of the partition or the start of the fleet, in scenarios that say so) until it was in force at a limiter.
type Report struct {
	Scenario string
	Changes  int // published changes that the report covers
	Limiters int // limiters that the report covers for each change
	P50      int64
	P99      int64
	Max      int64
	// Late is the number of pairs of limiter and change for which the change was not in force by Deadline; Never is the
	// number of those for which it was not in force at the end of the run.
	Late, Never int
	// BytesPerSecond is the average traffic of a limiter over the run, sent and received, with headers and
	// acknowledgements.
	BytesPerSecond float64
	// CallsPerSecond is the rate of calls of all limiters together, SummariesPerSecond that of summaries sent to the
	// source.
	CallsPerSecond, SummariesPerSecond float64
}

// Deadline is the delay in nanoseconds after which Report.Late counts a change as late.
const Deadline = 18 * second

// String returns the report as one line for logs.
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

// seconds converts nanoseconds to seconds.
func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / float64(second) }

// Scenario is a sequence of faults and publications on a fleet.
type Scenario struct {
	Name string
	Cold bool // replaces Options.Cold
	// Play runs the scenario on a fleet and returns what the report covers.
	Play func(f *Fleet) (outcome, error)
}

// outcome is what a scenario's report covers.
type outcome struct {
	versions  []distribution.Version
	countFrom int64            // delays start at this time or at the publication, whichever is later
	includes  func(*node) bool // selects limiters; nil for all
}

const settleTime = 30 * second // how long a fleet runs before the first fault or publication

// publishAndWait publishes a change and runs the fleet for a minute.
func publishAndWait(f *Fleet) (outcome, error) {
	version, err := f.Publish()
	f.Run(60 * second)
	return outcome{versions: []distribution.Version{version}}, err
}

// publishAfter returns a scenario that runs the fleet for settleTime and up to 5 s more, calls disturb and, after
// delay, publishes a change.
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

// Scenarios returns all scenarios.
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

// zoneCut isolates a zone and publishes a change. Its report covers the limiters inside the zone or those outside it.
func zoneCut(inside bool) func(*Fleet) (outcome, error) {
	return func(f *Fleet) (outcome, error) {
		result, err := publishAfter(func(f *Fleet) error { f.IsolateZone(3); return nil }, 0)(f)
		result.includes = func(n *node) bool { return (n.zone == 3) == inside }
		return result, err
	}
}

// regionCut publishes ten changes in a minute while a region is isolated, then heals the partition. Its report covers
// the limiters of that region, with delays from the end of the partition.
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

// coldStart starts relays and limiters without a state. Its report covers the version that the source starts with,
// with delays from time 0.
func coldStart(f *Fleet) (outcome, error) {
	head := f.source.Head()
	f.published[head] = 0
	f.Run(60 * second)
	return outcome{versions: []distribution.Version{head}}, nil
}

// fortyChanges publishes 40 changes at equal distances in a minute.
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

// Run runs a scenario on a new fleet. It returns an error if the fleet cannot be created or a publication fails.
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

// report computes the report of a scenario that has run.
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
