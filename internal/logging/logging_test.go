package logging

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHandlerWritesOneLineForEachEvent(t *testing.T) {
	var out bytes.Buffer
	slog.New(NewHandler(&out)).Warn("list-refused", "error", "two words", "count", 3)
	require.Regexp(t, `^time=\S+ level=WARN event=list-refused error="two words" count=3\n$`, out.String())
}

func TestEventString(t *testing.T) {
	event := Event{Name: "ready", Attrs: []slog.Attr{slog.Int("servers", 2), slog.String("name", "a b")}}
	require.Equal(t, `event=ready servers=2 name="a b"`, event.String())
	var out bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(NewHandler(&out)))
	event.Log()
	require.Contains(t, out.String(), "level=INFO "+event.String()+"\n")
}

// loggedEvents returns the names of all events that the programs can log, from their source text. The lab is left out:
// its own pages list its events.
func loggedEvents(t *testing.T) map[string]bool {
	t.Helper()
	logCalls := regexp.MustCompile(
		`(?:slog\.(?:Debug|Info|Warn|Error)\(|logFailure\(|Event\{Name: |slog\.Level(?:Info|Warn), )\s*"([a-z][a-z-]*)"`,
	)
	names := map[string]bool{}
	for _, root := range []string{"../../internal", "../../cmd/ospreycroft", "../../cmd/configdist"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "lab" {
				return filepath.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, call := range logCalls.FindAllSubmatch(text, -1) {
				names[string(call[1])] = true
			}
			return nil
		}))
	}
	return names
}

// TestOnCallPageListsAllEvents: the on-call page has a row for every event that the programs can log, and for no other.
func TestOnCallPageListsAllEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/on-call.md")
	require.NoError(t, err)
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `event=([a-z-]+)").FindAllSubmatch(page, -1) {
		listed[string(row[1])] = true
	}
	require.Equal(t, loggedEvents(t), listed)
}
