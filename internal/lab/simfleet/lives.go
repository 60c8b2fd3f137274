package simfleet

import (
	"encoding/json"
	"fmt"
	"slices"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// This file starts, stops and signals limiters.

// member is a limiter's place in the fleet, through all its lives.
type member struct {
	n       int
	host    *host
	list    string // the list service's address in its configuration
	counter string
	known   json.RawMessage // and its list
	had     []mark          // what its agent has had
	p       *process
	lives   []*life
}

type mark struct{ version, at int64 }

type span struct{ from, until int64 }

// life is one process of a limiter, as the list service saw it.
type life struct {
	from, until int64
	stops       []span // in which it was stopped
	silences    []span // of its watches, up to when what they miss counts as told
	others      []span // in which nothing counts: the service was down or has been moved
	handed      []mark // what it was handed
}

// limiterAt is the number of the limiter at a host, and its process.
func (f *Fleet) limiterAt(h *host) (int, *process) {
	n, is := f.byHost[h]
	if !is {
		return -1, nil
	}
	return n, f.limiters[n].p
}

// arrived notes what a limiter's agent has.
func (f *Fleet) arrived(n int, version int64) {
	m := f.limiters[n]
	m.had = append(m.had, mark{version, f.q.now})
}

// StartLimiter starts a limiter with the list of its configuration, which may be old.
func (f *Fleet) StartLimiter(n int) {
	m := f.limiters[n]
	if m.p != nil {
		return
	}
	set, known := f.settingsOf(n), m.known
	if f.is(NeedsDiscovery) {
		known = nil
	}
	p := &process{f: f, n: n, host: m.host, sides: map[limiter.ConnID]*side{}, life: &life{from: f.q.now, until: never}}
	p.config = &settings.Config{Name: fmt.Sprintf("n%d", n), Listen: m.host.name, Discovery: m.list, Counter: m.counter,
		Seed: int64(f.rng.Uint64() >> 1), Memory: 192 << 20, Sockets: 1024, Known: known, Settings: set}
	m.p, m.lives = p, append(m.lives, p.life)
	if f.lists.down {
		p.life.others = append(p.life.others, span{f.q.now, never})
	}
	m.host.party = p
	m.host.vanished = false
	f.event("start", m.host.name, "")
	l, err := limiter.NewWithOptions(p.clock(), p.config, f.o.Operator, p)
	if err != nil {
		f.crash(p, err.Error())
		return
	}
	p.l = l
	p.arm()
	f.clients.started(n)
}

// end takes a process away; nothing of it is left.
func (f *Fleet) end(p *process, kind, detail string) {
	m := f.limiters[p.n]
	p.dead = true
	p.life.until = f.q.now
	m.p = nil
	f.event(kind, m.host.name, detail)
	f.net.kill(m.host)
	f.clients.died(p.n)
}

func (f *Fleet) crash(p *process, why string) {
	if !p.dead {
		f.end(p, "crash", why)
		f.faults = append(f.faults, f.events[len(f.events)-1])
	}
}

func (f *Fleet) exit(p *process) {
	if !p.dead {
		f.end(p, "exit", "")
	}
}

// KillLimiter is SIGKILL: the limiter's state is gone, its connections are reset.
func (f *Fleet) KillLimiter(n int) {
	if p := f.limiters[n].p; p != nil {
		f.end(p, "kill", "")
	}
}

// PauseLimiter is SIGSTOP, Continue SIGCONT: in between a limiter is told nothing, and its clock goes on.
func (f *Fleet) PauseLimiter(n int) {
	if p := f.limiters[n].p; p != nil && !p.stopped {
		p.stopped = true
		p.life.stops = append(p.life.stops, span{f.q.now, never})
		f.event("stop", p.host.name, "")
	}
}

// ResumeLimiter is SIGCONT.
func (f *Fleet) ResumeLimiter(n int) {
	if p := f.limiters[n].p; p != nil && p.stopped {
		p.life.stops[len(p.life.stops)-1].until = f.q.now
		f.event("continue", p.host.name, "")
		p.resume()
	}
}

// TerminateLimiter is SIGTERM, and SIGKILL after the longest deadline and 0.7 s where the limiter has not ended by
// then. It starts again once it has ended, if again is set, with the list of its configuration.
func (f *Fleet) TerminateLimiter(n int, again bool) {
	p := f.limiters[n].p
	if p == nil || p.stopped {
		return
	}
	f.event("term", p.host.name, "")
	f.clients.ending(n)
	if f.is(EndsAtOnce) {
		f.exit(p)
	}
	p.step(limiter.ShutdownRequested{}, nil)
	f.q.at(f.q.now+f.longest+lastCalls, func() {
		if !p.dead {
			f.end(p, "overdue", "killed: it had not ended")
		}
		if again {
			f.StartLimiter(n)
		}
	})
}

// ReloadLimiter is SIGHUP with a configuration that names other addresses of the list service and the counter; those
// are numbered from 1. The new list service counts its versions otherwise, the old one falls silent.
func (f *Fleet) ReloadLimiter(n, list, counter int) {
	m := f.limiters[n]
	old := f.deskAt(m.list)
	if f.o.Mode == Pushed {
		m.list = fmt.Sprintf("agent-%d:%d", n, list)
	} else {
		m.list = fmt.Sprintf("list:%d", list)
	}
	m.counter = fmt.Sprintf("counter:%d", counter)
	f.net.host(m.counter).party = f.counter
	if f.deskAt(m.list) == nil {
		of := old.of
		d := f.desk(m.list, of, int64(list-1)*1000)
		d.has = old.has
		if of >= 0 {
			f.net.near[d.host] = m.host
		}
	}
	if !slices.ContainsFunc(f.limiters, func(o *member) bool { return o.list == old.host.name }) {
		old.retired = true
		f.q.at(f.q.now+100e6, func() {
			if f.o.Mode == Polled { // whoever still watches there misses what comes
				f.lists.watches(old, func(p *process, ln *line) { p.fallSilent(ln.call) })
			}
		})
	}
	p := m.p
	if p == nil {
		return
	}
	config := *p.config
	config.Discovery = m.list
	config.Counter = m.counter
	f.event("hup", p.host.name, m.list+" "+m.counter)
	p.life.others = append(p.life.others, span{f.q.now, f.q.now + afterHup})
	if f.is(IgnoresReload) {
		return
	}
	p.step(limiter.ConfigReloaded{Config: &config}, nil)
}
