// Package snapshot keeps the last good list of servers, with their latest starts, on a disk, for installations that give a limiter
// one. A restarted limiter then begins with what it knew, and not with what its configuration knew when it was written.
// cmd/ospreycroft reads and writes it; the limiter hands it over and takes it. It is a help and no more: whatever is wrong with the
// file, the start goes on without it.
package snapshot

import (
	"encoding/json"
	"errors"
	"io/fs"
	"net/url"
	"path/filepath"

	"ospreycroft/internal/atomicfile"
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
}

// Place is where a limiter keeps its snapshot, and whose it is.
type Place struct {
	Dir          string
	Installation string
	Limiter      string
	MaxAge       int64 // one taken longer ago is refused, nanoseconds
}

// fileFormat is what the first line of a file says.
var fileFormat = atomicfile.Format{Name: "ospreycroft-snapshot", Version: 1}

// Path is the file. Limiters of one machine may share a directory.
func (p *Place) Path() string { return filepath.Join(p.Dir, url.PathEscape(p.Limiter)+".snapshot") }

// Load reads the snapshot at now, nanoseconds of Unix time; nil without an error where there is none. Errors: *UnreadableError,
// *TruncatedError, *ChecksumError, *FormatError, *OwnerError, *StaleError.
func (p *Place) Load(files atomicfile.Files, now int64) (*Snapshot, error) {
	path := p.Path()
	text, err := files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &UnreadableError{path, err}
	}
	body, err := fileFormat.Unframe(text)
	if err != nil {
		return nil, unframeError(path, len(text), err)
	}
	loaded := &Snapshot{}
	if err := json.Unmarshal(body, loaded); err != nil {
		return nil, &ChecksumError{path, err}
	}
	if loaded.Installation != p.Installation || loaded.Limiter != p.Limiter {
		return nil, &OwnerError{path, loaded.Installation, loaded.Limiter}
	}
	if age := now - loaded.TakenAt; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{path, age, p.MaxAge}
	}
	return loaded, nil
}

// unframeError says of which file, of so many bytes, an error of atomicfile is.
func unframeError(path string, size int, err error) error {
	var version *atomicfile.VersionError
	switch {
	case errors.Is(err, atomicfile.ErrTruncated):
		return &TruncatedError{path, size}
	case errors.As(err, &version):
		return &FormatError{path, version.Version}
	}
	return &ChecksumError{path, err}
}

// Save writes the snapshot whole or leaves the one that is there. Errors: *WriteError.
func (p *Place) Save(files atomicfile.Files, s *Snapshot) error {
	s.Installation = p.Installation
	s.Limiter = p.Limiter
	path := p.Path()
	body, err := json.Marshal(s)
	if err == nil {
		err = atomicfile.Write(files, path, fileFormat.Frame(body))
	}
	if err != nil {
		return &WriteError{path, err}
	}
	return nil
}

// NewWriter starts a writer of snapshots to a place; see atomicfile.NewWriter.
func NewWriter(files atomicfile.Files, place Place, report func(error)) *atomicfile.Writer[Snapshot] {
	return atomicfile.NewWriter(func(s *Snapshot) error { return place.Save(files, s) }, report)
}
