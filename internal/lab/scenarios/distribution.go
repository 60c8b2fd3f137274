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
	millisecond = int64(1e6) // nanoseconds
	dialTimeout = 250 * millisecond
	// firstEpoch is the epoch that the first writer opens at the source.
	firstEpoch = 1
	// counterNumber is the number (the port) of the shared counter's address. No distribution scenario changes it.
	counterNumber = 1
)

var (
	errResponseTimeout   = errors.New("response timed out")
	errConnectionRefused = errors.New("connection refused")
	errDialTimeout       = errors.New("dial timed out")
)

// topology is the number of regions and of zones in each region. Each zone has one relay; the source is in region 0.
type topology struct{ regions, zones int }

// peer is an endpoint of the simulated network: the source, a relay or a limiter's subscriber.
type peer struct {
	name         string
	zone, region int
	incarnation  int // incremented by each start and each kill, so that events of an earlier process are dropped
	down         bool
	stalled      bool
	server       distribution.Server // nil for a limiter
	relay        *distribution.Relay // nil for the source and for a limiter
	poller       *distribution.Poller
	applier      *distribution.LimiterApplier
	upstreams    [2]*peer
	heldCalls    []*pollCall
	limiter      int // -1 for the source and for a relay
}

// pollCall is a subscriber's call to its upstream that has not ended yet.
type pollCall struct {
	distribution.Call
	from, to                       *peer
	fromIncarnation, toIncarnation int
	done                           bool
}

// network simulates the distribution of the configuration from a source through relays to the limiters of a fleet. It
// uses the fleet's virtual clock; times and durations are in nanoseconds.
type network struct {
	fleet            *simfleet.Fleet
	topology         topology
	rng              *rand.Rand
	fault            subscriberFault
	source           *distribution.Source
	sourcePeer       *peer
	relays           []*peer
	limiters         []*peer
	partition        func(a, b *peer) bool // reports whether messages between two peers are lost; nil for none
	discoveryNumbers []int                 // by limiter, the number of the discovery service in use
	record           distributionRecord
	// transcript records each poll when it is sent and each response when it is delivered; nil records nothing.
	transcript *transcript.Transcript
}

// newNetwork starts the source, the relays and the subscribers of all limiters. Subscribers restore the source's
// first state, as if an earlier process had saved it, unless coldStart is set. The relays start empty.
func newNetwork(
	fleet *simfleet.Fleet,
	options simfleet.Options,
	shape topology,
	coldStart bool,
	fault subscriberFault,
) (*network, error) {
	n := &network{fleet: fleet, topology: shape, rng: rand.New(rand.NewPCG(options.Seed, 0xd1)), fault: fault,
		source: distribution.NewSource(distribution.NewLog(distribution.Retention{}), distribution.Budget{}),
		record: newDistributionRecord(options.Limiters), transcript: options.Transcript}
	n.sourcePeer = &peer{name: "source", zone: -1, server: n.source, limiter: -1}
	if err := n.publishInitial(); err != nil {
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
		n.discoveryNumbers = append(n.discoveryNumbers, 1)
		var saved *distribution.Snapshot
		if !coldStart {
			saved = n.source.Snapshot(n.now())
		}
		if err := n.startLimiter(limiter, saved); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (n *network) now() int64 { return n.fleet.Now() }

// schedule calls run after delay.
func (n *network) schedule(delay int64, run func()) { n.fleet.At(n.now()+delay, run) }

// publishInitial publishes the discovery address that the limiters' configuration files hold too.
func (n *network) publishInitial() error {
	if _, err := n.source.Open(n.now(), firstEpoch); err != nil {
		return err
	}
	_, err := n.source.Publish(n.now(), firstEpoch, nil, setDiscovery(discoveryAddress(1)))
	return err
}

// discoveryAddress returns the address of a discovery service, which steps call a list service. Its number is its
// port.
func discoveryAddress(number int) string { return fmt.Sprintf("list:%d", number) }

// setDiscovery returns the mutation that sets the discovery endpoint to address.
func setDiscovery(address string) []distribution.Mutation {
	key := distribution.Key{Kind: distribution.KindEndpoints, Name: distribution.EndpointDiscovery}
	return []distribution.Mutation{{Entry: distribution.Entry{Key: key, Value: address}}}
}

// newLimiter returns limiter i, assigned to a zone and to two relays.
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
				limiter.upstreams[k] = relay
			}
		}
	}
	return limiter, nil
}

func (n *network) startRelay(p *peer, position int) {
	p.incarnation++
	p.relay = distribution.NewRelay(n.now(), distribution.RelayOptions{Name: p.name})
	p.server = p.relay
	p.upstreams = [2]*peer{n.sourcePeer, n.sourcePeer}
	p.poller = distribution.NewPoller(n.now(), p.relay.Subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.RelayHold, Position: position})
	n.scheduleWhileAlive(p, p.poller.FirstDelay(), func() { n.poll(p) })
}

// startLimiter starts a limiter's subscriber. It restores the saved state; nil starts without one.
func (n *network) startLimiter(p *peer, saved *distribution.Snapshot) error {
	p.incarnation++
	p.down = false
	p.applier = &distribution.LimiterApplier{
		ChangeAddresses: func(to distribution.Addresses) error { return n.applyAddresses(p.limiter, to) },
	}
	subscriber := n.newSubscriber(p)
	if saved != nil {
		state, err := distribution.NewStateOf(saved.Entries)
		if err != nil {
			return err
		}
		if err := subscriber.Restore(saved.Version, state, n.now()-saved.TakenAt); err != nil {
			return err
		}
	}
	n.attachPoller(p, subscriber)
	n.recordStatus(p)
	n.scheduleWhileAlive(p, p.poller.FirstDelay(), func() { n.poll(p) })
	return nil
}

func (n *network) newSubscriber(p *peer) *distribution.Subscriber {
	return distribution.NewSubscriber(n.now(), distribution.SubscriberOptions{Name: p.name, Applier: p.applier})
}

func (n *network) attachPoller(p *peer, subscriber *distribution.Subscriber) {
	p.poller = distribution.NewPoller(n.now(), subscriber,
		distribution.PollerOptions{DialTimeout: dialTimeout, Hold: distribution.LimiterHold, Position: p.limiter})
}

// applyAddresses reloads a limiter with a new discovery address, as SIGHUP does.
func (n *network) applyAddresses(limiter int, to distribution.Addresses) error {
	_, port, _ := strings.Cut(to.Discovery, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		return fmt.Errorf("discovery at %q: %w", to.Discovery, err)
	}
	if n.discoveryNumbers[limiter] == number {
		return nil // restored from a saved state: the process started with this address
	}
	n.discoveryNumbers[limiter] = number
	n.fleet.ReloadLimiter(limiter, number, counterNumber)
	return nil
}

// scheduleWhileAlive calls run after delay, unless the peer has been killed or restarted by then.
func (n *network) scheduleWhileAlive(p *peer, delay int64, run func()) {
	incarnation := p.incarnation
	n.schedule(delay, func() {
		if p.incarnation == incarnation && !p.down {
			run()
		}
	})
}

func (n *network) partitioned(a, b *peer) bool { return n.partition != nil && n.partition(a, b) }

// latency returns the one-way delay between two peers: 0.25 ms in a zone, 1 ms between zones and 40 ms between
// regions, plus a random part of up to a fifth.
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

// poll sends a subscriber's next call.
func (n *network) poll(p *peer) {
	c := &pollCall{Call: p.poller.Call(n.now()), from: p, fromIncarnation: p.incarnation}
	n.transcript.Add([]byte(p.name), n.now(), int64(c.Server), c.Hold, c.Timeout, c.DialTimeout)
	c.to = p.upstreams[c.Server]
	if n.fault == keepsToFirstRelay {
		c.to = p.upstreams[0]
	}
	c.toIncarnation = c.to.incarnation
	switch {
	case n.partitioned(p, c.to):
		n.failAfter(c, c.DialTimeout, errDialTimeout)
		return
	case c.to.down:
		n.failAfter(c, 2*n.latency(p, c.to), errConnectionRefused)
		return
	}
	n.failAfter(c, c.Timeout, errResponseTimeout)
	n.schedule(n.latency(p, c.to), func() { n.deliverCall(c) })
}

// canBeAnswered reports whether the call is open and its server runs, is not stalled and was not restarted since the
// call was made.
func (c *pollCall) canBeAnswered() bool {
	return !c.done && !c.to.down && !c.to.stalled && c.to.incarnation == c.toIncarnation
}

// deliverCall delivers a call to its server, which holds it for up to c.Hold while it has nothing newer.
func (n *network) deliverCall(c *pollCall) {
	if !c.canBeAnswered() || n.partitioned(c.from, c.to) {
		return
	}
	if c.Hold > 0 && !c.to.server.HasNewer(*c.Changes) {
		c.to.heldCalls = append(c.to.heldCalls, c)
		n.schedule(c.Hold, func() { n.respond(c) })
		return
	}
	n.respond(c)
}

// failAfter ends a call with err after delay, unless it has ended by then.
func (n *network) failAfter(c *pollCall, delay int64, err error) {
	n.schedule(delay, func() {
		if c.finish() {
			n.scheduleNextPoll(c.from, c.from.poller.HandleError(n.now(), err))
		}
	})
}

// finish marks a call as ended. It reports whether the call was still open and its caller is still the same process.
func (c *pollCall) finish() bool {
	if c.done {
		return false
	}
	c.done = true
	return c.from.incarnation == c.fromIncarnation && !c.from.down
}

func (n *network) scheduleNextPoll(p *peer, delay int64) {
	n.recordStatus(p)
	n.scheduleWhileAlive(p, delay, func() { n.poll(p) })
}

// respond processes a call at its server and sends the response back.
func (n *network) respond(c *pollCall) {
	c.to.removeHeldCall(c)
	if !c.canBeAnswered() {
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
	n.schedule(n.latency(c.from, c.to), func() {
		if !n.partitioned(c.from, c.to) && c.finish() {
			n.deliverResponse(c.from, c.to, delta, piece, err)
		}
	})
}

// removeHeldCall removes a call from the calls that a server holds, if it is among them.
func (p *peer) removeHeldCall(c *pollCall) {
	for i, held := range p.heldCalls {
		if held == c {
			p.heldCalls = append(p.heldCalls[:i], p.heldCalls[i+1:]...)
			return
		}
	}
}

// deliverResponse passes a server's response to the caller and schedules its next poll.
func (n *network) deliverResponse(p, server *peer, delta *distribution.Delta, piece *distribution.Piece, err error) {
	before := p.poller.Version()
	n.transcribe(delta)
	n.transcribe(piece)
	var delay int64
	switch {
	case err != nil && n.acceptOlderState(p, server, err):
	case err != nil:
		delay = p.poller.HandleError(n.now(), err)
	case piece != nil:
		delay, _ = p.poller.HandlePiece(n.now(), piece) // the delay accounts for an error
	default:
		delay, _ = p.poller.HandleChanges(n.now(), delta)
	}
	if p.relay != nil && p.poller.Version() != before {
		n.answerHeldCalls(p)
	}
	n.scheduleNextPoll(p, delay)
}

// transcribe adds a message to the transcript, encoded as JSON as it is on the wire.
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

// answerHeldCalls answers the held calls for which the server now has newer changes.
func (n *network) answerHeldCalls(p *peer) {
	for _, c := range append([]*pollCall{}, p.heldCalls...) {
		if p.server.HasNewer(*c.Changes) {
			n.respond(c)
		}
	}
}

// publish publishes mutations as one change of a writer's epoch and answers the calls that the source holds.
func (n *network) publish(epoch uint64, mutations []distribution.Mutation) (distribution.Change, error) {
	change, err := n.source.Publish(n.now(), epoch, nil, mutations)
	if err == nil {
		n.answerHeldCalls(n.sourcePeer)
	}
	return change, err
}

// setPartition replaces the partition; nil heals it.
func (n *network) setPartition(partition func(a, b *peer) bool) {
	n.partition = partition
	n.recordReachability()
}

// killRelay kills a relay's process. The calls that it holds fail as their connections close.
func (n *network) killRelay(i int) {
	p := n.relays[i]
	p.down = true
	p.incarnation++
	for _, c := range p.heldCalls {
		n.failAfter(c, n.latency(c.from, p), errConnectionRefused)
	}
	p.heldCalls = nil
	n.recordReachability()
}

// stallRelay makes a relay stop responding while its connections stay open.
func (n *network) stallRelay(i int) {
	n.relays[i].stalled = true
	n.recordReachability()
}

// killLimiter kills a limiter's process and returns a snapshot of its subscriber's state, as the process would save
// it.
func (n *network) killLimiter(i int) *distribution.Snapshot {
	p := n.limiters[i]
	saved := p.poller.Snapshot(n.now())
	p.down = true
	p.incarnation++
	n.fleet.KillLimiter(i)
	n.recordReachability()
	return saved
}

// restartLimiter restarts a limiter's process from the saved state.
func (n *network) restartLimiter(i int, saved *distribution.Snapshot) error {
	n.fleet.StartLimiter(i)
	p := n.limiters[i]
	if err := n.startLimiter(p, saved); err != nil {
		return err
	}
	n.record.restarted = append(n.record.restarted, limiterRestart{i, p.poller.Status(n.now()).Condition})
	n.recordReachability()
	return nil
}

// reachable reports whether a change can now pass from the source to a limiter through one of its relays.
func (n *network) reachable(p *peer) bool {
	if p.down {
		return false
	}
	for _, relay := range p.upstreams {
		if !relay.down && !relay.stalled && !n.partitioned(p, relay) && !n.partitioned(relay, n.sourcePeer) {
			return true
		}
	}
	return false
}
