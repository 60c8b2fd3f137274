// Package simdistribution plays the distribution of configuration to a whole fleet in one process: the source, relays
// and subscribers of package distribution on a virtual clock, over a network of zones and regions that can be cut,
// with relays that can be killed or stalled. There is no goroutine and no wall clock, and chance comes from a seed:
// the same options give the same figures.
package simdistribution

import (
	"encoding/json"
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
	// answerTime is how long a server works on an answer; it gives one at a time.
	answerTime = millisecond / 5
)

var (
	errTimeout  = errors.New("no answer in time")
	errRefused  = errors.New("connection refused")
	errDialling = errors.New("no connection in time")
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
	name         string
	zone, region int
	life         int // counts kills and restarts
	down         bool
	stalled      bool
	server       distribution.Server
	relay        *distribution.Relay
	poller       *distribution.Poller
	servers      [2]*node
	held         []*call
	busy         int64 // until when it works on answers
	acknowledged distribution.Acknowledgement
	saidAt       int64
	bytes        int64
	applier      *applier
	seenInForce  map[distribution.Version]int64
}

// call is a call of a limiter or relay under way.
type call struct {
	distribution.Call
	from, to         *node
	fromLife, toLife int
	done             bool
}

// applier counts what is put in force.
type applier struct{ applied int }

func (a *applier) Apply(*distribution.Update) error {
	a.applied++
	return nil
}

// Fleet is a fleet under way. It is not safe for concurrent use.
type Fleet struct {
	options   Options
	queue     queue
	rng       *rand.Rand
	source    *distribution.Source
	sourceAt  *node
	relays    []*node
	limiters  []*node
	addresses []distribution.RelayAddress
	cutZone   int // from everything else, -1 for none
	cutRegion int
	published map[distribution.Version]int64
	summaries int // messages of relays to the source
	calls     int // of limiters
}

// New makes a fleet whose source has its state; the rest starts at time 0.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), cutZone: -1, cutRegion: -1,
		published: map[distribution.Version]int64{}}
	f.source = distribution.NewSource(distribution.NewLog(distribution.Retention{}), options.Budget)
	f.sourceAt = &node{name: "source", zone: -1, server: f.source} // in region 0, and in none of its zones
	if err := f.fill(); err != nil {
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
		two, err := distribution.ChooseRelays(f.addresses, fmt.Sprint(zone), i/len(f.relays))
		if err != nil {
			return nil, err
		}
		for k, address := range two {
			for _, relay := range f.relays {
				if relay.name == address.Name {
					n.servers[k] = relay
				}
			}
		}
		f.limiters = append(f.limiters, n)
	}
	disks, err := f.disks()
	if err != nil {
		return nil, err
	}
	for i, n := range f.relays {
		f.startRelay(i, n)
	}
	for i, n := range f.limiters {
		var from *disk
		if !options.Cold {
			from = disks[n.region]
		}
		if err := f.startLimiter(i, n, from); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// fill publishes the first state.
func (f *Fleet) fill() error {
	if _, err := f.source.Open(0, 1); err != nil {
		return err
	}
	for i := range f.options.Entries {
		if _, err := f.source.Publish(0, 1, nil, []distribution.Mutation{f.entry(i)}); err != nil {
			return err
		}
	}
	return nil
}

// entry is the put of an entry by number, with a new value.
func (f *Fleet) entry(i int) distribution.Mutation {
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

// disk is a state as a limiter has it on its disk.
type disk struct {
	version distribution.Version
	state   *distribution.State
	taken   int64
}

// disks are the states that the limiters of each region begin with.
func (f *Fleet) disks() ([]*disk, error) {
	all := make([]*disk, f.options.Regions)
	for region := range all {
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
		all[region] = &disk{f.source.Head(), state, f.queue.now}
	}
	return all, nil
}

func (f *Fleet) startRelay(i int, n *node) {
	n.life++
	n.relay = distribution.NewRelay(f.queue.now, distribution.RelayOptions{Name: n.name, Budget: f.options.Budget})
	n.server = n.relay
	n.poller = distribution.NewPoller(f.queue.now, n.relay.Subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.RelayHold, Position: i})
	n.servers = [2]*node{f.sourceAt, f.sourceAt}
	n.held = nil
	n.down = false
	n.stalled = false
	f.inLife(n, n.poller.First(), func() { f.ask(n) })
	f.inLife(n, distribution.SummaryEvery, func() { f.summarize(n) })
}

func (f *Fleet) startLimiter(i int, n *node, from *disk) error {
	n.life++
	n.applier = &applier{}
	n.acknowledged = distribution.Acknowledgement{}
	n.saidAt = 0
	n.seenInForce = map[distribution.Version]int64{}
	subscriber := distribution.NewSubscriber(
		f.queue.now,
		distribution.SubscriberOptions{Name: n.name, Scope: f.scopeOf(n), Applier: n.applier},
	)
	if from != nil {
		if err := subscriber.Restore(from.version, from.state.Clone(), f.queue.now-from.taken); err != nil {
			return err
		}
	}
	n.poller = distribution.NewPoller(f.queue.now, subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.LimiterHold, Position: i})
	f.note(n)
	f.inLife(n, n.poller.First(), func() { f.ask(n) })
	return nil
}

// inLife makes something happen later unless the node's life has ended by then.
func (f *Fleet) inLife(n *node, wait int64, run func()) {
	life := n.life
	f.queue.after(wait, func() {
		if n.life == life && !n.down {
			run()
		}
	})
}

// cut tells whether nothing passes between two nodes.
func (f *Fleet) cut(a, b *node) bool {
	if f.cutZone >= 0 && (a.zone == f.cutZone) != (b.zone == f.cutZone) {
		return true
	}
	return f.cutRegion >= 0 && (a.region == f.cutRegion) != (b.region == f.cutRegion)
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

// ask makes a node's next call.
func (f *Fleet) ask(n *node) {
	c := &call{Call: n.poller.Call(f.queue.now), from: n, fromLife: n.life}
	c.to = n.servers[c.Server]
	c.toLife = c.to.life
	f.options.Transcript.Add([]byte(n.name), f.queue.now, int64(c.Server), c.Hold, c.Timeout, c.Dial)
	n.bytes += headerBytes
	if n.relay == nil {
		f.calls++
	}
	switch {
	case f.cut(n, c.to):
		f.fail(c, c.Dial, errDialling)
		return
	case c.to.down:
		f.fail(c, 2*f.latency(n, c.to), errRefused)
		return
	}
	f.fail(c, c.Timeout, errTimeout)
	f.queue.after(f.latency(n, c.to), func() {
		if c.done || f.cut(n, c.to) || c.to.down || c.to.stalled || c.to.life != c.toLife {
			return
		}
		if c.Hold > 0 && !c.to.server.Newer(*c.Changes) {
			c.to.held = append(c.to.held, c)
			f.queue.after(c.Hold, func() { f.answer(c) })
			return
		}
		f.answer(c)
	})
}

// fail ends a call after a wait unless it has ended by then.
func (f *Fleet) fail(c *call, wait int64, err error) {
	f.queue.after(wait, func() {
		if f.end(c) {
			f.again(c.from, c.from.poller.TakeError(f.queue.now, err))
		}
	})
}

// end ends a call; it tells whether it was under way still and its caller lives.
func (f *Fleet) end(c *call) bool {
	if c.done {
		return false
	}
	c.done = true
	return c.from.life == c.fromLife && !c.from.down
}

func (f *Fleet) again(n *node, wait int64) {
	f.note(n)
	f.acknowledge(n)
	f.inLife(n, wait, func() { f.ask(n) })
}

// answer makes a server answer a call; the work of answers is done one after the other.
func (f *Fleet) answer(c *call) {
	if c.done || c.to.down || c.to.stalled || c.to.life != c.toLife {
		return
	}
	for i, held := range c.to.held {
		if held == c {
			c.to.held = append(c.to.held[:i], c.to.held[i+1:]...)
			break
		}
	}
	c.to.busy = max(c.to.busy, f.queue.now) + answerTime
	f.queue.after(c.to.busy-f.queue.now, func() {
		if c.done || c.to.down || c.to.stalled || c.to.life != c.toLife {
			return
		}
		var delta *distribution.Delta
		var piece *distribution.Piece
		var err error
		if c.Piece != nil {
			piece, err = c.to.server.Piece(f.queue.now, *c.Piece)
		} else {
			delta, err = c.to.server.Changes(f.queue.now, *c.Changes)
		}
		f.queue.after(f.latency(c.from, c.to), func() {
			if !f.cut(c.from, c.to) && f.end(c) {
				f.take(c.from, delta, piece, err)
			}
		})
	})
}

// take gives an answer to its caller.
func (f *Fleet) take(n *node, delta *distribution.Delta, piece *distribution.Piece, err error) {
	before := n.poller.Version()
	f.transcribe(delta)
	f.transcribe(piece)
	var wait int64
	switch {
	case err != nil:
		wait = n.poller.TakeError(f.queue.now, err)
	case piece != nil:
		n.bytes += size(piece)
		wait, _ = n.poller.TakePiece(f.queue.now, piece)
	default:
		n.bytes += size(delta)
		wait, _ = n.poller.TakeChanges(f.queue.now, delta)
	}
	if n.relay != nil && n.poller.Version() != before {
		f.wake(n)
	}
	f.again(n, wait)
}

// transcribe records a message in its form on the wire.
func (f *Fleet) transcribe(message any) {
	if f.options.Transcript == nil {
		return
	}
	text, err := json.Marshal(message)
	if err != nil {
		text = []byte(err.Error())
	}
	f.options.Transcript.Add(text, f.queue.now)
}

// size is how many bytes a message takes as JSON.
func size(message any) int64 {
	text, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return int64(len(text))
}

// wake answers the calls that a server holds and that it has news for.
func (f *Fleet) wake(n *node) {
	for _, c := range append([]*call{}, n.held...) {
		if n.server.Newer(*c.Changes) {
			f.answer(c)
		}
	}
}

// note records when a limiter got each version that was published.
func (f *Fleet) note(n *node) {
	if n.relay != nil || n.poller.Version() == (distribution.Version{}) {
		return
	}
	for version := range f.published {
		if _, seen := n.seenInForce[version]; !seen && !n.poller.Version().Less(version) {
			n.seenInForce[version] = f.queue.now
		}
	}
}

// acknowledge tells a limiter's relay what is in force, where that is new or was said long ago.
func (f *Fleet) acknowledge(n *node) {
	if n.relay != nil {
		return
	}
	a := n.poller.Acknowledgement(f.queue.now)
	same := a.Version == n.acknowledged.Version && a.Condition == n.acknowledged.Condition
	if same && f.queue.now-n.saidAt < distribution.AcknowledgementEvery {
		return
	}
	n.acknowledged = a
	n.saidAt = f.queue.now
	f.transcribe(a)
	n.bytes += headerBytes + size(a)
	to := n.servers[n.poller.Server(f.queue.now)]
	f.queue.after(f.latency(n, to), func() {
		if !f.cut(n, to) && !to.down && !to.stalled {
			_ = to.server.Acknowledge(f.queue.now, a)
		}
	})
}

// summarize sends a relay's summary to the source, again and again.
func (f *Fleet) summarize(n *node) {
	s := n.relay.Summary(f.queue.now)
	f.transcribe(s)
	if !n.stalled && !f.cut(n, f.sourceAt) {
		f.summaries++
		f.queue.after(f.latency(n, f.sourceAt), func() { _ = f.source.Summarize(f.queue.now, s) })
	}
	f.inLife(n, distribution.SummaryEvery, func() { f.summarize(n) })
}

// Publish puts a new value to some entry and returns its version.
func (f *Fleet) Publish() (distribution.Version, error) {
	change, err := f.source.Publish(
		f.queue.now,
		1,
		nil,
		[]distribution.Mutation{f.entry(f.rng.IntN(f.options.Entries))},
	)
	if err != nil {
		return distribution.Version{}, err
	}
	f.published[change.Version] = f.queue.now
	f.wake(f.sourceAt)
	return change.Version, nil
}

// Run lets time pass.
func (f *Fleet) Run(span int64) { f.queue.until(f.queue.now + span) }

// KillRelay ends a relay's process: its connections break.
func (f *Fleet) KillRelay(i int) {
	n := f.relays[i]
	n.down = true
	n.life++
	for _, c := range n.held {
		f.fail(c, f.latency(c.from, n), errRefused)
	}
	n.held = nil
}

// StallRelay makes a relay answer nothing more, while its connections stay.
func (f *Fleet) StallRelay(i int) { f.relays[i].stalled = true }

// CutZone lets nothing pass into or out of a zone; -1 heals it.
func (f *Fleet) CutZone(zone int) { f.cutZone = zone }

// CutRegion lets nothing pass into or out of a region; -1 heals it. The source is in region 0.
func (f *Fleet) CutRegion(region int) { f.cutRegion = region }

// RestartLimiters restarts one limiter in so many, each with what it had on its disk or with nothing.
func (f *Fleet) RestartLimiters(oneIn int, fromDisk bool) error {
	for i, n := range f.limiters {
		if i%oneIn != 0 {
			continue
		}
		var from *disk
		if fromDisk {
			from = &disk{n.poller.Version(), n.poller.State(), f.queue.now - n.poller.Status(f.queue.now).Age}
		}
		if err := f.startLimiter(i, n, from); err != nil {
			return err
		}
	}
	return nil
}
