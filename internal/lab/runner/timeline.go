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
	at int64
	do func(now int64)
}

// timeline lists what there is to do, in the order of its times.
func (l *Lab) timeline(stop chan struct{}) []timelineEntry {
	var out []timelineEntry
	for i, f := range l.e.Faults {
		if len(f.Limiters) > 0 && f.Link == nil {
			for _, s := range l.e.Steps(i) {
				out = append(out, timelineEntry{s.At, func(now int64) { l.beginStep(f, s, now, stop) }})
				if s.Until > 0 {
					out = append(out, timelineEntry{s.Until, func(now int64) { l.endStep(f, s, now, stop) }})
				}
			}
			continue
		}
		out = append(out, timelineEntry{experiment.Nanos(f.From), func(now int64) { l.beginFault(f, now) }})
		if f.Until > 0 {
			out = append(out, timelineEntry{experiment.Nanos(f.Until), func(now int64) { l.endFault(f, now) }})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// play plays the timeline until stop: every 10 ms whatever has come due.
func (l *Lab) play(stop chan struct{}) {
	todo := l.timeline(stop)
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
			was := l.counter.Up()
			l.counter.Tick(now)
			if l.counter.Up() != was {
				l.refuse(experiment.Counting, was)
			}
		}
		if err := l.net.Step(now); err != nil {
			l.log.Error("link", "error", err)
		}
		for len(todo) > 0 && now >= todo[0].at {
			todo[0].do(now)
			todo = todo[1:]
		}
	}
}

// refuse makes the links to a party that stopped listening refuse as well, or take connections again.
func (l *Lab) refuse(far string, on bool) {
	if err := l.net.SetRefusing(far, on); err != nil {
		l.log.Error("link", "error", err)
	}
}

// beginStep plays the begin of a step of a process fault.
func (l *Lab) beginStep(f experiment.Fault, s experiment.Step, now int64, stop chan struct{}) {
	l.log.Info("fault", "kind", f.Kind, "limiters", len(s.Limiters), "at_ns", now)
	for _, n := range s.Limiters {
		lim, event := l.limiters[n], history.Event{At: now, Kind: f.Kind, Target: party(n)}
		switch {
		case f.Kind == "term":
			l.term(lim, stop)
		case f.Kind == "hup":
			l.sendSignal(lim, syscall.SIGHUP)
		case f.Kind == "usr1":
			l.sendSignal(lim, syscall.SIGUSR1)
		case f.Kind == "kill" && l.signal(lim, shot, syscall.SIGKILL),
			f.Kind == "stop" && l.signal(lim, stopped, syscall.SIGSTOP):
			l.book.AddEvent(event)
		}
	}
}

// endStep plays the end of a step: what was stopped goes on, what was ended starts again.
func (l *Lab) endStep(f experiment.Fault, s experiment.Step, now int64, stop chan struct{}) {
	for _, n := range s.Limiters {
		lim := l.limiters[n]
		if f.Kind == "stop" {
			if l.signal(lim, continued, syscall.SIGCONT) {
				l.book.AddEvent(history.Event{At: now, Kind: "continue", Target: party(n)})
			}
			continue
		}
		l.task(func() { l.restart(lim, time.Duration(experiment.Nanos(f.Delay)), f.OldList, stop) })
	}
}

// targets are the servers a timeline entry names.
func (l *Lab) targets(target string) []*emulator.Server {
	kind, name, _ := strings.Cut(target, ":")
	var out []*emulator.Server
	for _, s := range l.servers {
		if kind == "server" && s.Name() == name || kind == "pool" && strings.HasPrefix(s.Name(), name+"-") {
			out = append(out, s)
		}
	}
	return out
}

// beginFault plays the begin of a fault of a stand-in.
func (l *Lab) beginFault(f experiment.Fault, now int64) {
	l.log.Info("fault", "kind", f.Kind, "target", f.Target, "at_ns", now)
	switch {
	case f.Kind == "down" && f.Target == "discovery":
		l.discovery.Down(true)
		l.book.AddEvent(history.Event{At: now, Kind: "discovery-down", Target: "discovery"})
	case f.Kind == "drain" || f.Kind == "gone" || f.Kind == "replace":
		for _, s := range l.targets(f.Target) {
			if f.Kind == "drain" {
				l.list(s, "terminating", "drain", now)
				continue
			}
			l.list(s, "terminated", "gone", now)
			s.Stop()
			l.refuse(s.Name(), true)
			if f.Kind == "replace" {
				l.replace(s)
			}
		}
	default: // the emulator or the link plays it; the record shows it
		l.book.AddEvent(history.Event{At: now, Kind: f.Kind, Target: f.Target, Detail: "begins"})
	}
}

// list changes the list's entry of a server and writes the change down.
func (l *Lab) list(s *emulator.Server, lifecycle, kind string, now int64) {
	generation := l.discovery.Set(l.instance(s, lifecycle))
	l.book.AddEvent(history.Event{At: now, Kind: kind, Target: s.Name(), Generation: generation})
}

// replace starts a new, cold server in the place of s, in its pool and zone.
func (l *Lab) replace(s *emulator.Server) {
	name, _, _ := strings.Cut(s.Name(), "-")
	for _, p := range l.e.Servers {
		if p.Name == name {
			l.replaced++
			if err := l.addServer(p, fmt.Sprintf("%s-r%d", p.Name, l.replaced), nil, false); err != nil {
				l.log.Error("replace", "server", s.Name(), "error", err)
			}
		}
	}
}

// endFault plays the end of a fault of a stand-in.
func (l *Lab) endFault(f experiment.Fault, now int64) {
	switch {
	case f.Kind == "gone": // back, cold, at the address it had
		for _, s := range l.targets(f.Target) {
			if err := s.Start(); err != nil {
				l.log.Error("back", "server", s.Name(), "error", err)
				continue
			}
			l.refuse(s.Name(), false)
			l.list(s, "in_service", "back", now)
		}
	case f.Kind == "drain":
		for _, s := range l.targets(f.Target) {
			l.list(s, "in_service", "back", now)
		}
	case f.Kind == "down" && f.Target == "discovery":
		l.discovery.Down(false)
		l.book.AddEvent(history.Event{At: now, Kind: "discovery-up", Target: "discovery"})
	default:
		l.book.AddEvent(history.Event{At: now, Kind: f.Kind, Target: f.Target, Detail: "ends"})
	}
}
