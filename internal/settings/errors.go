package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// UnreadableError reports a failure to read the configuration's file.
type UnreadableError struct {
	Path  string // empty if GW_CONFIG is not set
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return "the configuration cannot be read: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *UnreadableError) Hint() string {
	if e.Path == "" {
		return "set GW_CONFIG to the path of the configuration"
	}
	return "check the path in GW_CONFIG and that this user may read the file"
}

// MalformedError reports a text that is not a JSON object.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return "the configuration is malformed: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *MalformedError) Hint() string {
	return "correct the JSON; `ospreycroft check` reads it again without starting"
}

// KeyError reports a key that is missing or has an invalid value.
type KeyError struct {
	Key   string // the key's path, such as "settings: tariffs: small: rate"; empty for the text as a whole
	Why   string // what is wrong, empty if Cause tells it
	Cause error  // or nil
}

// Error implements error.
func (e *KeyError) Error() string {
	parts := []string{e.Key, e.Why}
	if e.Cause != nil {
		parts = append(parts, e.Cause.Error())
	}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), ": ")
}

// Unwrap returns Cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *KeyError) Hint() string {
	return fmt.Sprintf(
		"correct the key %q of the configuration; `ospreycroft check` reads it again without starting",
		e.Key,
	)
}

// keyError returns a *KeyError. why is a format for values.
func keyError(key, why string, values ...any) error {
	return &KeyError{Key: key, Why: fmt.Sprintf(why, values...)}
}

// decodeError converts an error of encoding/json: to a *KeyError if the value of a key has a wrong type, otherwise to a
// *MalformedError.
func decodeError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return &KeyError{Key: strings.ReplaceAll(kind.Field, ".", ": "), Cause: err}
	}
	return &MalformedError{Cause: err}
}

// nestedError returns a *KeyError for err with the key part in front of err's own key.
func nestedError(part string, err error) error {
	var key *KeyError
	if errors.As(err, &key) && key.Key == "" {
		return &KeyError{Key: part, Why: key.Why, Cause: key.Cause}
	} else if key != nil {
		return &KeyError{Key: part + ": " + key.Key, Why: key.Why, Cause: key.Cause}
	}
	return &KeyError{Key: part, Cause: err}
}

// ReadFile reads and checks the configuration file at path. Errors: *UnreadableError, *MalformedError, *KeyError.
func ReadFile(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &UnreadableError{Path: path, Cause: err}
	}
	return DecodeConfig(text)
}
