// Package settings decodes a limiter's configuration (config.go) and the settings in it (settings.go, wire.go), which
// the simulator's first message contains too. JSON keys have the names of the operators' pages, Go fields have the
// terms of the code. The limiter reads its configuration again on SIGHUP.
package settings

import (
	"encoding/json"
	"math"

	"ospreycroft/choice"
)

// maxLease is the longest lifetime of a name on the shared counter that the protocol allows, in nanoseconds.
const maxLease = 60e9

// positionUnset is the position of a limiter whose settings have none.
const positionUnset = -1

// polledMode is the value of registry-mode if discovery has to be polled.
const polledMode = "on_request"

// Settings are the controller's settings, and those that only the networking code uses. Times are nanoseconds.
type Settings struct {
	*choice.Settings
	IdleClose    int64 // time after which a server closes an idle connection; 0 if not given
	PollInterval int64 // maximum time between polls of discovery; 0 if it pushes changes
	// DrainGrace is how long after the notice that a server drains it may still get requests; 0 if not given.
	DrainGrace      int64
	LongestDeadline int64   // longest request deadline of all classes; 0 if some class has none
	MaxActualUnits  float64 // largest units that a response may report; 0 if requests state their exact units
}

// Decode decodes and checks the settings. Errors: *MalformedError, *KeyError.
func Decode(text []byte) (*Settings, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, &KeyError{Why: "missing"}
	}
	var w wireSettings
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, decodeError(err)
	}
	classes, err := w.classes()
	if err != nil {
		return nil, err
	}
	plans, err := w.plans()
	if err != nil {
		return nil, err
	}
	if err := w.check(); err != nil {
		return nil, err
	}
	position, err := w.position()
	if err != nil {
		return nil, err
	}
	decoded := &Settings{
		Settings: &choice.Settings{
			Classes: classes, Plans: plans, Limiters: w.Limiters, Position: position,
			MaxRequestUnits: w.Family.MaxRequestUnits, MaxLease: maxLease,
			ColdCapacity: w.Contract.ColdCapacity, SlowStartWindow: nanoseconds(w.Contract.SlowStartWindow),
			DialTimeout: nanoseconds(w.Permissions.DialTimeout), MaxAttempts: w.Permissions.MaxAttempts,
			HealthChecks: w.Permissions.HealthChecks, CanCancel: w.Permissions.CanCancel,
			TimerResolution: nanoseconds(w.TimerResolution),
		},
		IdleClose:       nanoseconds(w.Permissions.IdleClose),
		DrainGrace:      nanoseconds(w.Contract.DrainGrace),
		LongestDeadline: w.longestDeadline(),
	}
	if w.Family.HasCounter {
		decoded.CounterTimeout = nanoseconds(w.Family.CounterTimeout)
	}
	if w.Permissions.RetryAfter {
		decoded.MaxRetryAfter = nanoseconds(w.Permissions.MaxRetryAfter)
	}
	if w.Mode == polledMode {
		decoded.PollInterval = nanoseconds(w.Contract.PollInterval)
	}
	if w.Family.UnitsAreEstimates {
		decoded.MaxActualUnits = w.Family.MaxRequestUnits
	}
	return decoded, nil
}

// nanoseconds converts seconds to nanoseconds.
func nanoseconds(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }
