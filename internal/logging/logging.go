// Package logging writes the programs' log: one line for each event, with its time, level, name and attributes as
// key=value pairs. The programs install its handler when they start; all other packages log with log/slog and pass the
// name of the event as the message. docs/on-call.md lists all events.
package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
)

// eventKey is the key of the event's name, which follows the time and the level in a line.
const eventKey = "event"

// NewHandler returns a handler that writes one line for each record, of any level.
func NewHandler(to io.Writer) slog.Handler {
	return slog.NewTextHandler(to, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: replaceMessageKey})
}

// replaceMessageKey replaces the key of a record's message with eventKey.
func replaceMessageKey(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = eventKey
	}
	return attr
}

// Event is a log event that a command can also print.
type Event struct {
	Name  string
	Attrs []slog.Attr
}

// Log logs the event at level info.
func (e Event) Log() { slog.LogAttrs(context.Background(), slog.LevelInfo, e.Name, e.Attrs...) }

// String returns the event's log line without time and level.
func (e Event) String() string {
	var line bytes.Buffer
	handler := slog.NewTextHandler(
		&line,
		&slog.HandlerOptions{ReplaceAttr: func(groups []string, attr slog.Attr) slog.Attr {
			if len(groups) == 0 && (attr.Key == slog.TimeKey || attr.Key == slog.LevelKey) {
				return slog.Attr{}
			}
			return replaceMessageKey(groups, attr)
		}},
	)
	slog.New(handler).LogAttrs(context.Background(), slog.LevelInfo, e.Name, e.Attrs...)
	return strings.TrimSuffix(line.String(), "\n")
}
