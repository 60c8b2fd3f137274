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

// fileKind are the fileKind of states.
var fileKind = &atomicfile.Kind{
	Format:   atomicfile.Format{Name: "ospreycroft-distribution", Version: 1},
	Name:     "the state file",
	Replaced: recoveryHint,
	Older:    "an older state",
}

// Place is where a subscriber keeps its state, and whose it is. It is for one goroutine.
type Place struct {
	Dir           string
	Installation  string
	Subscriber    string
	Scope         distribution.Scope
	MaxAge        int64 // a state that was confirmed longer ago is refused, in nanoseconds, above 0
	Files         atomicfile.Files
	Clock         machineclock.Origin  // of the subscriber's present life; it may have been stepped since the life before
	newestVersion distribution.Version // the newest version that was loaded or saved
}

// fileContent is the JSON behind the header.
type fileContent struct {
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
	content := &fileContent{}
	err := fileKind.Load(p.Files, path, content)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if content.Installation != p.Installation || content.Subscriber != p.Subscriber || content.Snapshot.Scope != p.Scope.String() {
		return nil, &OwnerError{
			Path:         path,
			Installation: content.Installation,
			Subscriber:   content.Subscriber,
			Scope:        content.Snapshot.Scope,
		}
	}
	content.Snapshot.TakenAt += p.Clock.ShiftFrom(content.Clock)
	if age := now - content.Snapshot.TakenAt; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{Path: path, Age: age, MaxAge: p.MaxAge}
	}
	state, err := distribution.NewStateOf(content.Snapshot.Entries)
	if err != nil {
		return nil, &atomicfile.ChecksumError{Kind: fileKind, Path: path, Cause: err}
	}
	if got := state.Digest(distribution.Scope{}); got != content.Digest {
		return nil, &atomicfile.ChecksumError{
			Kind:  fileKind,
			Path:  path,
			Cause: &distribution.DigestError{Version: content.Snapshot.Version, Want: content.Digest, Got: got},
		}
	}
	p.newestVersion = content.Snapshot.Version
	return &content.Snapshot, nil
}

// Save writes a snapshot whole or leaves the one that is there. One that is older than what this place has loaded or
// saved is refused. Errors: *OlderError, *atomicfile.WriteError.
func (p *Place) Save(snapshot *distribution.Snapshot) error {
	path := p.Path()
	if snapshot.Version.Less(p.newestVersion) {
		return &OlderError{Path: path, Stored: p.newestVersion, Given: snapshot.Version}
	}
	state, err := distribution.NewStateOf(snapshot.Entries)
	if err != nil {
		return &atomicfile.WriteError{Kind: fileKind, Path: path, Cause: err}
	}
	content := fileContent{Installation: p.Installation, Subscriber: p.Subscriber, Digest: state.Digest(distribution.Scope{}),
		Snapshot: *snapshot, Clock: p.Clock}
	if err := fileKind.Save(p.Files, path, content); err != nil {
		return err
	}
	p.newestVersion = snapshot.Version
	return nil
}

// NewWriter starts a writer of snapshots to a place, which is the writer's from then on; see atomicfile.NewWriter.
func NewWriter(place *Place, report func(error)) *atomicfile.Writer[distribution.Snapshot] {
	return atomicfile.NewWriter(place.Save, report)
}
