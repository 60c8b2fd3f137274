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
func (c Scenario) String() string { return [...]string{"lost", "reset", "split"}[c] }

// Bound is the most by which what reaches servers for one customer, counted as inside its quota, can pass the
// quota's own bucket (B at once, R a second) over any span in which the case holds. Units and units a second.
type Bound struct {
	Plan        string
	Scenario    Scenario
	Limiters    int     // the customer's limiters
	Parts       int     // a split's parts; 1 otherwise
	BurstExcess float64 // units beyond the quota's burst, once
	ExcessRate  float64 // units a second beyond the quota's rate, for as long as the case lasts
	// Ceiling is the most beyond a hard ceiling's depth and rate, over the same span: 0 by the arithmetic of
	// the parts whatever the counter does; NaN where the plan has no ceiling.
	Ceiling float64
	// Capped is true where the hard ceiling is the lower bound of the two: use never passes D + H·t.
	Capped bool
}

// Over is the bound's total over a span of seconds, capped by the ceiling's own margin over the quota where the
// plan has one: a ceiling of D and H leaves at most D − B + (H − R)·t beyond the quota.
func (b Bound) Over(plan *choice.Plan, seconds float64) float64 {
	over := b.BurstExcess + b.ExcessRate*seconds
	if plan.CeilingRate > 0 {
		over = math.Min(over, max(0, plan.CeilingBurst-plan.Burst+(plan.CeilingRate-plan.Rate)*seconds))
	}
	return over
}

// BoundOf states the bound of one case for a plan, a set of s limiters and, for a split, its parts (at least 2).
// Errors: a set below 1, a split of fewer than 2 parts, a plan with no rate.
func BoundOf(name string, plan *choice.Plan, mostUnits float64, s int, c Scenario, parts int) (Bound, error) {
	if s < 1 {
		return Bound{}, fmt.Errorf("counterloss: a set of %d limiters", s)
	}
	if plan.Rate <= 0 {
		return Bound{}, fmt.Errorf("counterloss: plan %s has no rate", name)
	}
	b := Bound{Plan: name, Scenario: c, Limiters: s, Parts: 1, Ceiling: math.NaN()}
	if plan.CeilingRate > 0 {
		b.Ceiling = 0
	}
	n := float64(s)
	switch c {
	case Lost:
		// s local quotas, each max(u·B/s, J) at once and u·R/s a second, against B + R·t.
		u := math.Min(n, choice.LocalQuotaParts)
		b.BurstExcess = max(u*plan.Burst, n*mostUnits) - plan.Burst
		b.ExcessRate = (u - 1) * plan.Rate
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
		m := float64(min(parts, s))
		b.Parts = parts
		b.BurstExcess = m * plan.Burst
		b.ExcessRate = (m - 1) * plan.Rate
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
	var out []Bound
	for _, name := range names {
		plan := set.Plans[name]
		if plan.Rate <= 0 {
			continue // it has no quota in units that could be passed; a cap on attempts out is not bounded here
		}
		for _, c := range []struct {
			c     Scenario
			parts int
		}{{Lost, 1}, {Reset, 1}, {Split, 2}, {Split, set.Limiters}} {
			if c.c == Split && c.parts == 2 && set.Limiters <= 2 && len(out) > 0 && out[len(out)-1].Scenario == Split {
				continue // one split of two is all there is
			}
			if c.c == Split && c.parts < 2 {
				continue
			}
			b, err := BoundOf(name, plan, set.MaxRequestUnits, set.Limiters, c.c, c.parts)
			if err != nil {
				return nil, err
			}
			out = append(out, b)
		}
	}
	return out, nil
}

// Attrs is one bound as the log and `check` write it, with what it comes to over a minute.
func (b Bound) Attrs(plan *choice.Plan) []slog.Attr {
	ceiling := "none"
	if !math.IsNaN(b.Ceiling) {
		ceiling = rounded(b.Ceiling)
	}
	return []slog.Attr{
		slog.String("plan", b.Plan), slog.String("case", b.Scenario.String()),
		slog.Int("limiters", b.Limiters), slog.Int("parts", b.Parts),
		slog.String("at_once", rounded(b.BurstExcess)), slog.String("a_second", rounded(b.ExcessRate)),
		slog.String("over_a_minute", rounded(b.Over(plan, 60))), slog.String("ceiling_over", ceiling),
	}
}

// rounded writes a figure with four digits, enough for an operator.
func rounded(figure float64) string { return fmt.Sprintf("%.4g", figure) }
