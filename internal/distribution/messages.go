package distribution

// Bounds of answers, in bytes of content.
const (
	// MaxDeltaBytes is where a Delta ends after its first change.
	MaxDeltaBytes = 256 << 10
	// MinPieceBytes holds any one entry.
	MinPieceBytes = maxEntryBytes
	// MaxPieceBytes is the largest piece that a server gives.
	MaxPieceBytes = 256 << 10
)

// ChangesRequest asks for the changes behind a version.
type ChangesRequest struct {
	From Version
	// Seen is a version whose update the subscriber has refused: nothing up to it is news. Zero where there is none.
	Seen  Version
	Scope Scope
}

// Delta leads from one version to another.
type Delta struct {
	From Version `json:"from"`
	To   Version `json:"to"`
	// Changes are all changes behind From up to To, with only those mutations that are in the subscriber's scope.
	Changes []Change `json:"changes,omitempty"`
	// Digest is that of the state at To, in the subscriber's scope, and of To itself.
	Digest Digest `json:"digest"`
	// Age is how long ago the source was last heard, in nanoseconds: 0 from the source itself.
	Age int64 `json:"age_ns"`
}

// PieceRequest asks for entries behind a key.
type PieceRequest struct {
	// After is the last key that is held, in the order of kind, scope and name; nil for the first piece.
	After *Key
	Scope Scope
	// MaxBytes bounds the piece; it is taken as at least MinPieceBytes and at most MaxPieceBytes.
	MaxBytes int
}

// Piece is a part of the state.
type Piece struct {
	// Version is the server's when the piece was read. Pieces of one resync may be of several versions: the changes
	// behind the oldest are applied over them.
	Version Version `json:"version"`
	// Entries are in the order of their keys, without a gap in the scope.
	Entries []Entry `json:"entries,omitempty"`
	// Last is set where no entry follows.
	Last bool `json:"last,omitempty"`
	// Age is as in Delta.
	Age int64 `json:"age_ns"`
}
