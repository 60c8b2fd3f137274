package simfleet

import (
	"math/rand/v2"
	"slices"

	"ospreycroft/internal/lab/transcript"
	"ospreycroft/internal/limiter"
)

// connHandler is a process on a host, which handles the events of its connections.
type connHandler interface {
	accept(end *connEnd)
	connected(end *connEnd)
	read(end *connEnd, data []byte, sent int64) // sent is when the peer wrote the bytes
	ended(end *connEnd, reason limiter.CloseReason)
}

// host is a machine with one process. A dial to a host without a process is refused, and a dial to one that has
// vanished is not answered.
type host struct {
	name     string
	handler  connHandler
	vanished bool
	connEnds []*connEnd // ends of open connections on this host
}

// connEnd is one end of a connection.
type connEnd struct {
	net          *network
	host         *host
	peer         *connEnd
	handler      connHandler
	id           limiter.ConnID // the limiter's identifier of the connection
	established  bool           // this end knows that the connection is established
	closed       bool           // no more events for this end
	index        int            // position in host.connEnds
	lastArrival  int64          // when the latest packet reaches the peer; packets are delivered in order
	stalled      []packet       // packets that a fault of the link holds back
	bytesWritten int64          // bytes written at this end
	bytesRead    int64          // bytes delivered to the process at this end
	data         any            // state that the process keeps for the connection
	number       int64          // identifies the end in transcripts, in the order of creation
}

// packetKind is the kind of a packet. The values go into transcripts.
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
	heldByCut bool // it was held back because its link was cut
}

// LinkFault is a fault of a link in one direction.
type LinkFault uint8

// The faults of links.
const (
	// Nothing passes: dials time out, other packets are retransmitted once the link is healed.
	LinkCut     LinkFault = iota
	LinkStalled           // everything, dials as well, is held back and passes once the link is healed
	LinkDelayed           // everything takes longer
	LinkReset             // connections are reset in the middle of a message
	DialDelayed           // only establishing a connection takes longer
)

// LinkRule is a fault of the links from some hosts to others, in that direction only.
type LinkRule struct {
	fault      LinkFault
	from, to   map[*host]bool
	delay      int64   // for LinkDelayed and DialDelayed, in nanoseconds
	resetShare float64 // for LinkReset, the share of messages that are cut short by a reset
}

// sendBufferSize is how many bytes the kernel accepts before the peer has received them.
const sendBufferSize = 128 << 10

// Latencies of the network, in nanoseconds.
const (
	minLatency   = 200e3
	maxLatency   = 700e3
	localLatency = 30e3 // to a process on the same machine
	// packets that a cut held back are retransmitted within this time after the link is healed
	maxRetransmitDelay = 200e6
)

// network is the network between the hosts. It carries packets with a random latency.
type network struct {
	q       *queue
	rng     *rand.Rand
	hosts   map[string]*host
	order   []*host
	rules   []*LinkRule
	stalled []*connEnd // ends with packets that are held back, in the order in which that began
	// colocated pairs the hosts of a limiter and its agent, which stand for one machine.
	colocated map[*host]*host
	created   int64 // connection ends created so far
	// transcript records each packet when it is sent; nil for no record.
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

// linkFaults returns the combined effect of the current faults on the way from one host to another.
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

// dial opens a connection for a process, whose connected or ended method is called unless the process closes the
// connection first. The timeout is in nanoseconds.
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

// markClosed closes this end without notifying the peer or the process.
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

// write sends a copy of the bytes.
func (e *connEnd) write(bytes []byte) {
	if e.closed || len(bytes) == 0 {
		return
	}
	e.bytesWritten += int64(len(bytes))
	e.send(packet{kind: packetData, bytes: slices.Clone(bytes), sent: e.net.q.now})
}

// bytesAccepted returns how many of the bytes written the kernel at this end has accepted.
func (e *connEnd) bytesAccepted() int64 { return min(e.bytesWritten, e.peer.bytesRead+sendBufferSize) }

// close closes the connection gracefully, reset aborts it.
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
			return // a retransmission would arrive long after the dial timeout
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

// receive handles a packet from the peer.
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

// addRule puts a fault into effect, and removeRule ends it and sends the packets that it held back.
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

// kill ends the process on a host: its connections are reset and dials to it are refused.
func (n *network) kill(h *host) {
	h.handler = nil
	for _, end := range slices.Clone(h.connEnds) {
		end.reset()
	}
}

// vanish takes a host off the network without notifying its peers. Packets on old connections are reset once it is
// back.
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
