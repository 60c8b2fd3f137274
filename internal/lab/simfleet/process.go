package simfleet

import (
	"fmt"
	"slices"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// process is one process of a limiter: the real reducer, with its effects implemented on the simulated network.
type process struct {
	f             *Fleet
	index         int
	host          *host
	config        *settings.Config
	reducer       *limiter.Limiter
	conns         map[limiter.ConnID]*connEnd
	lastConn      limiter.ConnID
	timerAt       int64 // the time of the latest SetTimer, by the limiter's clock
	scheduledAt   int64 // when the queue next checks the timers, 0 if no check is scheduled
	unread        []byte
	skew          int64 // offset of the limiter's clock from the fleet's
	paused        bool
	pendingEvents []pendingEvent
	dead          bool
	incarnation   *incarnation
}

// pendingEvent is an event that arrived while the process was paused.
type pendingEvent struct {
	event limiter.Event
	bytes []byte
}

// maxTimerRuns bounds how often timers may run at one moment of the virtual clock. A limiter that sets a timer for the
// present each time would never let the clock advance.
const maxTimerRuns = 10000

func (p *process) clock() int64 { return epoch + p.f.q.now + p.skew }

// step passes an event to the reducer and then runs the timers that are due.
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
			p.f.crashProcess(p, "timers keep firing without an advance of the clock")
			return
		}
		p.stepReducer(limiter.TimersDue{}, nil)
	}
	if !p.dead && p.reducer.Finished() {
		p.f.exitProcess(p)
	}
	p.scheduleWakeup()
}

// scheduleWakeup schedules a check of the timers at the time that SetTimer set.
func (p *process) scheduleWakeup() {
	at := p.timerAt - epoch - p.skew
	if p.dead || p.scheduledAt != 0 && p.scheduledAt <= at {
		return
	}
	p.scheduledAt = at
	p.f.q.at(at, func() {
		if p.scheduledAt != at {
			return // an earlier check was scheduled since
		}
		p.scheduledAt = 0
		if !p.dead && !p.paused {
			p.runDueTimers()
		}
	})
}

// resume continues a paused process. Both its pending events and its timers are due at once; which of them it handles
// first is random.
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

// The methods of connHandler.

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

// The methods of limiter.Effects.

// Dial opens a connection. Under KeepsSilentWatch a dial to the discovery service times out once a watch has fallen
// silent.
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

// Read copies the bytes of the event that is being handled.
func (p *process) Read(into []byte) { copy(into, p.unread) }

// Write sends bytes unless the limiter is broken in a way that drops them.
func (p *process) Write(id limiter.ConnID, bytes []byte) {
	if end := p.conns[id]; end != nil && p.f.allowsWrite(end, bytes) {
		end.write(bytes)
	}
}

// Alive reports whether a connection is open, false under NeverReusesConnections.
func (p *process) Alive(id limiter.ConnID) bool {
	end := p.conns[id]
	return end != nil && !end.closed && !p.f.isBroken(NeverReusesConnections)
}

// PeerGone reports whether a connection has ended.
func (p *process) PeerGone(id limiter.ConnID) bool {
	end := p.conns[id]
	return end == nil || end.closed
}

// Written returns how many bytes the kernel has accepted on a connection.
func (p *process) Written(id limiter.ConnID) int64 {
	end := p.conns[id]
	if end == nil {
		return 0
	}
	return end.bytesAccepted()
}

// Close closes a connection and returns how many bytes the kernel had accepted.
func (p *process) Close(id limiter.ConnID) int64 {
	end := p.conns[id]
	if end == nil {
		return 0
	}
	delete(p.conns, id)
	end.close()
	return end.bytesAccepted()
}

// CloseGracefully closes a connection unless received bytes are waiting for the paused process, and reports whether it
// did.
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

// HasBacklog always returns false: the simulated network has no accept queue.
func (p *process) HasBacklog() bool { return false }

// UnreadFor implements limiter.Effects: all that has come is read at once here.
func (p *process) UnreadFor(limiter.ConnID) int64 { return 0 }

// SinceStep implements limiter.Effects: a step takes no time here.
func (p *process) SinceStep() int64 { return 0 }

// WallClock returns the limiter's clock, since the simulation has no steps of the wall clock.
func (p *process) WallClock() int64 { return p.clock() }

// SetTimer sets when the process next runs its timers.
func (p *process) SetTimer(at int64) { p.timerAt = at }
