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

// This file plays the experiment's timeline.

// timelineEntry is one thing that the timeline has to do.
type timelineEntry struct {
	at     int64
	action func(now int64)
}

// timeline lists what there is to do, in the order of its times.
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

// playTimeline plays the timeline until stop: every 10 ms whatever has come due.
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
				l.setRefusing(experiment.Counting, wasUp)
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

// setRefusing makes the links to a party that stopped listening setRefusing as well, or take connections again.
func (l *Lab) setRefusing(target string, refusing bool) {
	if err := l.network.SetRefusing(target, refusing); err != nil {
		l.log.Error("link", "error", err)
	}
}

// beginStep plays the begin of a step of a process fault.
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

// endStep plays the end of a step: what was stopped goes on, what was ended starts again.
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

// targetServers are the servers a timeline entry names.
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

// beginFault plays the begin of a fault of a stand-in.
func (l *Lab) beginFault(fault experiment.Fault, now int64) {
	l.log.Info("fault", "kind", fault.Kind, "target", fault.Target, "at_ns", now)
	switch {
	case fault.Kind == "down" && fault.Target == "discovery":
		l.discovery.Down(true)
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
	default: // the emulator or the link plays it; the record shows it
		l.recorder.AddEvent(history.Event{At: now, Kind: fault.Kind, Target: fault.Target, Detail: "begins"})
	}
}

// setLifecycle changes the setLifecycle's entry of a server and writes the change down.
func (l *Lab) setLifecycle(s *emulator.Server, lifecycle, kind string, now int64) {
	generation := l.discovery.Set(l.instance(s, lifecycle))
	l.recorder.AddEvent(history.Event{At: now, Kind: kind, Target: s.Name(), Generation: generation})
}

// replaceServer starts a new, cold server in the place of s, in its pool and zone.
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

// endFault plays the end of a fault of a stand-in.
func (l *Lab) endFault(fault experiment.Fault, now int64) {
	switch {
	case fault.Kind == "gone": // back, cold, at the address it had
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
		l.discovery.Down(false)
		l.recorder.AddEvent(history.Event{At: now, Kind: "discovery-up", Target: "discovery"})
	default:
		l.recorder.AddEvent(history.Event{At: now, Kind: fault.Kind, Target: fault.Target, Detail: "ends"})
	}
}
