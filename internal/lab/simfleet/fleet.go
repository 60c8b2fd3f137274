// Package simfleet plays a whole fleet in one process: real limiters (internal/limiter, the reducer that also runs on
// sockets), and job servers, a counter, a list service and clients in memory, which speak the real wires. Everything
// happens in the order of one queue under one virtual clock, with chance from one seed: no goroutine, no wall clock, no
// sleep. So the same seed gives the same record, byte for byte, and a fault that was seen once can be seen again.
//
// The fleet is judged from the records of servers, clients and the list service, never from a limiter's own word
// (see docs/stories.md).
package simfleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"ospreycroft/internal/lab/record"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

const (
	epoch     = int64(1e15) // the limiters' clock at the fleet's zero
	never     = int64(1) << 62
	silence   = int64(6e9) // what a silent watch misses counts as told so long after it fell silent,
	afterWait = int64(2e9) // or so long after the wait of its call is over, where that is later
	afterHup  = int64(4e9) // what a new list service has to tell counts so long after SIGHUP
	lastCalls = int64(700e6)
)

// Options are a fleet. Times are nanoseconds.
type Options struct {
	Seed         uint64
	Limiters     int
	Servers      []ServerSpec
	Settings     map[string]any // in the wire's form, beside the number of limiters; nil for DefaultSettings
	Load         Load
	Mode         Mode
	Budget       float64        // calls a second that the list service answers, where it is asked
	Stated       limiter.Stated // what operators state beside the configuration
	Notice       [2]int64       // how long the list takes to an agent: from, to
	FallMultiple float64        // a cold server falls at so many times what it can do now,
	FallWindow   int64          // in so long
	Grace        int64          // rule 3
	Broken       []Broken       // limiters' faults on purpose
}

// Broken is a way in which the limiters of a fleet are broken on purpose, to see a check fail.
type Broken string

// The ways. Some are a wrapper between the reducer and its wires, some are false settings.
const (
	IgnoresDrains Broken = "ignores drains"             // it takes servers that drain or are gone for ready
	DropsRenewals Broken = "drops renewals"             // it does not send the second call on a watch
	LosesAnswers  Broken = "loses answers"              // one answer in twenty does not go out
	SendsTwice    Broken = "sends twice"                // commands go out twice
	Overfeeds     Broken = "overfeeds new servers"      // it takes one that has just started for a large warm one
	NoCeiling     Broken = "knows no ceiling"           // it takes plans to have none
	InStep        Broken = "does not know its place"    // all limiters ask the list service in step
	NoList        Broken = "has no list of its own"     // it needs the list service to begin
	EndsAtOnce    Broken = "ends at once"               // on SIGTERM
	DeafToHup     Broken = "ignores SIGHUP"             // so it does not follow a move
	Reconnects    Broken = "connects anew for each job" // it keeps no connection to a server
	Trusting      Broken = "keeps to a silent watch"    // it opens no other
)

// Ways are all of them.
var Ways = []Broken{IgnoresDrains, DropsRenewals, LosesAnswers, SendsTwice, Overfeeds, NoCeiling, InStep, NoList,
	EndsAtOnce, DeafToHup, Reconnects, Trusting}

// DefaultSettings are a plain deployment's: two halls, three tracks of each effect and a counter.
func DefaultSettings() map[string]any {
	return map[string]any{
		"granularity": 0.004,
		"classes": []any{
			map[string]any{"name": "fetch", "aim": 0.8, "effect": "free", "group": "all"},
			map[string]any{"name": "stamp", "aim": 1.0, "effect": "guarded", "group": "zone", "dedup-window": 10.0},
			map[string]any{"name": "order", "aim": 2.0, "effect": "single_shot", "group": "all"},
		},
		"tariffs": []any{
			map[string]any{"name": "house", "rate": 60.0, "most-at-once": 120.0, "value-factor": 1.5, "beyond-costs": 0.5,
				"hard-rate": 90.0, "never-over-depth": 150.0},
			map[string]any{"name": "team", "rate": 40.0, "most-at-once": 80.0, "value-factor": 1.0, "beyond-costs": 0.5},
		},
		"family-info": map[string]any{"has-counter": true, "count-wait": 0.05, "units-top": 6},
		"contract":    map[string]any{"cold-from": 0.25, "warm-within": 15.0, "ask-every": 10.0},
		"permissions": map[string]any{"attempts-cap": 3, "cancelling": true, "dial-timeout": 0.25, "idle-close": 15.0,
			"max-retry-after": 2.0, "probes": false, "retry-after": true},
	}
}

// Fleet is a fleet in memory. It is not safe for concurrent use.
type Fleet struct {
	o        Options
	q        queue
	rng      *rand.Rand
	net      *network
	set      *settings.Settings
	limiters []*member
	byHost   map[*host]int
	servers  []*server
	counter  *counter
	lists    *lists
	clients  *clients
	jobs     []record.Job
	shots    []seen
	events   []record.Event
	faults   []record.Event
	drains   []drained
	falls    int
	longest  int64 // the longest cut-off
	written  int   // answers, for LosesAnswers
}

// seen is a shot as a server saw it, and what the judge needs beside that.
type seen struct {
	record.Shot
	limiter int
	life    int   // of the server's processes
	sent    int64 // when its first byte was written
}

// drained is a change after which a server wants nothing new.
type drained struct {
	version int64
	server  string
	life    int
}

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

// New makes a fleet in which no limiter has started yet; the servers, the counter and the list service run.
func New(o Options) (*Fleet, error) {
	if o.Settings == nil {
		o.Settings = DefaultSettings()
	}
	o.Settings = maps.Clone(o.Settings)
	if o.FallMultiple == 0 {
		o.FallMultiple, o.FallWindow = 3, 1500e6
	}
	if o.Grace == 0 {
		o.Grace = 300e6
	}
	if o.Budget == 0 {
		o.Budget = 1e9
	}
	f := &Fleet{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0xf1)), byHost: map[*host]int{}}
	o.Settings["balancers"] = o.Limiters
	o.Settings["registry-mode"] = map[Mode]string{Pushed: "pushed", Asked: "on_request"}[o.Mode]
	text, err := json.Marshal(o.Settings)
	if err != nil {
		return nil, err
	}
	if f.set, err = settings.Decode(text); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, m := range o.Load.Tracks {
		if f.set.Classes[m.Track] == nil {
			return nil, fmt.Errorf("load: no track %q", m.Track)
		}
		f.longest = max(f.longest, m.CutOff)
	}
	for _, c := range o.Load.Customers {
		if f.set.Plans[c.Plan] == nil || c.Spread < 1 || c.Spread > o.Limiters {
			return nil, fmt.Errorf("load: customer %s: plan %q, spread %d", c.ID, c.Plan, c.Spread)
		}
	}
	f.net = newNetwork(&f.q, o.Seed)
	f.counter = &counter{f: f, counts: map[string]count{}}
	f.net.host("counter:1").party = f.counter
	f.lists = &lists{f: f, tokens: o.Budget}
	f.net.host("list")
	zones := map[string]map[string]int64{}
	for i, spec := range o.Servers {
		if zones[spec.Zone] == nil {
			zones[spec.Zone] = map[string]int64{}
		}
		f.addServer(spec, zones[spec.Zone], uint64(i)).start(longAgo)
		f.lists.first = append(f.lists.first, f.servers[i].entry("in_service"))
	}
	if o.Mode == Asked {
		f.desk("list:1", -1, 0)
	}
	known, _ := json.Marshal(map[string]any{"generation": firstVersion, "reset": true, "instances": f.lists.first})
	f.clients = &clients{f: f, host: f.net.host("clients"), rng: rand.New(rand.NewPCG(o.Seed, 0xc11)), rate: o.Load.Rate}
	f.clients.host.party = f.clients
	for n := range o.Limiters {
		m := &member{n: n, host: f.net.host(fmt.Sprintf("limiter:%d", n)), known: known, list: "list:1", counter: "counter:1"}
		f.limiters = append(f.limiters, m)
		f.byHost[m.host] = n
		f.clients.gates = append(f.clients.gates, &gate{})
		if o.Mode == Pushed {
			m.list = fmt.Sprintf("agent-%d:1", n)
			f.net.near[m.host] = f.desk(m.list, n, 0).host
			f.arrived(n, firstVersion)
		}
	}
	if o.Load.Rate > 0 {
		f.q.at(o.Load.From, f.clients.arrive)
	}
	return f, nil
}

func (f *Fleet) desk(address string, of int, counts int64) *desk {
	d := &desk{f: f, host: f.net.host(address), of: of, has: f.lists.version(), counts: counts}
	d.host.party = d
	f.lists.desks = append(f.lists.desks, d)
	return d
}

func (f *Fleet) addServer(spec ServerSpec, seenBefore map[string]int64, number uint64) *server {
	s := &server{f: f, spec: spec, host: f.net.host(spec.Name + ":1"), seen: seenBefore,
		rng: rand.New(rand.NewPCG(f.o.Seed, 0x5e<<32|number))}
	f.servers = append(f.servers, s)
	return s
}

// entry is the server's line of the list.
func (s *server) entry(state string) instance {
	e := instance{ID: s.spec.Name, HostPort: s.host.name, Zone: s.spec.Zone, Machine: "m", Lifecycle: state, Weight: 1}
	if s.started > longAgo {
		e.StartedMs = (epoch + s.started) / 1e6
	}
	return e
}

// Now is the fleet's clock.
func (f *Fleet) Now() int64 { return f.q.now }

// At plans a step of a story.
func (f *Fleet) At(at int64, step func()) { f.q.at(at, step) }

// Agreed is a track's agreed time.
func (f *Fleet) Agreed(track string) int64 { return f.set.Classes[track].Target }

// Run lets the fleet run up to a time.
func (f *Fleet) Run(until int64) { f.q.run(until) }

func (f *Fleet) event(kind, target, detail string) {
	f.events = append(f.events, record.Event{At: f.q.now, Kind: kind, Target: target, Detail: detail})
}

// fault notes what no fleet may show, beside the five rules: a crash, a command or an answer that is none.
func (f *Fleet) fault(kind, target, detail string) {
	f.event(kind, target, detail)
	f.faults = append(f.faults, f.events[len(f.events)-1])
}

func (f *Fleet) shot(s record.Shot, to *server, from int, sent int64) {
	f.shots = append(f.shots, seen{Shot: s, limiter: from, life: to.life, sent: sent})
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

// Start starts a limiter with the list of its configuration, which may be old.
func (f *Fleet) Start(n int) {
	m := f.limiters[n]
	if m.p != nil {
		return
	}
	set, known := f.settingsOf(n), m.known
	if f.is(NoList) {
		known = nil
	}
	p := &process{f: f, n: n, host: m.host, sides: map[limiter.ID]*side{}, life: &life{from: f.q.now, until: never}}
	p.config = &settings.Config{Name: fmt.Sprintf("n%d", n), Listen: m.host.name, Discovery: m.list, Counter: m.counter,
		Seed: int64(f.rng.Uint64() >> 1), Memory: 192 << 20, Sockets: 1024, Known: known, Settings: set}
	m.p, m.lives = p, append(m.lives, p.life)
	if f.lists.down {
		p.life.others = append(p.life.others, span{f.q.now, never})
	}
	m.host.party, m.host.vanished = p, false
	f.event("start", m.host.name, "")
	l, err := limiter.NewStated(p.clock(), p.config, f.o.Stated, p)
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
	p.dead, p.life.until, m.p = true, f.q.now, nil
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

// Kill is SIGKILL: the limiter's state is gone, its connections are reset.
func (f *Fleet) Kill(n int) {
	if p := f.limiters[n].p; p != nil {
		f.end(p, "kill", "")
	}
}

// Stop is SIGSTOP, Continue SIGCONT: in between a limiter is told nothing, and its clock goes on.
func (f *Fleet) Stop(n int) {
	if p := f.limiters[n].p; p != nil && !p.stopped {
		p.stopped = true
		p.life.stops = append(p.life.stops, span{f.q.now, never})
		f.event("stop", p.host.name, "")
	}
}

// Continue is SIGCONT.
func (f *Fleet) Continue(n int) {
	if p := f.limiters[n].p; p != nil && p.stopped {
		p.life.stops[len(p.life.stops)-1].until = f.q.now
		f.event("continue", p.host.name, "")
		p.resume()
	}
}

// Term is SIGTERM, and SIGKILL after the longest cut-off and 0.7 s where the limiter has not ended by then. It starts
// again once it has ended, if again is set, with the list of its configuration.
func (f *Fleet) Term(n int, again bool) {
	p := f.limiters[n].p
	if p == nil || p.stopped {
		return
	}
	f.event("term", p.host.name, "")
	f.clients.ending(n)
	if f.is(EndsAtOnce) {
		f.exit(p)
	}
	p.step(limiter.Event{Kind: limiter.Stopping}, nil)
	f.q.at(f.q.now+f.longest+lastCalls, func() {
		if !p.dead {
			f.end(p, "overdue", "killed: it had not ended")
		}
		if again {
			f.Start(n)
		}
	})
}

// Hup is SIGHUP with a configuration that names other addresses of the list service and the counter; those are numbered
// from 1. The new list service counts its versions otherwise, the old one falls silent.
func (f *Fleet) Hup(n, list, counter int) {
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
			if f.o.Mode == Asked { // whoever still watches there misses what comes
				f.lists.watches(old, func(p *process, ln *line) { p.fallSilent(ln.call) })
			}
		})
	}
	p := m.p
	if p == nil {
		return
	}
	config := *p.config
	config.Discovery, config.Counter = m.list, m.counter
	f.event("hup", p.host.name, m.list+" "+m.counter)
	p.life.others = append(p.life.others, span{f.q.now, f.q.now + afterHup})
	if f.is(DeafToHup) {
		return
	}
	p.step(limiter.Event{Kind: limiter.Renewed, Config: &config}, nil)
}

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

// Drain lists a server as one that wants nothing new; its process goes on.
func (f *Fleet) Drain(name string) { f.leave(name, "terminating", "drain") }

// Gone ends a server's process, and the list tells so.
func (f *Fleet) Gone(name string) {
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

// Crash ends a server's process and nobody is told; Back starts it cold, and the list tells so.
func (f *Fleet) Crash(name string) {
	s := f.serverNamed(name)
	f.event("server-crash", name, "")
	f.net.kill(s.host)
	s.reborn()
}

// Back starts a server's process at its old address, cold.
func (f *Fleet) Back(name string) {
	s := f.serverNamed(name)
	s.start(f.q.now)
	f.event("back", name, "")
	s.change = f.lists.set(s.entry("in_service"))
}

// Add starts a new server like an old one, cold.
func (f *Fleet) Add(like, name string) {
	old := f.serverNamed(like)
	spec := old.spec
	spec.Name = name
	f.addServer(spec, old.seen, uint64(len(f.servers)))
	f.Back(name)
}

// Silence lets a server take commands and answer nothing; Slow makes its work take longer. Both until they are undone.
func (f *Fleet) Silence(name string, on bool) {
	f.serverNamed(name).silent = on
	f.event("silence", name, fmt.Sprint(on))
}

// Slow makes a server's jobs take so many times as long.
func (f *Fleet) Slow(name string, factor float64) {
	f.serverNamed(name).slow = factor
	f.event("slow", name, fmt.Sprint(factor))
}

// Rate changes the rate at which jobs come.
func (f *Fleet) Rate(rate float64) { f.clients.rate = rate }

// ListDown stops the list service, or starts it again. While it is down it says nothing to anybody.
func (f *Fleet) ListDown(down bool) {
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

// Quiet lets the watches of some limiters fall silent; it tells how many did.
func (f *Fleet) Quiet(of func(limiter int) bool) int {
	hit := f.lists.quiet(of)
	f.event("quiet", "list", fmt.Sprintf("watches=%d", hit))
	return hit
}

// hostsOf names machines for links: "limiter", "server", "counter", "list" or "clients" for all such, or a server's name.
// Where among is not nil it chooses among limiters by their number.
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

// Link puts a fault on the links from some machines to others, in that direction alone: what is "limiter", "server",
// "counter", "list", "clients" or the name of a server, and among chooses among limiters. extra is for Delay and Late,
// share for Tear. Heal undoes it.
func (f *Fleet) Link(way Way, from, to string, among func(int) bool, extra int64, share float64) *Rule {
	r := &Rule{way: way, from: f.hostsOf(from, among), to: f.hostsOf(to, among), extra: extra, share: share}
	f.net.add(r)
	if f.o.Mode == Asked && way <= Stall && from == "list" { // open watches fall silent
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

// Heal undoes a fault of links.
func (f *Fleet) Heal(r *Rule) {
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

// Vanish takes a server's machine away without a word. Back brings it back.
func (f *Fleet) Vanish(name string) {
	s := f.serverNamed(name)
	f.event("vanish", name, "")
	f.net.vanish(s.host)
	s.reborn()
}
