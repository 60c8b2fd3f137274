package runner

// This file contains the state machine of a limiter's process.

// state is the lifecycle state of a limiter's process.
type state uint8

const (
	absent      state = iota // no process
	starting                 // running, has not answered PING with +PONG yet
	ready                    // has answered +PONG
	paused                   // stopped by SIGSTOP
	terminating              // sent SIGTERM, has not ended yet
	killed                   // sent SIGKILL, has not ended yet
)

// processEvent is an input of the state machine: a signal sent to the process, or something observed of it.
type processEvent uint8

const (
	startedEvent  processEvent = iota
	readyEvent                 // answered PING with +PONG
	stopEvent                  // SIGSTOP
	continueEvent              // SIGCONT
	termEvent                  // SIGTERM
	killEvent                  // SIGKILL
	exitEvent                  // the process ended
)

// nextState returns the state that follows from an event; every state change of a process goes through it. crash
// reports that the process ended without SIGTERM or SIGKILL. ok is false if the event cannot happen in the state.
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
