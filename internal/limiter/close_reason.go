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
	closeReasonCount                    // the number of reasons
)

// outcome is the one place where the end of a connection becomes the outcome of an attempt that was out on it. An
// attempt is whole once the kernel has taken its last byte: it may have run then. One that is not whole never ran.
func (r CloseReason) outcome(fullyWritten bool) choice.Outcome {
	switch {
	case fullyWritten && r == AttemptCancelled:
		return choice.Cancelled
	case fullyWritten && r == DeadlineExceeded:
		return choice.TimedOut
	case fullyWritten:
		return choice.ConnectionLost
	case r == AttemptCancelled, r == DeadlineExceeded, r == NoConnection, r == IdleClosed, r == LocalFailure:
		// Our own doing, before the server had a part in it: it says nothing of the server.
		return choice.NotAttempted
	}
	return choice.ConnectFailed
}

// counterOutcome is the same for a call to the counter: one that is whole may have been added, and one that is not was
// not added. Where the line broke or brought nonsense, the counter itself is neither down nor crowded.
func (r CloseReason) counterOutcome(fullyWritten bool) choice.Outcome {
	switch {
	case fullyWritten && (r == PeerClosed || r == PeerReset || r == ProtocolError):
		return choice.ServerError
	case fullyWritten:
		return choice.TimedOut
	}
	return choice.ConnectFailed
}

// String gives the word for log lines.
func (r CloseReason) String() string {
	return [...]string{"refused", "dial-timed-out", "peer-closed", "peer-reset", "protocol-error", "cancelled",
		"deadline-exceeded", "no-response", "idle", "no-descriptor", "slow-reader",
		"local-failure"}[r]
}
