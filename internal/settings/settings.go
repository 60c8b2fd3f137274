// Package settings decodes what a limiter is told at its start: the settings, which the simulator's first message
// and the configuration of a real limiter hold alike, and that configuration.
package settings

import (
	"encoding/json"
	"math"

	"ospreycroft/choice"
)

// longestLease is the wire's own limit on a count's lifetime.
const longestLease = 60e9

var effects = map[string]choice.Idempotency{
	"free": choice.Idempotent, "guarded": choice.IdempotentWithKey, "single_shot": choice.NonIdempotent,
}

var groups = map[string]choice.DeduplicationScope{
	"all": choice.ScopeAll, "zone": choice.ScopeZone, "cell": choice.ScopeCell,
}

type facts struct {
	Balancers int  `json:"balancers"`
	Position  *int `json:"position"`
	Classes   []struct {
		Name     string   `json:"name"`
		Aim      float64  `json:"aim"`
		Deadline *float64 `json:"deadline"`
		Effect   string   `json:"effect"`
		Group    string   `json:"group"`
		Window   float64  `json:"dedup-window"`
		Worth    float64  `json:"worth"`
	} `json:"classes"`
	Tariffs []struct {
		Name        string   `json:"name"`
		Rate        float64  `json:"rate"`
		MostAtOnce  float64  `json:"most-at-once"`
		HardRate    float64  `json:"hard-rate"`
		HardDepth   float64  `json:"never-over-depth"`
		Parallel    float64  `json:"parallel"`
		ExtraWorth  float64  `json:"extra-worth"`
		BeyondCosts float64  `json:"beyond-costs"`
		ValueFactor *float64 `json:"value-factor"`
	} `json:"tariffs"`
	Family struct {
		HasCounter bool    `json:"has-counter"`
		CountWait  float64 `json:"count-wait"`
		UnitsTop   float64 `json:"units-top"`
		TruedUp    bool    `json:"trued-up"`
	} `json:"family-info"`
	Contract struct {
		ColdFrom   float64 `json:"cold-from"`
		WarmWithin float64 `json:"warm-within"`
		AskEvery   float64 `json:"ask-every"`
		Grace      float64 `json:"stop-sending-within"`
	} `json:"contract"`
	Mode        string `json:"registry-mode"`
	Permissions struct {
		AttemptsCap   int     `json:"attempts-cap"`
		DialTimeout   float64 `json:"dial-timeout"`
		IdleClose     float64 `json:"idle-close"`
		MaxRetryAfter float64 `json:"max-retry-after"`
		RetryAfter    bool    `json:"retry-after"`
		Probes        bool    `json:"probes"`
		Cancelling    bool    `json:"cancelling"`
	} `json:"permissions"`
	Granularity float64 `json:"granularity"`
}

// Bounds of figures. Nobody means one beyond them, and the arithmetic in nanoseconds holds within them: what is
// shorter would round to no time at all, and what is longer would overflow.
const (
	leastTime = 1e-4 // seconds
	mostTime  = 1e8
	mostUnits = 1e9 // the wire's largest amount
	mostRate  = 1e12
	mostCount = 1e6
)

// figure is a number and what it may be; 0 stands for one that is not told, where that may be.
type figure struct {
	name               string
	value, least, most float64
	zero               bool
}

// within refuses the first figure that is out of its bounds, by its key.
func within(part string, figures ...figure) error {
	for _, f := range figures {
		if !(f.least <= f.value && f.value <= f.most) && !(f.zero && f.value == 0) {
			return wrong(part+f.name, "is %v, not from %v to %v", f.value, f.least, f.most)
		}
	}
	return nil
}

// once refuses a class or a plan without a name, or with one that is there already.
func once(part, name string, there bool) error {
	switch {
	case name == "":
		return wrong(part+": name", "missing")
	case there:
		return wrong(part+": "+name, "there twice")
	}
	return nil
}

func nanos(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }

// Settings are the module's settings and, beside them, what only sockets read.
type Settings struct {
	*choice.Settings
	IdleClose    int64 // a server closes a connection that has been idle for so long
	PollInterval int64 // the longest time between calls to discovery where it tells only those that ask, else 0
	DrainGrace   int64 // how long after word that it drains a server may still be sent to; 0 where it is not told
	// the most units that an answer can say a request has taken; 0 where a request's own figure is no guess
	MaxActualUnits float64
}

// Decode reads the settings and refuses what cannot work.
func Decode(text []byte) (*Settings, error) {
	var f facts
	if len(text) == 0 || string(text) == "null" {
		return nil, &KeyError{Why: "missing"}
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, broken(err)
	}
	s := &choice.Settings{
		Classes: map[string]*choice.Class{}, Plans: map[string]*choice.Plan{},
		MaxRequestUnits: f.Family.UnitsTop, MaxLease: longestLease, Limiters: f.Balancers, Position: -1,
		ColdCapacity: f.Contract.ColdFrom, SlowStartWindow: nanos(f.Contract.WarmWithin),
		DialTimeout: nanos(f.Permissions.DialTimeout), MaxAttempts: f.Permissions.AttemptsCap,
		HealthChecks: f.Permissions.Probes, CanCancel: f.Permissions.Cancelling, TimerResolution: nanos(f.Granularity),
	}
	if f.Family.HasCounter {
		s.CounterTimeout = nanos(f.Family.CountWait)
	}
	if f.Permissions.RetryAfter {
		s.MaxRetryAfter = nanos(f.Permissions.MaxRetryAfter)
	}
	for _, c := range f.Classes {
		part := "classes: " + c.Name
		effect, known := effects[c.Effect]
		group, grouped := groups[c.Group]
		if !known || effect == choice.IdempotentWithKey && !grouped {
			return nil, wrong(part, "effect %q, group %q: not known", c.Effect, c.Group)
		}
		if err := once("classes", c.Name, s.Classes[c.Name] != nil); err != nil {
			return nil, err
		}
		if err := within(
			part,
			figure{": aim", c.Aim, leastTime, mostTime, false},
			figure{": worth", c.Worth, 0, mostRate, false},
			figure{": dedup-window", c.Window, leastTime, mostTime, true},
		); err != nil {
			return nil, err
		}
		if c.Deadline != nil && *c.Deadline <= 0 { // it comes with each request, but a class without time is no class
			return nil, wrong(part+": deadline", "is %v", *c.Deadline)
		}
		s.Classes[c.Name] = &choice.Class{
			LatencyObjective:    nanos(c.Aim),
			Idempotency:         effect,
			DeduplicationScope:  group,
			DeduplicationWindow: nanos(c.Window),
			PriorityWeight:      c.Worth,
		}
		if c.Worth == 0 { // not told: as good as any
			s.Classes[c.Name].PriorityWeight = 1
		}
	}
	if len(s.Classes) == 0 {
		return nil, wrong("classes", "none")
	}
	for _, t := range f.Tariffs {
		part := "tariffs: " + t.Name
		worth := 1.0 // not told: as good as any
		if err := once("tariffs", t.Name, s.Plans[t.Name] != nil); err != nil {
			return nil, err
		}
		if t.ValueFactor != nil {
			worth = *t.ValueFactor
		}
		if err := within(
			part,
			figure{": rate", t.Rate, 0, mostRate, false},
			figure{": hard-rate", t.HardRate, 0, mostRate, false},
			figure{": most-at-once", t.MostAtOnce, 0, mostRate, false},
			figure{
				": never-over-depth",
				t.HardDepth,
				0,
				mostRate,
				false,
			},
			figure{": parallel", t.Parallel, 0, mostRate, false},
			figure{
				": extra-worth",
				t.ExtraWorth,
				0,
				mostRate,
				false,
			},
			figure{": beyond-costs", t.BeyondCosts, 0, mostRate, false},
			figure{": value-factor", worth, 0, mostRate, false},
		); err != nil {
			return nil, err
		}
		if t.Parallel != math.Trunc(t.Parallel) {
			return nil, wrong(part+": parallel", "is %v, no whole number", t.Parallel)
		}
		// A store that holds nothing, or takes years to fill, is none.
		for _, store := range []struct {
			name        string
			depth, rate float64
		}{{": most-at-once", t.MostAtOnce, t.Rate}, {": never-over-depth", t.HardDepth, t.HardRate}} {
			if store.rate > 0 && !(store.depth > 0 && store.depth <= store.rate*mostTime) {
				return nil, wrong(part+store.name, "is %v, with a rate of %v", store.depth, store.rate)
			}
		}
		s.Plans[t.Name] = &choice.Plan{Rate: t.Rate, Burst: t.MostAtOnce,
			CeilingRate: t.HardRate, CeilingBurst: t.HardDepth, MaxInFlight: t.Parallel,
			OverQuotaRevenue: t.ExtraWorth, OverQuotaPenalty: t.BeyondCosts, PriorityWeight: worth}
	}
	if len(s.Plans) == 0 {
		return nil, wrong("tariffs", "none")
	}
	if err := within(
		"",
		figure{"family-info: units-top", s.MaxRequestUnits, math.SmallestNonzeroFloat64, mostUnits, false},
		figure{"granularity", f.Granularity, leastTime, mostTime, false},
		figure{"permissions: attempts-cap", float64(s.MaxAttempts), 1, mostRate, false},
		figure{"permissions: dial-timeout", f.Permissions.DialTimeout, leastTime, mostTime, true},
		figure{"permissions: idle-close", f.Permissions.IdleClose, leastTime, mostTime, true},
		figure{"permissions: max-retry-after", f.Permissions.MaxRetryAfter, 0, mostTime, false},
		figure{"balancers", float64(s.Limiters), 1, mostCount, false},
		figure{"family-info: count-wait", f.Family.CountWait, leastTime, mostTime, !f.Family.HasCounter},
		figure{"contract: cold-from", f.Contract.ColdFrom, 0, 1, false},
		figure{"contract: stop-sending-within", f.Contract.Grace, leastTime, mostTime, true},
		figure{"contract: ask-every", f.Contract.AskEvery, leastTime, mostTime, f.Mode != "on_request"},
		figure{"contract: warm-within", f.Contract.WarmWithin, leastTime, mostTime, false},
	); err != nil {
		return nil, err
	}
	if f.Position != nil {
		s.Position = *f.Position
		if s.Position < 0 || s.Position >= s.Limiters {
			return nil, wrong("position", "is %d, of %d balancers", s.Position, s.Limiters)
		}
	}
	all := &Settings{Settings: s, IdleClose: nanos(f.Permissions.IdleClose), DrainGrace: nanos(f.Contract.Grace)}
	if f.Mode == "on_request" {
		all.PollInterval = nanos(f.Contract.AskEvery)
	}
	if f.Family.TruedUp {
		all.MaxActualUnits = s.MaxRequestUnits
	}
	return all, nil
}
