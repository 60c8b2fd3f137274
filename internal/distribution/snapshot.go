package distribution

// Snapshot is a complete state to be stored on disk.
type Snapshot struct {
	Version Version `json:"version"`
	// TakenAt is the last time at which the state was confirmed by the source, in nanoseconds by the caller's clock:
	// the time of the snapshot minus the age of the state.
	TakenAt int64   `json:"taken"`
	Scope   string  `json:"scope"` // as returned by Scope.String
	Entries []Entry `json:"entries"`
}

// Snapshot returns the state that the subscriber has applied, or nil if it has no version.
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
