package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
	"ospreycroft/internal/logging"
)

// TestEarlierCrashIsLogged: the next start logs the traceback that the runtime left behind, once, and a directory that
// cannot be used does not prevent the start.
func TestEarlierCrashIsLogged(t *testing.T) {
	var out bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(logging.NewHandler(&out)))
	dir := t.TempDir()
	initCrashFile(dir, "n/1")
	require.Empty(t, out.String())
	require.NoError(t, os.WriteFile(crashPath(dir, "n/1"), []byte("panic: index out of range\n\ngoroutine 7"), 0o600))
	initCrashFile(dir, "n/1")
	require.Regexp(t, `level=ERROR event=earlier-crash at=\S+ text="panic: index out of range`, out.String())
	out.Reset()
	initCrashFile(dir, "n/1")
	require.Empty(t, out.String())
	initCrashFile(filepath.Join(dir, "missing"), "n")
	require.Contains(t, out.String(), "event=crash-file-unwritten")
}

// TestTraceOnSignal: SIGUSR1 makes the program log its trace, and does not end it.
func TestTraceOnSignal(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	h := startHarness(t, testbed.Listen(t).Address, log)
	h.client.Send(t, testbed.Request("traced", "read", 3000))
	counterConn := h.counter.Accept(t)
	counterConn.ReadLine(t)
	require.NoError(t, h.program.Process.Signal(syscall.SIGUSR1))
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(log.Name())
		return err == nil && bytes.Contains(text, []byte("step=accepted request=traced"))
	}, testbed.Timeout, time.Millisecond)
}
