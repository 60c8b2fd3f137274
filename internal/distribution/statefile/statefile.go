// Package statefile stores the state that a subscriber has in force on disk. After a restart a limiter serves with the
// stored state at once, as unconfirmed, until its relay responds. If the file cannot be used, the limiter starts
// without it.
//
// A file consists of a header line, written by package atomicfile, and JSON.
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

// fileKind is the atomicfile.Kind of state files.
var fileKind = &atomicfile.Kind{
	Format:       atomicfile.Format{Name: "ospreycroft-distribution", Version: 1},
	Name:         "the state file",
	RecoveryHint: recoveryHint,
	Fallback:     "an older state",
}

// Store loads and saves the state file of one subscriber. It is not safe for concurrent use.
type Store struct {
	Dir          string
	Installation string
	Subscriber   string
	Scope        distribution.Scope
	MaxAge       int64 // nanoseconds, above 0; Load refuses a state that was confirmed longer ago
	Files        atomicfile.FileSystem
	// Clock is the origin of the clock of this incarnation. The wall clock may have been stepped since the previous one.
	Clock         machineclock.Origin
	newestVersion distribution.Version // the newest version loaded or saved; Save refuses older ones
}

// fileContent is the JSON that follows the header.
type fileContent struct {
	Installation string                `json:"installation"`
	Subscriber   string                `json:"subscriber"`
	Digest       distribution.Digest   `json:"digest"`
	Snapshot     distribution.Snapshot `json:"snapshot"`
	// Clock is the origin of the clock that the snapshot's time was read from. Files of earlier versions lack it.
	Clock machineclock.Origin `json:"clock,omitzero"`
}

// Path returns the path of the file. Its name is the subscriber's, so that subscribers may share a directory.
func (p *Store) Path() string {
	return filepath.Join(p.Dir, url.PathEscape(p.Subscriber)+".distribution")
}

// Load reads the stored snapshot. It returns nil without an error if there is no file. now is the time by Clock, in
// nanoseconds, and so is the TakenAt of the result. Errors: those of atomicfile.Kind, *OwnerError, *StaleError.
func (p *Store) Load(now int64) (*distribution.Snapshot, error) {
	path := p.Path()
	content := &fileContent{}
	err := fileKind.Load(p.Files, path, content)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if content.Installation != p.Installation || content.Subscriber != p.Subscriber ||
		content.Snapshot.Scope != p.Scope.String() {
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

// Save replaces the stored snapshot. If that fails, the file keeps either the previous snapshot or the new one, each
// complete. A snapshot older than the last one loaded or saved is refused. Errors: *OlderError, *atomicfile.WriteError.
func (p *Store) Save(snapshot *distribution.Snapshot) error {
	path := p.Path()
	if snapshot.Version.Less(p.newestVersion) {
		return &OlderError{Path: path, Stored: p.newestVersion, Given: snapshot.Version}
	}
	state, err := distribution.NewStateOf(snapshot.Entries)
	if err != nil {
		return &atomicfile.WriteError{Kind: fileKind, Path: path, Cause: err}
	}
	content := fileContent{Installation: p.Installation, Subscriber: p.Subscriber,
		Digest: state.Digest(distribution.Scope{}), Snapshot: *snapshot, Clock: p.Clock}
	if err := fileKind.Save(p.Files, path, content); err != nil {
		return err
	}
	p.newestVersion = snapshot.Version
	return nil
}

// NewWriter starts a writer that saves snapshots to place on its own goroutine; see atomicfile.NewWriter. The caller
// must not use place any more.
func NewWriter(place *Store, report func(error)) *atomicfile.Writer[distribution.Snapshot] {
	return atomicfile.NewWriter(place.Save, report)
}
