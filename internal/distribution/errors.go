package distribution

import (
	"fmt"
	"time"
)

// KindError is for an entry of a kind that this program does not know.
type KindError struct{ Kind string }

// Error says what happened.
func (e *KindError) Error() string { return fmt.Sprintf("the kind %q is not known", e.Kind) }

// Hint is what to do.
func (e *KindError) Hint() string {
	return "publish entries of routes, tenants, plans or endpoints only; a newer kind needs a newer program everywhere first"
}

// KeyError is for an entry that cannot be or is not held.
type KeyError struct {
	Key Key
	Why string
}

// Error says what happened.
func (e *KeyError) Error() string { return fmt.Sprintf("the entry %s %s", e.Key, e.Why) }

// Hint is what to do.
func (e *KeyError) Hint() string { return "mend the entry " + e.Key.String() + " and publish again" }

// TooLargeError is for a text, a change or a state that passes its bound.
type TooLargeError struct {
	What       string
	Bytes, Max int // or a number, where What says so
}

// Error says what happened.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s is too large: %d, at most %d", e.What, e.Bytes, e.Max)
}

// Hint is what to do.
func (e *TooLargeError) Hint() string { return "split it into several entries or changes" }

// EmptyChangeError is for a change that changes nothing.
type EmptyChangeError struct{}

// Error says what happened.
func (e *EmptyChangeError) Error() string { return "the change has no mutations" }

// Hint is what to do.
func (e *EmptyChangeError) Hint() string { return "publish a change with at least one mutation" }

// FencedError is for a writer whose epoch is not the open one.
type FencedError struct{ Open, Given uint64 }

// Error says what happened.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the writer's epoch %d is not the open one, which is %d", e.Given, e.Open)
}

// Hint is what to do.
func (e *FencedError) Hint() string {
	return "stop the older writer, another has taken its place; the new one opens a higher epoch before it publishes"
}

// EpochStepError is for an epoch that is too far above the open one.
type EpochStepError struct{ Open, Given uint64 }

// Error says what happened.
func (e *EpochStepError) Error() string {
	return fmt.Sprintf("the epoch %d is more than %d above the open one, which is %d", e.Given, MaxEpochStep, e.Open)
}

// Hint is what to do.
func (e *EpochStepError) Hint() string { return "count epochs up by one for each new writer" }

// ConflictError is for a change that was made for another version than the log's head.
type ConflictError struct{ Expected, Head Version }

// Error says what happened.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change expects version %v, the head is %v", e.Expected, e.Head)
}

// Hint is what to do.
func (e *ConflictError) Hint() string {
	return "read the state again: another change came first, or this one was taken before and its answer was lost"
}

// SkipError is for a version that does not follow the one before it.
type SkipError struct{ Held, Given Version }

// Error says what happened.
func (e *SkipError) Error() string {
	return fmt.Sprintf("version %v does not follow %v", e.Given, e.Held)
}

// Hint is what to do.
func (e *SkipError) Hint() string {
	return "nothing if it is rare, the subscriber asks again; if it stays, look at the relay that answers"
}

// StaleAnswerError is for an answer with an older version than the one in force.
type StaleAnswerError struct{ Held, Given Version }

// Error says what happened.
func (e *StaleAnswerError) Error() string {
	return fmt.Sprintf("the answer's version %v is older than %v, which is in force", e.Given, e.Held)
}

// Hint is what to do.
func (e *StaleAnswerError) Hint() string {
	return "look at the relay that answers: it serves an old state, or follows a source that was replaced"
}

// DigestError is for a state that is not the one that the server has.
type DigestError struct {
	Version   Version
	Want, Got Digest
}

// Error says what happened.
func (e *DigestError) Error() string {
	return fmt.Sprintf("at version %v the digest is %.16v, not %.16v", e.Version, e.Got, e.Want)
}

// Hint is what to do.
func (e *DigestError) Hint() string {
	return "nothing: the state is read anew; if it comes again, compare the digests of source and relays"
}

// CompactedError is for a version that the log does not hold: it was compacted away, or belongs to a writer that lost
// it.
type CompactedError struct{ From, Oldest Version }

// Error says what happened.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("version %v is not in the log, which begins at %v", e.From, e.Oldest)
}

// Hint is what to do.
func (e *CompactedError) Hint() string {
	return "nothing: the subscriber reads the whole state; if many do, let the log keep more changes"
}

// BehindError is for a server that is older than the subscriber that asks it.
type BehindError struct{ From, Head Version }

// Error says what happened.
func (e *BehindError) Error() string {
	return fmt.Sprintf("version %v is asked from, but the server has only %v", e.From, e.Head)
}

// Hint is what to do.
func (e *BehindError) Hint() string {
	return "nothing if it is short, the subscriber asks its other relay; if it stays, look at the way from the relay to the source"
}

// NotReadyError is for a server that has no version yet.
type NotReadyError struct{}

// Error says what happened.
func (e *NotReadyError) Error() string { return "the server has no version yet" }

// Hint is what to do.
func (e *NotReadyError) Hint() string {
	return "nothing while it starts; if it stays, look at the way from the relay to the source"
}

// ThrottledError is for a piece that passes the server's byte budget now.
type ThrottledError struct{ RetryAfter int64 } // nanoseconds

// Error says what happened.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("the byte budget is spent for %v", time.Duration(e.RetryAfter))
}

// Hint is what to do.
func (e *ThrottledError) Hint() string {
	return "nothing, the subscriber asks again; if a start of all limiters takes too long, raise the relays' byte budget"
}

// ScopeError is for a scope that cannot be.
type ScopeError struct{ Why string }

// Error says what happened.
func (e *ScopeError) Error() string { return "the scope cannot be used: " + e.Why }

// Hint is what to do.
func (e *ScopeError) Hint() string {
	return "mend the subscriber's scope: kinds, '@', names, with commas"
}

// ReadOnlyError is for a write to a server that only serves.
type ReadOnlyError struct{}

// Error says what happened.
func (e *ReadOnlyError) Error() string { return "a relay takes no writes" }

// Hint is what to do.
func (e *ReadOnlyError) Hint() string {
	return "publish at the source; while a region is cut off from it, that region takes no changes"
}

// FixedKeyError is for a key that a limiter cannot change while it runs.
type FixedKeyError struct{ Key Key }

// Error says what happened.
func (e *FixedKeyError) Error() string {
	return fmt.Sprintf("the entry %s cannot change while the limiter runs", e.Key)
}

// Hint is what to do.
func (e *FixedKeyError) Hint() string {
	return "take " + e.Key.String() + " back, and change it by the configuration file and a restart"
}

// RefusedError is for an update that the applier did not put in force; the version before it stays.
type RefusedError struct {
	Version Version
	Cause   error
}

// Error says what happened.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("version %v is refused: %v", e.Version, e.Cause)
}

// Unwrap gives the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *RefusedError) Hint() string {
	return "publish a change that mends what the cause names; until then the limiter serves the version before it"
}

// MalformedError is for an answer or a request that is not of its shape.
type MalformedError struct {
	What  string
	Cause error
}

// Error says what happened.
func (e *MalformedError) Error() string { return fmt.Sprintf("%s is malformed: %v", e.What, e.Cause) }

// Unwrap gives the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *MalformedError) Hint() string {
	return "check that a relay of this version, and nothing else, listens at the address"
}

// NoRelayError is for a list of relays of which none can be chosen.
type NoRelayError struct{ Why string }

// Error says what happened.
func (e *NoRelayError) Error() string { return "no relay can be chosen: " + e.Why }

// Hint is what to do.
func (e *NoRelayError) Hint() string {
	return "name at least one relay, each once, with a name and an address"
}
