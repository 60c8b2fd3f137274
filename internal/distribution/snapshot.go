package distribution

// Snapshot is a whole state, to be kept on a disk.
type Snapshot struct {
	Version Version `json:"version"`
	// TakenAt is when the source was last known to have this version or an older one in force, by the caller's clock in
	// nanoseconds: the time of the snapshot less the state's age.
	TakenAt int64   `json:"taken"`
	Scope   string  `json:"scope"` // as Scope.String writes it
	Entries []Entry `json:"entries"`
}

// Snapshot is what the subscriber has in force; nil where it has no version.
func (s *Subscriber) Snapshot(now int64) *Snapshot {
	if (s.version == Version{}) {
		return nil
	}
	return &Snapshot{
		Version: s.version,
		TakenAt: now - s.age(now),
		Scope:   s.options.Scope.String(),
		Entries: s.state.Entries(),
	}
}
