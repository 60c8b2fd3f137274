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
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("operator's file %s: %v", e.Path, e.Cause)
}

// Hint is what to do.
func (e *UnreadableError) Hint() string {
	return "mend " + e.Path + " (deploy/operator.toml is an example), or unset " + Variable + " to start without it"
}

// Unwrap gives the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// KeyError is a key that is not known, or whose value cannot work.
type KeyError struct {
	Path  string
	Key   string
	Value any
	Want  string
}

// Error says what happened.
func (e *KeyError) Error() string {
	return fmt.Sprintf("operator's file %s: %s is %v, not %s", e.Path, e.Key, e.Value, e.Want)
}

// Hint is what to do.
func (e *KeyError) Hint() string {
	return fmt.Sprintf("set %s to %s in %s, or leave it out", e.Key, e.Want, e.Path)
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
	options := &Options{}
	var snapshotAge, stateAge float64 // seconds
	numbers := map[string]*float64{
		"list_calls_per_s":        &options.DiscoveryCallRate,
		"start.connections_per_s": &options.ConnectionRate,
		"snapshot.oldest_s":       &snapshotAge,
		"distribution.oldest_s":   &stateAge,
	}
	texts := map[string]*string{
		"installation":            &options.Installation,
		"snapshot.path":           &options.SnapshotPath,
		"distribution.scope":      &options.Distribution.Scope,
		"distribution.state_path": &options.Distribution.StatePath,
	}
	keys := k.Keys()
	slices.Sort(keys)
	for _, key := range keys {
		value := k.Get(key)
		var want string
		switch {
		case texts[key] != nil:
			want = readText(value, texts[key])
		case numbers[key] != nil:
			want = readNumber(value, numbers[key])
		case key == relaysKey:
			want = options.Distribution.readRelays(value)
		default:
			want = "a key of this file"
		}
		if want != "" {
			return nil, &KeyError{path, key, value, want}
		}
	}
	options.SnapshotMaxAge = int64(snapshotAge * 1e9)
	options.Distribution.StateMaxAge = int64(stateAge * 1e9)
	if err := checkSnapshot(path, options); err != nil {
		return nil, err
	}
	if err := checkDistribution(path, options); err != nil {
		return nil, err
	}
	return options, nil
}

// readText reads a text. It tells what the value should be where it is none.
func readText(value any, dst *string) (want string) {
	text, isText := value.(string)
	if !isText || strings.TrimSpace(text) == "" {
		return "a text"
	}
	*dst = text
	return ""
}

// readNumber reads a number, whole or not, as readWord does a text.
func readNumber(value any, dst *float64) (want string) {
	switch number := value.(type) {
	case float64:
		*dst = number
	case int64:
		*dst = float64(number)
	}
	if !(*dst > 0 && *dst <= maxNumber) {
		return "a number above 0 and up to a million"
	}
	return ""
}

// readRelays reads the relays, as readWord does a text.
func (d *Distribution) readRelays(value any) (want string) {
	var valid bool
	d.Relays, valid = parseRelays(value)
	if !valid {
		return "a list of two addresses, host:port"
	}
	return ""
}

// checkSnapshot refuses keys of the snapshot that do not go together. Errors: *KeyError.
func checkSnapshot(path string, options *Options) error {
	switch {
	case options.SnapshotPath != "" && options.Installation == "":
		return &KeyError{path, "installation", "missing", "a name, as snapshot.path is set"}
	case options.SnapshotPath != "" && options.SnapshotMaxAge == 0:
		return &KeyError{path, "snapshot.oldest_s", "missing", "a number of seconds, as snapshot.path is set"}
	}
	return nil
}

const relaysKey = "distribution.relays"

// parseRelays reads a list of two addresses. Both may be the same where there is one relay.
func parseRelays(value any) (addresses [2]string, valid bool) {
	list, valid := value.([]any)
	if !valid || len(list) != len(addresses) {
		return addresses, false
	}
	for i, entry := range list {
		text, isText := entry.(string)
		host, port, err := net.SplitHostPort(text)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if !isText || err != nil || portErr != nil || number == 0 || host == "" {
			return addresses, false
		}
		addresses[i] = text
	}
	return addresses, true
}

// checkDistribution refuses keys of the distribution that do not go together. Errors: *KeyError.
func checkDistribution(path string, options *Options) error {
	d := options.Distribution
	if _, err := distribution.ParseScope(d.Scope); err != nil {
		return &KeyError{path, "distribution.scope", d.Scope, "a scope (kinds, '@', names, with commas)"}
	}
	switch {
	case d != (Distribution{}) && d.Relays == [2]string{}:
		return &KeyError{path, relaysKey, "missing", "a list of two addresses, as other keys of distribution are set"}
	case d.StatePath != "" && options.Installation == "":
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
