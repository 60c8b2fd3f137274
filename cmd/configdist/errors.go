package main

import (
	"fmt"

	"ospreycroft/internal/distribution"
)

// FlagError is for a flag or an argument that cannot work.
type FlagError struct {
	Name  string
	Value any
	Want  string
}

// Error says what happened.
func (e *FlagError) Error() string { return fmt.Sprintf("%s is %v, not %s", e.Name, e.Value, e.Want) }

// Hint is what to do.
func (e *FlagError) Hint() string { return "set " + e.Name + " to " + e.Want }

// ListenError is for an address on which this machine cannot listen.
type ListenError struct {
	Address string
	Cause   error
}

// Error says what happened.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *ListenError) Hint() string {
	return "end what holds " + e.Address + ", or set --listen to an address of this machine"
}

// SourceStateError is for a source whose state file cannot be used. It does not start without: limiters would lose what
// was published.
type SourceStateError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (e *SourceStateError) Error() string {
	return fmt.Sprintf("the source's state %s cannot be used: %v", e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *SourceStateError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *SourceStateError) Hint() string {
	return "put a copy of " + e.Path + " back; or move it away, start with --epoch above the last one and publish everything anew"
}

// NotInForceError is for a version that is not confirmed in force at all limiters that tell.
type NotInForceError struct {
	Version             distribution.Version
	InForce, Limiters   int
	Unconfirmed, Silent int
}

// Error says what happened.
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

// Hint is what to do.
func (e *NotInForceError) Hint() string {
	return "wait some seconds and ask again; then look at the refusals, the silent relays and the way from relays to the source"
}
