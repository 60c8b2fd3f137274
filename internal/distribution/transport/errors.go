package transport

import (
	"fmt"
	"net/http"
	"time"
)

// UnreachableError reports a server that could not be called: the connection failed, or broke before the response
// began.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Hint returns the advice to the operator.
func (e *UnreachableError) Hint() string {
	return "check the relay or source at " + e.Address + " and the network to it; the version in force stays in force"
}

// UnansweredError reports a call that was abandoned because no complete response arrived within its timeout.
type UnansweredError struct {
	Address string
	After   int64 // the timeout, in nanoseconds
}

// Error implements the error interface.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%s has not answered within %v", e.Address, time.Duration(e.After))
}

// Hint returns the advice to the operator.
func (e *UnansweredError) Hint() string {
	return "nothing if it is rare; if it persists, check whether " + e.Address + " has stalled"
}

// TruncatedError reports a response whose body ends too early. None of it is used.
type TruncatedError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the response of %s is truncated: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Hint returns the advice to the operator.
func (e *TruncatedError) Hint() string {
	return "nothing if it is rare, no partial response is used; if it persists, check any proxy in front of " + e.Address
}

// TooLongError reports a response whose body exceeds MaxResponseBytes.
type TooLongError struct {
	Address string
	Max     int64 // bytes
}

// Error implements the error interface.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the response of %s exceeds %d bytes", e.Address, e.Max)
}

// Hint returns the advice to the operator.
func (e *TooLongError) Hint() string {
	return "check that nothing but a source or relay of this version listens at " + e.Address
}

// StatusError reports a response with an unexpected status and no known error in its body.
type StatusError struct {
	Address string
	Status  int
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d %s", e.Address, e.Status, http.StatusText(e.Status))
}

// Hint returns the advice to the operator.
func (e *StatusError) Hint() string {
	return "check that nothing but a source or relay of this version listens at " + e.Address
}
