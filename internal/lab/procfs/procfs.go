// Package procfs reads the resource use of processes and of the machine from /proc, for the lab's measurements.
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

// Error reports that a value of a process could not be read.
type Error struct {
	PID   int
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("process %d: %v", e.PID, e.Cause) }

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Hint tells the operator how to resolve the error.
func (e *Error) Hint() string {
	return "check the logs in the run's directory for why the process has ended; the lab needs /proc"
}

// ProcessorTime returns the processor time used by all threads of a process. Threads that have exited are not counted:
// the Go runtime keeps its threads. Its errors are *Error.
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
			continue // the thread has exited
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

// PeakResident returns the largest resident memory of a process since its exec, in bytes. Its errors are *Error.
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
	return 0, &Error{pid, os.ErrNotExist} // a zombie process has no VmHWM line
}

// Resident returns the resident memory of a process, in bytes. Its errors are *Error.
func Resident(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, &Error{pid, err}
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, &Error{pid, fmt.Errorf("unexpected content of statm: %q", text)}
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0, &Error{pid, err}
	}
	return float64(pages) * float64(os.Getpagesize()), nil
}

// SystemCallBytes returns the number of bytes that a process has read and written by system calls. This includes its
// network connections, without TCP and IP headers. Its errors are *Error.
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

// Available returns the memory that the machine can allocate without swapping, in bytes; 0 if the kernel does not
// report it.
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

// LoadAverage returns the machine's load average over the last minute, as the kernel prints it; empty if it is unknown.
func LoadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
