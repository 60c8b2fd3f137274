package runner

// This file has the state machine of a limiter's process.

// state is where a limiter's process stands.
type state uint8

const (
	absent   state = iota // no process
	starting              // it has not answered +PONG
	ready
	paused  // SIGSTOP
	leaving // SIGTERM
	killed  // SIGKILL, not ended yet
)

// processEvent is what befalls a process.
type processEvent uint8

const (
	begun processEvent = iota
	answered
	stopped
	continued
	asked // to end
	shot  // killed
	exited
)

// next is the one function by which a process's state changes; crash tells that it ended unasked. What cannot be in a
// state leaves it as it is, and ok is false.
func next(s state, h processEvent) (to state, crash, ok bool) {
	switch h {
	case begun:
		return starting, false, s == absent
	case answered:
		if s == starting {
			return ready, false, true
		}
	case stopped:
		if s == ready || s == starting {
			return paused, false, true
		}
	case continued:
		if s == paused {
			return ready, false, true
		}
	case asked:
		if s == ready || s == starting || s == paused {
			return leaving, false, true
		}
	case shot:
		if s != absent && s != killed {
			return killed, false, true
		}
	case exited:
		return absent, s == ready || s == starting || s == paused, s != absent
	}
	return s, false, false
}
