package discovery

import (
	"fmt"
	"net/http"
)

// MalformedError is for an answer that is no HTTP/1 that can be read.
type MalformedError struct {
	Why   string // what is wrong, empty where the cause says it
	Cause error  // what net/http says, or nil
}

// Error says what happened.
func (e *MalformedError) Error() string {
	return "discovery's answer is malformed" + detail(e.Why, e.Cause)
}

// Unwrap gives the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *MalformedError) Hint() string {
	return "check that the list service, and nothing else, answers at the configuration's discovery address"
}

// TooLongError is for an answer with a part that passes its limit.
type TooLongError struct {
	Part string // "head" or "body"
	Max  int    // bytes
}

// Error says what happened.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("discovery's answer is too long: its %s passes %d bytes", e.Part, e.Max)
}

// Hint says what an operator can do.
func (e *TooLongError) Hint() string {
	return "check what the list service sends; a fleet whose list is really so long needs smaller tiers"
}

// ThrottledError is for a call that discovery has no time for now.
type ThrottledError struct{ Status int }

// Error says what happened.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("discovery turned the call away with status %d", e.Status)
}

// Hint says what an operator can do.
func (e *ThrottledError) Hint() string {
	return "nothing if it is rare, the call comes again later and later; at many limiters, give discovery more room"
}

// StatusError is for an answer with any other status that brings no list.
type StatusError struct{ Status int }

// Error says what happened.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered with status %d %s", e.Status, http.StatusText(e.Status))
}

// Hint says what an operator can do.
func (e *StatusError) Hint() string {
	return "look at the list service, and check that it has this protocol"
}

// ListMalformedError is for a list that is no JSON of the right shape.
type ListMalformedError struct{ Cause error }

// Error says what happened.
func (e *ListMalformedError) Error() string { return "the list is malformed" + detail("", e.Cause) }

// Unwrap gives the cause.
func (e *ListMalformedError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *ListMalformedError) Hint() string {
	return "look at who writes the list: its JSON does not have the form of discovery's lists"
}

// ListRefusedError is for a list that has the right shape and says what cannot be; none of it is used.
type ListRefusedError struct {
	Server string // its id, or its place in the list where that is missing; empty where the list itself is at fault
	Key    string // of the JSON
	Why    string // empty where the cause says it
	Cause  error  // or nil
}

// Error says what happened.
func (e *ListRefusedError) Error() string {
	where := e.Key
	if e.Server != "" {
		where = "instances: " + e.Server + ": " + e.Key
	}
	return "the list cannot be used: " + where + detail(e.Why, e.Cause)
}

// Unwrap gives the cause.
func (e *ListRefusedError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *ListRefusedError) Hint() string {
	if e.Server == "" {
		return fmt.Sprintf("have the list say %s", e.Key)
	}
	return fmt.Sprintf("mend %s of server %s in the list", e.Key, e.Server)
}

// Err tells why an answer brings no list, by its status; nil where it does.
func (r Response) Err() error {
	switch r.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &ThrottledError{Status: r.Status}
	}
	return &StatusError{Status: r.Status}
}

// detail is the end of a message: why, and the cause underneath, as far as there are any.
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
