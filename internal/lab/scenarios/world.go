// Package scenarios tells what operators do and what may happen to them, given, when, then, and plays it on a fleet in
// memory (package simfleet). The feature files are in features; docs/scenarios.md holds their words.
//
// A step of "given" says what the fleet is, one of "when" plans what happens at which second, and the first "then"
// plays the whole story. So later tasks add steps of their own beside these: they take the World from their
// constructor.
package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"ospreycroft/internal/lab/simfleet"
	"ospreycroft/internal/lab/transcript"
)

const second = int64(1e9)

func nanoseconds(seconds float64) int64 { return int64(seconds * 1e9) }

// World is one scenario's fleet.
type World struct {
	Options    simfleet.Options
	Broken     []simfleet.Broken // breaks the limiters in these ways beside what the scenario says
	SeedOffset uint64            // is added to the scenario's seed
	// Transcript takes what crosses the scenario's wires; nil for no record.
	Transcript  *transcript.Transcript
	plans       []plan
	fleet       *simfleet.Fleet
	result      *simfleet.Result
	lastPlanned int64 // when the last planned thing happens
}

type plan struct {
	at   int64
	step func(f *simfleet.Fleet)
}

// errNoFleet is for a scenario that says what happens before it says to whom.
var errNoFleet = errors.New("no fleet yet: begin with \"given a fleet of ...\"")

// Plan plans what happens at a time of the fleet's clock, nanoseconds. What is planned first happens first.
func (w *World) Plan(at int64, step func(f *simfleet.Fleet)) error {
	if w.Options.Limiters == 0 {
		return errNoFleet
	}
	w.lastPlanned = max(w.lastPlanned, at)
	w.plans = append(w.plans, plan{at, step})
	return nil
}

// Fleet is the fleet that the plans are played on; it is made at its first use.
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

// Result plays the story to its end, once.
func (w *World) Result() (*simfleet.Result, error) {
	f, err := w.Fleet()
	if err == nil && w.result == nil {
		f.Run(max(w.lastPlanned, w.Options.Load.Until))
		w.result = f.Finish()
	}
	return w.result, err
}

// chooseSome draws so many of count, the same ones for the same story.
func (w *World) chooseSome(fraction float64, total int, salt uint64) []int {
	shuffled := rand.New(rand.NewPCG(w.Options.Seed, salt)).Perm(total)
	return shuffled[:int(fraction*float64(total)+0.5)]
}

// fractions are the parts that stories speak of.
var fractions = map[string]float64{"all": 1, "nine in ten": 0.9, "seven in ten": 0.7, "half": 0.5, "a third": 1.0 / 3,
	"a quarter": 0.25, "a fifth": 0.2, "a tenth": 0.1}

func parseFraction(words string) (float64, error) {
	if fraction, known := fractions[words]; known {
		return fraction, nil
	}
	return 0, fmt.Errorf(
		"%q is no share: one of all, nine in ten, seven in ten, half, a third, a quarter, a fifth, a tenth",
		words,
	)
}

// ruleBreaches lists the rules that a run broke, in words.
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
