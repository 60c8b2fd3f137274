package limiter

import "ospreycroft/choice"

// CloseReason says why a connection ended, whichever side ended it.
type CloseReason uint8

// Reasons for the end of a connection.
const (
	ConnRefused      CloseReason = iota // the dial failed
	DialTimedOut                        // the dial did not finish in time
	PeerClosed                          // the peer closed it
	PeerReset                           // the peer reset it
	ProtocolError                       // closed here: the peer sent malformed or unexpected data
	AttemptCancelled                    // closed here: the controller cancelled the attempt
	DeadlineExceeded                    // closed here: the request's deadline passed
	NoResponse                          // closed here: the peer did not answer in time
	IdleClosed                          // closed here: it was idle, or no longer needed
	NoConnection                        // not opened: no descriptor was left, or no new connection was allowed
	SlowReader                          // closed here: the client does not read its answers
	LocalFailure                        // not opened: a system call failed for lack of a resource on this machine
	closeReasonCount                    // the number of reasons
)

// outcome maps the end of a connection to the outcome of the attempt on it; this is the only place that does. An
// attempt is fully written once the kernel has taken its last byte, and then it may have run. Otherwise it never ran.
func (r CloseReason) outcome(fullyWritten bool) choice.Outcome {
	switch {
	case fullyWritten && r == AttemptCancelled:
		return choice.Cancelled
	case fullyWritten && r == DeadlineExceeded:
		return choice.TimedOut
	case fullyWritten:
		return choice.ConnectionLost
	case r == AttemptCancelled, r == DeadlineExceeded, r == NoConnection, r == IdleClosed, r == LocalFailure:
		// It was ended on this side before the server took part, which says nothing of the server.
		return choice.NotAttempted
	}
	return choice.ConnectFailed
}

// counterOutcome does the same for a call to the counter: a fully written one may have been added, any other was not. A
// connection that broke or brought malformed data does not mean that the counter is down or overloaded.
func (r CloseReason) counterOutcome(fullyWritten bool) choice.Outcome {
	switch {
	case fullyWritten && (r == PeerClosed || r == PeerReset || r == ProtocolError):
		return choice.ServerError
	case fullyWritten:
		return choice.TimedOut
	}
	return choice.ConnectFailed
}

// String returns the word that log lines use.
func (r CloseReason) String() string {
	return [...]string{"refused", "dial-timed-out", "peer-closed", "peer-reset", "protocol-error", "cancelled",
		"deadline-exceeded", "no-response", "idle", "no-descriptor", "slow-reader",
		"local-failure"}[r]
}
