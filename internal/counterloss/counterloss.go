// Package counterloss computes how far a customer's use can exceed its quota when the shared counter is lost, reset or
// split. The bounds follow from the settings and the controller's rules. The package does no I/O and is not used for
// requests: the limiter logs the bounds at its start and `ospreycroft check` prints them, so that an operator knows
// them before the counter fails.
//
// The rules are those of Reserve and Reconcile in docs/design.md. In the formulas of this package, B is the plan's
// burst and R its rate, D and H are the burst and the rate of its hard ceiling, J is the size of the largest request, s
// is the number of the customer's limiters, and u is the smaller of s and choice.LocalQuotaParts.
//
//   - Without the counter each limiter decides by its local quota, a bucket of max(u·B/s, J) that fills at u·R/s.
//   - A counter total that falls gives no tokens back.
//   - Each limiter enforces its own part of a hard ceiling, D/s filling at H/s, without the counter.
package counterloss

import (
	"fmt"
	"log/slog"
	"math"
	"sort"

	"ospreycroft/choice"
)

// Scenario is a fault of the shared counter.
type Scenario uint8

// The scenarios.
const (
	Lost  Scenario = iota // the counter is down, refuses, or answers too late: the local quotas decide
	Reset                 // the counter lost its totals, or was replaced by an empty one
	Split                 // the counter is split into parts, each of which gets the additions of some limiters only
)

// String returns the scenario's word in log lines.
func (s Scenario) String() string { return [...]string{"lost", "reset", "split"}[s] }

// Bound is an upper bound of the units that are forwarded for one customer as inside its quota, beyond what the quota's
// bucket allows (B at once and R per second), over any time span in which the scenario lasts.
type Bound struct {
	Plan        string
	Scenario    Scenario
	Limiters    int     // number of the customer's limiters
	Parts       int     // number of parts of a split; 1 in other scenarios
	BurstExcess float64 // units beyond the quota's burst, once
	ExcessRate  float64 // units per second beyond the quota's rate, while the scenario lasts
	// CeilingExcess is the bound for the units beyond the hard ceiling over the same span. It is 0 since limiters
	// enforce their parts of the ceiling without the counter, and NaN if the plan has no ceiling.
	CeilingExcess float64
	// Capped is true if the plan has a hard ceiling, which also limits use to D + H·t over t seconds.
	Capped bool
}

// Excess returns the units beyond the quota over a span of the given seconds. A hard ceiling limits it to
// D − B + (H − R)·seconds.
func (b Bound) Excess(plan *choice.Plan, seconds float64) float64 {
	excess := b.BurstExcess + b.ExcessRate*seconds
	if plan.CeilingRate > 0 {
		excess = math.Min(excess, max(0, plan.CeilingBurst-plan.Burst+(plan.CeilingRate-plan.Rate)*seconds))
	}
	return excess
}

// BoundOf returns the bound of one scenario for a plan whose customer has the given number of limiters. parts is used
// for Split only. It returns an error if limiters is below 1, if parts is below 2 for Split, or if the plan has no
// rate.
func BoundOf(
	name string, plan *choice.Plan, maxRequestUnits float64, limiters int, scenario Scenario, parts int,
) (Bound, error) {
	if limiters < 1 {
		return Bound{}, fmt.Errorf("counterloss: %d limiters, must be 1 or more", limiters)
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
		// The s local quotas together allow s·max(u·B/s, J) at once and u·R per second; the quota itself is B + R·t.
		localParts := math.Min(count, choice.LocalQuotaParts)
		b.BurstExcess = max(localParts*plan.Burst, count*maxRequestUnits) - plan.Burst
		b.ExcessRate = (localParts - 1) * plan.Rate
	case Reset:
		// A limiter that has not read the total recently finds it empty and can use the burst of the lost bucket once
		// more. Limiters that have read it keep what they know, since a total that falls gives no tokens back.
		b.BurstExcess = plan.Burst
	case Split:
		if parts < 2 {
			return Bound{}, fmt.Errorf("counterloss: a split into %d parts, must be 2 or more", parts)
		}
		// Each part with at least one of the customer's limiters allows a full bucket and the full rate. When the
		// split heals, the additions to all parts but one are lost, which is a reset for their limiters.
		occupiedParts := float64(min(parts, limiters))
		b.Parts = parts
		b.BurstExcess = occupiedParts * plan.Burst
		b.ExcessRate = (occupiedParts - 1) * plan.Rate
	}
	b.Capped = plan.CeilingRate > 0
	return b, nil
}

// Table returns the bounds of every scenario for every plan with a rate, sorted by plan. It assumes the worst case, a
// customer whose requests arrive at all limiters. Splits are into two parts, and into as many parts as limiters.
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
			continue // there is no quota in units to exceed; a limit of attempts in flight is not covered here
		}
		for _, row := range []struct {
			scenario Scenario
			parts    int
		}{{Lost, 1}, {Reset, 1}, {Split, 2}, {Split, set.Limiters}} {
			if row.scenario == Split && row.parts == 2 && set.Limiters <= 2 &&
				len(bounds) > 0 && bounds[len(bounds)-1].Scenario == Split {
				continue // with two limiters both splits are the same
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

// Attrs returns the bound as attributes of a log line, with the excess over a minute.
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

// formatFigure formats a figure with four significant digits, enough for an operator.
func formatFigure(figure float64) string { return fmt.Sprintf("%.4g", figure) }
