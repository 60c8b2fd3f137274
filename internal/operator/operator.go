// Package operator reads the operator's file: options of an installation beyond the configuration that the platform
// writes. The environment variable GW_OPERATOR has its path. Without it, all features that the file enables are off.
// deploy/operator.toml is an example.
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

// Variable is the environment variable with the path of the operator's file.
const Variable = "GW_OPERATOR"

// Options are the contents of the file. The zero value has all features off.
type Options struct {
	// DiscoveryCallRate (list_calls_per_s) is the rate of calls that discovery sustains from all limiters, in calls per
	// second; 0 if not stated.
	DiscoveryCallRate float64
	// ConnectionRate (start.connections_per_s) is the rate of new connections that one server sustains from all
	// limiters, in connections per second; 0 if not stated.
	ConnectionRate float64
	// Installation (installation) distinguishes this fleet's snapshots and states from those of other fleets.
	Installation string
	// SnapshotPath (snapshot.path) is the directory of the limiters' snapshots; empty for no snapshots.
	SnapshotPath string
	// SnapshotMaxAge (snapshot.oldest_s) is the age up to which a snapshot is used, in nanoseconds.
	SnapshotMaxAge int64
	Distribution   Distribution
}

// Distribution configures how the limiter follows the configuration distribution. It does not if the value is zero.
type Distribution struct {
	// Relays (distribution.relays) are the addresses, host:port, of the limiter's two relays, the one of its own zone
	// first.
	Relays [2]string
	// Scope (distribution.scope) has the format of distribution.ParseScope; empty for everything.
	Scope string
	// StatePath (distribution.state_path) is the directory of the limiters' stored states; empty for none.
	StatePath string
	// StateMaxAge (distribution.oldest_s) is the age up to which a stored state is used, in nanoseconds.
	StateMaxAge int64
}

// UnreadableError reports that the operator's file cannot be read or is not valid TOML.
type UnreadableError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("operator's file %s: %v", e.Path, e.Cause)
}

// Hint returns what an operator can do.
func (e *UnreadableError) Hint() string {
	return "correct " + e.Path + " (deploy/operator.toml is an example), or unset " + Variable + " to start without it"
}

// Unwrap returns Cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// KeyError reports an unknown key, or a key whose value is missing or invalid.
type KeyError struct {
	Path  string // of the file
	Key   string
	Value any    // as decoded from TOML, "missing" if the key is missing
	Want  string // a description of the valid values
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("operator's file %s: %s is %v, not %s", e.Path, e.Key, e.Value, e.Want)
}

// Hint returns what an operator can do.
func (e *KeyError) Hint() string {
	return fmt.Sprintf("set %s to %s in %s, or leave it out", e.Key, e.Want, e.Path)
}

// Read reads the file at the path in GW_OPERATOR. It returns zero Options if that is not set. Errors: *UnreadableError,
// *KeyError.
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

// maxNumber is the largest valid number in the file. A larger one is taken for a mistake.
const maxNumber = 1e6

// Parse decodes and checks text. path is the file's path in errors. Errors: *UnreadableError, *KeyError.
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

// readText stores a text that is not blank in dst. If value is not one it returns a description of the valid values.
func readText(value any, dst *string) (want string) {
	text, isText := value.(string)
	if !isText || strings.TrimSpace(text) == "" {
		return "a text that is not blank"
	}
	*dst = text
	return ""
}

// readNumber stores a number, integer or float, in dst. If value is not a valid one it returns a description of the
// valid values.
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

// readRelays stores the relays. If value is not a valid list of them it returns a description of the valid values.
func (d *Distribution) readRelays(value any) (want string) {
	var valid bool
	d.Relays, valid = parseRelays(value)
	if !valid {
		return "a list of two addresses, host:port"
	}
	return ""
}

// checkSnapshot returns a *KeyError if a key is missing that snapshot.path requires.
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

// parseRelays converts a list of two addresses. They may be equal, for an installation with one relay.
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

// checkDistribution returns a *KeyError if the scope is invalid, or if a key is missing that other keys of distribution
// require.
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
