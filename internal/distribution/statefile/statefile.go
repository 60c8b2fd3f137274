// Package statefile keeps the state that a subscriber has in force on a disk, so that a restarted limiter serves with
// it at once, unconfirmed, until its relay answers. Whatever is wrong with the file, the start goes on without it.
//
// A file is one line of package atomicfile and then JSON.
package statefile

import (
	"errors"
	"io/fs"
	"net/url"
	"path/filepath"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
	"ospreycroft/internal/machineclock"
)

// files are the files of states.
var files = &atomicfile.Kind{
	Format:   atomicfile.Format{Name: "ospreycroft-distribution", Version: 1},
	Name:     "the state file",
	Replaced: replaced,
	Older:    "an older state",
}

// Place is where a subscriber keeps its state, and whose it is. It is for one goroutine.
type Place struct {
	Dir          string
	Installation string
	Subscriber   string
	Scope        distribution.Scope
	MaxAge       int64 // a state that was confirmed longer ago is refused, in nanoseconds, above 0
	Files        atomicfile.Files
	Clock        machineclock.Origin  // of the subscriber's present life; it may have been stepped since the life before
	written      distribution.Version // the newest version that was loaded or saved
}

// content is the JSON behind the header.
type content struct {
	Installation string                `json:"installation"`
	Subscriber   string                `json:"subscriber"`
	Digest       distribution.Digest   `json:"digest"`
	Snapshot     distribution.Snapshot `json:"snapshot"`
	// Clock is that of the snapshot's time. Files of earlier versions do not tell.
	Clock machineclock.Origin `json:"clock,omitzero"`
}

// Path is the file. Subscribers of one machine may share a directory.
func (p *Place) Path() string {
	return filepath.Join(p.Dir, url.PathEscape(p.Subscriber)+".distribution")
}

// Load reads the snapshot at now, by the present life's clock as is then the snapshot's time; nil without an error where there is
// none. Errors: those of atomicfile.Kind, *OwnerError, *StaleError.
func (p *Place) Load(now int64) (*distribution.Snapshot, error) {
	path := p.Path()
	c := &content{}
	err := files.Load(p.Files, path, c)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if c.Installation != p.Installation || c.Subscriber != p.Subscriber || c.Snapshot.Scope != p.Scope.String() {
		return nil, &OwnerError{
			Path:         path,
			Installation: c.Installation,
			Subscriber:   c.Subscriber,
			Scope:        c.Snapshot.Scope,
		}
	}
	c.Snapshot.TakenAt += p.Clock.ShiftFrom(c.Clock)
	if age := now - c.Snapshot.TakenAt; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{Path: path, Age: age, MaxAge: p.MaxAge}
	}
	state, err := distribution.NewStateOf(c.Snapshot.Entries)
	if err != nil {
		return nil, &atomicfile.ChecksumError{Kind: files, Path: path, Cause: err}
	}
	if got := state.Digest(distribution.Scope{}); got != c.Digest {
		return nil, &atomicfile.ChecksumError{
			Kind:  files,
			Path:  path,
			Cause: &distribution.DigestError{Version: c.Snapshot.Version, Want: c.Digest, Got: got},
		}
	}
	p.written = c.Snapshot.Version
	return &c.Snapshot, nil
}

// Save writes a snapshot whole or leaves the one that is there. One that is older than what this place has loaded or
// saved is refused. Errors: *OlderError, *atomicfile.WriteError.
func (p *Place) Save(s *distribution.Snapshot) error {
	path := p.Path()
	if s.Version.Less(p.written) {
		return &OlderError{Path: path, Held: p.written, Given: s.Version}
	}
	state, err := distribution.NewStateOf(s.Entries)
	if err != nil {
		return &atomicfile.WriteError{Kind: files, Path: path, Cause: err}
	}
	held := content{Installation: p.Installation, Subscriber: p.Subscriber, Digest: state.Digest(distribution.Scope{}),
		Snapshot: *s, Clock: p.Clock}
	if err := files.Save(p.Files, path, held); err != nil {
		return err
	}
	p.written = s.Version
	return nil
}

// NewWriter starts a writer of snapshots to a place, which is the writer's from then on; see atomicfile.NewWriter.
func NewWriter(place *Place, report func(error)) *atomicfile.Writer[distribution.Snapshot] {
	return atomicfile.NewWriter(place.Save, report)
}
