// Package clockstep steps the wall clock of one process, a real limiter under the lab's soak: a small library of the lab's
// own (clockstep.c.txt), compiled when it is first needed and loaded into the process, adds what the lab says to its wall
// clock. Monotonic clocks go on evenly, as they do when a machine's time is set.
package clockstep

import (
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

//go:embed clockstep.c.txt
var librarySource []byte

// stepFileSize is the size of the file that a process maps.
const stepFileSize = 4096

// BuildError is a library that could not be compiled.
type BuildError struct {
	Output string
	Cause  error
}

// Error says what happened.
func (e *BuildError) Error() string {
	return fmt.Sprintf("clock step library: %v: %s", e.Cause, e.Output)
}

// Unwrap is what the compiler's end says.
func (e *BuildError) Unwrap() error { return e.Cause }

// Hint says what to do about it.
func (e *BuildError) Hint() string { return "install a C compiler (gcc), or play without clock steps" }

// Build compiles the library into a directory and gives its path. Errors: *BuildError.
func Build(dir string) (string, error) {
	sourcePath := filepath.Join(dir, "clockstep.c")
	library := filepath.Join(dir, "clockstep.so")
	if err := os.WriteFile(sourcePath, librarySource, 0o600); err != nil {
		return "", err
	}
	output, err := exec.Command("gcc", "-O2", "-shared", "-fPIC", "-o", library, sourcePath).CombinedOutput()
	if err != nil {
		return "", &BuildError{Output: string(output), Cause: err}
	}
	return library, nil
}

// Clock is the wall clock of the processes that are started with its environment.
type Clock struct{ library, path string }

// New makes a clock that has not stepped, with its file in a directory.
func New(library, path string) (*Clock, error) {
	c := &Clock{library: library, path: path}
	if err := os.WriteFile(path, make([]byte, stepFileSize), 0o600); err != nil {
		return nil, err
	}
	return c, nil
}

// Environment is what a process has to be started with.
func (c *Clock) Environment() []string {
	return []string{"LD_PRELOAD=" + c.library, "CLOCK_STEP_FILE=" + c.path}
}

// Step sets how far the wall clock is from the machine's.
func (c *Clock) Step(offset time.Duration) error {
	file, err := os.OpenFile(c.path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(binary.LittleEndian.AppendUint64(nil, uint64(offset)), 0)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
