// Package distribution replicates numbered configuration changes from a source to limiters. It does no I/O: the caller
// passes in the current time and carries the messages (see package transport in the folder below).
//
// A source appends changes to a Log. In each zone, one Relay follows the source and serves the limiters of that zone,
// each of which runs a Subscriber. A subscriber requests the changes in its Scope that follow its version, checks them
// against the digest of the resulting state, and applies them atomically through its Applier. If its version is no
// longer in the log, or its state has diverged, it reads the complete state in pieces (a resync). Limiters acknowledge
// the version that they have applied; each relay sums these acknowledgements up, so that the source reads one message
// per relay.
//
// All times are in nanoseconds. Points in time are relative to an epoch that the caller chooses, except
// Change.Published, which is Unix time. The design, the message formats and the limits are described in
// docs/distribution.md.
package distribution

// Server answers the calls of subscribers. Source and Relay implement it. It is not safe for concurrent use.
type Server interface {
	// Head returns the newest version that the server has.
	Head() Version
	// HasNewer reports whether the server has changes that the request does not know of. If it returns false, the
	// caller may hold the request until there are some.
	HasNewer(ChangesRequest) bool
	// Changes returns the changes that follow request.From. The Delta has no changes if there are none. Errors:
	// *CompactedError, *BehindError, *NotReadyError, *ScopeError.
	Changes(now int64, request ChangesRequest) (*Delta, error)
	// Piece returns one piece of the state. Errors: *ThrottledError, *NotReadyError, *ScopeError.
	Piece(now int64, request PieceRequest) (*Piece, error)
	// Acknowledge records which version a limiter has applied. Errors: *KeyError, *TooLargeError.
	Acknowledge(now int64, acknowledgement Acknowledgement) error
}

// Writer is the only writer of the log. Log implements it; a replicated log could replace it.
type Writer interface {
	// Open begins an epoch and fences the writers of all lower epochs. Errors: *FencedError, *EpochStepError.
	Open(now int64, epoch uint64) (Change, error)
	// Append publishes a change in the open epoch. If expected is not nil, it must be the head; otherwise Append
	// returns *ConflictError, so that a retry does not publish the change twice. Errors: *FencedError, *ConflictError,
	// *EmptyChangeError, *KindError, *KeyError, *TooLargeError.
	Append(now int64, epoch uint64, expected *Version, mutations []Mutation) (Change, error)
}

// Applier applies updates at a subscriber. A limiter calls it between two requests, so Apply must not block on I/O.
type Applier interface {
	// Apply applies the whole update and returns nil, or changes nothing and returns the reason. It must neither modify
	// the update nor keep it after it returns.
	Apply(update *Update) error
}

// Update takes a subscriber from one version to another.
type Update struct {
	From, To Version
	// Changes are the changes after From up to and including To. Empty if Whole is set.
	Changes []Change
	// FullState is the complete state at To, which replaces the applied one. Nil if the update consists of Changes.
	FullState *State
}
