package simfleet

import (
	"math"
	"slices"
)

// This file compares the load on servers that are warming up with the bound of rule 4.

// The slack of rule 4. With N the requests that the settings allow a cold server in a window, the bound is N +
// slackRoot * sqrt(N) + slackFixed.
const (
	slackRoot  = 2.0
	slackFixed = 2.0
)

// ColdLoad is the load on one process of a server while it is cold: from its start until it is warm or ends.
type ColdLoad struct {
	Server   string
	Started  int64    // the start of the process, in nanoseconds of the fleet's clock
	Requests int      // the commands that it received while it was cold
	All      ColdPeak // over the commands of all limiters
	Notified ColdPeak // over the commands of limiters that counted as notified of the start when the commands arrived
}

// ColdPeak is the window of length Options.OverloadWindow whose commands used the greatest share of the bound. The zero
// value means that there were no commands.
type ColdPeak struct {
	// At is the end of the window, which is the arrival of its last command, in nanoseconds of the fleet's clock.
	At    int64
	Count int     // commands in the window; each has mean work
	Bound float64 // the most commands that rule 4 allows in a window that ends at At
}

// Margin returns how many more commands the window could hold; it is negative if the bound of rule 4 was exceeded.
func (p ColdPeak) Margin() float64 { return p.Bound - float64(p.Count) }

// Ratio returns the share of the bound that was used, 0 for the zero value.
func (p ColdPeak) Ratio() float64 {
	if p.Bound == 0 {
		return 0
	}
	return float64(p.Count) / p.Bound
}

// Worse returns the peak that used more of its bound.
func (p ColdPeak) Worse(other ColdPeak) ColdPeak {
	if other.Ratio() > p.Ratio() {
		return other
	}
	return p
}

// ColdLoads measures each cold start of a server so far (RestartServer, AddServer), in the order of the starts.
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

// coldLoad measures one process of a server by the commands that arrived in the period [started, until).
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

// startVersion returns the version of the endpoint list that announced the start of a server, 0 if there is none.
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

// limiterNotifiedAt returns when a version counts as notified to the process that a limiter had at the given time. It
// returns never if the limiter had no process or the version is 0.
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

// coldBound returns the most commands that rule 4 allows the server in a window that ends when its process has the
// given age, in nanoseconds.
func (s *server) coldBound(age int64) float64 {
	o, settings := &s.f.options, s.f.settings
	warmth := settings.ColdCapacity + (1-settings.ColdCapacity)*min(1, float64(age)/float64(settings.SlowStartWindow))
	warmRate := float64(s.spec.Slots) / (float64(s.spec.ServiceTime) / 1e9)
	n := o.OverloadMultiple * warmth * warmRate * float64(o.OverloadWindow) / 1e9
	return n + slackRoot*math.Sqrt(n) + slackFixed
}

// slidingWindow counts the arrivals within its length before the latest arrival, which it includes.
type slidingWindow struct {
	length   int64
	arrivals []int64
}

// add records an arrival, which must not be earlier than the previous one, and returns the count of the window.
func (w *slidingWindow) add(at int64) int {
	w.arrivals = append(w.arrivals, at)
	for w.arrivals[0] <= at-w.length {
		w.arrivals = w.arrivals[1:]
	}
	return len(w.arrivals)
}
