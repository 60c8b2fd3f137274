// Package simdistribution simulates the distribution of configuration to a whole fleet in one process. It runs the
// source, relays and subscribers of package distribution on a virtual clock, over a network of zones and regions that
// can be partitioned, with relays that can be killed or stalled. It uses no goroutines and no wall clock, and its
// random numbers come from a seed: the same options give the same report.
package simdistribution

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/transcript"
)

const (
	second      = int64(1e9) // nanoseconds
	millisecond = int64(1e6)
	dialTimeout = 250 * millisecond
	// headerBytes is the approximate size of the HTTP headers of a call and its response together.
	headerBytes = 400
	// serviceTime is how long a server takes to process a call, in nanoseconds. It processes one at a time.
	serviceTime = millisecond / 5
)

var (
	errResponseTimeout   = errors.New("response timed out")
	errConnectionRefused = errors.New("connection refused")
	errDialTimeout       = errors.New("dial timed out")
)

// Options define a fleet.
type Options struct {
	Limiters       int
	Regions        int
	ZonesPerRegion int // each zone has one relay
	Entries        int // half of them in every limiter's scope, the others in one region's each
	ValueBytes     int
	Seed           uint64
	Cold           bool // subscribers start without a saved state
	Budget         distribution.Budget
	// Transcript records each poll when it is sent and each response when it is delivered; nil records nothing.
	Transcript *transcript.Transcript
}

// DefaultOptions returns the options of a fleet of 550 limiters in three regions of two zones.
func DefaultOptions() Options {
	return Options{Limiters: 550, Regions: 3, ZonesPerRegion: 2, Entries: 1000, ValueBytes: 200}
}

// node is an endpoint of the simulated network: the source, a relay or a limiter.
type node struct {
	name           string
	zone, region   int
	incarnation    int // incremented by each start and each kill, so that events of an earlier process are dropped
	down           bool
	stalled        bool
	server         distribution.Server
	relay          *distribution.Relay
	poller         *distribution.Poller
	upstreams      [2]*node
	heldCalls      []*call
	busyUntil      int64 // when the server has processed all calls accepted so far
	acknowledged   distribution.Acknowledgement
	acknowledgedAt int64
	bytes          int64
	applier        *applier
	inForceAt      map[distribution.Version]int64
}

// call is a call of a limiter or relay that has not ended yet.
type call struct {
	distribution.Call
	from, to                       *node
	fromIncarnation, toIncarnation int
	done                           bool
}

// applier counts the updates that are put in force.
type applier struct{ applied int }

func (a *applier) Apply(*distribution.Update) error {
	a.applied++
	return nil
}

// Fleet is a simulated fleet. It is not safe for concurrent use. Times and durations are in nanoseconds.
type Fleet struct {
	options        Options
	queue          queue
	rng            *rand.Rand
	source         *distribution.Source
	sourceNode     *node
	relays         []*node
	limiters       []*node
	addresses      []distribution.RelayAddress
	isolatedZone   int // -1 for none
	isolatedRegion int
	published      map[distribution.Version]int64 // time of publication
	summaries      int                            // sent by relays to the source
	calls          int                            // made by limiters
}

// New returns a fleet whose source has published its initial state. Relays and limiters start at time 0.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), isolatedZone: -1, isolatedRegion: -1,
		published: map[distribution.Version]int64{}}
	f.source = distribution.NewSource(distribution.NewLog(distribution.Retention{}), options.Budget)
	f.sourceNode = &node{name: "source", zone: -1, server: f.source} // in region 0, outside its zones
	if err := f.publishInitial(); err != nil {
		return nil, err
	}
	for zone := range options.Regions * options.ZonesPerRegion {
		f.relays = append(
			f.relays,
			&node{name: fmt.Sprint("relay-", zone), zone: zone, region: zone / options.ZonesPerRegion},
		)
		f.addresses = append(
			f.addresses,
			distribution.RelayAddress{Name: fmt.Sprint("relay-", zone), Zone: fmt.Sprint(zone), Address: "-"},
		)
	}
	for i := range options.Limiters {
		zone := i % len(f.relays)
		n := &node{name: fmt.Sprint("limiter-", i), zone: zone, region: zone / options.ZonesPerRegion}
		chosen, err := distribution.ChooseRelays(f.addresses, fmt.Sprint(zone), i/len(f.relays))
		if err != nil {
			return nil, err
		}
		for k, address := range chosen {
			for _, relay := range f.relays {
				if relay.name == address.Name {
					n.upstreams[k] = relay
				}
			}
		}
		f.limiters = append(f.limiters, n)
	}
	states, err := f.initialStates()
	if err != nil {
		return nil, err
	}
	for i, n := range f.relays {
		f.startRelay(i, n)
	}
	for i, n := range f.limiters {
		var saved *savedState
		if !options.Cold {
			saved = states[n.region]
		}
		if err := f.startLimiter(i, n, saved); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// publishInitial publishes the initial state.
func (f *Fleet) publishInitial() error {
	if _, err := f.source.Open(0, 1); err != nil {
		return err
	}
	for i := range f.options.Entries {
		if _, err := f.source.Publish(0, 1, nil, []distribution.Mutation{f.newEntry(i)}); err != nil {
			return err
		}
	}
	return nil
}

// newEntry returns a mutation that sets entry i to a new random value.
func (f *Fleet) newEntry(i int) distribution.Mutation {
	key := distribution.Key{Kind: distribution.Kinds[i%len(distribution.Kinds)], Name: fmt.Sprint("entry-", i)}
	if i >= f.options.Entries/2 {
		key.Scope = fmt.Sprint("region-", i%f.options.Regions)
	}
	value := fmt.Sprintf("%016x", f.rng.Uint64()) + strings.Repeat("v", max(f.options.ValueBytes-16, 0))
	return distribution.Mutation{Entry: distribution.Entry{Key: key, Value: value}}
}

func (f *Fleet) scopeOf(n *node) distribution.Scope {
	return distribution.Scope{Names: []string{fmt.Sprint("region-", n.region)}}
}

// savedState is a limiter's state on its disk.
type savedState struct {
	version distribution.Version
	state   *distribution.State
	takenAt int64
}

// initialStates returns the state that the limiters of each region start with, by region.
func (f *Fleet) initialStates() ([]*savedState, error) {
	states := make([]*savedState, f.options.Regions)
	for region := range states {
		scope := f.scopeOf(&node{region: region})
		var entries []distribution.Entry
		for _, e := range f.source.State().Entries() {
			if scope.Contains(e.Key) {
				entries = append(entries, e)
			}
		}
		state, err := distribution.NewStateOf(entries)
		if err != nil {
			return nil, err
		}
		states[region] = &savedState{f.source.Head(), state, f.queue.now}
	}
	return states, nil
}

func (f *Fleet) startRelay(i int, n *node) {
	n.incarnation++
	n.relay = distribution.NewRelay(f.queue.now, distribution.RelayOptions{Name: n.name, Budget: f.options.Budget})
	n.server = n.relay
	n.poller = distribution.NewPoller(f.queue.now, n.relay.Subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.RelayHold, Position: i})
	n.upstreams = [2]*node{f.sourceNode, f.sourceNode}
	n.heldCalls = nil
	n.down = false
	n.stalled = false
	f.scheduleWhileAlive(n, n.poller.FirstDelay(), func() { f.poll(n) })
	f.scheduleWhileAlive(n, distribution.SummaryInterval, func() { f.sendSummaries(n) })
}

// startLimiter starts limiter i. It restores the saved state; nil starts without one.
func (f *Fleet) startLimiter(i int, n *node, saved *savedState) error {
	n.incarnation++
	n.applier = &applier{}
	n.acknowledged = distribution.Acknowledgement{}
	n.acknowledgedAt = 0
	n.inForceAt = map[distribution.Version]int64{}
	subscriber := distribution.NewSubscriber(
		f.queue.now,
		distribution.SubscriberOptions{Name: n.name, Scope: f.scopeOf(n), Applier: n.applier},
	)
	if saved != nil {
		if err := subscriber.Restore(saved.version, saved.state.Clone(), f.queue.now-saved.takenAt); err != nil {
			return err
		}
	}
	n.poller = distribution.NewPoller(f.queue.now, subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.LimiterHold, Position: i})
	f.recordInForce(n)
	f.scheduleWhileAlive(n, n.poller.FirstDelay(), func() { f.poll(n) })
	return nil
}

// scheduleWhileAlive calls run after delay, unless the node has been killed or restarted by then.
func (f *Fleet) scheduleWhileAlive(n *node, delay int64, run func()) {
	incarnation := n.incarnation
	f.queue.schedule(delay, func() {
		if n.incarnation == incarnation && !n.down {
			run()
		}
	})
}

// partitioned reports whether messages between two nodes are lost.
func (f *Fleet) partitioned(a, b *node) bool {
	if f.isolatedZone >= 0 && (a.zone == f.isolatedZone) != (b.zone == f.isolatedZone) {
		return true
	}
	return f.isolatedRegion >= 0 && (a.region == f.isolatedRegion) != (b.region == f.isolatedRegion)
}

// latency returns the one-way delay between two nodes: 0.25 ms in a zone, 1 ms between zones and 40 ms between
// regions, plus a random part of up to a fifth.
func (f *Fleet) latency(a, b *node) int64 {
	base := 250 * millisecond / 1000
	switch {
	case a.region != b.region:
		base = 40 * millisecond
	case a.zone != b.zone:
		base = millisecond
	}
	return base + int64(f.rng.Float64()*0.2*float64(base))
}

// Publish sets a random entry to a new value and returns the version of the change.
func (f *Fleet) Publish() (distribution.Version, error) {
	change, err := f.source.Publish(
		f.queue.now,
		1,
		nil,
		[]distribution.Mutation{f.newEntry(f.rng.IntN(f.options.Entries))},
	)
	if err != nil {
		return distribution.Version{}, err
	}
	f.published[change.Version] = f.queue.now
	f.answerHeldCalls(f.sourceNode)
	return change.Version, nil
}

// Run advances the virtual clock by duration and runs all events until then.
func (f *Fleet) Run(duration int64) { f.queue.runUntil(f.queue.now + duration) }
