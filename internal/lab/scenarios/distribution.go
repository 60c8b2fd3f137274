package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/simfleet"
	"ospreycroft/internal/lab/transcript"
)

const (
	millisecond = int64(1e6)
	dialTimeout = 250 * millisecond
	// firstWriter is the epoch that the source has open at the start.
	firstWriter = 1
	// fleetCounter is the counter's address by number, which no story of the distribution changes.
	fleetCounter = 1
)

var (
	errNoAnswer     = errors.New("no answer in time")
	errRefusedDial  = errors.New("connection refused")
	errNoConnection = errors.New("no connection in time")
)

// topology says which regions there are, of how many zones. Each zone has one relay; the source is in region 0.
type topology struct{ regions, zones int }

// peer is the source, a relay or a limiter's subscriber.
type peer struct {
	name         string
	zone, region int
	life         int // counts its starts and ends
	down         bool
	stalled      bool
	server       distribution.Server // nil for a limiter
	relay        *distribution.Relay // nil for the source and for a limiter
	poller       *distribution.Poller
	applier      *distribution.LimiterApplier
	relays       [2]*peer
	held         []*pollCall
	limiter      int // -1 for the source and for a relay
}

// pollCall is a call of a subscriber that is under way.
type pollCall struct {
	distribution.Call
	from, to         *peer
	fromLife, toLife int
	done             bool
}

// network carries the configuration from a source through relays to the limiters of a fleet, by the fleet's clock.
type network struct {
	fleet      *simfleet.Fleet
	topology   topology
	rng        *rand.Rand
	broken     subscriberFault
	source     *distribution.Source
	sourcePeer *peer
	relays     []*peer
	limiters   []*peer
	cut        func(a, b *peer) bool // whether nothing passes between two peers now; nil for never
	inUse      []int                 // the list service that each limiter uses, by number
	record     distributionRecord
	// transcript takes each message as it arrives; nil for no record.
	transcript *transcript.Transcript
}

// newNetwork starts a source, relays and the subscribers of all limiters. Subscribers begin with the source's first
// state, as if a life before had kept it, unless they start cold. Their relays are empty at the start.
func newNetwork(
	fleet *simfleet.Fleet,
	options simfleet.Options,
	shape topology,
	cold bool,
	broken subscriberFault,
) (*network, error) {
	n := &network{fleet: fleet, topology: shape, rng: rand.New(rand.NewPCG(options.Seed, 0xd1)), broken: broken,
		source: distribution.NewSource(distribution.NewLog(distribution.Retention{}), distribution.Budget{}),
		record: newDistributionRecord(options.Limiters), transcript: options.Transcript}
	n.sourcePeer = &peer{name: "source", zone: -1, server: n.source, limiter: -1}
	if err := n.publishFirst(); err != nil {
		return nil, err
	}
	var addresses []distribution.RelayAddress
	for zone := range shape.regions * shape.zones {
		name := fmt.Sprint("relay-", zone)
		n.relays = append(n.relays, &peer{name: name, zone: zone, region: zone / shape.zones, limiter: -1})
		addresses = append(addresses, distribution.RelayAddress{Name: name, Zone: fmt.Sprint(zone), Address: "-"})
	}
	for position, relay := range n.relays {
		n.startRelay(relay, position)
	}
	for i := range options.Limiters {
		limiter, err := n.newLimiter(i, addresses)
		if err != nil {
			return nil, err
		}
		n.limiters = append(n.limiters, limiter)
		n.inUse = append(n.inUse, 1)
		var kept *distribution.Snapshot
		if !cold {
			kept = n.source.Snapshot(n.now())
		}
		if err := n.startLimiter(limiter, kept); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (n *network) now() int64 { return n.fleet.Now() }

// after makes something happen later.
func (n *network) after(wait int64, run func()) { n.fleet.At(n.now()+wait, run) }

// publishFirst publishes the address that the limiters' files say as well.
func (n *network) publishFirst() error {
	if _, err := n.source.Open(n.now(), firstWriter); err != nil {
		return err
	}
	_, err := n.source.Publish(n.now(), firstWriter, nil, discoveryAt(listAddress(1)))
	return err
}

// listAddress is the address of a list service by its number, which is its port.
func listAddress(list int) string { return fmt.Sprintf("list:%d", list) }

// discoveryAt is the change that moves discovery to an address.
func discoveryAt(address string) []distribution.Mutation {
	key := distribution.Key{Kind: distribution.KindEndpoints, Name: distribution.EndpointDiscovery}
	return []distribution.Mutation{{Entry: distribution.Entry{Key: key, Value: address}}}
}

// newLimiter gives a limiter its zone and its two relays.
func (n *network) newLimiter(i int, addresses []distribution.RelayAddress) (*peer, error) {
	zone := i % len(n.relays)
	limiter := &peer{name: fmt.Sprint("limiter-", i), zone: zone, region: zone / n.topology.zones, limiter: i}
	chosen, err := distribution.ChooseRelays(addresses, fmt.Sprint(zone), i/len(n.relays))
	if err != nil {
		return nil, err
	}
	for k, address := range chosen {
		for _, relay := range n.relays {
			if relay.name == address.Name {
				limiter.relays[k] = relay
			}
		}
	}
	return limiter, nil
}

func (n *network) startRelay(p *peer, position int) {
	p.life++
	p.relay = distribution.NewRelay(n.now(), distribution.RelayOptions{Name: p.name})
	p.server = p.relay
	p.relays = [2]*peer{n.sourcePeer, n.sourcePeer}
	p.poller = distribution.NewPoller(n.now(), p.relay.Subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.RelayHold, Position: position})
	n.inLife(p, p.poller.First(), func() { n.ask(p) })
}

// startLimiter starts a limiter's subscriber, with a kept state or with none.
func (n *network) startLimiter(p *peer, kept *distribution.Snapshot) error {
	p.life++
	p.down = false
	p.applier = &distribution.LimiterApplier{
		Move: func(to distribution.Addresses) error { return n.move(p.limiter, to) },
	}
	subscriber := n.newSubscriber(p)
	if kept != nil {
		state, err := distribution.NewStateOf(kept.Entries)
		if err != nil {
			return err
		}
		if err := subscriber.Restore(kept.Version, state, n.now()-kept.TakenAt); err != nil {
			return err
		}
	}
	n.follow(p, subscriber)
	n.note(p)
	n.inLife(p, p.poller.First(), func() { n.ask(p) })
	return nil
}

func (n *network) newSubscriber(p *peer) *distribution.Subscriber {
	return distribution.NewSubscriber(n.now(), distribution.SubscriberOptions{Name: p.name, Applier: p.applier})
}

func (n *network) follow(p *peer, subscriber *distribution.Subscriber) {
	p.poller = distribution.NewPoller(n.now(), subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.LimiterHold, Position: p.limiter})
}

// move gives a limiter other addresses by the path of SIGHUP.
func (n *network) move(limiter int, to distribution.Addresses) error {
	_, port, _ := strings.Cut(to.Discovery, ":")
	list, err := strconv.Atoi(port)
	if err != nil {
		return fmt.Errorf("discovery at %q: %w", to.Discovery, err)
	}
	if n.inUse[limiter] == list {
		return nil // a start with a kept state: the process has begun with this address
	}
	n.inUse[limiter] = list
	n.fleet.ReloadLimiter(limiter, list, fleetCounter)
	return nil
}

// inLife makes something happen later unless the peer's life has ended by then.
func (n *network) inLife(p *peer, wait int64, run func()) {
	life := p.life
	n.after(wait, func() {
		if p.life == life && !p.down {
			run()
		}
	})
}

func (n *network) isCut(a, b *peer) bool { return n.cut != nil && n.cut(a, b) }

// latency is the time of one way, which varies by a fifth.
func (n *network) latency(a, b *peer) int64 {
	base := millisecond / 4
	switch {
	case a.region != b.region:
		base = 40 * millisecond
	case a.zone != b.zone:
		base = millisecond
	}
	return base + n.rng.Int64N(base/5)
}

// ask makes a subscriber's next call.
func (n *network) ask(p *peer) {
	c := &pollCall{Call: p.poller.Call(n.now()), from: p, fromLife: p.life}
	n.transcript.Add([]byte(p.name), n.now(), int64(c.Server), c.Hold, c.Timeout, c.Dial)
	c.to = p.relays[c.Server]
	if n.broken == keepsToFirstRelay {
		c.to = p.relays[0]
	}
	c.toLife = c.to.life
	switch {
	case n.isCut(p, c.to):
		n.fail(c, c.Dial, errNoConnection)
		return
	case c.to.down:
		n.fail(c, 2*n.latency(p, c.to), errRefusedDial)
		return
	}
	n.fail(c, c.Timeout, errNoAnswer)
	n.after(n.latency(p, c.to), func() { n.arrive(c) })
}

// serves tells whether the server of a call can work on it.
func (c *pollCall) serves() bool {
	return !c.done && !c.to.down && !c.to.stalled && c.to.life == c.toLife
}

// arrive brings a call to its server, which holds it while there is nothing newer.
func (n *network) arrive(c *pollCall) {
	if !c.serves() || n.isCut(c.from, c.to) {
		return
	}
	if c.Hold > 0 && !c.to.server.Newer(*c.Changes) {
		c.to.held = append(c.to.held, c)
		n.after(c.Hold, func() { n.answer(c) })
		return
	}
	n.answer(c)
}

// fail ends a call after a wait unless it has ended by then.
func (n *network) fail(c *pollCall, wait int64, err error) {
	n.after(wait, func() {
		if c.end() {
			n.again(c.from, c.from.poller.TakeError(n.now(), err))
		}
	})
}

// end ends a call; it tells whether it was under way still and its caller lives.
func (c *pollCall) end() bool {
	if c.done {
		return false
	}
	c.done = true
	return c.from.life == c.fromLife && !c.from.down
}

func (n *network) again(p *peer, wait int64) {
	n.note(p)
	n.inLife(p, wait, func() { n.ask(p) })
}

// answer makes a server answer a call.
func (n *network) answer(c *pollCall) {
	c.to.forget(c)
	if !c.serves() {
		return
	}
	var delta *distribution.Delta
	var piece *distribution.Piece
	var err error
	if c.Piece != nil {
		piece, err = c.to.server.Piece(n.now(), *c.Piece)
	} else {
		delta, err = c.to.server.Changes(n.now(), *c.Changes)
	}
	n.after(n.latency(c.from, c.to), func() {
		if !n.isCut(c.from, c.to) && c.end() {
			n.take(c.from, c.to, delta, piece, err)
		}
	})
}

// forget takes a call out of those that a server holds.
func (p *peer) forget(c *pollCall) {
	for i, held := range p.held {
		if held == c {
			p.held = append(p.held[:i], p.held[i+1:]...)
			return
		}
	}
}

// take gives a server's answer to its caller.
func (n *network) take(p, server *peer, delta *distribution.Delta, piece *distribution.Piece, err error) {
	before := p.poller.Version()
	n.transcribe(delta)
	n.transcribe(piece)
	var wait int64
	switch {
	case err != nil && n.takesOlder(p, server, err):
	case err != nil:
		wait = p.poller.TakeError(n.now(), err)
	case piece != nil:
		wait, _ = p.poller.TakePiece(n.now(), piece) // the poller paces what is refused
	default:
		wait, _ = p.poller.TakeChanges(n.now(), delta)
	}
	if p.relay != nil && p.poller.Version() != before {
		n.wake(p)
	}
	n.again(p, wait)
}

// transcribe records a message in its form on the wire.
func (n *network) transcribe(message any) {
	if n.transcript == nil {
		return
	}
	text, err := json.Marshal(message)
	if err != nil {
		text = []byte(err.Error())
	}
	n.transcript.Add(text, n.now())
}

// wake answers the calls that a server holds and has news for.
func (n *network) wake(p *peer) {
	for _, c := range append([]*pollCall{}, p.held...) {
		if p.server.Newer(*c.Changes) {
			n.answer(c)
		}
	}
}

// publish appends a change in an epoch.
func (n *network) publish(epoch uint64, mutations []distribution.Mutation) (distribution.Change, error) {
	change, err := n.source.Publish(n.now(), epoch, nil, mutations)
	if err == nil {
		n.wake(n.sourcePeer)
	}
	return change, err
}

// setCut changes what is cut off.
func (n *network) setCut(cut func(a, b *peer) bool) {
	n.cut = cut
	n.noteReach()
}

// killRelay ends a relay's process: its connections break.
func (n *network) killRelay(i int) {
	p := n.relays[i]
	p.down = true
	p.life++
	for _, c := range p.held {
		n.fail(c, n.latency(c.from, p), errRefusedDial)
	}
	p.held = nil
	n.noteReach()
}

// stallRelay makes a relay answer nothing more, while its connections stay.
func (n *network) stallRelay(i int) {
	n.relays[i].stalled = true
	n.noteReach()
}

// killLimiter ends a limiter's process and gives the state that it kept.
func (n *network) killLimiter(i int) *distribution.Snapshot {
	p := n.limiters[i]
	kept := p.poller.Snapshot(n.now())
	p.down = true
	p.life++
	n.fleet.KillLimiter(i)
	n.noteReach()
	return kept
}

// restartLimiter starts a limiter's process again with the state that it kept.
func (n *network) restartLimiter(i int, kept *distribution.Snapshot) error {
	n.fleet.StartLimiter(i)
	p := n.limiters[i]
	if err := n.startLimiter(p, kept); err != nil {
		return err
	}
	n.record.restarted = append(n.record.restarted, restart{i, p.poller.Status(n.now()).Condition})
	n.noteReach()
	return nil
}

// reached tells whether a change can come from the source to a limiter now.
func (n *network) reached(p *peer) bool {
	if p.down {
		return false
	}
	for _, relay := range p.relays {
		if !relay.down && !relay.stalled && !n.isCut(p, relay) && !n.isCut(relay, n.sourcePeer) {
			return true
		}
	}
	return false
}
