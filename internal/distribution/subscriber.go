package distribution

import "errors"

// Condition tells whether the version that a subscriber has applied is up to date.
type Condition string

// The conditions of a subscriber.
const (
	// Syncing means that no version has been applied yet, or that the complete state is being read because it had
	// diverged or its version was no longer in the log. The version applied before stays in force meanwhile.
	Syncing Condition = "syncing"
	// Current means that the subscriber has heard from the source, if only through its relay, less than
	// SubscriberOptions.UnconfirmedAfter ago.
	Current Condition = "current"
	// Unconfirmed means that the applied version may be outdated; see Status.Age.
	Unconfirmed Condition = "unconfirmed"
)

// SubscriberOptions configure a Subscriber.
type SubscriberOptions struct {
	// Name is the name of the limiter or relay, unique in the fleet.
	Name string
	// Scope selects the entries to receive; the zero value selects all.
	Scope Scope
	// Applier applies the updates.
	Applier Applier
	// UnconfirmedAfter is the Status.Age at which the condition becomes Unconfirmed, in nanoseconds; 0 for
	// DefaultUnconfirmedAfter.
	UnconfirmedAfter int64
	// PieceBytes is the maximum size of a requested piece; 0 for DefaultPieceBytes.
	PieceBytes int
	// RefusedRetry is the delay before a version that the Applier refused is tried again, in nanoseconds; 0 for
	// DefaultRefusedRetry. A newer version is tried at once.
	RefusedRetry int64
}

// Defaults of SubscriberOptions.
const (
	DefaultUnconfirmedAfter = 12 * second
	DefaultPieceBytes       = MinPieceBytes
	DefaultRefusedRetry     = 30 * second
)

// Subscriber holds the configuration state of one limiter or relay, and decides what it requests next. It is not safe
// for concurrent use.
type Subscriber struct {
	options         SubscriberOptions
	version         Version
	state           *State
	resync          *resync // nil if none is in progress
	hasConfirmation bool    // the source was heard, directly or through a relay, since startedAt
	confirmedAt     int64   // latest known time at which the source was heard, if hasConfirmation
	startedAt       int64   // when this subscriber was created
	restoredAge     int64   // age of the restored state at startedAt, in nanoseconds
	refused         *RefusedError
	refusedAt       int64
}

// NewSubscriber returns a subscriber that has no version yet.
func NewSubscriber(now int64, options SubscriberOptions) *Subscriber {
	if options.UnconfirmedAfter == 0 {
		options.UnconfirmedAfter = DefaultUnconfirmedAfter
	}
	if options.PieceBytes == 0 {
		options.PieceBytes = DefaultPieceBytes
	}
	if options.RefusedRetry == 0 {
		options.RefusedRetry = DefaultRefusedRetry
	}
	return &Subscriber{options: options, state: NewState(), startedAt: now}
}

// Restore applies a state that an earlier process stored. age is the age of the state in nanoseconds; it adds to
// Status.Age until the source is heard. Errors: *RefusedError, and *KeyError if an entry is outside the scope.
func (s *Subscriber) Restore(version Version, state *State, age int64) error {
	for key := range state.values {
		if !s.options.Scope.Contains(key) {
			return &KeyError{Key: key, Why: "is outside the subscriber's scope"}
		}
	}
	update := &Update{To: version, FullState: state}
	if err := s.options.Applier.Apply(update); err != nil {
		return &RefusedError{Version: version, Cause: err}
	}
	s.version, s.state, s.restoredAge = version, state, age
	return nil
}

// Version returns the applied version, or the zero value if there is none.
func (s *Subscriber) Version() Version { return s.version }

// State returns the applied state. The caller must not modify it.
func (s *Subscriber) State() *State { return s.state }

// Status is a subscriber's version and how up to date it is.
type Status struct {
	Condition Condition
	Version   Version
	// Age is the time since the source was last heard, in nanoseconds. If it was not heard since the subscriber was
	// created, Age is the time since then plus the age of the restored state.
	Age int64
	// Refused is the newest version that the Applier refused. It is nil if none was, or if a version was applied since.
	Refused *RefusedError
}

// Status returns the subscriber's status.
func (s *Subscriber) Status(now int64) Status {
	status := Status{Condition: Current, Version: s.version, Age: s.age(now), Refused: s.refused}
	switch {
	case s.version == Version{}, s.resync != nil && status.Age < s.options.UnconfirmedAfter:
		status.Condition = Syncing
	case status.Age >= s.options.UnconfirmedAfter:
		status.Condition = Unconfirmed
	}
	return status
}

func (s *Subscriber) age(now int64) int64 {
	if !s.hasConfirmation {
		return now - s.startedAt + s.restoredAge
	}
	return max(now-s.confirmedAt, 0)
}

// Request is what a subscriber requests next. Exactly one of Changes and Piece is not nil.
type Request struct {
	Changes *ChangesRequest
	Piece   *PieceRequest
	// Hold permits the server to hold a call for changes until it has newer ones.
	Hold bool
}

// Next returns what to request next.
func (s *Subscriber) Next(now int64) Request {
	switch {
	case s.resync != nil && s.resync.piecesComplete:
		return Request{
			Changes: &ChangesRequest{From: s.resync.reached, Scope: s.options.Scope},
			Hold:    s.refusedRecently(now, s.resync.reached),
		}
	case s.resync != nil:
		return Request{
			Piece: &PieceRequest{After: s.resync.lastKey, Scope: s.options.Scope, MaxBytes: s.options.PieceBytes},
		}
	case s.version == Version{}:
		return Request{Piece: &PieceRequest{Scope: s.options.Scope, MaxBytes: s.options.PieceBytes}}
	}
	request := &ChangesRequest{From: s.version, Scope: s.options.Scope}
	if s.refused != nil && s.refusedRecently(now, s.refused.Version) {
		request.RefusedVersion = s.refused.Version
	}
	return Request{Changes: request, Hold: true}
}

// refusedRecently reports whether a version was refused less than RefusedRetry ago, so that it is not tried again yet.
func (s *Subscriber) refusedRecently(now int64, version Version) bool {
	return s.refused != nil && s.refused.Version == version && now-s.refusedAt < s.options.RefusedRetry
}

// HandlePiece handles the answer to a call for a piece. After an error the resync starts over. Errors:
// *StaleAnswerError, *SkipError, *KeyError, *KindError, *TooLargeError.
func (s *Subscriber) HandlePiece(now int64, piece *Piece) error {
	if s.resync == nil {
		s.resync = newResync()
	}
	if piece.Version.Epoch < s.version.Epoch {
		s.resync = nil
		return &StaleAnswerError{Held: s.version, Given: piece.Version}
	}
	if err := s.resync.takePiece(piece, s.options.Scope); err != nil {
		s.resync = newResync()
		return err
	}
	return nil
}

// HandleChanges handles the answer to a call for changes. An error leaves the applied version unchanged. Errors:
// *StaleAnswerError, *SkipError, *DigestError, *KeyError, *KindError, *TooLargeError, *RefusedError.
func (s *Subscriber) HandleChanges(now int64, delta *Delta) error {
	from := s.version
	if s.resync != nil {
		from = s.resync.reached
	}
	if err := s.checkDelta(from, delta); err != nil {
		return err
	}
	if s.resync != nil {
		return s.finishResync(now, delta)
	}
	digest, bytes := s.state.preview(delta.Changes)
	digest = digest.at(delta.To)
	if digest != delta.Digest {
		s.resync = newResync()
		return &DigestError{Version: delta.To, Want: delta.Digest, Got: digest}
	}
	if bytes > MaxStateBytes {
		return &TooLargeError{What: "the state", Bytes: bytes, Max: MaxStateBytes}
	}
	s.confirm(now, delta.Age)
	if len(delta.Changes) > 0 {
		update := &Update{From: s.version, To: delta.To, Changes: delta.Changes}
		if err := s.options.Applier.Apply(update); err != nil {
			return s.recordRefusal(now, delta.To, err)
		}
		s.state.apply(delta.Changes)
		s.version = delta.To
		s.refused = nil
	}
	return nil
}

// checkDelta validates a delta: its changes must be valid and in scope, and their versions must follow from one by one,
// up to delta.To. Errors: *StaleAnswerError, *SkipError, *KeyError, *KindError, *TooLargeError.
func (s *Subscriber) checkDelta(from Version, delta *Delta) error {
	if delta.From != from || delta.To.Less(from) {
		if delta.To.Less(s.version) {
			return &StaleAnswerError{Held: s.version, Given: delta.To}
		}
		return &SkipError{Held: from, Given: delta.From}
	}
	reached := from
	for _, change := range delta.Changes {
		if !change.Version.follows(reached) {
			return &SkipError{Held: reached, Given: change.Version}
		}
		reached = change.Version
		if err := checkMutations(change.Mutations); err != nil {
			return err
		}
		for _, m := range change.Mutations {
			if !s.options.Scope.Contains(m.Key) {
				return &KeyError{Key: m.Key, Why: "is outside the subscriber's scope"}
			}
		}
	}
	if reached != delta.To {
		return &SkipError{Held: reached, Given: delta.To}
	}
	return nil
}

// finishResync applies changes to the pieces of a resync, and passes the state to the Applier once it is complete.
func (s *Subscriber) finishResync(now int64, delta *Delta) error {
	complete, err := s.resync.takeChanges(delta)
	if err != nil {
		s.resync = newResync()
		return err
	}
	if !complete {
		return nil
	}
	if delta.To.Less(s.version) {
		s.resync = nil
		return &StaleAnswerError{Held: s.version, Given: delta.To}
	}
	s.confirm(now, delta.Age)
	if s.refusedRecently(now, delta.To) {
		return nil
	}
	// If the Applier refuses the state, the resync is kept: later changes may correct the state.
	state := s.resync.state
	if err := s.options.Applier.Apply(&Update{From: s.version, To: delta.To, FullState: state}); err != nil {
		return s.recordRefusal(now, delta.To, err)
	}
	s.version, s.state, s.refused, s.resync = delta.To, state, nil, nil
	return nil
}

// recordRefusal records that the Applier refused a version, and returns the error to report.
func (s *Subscriber) recordRefusal(now int64, version Version, cause error) error {
	s.refused = &RefusedError{Version: version, Cause: cause}
	s.refusedAt = now
	return s.refused
}

// confirm records an answer whose server last heard from the source age nanoseconds ago.
func (s *Subscriber) confirm(now, age int64) {
	confirmed := now - max(age, 0)
	if !s.hasConfirmation || confirmed > s.confirmedAt {
		s.hasConfirmation, s.confirmedAt = true, confirmed
	}
}

// HandleError handles an error that a server returned. After *CompactedError the subscriber reads the complete state.
// Other errors change nothing.
func (s *Subscriber) HandleError(err error) {
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		s.resync = newResync()
	}
}

// Acknowledgement returns the message that the subscriber sends to its relay.
func (s *Subscriber) Acknowledgement(now int64) Acknowledgement {
	status := s.Status(now)
	a := Acknowledgement{Limiter: s.options.Name, Version: status.Version, Condition: status.Condition, Age: status.Age}
	if status.Refused != nil {
		a.Refused, a.Reason = &status.Refused.Version, truncate(status.Refused.Cause.Error(), MaxReasonBytes)
	}
	return a
}
