package distribution

// resync collects the complete state in pieces. A piece shows the state at the server's version at the time of reading,
// so pieces may be of different versions. Once all pieces are there, the changes after the oldest of these versions are
// applied, up to the newest one or further. Each change contains the complete values of its keys, so applying a change
// that a piece already contains does no harm, and the result is the state at the version reached. Its digest confirms
// this.
type resync struct {
	state          *State
	lastKey        *Key    // last key received, nil before the first piece
	piecesComplete bool    // the last piece has been received
	oldest         Version // oldest version of a piece
	newest         Version // newest version of a piece
	reached        Version // version reached by applying the changes after oldest
}

func newResync() *resync { return &resync{state: NewState()} }

// takePiece adds a piece. After an error the resync must not be used any more. Errors: *SkipError, *KeyError,
// *KindError, *TooLargeError.
func (r *resync) takePiece(piece *Piece, scope Scope) error {
	switch {
	case r.lastKey == nil:
		r.oldest = piece.Version
		r.newest = piece.Version
	case piece.Version.Epoch != r.newest.Epoch: // the changes of another writer need not follow from these entries
		return &SkipError{Held: r.newest, Given: piece.Version}
	case piece.Version.Less(r.oldest):
		r.oldest = piece.Version
	case r.newest.Less(piece.Version):
		r.newest = piece.Version
	}
	if len(piece.Entries) == 0 && !piece.Last {
		return &SkipError{Held: r.newest, Given: piece.Version}
	}
	for _, e := range piece.Entries {
		if err := e.check(); err != nil {
			return err
		}
		if !scope.Contains(e.Key) {
			return &KeyError{Key: e.Key, Why: "is outside the subscriber's scope"}
		}
		if r.lastKey != nil && e.compare(*r.lastKey) <= 0 {
			return &KeyError{Key: e.Key, Why: "stands out of order in a piece of the state"}
		}
		key := e.Key
		r.lastKey = &key
		r.state.put(e)
	}
	if r.state.bytes > MaxStateBytes {
		return &TooLargeError{What: "the state", Bytes: r.state.bytes, Max: MaxStateBytes}
	}
	r.piecesComplete = piece.Last
	r.reached = r.oldest
	return nil
}

// takeChanges applies changes that checkDelta has accepted, and reports whether the state is complete. Errors:
// *DigestError, *TooLargeError.
func (r *resync) takeChanges(delta *Delta) (complete bool, err error) {
	r.state.apply(delta.Changes)
	r.reached = delta.To
	if r.reached.Less(r.newest) {
		return false, nil
	}
	if got := r.state.Digest(Scope{}).at(delta.To); got != delta.Digest {
		return false, &DigestError{Version: delta.To, Want: delta.Digest, Got: got}
	}
	if r.state.bytes > MaxStateBytes {
		return false, &TooLargeError{What: "the state", Bytes: r.state.bytes, Max: MaxStateBytes}
	}
	return true, nil
}
