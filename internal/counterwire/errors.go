package counterwire

import "fmt"

// MalformedError is for a line that the counter does not write.
type MalformedError struct {
	Line string // the first bytes of it
}

// Error says what happened.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the counter wrote %q, which is no answer", e.Line)
}

// Hint says what an operator can do.
func (e *MalformedError) Hint() string {
	return "many of them: check that the counter, and nothing else, listens at the configuration's counter address"
}

// maxQuotedBytes is how many bytes of a malformed line an error holds.
const maxQuotedBytes = 32

func malformed(b []byte) error { return &MalformedError{Line: string(b[:min(len(b), maxQuotedBytes)])} }

// MismatchError is for an answer of the wrong kind: a ping was out and a call's answer came, or the other way round.
type MismatchError struct {
	Ping bool // a ping was out
}

// Error says what happened.
func (e *MismatchError) Error() string {
	if e.Ping {
		return "the counter answered a ping with a call's answer"
	}
	return "the counter answered a call with a ping's answer"
}

// Hint says what an operator can do.
func (e *MismatchError) Hint() string {
	return "check what listens at the configuration's counter address; it must answer in the order of the calls"
}

// RejectedError is for a call that the counter does not take; nothing was added.
type RejectedError struct {
	Name   uint64
	Amount float64
}

// Error says what happened.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the counter knows no such call: name %d, amount %v", e.Name, e.Amount)
}

// Hint says what an operator can do.
func (e *RejectedError) Hint() string {
	return "report it, with this line; if each call is refused, check that the counter has this protocol"
}
