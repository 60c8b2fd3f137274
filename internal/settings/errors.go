package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// UnreadableError is for a configuration that cannot be read from its file.
type UnreadableError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (e *UnreadableError) Error() string {
	return "the configuration cannot be read: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *UnreadableError) Hint() string {
	if e.Path == "" {
		return "set GW_CONFIG to the path of the configuration"
	}
	return "check the path in GW_CONFIG and that this user may read the file"
}

// MalformedError is for a text that is no JSON object at all.
type MalformedError struct{ Cause error }

// Error says what happened.
func (e *MalformedError) Error() string { return "the configuration is malformed: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *MalformedError) Hint() string {
	return "mend the JSON; `ospreycroft check` reads it again without starting"
}

// KeyError is for a key that is missing or whose value cannot work.
type KeyError struct {
	Key   string // its path, with ": " between the steps: "settings: tariffs: small: rate"; empty for the whole text
	Why   string // empty where the cause says it
	Cause error  // or nil
}

// Error says what happened.
func (e *KeyError) Error() string {
	parts := []string{e.Key, e.Why}
	if e.Cause != nil {
		parts = append(parts, e.Cause.Error())
	}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), ": ")
}

// Unwrap gives the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *KeyError) Hint() string {
	return fmt.Sprintf(
		"mend the key %q of the configuration; `ospreycroft check` reads it again without starting",
		e.Key,
	)
}

// keyError is the error of a key whose value cannot work.
func keyError(key, why string, values ...any) error {
	return &KeyError{Key: key, Why: fmt.Sprintf(why, values...)}
}

// decodeError makes an error of what encoding/json says: of one key where only that has a value of a wrong kind.
func decodeError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return &KeyError{Key: strings.ReplaceAll(kind.Field, ".", ": "), Cause: err}
	}
	return &MalformedError{Cause: err}
}

// nestedError puts the key of an error of a part under the part's own.
func nestedError(part string, err error) error {
	var key *KeyError
	if errors.As(err, &key) && key.Key == "" {
		return &KeyError{Key: part, Why: key.Why, Cause: key.Cause}
	} else if key != nil {
		return &KeyError{Key: part + ": " + key.Key, Why: key.Why, Cause: key.Cause}
	}
	return &KeyError{Key: part, Cause: err}
}

// ReadFile reads and checks the configuration at a path.
func ReadFile(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &UnreadableError{Path: path, Cause: err}
	}
	return DecodeConfig(text)
}
