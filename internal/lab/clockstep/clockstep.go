// Package clockstep changes the wall clock of one process, a real limiter in the lab's soak. A small shared library
// (clockstep.c.txt), compiled when it is first needed and preloaded into the process, adds an offset to the process's
// wall clock. Monotonic clocks are unaffected, as when a machine's time is set.
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

// stepFileSize is the size in bytes of the file that a process maps, one page.
const stepFileSize = 4096

// BuildError reports that the library could not be compiled. Output is what the compiler printed.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements the error interface.
func (e *BuildError) Error() string {
	return fmt.Sprintf("clock step library: %v: %s", e.Cause, e.Output)
}

// Unwrap returns the error with which the compiler ended.
func (e *BuildError) Unwrap() error { return e.Cause }

// Hint tells the operator how to resolve the error.
func (e *BuildError) Hint() string { return "install a C compiler (gcc), or run without clock steps" }

// Build compiles the library in dir and returns its path. If the compiler fails, the error is a *BuildError.
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

// Clock controls the wall clock of the processes that are started with its Environment.
type Clock struct{ library, path string }

// New returns a clock whose offset is zero. library is the path that Build returned; New creates the file at path,
// which holds the offset and is mapped by the processes.
func New(library, path string) (*Clock, error) {
	c := &Clock{library: library, path: path}
	if err := os.WriteFile(path, make([]byte, stepFileSize), 0o600); err != nil {
		return nil, err
	}
	return c, nil
}

// Environment returns the environment variables that a process needs to use the clock.
func (c *Clock) Environment() []string {
	return []string{"LD_PRELOAD=" + c.library, "CLOCK_STEP_FILE=" + c.path}
}

// Step sets the offset between the wall clock of the processes and the machine's. It replaces any earlier offset.
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
