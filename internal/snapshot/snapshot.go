// Package snapshot keeps the last good list of servers, with their latest starts, on a disk, for installations that give a limiter
// one. A restarted limiter then begins with what it knew, and not with what its configuration knew when it was written.
// cmd/ospreycroft reads and writes it; the limiter hands it over and takes it. It is a help and no more: whatever is wrong with the
// file, the start goes on without it.
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
	StartedAt int64   `json:"warm_from,omitempty"` // its latest start, in nanoseconds of Unix time, 0 for long ago
	Draining  bool    `json:"draining,omitempty"`
}

// Snapshot is what a limiter knew at a time.
type Snapshot struct {
	Installation string   `json:"installation"`
	Limiter      string   `json:"limiter"`
	TakenAt      int64    `json:"taken"`     // nanoseconds of Unix time
	Discovery    string   `json:"discovery"` // the address that counted Generation
	Generation   int64    `json:"generation"`
	Servers      []Server `json:"servers"`

	// Clock is that of the times: a later life's may have been stepped. Files of earlier versions do not tell.
	Clock machineclock.Origin `json:"clock,omitzero"`
}

// convertTimes has the times be by another clock.
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

// Place is where a limiter keeps its snapshot, and whose it is.
type Place struct {
	Dir          string
	Installation string
	Limiter      string
	MaxAge       int64 // one taken longer ago is refused, nanoseconds
	// Clock is that of the limiter's present life.
	Clock machineclock.Origin
}

// fileKind is the kind of the files of snapshots.
var fileKind = &atomicfile.Kind{
	Format:   atomicfile.Format{Name: "ospreycroft-snapshot", Version: 1},
	Name:     "snapshot",
	Replaced: "nothing: the next list replaces it",
	Older:    "an older list",
}

// Path is the file. Limiters of one machine may share a directory.
func (p *Place) Path() string { return filepath.Join(p.Dir, url.PathEscape(p.Limiter)+".snapshot") }

// Load reads the snapshot at now, nanoseconds of Unix time, and gives its times by the present life's clock; nil without an error
// where there is none. Errors: those of atomicfile.Kind, *OwnerError, *StaleError.
func (p *Place) Load(disk atomicfile.Files, now int64) (*Snapshot, error) {
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

// Save writes the snapshot whole or leaves the one that is there. Errors: *atomicfile.WriteError.
func (p *Place) Save(disk atomicfile.Files, s *Snapshot) error {
	s.Installation = p.Installation
	s.Limiter = p.Limiter
	s.Clock = p.Clock
	return fileKind.Save(disk, p.Path(), s)
}

// NewWriter starts a writer of snapshots to a place; see atomicfile.NewWriter.
func NewWriter(disk atomicfile.Files, place Place, report func(error)) *atomicfile.Writer[Snapshot] {
	return atomicfile.NewWriter(func(s *Snapshot) error { return place.Save(disk, s) }, report)
}
