package simfleet

import (
	"math"
	"slices"
)

// This file measures the load on servers that warm up against the bound of rule 4.

// The slack of rule 4 over N, the requests that the settings allow a cold server: N + slackRoot * sqrt(N) + slackFixed.
const (
	slackRoot  = 2.0
	slackFixed = 2.0
)

// ColdLoad is the load on one process of a server, from its start until it is warm or ends.
type ColdLoad struct {
	Server   string
	Started  int64    // the start of the process, nanoseconds of the fleet's clock
	Requests int      // the commands that it received while it was cold
	All      ColdPeak // by the commands of all limiters
	Notified ColdPeak // by the commands of limiters that counted as notified of the start when these arrived
}

// ColdPeak is the worst window of Options.FallWindow: the one with the greatest share of its bound. It is zero where
// no command counted.
type ColdPeak struct {
	At    int64   // the end of the window, the arrival of its last command, nanoseconds of the fleet's clock
	Count int     // commands in the window; each has mean work
	Bound float64 // the most commands that rule 4 allows in a window that ends at At
}

// Margin is how many more commands the window could hold, negative where the rule's bound is passed.
func (p ColdPeak) Margin() float64 { return p.Bound - float64(p.Count) }

// Ratio is the share of the bound that was used, 0 for the zero peak.
func (p ColdPeak) Ratio() float64 {
	if p.Bound == 0 {
		return 0
	}
	return float64(p.Count) / p.Bound
}

// Worse is the one of two peaks that used more of its bound.
func (p ColdPeak) Worse(other ColdPeak) ColdPeak {
	if other.Ratio() > p.Ratio() {
		return other
	}
	return p
}

// ColdLoads measures each process of a server that was started cold so far (Back, Add), in the order of the starts.
func (f *Fleet) ColdLoads() []ColdLoad {
	var loads []ColdLoad
	for i, e := range f.events {
		if e.Kind != "back" {
			continue
		}
		until := e.At + f.settings.SlowStartWindow
		for _, next := range f.events[i+1:] {
			if next.Kind == "back" && next.Target == e.Target {
				until = min(until, next.At)
				break
			}
		}
		loads = append(loads, f.coldLoad(f.serverNamed(e.Target), e.At, until))
	}
	return loads
}

// coldLoad measures one process of a server by the commands that arrived between two moments.
func (f *Fleet) coldLoad(measured *server, started, until int64) ColdLoad {
	load := ColdLoad{Server: measured.spec.Name, Started: started}
	version := f.startVersion(measured.spec.Name, started)
	all := slidingWindow{length: f.options.OverloadWindow}
	notified := slidingWindow{length: f.options.OverloadWindow}
	for _, attempt := range f.attempts {
		if attempt.Server != measured.spec.Name || attempt.At < started || attempt.At >= until {
			continue
		}
		bound := measured.coldBound(attempt.At - started)
		load.Requests++
		load.All = load.All.Worse(ColdPeak{At: attempt.At, Count: all.add(attempt.At), Bound: bound})
		if f.limiterNotifiedAt(attempt.limiter, attempt.At, version) <= attempt.At {
			load.Notified = load.Notified.Worse(ColdPeak{At: attempt.At, Count: notified.add(attempt.At), Bound: bound})
		}
	}
	return load
}

// startVersion is the list's version that first told of a server's start.
func (f *Fleet) startVersion(server string, started int64) int64 {
	startedMs := (epoch + started) / 1e6
	i := slices.IndexFunc(f.discovery.changes, func(c change) bool {
		return c.entry.ID == server && c.entry.StartedMs == startedMs
	})
	if i < 0 {
		return 0
	}
	return f.discovery.changes[i].version
}

// limiterNotifiedAt is when a version counts as notified to the process that a limiter had at a moment, never where it had
// none or the version is 0.
func (f *Fleet) limiterNotifiedAt(limiter int, at, version int64) int64 {
	if version == 0 {
		return never
	}
	for _, inc := range f.limiters[limiter].incarnations {
		if at >= inc.from && at < inc.until {
			return f.notifiedAt(limiter, inc, version)
		}
	}
	return never
}

// coldBound is the most commands that rule 4 allows the server in a window that ends at an age of its process.
func (s *server) coldBound(age int64) float64 {
	o, settings := &s.f.options, s.f.settings
	warmth := settings.ColdCapacity + (1-settings.ColdCapacity)*min(1, float64(age)/float64(settings.SlowStartWindow))
	warmRate := float64(s.spec.Slots) / (float64(s.spec.ServiceTime) / 1e9)
	n := o.OverloadMultiple * warmth * warmRate * float64(o.OverloadWindow) / 1e9
	return n + slackRoot*math.Sqrt(n) + slackFixed
}

// slidingWindow counts what came within its length, up to and with the latest arrival.
type slidingWindow struct {
	length   int64
	arrivals []int64
}

// add takes an arrival, not before the one added last, and gives the count.
func (w *slidingWindow) add(at int64) int {
	w.arrivals = append(w.arrivals, at)
	for w.arrivals[0] <= at-w.length {
		w.arrivals = w.arrivals[1:]
	}
	return len(w.arrivals)
}
