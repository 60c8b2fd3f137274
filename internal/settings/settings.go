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

var effects = map[string]choice.Effect{
	"free": choice.Retriable, "guarded": choice.Fingerprinted, "single_shot": choice.Binding,
}

var groups = map[string]choice.Group{
	"all": choice.GroupAll, "zone": choice.GroupZone, "cell": choice.GroupCell,
}

type facts struct {
	Balancers int  `json:"balancers"`
	Position  *int `json:"position"`
	Classes   []struct {
		Name   string  `json:"name"`
		Aim    float64 `json:"aim"`
		Effect string  `json:"effect"`
		Group  string  `json:"group"`
		Window float64 `json:"dedup-window"`
		Worth  float64 `json:"worth"`
	} `json:"classes"`
	Tariffs []struct {
		Name        string  `json:"name"`
		Rate        float64 `json:"rate"`
		MostAtOnce  float64 `json:"most-at-once"`
		HardRate    float64 `json:"hard-rate"`
		HardDepth   float64 `json:"never-over-depth"`
		Parallel    float64 `json:"parallel"`
		ExtraWorth  float64 `json:"extra-worth"`
		BeyondCosts float64 `json:"beyond-costs"`
		ValueFactor float64 `json:"value-factor"`
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

type figure struct {
	name  string
	value float64
}

func nanos(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }

// Settings are the module's settings and, beside them, what only sockets read.
type Settings struct {
	*choice.Settings
	IdleClose int64   // a server closes a connection that has been idle for so long
	AskEvery  int64   // the longest time between calls to discovery where it tells only those that ask, else 0
	MostTrue  float64 // the most units that an answer can say a job has taken; 0 where a job's own figure is no guess
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
		Tracks: map[string]*choice.Track{}, Plans: map[string]*choice.Plan{},
		MostUnits: f.Family.UnitsTop, LongestLease: longestLease, Limiters: f.Balancers, Position: -1,
		ColdFrom: f.Contract.ColdFrom, WarmWithin: nanos(f.Contract.WarmWithin),
		DialTimeout: nanos(f.Permissions.DialTimeout), MostShots: f.Permissions.AttemptsCap,
		Probes: f.Permissions.Probes, Cancelling: f.Permissions.Cancelling, Granularity: nanos(f.Granularity),
	}
	if f.Family.HasCounter {
		s.CounterWait = nanos(f.Family.CountWait)
	}
	if f.Permissions.RetryAfter {
		s.MostAdvice = nanos(f.Permissions.MaxRetryAfter)
	}
	for _, c := range f.Classes {
		effect, known := effects[c.Effect]
		group, grouped := groups[c.Group]
		if !known || effect == choice.Fingerprinted && !grouped {
			return nil, wrong("classes: "+c.Name, "effect %q, group %q: not known", c.Effect, c.Group)
		}
		if c.Aim <= 0 {
			return nil, wrong("classes: "+c.Name+": aim", "is %v", c.Aim)
		}
		if c.Worth < 0 {
			return nil, wrong("classes: "+c.Name+": worth", "is %v", c.Worth)
		}
		s.Tracks[c.Name] = &choice.Track{Agreed: nanos(c.Aim), Effect: effect, Group: group,
			Repeats: nanos(c.Window), Benefit: c.Worth}
		if c.Worth == 0 { // not told: as good as any
			s.Tracks[c.Name].Benefit = 1
		}
	}
	if len(s.Tracks) == 0 {
		return nil, wrong("classes", "none")
	}
	for _, t := range f.Tariffs {
		for _, f := range []figure{{"rate", t.Rate}, {"hard-rate", t.HardRate}, {"never-over-depth", t.HardDepth},
			{"parallel", t.Parallel}} {
			if f.value < 0 {
				return nil, wrong("tariffs: "+t.Name+": "+f.name, "is %v", f.value)
			}
		}
		if t.Parallel != math.Trunc(t.Parallel) {
			return nil, wrong("tariffs: "+t.Name+": parallel", "is %v, no whole number", t.Parallel)
		}
		if t.MostAtOnce < 0 || t.Rate > 0 && t.MostAtOnce == 0 {
			return nil, wrong("tariffs: "+t.Name+": most-at-once", "is %v", t.MostAtOnce)
		}
		s.Plans[t.Name] = &choice.Plan{Rate: t.Rate, Burst: t.MostAtOnce,
			CeilingRate: t.HardRate, CeilingBurst: t.HardDepth, Open: t.Parallel,
			BeyondEarns: t.ExtraWorth, BeyondCosts: t.BeyondCosts, Benefit: t.ValueFactor}
	}
	for _, f := range []figure{{"family-info: units-top", s.MostUnits}, {"granularity", f.Granularity},
		{"permissions: attempts-cap", float64(s.MostShots)}, {"balancers", float64(s.Limiters)},
		{"contract: warm-within", f.Contract.WarmWithin}} {
		if f.value <= 0 {
			return nil, wrong(f.name, "is %v", f.value)
		}
	}
	if f.Position != nil {
		if s.Position = *f.Position; s.Position < 0 || s.Position >= s.Limiters {
			return nil, wrong("position", "is %d, of %d balancers", s.Position, s.Limiters)
		}
	}
	all := &Settings{Settings: s, IdleClose: nanos(f.Permissions.IdleClose)}
	if f.Mode == "on_request" {
		if all.AskEvery = nanos(f.Contract.AskEvery); all.AskEvery <= 0 {
			return nil, wrong("contract: ask-every", "is %v", f.Contract.AskEvery)
		}
	}
	if f.Family.TruedUp {
		all.MostTrue = s.MostUnits
	}
	return all, nil
}
