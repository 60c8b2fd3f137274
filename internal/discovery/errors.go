package discovery

import (
	"fmt"
	"net/http"
)

// MalformedError reports a response that is not valid HTTP/1.
type MalformedError struct {
	Why   string // what is wrong, empty if Cause tells it
	Cause error  // the error of net/http, or nil
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "discovery's response is malformed" + detail(e.Why, e.Cause)
}

// Unwrap returns Cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *MalformedError) Hint() string {
	return "check that the discovery service, and nothing else, answers at the configuration's discovery address"
}

// TooLongError reports a response whose head or body exceeds its size limit.
type TooLongError struct {
	Part string // "head" or "body"
	Max  int    // the limit, in bytes
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("discovery's response is too long: its %s exceeds %d bytes", e.Part, e.Max)
}

// Hint returns what an operator can do.
func (e *TooLongError) Hint() string {
	return "check what the discovery service sends; a fleet whose list is really so long needs smaller tiers"
}

// ThrottledError reports a call that discovery rejected because it is overloaded.
type ThrottledError struct{ Status int }

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("discovery throttled the call with status %d", e.Status)
}

// Hint returns what an operator can do.
func (e *ThrottledError) Hint() string {
	return "nothing if it is rare: calls are retried with backoff; if many limiters log it, give discovery more capacity"
}

// StatusError reports a response without a list, with a status other than those of ThrottledError.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered with status %d %s", e.Status, http.StatusText(e.Status))
}

// Hint returns what an operator can do.
func (e *StatusError) Hint() string {
	return "check the discovery service, and that it supports this protocol"
}

// ListMalformedError reports a list that is not valid JSON or has values of wrong types.
type ListMalformedError struct{ Cause error }

// Error implements error.
func (e *ListMalformedError) Error() string { return "the list is malformed" + detail("", e.Cause) }

// Unwrap returns Cause.
func (e *ListMalformedError) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *ListMalformedError) Hint() string {
	return "check the program that writes the list: its JSON does not have the form of discovery's lists"
}

// ListRefusedError reports a list with a missing or invalid value. No part of the list is used.
type ListRefusedError struct {
	Server string // the server's ID, or its index in the list if the ID is missing; empty for a key of the list itself
	Key    string // the JSON key
	Why    string // what is wrong, empty if Cause tells it
	Cause  error  // or nil
}

// Error implements error.
func (e *ListRefusedError) Error() string {
	where := e.Key
	if e.Server != "" {
		where = "instances: " + e.Server + ": " + e.Key
	}
	return "the list cannot be used: " + where + detail(e.Why, e.Cause)
}

// Unwrap returns Cause.
func (e *ListRefusedError) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *ListRefusedError) Hint() string {
	if e.Server == "" {
		return fmt.Sprintf("add %s to the list", e.Key)
	}
	return fmt.Sprintf("correct %s of server %s in the list", e.Key, e.Server)
}

// Err returns nil if the status is 200, which comes with a list. Errors: *ThrottledError, *StatusError.
func (r Response) Err() error {
	switch r.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &ThrottledError{Status: r.Status}
	}
	return &StatusError{Status: r.Status}
}

// detail returns the end of an error message: why and cause, each after a colon if present.
func detail(why string, cause error) string {
	text := ""
	if why != "" {
		text = ": " + why
	}
	if cause != nil {
		text += ": " + cause.Error()
	}
	return text
}
