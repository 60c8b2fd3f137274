package settings

import (
	"math"

	"ospreycroft/choice"
)

// idempotencies are the values of the key effect.
var idempotencies = map[string]choice.Idempotency{
	"free": choice.Idempotent, "guarded": choice.IdempotentWithKey, "single_shot": choice.NonIdempotent,
}

// scopes are the values of the key group.
var scopes = map[string]choice.DeduplicationScope{
	"all": choice.ScopeAll, "zone": choice.ScopeZone, "cell": choice.ScopeCell,
}

// wireSettings are the settings as encoded in JSON. Times are seconds, in the types below too.
type wireSettings struct {
	Limiters        int             `json:"balancers"`
	Position        *int            `json:"position"`
	Classes         []wireClass     `json:"classes"`
	Plans           []wirePlan      `json:"tariffs"`
	Family          wireFamily      `json:"family-info"`
	Contract        wireContract    `json:"contract"`
	Mode            string          `json:"registry-mode"`
	Permissions     wirePermissions `json:"permissions"`
	TimerResolution float64         `json:"granularity"`
}

type wireClass struct {
	Name                string   `json:"name"`
	LatencyObjective    float64  `json:"aim"`
	Deadline            *float64 `json:"deadline"`
	Idempotency         string   `json:"effect"`
	DeduplicationScope  string   `json:"group"`
	DeduplicationWindow float64  `json:"dedup-window"`
	PriorityWeight      float64  `json:"worth"` // 0 if not given
}

type wirePlan struct {
	Name             string   `json:"name"`
	Rate             float64  `json:"rate"`
	Burst            float64  `json:"most-at-once"`
	CeilingRate      float64  `json:"hard-rate"`
	CeilingBurst     float64  `json:"never-over-depth"`
	MaxInFlight      float64  `json:"parallel"`
	OverQuotaRevenue float64  `json:"extra-worth"`
	OverQuotaPenalty float64  `json:"beyond-costs"`
	PriorityWeight   *float64 `json:"value-factor"`
}

type wireFamily struct {
	HasCounter        bool    `json:"has-counter"`
	CounterTimeout    float64 `json:"count-wait"`
	MaxRequestUnits   float64 `json:"units-top"`
	UnitsAreEstimates bool    `json:"trued-up"`
}

type wireContract struct {
	ColdCapacity    float64 `json:"cold-from"`
	SlowStartWindow float64 `json:"warm-within"`
	PollInterval    float64 `json:"ask-every"`
	DrainGrace      float64 `json:"stop-sending-within"`
}

type wirePermissions struct {
	MaxAttempts   int     `json:"attempts-cap"`
	DialTimeout   float64 `json:"dial-timeout"`
	IdleClose     float64 `json:"idle-close"`
	MaxRetryAfter float64 `json:"max-retry-after"`
	RetryAfter    bool    `json:"retry-after"`
	HealthChecks  bool    `json:"probes"`
	CanCancel     bool    `json:"cancelling"`
}

// defaultWeight is the priority weight of a class or plan that has none.
const defaultWeight = 1

// classes decodes and checks the classes, and returns them by name.
func (w *wireSettings) classes() (map[string]*choice.Class, error) {
	classes := map[string]*choice.Class{}
	for i := range w.Classes {
		class := &w.Classes[i]
		decoded, err := class.decode()
		if err != nil {
			return nil, err
		}
		if err := checkName("classes", class.Name, classes[class.Name] != nil); err != nil {
			return nil, err
		}
		if err := class.check(); err != nil {
			return nil, err
		}
		classes[class.Name] = decoded
	}
	if len(classes) == 0 {
		return nil, keyError("classes", "none")
	}
	return classes, nil
}

// longestDeadline returns the longest deadline of all classes in nanoseconds, 0 if some class has none.
func (w *wireSettings) longestDeadline() int64 {
	longest := int64(0)
	for i := range w.Classes {
		deadline := w.Classes[i].Deadline
		if deadline == nil {
			return 0
		}
		longest = max(longest, nanoseconds(min(*deadline, maxTime)))
	}
	return longest
}

func (c *wireClass) decode() (*choice.Class, error) {
	idempotency, known := idempotencies[c.Idempotency]
	scope, scopeKnown := scopes[c.DeduplicationScope]
	if !known || idempotency == choice.IdempotentWithKey && !scopeKnown {
		return nil, keyError("classes: "+c.Name, "effect %q, group %q: unknown", c.Idempotency, c.DeduplicationScope)
	}
	decoded := &choice.Class{
		LatencyObjective: nanoseconds(c.LatencyObjective), Idempotency: idempotency, DeduplicationScope: scope,
		DeduplicationWindow: nanoseconds(c.DeduplicationWindow), PriorityWeight: c.PriorityWeight,
	}
	if c.PriorityWeight == 0 {
		decoded.PriorityWeight = defaultWeight
	}
	return decoded, nil
}

func (c *wireClass) check() error {
	part := "classes: " + c.Name
	if err := checkBounds(part,
		boundedValue{": aim", c.LatencyObjective, minTime, maxTime, false},
		boundedValue{": worth", c.PriorityWeight, 0, maxRate, false},
		boundedValue{": dedup-window", c.DeduplicationWindow, minTime, maxTime, true},
	); err != nil {
		return err
	}
	// Each request carries its own deadline, but a class that allows no time is invalid.
	if c.Deadline != nil && *c.Deadline <= 0 {
		return keyError(part+": deadline", "is %v", *c.Deadline)
	}
	return nil
}

// plans decodes and checks the plans, and returns them by name.
func (w *wireSettings) plans() (map[string]*choice.Plan, error) {
	plans := map[string]*choice.Plan{}
	for i := range w.Plans {
		plan := &w.Plans[i]
		if err := checkName("tariffs", plan.Name, plans[plan.Name] != nil); err != nil {
			return nil, err
		}
		if err := plan.check(); err != nil {
			return nil, err
		}
		plans[plan.Name] = plan.decode()
	}
	if len(plans) == 0 {
		return nil, keyError("tariffs", "none")
	}
	return plans, nil
}

// weight returns the plan's priority weight.
func (p *wirePlan) weight() float64 {
	if p.PriorityWeight == nil {
		return defaultWeight
	}
	return *p.PriorityWeight
}

func (p *wirePlan) decode() *choice.Plan {
	return &choice.Plan{
		Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst,
		MaxInFlight: p.MaxInFlight, OverQuotaRevenue: p.OverQuotaRevenue, OverQuotaPenalty: p.OverQuotaPenalty,
		PriorityWeight: p.weight(),
	}
}

func (p *wirePlan) check() error {
	part := "tariffs: " + p.Name
	if err := checkBounds(part,
		boundedValue{": rate", p.Rate, 0, maxRate, false},
		boundedValue{": hard-rate", p.CeilingRate, 0, maxRate, false},
		boundedValue{": most-at-once", p.Burst, 0, maxRate, false},
		boundedValue{": never-over-depth", p.CeilingBurst, 0, maxRate, false},
		boundedValue{": parallel", p.MaxInFlight, 0, maxRate, false},
		boundedValue{": extra-worth", p.OverQuotaRevenue, 0, maxRate, false},
		boundedValue{": beyond-costs", p.OverQuotaPenalty, 0, maxRate, false},
		boundedValue{": value-factor", p.weight(), 0, maxRate, false},
	); err != nil {
		return err
	}
	if p.MaxInFlight != math.Trunc(p.MaxInFlight) {
		return keyError(part+": parallel", "is %v, not a whole number", p.MaxInFlight)
	}
	if err := checkBucket(part+": most-at-once", p.Burst, p.Rate); err != nil {
		return err
	}
	return checkBucket(part+": never-over-depth", p.CeilingBurst, p.CeilingRate)
}

// checkBucket returns a *KeyError if a bucket with a rate has no burst, or takes longer than maxTime to fill. Without a
// rate there is no bucket.
func checkBucket(key string, burst, rate float64) error {
	if rate > 0 && !(burst > 0 && burst <= rate*maxTime) {
		return keyError(key, "is %v, with a rate of %v", burst, rate)
	}
	return nil
}

// check returns a *KeyError for the first invalid value outside of classes and plans.
func (w *wireSettings) check() error {
	return checkBounds("",
		boundedValue{"family-info: units-top", w.Family.MaxRequestUnits, math.SmallestNonzeroFloat64, maxUnits, false},
		boundedValue{"granularity", w.TimerResolution, minTime, maxTime, false},
		boundedValue{"permissions: attempts-cap", float64(w.Permissions.MaxAttempts), 1, maxRate, false},
		boundedValue{"permissions: dial-timeout", w.Permissions.DialTimeout, minTime, maxTime, true},
		boundedValue{"permissions: idle-close", w.Permissions.IdleClose, minTime, maxTime, true},
		boundedValue{"permissions: max-retry-after", w.Permissions.MaxRetryAfter, 0, maxTime, false},
		boundedValue{"balancers", float64(w.Limiters), 1, maxCount, false},
		boundedValue{"family-info: count-wait", w.Family.CounterTimeout, minTime, maxTime, !w.Family.HasCounter},
		boundedValue{"contract: cold-from", w.Contract.ColdCapacity, 0, 1, false},
		boundedValue{"contract: stop-sending-within", w.Contract.DrainGrace, minTime, maxTime, true},
		boundedValue{"contract: ask-every", w.Contract.PollInterval, minTime, maxTime, w.Mode != polledMode},
		boundedValue{"contract: warm-within", w.Contract.SlowStartWindow, minTime, maxTime, false},
	)
}

// position returns the limiter's number in the fleet, from 0, or positionUnset if the settings have none.
func (w *wireSettings) position() (int, error) {
	if w.Position == nil {
		return positionUnset, nil
	}
	if *w.Position < 0 || *w.Position >= w.Limiters {
		return 0, keyError("position", "is %d, must be 0 or more and below the %d balancers", *w.Position, w.Limiters)
	}
	return *w.Position, nil
}
