package runner

// This file has the state machine of a limiter's process.

// state is where a limiter's process stands.
type state uint8

const (
	absent   state = iota // no process
	starting              // it has not answered +PONG
	ready
	paused      // SIGSTOP
	terminating // SIGTERM
	killed      // SIGKILL, not ended yet
)

// processEvent is what befalls a process.
type processEvent uint8

const (
	startedEvent processEvent = iota
	readyEvent
	stopEvent
	continueEvent
	termEvent // to end
	killEvent // killed
	exitEvent
)

// nextState is the one function by which a process's state changes; crash tells that it ended unasked. What cannot be in a
// state leaves it as it is, and ok is false.
func nextState(from state, event processEvent) (to state, crash, ok bool) {
	switch event {
	case startedEvent:
		return starting, false, from == absent
	case readyEvent:
		if from == starting {
			return ready, false, true
		}
	case stopEvent:
		if from == ready || from == starting {
			return paused, false, true
		}
	case continueEvent:
		if from == paused {
			return ready, false, true
		}
	case termEvent:
		if from == ready || from == starting || from == paused {
			return terminating, false, true
		}
	case killEvent:
		if from != absent && from != killed {
			return killed, false, true
		}
	case exitEvent:
		return absent, from == ready || from == starting || from == paused, from != absent
	}
	return from, false, false
}
