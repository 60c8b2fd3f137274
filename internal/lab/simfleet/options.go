package simfleet

import (
	"ospreycroft/internal/lab/transcript"
	"ospreycroft/internal/limiter"
)

// This file holds what a fleet is made of.

// Options are a fleet. Times are nanoseconds.
type Options struct {
	Seed              uint64
	Limiters          int
	Servers           []ServerSpec
	Settings          map[string]any // in the wire's form, beside the number of limiters; nil for DefaultSettings
	Load              Load
	Mode              Mode
	DiscoveryCallRate float64                 // calls a second that the list service answers, where it is asked
	Operator          limiter.OperatorOptions // what operators state beside the configuration
	NotificationDelay [2]int64                // how long the list takes to an agent: from, to
	OverloadMultiple  float64                 // a cold server falls at so many times what it can do now,
	OverloadWindow    int64                   // in so long
	Grace             int64                   // rule 3
	Broken            []Broken                // limiters' faults on purpose
	// Transcript takes each packet that crosses the network; nil for no record.
	Transcript *transcript.Transcript
}

// Broken is a way in which the limiters of a fleet are broken on purpose, to see a check fail.
type Broken string

// The ways. Some are a wrapper between the reducer and its wires, some are false settings.
const (
	IgnoresDrains Broken = "ignores drains" // it takes servers that drain or are gone for ready
	DropsRenewals Broken = "drops renewals" // it does not send the second call on a watch
	LosesAnswers  Broken = "loses answers"  // one answer in twenty does not go out
	SendsTwice    Broken = "sends twice"    // commands go out twice
	// it takes one that has just started for a large warm one
	OverloadsNewServers    Broken = "overfeeds new servers"
	NoCeiling              Broken = "knows no ceiling"           // it takes plans to have none
	PollsInStep            Broken = "does not know its place"    // all limiters ask the list service in step
	NeedsDiscovery         Broken = "has no list of its own"     // it needs the list service to begin
	EndsAtOnce             Broken = "ends at once"               // on SIGTERM
	IgnoresReload          Broken = "ignores SIGHUP"             // so it does not follow a move
	NeverReusesConnections Broken = "connects anew for each job" // it keeps no connection to a server
	KeepsSilentWatch       Broken = "keeps to a silent watch"    // it opens no other
)

// AllBroken are all of them.
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

// DefaultSettings are a plain deployment's: two zones, three classes of each effect and a counter.
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
