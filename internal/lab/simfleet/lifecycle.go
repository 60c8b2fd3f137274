package simfleet

import (
	"encoding/json"
	"fmt"
	"slices"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// This file starts, stops and signals limiters.

// fleetLimiter is a limiter of the fleet, across all processes that it has had.
type fleetLimiter struct {
	index            int
	host             *host
	discoveryAddress string // address of the discovery service in its configuration
	counterAddress   string
	initialList      json.RawMessage // the endpoint list in its configuration
	agentVersions    []versionMark   // the versions that its agent has received
	process          *process
	incarnations     []*incarnation
}

// versionMark is a version of the endpoint list with the time, or the byte offset in a connection, at which it was
// reached.
type versionMark struct{ version, at int64 }

// span is the period [from, until) of the fleet's clock.
type span struct{ from, until int64 }

// incarnation is one process of a limiter, as the discovery service saw it.
type incarnation struct {
	from, until   int64
	pauses        []span // while it was paused
	watchSilences []span // of its watches, each until changes that it misses count as notified
	// While no change counts as notified: the discovery service was down or its address has changed.
	discoveryOutages []span
	delivered        []versionMark // the versions that were delivered to it
}

// limiterOnHost returns the index of the limiter on a host and its process, -1 and nil if there is none.
func (f *Fleet) limiterOnHost(h *host) (int, *process) {
	n, ok := f.limiterByHost[h]
	if !ok {
		return -1, nil
	}
	return n, f.limiters[n].process
}

// recordAgentVersion records that a limiter's agent has received a version.
func (f *Fleet) recordAgentVersion(n int, version int64) {
	target := f.limiters[n]
	target.agentVersions = append(target.agentVersions, versionMark{version, f.q.now})
}

// StartLimiter starts a limiter with the endpoint list of its configuration, which may be outdated.
func (f *Fleet) StartLimiter(n int) {
	target := f.limiters[n]
	if target.process != nil {
		return
	}
	limiterSettings, known := f.limiterSettings(n), target.initialList
	if f.isBroken(NeedsDiscovery) {
		known = nil
	}
	p := &process{f: f, index: n, host: target.host, conns: map[limiter.ConnID]*connEnd{},
		incarnation: &incarnation{from: f.q.now, until: never}}
	p.config = &settings.Config{Name: fmt.Sprintf("n%d", n), Listen: target.host.name,
		Discovery: target.discoveryAddress, Counter: target.counterAddress, Seed: int64(f.rng.Uint64() >> 1),
		Memory: 192 << 20, Sockets: 1024, Known: known, Settings: limiterSettings}
	target.process, target.incarnations = p, append(target.incarnations, p.incarnation)
	if f.discovery.down {
		p.incarnation.discoveryOutages = append(p.incarnation.discoveryOutages, span{f.q.now, never})
	}
	target.host.handler = p
	target.host.vanished = false
	f.recordEvent("start", target.host.name, "")
	reducer, err := limiter.NewWithOptions(p.clock(), p.config, f.options.Operator, p)
	if err != nil {
		f.crashProcess(p, err.Error())
		return
	}
	p.reducer = reducer
	p.scheduleWakeup()
	f.clients.limiterStarted(n)
}

// endProcess ends a process, with all its state and connections.
func (f *Fleet) endProcess(p *process, kind, detail string) {
	target := f.limiters[p.index]
	p.dead = true
	p.incarnation.until = f.q.now
	target.process = nil
	f.recordEvent(kind, target.host.name, detail)
	f.net.kill(target.host)
	f.clients.limiterEnded(p.index)
}

func (f *Fleet) crashProcess(p *process, reason string) {
	if !p.dead {
		f.endProcess(p, "crash", reason)
		f.faults = append(f.faults, f.events[len(f.events)-1])
	}
}

func (f *Fleet) exitProcess(p *process) {
	if !p.dead {
		f.endProcess(p, "exit", "")
	}
}

// KillLimiter kills a limiter as SIGKILL does: its state is lost and its connections are reset.
func (f *Fleet) KillLimiter(n int) {
	if p := f.limiters[n].process; p != nil {
		f.endProcess(p, "kill", "")
	}
}

// PauseLimiter stops a limiter as SIGSTOP does, until ResumeLimiter. Meanwhile it handles no events, and its clock
// advances.
func (f *Fleet) PauseLimiter(n int) {
	if p := f.limiters[n].process; p != nil && !p.paused {
		p.paused = true
		p.incarnation.pauses = append(p.incarnation.pauses, span{f.q.now, never})
		f.recordEvent("stop", p.host.name, "")
	}
}

// ResumeLimiter continues a paused limiter as SIGCONT does.
func (f *Fleet) ResumeLimiter(n int) {
	if p := f.limiters[n].process; p != nil && p.paused {
		p.incarnation.pauses[len(p.incarnation.pauses)-1].until = f.q.now
		f.recordEvent("continue", p.host.name, "")
		p.resume()
	}
}

// TerminateLimiter asks a limiter to shut down gracefully as SIGTERM does, and kills it if it has not ended after the
// longest deadline and another 0.7 s. If restart is set it then starts again, with the endpoint list of its
// configuration.
func (f *Fleet) TerminateLimiter(n int, restart bool) {
	p := f.limiters[n].process
	if p == nil || p.paused {
		return
	}
	f.recordEvent("term", p.host.name, "")
	f.clients.limiterDraining(n)
	if f.isBroken(EndsAtOnce) {
		f.exitProcess(p)
	}
	p.step(limiter.ShutdownRequested{}, nil)
	f.q.at(f.q.now+f.longestDeadline+shutdownMargin, func() {
		if !p.dead {
			f.endProcess(p, "overdue", "killed: the graceful shutdown did not finish in time")
		}
		if restart {
			f.StartLimiter(n)
		}
	})
}

// ReloadLimiter sends a limiter SIGHUP with a configuration that names other addresses of the discovery service and the
// counter, each given by its number, starting at 1. The new discovery service numbers its versions differently; an old
// one that no limiter uses any more falls silent.
func (f *Fleet) ReloadLimiter(n, list, counter int) {
	target := f.limiters[n]
	old := f.discoveryEndpointAt(target.discoveryAddress)
	if f.options.Mode == Pushed {
		target.discoveryAddress = fmt.Sprintf("agent-%d:%d", n, list)
	} else {
		target.discoveryAddress = fmt.Sprintf("list:%d", list)
	}
	target.counterAddress = fmt.Sprintf("counter:%d", counter)
	f.net.host(target.counterAddress).handler = f.counter
	if f.discoveryEndpointAt(target.discoveryAddress) == nil {
		owner := old.limiter
		endpoint := f.addDiscoveryEndpoint(target.discoveryAddress, owner, int64(list-1)*1000)
		endpoint.version = old.version
		if owner >= 0 {
			f.net.colocated[endpoint.host] = target.host
		}
	}
	if !slices.ContainsFunc(f.limiters, func(o *fleetLimiter) bool { return o.discoveryAddress == old.host.name }) {
		old.retired = true
		f.q.at(f.q.now+100e6, func() {
			if f.options.Mode == Polled { // limiters that still watch there miss later changes
				f.discovery.forEachWatch(old, func(p *process, conn *pollConn) { p.fallSilent(conn.latest) })
			}
		})
	}
	p := target.process
	if p == nil {
		return
	}
	config := *p.config
	config.Discovery = target.discoveryAddress
	config.Counter = target.counterAddress
	f.recordEvent("hup", p.host.name, target.discoveryAddress+" "+target.counterAddress)
	p.incarnation.discoveryOutages = append(p.incarnation.discoveryOutages,
		span{f.q.now, f.q.now + reloadDelay})
	if f.isBroken(IgnoresReload) {
		return
	}
	p.step(limiter.ConfigReloaded{Config: &config}, nil)
}
