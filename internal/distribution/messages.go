package distribution

// Size limits of responses, in bytes as counted by Entry.size and Change.size.
const (
	// MaxDeltaBytes is the maximum size of the changes in a Delta. The first change is sent even if it is larger.
	MaxDeltaBytes = 256 << 10
	// MinPieceBytes is the smallest size limit of a piece. Every valid entry fits in it.
	MinPieceBytes = maxEntryBytes
	// MaxPieceBytes is the largest piece that a server sends.
	MaxPieceBytes = 256 << 10
)

// ChangesRequest requests the changes that follow a version.
type ChangesRequest struct {
	From Version
	// RefusedVersion is a version that the subscriber's Applier has refused; the server treats everything up to it as
	// known. The zero value means that none was refused.
	RefusedVersion Version
	Scope          Scope
}

// Delta is the response to a ChangesRequest: the changes from one version to another.
type Delta struct {
	From Version `json:"from"`
	To   Version `json:"to"`
	// Changes are all changes after From up to and including To. Mutations outside the requested scope are left out.
	Changes []Change `json:"changes,omitempty"`
	// Digest covers the entries of the state at To that are in the requested scope, and To itself.
	Digest Digest `json:"digest"`
	// Age is the time since the server last heard from the source, in nanoseconds. It is 0 if the source answers.
	Age int64 `json:"age_ns"`
}

// PieceRequest requests the entries that follow a key.
type PieceRequest struct {
	// After is the last key already received, in the order of kind, scope and name. Nil requests the first piece.
	After *Key
	Scope Scope
	// MaxBytes is the maximum size of the piece. The server clamps it to [MinPieceBytes, MaxPieceBytes].
	MaxBytes int
}

// Piece is the response to a PieceRequest: a part of the state.
type Piece struct {
	// Version is the server's version when it read the piece. The pieces of one resync may have different versions;
	// the subscriber then applies the changes that follow the oldest one.
	Version Version `json:"version"`
	// Entries are sorted by key. No entry of the scope between two of them is left out.
	Entries []Entry `json:"entries,omitempty"`
	// Last is set if no entry follows.
	Last bool `json:"last,omitempty"`
	// Age has the same meaning as Delta.Age.
	Age int64 `json:"age_ns"`
}
