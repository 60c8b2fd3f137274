package runner

import (
	"fmt"
	"sort"
	"strings"
	"syscall"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
)

// This file applies the experiment's timeline of faults.

// timelineEntry is an action that is due at a time, in nanoseconds on the run's clock.
type timelineEntry struct {
	at     int64
	action func(now int64)
}

// timeline returns the begin and the end of every fault, sorted by time. Process faults are split into their steps.
func (l *Lab) timeline(stop chan struct{}) []timelineEntry {
	var entries []timelineEntry
	for i, f := range l.exp.Faults {
		if len(f.Limiters) > 0 && f.Link == nil {
			for _, s := range l.exp.Steps(i) {
				entries = append(entries, timelineEntry{s.At, func(now int64) { l.beginStep(f, s, now, stop) }})
				if s.Until > 0 {
					entries = append(entries, timelineEntry{s.Until, func(now int64) { l.endStep(f, s, now, stop) }})
				}
			}
			continue
		}
		entries = append(entries, timelineEntry{experiment.Nanos(f.From), func(now int64) { l.beginFault(f, now) }})
		if f.Until > 0 {
			entries = append(entries, timelineEntry{experiment.Nanos(f.Until), func(now int64) { l.endFault(f, now) }})
		}
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].at < entries[j].at })
	return entries
}

// playTimeline runs the timeline until stop is closed. Every 10 ms it advances the counter and the links, then runs all
// actions that are due.
func (l *Lab) playTimeline(stop chan struct{}) {
	pending := l.timeline(stop)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := l.clock.Now()
		if l.counter != nil {
			wasUp := l.counter.Up()
			l.counter.Tick(now)
			if l.counter.Up() != wasUp {
				l.setRefusing(experiment.PeerCounter, wasUp)
			}
		}
		if err := l.network.Step(now); err != nil {
			l.log.Error("link", "error", err)
		}
		for len(pending) > 0 && now >= pending[0].at {
			pending[0].action(now)
			pending = pending[1:]
		}
	}
}

// setRefusing makes the links to target, which has stopped or started listening, refuse connections or accept them
// again.
func (l *Lab) setRefusing(target string, refusing bool) {
	if err := l.network.SetRefusing(target, refusing); err != nil {
		l.log.Error("link", "error", err)
	}
}

// beginStep applies a step of a process fault by sending the signal to each of its limiters.
func (l *Lab) beginStep(fault experiment.Fault, step experiment.Step, now int64, stop chan struct{}) {
	l.log.Info("fault", "kind", fault.Kind, "limiters", len(step.Limiters), "at_ns", now)
	for _, n := range step.Limiters {
		lim, event := l.limiters[n], history.Event{At: now, Kind: fault.Kind, Target: targetOf(n)}
		switch {
		case fault.Kind == "term":
			l.terminate(lim, stop)
		case fault.Kind == "hup":
			l.sendSignal(lim, syscall.SIGHUP)
		case fault.Kind == "usr1":
			l.sendSignal(lim, syscall.SIGUSR1)
		case fault.Kind == "kill" && l.transitionAndSignal(lim, killEvent, syscall.SIGKILL),
			fault.Kind == "stop" && l.transitionAndSignal(lim, stopEvent, syscall.SIGSTOP):
			l.recorder.AddEvent(event)
		}
	}
}

// endStep ends a step: it resumes stopped processes and restarts the others.
func (l *Lab) endStep(fault experiment.Fault, step experiment.Step, now int64, stop chan struct{}) {
	for _, n := range step.Limiters {
		lim := l.limiters[n]
		if fault.Kind == "stop" {
			if l.transitionAndSignal(lim, continueEvent, syscall.SIGCONT) {
				l.recorder.AddEvent(history.Event{At: now, Kind: "continue", Target: targetOf(n)})
			}
			continue
		}
		l.runTask(func() { l.restart(lim, time.Duration(experiment.Nanos(fault.Delay)), fault.OldList, stop) })
	}
}

// targetServers returns the servers named by target, which is "server:NAME" or "pool:NAME".
func (l *Lab) targetServers(target string) []*emulator.Server {
	kind, name, _ := strings.Cut(target, ":")
	var matching []*emulator.Server
	for _, s := range l.servers {
		if kind == "server" && s.Name() == name || kind == "pool" && strings.HasPrefix(s.Name(), name+"-") {
			matching = append(matching, s)
		}
	}
	return matching
}

// beginFault begins a fault of an emulated party. Faults of the emulator's own kinds and of links are only recorded
// here.
func (l *Lab) beginFault(fault experiment.Fault, now int64) {
	l.log.Info("fault", "kind", fault.Kind, "target", fault.Target, "at_ns", now)
	switch {
	case fault.Kind == "down" && fault.Target == "discovery":
		l.discovery.SetDown(true)
		l.recorder.AddEvent(history.Event{At: now, Kind: "discovery-down", Target: "discovery"})
	case fault.Kind == "drain" || fault.Kind == "gone" || fault.Kind == "replace":
		for _, s := range l.targetServers(fault.Target) {
			if fault.Kind == "drain" {
				l.setLifecycle(s, "terminating", "drain", now)
				continue
			}
			l.setLifecycle(s, "terminated", "gone", now)
			s.Stop()
			l.setRefusing(s.Name(), true)
			if fault.Kind == "replace" {
				l.replaceServer(s)
			}
		}
	default: // the emulator or the link applies it by its own script
		l.recorder.AddEvent(history.Event{At: now, Kind: fault.Kind, Target: fault.Target, Detail: "begins"})
	}
}

// setLifecycle changes the lifecycle of a server in the endpoint list and records the change as an event of the given
// kind.
func (l *Lab) setLifecycle(s *emulator.Server, lifecycle, kind string, now int64) {
	generation := l.discovery.Set(l.instance(s, lifecycle))
	l.recorder.AddEvent(history.Event{At: now, Kind: kind, Target: s.Name(), Generation: generation})
}

// replaceServer adds a new, cold server to the pool and zone of s.
func (l *Lab) replaceServer(s *emulator.Server) {
	poolName, _, _ := strings.Cut(s.Name(), "-")
	for _, pool := range l.exp.Servers {
		if pool.Name == poolName {
			l.replacements++
			if err := l.addServer(pool, fmt.Sprintf("%s-r%d", pool.Name, l.replacements), nil, false); err != nil {
				l.log.Error("replace", "server", s.Name(), "error", err)
			}
		}
	}
}

// endFault ends a fault of an emulated party.
func (l *Lab) endFault(fault experiment.Fault, now int64) {
	switch {
	case fault.Kind == "gone": // the server comes back cold at its previous address
		for _, s := range l.targetServers(fault.Target) {
			if err := s.Start(); err != nil {
				l.log.Error("back", "server", s.Name(), "error", err)
				continue
			}
			l.setRefusing(s.Name(), false)
			l.setLifecycle(s, "in_service", "back", now)
		}
	case fault.Kind == "drain":
		for _, s := range l.targetServers(fault.Target) {
			l.setLifecycle(s, "in_service", "back", now)
		}
	case fault.Kind == "down" && fault.Target == "discovery":
		l.discovery.SetDown(false)
		l.recorder.AddEvent(history.Event{At: now, Kind: "discovery-up", Target: "discovery"})
	default:
		l.recorder.AddEvent(history.Event{At: now, Kind: fault.Kind, Target: fault.Target, Detail: "ends"})
	}
}
