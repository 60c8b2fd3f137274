package simfleet

import (
	"encoding/json"
	"fmt"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
)

// notifiedAt returns when a version of the endpoint list counts as notified to one process of a limiter, never if it
// does not.
//
// A version counts when it is delivered on a watch, if it has not counted before. In mode Pushed it counts from the
// moment the agent has it, or from the start of the process if that is later. In both modes a change that a silent
// watch misses counts at a fixed time, whether or not it arrived: 6 s after the watch fell silent or 2 s after the hold
// time of its poll, whichever is later. A paused process is notified when it resumes.
func (f *Fleet) notifiedAt(n int, inc *incarnation, version int64) int64 {
	notified := min(firstReached(inc.delivered, version), f.assumedNotifiedAt(n, inc, version))
	return skipSpans(notified, inc.pauses)
}

// firstReached returns when a version or a newer one was first reached.
func firstReached(marks []versionMark, version int64) int64 {
	for _, m := range marks {
		if m.version >= version {
			return m.at
		}
	}
	return never
}

// assumedNotifiedAt returns when a version counts as notified even if it was not delivered. In mode Polled that is the
// end of a silent watch's delay, or four poll intervals after the change.
func (f *Fleet) assumedNotifiedAt(n int, inc *incarnation, version int64) int64 {
	if f.options.Mode == Pushed {
		return skipSpans(max(firstReached(f.limiters[n].agentVersions, version), inc.from),
			inc.watchSilences, inc.discoveryOutages)
	}
	if version <= firstVersion || version > f.discovery.version() {
		return never
	}
	listed := f.discovery.changes[version-firstVersion-1].at
	at := max(listed, inc.from) + 4*f.settings.PollInterval // no poll was answered for this long
	for _, s := range inc.watchSilences {
		if listed < s.until {
			at = min(at, max(listed, s.until))
		}
	}
	return skipSpans(at, inc.discoveryOutages)
}

// skipSpans moves a time that falls into an excluded span to the end of that span.
func skipSpans(at int64, excluded ...[]span) int64 {
	for moved := true; moved && at < never; {
		moved = false
		for _, spans := range excluded {
			for _, s := range spans {
				if at >= s.from && at < s.until {
					at = s.until
					moved = true
				}
			}
		}
	}
	return at
}

// currentNotifiedAt is notifiedAt for the current process of a limiter.
func (f *Fleet) currentNotifiedAt(n int, version int64) int64 {
	if p := f.limiters[n].process; p != nil {
		return f.notifiedAt(n, p.incarnation, version)
	}
	return never
}

// MissedChange is a change of the endpoint list that a process missed on a silent watch.
type MissedChange struct {
	Limiter   int
	Server    string
	Notified  int64 // when the change counted as notified
	Delivered int64 // when the discovery service delivered it on a new watch; far in the future if it never did
}

// Result is the outcome of a run.
type Result struct {
	Run     *history.Run
	Verdict *invariants.Verdict
	Faults  []history.Event // crashes, and bytes that violate a protocol
	// DiscoveryCalls are the polls that reached the discovery service, by second; empty in mode Pushed, where
	// agents answer.
	DiscoveryCalls []int
	ThrottledCalls []int // polls that the discovery service rejected, by second
	// Handshakes are the connections that each server accepted, by second.
	Handshakes      map[string][]int
	OverloadCrashes int            // crashes of cold servers from overload, whether or not the limiters were at fault
	Missed          []MissedChange // drains and removals that were missed on silent watches
	Unserved        int            // requests for which no limiter was ready
	Steps           int64          // events that the queue has run
}

// Finish runs the fleet until the last requests have ended, and judges the run.
func (f *Fleet) Finish() *Result {
	f.Run(max(f.q.now, f.options.Load.Until) + f.longestDeadline + 2*lateAnswerWindow)
	attempts := make([]history.Attempt, len(f.attempts))
	terms := invariants.Tolerances{Late: 50e6, Grace: f.options.Grace, Slack: 150e6}
	for i, s := range f.attempts {
		// An attempt that a network fault held up is judged by when it was sent, since a limiter cannot take it back.
		attempts[i] = s.Attempt
		if s.At > s.sent+terms.Late {
			attempts[i].At = s.sent
		}
	}
	verdict := invariants.Judge(f.requests, attempts, f.outageEvents(), f.settings, terms)
	f.judgeDrains(verdict, terms)
	verdict.Pass = verdict.Pass && verdict.Counts[3] == 0
	r := &Result{
		Verdict:         verdict,
		Faults:          f.faults,
		DiscoveryCalls:  f.discovery.calls,
		ThrottledCalls:  f.discovery.throttled,
		OverloadCrashes: f.overloadCrashes,
		Unserved:        f.clients.unserved,
		Steps:           f.q.steps,
		Missed:          f.missedChanges(),
		Handshakes:      map[string][]int{},
	}
	for _, s := range f.servers {
		r.Handshakes[s.spec.Name] = s.handshakes
	}
	r.Run = &history.Run{
		Name:     "simfleet",
		Seed:     f.options.Seed,
		Length:   f.q.now,
		Limiters: f.options.Limiters,
		Requests: f.requests,
		Events:   f.events,
	}
	for _, s := range f.attempts {
		r.Run.Attempts = append(r.Run.Attempts, s.Attempt)
	}
	r.Run.Settings, _ = json.Marshal(f.options.Settings)
	r.Run.Verdict, _ = json.Marshal(verdict)
	return r
}

// outageEvents returns the kills and restarts of limiters for the judge of the rules, so that requests which a process
// leaves unanswered because it is dead or paused do not count as its violations.
func (f *Fleet) outageEvents() []history.Event {
	var out []history.Event
	down := map[string]bool{}
	for _, e := range f.events {
		switch e.Kind {
		case "kill", "stop", "crash":
			if !down[e.Target] {
				down[e.Target] = true
				out = append(out, history.Event{At: e.At, Kind: "kill", Target: e.Target})
			}
		case "start", "continue":
			if down[e.Target] {
				down[e.Target] = false
				out = append(out, history.Event{At: e.At, Kind: "restart", Target: e.Target})
			}
		}
	}
	return out
}

// judgeDrains judges rule 3 for each process of each limiter and adds what it finds to the verdict. An attempt is
// judged by when it was sent and by when that process was notified of the drain.
func (f *Fleet) judgeDrains(v *invariants.Verdict, terms invariants.Tolerances) {
	if len(f.drains) == 0 {
		return
	}
	processName := func(server string, incarnation int) string { return fmt.Sprintf("%s#%d", server, incarnation) }
	drained := map[string]bool{}
	for _, d := range f.drains {
		drained[processName(d.server, d.incarnation)] = true
	}
	byLimiter := make([][]history.Attempt, len(f.limiters))
	for _, s := range f.attempts {
		if server := processName(s.Server, s.incarnation); drained[server] {
			attempt := s.Attempt
			attempt.Server = server
			attempt.At = s.sent
			byLimiter[s.limiter] = append(byLimiter[s.limiter], attempt)
		}
	}
	for _, target := range f.limiters {
		for _, inc := range target.incarnations {
			var events []history.Event
			for _, d := range f.drains {
				if notified := f.notifiedAt(target.index, inc, d.version); notified < inc.until {
					events = append(events, history.Event{At: notified, Kind: "drain",
						Target: processName(d.server, d.incarnation)})
				}
			}
			var attempts []history.Attempt
			for _, s := range byLimiter[target.index] {
				if s.At >= inc.from && s.At < inc.until {
					attempts = append(attempts, s)
				}
			}
			found := invariants.Judge(nil, attempts, events, f.settings, terms)
			v.Counts[3] += found.Counts[3]
			for _, b := range found.Breaches {
				if b.Rule == 3 {
					b.Detail += fmt.Sprintf(", by limiter %d", target.index)
					v.Breaches = append(v.Breaches, b)
				}
			}
		}
	}
}

// missedChanges lists the drains and removals that processes missed on silent watches.
func (f *Fleet) missedChanges() []MissedChange {
	var out []MissedChange
	for _, target := range f.limiters {
		for _, inc := range target.incarnations {
			for _, d := range f.drains {
				listed := f.discovery.changes[d.version-firstVersion-1].at
				if f.options.Mode == Pushed {
					listed = firstReached(target.agentVersions, d.version)
				}
				for _, s := range inc.watchSilences {
					if notified := f.assumedNotifiedAt(target.index, inc, d.version); listed >= s.from &&
						listed < s.until && notified < inc.until {
						out = append(out, MissedChange{target.index, d.server, notified,
							firstReached(inc.delivered, d.version)})
					}
				}
			}
		}
	}
	return out
}
