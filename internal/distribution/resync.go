package distribution

// resync collects the whole state in pieces. Each piece is of the server's version when it was read; the changes
// behind the oldest of these versions are then applied over the entries, up to the newest at least. As each change
// says the whole value of its keys, the outcome is the state at the version reached, which its digest confirms.
type resync struct {
	state          *State
	lastKey        *Key // the last key held, nil before the first piece
	piecesComplete bool // the last piece is there
	oldest         Version
	newest         Version
	reached        Version // reached by changes, from oldest on
}

func newResync() *resync { return &resync{state: NewState()} }

// takePiece adds a piece. After an error the resync is void. Errors: *SkipError, *KeyError, *KindError, *TooLargeError.
func (r *resync) takePiece(piece *Piece, scope Scope) error {
	switch {
	case r.lastKey == nil:
		r.oldest = piece.Version
		r.newest = piece.Version
	case piece.Version.Epoch != r.newest.Epoch: // another writer, whose changes may not follow these entries
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

// takeChanges applies changes that were checked, and tells whether the state is complete.
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
