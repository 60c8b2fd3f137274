// Package distribution decides how numbered configuration changes reach limiters. It does no I/O: the caller passes
// the time in and carries the messages (see package transport below it).
//
// A source appends changes to a Log. One Relay a zone follows the source and serves the limiters of that zone, each of
// which runs a Subscriber. A subscriber asks for the changes behind its version, in its Scope, checks them against the
// digest of the resulting state, and puts them in force through its Applier whole or not at all. Where its version is
// no longer in the log, or its state has diverged, it reads the whole state in pieces. Acknowledgements of the
// versions in force are summed at relays, so that the source reads one message a relay.
//
// All times are nanoseconds; those that are points in time count from the caller's own epoch (Unix time for
// Change.Published). The design, its message shapes and its bounds are in docs/distribution.md.
package distribution

// Server answers subscribers. Source and Relay implement it. It is not safe for concurrent use.
type Server interface {
	// Head is the version up to which it leads.
	Head() Version
	// Newer tells whether a call for changes has something to be answered with, or else may be held.
	Newer(ChangesRequest) bool
	// Changes answers a call for changes with at least an empty Delta. Errors: *CompactedError, *BehindError,
	// *NotReadyError, *ScopeError.
	Changes(now int64, request ChangesRequest) (*Delta, error)
	// Piece answers a call for a piece of the state. Errors: *ThrottledError, *NotReadyError, *ScopeError.
	Piece(now int64, request PieceRequest) (*Piece, error)
	// Acknowledge notes which version a limiter has in force. Errors: *KeyError, *TooLargeError.
	Acknowledge(now int64, acknowledgement Acknowledgement) error
}

// Writer is the one writer of the log. Log implements it; a replicated log may take its place.
type Writer interface {
	// Open begins an epoch and fences all lower ones. Errors: *FencedError, *EpochStepError.
	Open(now int64, epoch uint64) (Change, error)
	// Append publishes a change in the open epoch. With an expected version it fails unless that is the head, which
	// makes it safe to repeat. Errors: *FencedError, *ConflictError, *EmptyChangeError, *KindError, *KeyError,
	// *TooLargeError.
	Append(now int64, epoch uint64, expected *Version, mutations []Mutation) (Change, error)
}

// Applier puts versions in force at a subscriber. A limiter implements it between two requests: Apply never blocks on
// I/O and no request waits for it.
type Applier interface {
	// Apply puts an update in force whole and returns nil, or changes nothing and returns the reason. The update is
	// read-only and must not be kept.
	Apply(update *Update) error
}

// Update is what takes a subscriber from one version to another.
type Update struct {
	From, To Version
	// Changes lead from From to To. Empty where Whole is set.
	Changes []Change
	// Whole is the entire state at To, which replaces what was in force. Nil where Changes say it all.
	Whole *State
}
