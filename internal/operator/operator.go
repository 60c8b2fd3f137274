// Package operator reads the operator's file: what an installation states beside the configuration that the platform
// writes. The variable GW_OPERATOR names it; without it all that it switches on is off. deploy/operator.toml is an
// example.
package operator

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"ospreycroft/internal/distribution"
)

// Variable names the file.
const Variable = "GW_OPERATOR"

// Options is what the file states; the zero value states nothing.
type Options struct {
	DiscoveryCallRate float64 // list_calls_per_s: calls a second that the list service bears from all limiters
	// start.connections_per_s: new connections a second that one server bears from all limiters
	ConnectionRate float64
	Installation   string // installation: tells this fleet's snapshots from another's
	SnapshotPath   string // snapshot.path: the directory of the limiters' snapshots, empty for none
	SnapshotMaxAge int64  // snapshot.oldest_s, in nanoseconds here
	Distribution   Distribution
}

// Distribution is how the limiter follows the configuration distribution; the zero value is not at all.
type Distribution struct {
	// distribution.relays: host and port of the limiter's two relays, the one of its own zone first
	Relays      [2]string
	Scope       string // distribution.scope, as distribution.ParseScope reads it; empty for everything
	StatePath   string // distribution.state_path: the directory of the limiters' states, empty for none
	StateMaxAge int64  // distribution.oldest_s, in nanoseconds here
}

// UnreadableError is a file that GW_OPERATOR names and that cannot be read, or is no TOML.
type UnreadableError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (u *UnreadableError) Error() string {
	return fmt.Sprintf("operator's file %s: %v", u.Path, u.Cause)
}

// Hint is what to do.
func (u *UnreadableError) Hint() string {
	return "mend " + u.Path + " (deploy/operator.toml is an example), or unset " + Variable + " to start without it"
}

// Unwrap gives the cause.
func (u *UnreadableError) Unwrap() error { return u.Cause }

// KeyError is a key that is not known, or whose value cannot work.
type KeyError struct {
	Path  string
	Key   string
	Value any
	Want  string
}

// Error says what happened.
func (b *KeyError) Error() string {
	return fmt.Sprintf("operator's file %s: %s is %v, not %s", b.Path, b.Key, b.Value, b.Want)
}

// Hint is what to do.
func (b *KeyError) Hint() string {
	return fmt.Sprintf("set %s to %s in %s, or leave it out", b.Key, b.Want, b.Path)
}

// Read reads the file that GW_OPERATOR names; nothing is stated where it is not set. Errors: *UnreadableError, *KeyError.
func Read() (*Options, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return &Options{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &UnreadableError{path, err}
	}
	return Parse(path, text)
}

// maxNumber bounds the numbers of the file: nobody means a larger one.
const maxNumber = 1e6

// Parse checks the text of the file at path. Errors: *UnreadableError, *KeyError.
func Parse(path string, text []byte) (*Options, error) {
	k := koanf.New(".")
	if err := k.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, &UnreadableError{path, err}
	}
	o := &Options{}
	var snapshotAge, stateAge float64 // seconds
	numbers := map[string]*float64{
		"list_calls_per_s":        &o.DiscoveryCallRate,
		"start.connections_per_s": &o.ConnectionRate,
		"snapshot.oldest_s":       &snapshotAge,
		"distribution.oldest_s":   &stateAge,
	}
	words := map[string]*string{
		"installation":            &o.Installation,
		"snapshot.path":           &o.SnapshotPath,
		"distribution.scope":      &o.Distribution.Scope,
		"distribution.state_path": &o.Distribution.StatePath,
	}
	keys := k.Keys()
	slices.Sort(keys)
	for _, key := range keys {
		value := k.Get(key)
		var want string
		switch {
		case words[key] != nil:
			want = readWord(value, words[key])
		case numbers[key] != nil:
			want = readNumber(value, numbers[key])
		case key == relaysKey:
			want = o.Distribution.readRelays(value)
		default:
			want = "a key of this file"
		}
		if want != "" {
			return nil, &KeyError{path, key, value, want}
		}
	}
	o.SnapshotMaxAge = int64(snapshotAge * 1e9)
	o.Distribution.StateMaxAge = int64(stateAge * 1e9)
	if err := checkSnapshot(path, o); err != nil {
		return nil, err
	}
	if err := checkDistribution(path, o); err != nil {
		return nil, err
	}
	return o, nil
}

// readWord reads a text. It tells what the value should be where it is none.
func readWord(value any, to *string) (want string) {
	text, is := value.(string)
	if !is || strings.TrimSpace(text) == "" {
		return "a text"
	}
	*to = text
	return ""
}

// readNumber reads a number, whole or not, as readWord does a text.
func readNumber(value any, to *float64) (want string) {
	switch number := value.(type) {
	case float64:
		*to = number
	case int64:
		*to = float64(number)
	}
	if !(*to > 0 && *to <= maxNumber) {
		return "a number above 0 and up to a million"
	}
	return ""
}

// readRelays reads the relays, as readWord does a text.
func (d *Distribution) readRelays(value any) (want string) {
	var is bool
	d.Relays, is = relays(value)
	if !is {
		return "a list of two addresses, host:port"
	}
	return ""
}

// checkSnapshot refuses keys of the snapshot that do not go together. Errors: *KeyError.
func checkSnapshot(path string, o *Options) error {
	switch {
	case o.SnapshotPath != "" && o.Installation == "":
		return &KeyError{path, "installation", "missing", "a name, as snapshot.path is set"}
	case o.SnapshotPath != "" && o.SnapshotMaxAge == 0:
		return &KeyError{path, "snapshot.oldest_s", "missing", "a number of seconds, as snapshot.path is set"}
	}
	return nil
}

const relaysKey = "distribution.relays"

// relays reads a list of two addresses. Both may be the same where there is one relay.
func relays(value any) (addresses [2]string, is bool) {
	list, is := value.([]any)
	if !is || len(list) != len(addresses) {
		return addresses, false
	}
	for i, one := range list {
		text, is := one.(string)
		host, port, err := net.SplitHostPort(text)
		number, bad := strconv.ParseUint(port, 10, 16)
		if !is || err != nil || bad != nil || number == 0 || host == "" {
			return addresses, false
		}
		addresses[i] = text
	}
	return addresses, true
}

// checkDistribution refuses keys of the distribution that do not go together. Errors: *KeyError.
func checkDistribution(path string, o *Options) error {
	d := o.Distribution
	if _, err := distribution.ParseScope(d.Scope); err != nil {
		return &KeyError{path, "distribution.scope", d.Scope, "a scope (kinds, '@', names, with commas)"}
	}
	switch {
	case d != (Distribution{}) && d.Relays == [2]string{}:
		return &KeyError{path, relaysKey, "missing", "a list of two addresses, as other keys of distribution are set"}
	case d.StatePath != "" && o.Installation == "":
		return &KeyError{path, "installation", "missing", "a name, as distribution.state_path is set"}
	case d.StatePath != "" && d.StateMaxAge == 0:
		return &KeyError{
			path,
			"distribution.oldest_s",
			"missing",
			"a number of seconds, as distribution.state_path is set",
		}
	}
	return nil
}
