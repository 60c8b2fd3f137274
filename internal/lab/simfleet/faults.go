package simfleet

import (
	"fmt"
	"slices"
)

// This file injects faults of servers, the discovery service and network links.

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

// DrainServer lists a server as terminating, so that it should get no new requests. Its process keeps running.
func (f *Fleet) DrainServer(name string) { f.setLifecycle(name, "terminating", "drain") }

// RemoveServer ends a server's process and lists the server as terminated.
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

// CrashServer ends a server's process without a change of the endpoint list. RestartServer starts it again.
func (f *Fleet) CrashServer(name string) {
	s := f.serverNamed(name)
	f.recordEvent("server-crash", name, "")
	f.net.kill(s.host)
	s.resetProcess()
}

// RestartServer starts a cold process of a server at its old address and lists the server as in service.
func (f *Fleet) RestartServer(name string) {
	s := f.serverNamed(name)
	s.start(f.q.now)
	f.recordEvent("back", name, "")
	s.startVersion = f.discovery.setEntry(s.entry("in_service"))
}

// AddServer starts a cold new server with the specification of an existing one, and lists it as in service.
func (f *Fleet) AddServer(like, name string) {
	old := f.serverNamed(like)
	spec := old.spec
	spec.Name = name
	f.addServer(spec, old.dedupExpiry, uint64(len(f.servers)))
	f.RestartServer(name)
}

// SilenceServer makes a server accept commands without answering them while on is true.
func (f *Fleet) SilenceServer(name string, on bool) {
	f.serverNamed(name).silent = on
	f.recordEvent("silence", name, fmt.Sprint(on))
}

// SlowServer multiplies the service time of a server's requests by factor; 0 restores the usual time.
func (f *Fleet) SlowServer(name string, factor float64) {
	f.serverNamed(name).slowFactor = factor
	f.recordEvent("slow", name, fmt.Sprint(factor))
}

// SetRequestRate changes the rate of requests, in requests per second.
func (f *Fleet) SetRequestRate(rate float64) { f.clients.rate = rate }

// SetDiscoveryDown stops the discovery service or starts it again. While it is down it sends nothing to agents or
// limiters.
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

// SilenceWatches makes the open watches of the chosen limiters fall silent and returns how many there were.
func (f *Fleet) SilenceWatches(include func(limiter int) bool) int {
	silenced := f.discovery.silenceWatches(include)
	f.recordEvent("quiet", "list", fmt.Sprintf("watches=%d", silenced))
	return silenced
}

// hostsOf returns the hosts at one end of a link fault: all hosts of the kind "limiter", "server", "counter", "list" or
// "clients", or the one of the named server. If include is not nil it selects limiters by their index.
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

// AddLinkFault adds a fault to the links from some hosts to others, in that direction only. Each end is "limiter",
// "server", "counter", "list", "clients" or the name of a server; include selects limiters by their index, nil selects
// all. The delay, in nanoseconds, applies to LinkDelayed and DialDelayed, and resetShare, the share of messages, to
// LinkReset. HealLink removes the fault.
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

// HealLink removes a fault of links and delivers the packets that it held back.
func (f *Fleet) HealLink(r *LinkRule) {
	f.recordEvent("heal", "", "")
	f.net.removeRule(r)
	f.discovery.publish()
}

// HalfOpen makes a server's host forget its connections with a limiter: the next bytes that the limiter writes on them
// are answered with a reset.
func (f *Fleet) HalfOpen(name string, n int) {
	f.recordEvent("half-open", name, f.limiters[n].host.name)
	f.net.halfOpen(f.serverNamed(name).host, f.limiters[n].host)
}

// VanishServer takes a server's host off the network without closing its connections. RestartServer brings it back.
func (f *Fleet) VanishServer(name string) {
	s := f.serverNamed(name)
	f.recordEvent("vanish", name, "")
	f.net.vanish(s.host)
	s.resetProcess()
}
