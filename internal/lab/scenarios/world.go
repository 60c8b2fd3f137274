// Package scenarios runs Gherkin scenarios of operations and faults (restarts, drains, outages, changes of the
// configuration) on a simulated fleet of package simfleet. The feature files are in features; docs/scenarios.md lists
// the steps.
//
// A "given" step configures the fleet, a "when" step plans an event at a second of the fleet's clock, and the first
// "then" step runs the whole scenario. A new group of steps registers itself from Steps, beside the existing ones,
// and takes the World as a parameter. The rules that steps check are the five of package invariants.
package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"ospreycroft/internal/lab/simfleet"
	"ospreycroft/internal/lab/transcript"
)

const second = int64(1e9) // nanoseconds

// nanoseconds converts seconds to nanoseconds.
func nanoseconds(seconds float64) int64 { return int64(seconds * 1e9) }

// World is the state of one scenario: its fleet, the planned events and the result.
type World struct {
	Options    simfleet.Options
	Broken     []simfleet.Broken // defects of the limiters, in addition to the scenario's own; nil for none
	SeedOffset uint64            // added to the scenario's seed
	// Transcript records each message on the scenario's networks; nil records nothing.
	Transcript  *transcript.Transcript
	plans       []plan
	fleet       *simfleet.Fleet
	result      *simfleet.Result
	lastPlanned int64 // time of the last planned event, nanoseconds
}

// plan is an event of a scenario, at a time in nanoseconds.
type plan struct {
	at   int64
	step func(f *simfleet.Fleet)
}

// errNoFleet is the error of a scenario that plans an event before it defines its fleet.
var errNoFleet = errors.New("no fleet; first say \"given a fleet of ...\"")

// Plan plans an event at a time of the fleet's clock, in nanoseconds. Events of the same time run in the order in
// which they were planned. Plan returns an error if the scenario has not defined its fleet.
func (w *World) Plan(at int64, step func(f *simfleet.Fleet)) error {
	if w.Options.Limiters == 0 {
		return errNoFleet
	}
	w.lastPlanned = max(w.lastPlanned, at)
	w.plans = append(w.plans, plan{at, step})
	return nil
}

// Fleet returns the scenario's fleet. The first call creates it and schedules the events that were planned before.
func (w *World) Fleet() (*simfleet.Fleet, error) {
	if w.Options.Limiters == 0 {
		return nil, errNoFleet
	}
	if w.fleet == nil {
		w.Options.Broken = append(w.Options.Broken, w.Broken...)
		w.Options.Seed += w.SeedOffset
		w.Options.Transcript = w.Transcript
		f, err := simfleet.New(w.Options)
		if err != nil {
			return nil, err
		}
		w.fleet = f
		for _, p := range w.plans {
			f.At(p.at, func() { p.step(f) })
		}
	}
	return w.fleet, nil
}

// Result runs the scenario to its end on the first call and returns its result.
func (w *World) Result() (*simfleet.Result, error) {
	f, err := w.Fleet()
	if err == nil && w.result == nil {
		f.Run(max(w.lastPlanned, w.Options.Load.Until))
		w.result = f.Finish()
	}
	return w.result, err
}

// chooseSome returns a random choice of that fraction of the numbers below total. The same seed and salt give the
// same choice.
func (w *World) chooseSome(fraction float64, total int, salt uint64) []int {
	shuffled := rand.New(rand.NewPCG(w.Options.Seed, salt)).Perm(total)
	return shuffled[:int(fraction*float64(total)+0.5)]
}

// fractions maps the words that steps use for a fraction to its value.
var fractions = map[string]float64{"all": 1, "nine in ten": 0.9, "seven in ten": 0.7, "half": 0.5, "a third": 1.0 / 3,
	"a quarter": 0.25, "a fifth": 0.2, "a tenth": 0.1}

// parseFraction parses a step's word for a fraction. It returns an error for unknown words.
func parseFraction(words string) (float64, error) {
	if fraction, known := fractions[words]; known {
		return fraction, nil
	}
	return 0, fmt.Errorf(
		"%q is not a fraction; want all, nine in ten, seven in ten, half, a third, a quarter, a fifth or a tenth",
		words,
	)
}

// ruleBreaches returns an error that lists the first eight breaches of the rules and all faults of a run, and nil if
// there are none.
func ruleBreaches(r *simfleet.Result) error {
	if r.Verdict.Pass && len(r.Faults) == 0 {
		return nil
	}
	var lines []string
	for i, b := range r.Verdict.Breaches {
		if i == 8 {
			lines = append(lines, "...")
			break
		}
		lines = append(lines, fmt.Sprintf("%.3f s: rule %d: %s: %s", float64(b.At)/1e9, b.Rule, b.What, b.Detail))
	}
	for _, e := range r.Faults {
		lines = append(lines, fmt.Sprintf("%.3f s: %s: %s: %s", float64(e.At)/1e9, e.Kind, e.Target, e.Detail))
	}
	return fmt.Errorf("%s\n%s", r.Verdict.Line(), strings.Join(lines, "\n"))
}
