package simfleet

import (
	"fmt"
	"slices"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// process is one life of a limiter: the real reducer, and its effects on the network in memory.
type process struct {
	f       *Fleet
	n       int
	host    *host
	config  *settings.Config
	l       *limiter.Limiter
	sides   map[limiter.ConnID]*side
	last    limiter.ConnID
	wake    int64 // the latest wish, by the limiter's clock
	armed   int64 // when the queue next looks, 0 if it does not
	bytes   []byte
	skew    int64 // of the limiter's clock against the fleet's
	stopped bool
	waiting []told
	dead    bool
	life    *life
}

// told is a happening that waits for a process that is stopped.
type told struct {
	h     limiter.Event
	bytes []byte
}

// mostDue bounds the timers that a limiter may run at one moment: one that asks again for the same moment each time
// would never let the clock go on.
const mostDue = 10000

func (p *process) clock() int64 { return epoch + p.f.q.now + p.skew }

// step lets the reducer take one happening, and whatever has come due.
func (p *process) step(h limiter.Event, bytes []byte) {
	switch {
	case p.dead:
	case p.stopped:
		p.waiting = append(p.waiting, told{h, bytes})
	default:
		p.take(h, bytes)
		p.due()
	}
}

func (p *process) take(h limiter.Event, bytes []byte) {
	defer func() {
		if fault := recover(); fault != nil {
			p.f.crash(p, fmt.Sprint(fault))
		}
	}()
	p.bytes = bytes
	p.l.Step(p.clock(), h)
}

func (p *process) due() {
	for times := 0; !p.dead && p.wake <= p.clock(); times++ {
		if times > mostDue {
			p.f.crash(p, "its timers never end")
			return
		}
		p.take(limiter.TimersDue{}, nil)
	}
	if !p.dead && p.l.Finished() {
		p.f.exit(p)
	}
	p.arm()
}

// arm plans a look at the latest wish.
func (p *process) arm() {
	at := p.wake - epoch - p.skew
	if p.dead || p.armed != 0 && p.armed <= at {
		return
	}
	p.armed = at
	p.f.q.at(at, func() {
		if p.armed != at {
			return // a nearer wish has come since
		}
		p.armed = 0
		if !p.dead && !p.stopped {
			p.due()
		}
	})
}

// resume is SIGCONT: what came meanwhile is there at once, and so is every timer. Which the process sees first is open.
func (p *process) resume() {
	p.stopped = false
	if p.f.rng.IntN(2) == 0 {
		p.due()
	}
	for len(p.waiting) > 0 && !p.dead {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.take(w.h, w.bytes)
	}
	p.waiting = nil
	if p.dead {
		return
	}
	p.due()
}

// The process as the network sees it.

func (p *process) accept(s *side) {
	p.last++
	s.id = p.last
	p.sides[s.id] = s
	p.step(limiter.ClientAccepted{Conn: s.id}, nil)
}

func (p *process) connected(s *side) {
	p.step(limiter.Connected{Conn: s.id}, nil)
}

func (p *process) read(s *side, bytes []byte, _ int64) {
	if ln, list := s.far.data.(*line); list {
		ln.arrive(p, s.got)
	}
	bytes = p.f.spoil(s, bytes)
	if len(bytes) > 0 {
		p.step(limiter.DataReceived{Conn: s.id, Size: len(bytes)}, bytes)
	}
}

func (p *process) ended(s *side, how limiter.CloseReason) {
	p.step(limiter.ConnClosed{Conn: s.id, Reason: how}, nil)
}

// The effects.

// Dial is an effect.
func (p *process) Dial(address string, timeout int64) limiter.ConnID {
	p.last++
	id := p.last
	if p.f.is(KeepsSilentWatch) && address == p.f.limiters[p.n].list && len(p.life.silences) > 0 {
		address = "nowhere"
		p.f.net.host(address).vanished = true
	}
	s := p.f.net.dial(p.host, p, address, timeout)
	s.id = id
	p.sides[id] = s
	return id
}

// Read is an effect.
func (p *process) Read(into []byte) { copy(into, p.bytes) }

// Write is an effect.
func (p *process) Write(id limiter.ConnID, bytes []byte) {
	if s := p.sides[id]; s != nil && p.f.passes(s, bytes) {
		s.write(bytes)
	}
}

// Alive is an effect.
func (p *process) Alive(id limiter.ConnID) bool {
	s := p.sides[id]
	return s != nil && !s.over && !p.f.is(NeverReusesConnections)
}

// PeerGone is an effect.
func (p *process) PeerGone(id limiter.ConnID) bool {
	s := p.sides[id]
	return s == nil || s.over
}

// Written is an effect.
func (p *process) Written(id limiter.ConnID) int64 {
	s := p.sides[id]
	if s == nil {
		return 0
	}
	return s.taken()
}

// Close is an effect.
func (p *process) Close(id limiter.ConnID) int64 {
	s := p.sides[id]
	if s == nil {
		return 0
	}
	delete(p.sides, id)
	s.close()
	return s.taken()
}

// CloseGracefully is an effect.
func (p *process) CloseGracefully(id limiter.ConnID, _, _ int64) bool {
	if slices.ContainsFunc(p.waiting, func(w told) bool {
		received, is := w.h.(limiter.DataReceived)
		return is && received.Conn == id && received.Size > 0
	}) {
		return false
	}
	p.Close(id)
	return true
}

// HasBacklog is an effect.
func (p *process) HasBacklog() bool { return false }

// WallClock is an effect; no wall clock steps here.
func (p *process) WallClock() int64 { return p.clock() }

// SetTimer is an effect.
func (p *process) SetTimer(at int64) { p.wake = at }
