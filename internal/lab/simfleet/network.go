package simfleet

import (
	"math/rand/v2"
	"slices"

	"ospreycroft/internal/lab/transcript"
	"ospreycroft/internal/limiter"
)

// party is a process at a host: what comes over the network is told to it.
type party interface {
	accept(s *side)
	connected(s *side)
	read(s *side, bytes []byte, sent int64) // sent is when the other side wrote them
	ended(s *side, how limiter.CloseReason)
}

// host is a machine with one process. A dial to a host without a process is refused; one to a machine that has
// vanished is not answered.
type host struct {
	name     string
	party    party
	vanished bool
	sides    []*side // that are open here
}

// side is one end of a connection.
type side struct {
	net   *network
	host  *host
	far   *side
	owner party
	id    limiter.ConnID // as its limiter names it
	up    bool           // the connection has come up as far as this side knows
	over  bool           // it has ended for this side
	place int            // in host.sides
	due   int64          // when the latest packet reaches the far side: none overtakes another
	held  []packet       // what waits for its link
	wrote int64          // bytes written here
	got   int64          // bytes that the process here has been handed
	data  any            // what the process keeps with it
	end   int64          // of all ends of connections, in the order of their creation
}

type kind uint8

const (
	opening kind = iota
	opened
	bytesCome
	closing
	resetting
	refusing
)

type packet struct {
	kind  kind
	bytes []byte
	sent  int64
	late  bool // it was held: its link was cut
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
	way      LinkFault
	from, to map[*host]bool
	extra    int64   // for Delay and Late, nanoseconds
	share    float64 // for Tear, of the messages
}

// buffered is what a kernel takes before the other side has it.
const buffered = 128 << 10

const (
	minLatency = 200e3
	maxLatency = 700e3
	local      = 30e3 // the way to a process on the same machine
	resends    = 200e6
)

type network struct {
	q     *queue
	rng   *rand.Rand
	hosts map[string]*host
	order []*host
	rules []*LinkRule
	held  []*side // with packets that wait, in the order in which they began to
	near  map[*host]*host
	ends  int64 // connection ends that were created
	// transcript takes each packet as it is put on its way; nil for no record.
	transcript *transcript.Transcript
}

func newNetwork(q *queue, seed uint64) *network {
	return &network{q: q, rng: rand.New(rand.NewPCG(seed, 0x7e7)), hosts: map[string]*host{}, near: map[*host]*host{}}
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

// links gives what the faults do on the way from one host to another now.
func (n *network) links(from, to *host) (cut, stall bool, extra, late int64, tear float64) {
	for _, r := range n.rules {
		if !r.from[from] || !r.to[to] {
			continue
		}
		switch r.way {
		case LinkCut:
			cut = true
		case LinkStalled:
			stall = true
		case LinkDelayed:
			extra += r.extra
		case DialDelayed:
			late += r.extra
		case LinkReset:
			tear = max(tear, r.share)
		}
	}
	return cut, stall, extra, late, tear
}

func (n *network) latency(from, to *host) int64 {
	if n.near[from] == to || n.near[to] == from {
		return local
	}
	return minLatency + n.rng.Int64N(maxLatency-minLatency)
}

// dial opens a connection for a process. It is told connected or ended, unless it closes it first.
func (n *network) dial(from *host, owner party, address string, timeout int64) *side {
	a := &side{net: n, host: from, owner: owner, end: n.ends}
	b := &side{net: n, host: n.host(address), far: a, end: n.ends + 1}
	n.ends += 2
	a.far = b
	from.add(a)
	n.q.at(n.q.now+timeout, func() {
		if !a.up && !a.over {
			a.finish()
			owner.ended(a, limiter.DialTimedOut)
		}
	})
	a.send(packet{kind: opening})
	return a
}

func (h *host) add(s *side) {
	s.place = len(h.sides)
	h.sides = append(h.sides, s)
}

// finish ends this side and tells nobody.
func (s *side) finish() {
	if s.over {
		return
	}
	s.over = true
	if h := s.host; s.place < len(h.sides) && h.sides[s.place] == s {
		last := len(h.sides) - 1
		h.sides[s.place] = h.sides[last]
		h.sides[s.place].place = s.place
		h.sides[last] = nil
		h.sides = h.sides[:last]
	}
}

// write sends bytes, which are copied.
func (s *side) write(bytes []byte) {
	if s.over || len(bytes) == 0 {
		return
	}
	s.wrote += int64(len(bytes))
	s.send(packet{kind: bytesCome, bytes: slices.Clone(bytes), sent: s.net.q.now})
}

// taken is how many bytes this side's kernel has taken of those written.
func (s *side) taken() int64 { return min(s.wrote, s.far.got+buffered) }

// close ends the connection in good order, reset breaks it.
func (s *side) close() { s.quit(closing) }
func (s *side) reset() { s.quit(resetting) }

func (s *side) quit(how kind) {
	if !s.over {
		s.finish()
		s.send(packet{kind: how})
	}
}

func (s *side) send(p packet) {
	n := s.net
	cut, stall, extra, late, tear := n.links(s.host, s.far.host)
	if p.kind == opening || p.kind == opened {
		if cut {
			return // it would be sent again long after the time-out
		}
		extra += late
	}
	if cut || stall || len(s.held) > 0 {
		if len(s.held) == 0 {
			n.held = append(n.held, s)
		}
		p.late = cut
		s.held = append(s.held, p)
		return
	}
	if p.kind == bytesCome && tear > 0 && n.rng.Float64() < tear {
		p.bytes = p.bytes[:len(p.bytes)/2]
		s.carry(p, extra)
		s.carry(packet{kind: resetting}, extra)
		n.q.at(s.due, func() { s.arrive(packet{kind: resetting}) })
		return
	}
	s.carry(p, extra)
}

func (s *side) carry(p packet, extra int64) {
	s.due = max(s.due, s.net.q.now+s.net.latency(s.host, s.far.host)+extra)
	s.net.transcript.Add(p.bytes, s.net.q.now, s.due, s.end, int64(p.kind))
	s.net.q.at(s.due, func() { s.far.arrive(p) })
}

// arrive takes a packet from the other side.
func (s *side) arrive(p packet) {
	h := s.host
	if h.vanished {
		return
	}
	switch p.kind {
	case opening:
		if h.party == nil {
			s.send(packet{kind: refusing})
			return
		}
		s.owner = h.party
		s.up = true
		h.add(s)
		s.send(packet{kind: opened})
		s.owner.accept(s)
	case opened:
		if !s.over {
			s.up = true
			s.owner.connected(s)
		}
	case bytesCome:
		if s.over {
			s.send(packet{kind: resetting})
		} else if len(p.bytes) > 0 {
			s.got += int64(len(p.bytes))
			s.owner.read(s, p.bytes, p.sent)
		}
	case closing, resetting, refusing:
		if s.over || s.owner == nil {
			return
		}
		s.finish()
		how := limiter.PeerClosed
		if p.kind == resetting {
			how = limiter.PeerReset
		}
		if p.kind == refusing {
			how = limiter.ConnRefused
		}
		s.owner.ended(s, how)
	}
}

// add puts a fault in force; heal takes it away again and lets go what it held.
func (n *network) add(r *LinkRule) { n.rules = append(n.rules, r) }

func (n *network) heal(r *LinkRule) {
	n.rules = slices.DeleteFunc(n.rules, func(o *LinkRule) bool { return o == r })
	held := n.held
	n.held = nil
	for _, s := range held {
		cut, stall, extra, _, _ := n.links(s.host, s.far.host)
		if cut || stall {
			n.held = append(n.held, s)
			continue
		}
		packets := s.held
		s.held = nil
		if packets[0].late {
			extra += n.rng.Int64N(resends)
		}
		for _, p := range packets {
			s.carry(p, extra)
		}
	}
}

// kill ends the process at a host: its connections are reset, new ones are refused.
func (n *network) kill(h *host) {
	h.party = nil
	for _, s := range slices.Clone(h.sides) {
		s.reset()
	}
}

// vanish takes a machine away: nothing is said. What still speaks to it once it is back is reset.
func (n *network) vanish(h *host) {
	h.party = nil
	h.vanished = true
	for _, s := range slices.Clone(h.sides) {
		s.finish()
	}
}

// halfOpen makes one host forget its connections with another: the other's next bytes are answered with a reset.
func (n *network) halfOpen(forgets, other *host) {
	for _, s := range slices.Clone(forgets.sides) {
		if s.far.host == other {
			s.finish()
		}
	}
}
