package simfleet

import (
	"math/rand/v2"
	"slices"

	"ospreycroft/internal/lab/transcript"
	"ospreycroft/internal/limiter"
)

// connHandler is a process at a host: what comes over the network is told to it.
type connHandler interface {
	accept(end *connEnd)
	connected(end *connEnd)
	read(end *connEnd, data []byte, sent int64) // sent is when the other side wrote them
	ended(end *connEnd, reason limiter.CloseReason)
}

// host is a machine with one process. A dial to a host without a process is refused; one to a machine that has
// vanished is not answered.
type host struct {
	name     string
	handler  connHandler
	vanished bool
	connEnds []*connEnd // that are open here
}

// connEnd is one end of a connection.
type connEnd struct {
	net          *network
	host         *host
	peer         *connEnd
	handler      connHandler
	id           limiter.ConnID // as its limiter names it
	established  bool           // the connection has come up as far as this side knows
	closed       bool           // it has ended for this side
	index        int            // in host.sides
	lastArrival  int64          // when the latest packet reaches the far side: none overtakes another
	stalled      []packet       // what waits for its link
	bytesWritten int64          // bytes written here
	bytesRead    int64          // bytes that the process here has been handed
	data         any            // what the process keeps with it
	number       int64          // of all ends of connections, in the order of their creation
}

type packetKind uint8

const (
	packetDial packetKind = iota
	packetAccept
	packetData
	packetClose
	packetReset
	packetRefuse
)

type packet struct {
	kind      packetKind
	bytes     []byte
	sent      int64
	heldByCut bool // it was held: its link was cut
}

// LinkFault says what a link does to what is sent along it in one direction.
type LinkFault uint8

// The faults of links.
const (
	// nothing passes: a dial never comes up, other packets are sent again once it is healed
	LinkCut     LinkFault = iota
	LinkStalled           // everything waits, dials as well, and passes once it is healed
	LinkDelayed           // everything takes longer
	LinkReset             // the connection is reset in the middle of a message
	DialDelayed           // only a new connection takes longer to come up
)

// LinkRule is a fault of links from some hosts to some others, in that direction alone.
type LinkRule struct {
	fault      LinkFault
	from, to   map[*host]bool
	delay      int64   // for Delay and Late, nanoseconds
	resetShare float64 // for Tear, of the messages
}

// sendBufferSize is what a kernel takes before the other side has it.
const sendBufferSize = 128 << 10

const (
	minLatency         = 200e3
	maxLatency         = 700e3
	localLatency       = 30e3 // the way to a process on the same machine
	maxRetransmitDelay = 200e6
)

type network struct {
	q         *queue
	rng       *rand.Rand
	hosts     map[string]*host
	order     []*host
	rules     []*LinkRule
	stalled   []*connEnd // with packets that wait, in the order in which they began to
	colocated map[*host]*host
	created   int64 // connection ends that were created
	// transcript takes each packet as it is put on its way; nil for no record.
	transcript *transcript.Transcript
}

func newNetwork(q *queue, seed uint64) *network {
	return &network{q: q, rng: rand.New(rand.NewPCG(seed, 0x7e7)), hosts: map[string]*host{},
		colocated: map[*host]*host{}}
}

func (n *network) host(name string) *host {
	h := n.hosts[name]
	if h == nil {
		h = &host{name: name}
		n.hosts[name] = h
		n.order = append(n.order, h)
	}
	return h
}

// linkFaults gives what the faults do on the way from one host to another now.
func (n *network) linkFaults(from, to *host) (cut, stalled bool, delay, dialDelay int64, resetShare float64) {
	for _, r := range n.rules {
		if !r.from[from] || !r.to[to] {
			continue
		}
		switch r.fault {
		case LinkCut:
			cut = true
		case LinkStalled:
			stalled = true
		case LinkDelayed:
			delay += r.delay
		case DialDelayed:
			dialDelay += r.delay
		case LinkReset:
			resetShare = max(resetShare, r.resetShare)
		}
	}
	return cut, stalled, delay, dialDelay, resetShare
}

func (n *network) latency(from, to *host) int64 {
	if n.colocated[from] == to || n.colocated[to] == from {
		return localLatency
	}
	return minLatency + n.rng.Int64N(maxLatency-minLatency)
}

// dial opens a connection for a process. It is told connected or ended, unless it closes it first.
func (n *network) dial(from *host, handler connHandler, address string, timeout int64) *connEnd {
	dialer := &connEnd{net: n, host: from, handler: handler, number: n.created}
	listener := &connEnd{net: n, host: n.host(address), peer: dialer, number: n.created + 1}
	n.created += 2
	dialer.peer = listener
	from.add(dialer)
	n.q.at(n.q.now+timeout, func() {
		if !dialer.established && !dialer.closed {
			dialer.markClosed()
			handler.ended(dialer, limiter.DialTimedOut)
		}
	})
	dialer.send(packet{kind: packetDial})
	return dialer
}

func (h *host) add(end *connEnd) {
	end.index = len(h.connEnds)
	h.connEnds = append(h.connEnds, end)
}

// markClosed ends this side and tells nobody.
func (e *connEnd) markClosed() {
	if e.closed {
		return
	}
	e.closed = true
	if h := e.host; e.index < len(h.connEnds) && h.connEnds[e.index] == e {
		last := len(h.connEnds) - 1
		h.connEnds[e.index] = h.connEnds[last]
		h.connEnds[e.index].index = e.index
		h.connEnds[last] = nil
		h.connEnds = h.connEnds[:last]
	}
}

// write sends bytes, which are copied.
func (e *connEnd) write(bytes []byte) {
	if e.closed || len(bytes) == 0 {
		return
	}
	e.bytesWritten += int64(len(bytes))
	e.send(packet{kind: packetData, bytes: slices.Clone(bytes), sent: e.net.q.now})
}

// bytesAccepted is how many bytes this side's kernel has bytesAccepted of those written.
func (e *connEnd) bytesAccepted() int64 { return min(e.bytesWritten, e.peer.bytesRead+sendBufferSize) }

// close ends the connection in good order, reset breaks it.
func (e *connEnd) close() { e.terminate(packetClose) }
func (e *connEnd) reset() { e.terminate(packetReset) }

func (e *connEnd) terminate(kind packetKind) {
	if !e.closed {
		e.markClosed()
		e.send(packet{kind: kind})
	}
}

func (e *connEnd) send(p packet) {
	n := e.net
	cut, stalled, delay, dialDelay, resetShare := n.linkFaults(e.host, e.peer.host)
	if p.kind == packetDial || p.kind == packetAccept {
		if cut {
			return // it would be sent again long after the time-out
		}
		delay += dialDelay
	}
	if cut || stalled || len(e.stalled) > 0 {
		if len(e.stalled) == 0 {
			n.stalled = append(n.stalled, e)
		}
		p.heldByCut = cut
		e.stalled = append(e.stalled, p)
		return
	}
	if p.kind == packetData && resetShare > 0 && n.rng.Float64() < resetShare {
		p.bytes = p.bytes[:len(p.bytes)/2]
		e.transmit(p, delay)
		e.transmit(packet{kind: packetReset}, delay)
		n.q.at(e.lastArrival, func() { e.receive(packet{kind: packetReset}) })
		return
	}
	e.transmit(p, delay)
}

func (e *connEnd) transmit(p packet, delay int64) {
	e.lastArrival = max(e.lastArrival, e.net.q.now+e.net.latency(e.host, e.peer.host)+delay)
	e.net.transcript.Add(p.bytes, e.net.q.now, e.lastArrival, e.number, int64(p.kind))
	e.net.q.at(e.lastArrival, func() { e.peer.receive(p) })
}

// receive takes a packet from the other side.
func (e *connEnd) receive(p packet) {
	h := e.host
	if h.vanished {
		return
	}
	switch p.kind {
	case packetDial:
		if h.handler == nil {
			e.send(packet{kind: packetRefuse})
			return
		}
		e.handler = h.handler
		e.established = true
		h.add(e)
		e.send(packet{kind: packetAccept})
		e.handler.accept(e)
	case packetAccept:
		if !e.closed {
			e.established = true
			e.handler.connected(e)
		}
	case packetData:
		if e.closed {
			e.send(packet{kind: packetReset})
		} else if len(p.bytes) > 0 {
			e.bytesRead += int64(len(p.bytes))
			e.handler.read(e, p.bytes, p.sent)
		}
	case packetClose, packetReset, packetRefuse:
		if e.closed || e.handler == nil {
			return
		}
		e.markClosed()
		reason := limiter.PeerClosed
		if p.kind == packetReset {
			reason = limiter.PeerReset
		}
		if p.kind == packetRefuse {
			reason = limiter.ConnRefused
		}
		e.handler.ended(e, reason)
	}
}

// addRule puts a fault in force; heal takes it away again and lets go what it held.
func (n *network) addRule(r *LinkRule) { n.rules = append(n.rules, r) }

func (n *network) removeRule(r *LinkRule) {
	n.rules = slices.DeleteFunc(n.rules, func(o *LinkRule) bool { return o == r })
	stalledEnds := n.stalled
	n.stalled = nil
	for _, end := range stalledEnds {
		cut, stalled, delay, _, _ := n.linkFaults(end.host, end.peer.host)
		if cut || stalled {
			n.stalled = append(n.stalled, end)
			continue
		}
		packets := end.stalled
		end.stalled = nil
		if packets[0].heldByCut {
			delay += n.rng.Int64N(maxRetransmitDelay)
		}
		for _, p := range packets {
			end.transmit(p, delay)
		}
	}
}

// kill ends the process at a host: its connections are reset, new ones are refused.
func (n *network) kill(h *host) {
	h.handler = nil
	for _, end := range slices.Clone(h.connEnds) {
		end.reset()
	}
}

// vanish takes a machine away: nothing is said. What still speaks to it once it is back is reset.
func (n *network) vanish(h *host) {
	h.handler = nil
	h.vanished = true
	for _, end := range slices.Clone(h.connEnds) {
		end.markClosed()
	}
}

// halfOpen makes one host forget its connections with another: the other's next bytes are answered with a reset.
func (n *network) halfOpen(forgetful, other *host) {
	for _, end := range slices.Clone(forgetful.connEnds) {
		if end.peer.host == other {
			end.markClosed()
		}
	}
}
