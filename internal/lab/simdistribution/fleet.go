// Package simdistribution plays the distribution of configuration to a whole fleet in one process: the source, relays
// and subscribers of package distribution on a virtual clock, over a network of zones and regions that can be cut,
// with relays that can be killed or stalled. There is no goroutine and no wall clock, and chance comes from a seed:
// the same options give the same figures.
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
	second      = int64(1e9)
	millisecond = int64(1e6)
	dialTimeout = 250 * millisecond
	// headerBytes is what the heads of a call and its answer cost together, about.
	headerBytes = 400
	// serviceTime is how long a server works on an answer; it gives one at a time.
	serviceTime = millisecond / 5
)

var (
	errResponseTimeout   = errors.New("no answer in time")
	errConnectionRefused = errors.New("connection refused")
	errDialTimeout       = errors.New("no connection in time")
)

// Options are what a fleet is made of.
type Options struct {
	Limiters       int
	Regions        int
	ZonesPerRegion int // with one relay each
	Entries        int // half of them for every limiter, the others for one region each
	ValueBytes     int
	Seed           uint64
	Cold           bool // no subscriber has a state at the start, as if all had lost theirs
	Budget         distribution.Budget
	// Transcript takes each message as it arrives; nil for no record.
	Transcript *transcript.Transcript
}

// DefaultOptions is a fleet of 550 limiters in three regions of two zones.
func DefaultOptions() Options {
	return Options{Limiters: 550, Regions: 3, ZonesPerRegion: 2, Entries: 1000, ValueBytes: 200}
}

// node is the source, a relay or a limiter.
type node struct {
	name           string
	zone, region   int
	incarnation    int // counts kills and restarts
	down           bool
	stalled        bool
	server         distribution.Server
	relay          *distribution.Relay
	poller         *distribution.Poller
	upstreams      [2]*node
	heldCalls      []*call
	busyUntil      int64 // until when it works on answers
	acknowledged   distribution.Acknowledgement
	acknowledgedAt int64
	bytes          int64
	applier        *applier
	inForceAt      map[distribution.Version]int64
}

// call is a call of a limiter or relay under way.
type call struct {
	distribution.Call
	from, to                       *node
	fromIncarnation, toIncarnation int
	done                           bool
}

// applier counts what is put in force.
type applier struct{ applied int }

func (a *applier) Apply(*distribution.Update) error {
	a.applied++
	return nil
}

// Fleet is a fleet under way. It is not safe for concurrent use.
type Fleet struct {
	options        Options
	queue          queue
	rng            *rand.Rand
	source         *distribution.Source
	sourceNode     *node
	relays         []*node
	limiters       []*node
	addresses      []distribution.RelayAddress
	isolatedZone   int // from everything else, -1 for none
	isolatedRegion int
	published      map[distribution.Version]int64
	summaries      int // messages of relays to the source
	calls          int // of limiters
}

// New makes a fleet whose source has its state; the rest starts at time 0.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), isolatedZone: -1, isolatedRegion: -1,
		published: map[distribution.Version]int64{}}
	f.source = distribution.NewSource(distribution.NewLog(distribution.Retention{}), options.Budget)
	f.sourceNode = &node{name: "source", zone: -1, server: f.source} // in region 0, and in none of its zones
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

// publishInitial publishes the first state.
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

// newEntry is the put of an entry by number, with a new value.
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

// savedState is a state as a limiter has it on its disk.
type savedState struct {
	version distribution.Version
	state   *distribution.State
	takenAt int64
}

// initialStates are the states that the limiters of each region begin with.
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
	f.scheduleWhileAlive(n, n.poller.First(), func() { f.poll(n) })
	f.scheduleWhileAlive(n, distribution.SummaryEvery, func() { f.sendSummaries(n) })
}

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
	f.scheduleWhileAlive(n, n.poller.First(), func() { f.poll(n) })
	return nil
}

// scheduleWhileAlive makes something happen later unless the node's life has ended by then.
func (f *Fleet) scheduleWhileAlive(n *node, delay int64, run func()) {
	incarnation := n.incarnation
	f.queue.schedule(delay, func() {
		if n.incarnation == incarnation && !n.down {
			run()
		}
	})
}

// partitioned tells whether nothing passes between two nodes.
func (f *Fleet) partitioned(a, b *node) bool {
	if f.isolatedZone >= 0 && (a.zone == f.isolatedZone) != (b.zone == f.isolatedZone) {
		return true
	}
	return f.isolatedRegion >= 0 && (a.region == f.isolatedRegion) != (b.region == f.isolatedRegion)
}

// latency is the time of one way, which varies by a fifth.
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

// Publish puts a new value to some entry and returns its version.
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

// Run lets time pass.
func (f *Fleet) Run(duration int64) { f.queue.runUntil(f.queue.now + duration) }
