// Package simfleet plays a whole fleet in one process: real limiters (internal/limiter, the reducer that also runs on
// sockets), and servers, a counter, a list service and clients in memory, which speak the real wires. Everything
// happens in the order of one queue under one virtual clock, with chance from one seed: no goroutine, no wall clock, no
// sleep. So the same seed gives the same record, byte for byte, and a fault that was seen once can be seen again.
//
// The fleet is judged from the records of servers, clients and the list service, never from a limiter's own word
// (see docs/scenarios.md).
package simfleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"

	"ospreycroft/internal/lab/history"
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
	requests []history.Request
	attempts []seen
	events   []history.Event
	faults   []history.Event
	drains   []drained
	falls    int
	longest  int64 // the longest deadline
	written  int   // answers, for LosesAnswers
}

// seen is an attempt as a server saw it, and what the judge needs beside that.
type seen struct {
	history.Attempt
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

// withDefaults fills in what a fleet's options leave open; the caller's settings are not written to.
func (o Options) withDefaults() Options {
	if o.Settings == nil {
		o.Settings = DefaultSettings()
	}
	o.Settings = maps.Clone(o.Settings)
	if o.OverloadMultiple == 0 {
		o.OverloadMultiple = 3
		o.OverloadWindow = 1500e6
	}
	if o.Grace == 0 {
		o.Grace = 300e6
	}
	if o.DiscoveryCallRate == 0 {
		o.DiscoveryCallRate = 1e9
	}
	o.Settings["balancers"] = o.Limiters
	o.Settings["registry-mode"] = map[Mode]string{Pushed: "pushed", Polled: "on_request"}[o.Mode]
	return o
}

// New makes a fleet in which no limiter has started yet; the servers, the counter and the list service run.
func New(o Options) (*Fleet, error) {
	o = o.withDefaults()
	f := &Fleet{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0xf1)), byHost: map[*host]int{}}
	if err := f.decodeSettings(); err != nil {
		return nil, err
	}
	if err := f.checkLoad(); err != nil {
		return nil, err
	}
	f.net = newNetwork(&f.q, o.Seed)
	f.net.transcript = o.Transcript
	f.counter = &counter{f: f, counts: map[string]count{}}
	f.net.host("counter:1").party = f.counter
	f.lists = &lists{f: f, tokens: o.DiscoveryCallRate}
	f.net.host("list")
	f.addServers()
	if o.Mode == Polled {
		f.desk("list:1", -1, 0)
	}
	f.clients = &clients{
		f:    f,
		host: f.net.host("clients"),
		rng:  rand.New(rand.NewPCG(o.Seed, 0xc11)),
		rate: o.Load.Rate,
	}
	f.clients.host.party = f.clients
	f.addLimiters()
	if o.Load.Rate > 0 {
		f.q.at(o.Load.From, f.clients.arrive)
	}
	return f, nil
}

func (f *Fleet) decodeSettings() error {
	text, err := json.Marshal(f.o.Settings)
	if err != nil {
		return err
	}
	f.set, err = settings.Decode(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// checkLoad checks the load against the settings and finds the longest deadline.
func (f *Fleet) checkLoad() error {
	for _, m := range f.o.Load.Classes {
		if f.set.Classes[m.Class] == nil {
			return fmt.Errorf("load: no track %q", m.Class)
		}
		f.longest = max(f.longest, m.Deadline)
	}
	for _, c := range f.o.Load.Customers {
		if f.set.Plans[c.Plan] == nil || c.Limiters < 1 || c.Limiters > f.o.Limiters {
			return fmt.Errorf("load: customer %s: plan %q, spread %d", c.ID, c.Plan, c.Limiters)
		}
	}
	return nil
}

// addServers adds the servers of the options, warm since long ago; those of a zone drop each other's repeats.
func (f *Fleet) addServers() {
	zones := map[string]map[string]int64{}
	for i, spec := range f.o.Servers {
		if zones[spec.Zone] == nil {
			zones[spec.Zone] = map[string]int64{}
		}
		f.addServer(spec, zones[spec.Zone], uint64(i)).start(longAgo)
		f.lists.first = append(f.lists.first, f.servers[i].entry("in_service"))
	}
}

// addLimiters adds the limiters, which know the first list; where lists are pushed, each has a list service beside it.
func (f *Fleet) addLimiters() {
	known, _ := json.Marshal(map[string]any{"generation": firstVersion, "reset": true, "instances": f.lists.first})
	for n := range f.o.Limiters {
		m := &member{
			n:       n,
			host:    f.net.host(fmt.Sprintf("limiter:%d", n)),
			known:   known,
			list:    "list:1",
			counter: "counter:1",
		}
		f.limiters = append(f.limiters, m)
		f.byHost[m.host] = n
		f.clients.gates = append(f.clients.gates, &gate{})
		if f.o.Mode == Pushed {
			m.list = fmt.Sprintf("agent-%d:1", n)
			f.net.near[m.host] = f.desk(m.list, n, 0).host
			f.arrived(n, firstVersion)
		}
	}
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

// LatencyObjective is a class's agreed time.
func (f *Fleet) LatencyObjective(track string) int64 { return f.set.Classes[track].LatencyObjective }

// Run lets the fleet run up to a time.
func (f *Fleet) Run(until int64) { f.q.run(until) }

func (f *Fleet) event(kind, target, detail string) {
	f.events = append(f.events, history.Event{At: f.q.now, Kind: kind, Target: target, Detail: detail})
}

// fault notes what no fleet may show, beside the five rules: a crash, a command or an answer that is none.
func (f *Fleet) fault(kind, target, detail string) {
	f.event(kind, target, detail)
	f.faults = append(f.faults, f.events[len(f.events)-1])
}

func (f *Fleet) recordAttempt(s history.Attempt, to *server, from int, sent int64) {
	f.attempts = append(f.attempts, seen{Attempt: s, limiter: from, life: to.life, sent: sent})
}
