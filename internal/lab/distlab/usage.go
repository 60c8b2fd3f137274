package distlab

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ProcError is a figure that the kernel did not give for a process.
type ProcError struct {
	PID   int
	Cause error
}

func (e *ProcError) Error() string { return fmt.Sprintf("process %d: %v", e.PID, e.Cause) }

// Unwrap is what the kernel said.
func (e *ProcError) Unwrap() error { return e.Cause }

// Hint says what to do about it.
func (e *ProcError) Hint() string {
	return "see what the process wrote before it ended; /proc is needed"
}

// usage is what a process has used since it started.
type usage struct {
	at        time.Time
	processor time.Duration
	bytes     int64 // read and written by system calls, those of its connections among them, without the heads of TCP and IP
}

// usageOf reads a process's usage. Threads that have ended are not counted: the Go runtime keeps its threads. Errors: *ProcError.
func usageOf(pid int) (usage, error) {
	u := usage{at: time.Now()}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return u, &ProcError{pid, os.ErrNotExist}
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		ran, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return u, &ProcError{pid, err}
		}
		u.processor += time.Duration(nanoseconds)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, &ProcError{pid, err}
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			bytes, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return u, &ProcError{pid, err}
			}
			u.bytes += bytes
		}
	}
	return u, nil
}

// Load is what processes used between two moments, a second and a sharer.
type Load struct {
	BytesPerSecond float64 `json:"bytes_per_s"`
	CorePercent    float64 `json:"core_percent"` // of one core
}

// loadBetween is the load of one process between two readings, shared by so many.
func loadBetween(before, after usage, sharers int) Load {
	seconds := after.at.Sub(before.at).Seconds() * float64(sharers)
	return Load{BytesPerSecond: float64(after.bytes-before.bytes) / seconds,
		CorePercent: 100 * (after.processor - before.processor).Seconds() / seconds}
}

// machineLoad is the machine's load average over the last minute.
func machineLoad() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
