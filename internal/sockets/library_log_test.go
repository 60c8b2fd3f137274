package sockets

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/logging"
)

// TestLibraryErrorsAreLoggedAtIntervals: at most one error per second is logged; the next line has the number of errors
// dropped in between.
func TestLibraryErrorsAreLoggedAtIntervals(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(logging.NewHandler(&log)))
	l := &libraryLogger{}
	l.Debug("no")
	l.Info("no")
	l.Warn("no")
	for range 3 {
		l.Error("accept failed: %v", "why")
	}
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.Contains(t, log.String(), `level=ERROR event=network-library-failed error="accept failed: why" left_out=0`)
	l.loggedAt = time.Now().Add(-libraryLogInterval)
	l.Error("again")
	require.Contains(t, log.String(), "error=again left_out=2")
}
