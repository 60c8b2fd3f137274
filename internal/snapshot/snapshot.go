// Package snapshot keeps the last good list of servers and their learned ramps on a disk, for installations that give a
// limiter one. A restarted limiter then begins with what it knew, and not with what its configuration knew when it was
// written. It is a help and no more: whatever is wrong with the file, the start goes on without it.
//
// A file is written whole or not at all (a new file, synced, renamed over the old one, its directory synced), and is read
// only if it is whole, unspoilt, young enough and this limiter's own.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"path/filepath"
	"strings"
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
	Taken        int64    `json:"taken"`     // nanoseconds of Unix time
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

// format is the first line: the version, the length of what follows and its checksum.
const (
	format  = "ospreycroft-snapshot %d %d %s\n"
	version = 1
)

// Path is the file. Limiters of one machine may share a directory.
func (p *Place) Path() string { return filepath.Join(p.Dir, url.PathEscape(p.Limiter)+".snapshot") }

// frame puts the first line before a body.
func frame(body []byte) []byte {
	sum := sha256.Sum256(body)
	return append(fmt.Appendf(nil, format, version, len(body), hex.EncodeToString(sum[:])), body...)
}

// Load reads the snapshot at now; nil without an error where there is none. Errors: *Unreadable, *CutShort, *Spoilt,
// *Other, *Foreign, *Old.
func (p *Place) Load(files Files, now int64) (*Snapshot, error) {
	path := p.Path()
	text, err := files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &UnreadableError{path, err}
	}
	head, body, whole := strings.Cut(string(text), "\n")
	if !whole {
		return nil, &TruncatedError{path, len(text)}
	}
	var of, length int
	var sum string
	if n, err := fmt.Sscanf(head+"\n", format, &of, &length, &sum); n < 3 {
		return nil, &ChecksumError{path, err}
	}
	if of != version {
		return nil, &FormatError{path, of}
	}
	if len(body) < length {
		return nil, &TruncatedError{path, len(text)}
	}
	if string(text) != string(frame([]byte(body))) {
		return nil, &ChecksumError{path, errors.New("the checksum is another")}
	}
	s := &Snapshot{}
	if err := json.Unmarshal([]byte(body), s); err != nil {
		return nil, &ChecksumError{path, err}
	}
	if s.Installation != p.Installation || s.Limiter != p.Limiter {
		return nil, &OwnerError{path, s.Installation, s.Limiter}
	}
	if age := now - s.Taken; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{path, age, p.MaxAge}
	}
	return s, nil
}

// Save writes the snapshot whole or leaves the one that is there. Errors: *Unwritten.
func (p *Place) Save(files Files, s *Snapshot) error {
	s.Installation, s.Limiter = p.Installation, p.Limiter
	path := p.Path()
	body, err := json.Marshal(s)
	if err == nil {
		err = write(files, path, frame(body))
	}
	if err != nil {
		return &WriteError{path, err}
	}
	return nil
}

func write(files Files, path string, text []byte) error {
	next := path + ".new"
	if err := files.Write(next, text); err != nil { // and synced: a rename may reach the disk before what it renames
		_ = files.Remove(next)
		return err
	}
	if err := files.Rename(next, path); err != nil {
		_ = files.Remove(next)
		return err
	}
	return files.Sync(filepath.Dir(path))
}
