package limiter

import (
	"testing"

	"ospreycroft/choice"
)

// TestCloseReasonOutcomes checks the outcome of each close reason, for attempts and counter calls that were partly and
// completely written.
func TestCloseReasonOutcomes(t *testing.T) {
	for _, c := range []struct {
		end               CloseReason
		partial, complete choice.Outcome
	}{
		{ConnRefused, choice.ConnectFailed, choice.ConnectionLost},
		{DialTimedOut, choice.ConnectFailed, choice.ConnectionLost},
		{PeerClosed, choice.ConnectFailed, choice.ConnectionLost},
		{PeerReset, choice.ConnectFailed, choice.ConnectionLost},
		{ProtocolError, choice.ConnectFailed, choice.ConnectionLost},
		{AttemptCancelled, choice.NotAttempted, choice.Cancelled},
		{DeadlineExceeded, choice.NotAttempted, choice.TimedOut},
		{NoConnection, choice.NotAttempted, choice.ConnectionLost},
		{LocalFailure, choice.NotAttempted, choice.ConnectionLost},
	} {
		t.Run(c.end.String(), func(t *testing.T) {
			if partial, complete := c.end.outcome(false), c.end.outcome(true); partial != c.partial || complete != c.complete {
				t.Fatalf("outcome of a partly written attempt %d, of a complete one %d", partial, complete)
			}
			want := choice.TimedOut
			if c.end == PeerClosed || c.end == PeerReset || c.end == ProtocolError {
				want = choice.ServerError
			}
			if c.end.counterOutcome(false) != choice.ConnectFailed || c.end.counterOutcome(true) != want {
				t.Fatal("a complete call may have been counted, a partly written one cannot have been")
			}
		})
	}
}
