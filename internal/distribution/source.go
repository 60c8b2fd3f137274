package distribution

// Source is the place where changes are published. It serves relays, and limiters as a relay would. It is not safe for
// concurrent use.
type Source struct {
	logServer
	writer       Writer
	highestEpoch uint64 // the highest epoch that was heard of
	acks         ackTable
	summaries    summaries
}

// NewSource makes a source over a log.
func NewSource(log *Log, budget Budget) *Source {
	return &Source{logServer: newLogServer(log, budget), writer: log, acks: newAckTable(), summaries: summaries{}}
}

// State is the state at the head, to read only.
func (s *Source) State() *State { return s.log.State() }

// Snapshot is the state at the head, from which NewLogAt goes on.
func (s *Source) Snapshot(now int64) *Snapshot {
	return &Snapshot{Version: s.Head(), TakenAt: now, Entries: s.State().Entries()}
}

// Open begins an epoch, which has to be higher than any heard of. Errors: *FencedError, *EpochStepError.
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

// Publish appends a change. Errors: as of Writer.Append, and *FencedError where a subscriber has told of a higher
// epoch.
func (s *Source) Publish(now int64, epoch uint64, expected *Version, mutations []Mutation) (Change, error) {
	if epoch < s.highestEpoch {
		return Change{}, &FencedError{Open: s.highestEpoch, Given: epoch}
	}
	return s.writer.Append(now, epoch, expected, mutations)
}

// Changes is a method of Server. A caller that has a version of a higher epoch fences this source's writer.
func (s *Source) Changes(_ int64, request ChangesRequest) (*Delta, error) {
	if heard := request.From.Epoch; heard > s.highestEpoch && heard-s.highestEpoch <= MaxEpochStep {
		s.highestEpoch = heard
	}
	return s.changes(0, request)
}

// Piece is a method of Server.
func (s *Source) Piece(now int64, request PieceRequest) (*Piece, error) {
	return s.piece(now, 0, request)
}

// Acknowledge is a method of Server, for limiters that ask the source itself.
func (s *Source) Acknowledge(now int64, a Acknowledgement) error { return s.acks.record(now, a) }

// Summarize notes a relay's summary. Errors: *KeyError, *TooLargeError.
func (s *Source) Summarize(now int64, summary Summary) error { return s.summaries.record(now, summary) }

// Overview is what is in force where. Limiters that ask the source itself are those of a relay without a name.
func (s *Source) Overview(now int64) Overview {
	overview := s.summaries.overview(now)
	if direct := s.acks.summarize(now, ""); direct.Limiters() > 0 {
		overview.Relays = append([]Summary{direct}, overview.Relays...)
	}
	return overview
}
