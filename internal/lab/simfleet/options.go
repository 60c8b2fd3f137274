package simfleet

import (
	"ospreycroft/internal/lab/transcript"
	"ospreycroft/internal/limiter"
)

// This file defines the options of a fleet.

// Options configure a fleet. Times are in nanoseconds.
type Options struct {
	Seed     uint64
	Limiters int
	Servers  []ServerSpec
	// Settings are encoded as in a configuration. New sets the number of limiters and the registry mode; nil
	// for DefaultSettings.
	Settings map[string]any
	Load     Load
	Mode     Mode
	// DiscoveryCallRate is how many polls per second the discovery service answers in mode Polled; 0 for 1e9, which is
	// no limit in practice.
	DiscoveryCallRate float64
	Operator          limiter.OperatorOptions // what operators set besides the configuration
	// NotificationDelay is the minimum and maximum delay of a change of the list on its way to an agent.
	NotificationDelay [2]int64
	// OverloadMultiple is the multiple of its current capacity above which a cold server crashes; 0 for 3 and a
	// window of 1.5 s.
	OverloadMultiple float64
	OverloadWindow   int64    // over which the load on a cold server is counted
	Grace            int64    // invariants.Tolerances.Grace, for rule 3; 0 for 0.3 s
	Broken           []Broken // the ways in which the limiters are broken on purpose
	// Transcript records each packet that crosses the network; nil for no record.
	Transcript *transcript.Transcript
}

// Broken is a way in which the limiters of a fleet are broken on purpose, to test that a check fails.
type Broken string

// The ways. Some are implemented by a wrapper between the reducer and the network, some by wrong settings.
const (
	IgnoresDrains Broken = "ignores drains" // treats draining and removed servers as in service
	DropsRenewals Broken = "drops renewals" // drops all polls but the first on a watch
	LosesAnswers  Broken = "loses answers"  // drops one answer to a client in 20
	SendsTwice    Broken = "sends twice"    // sends commands to servers twice
	// Treats a server that has just started as warm and gives it a high weight.
	OverloadsNewServers Broken = "overfeeds new servers"
	NoCeiling           Broken = "knows no ceiling" // drops the ceilings of all plans
	// All limiters poll the discovery service at the same time.
	PollsInStep    Broken = "does not know its place"
	NeedsDiscovery Broken = "has no list of its own" // cannot start without the discovery service
	EndsAtOnce     Broken = "ends at once"           // exits at once on SIGTERM
	IgnoresReload  Broken = "ignores SIGHUP"         // keeps the old addresses
	// Opens a new connection to a server for each request.
	NeverReusesConnections Broken = "connects anew for each job"
	KeepsSilentWatch       Broken = "keeps to a silent watch" // opens no new watch when one falls silent
)

// AllBroken lists all ways.
var AllBroken = []Broken{
	IgnoresDrains,
	DropsRenewals,
	LosesAnswers,
	SendsTwice,
	OverloadsNewServers,
	NoCeiling,
	PollsInStep,
	NeedsDiscovery,
	EndsAtOnce,
	IgnoresReload,
	NeverReusesConnections,
	KeepsSilentWatch,
}

// DefaultSettings returns the settings of a typical deployment: three classes, one of each kind of idempotency, two
// plans and a shared counter. Keys are deduplicated by zone.
func DefaultSettings() map[string]any {
	return map[string]any{
		"granularity": 0.004,
		"classes": []any{
			map[string]any{"name": "fetch", "aim": 0.8, "effect": "free", "group": "all"},
			map[string]any{"name": "stamp", "aim": 1.0, "effect": "guarded", "group": "zone", "dedup-window": 10.0},
			map[string]any{"name": "order", "aim": 2.0, "effect": "single_shot", "group": "all"},
		},
		"tariffs": []any{
			map[string]any{
				"name":             "house",
				"rate":             60.0,
				"most-at-once":     120.0,
				"value-factor":     1.5,
				"beyond-costs":     0.5,
				"hard-rate":        90.0,
				"never-over-depth": 150.0,
			},
			map[string]any{
				"name":         "team",
				"rate":         40.0,
				"most-at-once": 80.0,
				"value-factor": 1.0,
				"beyond-costs": 0.5,
			},
		},
		"family-info": map[string]any{"has-counter": true, "count-wait": 0.05, "units-top": 6},
		"contract":    map[string]any{"cold-from": 0.25, "warm-within": 15.0, "ask-every": 10.0},
		"permissions": map[string]any{"attempts-cap": 3, "cancelling": true, "dial-timeout": 0.25, "idle-close": 15.0,
			"max-retry-after": 2.0, "probes": false, "retry-after": true},
	}
}
