package scale

import (
	"bytes"
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
	return "see in the run's folder why the process has ended; /proc is needed"
}

// processorTime is the time that all threads of a process have run for; the error is a *ProcError. Threads that have ended
// are not counted: the Go runtime keeps its threads.
func processorTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err == nil && len(files) == 0 {
		err = os.ErrNotExist
	}
	if err != nil {
		return 0, &ProcError{pid, err}
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		ran, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, &ProcError{pid, err}
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// resident is the memory that a process holds, bytes; the error is a *ProcError.
func resident(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, &ProcError{pid, err}
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, &ProcError{pid, fmt.Errorf("statm holds %q", text)}
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0, &ProcError{pid, err}
	}
	return float64(pages) * float64(os.Getpagesize()), nil
}

// available is the memory that the machine can give without swapping, bytes; 0 where the kernel does not tell.
func available() float64 {
	text, _ := os.ReadFile("/proc/meminfo")
	for _, line := range strings.Split(string(text), "\n") {
		var kB float64
		if n, _ := fmt.Sscanf(line, "MemAvailable: %f kB", &kB); n == 1 {
			return kB * 1024
		}
	}
	return 0
}

// load is the machine's load average over the last minute.
func load() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
