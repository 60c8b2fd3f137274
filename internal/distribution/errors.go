package distribution

import (
	"fmt"
	"time"
)

// KindError is returned for an entry of an unknown kind.
type KindError struct{ Kind string }

// Error implements the error interface.
func (e *KindError) Error() string { return fmt.Sprintf("the kind %q is not known", e.Kind) }

// Hint tells the operator what to do.
func (e *KindError) Hint() string {
	return "publish entries of routes, tenants, plans or endpoints only; a newer kind needs a newer program everywhere first"
}

// KeyError is returned for an invalid entry, and for the deletion of an entry that does not exist. Why completes the
// sentence that begins with the entry.
type KeyError struct {
	Key Key
	Why string
}

// Error implements the error interface.
func (e *KeyError) Error() string { return fmt.Sprintf("the entry %s %s", e.Key, e.Why) }

// Hint tells the operator what to do.
func (e *KeyError) Hint() string { return "mend the entry " + e.Key.String() + " and publish again" }

// TooLargeError is returned for whatever exceeds its size limit, such as a name, a change or a state.
type TooLargeError struct {
	What       string
	Bytes, Max int // actual size and limit; a count instead of bytes if What says so
}

// Error implements the error interface.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s is too large: %d, at most %d", e.What, e.Bytes, e.Max)
}

// Hint tells the operator what to do.
func (e *TooLargeError) Hint() string { return "split it into several entries or changes" }

// EmptyChangeError is returned for a change without mutations.
type EmptyChangeError struct{}

// Error implements the error interface.
func (e *EmptyChangeError) Error() string { return "the change has no mutations" }

// Hint tells the operator what to do.
func (e *EmptyChangeError) Hint() string { return "publish a change with at least one mutation" }

// FencedError is returned to a writer whose epoch is not the open one. Open is the open epoch, or the highest that the
// source has seen in a request; Given is the writer's.
type FencedError struct{ Open, Given uint64 }

// Error implements the error interface.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the writer's epoch %d is not the open one, which is %d", e.Given, e.Open)
}

// Hint tells the operator what to do.
func (e *FencedError) Hint() string {
	return "stop the older writer, another has taken its place; the new one opens a higher epoch before it publishes"
}

// EpochStepError is returned for an epoch that is more than MaxEpochStep above the open one.
type EpochStepError struct{ Open, Given uint64 }

// Error implements the error interface.
func (e *EpochStepError) Error() string {
	return fmt.Sprintf("the epoch %d is more than %d above the open one, which is %d", e.Given, MaxEpochStep, e.Open)
}

// Hint tells the operator what to do.
func (e *EpochStepError) Hint() string { return "count epochs up by one for each new writer" }

// ConflictError is returned for a change whose expected version is not the head of the log.
type ConflictError struct{ Expected, Head Version }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change expects version %v, the head is %v", e.Expected, e.Head)
}

// Hint tells the operator what to do.
func (e *ConflictError) Hint() string {
	return "read the state again: another change came first, or this one was taken before and its answer was lost"
}

// SkipError is returned for an answer whose versions leave a gap or do not continue from the version requested. Held is
// the version that Given should have followed.
type SkipError struct{ Held, Given Version }

// Error implements the error interface.
func (e *SkipError) Error() string {
	return fmt.Sprintf("version %v does not follow %v", e.Given, e.Held)
}

// Hint tells the operator what to do.
func (e *SkipError) Hint() string {
	return "nothing if it is rare, the subscriber polls again; if it persists, check the relay that answers"
}

// StaleAnswerError is returned for an answer whose version is older than the applied one, which is Held.
type StaleAnswerError struct{ Held, Given Version }

// Error implements the error interface.
func (e *StaleAnswerError) Error() string {
	return fmt.Sprintf("the answer's version %v is older than %v, which is in force", e.Given, e.Held)
}

// Hint tells the operator what to do.
func (e *StaleAnswerError) Hint() string {
	return "check the relay that answers: it serves an old state, or follows a source that was replaced"
}

// DigestError is returned if the state after an answer has another digest than the server's state at that version.
type DigestError struct {
	Version   Version
	Want, Got Digest
}

// Error implements the error interface.
func (e *DigestError) Error() string {
	return fmt.Sprintf("at version %v the digest is %.16v, not %.16v", e.Version, e.Got, e.Want)
}

// Hint tells the operator what to do.
func (e *DigestError) Hint() string {
	return "nothing: the complete state is read again; if it recurs, compare the digests of source and relays"
}

// CompactedError is returned if the requested version is not in the log: it was compacted, or it was published by an
// earlier writer whose log was lost. Oldest is the oldest version whose following changes are all in the log.
type CompactedError struct{ From, Oldest Version }

// Error implements the error interface.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("version %v is not in the log, which begins at %v", e.From, e.Oldest)
}

// Hint tells the operator what to do.
func (e *CompactedError) Hint() string {
	return "nothing: the subscriber reads the whole state; if many do, let the log keep more changes"
}

// BehindError is returned by a server whose head is older than the version requested.
type BehindError struct{ From, Head Version }

// Error implements the error interface.
func (e *BehindError) Error() string {
	return fmt.Sprintf("version %v is asked from, but the server has only %v", e.From, e.Head)
}

// Hint tells the operator what to do.
func (e *BehindError) Hint() string {
	return "nothing if it is short, the subscriber asks its other relay; if it stays, look at the way from the relay to the source"
}

// NotReadyError is returned by a server that has no version yet.
type NotReadyError struct{}

// Error implements the error interface.
func (e *NotReadyError) Error() string { return "the server has no version yet" }

// Hint tells the operator what to do.
func (e *NotReadyError) Hint() string {
	return "nothing while it starts; if it stays, look at the way from the relay to the source"
}

// ThrottledError is returned for a piece that exceeds the server's byte budget at the moment.
type ThrottledError struct{ RetryAfter int64 } // nanoseconds until the budget suffices

// Error implements the error interface.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("the byte budget is spent for %v", time.Duration(e.RetryAfter))
}

// Hint tells the operator what to do.
func (e *ThrottledError) Hint() string {
	return "nothing, the subscriber asks again; if a start of all limiters takes too long, raise the relays' byte budget"
}

// ScopeError is returned for an invalid scope.
type ScopeError struct{ Why string }

// Error implements the error interface.
func (e *ScopeError) Error() string { return "the scope cannot be used: " + e.Why }

// Hint tells the operator what to do.
func (e *ScopeError) Hint() string {
	return "mend the subscriber's scope: kinds, '@', names, with commas"
}

// ReadOnlyError is returned for a write to a relay.
type ReadOnlyError struct{}

// Error implements the error interface.
func (e *ReadOnlyError) Error() string { return "a relay takes no writes" }

// Hint tells the operator what to do.
func (e *ReadOnlyError) Hint() string {
	return "publish at the source; while a region is cut off from it, that region takes no changes"
}

// FixedKeyError is returned for an entry that a running limiter cannot change.
type FixedKeyError struct{ Key Key }

// Error implements the error interface.
func (e *FixedKeyError) Error() string {
	return fmt.Sprintf("the entry %s cannot change while the limiter runs", e.Key)
}

// Hint tells the operator what to do.
func (e *FixedKeyError) Hint() string {
	return "take " + e.Key.String() + " back, and change it by the configuration file and a restart"
}

// RefusedError is returned if the Applier refuses an update. The version applied before stays in force.
type RefusedError struct {
	Version Version
	Cause   error
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("version %v is refused: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Hint tells the operator what to do.
func (e *RefusedError) Hint() string {
	return "publish a change that corrects what the cause names; until then the limiter keeps the version before it"
}

// MalformedError is returned for a request or an answer that cannot be parsed.
type MalformedError struct {
	What  string
	Cause error
}

// Error implements the error interface.
func (e *MalformedError) Error() string { return fmt.Sprintf("%s is malformed: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Hint tells the operator what to do.
func (e *MalformedError) Hint() string {
	return "check that a relay of this version, and nothing else, listens at the address"
}

// NoRelayError is returned if no relay can be chosen because the list of relays or the position is invalid.
type NoRelayError struct{ Why string }

// Error implements the error interface.
func (e *NoRelayError) Error() string { return "no relay can be chosen: " + e.Why }

// Hint tells the operator what to do.
func (e *NoRelayError) Hint() string {
	return "configure at least one relay, each with a unique name and an address"
}
