package distribution

import "errors"

// Condition is how a subscriber stands.
type Condition string

// The conditions of a subscriber.
const (
	// Syncing: no version is in force yet, or the state has diverged or lost its place in the log and is read anew.
	// What was in force stays so meanwhile.
	Syncing Condition = "syncing"
	// Current: the source was heard, through the relay, no longer ago than SubscriberOptions.UnconfirmedAfter.
	Current Condition = "current"
	// Unconfirmed: the version in force may be old; Status.Age tells how old.
	Unconfirmed Condition = "unconfirmed"
)

// SubscriberOptions are what a subscriber is made of.
type SubscriberOptions struct {
	// Name is the limiter's or the relay's, unique in the fleet.
	Name string
	// Scope is what it serves; the zero value is everything.
	Scope Scope
	// Applier puts versions in force.
	Applier Applier
	// UnconfirmedAfter is the age from which on the version in force counts as unconfirmed, in nanoseconds; 0 for
	// DefaultUnconfirmedAfter.
	UnconfirmedAfter int64
	// PieceBytes is how large a piece is asked for; 0 for DefaultPieceBytes.
	PieceBytes int
	// RefusedRetry is after how long a version that the applier refused is tried again, in nanoseconds; 0 for
	// DefaultRefusedRetry. A newer version is tried at once.
	RefusedRetry int64
}

// Defaults of SubscriberOptions.
const (
	DefaultUnconfirmedAfter = 12 * second
	DefaultPieceBytes       = MinPieceBytes
	DefaultRefusedRetry     = 30 * second
)

// Subscriber is the state of one limiter or relay, and decides what it asks for next. It is not safe for concurrent
// use.
type Subscriber struct {
	options         SubscriberOptions
	version         Version
	state           *State
	resync          *resync // nil where none is under way
	hasConfirmation bool    // the source was heard in this life,
	confirmedAt     int64   // and no longer ago than then
	startedAt       int64   // when this life began,
	restoredAge     int64   // with a state of that age, in nanoseconds
	refused         *RefusedError
	refusedAt       int64
}

// NewSubscriber makes a subscriber that has no version.
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

// Restore begins with a state that an earlier life left, of an age in nanoseconds. It is put in force unconfirmed.
// Errors: *RefusedError, *KeyError where it is of another scope.
func (s *Subscriber) Restore(version Version, state *State, age int64) error {
	for key := range state.values {
		if !s.options.Scope.Contains(key) {
			return &KeyError{Key: key, Why: "is outside the subscriber's scope"}
		}
	}
	update := &Update{To: version, Whole: state}
	if err := s.options.Applier.Apply(update); err != nil {
		return &RefusedError{Version: version, Cause: err}
	}
	s.version, s.state, s.restoredAge = version, state, age
	return nil
}

// Version is the one in force, zero where there is none.
func (s *Subscriber) Version() Version { return s.version }

// State is the state in force, to read only.
func (s *Subscriber) State() *State { return s.state }

// Status is how a subscriber stands.
type Status struct {
	Condition Condition
	Version   Version
	// Age is how long ago the source was last heard, in nanoseconds. It counts from the subscriber's start where the
	// source was never heard, plus the age of the state that it started with.
	Age int64
	// Refused is the newest version that the applier did not put in force, nil once a newer one is.
	Refused *RefusedError
}

// Status tells how the subscriber stands.
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

// Request is what a subscriber asks for next: one of the two.
type Request struct {
	Changes *ChangesRequest
	Piece   *PieceRequest
	// Hold tells that a call for changes may be held until there is something newer.
	Hold bool
}

// Next tells what to ask for.
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
		request.Seen = s.refused.Version
	}
	return Request{Changes: request, Hold: true}
}

// refusedRecently tells whether a version was refused and is not to be tried again yet.
func (s *Subscriber) refusedRecently(now int64, version Version) bool {
	return s.refused != nil && s.refused.Version == version && now-s.refusedAt < s.options.RefusedRetry
}

// TakePiece takes the answer to a call for a piece. After an error the resync begins anew. Errors: *StaleAnswerError,
// *SkipError, *KeyError, *KindError, *TooLargeError.
func (s *Subscriber) TakePiece(now int64, piece *Piece) error {
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

// TakeChanges takes the answer to a call for changes. An error leaves what is in force as it was. Errors:
// *StaleAnswerError, *SkipError, *DigestError, *KeyError, *KindError, *TooLargeError, *RefusedError.
func (s *Subscriber) TakeChanges(now int64, delta *Delta) error {
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

// checkDelta refuses a delta that does not lead on from a version, or holds what cannot be.
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

// finishResync takes changes behind the pieces of a resync and puts the state in force once it is complete.
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
	// A state that is refused is kept: the changes behind it may mend it.
	state := s.resync.state
	if err := s.options.Applier.Apply(&Update{From: s.version, To: delta.To, Whole: state}); err != nil {
		return s.recordRefusal(now, delta.To, err)
	}
	s.version, s.state, s.refused, s.resync = delta.To, state, nil, nil
	return nil
}

// recordRefusal notes that the applier did not put a version in force.
func (s *Subscriber) recordRefusal(now int64, version Version, cause error) error {
	s.refused = &RefusedError{Version: version, Cause: cause}
	s.refusedAt = now
	return s.refused
}

// confirm notes that the source was heard an age ago.
func (s *Subscriber) confirm(now, age int64) {
	confirmed := now - max(age, 0)
	if !s.hasConfirmation || confirmed > s.confirmedAt {
		s.hasConfirmation, s.confirmedAt = true, confirmed
	}
}

// TakeError takes what a server answered in place of changes or a piece. A version that is not in its log makes the
// subscriber read the whole state.
func (s *Subscriber) TakeError(err error) {
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		s.resync = newResync()
	}
}

// Acknowledgement is what the subscriber tells its relay.
func (s *Subscriber) Acknowledgement(now int64) Acknowledgement {
	status := s.Status(now)
	a := Acknowledgement{Limiter: s.options.Name, Version: status.Version, Condition: status.Condition, Age: status.Age}
	if status.Refused != nil {
		a.Refused, a.Reason = &status.Refused.Version, truncate(status.Refused.Cause.Error(), MaxReasonBytes)
	}
	return a
}
