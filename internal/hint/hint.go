// Package hint defines the interface of errors that tell an operator what to do, and formats them for log lines. The
// error types are declared in the packages that return them; docs/on-call.md lists them.
package hint

import (
	"errors"
	"fmt"
	"log/slog"
)

// Error is an error that an operator can act on. Its Error method says what happened and Hint what to do about it, each
// in one line. An error with a cause has an Unwrap method.
type Error interface {
	error
	Hint() string
}

// Unknown is the hint for an error without one of its own.
const Unknown = "report it, with this line"

// For returns the hint of the outermost error in the chain that has one, or Unknown.
func For(err error) string {
	var e Error
	if errors.As(err, &e) {
		return e.Hint()
	}
	return Unknown
}

// maxTextBytes is the number of bytes after which a text is truncated in a log line. Errors may quote input, such as an
// endpoint list of 4 MiB.
const maxTextBytes = 400

// Attrs returns the log attributes for an error, as arguments of the log/slog functions: error holds its message and
// hint its hint.
func Attrs(err error) []any {
	return []any{slog.String("error", truncate(err.Error())), slog.String("hint", truncate(For(err)))}
}

// Line returns the same attributes as one string: error="..." hint="...".
func Line(err error) string {
	return fmt.Sprintf("error=%q hint=%q", truncate(err.Error()), truncate(For(err)))
}

func truncate(text string) string {
	if len(text) > maxTextBytes {
		return text[:maxTextBytes] + "..."
	}
	return text
}
