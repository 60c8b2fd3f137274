// Package simfleet simulates a whole fleet in one process. The limiters are real (internal/limiter, the reducer that
// production runs on sockets); servers, a shared counter, a discovery service and clients are simulated in memory and
// speak the real protocols. All events run in one queue under one virtual clock, and all randomness comes from one
// seed: there are no goroutines, no wall clock and no sleeps. So the same seed gives the same record, byte for byte,
// and a fault that was seen once can be reproduced.
//
// The fleet is judged by the records of servers, clients and the discovery service, never by a limiter's own reports
// (see docs/scenarios.md). The rules that are named by number are those of package invariants.
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
	epoch = int64(1e15)    // the limiters' clock when the fleet's clock is 0
	never = int64(1) << 62 // a time that is not reached
	// A change that a silent watch misses counts as notified silentWatchDelay after the watch fell silent, or
	// holdOverrunDelay after the hold time of its poll if that is later. In nanoseconds.
	silentWatchDelay = int64(6e9)
	holdOverrunDelay = int64(2e9)
	// After SIGHUP, changes at the new discovery service count as notified only after this delay, in nanoseconds.
	reloadDelay = int64(4e9)
	// a limiter is killed this long after the longest deadline if its graceful shutdown has not ended, in nanoseconds
	shutdownMargin = int64(700e6)
)

// Fleet is a simulated fleet. It is not safe for concurrent use.
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
	longestDeadline int64 // the longest deadline of any class, in nanoseconds
	answersWritten  int   // answers written to clients, counted under LosesAnswers
}

// observedAttempt is an attempt as a server saw it, with what the judge needs besides.
type observedAttempt struct {
	history.Attempt
	limiter     int
	incarnation int   // the server's process, counted from its first
	sent        int64 // when the first byte of the command was written
}

// drainChange is a change of the endpoint list after which a server should get no new requests.
type drainChange struct {
	version     int64
	server      string
	incarnation int
}

// withDefaults returns the options with defaults for what is unset. It does not write to the caller's settings.
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

// New creates a fleet whose servers, shared counter and discovery service run. No limiter is started yet.
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

// checkLoad checks the load against the settings and determines the longest deadline.
func (f *Fleet) checkLoad() error {
	for _, class := range f.options.Load.Classes {
		if f.settings.Classes[class.Class] == nil {
			return fmt.Errorf("load: unknown class %q", class.Class)
		}
		f.longestDeadline = max(f.longestDeadline, class.Deadline)
	}
	for _, customer := range f.options.Load.Customers {
		if f.settings.Plans[customer.Plan] == nil || customer.Limiters < 1 || customer.Limiters > f.options.Limiters {
			return fmt.Errorf("load: customer %s: unknown plan %q or invalid number of limiters %d",
				customer.ID, customer.Plan, customer.Limiters)
		}
	}
	return nil
}

// addServers adds the servers of the options, all of them warm. The servers of a zone share the keys that they
// deduplicate by.
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

// addLimiters adds the limiters, whose configuration holds the initial endpoint list. In mode Pushed each gets a
// discovery agent on its own host.
func (f *Fleet) addLimiters() {
	known, _ := json.Marshal(map[string]any{"generation": firstVersion, "reset": true,
		"instances": f.discovery.initial})
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

// entry returns the server's entry in the endpoint list.
func (s *server) entry(state string) instance {
	entry := instance{ID: s.spec.Name, HostPort: s.host.name, Zone: s.spec.Zone, Machine: "m",
		Lifecycle: state, Weight: 1}
	if s.started > longAgo {
		entry.StartedMs = (epoch + s.started) / 1e6
	}
	return entry
}

// Now returns the fleet's clock, in nanoseconds since the run began.
func (f *Fleet) Now() int64 { return f.q.now }

// At schedules a step of a scenario at a time of the fleet's clock.
func (f *Fleet) At(at int64, step func()) { f.q.at(at, step) }

// LatencyObjective returns the latency objective of a class.
func (f *Fleet) LatencyObjective(name string) int64 { return f.settings.Classes[name].LatencyObjective }

// Run runs the fleet until the given time of its clock.
func (f *Fleet) Run(until int64) { f.q.run(until) }

func (f *Fleet) recordEvent(kind, target, detail string) {
	f.events = append(f.events, history.Event{At: f.q.now, Kind: kind, Target: target, Detail: detail})
}

// recordFault records an event that no fleet may show, independent of the five rules of package invariants: a crash, or
// a malformed command or answer.
func (f *Fleet) recordFault(kind, target, detail string) {
	f.recordEvent(kind, target, detail)
	f.faults = append(f.faults, f.events[len(f.events)-1])
}

func (f *Fleet) recordAttempt(attempt history.Attempt, by *server, fromLimiter int, sent int64) {
	f.attempts = append(f.attempts, observedAttempt{Attempt: attempt, limiter: fromLimiter,
		incarnation: by.incarnation, sent: sent})
}
