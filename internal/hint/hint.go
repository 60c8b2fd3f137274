// Package hint names what all errors have in common that an operator can act on, and writes them into log lines. The
// types themselves stand where the errors arise; docs/on-call.md lists them.
package hint

import (
	"errors"
	"fmt"
	"log/slog"
)

// Error is an error that an operator can act on: Error tells what happened, Hint what to do about it, in one line of
// plain words each. Where it has a cause, Unwrap gives it.
type Error interface {
	error
	Hint() string
}

// Unknown is the hint of an error that has none of its own.
const Unknown = "report it, with this line"

// For is the hint of the outermost error in the chain that has one, else Unknown.
func For(err error) string {
	var e Error
	if errors.As(err, &e) {
		return e.Hint()
	}
	return Unknown
}

// maxTextBytes is how many bytes of each text a log line holds: errors quote what others have sent, a list of 4 MiB perhaps.
const maxTextBytes = 400

// Attrs are the attributes of a log line for an error: what happened, and what to do about it.
func Attrs(err error) []any {
	return []any{slog.String("error", truncate(err.Error())), slog.String("hint", truncate(For(err)))}
}

// Line is the same in one text: error="..." hint="...".
func Line(err error) string {
	return fmt.Sprintf("error=%q hint=%q", truncate(err.Error()), truncate(For(err)))
}

func truncate(text string) string {
	if len(text) > maxTextBytes {
		return text[:maxTextBytes] + "..."
	}
	return text
}
