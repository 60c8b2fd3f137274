package limiter

import "ospreycroft/choice"

// CloseReason is a way in which a connection can end, whoever ends it.
type CloseReason uint8

// The reasons.
const (
	ConnRefused      CloseReason = iota // it never came up
	DialTimedOut                        // it did not come up in time
	PeerClosed                          // the other side ended it
	PeerReset                           // the other side broke it off
	ProtocolError                       // we ended it: what came was not understood
	AttemptCancelled                    // we ended it: the controller called the attempt off
	DeadlineExceeded                    // we ended it: the request's time was over
	NoResponse                          // we ended it: nothing came for too long
	IdleClosed                          // we ended it: it was idle, or there was need of its descriptor
	NoConnection                        // it was not opened: there was no descriptor left for it
	SlowReader                          // we ended it: the client does not read its answers
	LocalFailure                        // it was not opened: a system call failed for want of something on this machine
	closeReasons                        // the number of reasons
)

// outcome is the one place where the end of a connection becomes the outcome of an attempt that was out on it. An
// attempt is whole once the kernel has taken its last byte: it may have run then. One that is not whole never ran.
func (e CloseReason) outcome(whole bool) choice.Outcome {
	switch {
	case whole && e == AttemptCancelled:
		return choice.Cancelled
	case whole && e == DeadlineExceeded:
		return choice.TimedOut
	case whole:
		return choice.ConnectionLost
	case e == AttemptCancelled, e == DeadlineExceeded, e == NoConnection, e == IdleClosed, e == LocalFailure:
		// Our own doing, before the server had a part in it: it says nothing of the server.
		return choice.NotAttempted
	}
	return choice.ConnectFailed
}

// counted is the same for a call to the counter: one that is whole may have been added, and one that is not was
// not added. Where the line broke or brought nonsense, the counter itself is neither down nor crowded.
func (e CloseReason) counted(whole bool) choice.Outcome {
	switch {
	case whole && (e == PeerClosed || e == PeerReset || e == ProtocolError):
		return choice.ServerError
	case whole:
		return choice.TimedOut
	}
	return choice.ConnectFailed
}

// String gives the word for log lines.
func (e CloseReason) String() string {
	return [...]string{"refused", "dial-timed-out", "peer-closed", "peer-reset", "protocol-error", "cancelled",
		"deadline-exceeded", "no-response", "idle", "no-descriptor", "slow-reader",
		"local-failure"}[e]
}
