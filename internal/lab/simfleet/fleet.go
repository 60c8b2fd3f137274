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
	epoch            = int64(1e15) // the limiters' clock at the fleet's zero
	never            = int64(1) << 62
	silentWatchDelay = int64(6e9) // what a silent watch misses counts as told so long after it fell silent,
	holdOverrunDelay = int64(2e9) // or so long after the wait of its call is over, where that is later
	reloadDelay      = int64(4e9) // what a new list service has to tell counts so long after SIGHUP
	shutdownMargin   = int64(700e6)
)

// Fleet is a fleet in memory. It is not safe for concurrent use.
type Fleet struct {
	options         Options
	q               queue
	rng             *rand.Rand
	net             *network
	settings        *settings.Settings
	limiters        []*fleetLimiter
	limiterByHost   map[*host]int
	servers         []*server
	counter         *counter
	discovery       *discoveryService
	clients         *clients
	requests        []history.Request
	attempts        []observedAttempt
	events          []history.Event
	faults          []history.Event
	drains          []drainChange
	overloadCrashes int
	longestDeadline int64 // the longest deadline
	answersWritten  int   // answers, for LosesAnswers
}

// observedAttempt is an attempt as a server saw it, and what the judge needs beside that.
type observedAttempt struct {
	history.Attempt
	limiter     int
	incarnation int   // of the server's processes
	sent        int64 // when its first byte was written
}

// drainChange is a change after which a server wants nothing new.
type drainChange struct {
	version     int64
	server      string
	incarnation int
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
func New(options Options) (*Fleet, error) {
	options = options.withDefaults()
	f := &Fleet{options: options, rng: rand.New(rand.NewPCG(options.Seed, 0xf1)), limiterByHost: map[*host]int{}}
	if err := f.decodeSettings(); err != nil {
		return nil, err
	}
	if err := f.checkLoad(); err != nil {
		return nil, err
	}
	f.net = newNetwork(&f.q, options.Seed)
	f.net.transcript = options.Transcript
	f.counter = &counter{f: f, entries: map[string]counterEntry{}}
	f.net.host("counter:1").handler = f.counter
	f.discovery = &discoveryService{f: f, tokens: options.DiscoveryCallRate}
	f.net.host("list")
	f.addServers()
	if options.Mode == Polled {
		f.addDiscoveryEndpoint("list:1", -1, 0)
	}
	f.clients = &clients{
		f:    f,
		host: f.net.host("clients"),
		rng:  rand.New(rand.NewPCG(options.Seed, 0xc11)),
		rate: options.Load.Rate,
	}
	f.clients.host.handler = f.clients
	f.addLimiters()
	if options.Load.Rate > 0 {
		f.q.at(options.Load.From, f.clients.scheduleNext)
	}
	return f, nil
}

func (f *Fleet) decodeSettings() error {
	text, err := json.Marshal(f.options.Settings)
	if err != nil {
		return err
	}
	f.settings, err = settings.Decode(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// checkLoad checks the load against the settings and finds the longest deadline.
func (f *Fleet) checkLoad() error {
	for _, class := range f.options.Load.Classes {
		if f.settings.Classes[class.Class] == nil {
			return fmt.Errorf("load: no track %q", class.Class)
		}
		f.longestDeadline = max(f.longestDeadline, class.Deadline)
	}
	for _, customer := range f.options.Load.Customers {
		if f.settings.Plans[customer.Plan] == nil || customer.Limiters < 1 || customer.Limiters > f.options.Limiters {
			return fmt.Errorf("load: customer %s: plan %q, spread %d", customer.ID, customer.Plan, customer.Limiters)
		}
	}
	return nil
}

// addServers adds the servers of the options, warm since long ago; those of a zone drop each other's repeats.
func (f *Fleet) addServers() {
	zones := map[string]map[string]int64{}
	for i, spec := range f.options.Servers {
		if zones[spec.Zone] == nil {
			zones[spec.Zone] = map[string]int64{}
		}
		f.addServer(spec, zones[spec.Zone], uint64(i)).start(longAgo)
		f.discovery.initial = append(f.discovery.initial, f.servers[i].entry("in_service"))
	}
}

// addLimiters adds the limiters, which know the first list; where lists are pushed, each has a list service beside it.
func (f *Fleet) addLimiters() {
	known, _ := json.Marshal(map[string]any{"generation": firstVersion, "reset": true, "instances": f.discovery.initial})
	for n := range f.options.Limiters {
		added := &fleetLimiter{
			index:            n,
			host:             f.net.host(fmt.Sprintf("limiter:%d", n)),
			initialList:      known,
			discoveryAddress: "list:1",
			counterAddress:   "counter:1",
		}
		f.limiters = append(f.limiters, added)
		f.limiterByHost[added.host] = n
		f.clients.limiters = append(f.clients.limiters, &limiterState{})
		if f.options.Mode == Pushed {
			added.discoveryAddress = fmt.Sprintf("agent-%d:1", n)
			f.net.colocated[added.host] = f.addDiscoveryEndpoint(added.discoveryAddress, n, 0).host
			f.recordAgentVersion(n, firstVersion)
		}
	}
}

func (f *Fleet) addDiscoveryEndpoint(address string, owner int, versionOffset int64) *discoveryEndpoint {
	d := &discoveryEndpoint{f: f, host: f.net.host(address), limiter: owner, version: f.discovery.version(),
		versionOffset: versionOffset}
	d.host.handler = d
	f.discovery.endpoints = append(f.discovery.endpoints, d)
	return d
}

func (f *Fleet) addServer(spec ServerSpec, dedupExpiry map[string]int64, number uint64) *server {
	s := &server{f: f, spec: spec, host: f.net.host(spec.Name + ":1"), dedupExpiry: dedupExpiry,
		rng: rand.New(rand.NewPCG(f.options.Seed, 0x5e<<32|number))}
	f.servers = append(f.servers, s)
	return s
}

// entry is the server's line of the list.
func (s *server) entry(state string) instance {
	entry := instance{ID: s.spec.Name, HostPort: s.host.name, Zone: s.spec.Zone, Machine: "m", Lifecycle: state, Weight: 1}
	if s.started > longAgo {
		entry.StartedMs = (epoch + s.started) / 1e6
	}
	return entry
}

// Now is the fleet's clock.
func (f *Fleet) Now() int64 { return f.q.now }

// At plans a step of a story.
func (f *Fleet) At(at int64, step func()) { f.q.at(at, step) }

// LatencyObjective is a class's agreed time.
func (f *Fleet) LatencyObjective(name string) int64 { return f.settings.Classes[name].LatencyObjective }

// Run lets the fleet run up to a time.
func (f *Fleet) Run(until int64) { f.q.run(until) }

func (f *Fleet) recordEvent(kind, target, detail string) {
	f.events = append(f.events, history.Event{At: f.q.now, Kind: kind, Target: target, Detail: detail})
}

// recordFault notes what no fleet may show, beside the five rules: a crash, a command or an answer that is none.
func (f *Fleet) recordFault(kind, target, detail string) {
	f.recordEvent(kind, target, detail)
	f.faults = append(f.faults, f.events[len(f.events)-1])
}

func (f *Fleet) recordAttempt(attempt history.Attempt, by *server, fromLimiter int, sent int64) {
	f.attempts = append(f.attempts, observedAttempt{Attempt: attempt, limiter: fromLimiter,
		incarnation: by.incarnation, sent: sent})
}
