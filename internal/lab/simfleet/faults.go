package simfleet

import (
	"fmt"
	"slices"
)

// This file holds the faults of servers, the list service and links.

func (f *Fleet) discoveryEndpointAt(address string) *discoveryEndpoint {
	i := slices.IndexFunc(f.discovery.endpoints, func(d *discoveryEndpoint) bool { return d.host.name == address })
	if i < 0 {
		return nil
	}
	return f.discovery.endpoints[i]
}

func (f *Fleet) serverNamed(name string) *server {
	i := slices.IndexFunc(f.servers, func(s *server) bool { return s.spec.Name == name })
	if i < 0 {
		panic("simfleet: no server " + name)
	}
	return f.servers[i]
}

// DrainServer lists a server as one that wants nothing new; its process goes on.
func (f *Fleet) DrainServer(name string) { f.setLifecycle(name, "terminating", "drain") }

// RemoveServer ends a server's process, and the list tells so.
func (f *Fleet) RemoveServer(name string) {
	f.setLifecycle(name, "terminated", "gone")
	s := f.serverNamed(name)
	f.net.kill(s.host)
	s.resetProcess()
}

func (f *Fleet) setLifecycle(name, state, kind string) {
	s := f.serverNamed(name)
	f.recordEvent(kind, name, "")
	f.drains = append(f.drains, drainChange{f.discovery.version() + 1, name, s.incarnation})
	f.discovery.setEntry(s.entry(state))
}

// CrashServer ends a server's process and nobody is told; Back starts it cold, and the list tells so.
func (f *Fleet) CrashServer(name string) {
	s := f.serverNamed(name)
	f.recordEvent("server-crash", name, "")
	f.net.kill(s.host)
	s.resetProcess()
}

// RestartServer starts a server's process at its old address, cold.
func (f *Fleet) RestartServer(name string) {
	s := f.serverNamed(name)
	s.start(f.q.now)
	f.recordEvent("back", name, "")
	s.startVersion = f.discovery.setEntry(s.entry("in_service"))
}

// AddServer starts a new server like an old one, cold.
func (f *Fleet) AddServer(like, name string) {
	old := f.serverNamed(like)
	spec := old.spec
	spec.Name = name
	f.addServer(spec, old.dedupExpiry, uint64(len(f.servers)))
	f.RestartServer(name)
}

// SilenceServer lets a server take commands and answer nothing; Slow makes its work take longer. Both until they are
// undone.
func (f *Fleet) SilenceServer(name string, on bool) {
	f.serverNamed(name).silent = on
	f.recordEvent("silence", name, fmt.Sprint(on))
}

// SlowServer makes a server's requests take so many times as long.
func (f *Fleet) SlowServer(name string, factor float64) {
	f.serverNamed(name).slowFactor = factor
	f.recordEvent("slow", name, fmt.Sprint(factor))
}

// SetRequestRate changes the rate at which requests come.
func (f *Fleet) SetRequestRate(rate float64) { f.clients.rate = rate }

// SetDiscoveryDown stops the list service, or starts it again. While it is down it says nothing to anybody.
func (f *Fleet) SetDiscoveryDown(down bool) {
	f.recordEvent("list-down", "list", fmt.Sprint(down))
	for _, m := range f.limiters {
		if m.process != nil && down {
			m.process.incarnation.discoveryOutages = append(m.process.incarnation.discoveryOutages,
				span{f.q.now, never})
		}
	}
	for _, m := range f.limiters {
		for _, l := range m.incarnations {
			for i := range l.discoveryOutages {
				if !down && l.discoveryOutages[i].until == never {
					l.discoveryOutages[i].until = f.q.now
				}
			}
		}
	}
	f.discovery.setDown(down)
}

// SilenceWatches lets the watches of some limiters fall silent; it tells how many did.
func (f *Fleet) SilenceWatches(include func(limiter int) bool) int {
	silenced := f.discovery.silenceWatches(include)
	f.recordEvent("quiet", "list", fmt.Sprintf("watches=%d", silenced))
	return silenced
}

// hostsOf names machines for links: "limiter", "server", "counter", "list" or "clients" for all such, or a server's
// name. Where among is not nil it chooses among limiters by their number.
func (f *Fleet) hostsOf(kind string, include func(int) bool) map[*host]bool {
	out := map[*host]bool{}
	switch kind {
	case "limiter":
		for _, m := range f.limiters {
			if include == nil || include(m.index) {
				out[m.host] = true
			}
		}
	case "server":
		for _, s := range f.servers {
			out[s.host] = true
		}
	case "counter":
		for i := 1; i < 10; i++ {
			out[f.net.host(fmt.Sprintf("counter:%d", i))] = true
		}
	case "list":
		out[f.net.host("list")] = true
		for _, d := range f.discovery.endpoints {
			if d.limiter < 0 {
				out[d.host] = true
			}
		}
	case "clients":
		out[f.clients.host] = true
	default:
		out[f.serverNamed(kind).host] = true
	}
	return out
}

// AddLinkFault puts a fault on the links from some machines to others, in that direction alone: what is "limiter",
// "server", "counter", "list", "clients" or the name of a server, and among chooses among limiters. extra is for Delay
// and Late, share for Tear. Heal undoes it.
func (f *Fleet) AddLinkFault(
	fault LinkFault,
	from, to string,
	include func(int) bool,
	delay int64,
	resetShare float64,
) *LinkRule {
	r := &LinkRule{fault: fault, from: f.hostsOf(from, include), to: f.hostsOf(to, include),
		delay: delay, resetShare: resetShare}
	f.net.addRule(r)
	if f.options.Mode == Polled && fault <= LinkStalled && from == "list" { // open watches fall silent
		for _, d := range f.discovery.endpoints {
			f.discovery.forEachWatch(d, func(p *process, conn *pollConn) {
				if r.to[p.host] {
					p.fallSilent(conn.latest)
				}
			})
		}
	}
	f.recordEvent("link", from+">"+to, [...]string{"cut", "stall", "delay", "tear", "late"}[fault])
	return r
}

// HealLink undoes a fault of links.
func (f *Fleet) HealLink(r *LinkRule) {
	f.recordEvent("heal", "", "")
	f.net.removeRule(r)
	f.discovery.publish()
}

// HalfOpen lets a server's machine forget its connections with a limiter: what the limiter writes on them next is
// answered with a reset.
func (f *Fleet) HalfOpen(name string, n int) {
	f.recordEvent("half-open", name, f.limiters[n].host.name)
	f.net.halfOpen(f.serverNamed(name).host, f.limiters[n].host)
}

// VanishServer takes a server's machine away without a word. Back brings it back.
func (f *Fleet) VanishServer(name string) {
	s := f.serverNamed(name)
	f.recordEvent("vanish", name, "")
	f.net.vanish(s.host)
	s.resetProcess()
}
