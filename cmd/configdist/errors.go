package main

import (
	"fmt"

	"ospreycroft/internal/distribution"
)

// FlagError reports an unusable value of a flag.
type FlagError struct {
	Name  string
	Value any    // the value given, or the error that it caused
	Want  string // what is valid
}

// Error implements the error interface.
func (e *FlagError) Error() string { return fmt.Sprintf("%s is %v, not %s", e.Name, e.Value, e.Want) }

// Hint returns the advice to the operator.
func (e *FlagError) Hint() string { return "set " + e.Name + " to " + e.Want }

// ListenError reports an address on which the process cannot listen.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Hint returns the advice to the operator.
func (e *ListenError) Hint() string {
	return "stop the process that uses " + e.Address + ", or set --listen to an address of this machine"
}

// SourceStateError reports a state file that a source cannot read or write. The source does not start without it:
// limiters would lose what was published.
type SourceStateError struct {
	Path  string
	Cause error
}

// Error implements the error interface.
func (e *SourceStateError) Error() string {
	return fmt.Sprintf("the source's state %s cannot be used: %v", e.Path, e.Cause)
}

// Unwrap returns the underlying error.
func (e *SourceStateError) Unwrap() error { return e.Cause }

// Hint returns the advice to the operator.
func (e *SourceStateError) Hint() string {
	return "restore " + e.Path +
		" from a copy; or move it away, start with --epoch above the last one and publish everything again"
}

// NotInForceError reports a version that is not confirmed to be in force at all limiters that send acknowledgements.
type NotInForceError struct {
	Version             distribution.Version
	InForce, Limiters   int // limiters that have Version in force, and all that are expected
	Unconfirmed, Silent int // limiters that are unconfirmed, and relays that are silent
}

// Error implements the error interface.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf(
		"version %v is in force at %d of %d limiters, %d unconfirmed, %d relays silent",
		e.Version,
		e.InForce,
		e.Limiters,
		e.Unconfirmed,
		e.Silent,
	)
}

// Hint returns the advice to the operator.
func (e *NotInForceError) Hint() string {
	return "retry after some seconds; then check the refusals, the silent relays and their network to the source"
}
