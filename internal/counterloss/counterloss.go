// Package counterloss states in advance how far a customer's use can pass its quota when the shared counter is lost,
// emptied or split, from the settings alone, as the decision module's arithmetic gives it. It does no I/O and decides
// nothing on the request path: the limiter logs its figures at the start and `ospreycroft check` prints them, so that
// an operator knows the error before the counter fails.
//
// Source: Reserve and Reconcile (docs/design.md): without the counter each of a customer's s limiters decides by its
// local quota, which holds max(u·B/s, J) and fills at u·R/s (B the plan's burst, R its rate, J the largest request, u
// the most equal parts that a local quota can be, choice.LocalQuotaParts, and no more than s); a fallen total gives no
// bucket back; a hard ceiling is kept by each limiter's own part, D/s filling at H/s, with no answer of the counter at
// all.
package counterloss

import (
	"fmt"
	"log/slog"
	"math"
	"sort"

	"ospreycroft/choice"
)

// Scenario is a way of losing the shared count.
type Scenario uint8

// The cases the bound is stated for.
const (
	Lost  Scenario = iota // down, refusing, or answering after the wait: the local quotas decide
	Reset                 // emptied, or replaced by an empty bucket
	Split                 // parts that each see only some of the limiters' adds
)

// String gives the word for log lines.
func (s Scenario) String() string { return [...]string{"lost", "reset", "split"}[s] }

// Bound is the most by which what reaches servers for one customer, counted as inside its quota, can pass the
// quota's own bucket (B at once, R a second) over any span in which the case holds. Units and units a second.
type Bound struct {
	Plan        string
	Scenario    Scenario
	Limiters    int     // the customer's limiters
	Parts       int     // a split's parts; 1 otherwise
	BurstExcess float64 // units beyond the quota's burst, once
	ExcessRate  float64 // units a second beyond the quota's rate, for as long as the case lasts
	// CeilingExcess is the most beyond a hard ceiling's depth and rate, over the same span: 0 by the arithmetic of
	// the parts whatever the counter does; NaN where the plan has no ceiling.
	CeilingExcess float64
	// Capped is true where the hard ceiling is the lower bound of the two: use never passes D + H·t.
	Capped bool
}

// Excess is the bound's total over a span of seconds, capped by the ceiling's own margin over the quota where the
// plan has one: a ceiling of D and H leaves at most D − B + (H − R)·t beyond the quota.
func (b Bound) Excess(plan *choice.Plan, seconds float64) float64 {
	excess := b.BurstExcess + b.ExcessRate*seconds
	if plan.CeilingRate > 0 {
		excess = math.Min(excess, max(0, plan.CeilingBurst-plan.Burst+(plan.CeilingRate-plan.Rate)*seconds))
	}
	return excess
}

// BoundOf states the bound of one case for a plan, a set of s limiters and, for a split, its parts (at least 2).
// Errors: a set below 1, a split of fewer than 2 parts, a plan with no rate.
func BoundOf(name string, plan *choice.Plan, maxRequestUnits float64, limiters int, scenario Scenario, parts int) (Bound, error) {
	if limiters < 1 {
		return Bound{}, fmt.Errorf("counterloss: a set of %d limiters", limiters)
	}
	if plan.Rate <= 0 {
		return Bound{}, fmt.Errorf("counterloss: plan %s has no rate", name)
	}
	b := Bound{Plan: name, Scenario: scenario, Limiters: limiters, Parts: 1, CeilingExcess: math.NaN()}
	if plan.CeilingRate > 0 {
		b.CeilingExcess = 0
	}
	count := float64(limiters)
	switch scenario {
	case Lost:
		// s local quotas, each max(localParts·B/s, J) at once and localParts·R/s a second, against B + R·t.
		localParts := math.Min(count, choice.LocalQuotaParts)
		b.BurstExcess = max(localParts*plan.Burst, count*maxRequestUnits) - plan.Burst
		b.ExcessRate = (localParts - 1) * plan.Rate
	case Reset:
		// A limiter that has not looked lately takes the burst anew from an empty total, once for the bucket
		// that was forgotten; those that had looked keep what they knew, and a fallen total gives nothing back.
		b.BurstExcess = plan.Burst
	case Split:
		if parts < 2 {
			return Bound{}, fmt.Errorf("counterloss: a split of %d parts", parts)
		}
		// Each part that holds one of the customer's limiters sees a whole bucket and a whole rate; when it
		// heals, the parts that lose forget what was added there, which is a reset for their limiters.
		occupiedParts := float64(min(parts, limiters))
		b.Parts = parts
		b.BurstExcess = occupiedParts * plan.Burst
		b.ExcessRate = (occupiedParts - 1) * plan.Rate
	}
	b.Capped = plan.CeilingRate > 0
	return b, nil
}

// Table states every case for every plan of the settings, for a customer whose requests come in through all
// limiters (the worst set) and a split into two parts and into as many parts as limiters.
func Table(set *choice.Settings) ([]Bound, error) {
	names := make([]string, 0, len(set.Plans))
	for name := range set.Plans {
		names = append(names, name)
	}
	sort.Strings(names)
	var bounds []Bound
	for _, name := range names {
		plan := set.Plans[name]
		if plan.Rate <= 0 {
			continue // it has no quota in units that could be passed; a cap on attempts out is not bounded here
		}
		for _, row := range []struct {
			scenario Scenario
			parts    int
		}{{Lost, 1}, {Reset, 1}, {Split, 2}, {Split, set.Limiters}} {
			if row.scenario == Split && row.parts == 2 && set.Limiters <= 2 && len(bounds) > 0 && bounds[len(bounds)-1].Scenario == Split {
				continue // one split of two is all there is
			}
			if row.scenario == Split && row.parts < 2 {
				continue
			}
			b, err := BoundOf(name, plan, set.MaxRequestUnits, set.Limiters, row.scenario, row.parts)
			if err != nil {
				return nil, err
			}
			bounds = append(bounds, b)
		}
	}
	return bounds, nil
}

// Attrs is one bound as the log and `check` write it, with what it comes to over a minute.
func (b Bound) Attrs(plan *choice.Plan) []slog.Attr {
	ceiling := "none"
	if !math.IsNaN(b.CeilingExcess) {
		ceiling = formatFigure(b.CeilingExcess)
	}
	return []slog.Attr{
		slog.String("plan", b.Plan), slog.String("case", b.Scenario.String()),
		slog.Int("limiters", b.Limiters), slog.Int("parts", b.Parts),
		slog.String("at_once", formatFigure(b.BurstExcess)), slog.String("a_second", formatFigure(b.ExcessRate)),
		slog.String("over_a_minute", formatFigure(b.Excess(plan, 60))), slog.String("ceiling_over", ceiling),
	}
}

// formatFigure writes a figure with four digits, enough for an operator.
func formatFigure(figure float64) string { return fmt.Sprintf("%.4g", figure) }
