package distribution

// Source is the server at which changes are published. It serves relays, and can serve limiters in the same way as a
// relay. It is not safe for concurrent use.
type Source struct {
	logServer
	writer       Writer
	highestEpoch uint64 // highest epoch opened here or seen in a request
	acks         ackTable
	summaries    summaries
}

// NewSource returns a source that writes to a log and serves from it.
func NewSource(log *Log, budget Budget) *Source {
	return &Source{logServer: newLogServer(log, budget), writer: log, acks: newAckTable(), summaries: summaries{}}
}

// State returns the state at the head. The caller must not modify it.
func (s *Source) State() *State { return s.log.State() }

// Snapshot returns the state at the head. NewLogAt continues from its version and entries.
func (s *Source) Snapshot(now int64) *Snapshot {
	return &Snapshot{Version: s.Head(), TakenAt: now, Entries: s.State().Entries()}
}

// Open begins an epoch, which must be higher than any that the source has opened or has seen in a request. Errors:
// *FencedError, *EpochStepError.
func (s *Source) Open(now int64, epoch uint64) (Change, error) {
	if epoch <= s.highestEpoch {
		return Change{}, &FencedError{Open: s.highestEpoch, Given: epoch}
	}
	change, err := s.writer.Open(now, epoch)
	if err == nil {
		s.highestEpoch = epoch
	}
	return change, err
}

// Publish appends a change. Errors: those of Writer.Append, and *FencedError if a request had a version of a higher
// epoch.
func (s *Source) Publish(now int64, epoch uint64, expected *Version, mutations []Mutation) (Change, error) {
	if epoch < s.highestEpoch {
		return Change{}, &FencedError{Open: s.highestEpoch, Given: epoch}
	}
	return s.writer.Append(now, epoch, expected, mutations)
}

// Changes implements Server. If the request has a version of a higher epoch, another writer has taken over, so the
// writer of this source is fenced. A step above MaxEpochStep is taken for a mistake and ignored.
func (s *Source) Changes(_ int64, request ChangesRequest) (*Delta, error) {
	if requestEpoch := request.From.Epoch; requestEpoch > s.highestEpoch && requestEpoch-s.highestEpoch <= MaxEpochStep {
		s.highestEpoch = requestEpoch
	}
	return s.changes(0, request)
}

// Piece implements Server.
func (s *Source) Piece(now int64, request PieceRequest) (*Piece, error) {
	return s.piece(now, 0, request)
}

// Acknowledge implements Server, for limiters that poll the source directly.
func (s *Source) Acknowledge(now int64, a Acknowledgement) error { return s.acks.record(now, a) }

// Summarize records the summary of a relay. Errors: *KeyError, *TooLargeError.
func (s *Source) Summarize(now int64, summary Summary) error { return s.summaries.record(now, summary) }

// Overview returns which versions the limiters have applied. Limiters that poll the source directly are listed under a
// relay with an empty name.
func (s *Source) Overview(now int64) Overview {
	overview := s.summaries.overview(now)
	if direct := s.acks.summarize(now, ""); direct.Limiters() > 0 {
		overview.Relays = append([]Summary{direct}, overview.Relays...)
	}
	return overview
}
