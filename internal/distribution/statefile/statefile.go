// Package statefile keeps the state that a subscriber has in force on a disk, so that a restarted limiter serves with
// it at once, unconfirmed, until its relay answers. Whatever is wrong with the file, the start goes on without it.
//
// A file is one line of package atomicfile and then JSON.
package statefile

import (
	"encoding/json"
	"errors"
	"io/fs"
	"net/url"
	"path/filepath"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
)

// fileFormat is what the first line of a file says.
var fileFormat = atomicfile.Format{Name: "ospreycroft-distribution", Version: 1}

// Place is where a subscriber keeps its state, and whose it is. It is for one goroutine.
type Place struct {
	Dir          string
	Installation string
	Subscriber   string
	Scope        distribution.Scope
	MaxAge       int64 // a state that was confirmed longer ago is refused, in nanoseconds, above 0
	Files        atomicfile.Files
	written      distribution.Version // the newest version that was loaded or saved
}

// content is the JSON behind the header.
type content struct {
	Installation string                `json:"installation"`
	Subscriber   string                `json:"subscriber"`
	Digest       distribution.Digest   `json:"digest"`
	Snapshot     distribution.Snapshot `json:"snapshot"`
}

// Path is the file. Subscribers of one machine may share a directory.
func (p *Place) Path() string {
	return filepath.Join(p.Dir, url.PathEscape(p.Subscriber)+".distribution")
}

// Load reads the snapshot at now, in nanoseconds of the same clock as its Taken; nil without an error where there is
// none. Errors: *UnreadableError, *TruncatedError, *ChecksumError, *FormatError, *OwnerError, *StaleError.
func (p *Place) Load(now int64) (*distribution.Snapshot, error) {
	path := p.Path()
	text, err := p.Files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &UnreadableError{Path: path, Cause: err}
	}
	body, err := fileFormat.Unframe(text)
	if err != nil {
		return nil, unframeError(path, len(text), err)
	}
	c := &content{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, &ChecksumError{Path: path, Cause: err}
	}
	if c.Installation != p.Installation || c.Subscriber != p.Subscriber || c.Snapshot.Scope != p.Scope.String() {
		return nil, &OwnerError{
			Path:         path,
			Installation: c.Installation,
			Subscriber:   c.Subscriber,
			Scope:        c.Snapshot.Scope,
		}
	}
	if age := now - c.Snapshot.TakenAt; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{Path: path, Age: age, MaxAge: p.MaxAge}
	}
	state, err := distribution.NewStateOf(c.Snapshot.Entries)
	if err != nil {
		return nil, &ChecksumError{Path: path, Cause: err}
	}
	if got := state.Digest(distribution.Scope{}); got != c.Digest {
		return nil, &ChecksumError{
			Path:  path,
			Cause: &distribution.DigestError{Version: c.Snapshot.Version, Want: c.Digest, Got: got},
		}
	}
	p.written = c.Snapshot.Version
	return &c.Snapshot, nil
}

// unframeError says of which file, of so many bytes, an error of atomicfile is.
func unframeError(path string, size int, err error) error {
	var version *atomicfile.VersionError
	switch {
	case errors.Is(err, atomicfile.ErrTruncated):
		return &TruncatedError{Path: path, Bytes: size}
	case errors.As(err, &version):
		return &FormatError{Path: path, Version: version.Version}
	}
	return &ChecksumError{Path: path, Cause: err}
}

// Save writes a snapshot whole or leaves the one that is there. One that is older than what this place has loaded or
// saved is refused. Errors: *OlderError, *UnwrittenError.
func (p *Place) Save(s *distribution.Snapshot) error {
	path := p.Path()
	if s.Version.Less(p.written) {
		return &OlderError{Path: path, Held: p.written, Given: s.Version}
	}
	state, err := distribution.NewStateOf(s.Entries)
	if err != nil {
		return &WriteError{Path: path, Cause: err}
	}
	body, err := json.Marshal(content{Installation: p.Installation, Subscriber: p.Subscriber,
		Digest: state.Digest(distribution.Scope{}), Snapshot: *s})
	if err != nil {
		return &WriteError{Path: path, Cause: err}
	}
	if err := atomicfile.Write(p.Files, path, fileFormat.Frame(body)); err != nil {
		return &WriteError{Path: path, Cause: err}
	}
	p.written = s.Version
	return nil
}

// NewWriter starts a writer of snapshots to a place, which is the writer's from then on; see atomicfile.NewWriter.
func NewWriter(place *Place, report func(error)) *atomicfile.Writer[distribution.Snapshot] {
	return atomicfile.NewWriter(place.Save, report)
}
