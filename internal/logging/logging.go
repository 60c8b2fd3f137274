// Package logging writes the programs' log: one line for each event, with its time, its level, its name and its attributes as
// key=value pairs. The programs install its handler at their start; everything else logs with log/slog, the event's name as the
// message. docs/on-call.md lists all events.
package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
)

// eventKey is the key of an event's name, the first of a line after its time and level.
const eventKey = "event"

// NewHandler makes a handler that writes one line for each record. Lines of all levels are written.
func NewHandler(to io.Writer) slog.Handler {
	return slog.NewTextHandler(to, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: replaceMessageKey})
}

// replaceMessageKey writes a record's message under the key of events.
func replaceMessageKey(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = eventKey
	}
	return attr
}

// Event is an event that a command may print as well as log.
type Event struct {
	Name  string
	Attrs []slog.Attr
}

// Log logs the event.
func (e Event) Log() { slog.LogAttrs(context.Background(), slog.LevelInfo, e.Name, e.Attrs...) }

// String is the event's line in the log without time and level.
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
