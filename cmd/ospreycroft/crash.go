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

// maxCrashTextBytes bounds what is logged of an earlier life's traceback; its cause and first frames come first.
const maxCrashTextBytes = 2 << 10

// crashPath is the file in a directory that holds the traceback of a limiter's latest crash.
func crashPath(dir, limiter string) string {
	return filepath.Join(dir, url.PathEscape(limiter)+".crash")
}

// initCrashFile logs why the limiter's earlier life crashed, if it did, and has the runtime write this life's crash to the same
// file: also a fatal error of the runtime, which no program can recover, and where the log of the process is lost.
// Whatever is wrong with the file ends no start.
func initCrashFile(dir, limiter string) {
	path := crashPath(dir, limiter)
	logEarlierCrash(path)
	file, err := os.Create(path)
	if err == nil {
		err = errors.Join(debug.SetCrashOutput(file, debug.CrashOptions{}), file.Close()) // the runtime has its own descriptor
	}
	if err != nil {
		slog.Warn("crash-file-unwritten", "path", path, "error", err)
	}
}

// logEarlierCrash logs the crash that the file holds, if any.
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
