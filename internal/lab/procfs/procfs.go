// Package procfs reads from the kernel what processes and the machine use, for the lab's measurements.
package procfs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Error is a figure that the kernel did not give for a process.
type Error struct {
	PID   int
	Cause error
}

// Error says what happened.
func (e *Error) Error() string { return fmt.Sprintf("process %d: %v", e.PID, e.Cause) }

// Unwrap is what the kernel said.
func (e *Error) Unwrap() error { return e.Cause }

// Hint says what to do about it.
func (e *Error) Hint() string {
	return "see in the run's folder why the process has ended; /proc is needed"
}

// ProcessorTime is the time that all threads of a process have run for. Threads that have ended are not counted: the
// Go runtime keeps its threads. Errors: *Error.
func ProcessorTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err == nil && len(files) == 0 {
		err = os.ErrNotExist
	}
	if err != nil {
		return 0, &Error{pid, err}
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		runTime, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseInt(runTime, 10, 64)
		if err != nil {
			return 0, &Error{pid, err}
		}
		sum += time.Duration(nanoseconds)
	}
	return sum, nil
}

// PeakResident is the most memory that a process has held since its exec, bytes. Errors: *Error.
func PeakResident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, &Error{pid, err}
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return 0, &Error{pid, err}
		}
		return kilobytes << 10, nil
	}
	return 0, &Error{pid, os.ErrNotExist} // it has ended, and is not waited for yet
}

// Resident is the memory that a process holds, bytes. Errors: *Error.
func Resident(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, &Error{pid, err}
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, &Error{pid, fmt.Errorf("statm holds %q", text)}
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0, &Error{pid, err}
	}
	return float64(pages) * float64(os.Getpagesize()), nil
}

// SystemCallBytes are the bytes that a process has read and written by system calls, those of its connections among
// them, without the heads of TCP and IP. Errors: *Error.
func SystemCallBytes(pid int) (sum int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, &Error{pid, err}
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		count, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, &Error{pid, err}
		}
		sum += count
	}
	return sum, nil
}

// Available is the memory that the machine can give without swapping, bytes; 0 where the kernel does not tell.
func Available() float64 {
	text, _ := os.ReadFile("/proc/meminfo")
	for _, line := range strings.Split(string(text), "\n") {
		var kB float64
		if n, _ := fmt.Sscanf(line, "MemAvailable: %f kB", &kB); n == 1 {
			return kB * 1024
		}
	}
	return 0
}

// LoadAverage is the machine's load average over the last minute.
func LoadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
