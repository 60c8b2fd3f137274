package simfleet

import (
	"fmt"
	"slices"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// process is one life of a limiter: the real reducer, and its effects on the network in memory.
type process struct {
	f             *Fleet
	index         int
	host          *host
	config        *settings.Config
	reducer       *limiter.Limiter
	conns         map[limiter.ConnID]*connEnd
	lastConn      limiter.ConnID
	timerAt       int64 // the latest wish, by the limiter's clock
	scheduledAt   int64 // when the queue next looks, 0 if it does not
	unread        []byte
	skew          int64 // of the limiter's clock against the fleet's
	paused        bool
	pendingEvents []pendingEvent
	dead          bool
	incarnation   *incarnation
}

// pendingEvent is a happening that waits for a process that is stopped.
type pendingEvent struct {
	event limiter.Event
	bytes []byte
}

// maxTimerRuns bounds the timers that a limiter may run at one moment: one that asks again for the same moment each time
// would never let the clock go on.
const maxTimerRuns = 10000

func (p *process) clock() int64 { return epoch + p.f.q.now + p.skew }

// step lets the reducer take one happening, and whatever has come due.
func (p *process) step(event limiter.Event, bytes []byte) {
	switch {
	case p.dead:
	case p.paused:
		p.pendingEvents = append(p.pendingEvents, pendingEvent{event, bytes})
	default:
		p.stepReducer(event, bytes)
		p.runDueTimers()
	}
}

func (p *process) stepReducer(event limiter.Event, bytes []byte) {
	defer func() {
		if fault := recover(); fault != nil {
			p.f.crashProcess(p, fmt.Sprint(fault))
		}
	}()
	p.unread = bytes
	p.reducer.Step(p.clock(), event)
}

func (p *process) runDueTimers() {
	for runs := 0; !p.dead && p.timerAt <= p.clock(); runs++ {
		if runs > maxTimerRuns {
			p.f.crashProcess(p, "its timers never end")
			return
		}
		p.stepReducer(limiter.TimersDue{}, nil)
	}
	if !p.dead && p.reducer.Finished() {
		p.f.exitProcess(p)
	}
	p.scheduleWakeup()
}

// scheduleWakeup plans a look at the latest wish.
func (p *process) scheduleWakeup() {
	at := p.timerAt - epoch - p.skew
	if p.dead || p.scheduledAt != 0 && p.scheduledAt <= at {
		return
	}
	p.scheduledAt = at
	p.f.q.at(at, func() {
		if p.scheduledAt != at {
			return // a nearer wish has come since
		}
		p.scheduledAt = 0
		if !p.dead && !p.paused {
			p.runDueTimers()
		}
	})
}

// resume is SIGCONT: what came meanwhile is there at once, and so is every timer. Which the process sees first is open.
func (p *process) resume() {
	p.paused = false
	if p.f.rng.IntN(2) == 0 {
		p.runDueTimers()
	}
	for len(p.pendingEvents) > 0 && !p.dead {
		next := p.pendingEvents[0]
		p.pendingEvents = p.pendingEvents[1:]
		p.stepReducer(next.event, next.bytes)
	}
	p.pendingEvents = nil
	if p.dead {
		return
	}
	p.runDueTimers()
}

// The process as the network sees it.

func (p *process) accept(end *connEnd) {
	p.lastConn++
	end.id = p.lastConn
	p.conns[end.id] = end
	p.step(limiter.ClientAccepted{Conn: end.id}, nil)
}

func (p *process) connected(end *connEnd) {
	p.step(limiter.Connected{Conn: end.id}, nil)
}

func (p *process) read(end *connEnd, data []byte, _ int64) {
	if conn, isPoll := end.peer.data.(*pollConn); isPoll {
		conn.recordDelivered(p, end.bytesRead)
	}
	data = p.f.spoilReceived(end, data)
	if len(data) > 0 {
		p.step(limiter.DataReceived{Conn: end.id, Size: len(data)}, data)
	}
}

func (p *process) ended(end *connEnd, reason limiter.CloseReason) {
	p.step(limiter.ConnClosed{Conn: end.id, Reason: reason}, nil)
}

// The effects.

// Dial is an effect.
func (p *process) Dial(address string, timeout int64) limiter.ConnID {
	p.lastConn++
	id := p.lastConn
	if p.f.isBroken(KeepsSilentWatch) && address == p.f.limiters[p.index].discoveryAddress &&
		len(p.incarnation.watchSilences) > 0 {
		address = "nowhere"
		p.f.net.host(address).vanished = true
	}
	end := p.f.net.dial(p.host, p, address, timeout)
	end.id = id
	p.conns[id] = end
	return id
}

// Read is an effect.
func (p *process) Read(into []byte) { copy(into, p.unread) }

// Write is an effect.
func (p *process) Write(id limiter.ConnID, bytes []byte) {
	if end := p.conns[id]; end != nil && p.f.allowsWrite(end, bytes) {
		end.write(bytes)
	}
}

// Alive is an effect.
func (p *process) Alive(id limiter.ConnID) bool {
	end := p.conns[id]
	return end != nil && !end.closed && !p.f.isBroken(NeverReusesConnections)
}

// PeerGone is an effect.
func (p *process) PeerGone(id limiter.ConnID) bool {
	end := p.conns[id]
	return end == nil || end.closed
}

// Written is an effect.
func (p *process) Written(id limiter.ConnID) int64 {
	end := p.conns[id]
	if end == nil {
		return 0
	}
	return end.bytesAccepted()
}

// Close is an effect.
func (p *process) Close(id limiter.ConnID) int64 {
	end := p.conns[id]
	if end == nil {
		return 0
	}
	delete(p.conns, id)
	end.close()
	return end.bytesAccepted()
}

// CloseGracefully is an effect.
func (p *process) CloseGracefully(id limiter.ConnID, _, _ int64) bool {
	if slices.ContainsFunc(p.pendingEvents, func(pending pendingEvent) bool {
		received, ok := pending.event.(limiter.DataReceived)
		return ok && received.Conn == id && received.Size > 0
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
func (p *process) SetTimer(at int64) { p.timerAt = at }
