package transport

import (
	"fmt"
	"net/http"
	"time"
)

// UnreachableError is for a server to which no call could be brought.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error says what happened.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *UnreachableError) Hint() string {
	return "look at the relay or source at " + e.Address + " and at the way to it; what is in force stays"
}

// UnansweredError is for a call that was given up.
type UnansweredError struct {
	Address string
	After   int64 // nanoseconds
}

// Error says what happened.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%s has not answered within %v", e.Address, time.Duration(e.After))
}

// Hint is what to do.
func (e *UnansweredError) Hint() string {
	return "nothing if it is rare; if it stays, look at whether " + e.Address + " has stalled"
}

// TruncatedError is for an answer that ends too early.
type TruncatedError struct {
	Address string
	Cause   error
}

// Error says what happened.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the answer of %s is cut short: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *TruncatedError) Hint() string {
	return "nothing if it is rare, none of it is used; if it stays, look at what stands before " + e.Address
}

// TooLongError is for an answer that passes its bound.
type TooLongError struct {
	Address string
	Max     int64 // bytes
}

// Error says what happened.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the answer of %s passes %d bytes", e.Address, e.Max)
}

// Hint is what to do.
func (e *TooLongError) Hint() string {
	return "check that a relay of this version, and nothing else, listens at " + e.Address
}

// StatusError is for an answer with a status of an error that does not say which.
type StatusError struct {
	Address string
	Status  int
}

// Error says what happened.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d %s", e.Address, e.Status, http.StatusText(e.Status))
}

// Hint is what to do.
func (e *StatusError) Hint() string {
	return "check that a relay of this version, and nothing else, listens at " + e.Address
}
