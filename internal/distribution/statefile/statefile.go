// Package statefile keeps the state that a subscriber has in force on a disk, so that a restarted limiter serves with it at
// once, unconfirmed, until its relay answers. Whatever is wrong with the file, the start goes on without it.
//
// A file is one line with the format's version, the length of what follows and its SHA-256, and then JSON. It is written
// whole or not at all: a new file, synced, renamed over the old one, its directory synced.
package statefile

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

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/snapshot"
)

// header is the first line: the format's version, the length of what follows in bytes, and its SHA-256.
const (
	header        = "ospreycroft-distribution %d %d %s\n"
	formatVersion = 1
)

// Place is where a subscriber keeps its state, and whose it is. It is for one goroutine.
type Place struct {
	Dir          string
	Installation string
	Subscriber   string
	Scope        distribution.Scope
	MaxAge       int64 // a state that was confirmed longer ago is refused, in nanoseconds, above 0
	Files        snapshot.Files
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

// Load reads the snapshot at now, in nanoseconds of the same clock as its Taken; nil without an error where there is none.
// Errors: *UnreadableError, *TruncatedError, *ChecksumError, *FormatError, *OwnerError, *StaleError.
func (p *Place) Load(now int64) (*distribution.Snapshot, error) {
	path := p.Path()
	text, err := p.Files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &UnreadableError{Path: path, Cause: err}
	}
	body, err := unframe(path, string(text))
	if err != nil {
		return nil, err
	}
	c := &content{}
	if err := json.Unmarshal([]byte(body), c); err != nil {
		return nil, &ChecksumError{Path: path, Cause: err}
	}
	if c.Installation != p.Installation || c.Subscriber != p.Subscriber || c.Snapshot.Scope != p.Scope.String() {
		return nil, &OwnerError{Path: path, Installation: c.Installation, Subscriber: c.Subscriber, Scope: c.Snapshot.Scope}
	}
	if age := now - c.Snapshot.Taken; age > p.MaxAge || age < -p.MaxAge {
		return nil, &StaleError{Path: path, Age: age, MaxAge: p.MaxAge}
	}
	state, err := distribution.NewStateOf(c.Snapshot.Entries)
	if err != nil {
		return nil, &ChecksumError{Path: path, Cause: err}
	}
	if got := state.Digest(distribution.Scope{}); got != c.Digest {
		return nil, &ChecksumError{Path: path, Cause: &distribution.DigestError{Version: c.Snapshot.Version, Want: c.Digest, Got: got}}
	}
	p.written = c.Snapshot.Version
	return &c.Snapshot, nil
}

// unframe checks the header and gives what is behind it.
func unframe(path, text string) (body string, err error) {
	head, body, whole := strings.Cut(text, "\n")
	if !whole {
		return "", &TruncatedError{Path: path, Bytes: len(text)}
	}
	var version, length int
	var sum string
	if n, err := fmt.Sscanf(head+"\n", header, &version, &length, &sum); n < 3 {
		return "", &ChecksumError{Path: path, Cause: err}
	}
	if version != formatVersion {
		return "", &FormatError{Path: path, Version: version}
	}
	if len(body) < length {
		return "", &TruncatedError{Path: path, Bytes: len(text)}
	}
	if text != frame(body) {
		return "", &ChecksumError{Path: path, Cause: errors.New("the checksum is another")}
	}
	return body, nil
}

// frame puts the header before a body.
func frame(body string) string {
	sum := sha256.Sum256([]byte(body))
	return fmt.Sprintf(header, formatVersion, len(body), hex.EncodeToString(sum[:])) + body
}

// Save writes a snapshot whole or leaves the one that is there. One that is older than what this place has loaded or saved is
// refused. Errors: *OlderError, *UnwrittenError.
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
	if err := p.write(path, frame(string(body))); err != nil {
		return &WriteError{Path: path, Cause: err}
	}
	p.written = s.Version
	return nil
}

func (p *Place) write(path, text string) error {
	temporary := path + ".new"
	if err := p.Files.Write(temporary, []byte(text)); err != nil {
		_ = p.Files.Remove(temporary)
		return err
	}
	if err := p.Files.Rename(temporary, path); err != nil {
		_ = p.Files.Remove(temporary)
		return err
	}
	return p.Files.Sync(filepath.Dir(path))
}
