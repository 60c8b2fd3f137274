package simfleet

import (
	"encoding/json"
	"fmt"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
)

// toldAt is when a version of the list counts as told to one process of a limiter; never where it does not.
//
// Where lists are pushed, what the agent has counts from the moment it has it, or from the start of the process. Where
// they are asked for, what the service has written counts. In both a watch that has fallen silent is one clock: what
// it misses counts as told 6 s after that, for a call that may wait 2 s after the wait is over if that is later,
// whether or not it arrived. A process that is stopped is told when it goes on.
func (f *Fleet) toldAt(n int, l *life, version int64) int64 {
	told := min(firstAt(l.handed, version), f.counted(n, l, version))
	return after(told, l.stops)
}

// firstAt is when a version or a newer one first came.
func firstAt(marks []mark, version int64) int64 {
	for _, m := range marks {
		if m.version >= version {
			return m.at
		}
	}
	return never
}

// counted is when a version counts as told whether it was handed over or not.
func (f *Fleet) counted(n int, l *life, version int64) int64 {
	if f.o.Mode == Pushed {
		return after(max(firstAt(f.limiters[n].had, version), l.from), l.silences, l.others)
	}
	if version <= firstVersion || version > f.lists.version() {
		return never
	}
	listed := f.lists.changes[version-firstVersion-1].at
	at := max(listed, l.from) + 4*f.set.PollInterval // where no call was answered for so long
	for _, s := range l.silences {
		if listed < s.until {
			at = min(at, max(listed, s.until))
		}
	}
	return after(at, l.others)
}

// after moves a time that falls into one of some spans to its end.
func after(at int64, of ...[]span) int64 {
	for moved := true; moved && at < never; {
		moved = false
		for _, spans := range of {
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

// counts is toldAt for a limiter's present process.
func (f *Fleet) counts(n int, version int64) int64 {
	if p := f.limiters[n].p; p != nil {
		return f.toldAt(n, p.life, version)
	}
	return never
}

// MissedChange is a change of the list that a process missed on a watch that had fallen silent.
type MissedChange struct {
	Limiter   int
	Server    string
	Notified  int64 // when it counted as told
	Delivered int64 // when the list service handed it over on a new watch; far in the future where it never did
}

// Result is what a run leaves.
type Result struct {
	Run            *history.Run
	Verdict        *invariants.Verdict
	Faults         []history.Event // crashes, and bytes that no wire allows
	DiscoveryCalls []int           // calls that reached the list service, by second; none where an agent answers
	ThrottledCalls []int           // those of them that it turned away
	// Handshakes are the connections that each server took, by second.
	Handshakes      map[string][]int
	OverloadCrashes int            // of cold servers, whoever was to blame
	Missed          []MissedChange // what silent watches missed
	Unserved        int            // requests that found no limiter that was in
	Steps           int64          // events of the queue
}

// Finish lets the last requests end and judges the run.
func (f *Fleet) Finish() *Result {
	f.Run(max(f.q.now, f.o.Load.Until) + f.longest + 2*late)
	shots := make([]history.Attempt, len(f.attempts))
	terms := invariants.Terms{Late: 50e6, Grace: f.o.Grace, Slack: 150e6}
	for i, s := range f.attempts {
		// What a fault of the network held up is judged by when it was sent: a limiter cannot take it back.
		shots[i] = s.Attempt
		if s.At > s.sent+terms.Late {
			shots[i].At = s.sent
		}
	}
	verdict := invariants.Judge(f.requests, shots, f.judged(), f.set, terms)
	f.judgeDrains(verdict, terms)
	verdict.Pass = verdict.Pass && verdict.Counts[3] == 0
	r := &Result{
		Verdict:         verdict,
		Faults:          f.faults,
		DiscoveryCalls:  f.lists.calls,
		ThrottledCalls:  f.lists.turned,
		OverloadCrashes: f.falls,
		Unserved:        f.clients.unserved,
		Steps:           f.q.steps,
		Missed:          f.missed(),
		Handshakes:      map[string][]int{},
	}
	for _, s := range f.servers {
		r.Handshakes[s.spec.Name] = s.dialled
	}
	r.Run = &history.Run{
		Name:     "simfleet",
		Seed:     f.o.Seed,
		Length:   f.q.now,
		Limiters: f.o.Limiters,
		Requests: f.requests,
		Events:   f.events,
	}
	for _, s := range f.attempts {
		r.Run.Attempts = append(r.Run.Attempts, s.Attempt)
	}
	r.Run.Settings, _ = json.Marshal(f.o.Settings)
	r.Run.Verdict, _ = json.Marshal(verdict)
	return r
}

// judged are the events that the judge of the rules takes: what a process that is dead or stopped does not answer is
// not its fault.
func (f *Fleet) judged() []history.Event {
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

// judgeDrains judges rule 3 for each process of each limiter by its own clock of what it was told, and by when attempts
// were sent, and adds what it finds.
func (f *Fleet) judgeDrains(v *invariants.Verdict, terms invariants.Terms) {
	if len(f.drains) == 0 {
		return
	}
	name := func(server string, life int) string { return fmt.Sprintf("%s#%d", server, life) }
	at := map[string]bool{}
	for _, d := range f.drains {
		at[name(d.server, d.life)] = true
	}
	byLimiter := make([][]history.Attempt, len(f.limiters))
	for _, s := range f.attempts {
		if server := name(s.Server, s.life); at[server] {
			shot := s.Attempt
			shot.Server = server
			shot.At = s.sent
			byLimiter[s.limiter] = append(byLimiter[s.limiter], shot)
		}
	}
	for _, m := range f.limiters {
		for _, l := range m.lives {
			var events []history.Event
			for _, d := range f.drains {
				if told := f.toldAt(m.n, l, d.version); told < l.until {
					events = append(events, history.Event{At: told, Kind: "drain", Target: name(d.server, d.life)})
				}
			}
			var shots []history.Attempt
			for _, s := range byLimiter[m.n] {
				if s.At >= l.from && s.At < l.until {
					shots = append(shots, s)
				}
			}
			found := invariants.Judge(nil, shots, events, f.set, terms)
			v.Counts[3] += found.Counts[3]
			for _, b := range found.Breaches {
				if b.Rule == 3 {
					b.Detail += fmt.Sprintf(", by limiter %d", m.n)
					v.Breaches = append(v.Breaches, b)
				}
			}
		}
	}
}

// missed lists the drains that processes missed on watches that had fallen silent.
func (f *Fleet) missed() []MissedChange {
	var out []MissedChange
	for _, m := range f.limiters {
		for _, l := range m.lives {
			for _, d := range f.drains {
				came := f.lists.changes[d.version-firstVersion-1].at
				if f.o.Mode == Pushed {
					came = firstAt(m.had, d.version)
				}
				for _, s := range l.silences {
					if told := f.counted(m.n, l, d.version); came >= s.from && came < s.until && told < l.until {
						out = append(out, MissedChange{m.n, d.server, told, firstAt(l.handed, d.version)})
					}
				}
			}
		}
	}
	return out
}
