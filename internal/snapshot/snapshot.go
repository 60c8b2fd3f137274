// Package snapshot stores a limiter's last valid endpoint list on disk, with the time of each server's latest start,
// for installations that configure a path. A restarted limiter then begins with that list instead of the one in its
// configuration, which may be old. cmd/ospreycroft reads and writes the file; the limiter receives and produces its
// contents. The file is optional: if it cannot be used for any reason, the limiter starts without it.
package snapshot

import (
	"errors"
	"io/fs"
	"net/url"
	"path/filepath"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/machineclock"
)

// Server is one server as the limiter last knew it.
type Server struct {
	ID        string  `json:"id"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone,omitempty"`
	Cell      int64   `json:"cell,omitempty"`
	Weight    float64 `json:"weight,omitempty"`
	StartedAt int64   `json:"warm_from,omitempty"` // latest start, Unix time in nanoseconds; 0 for long ago
	Draining  bool    `json:"draining,omitempty"`
}

// Snapshot is a limiter's endpoint list at a point in time.
type Snapshot struct {
	Installation string   `json:"installation"`
	Limiter      string   `json:"limiter"`
	TakenAt      int64    `json:"taken"`     // Unix time in nanoseconds
	Discovery    string   `json:"discovery"` // address of the discovery service that Generation is from
	Generation   int64    `json:"generation"`
	Servers      []Server `json:"servers"`

	// Clock is the clock of the times above; the wall clock may be stepped before a later process reads them. It is
	// the zero value in files of earlier versions.
	Clock machineclock.Origin `json:"clock,omitzero"`
}

// convertTimes converts all times to another clock.
func (s *Snapshot) convertTimes(to machineclock.Origin) {
	shift := to.ShiftFrom(s.Clock)
	s.Clock = to
	s.TakenAt += shift
	for i := range s.Servers {
		if s.Servers[i].StartedAt != 0 {
			s.Servers[i].StartedAt += shift
		}
	}
}

// Store is the directory of a limiter's snapshot and the identity of its owner.
type Store struct {
	Dir          string
	Installation string
	Limiter      string
	MaxAge       int64 // an older snapshot is rejected, nanoseconds
	// Clock is the clock of the current process.
	Clock machineclock.Origin
}

// fileKind describes snapshot files.
var fileKind = &atomicfile.Kind{
	Format:       atomicfile.Format{Name: "ospreycroft-snapshot", Version: 1},
	Name:         "snapshot",
	RecoveryHint: "nothing: the next list replaces it",
	Fallback:     "an older list",
}

// Path returns the path of the snapshot file. Limiters on one machine may share a directory.
func (p *Store) Path() string { return filepath.Join(p.Dir, url.PathEscape(p.Limiter)+".snapshot") }

// Load reads the snapshot and converts its times to the clock of the current process, which shows now, a Unix time in
// nanoseconds. It returns nil and no error if there is no file. Errors: those of atomicfile.Kind, *OwnerError,
// *StaleError.
func (p *Store) Load(disk atomicfile.FileSystem, now int64) (*Snapshot, error) {
	path := p.Path()
	loaded := &Snapshot{}
	err := fileKind.Load(disk, path, loaded)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if loaded.Installation != p.Installation || loaded.Limiter != p.Limiter {
		return nil, &OwnerError{path, loaded.Installation, loaded.Limiter}
	}
	loaded.convertTimes(p.Clock)
	if age := now - loaded.TakenAt; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{path, age, p.MaxAge}
	}
	return loaded, nil
}

// Save sets the owner and the clock of s and replaces the snapshot file atomically. Errors: *atomicfile.WriteError.
func (p *Store) Save(disk atomicfile.FileSystem, s *Snapshot) error {
	s.Installation = p.Installation
	s.Limiter = p.Limiter
	s.Clock = p.Clock
	return fileKind.Save(disk, p.Path(), s)
}

// NewWriter starts a goroutine that writes snapshots to place; see atomicfile.NewWriter.
func NewWriter(disk atomicfile.FileSystem, place Store, report func(error)) *atomicfile.Writer[Snapshot] {
	return atomicfile.NewWriter(func(s *Snapshot) error { return place.Save(disk, s) }, report)
}
