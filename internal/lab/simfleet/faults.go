package simfleet

import (
	"fmt"
	"slices"
)

// This file holds the faults of servers, the list service and links.

func (f *Fleet) deskAt(address string) *desk {
	i := slices.IndexFunc(f.lists.desks, func(d *desk) bool { return d.host.name == address })
	if i < 0 {
		return nil
	}
	return f.lists.desks[i]
}

func (f *Fleet) serverNamed(name string) *server {
	i := slices.IndexFunc(f.servers, func(s *server) bool { return s.spec.Name == name })
	if i < 0 {
		panic("simfleet: no server " + name)
	}
	return f.servers[i]
}

// DrainServer lists a server as one that wants nothing new; its process goes on.
func (f *Fleet) DrainServer(name string) { f.leave(name, "terminating", "drain") }

// RemoveServer ends a server's process, and the list tells so.
func (f *Fleet) RemoveServer(name string) {
	f.leave(name, "terminated", "gone")
	s := f.serverNamed(name)
	f.net.kill(s.host)
	s.reborn()
}

func (f *Fleet) leave(name, state, kind string) {
	s := f.serverNamed(name)
	f.event(kind, name, "")
	f.drains = append(f.drains, drained{f.lists.version() + 1, name, s.life})
	f.lists.set(s.entry(state))
}

// CrashServer ends a server's process and nobody is told; Back starts it cold, and the list tells so.
func (f *Fleet) CrashServer(name string) {
	s := f.serverNamed(name)
	f.event("server-crash", name, "")
	f.net.kill(s.host)
	s.reborn()
}

// RestartServer starts a server's process at its old address, cold.
func (f *Fleet) RestartServer(name string) {
	s := f.serverNamed(name)
	s.start(f.q.now)
	f.event("back", name, "")
	s.change = f.lists.set(s.entry("in_service"))
}

// AddServer starts a new server like an old one, cold.
func (f *Fleet) AddServer(like, name string) {
	old := f.serverNamed(like)
	spec := old.spec
	spec.Name = name
	f.addServer(spec, old.seen, uint64(len(f.servers)))
	f.RestartServer(name)
}

// SilenceServer lets a server take commands and answer nothing; Slow makes its work take longer. Both until they are
// undone.
func (f *Fleet) SilenceServer(name string, on bool) {
	f.serverNamed(name).silent = on
	f.event("silence", name, fmt.Sprint(on))
}

// SlowServer makes a server's requests take so many times as long.
func (f *Fleet) SlowServer(name string, factor float64) {
	f.serverNamed(name).slow = factor
	f.event("slow", name, fmt.Sprint(factor))
}

// SetRequestRate changes the rate at which requests come.
func (f *Fleet) SetRequestRate(rate float64) { f.clients.rate = rate }

// SetDiscoveryDown stops the list service, or starts it again. While it is down it says nothing to anybody.
func (f *Fleet) SetDiscoveryDown(down bool) {
	f.event("list-down", "list", fmt.Sprint(down))
	for _, m := range f.limiters {
		if m.p != nil && down {
			m.p.life.others = append(m.p.life.others, span{f.q.now, never})
		}
	}
	for _, m := range f.limiters {
		for _, l := range m.lives {
			for i := range l.others {
				if !down && l.others[i].until == never {
					l.others[i].until = f.q.now
				}
			}
		}
	}
	f.lists.setDown(down)
}

// SilenceWatches lets the watches of some limiters fall silent; it tells how many did.
func (f *Fleet) SilenceWatches(of func(limiter int) bool) int {
	hit := f.lists.quiet(of)
	f.event("quiet", "list", fmt.Sprintf("watches=%d", hit))
	return hit
}

// hostsOf names machines for links: "limiter", "server", "counter", "list" or "clients" for all such, or a server's
// name. Where among is not nil it chooses among limiters by their number.
func (f *Fleet) hostsOf(what string, among func(int) bool) map[*host]bool {
	out := map[*host]bool{}
	switch what {
	case "limiter":
		for _, m := range f.limiters {
			if among == nil || among(m.n) {
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
		for _, d := range f.lists.desks {
			if d.of < 0 {
				out[d.host] = true
			}
		}
	case "clients":
		out[f.clients.host] = true
	default:
		out[f.serverNamed(what).host] = true
	}
	return out
}

// AddLinkFault puts a fault on the links from some machines to others, in that direction alone: what is "limiter",
// "server", "counter", "list", "clients" or the name of a server, and among chooses among limiters. extra is for Delay
// and Late, share for Tear. Heal undoes it.
func (f *Fleet) AddLinkFault(
	way LinkFault,
	from, to string,
	among func(int) bool,
	extra int64,
	share float64,
) *LinkRule {
	r := &LinkRule{way: way, from: f.hostsOf(from, among), to: f.hostsOf(to, among), extra: extra, share: share}
	f.net.add(r)
	if f.o.Mode == Polled && way <= LinkStalled && from == "list" { // open watches fall silent
		for _, d := range f.lists.desks {
			f.lists.watches(d, func(p *process, ln *line) {
				if r.to[p.host] {
					p.fallSilent(ln.call)
				}
			})
		}
	}
	f.event("link", from+">"+to, [...]string{"cut", "stall", "delay", "tear", "late"}[way])
	return r
}

// HealLink undoes a fault of links.
func (f *Fleet) HealLink(r *LinkRule) {
	f.event("heal", "", "")
	f.net.heal(r)
	f.lists.spread()
}

// HalfOpen lets a server's machine forget its connections with a limiter: what the limiter writes on them next is
// answered with a reset.
func (f *Fleet) HalfOpen(name string, n int) {
	f.event("half-open", name, f.limiters[n].host.name)
	f.net.halfOpen(f.serverNamed(name).host, f.limiters[n].host)
}

// VanishServer takes a server's machine away without a word. Back brings it back.
func (f *Fleet) VanishServer(name string) {
	s := f.serverNamed(name)
	f.event("vanish", name, "")
	f.net.vanish(s.host)
	s.reborn()
}
