// Package settings decodes what a limiter is told at its start: the settings, which the simulator's first message and
// the configuration of a real limiter hold alike (settings.go, wire.go), and that configuration (config.go). Keys keep
// the names of the operators' pages; the Go fields have the terms of the code. Both programs use it, and the
// configuration is read again on SIGHUP.
package settings

import (
	"encoding/json"
	"math"

	"ospreycroft/choice"
)

// maxLease is the wire's own limit on a count's lifetime, nanoseconds.
const maxLease = 60e9

// positionUnset stands for a limiter's position that the settings do not give.
const positionUnset = -1

// polledMode is the word of registry-mode for a discovery that tells only those that ask.
const polledMode = "on_request"

// Settings are the controller's settings and, beside them, what only sockets read. Times are nanoseconds.
type Settings struct {
	*choice.Settings
	IdleClose    int64 // a server closes a connection that has been idle for so long
	PollInterval int64 // the longest time between calls to discovery where it tells only those that ask, else 0
	// how long after notice that it drains a server may still be sent to; 0 where it is not given
	DrainGrace      int64
	LongestDeadline int64   // the longest time that a client gives a request, of all classes; 0 where some class does not tell
	MaxActualUnits  float64 // the most units that an answer can say a request took; 0 where requests tell their own
}

// Decode reads the settings and refuses what cannot work. Errors: *MalformedError, *KeyError.
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

// nanoseconds converts a wire's seconds.
func nanoseconds(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }
