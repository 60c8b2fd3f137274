package main

import (
	"bytes"
	"errors"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"
)

// maxCrashTextBytes limits how much of a traceback is logged. The cause and the first frames stand at its start.
const maxCrashTextBytes = 2 << 10

// crashPath returns the path of the file in dir that holds the traceback of the latest crash of limiter.
func crashPath(dir, limiter string) string {
	return filepath.Join(dir, url.PathEscape(limiter)+".crash")
}

// initCrashFile logs the crash of the previous process of this limiter, if there was one, and makes the runtime write a
// crash of this process to the same file. The file also holds fatal errors of the runtime, which no program can recover
// from, and remains if the process's log is lost. An error with the file is logged and does not prevent the start.
func initCrashFile(dir, limiter string) {
	path := crashPath(dir, limiter)
	logEarlierCrash(path)
	file, err := os.Create(path)
	if err == nil {
		err = errors.Join(debug.SetCrashOutput(file, debug.CrashOptions{}), file.Close()) // the runtime duplicates it
	}
	if err != nil {
		slog.Warn("crash-file-unwritten", "path", path, "error", err)
	}
}

// logEarlierCrash logs the crash that the file at path holds, if any.
func logEarlierCrash(path string) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("crash-file-unwritten", "path", path, "error", err)
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return
	}
	crashedAt := "unknown"
	if info, err := os.Stat(path); err == nil {
		crashedAt = info.ModTime().UTC().Format(time.RFC3339)
	}
	slog.Error("earlier-crash", "at", crashedAt, "text", string(text[:min(len(text), maxCrashTextBytes)]))
}
