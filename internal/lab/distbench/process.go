package distbench

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/lab/syscallshim"
)

const (
	startTimeout = 20 * time.Second     // a process that is not listening by then has failed to start
	pollInterval = 5 * time.Millisecond // between two checks of a condition that is awaited
)

// Programs are the paths of the programs that a run starts: the limiter, and configdist for sources and relays.
type Programs struct{ Limiter, Distribution string }

// Build compiles the programs into a directory. Errors: *StartError.
func Build(dir string) (Programs, error) {
	command := exec.Command(
		"go",
		"build",
		"-o",
		dir+string(filepath.Separator),
		"ospreycroft/cmd/ospreycroft",
		"ospreycroft/cmd/configdist",
	)
	if text, err := command.CombinedOutput(); err != nil {
		return Programs{}, &StartError{What: "go build", Log: string(text), Cause: err}
	}
	return Programs{Limiter: filepath.Join(dir, "ospreycroft"), Distribution: filepath.Join(dir, "configdist")}, nil
}

// StartError reports a process that did not start.
type StartError struct {
	What, Log string // the process, and what it wrote
	Cause     error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s did not start: %v: %s", e.What, e.Cause, e.Log)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Hint tells how to find or fix the cause.
func (e *StartError) Hint() string {
	return "read the process's output; check that the programs are built (go build -o bin/ ./cmd/...)"
}

// Process is a started process with its output. Its methods are safe for concurrent use.
type Process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when the process has exited
	exitErr error         // result of Wait, valid once ended is closed
	mutex   sync.Mutex
	log     []byte // standard output and standard error; guarded by mutex
}

// Write appends to the log. It implements io.Writer for the process's output.
func (p *Process) Write(text []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log = append(p.log, text...)
	return len(text), nil
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return string(p.log)
}

// Start starts a program with additional environment variables. Errors: *StartError.
func Start(program string, environment []string, arguments ...string) (*Process, error) {
	return StartUnder(nil, program, environment, arguments...)
}

// StartUnder is Start with the system call shim: decide chooses what becomes of the process's system calls, and the
// calling program serves as the shim's launcher. If decide is nil, there is no shim. Errors: *StartError.
func StartUnder(
	decide syscallshim.Decide, program string, environment []string, arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = p
	p.command.Stderr = p
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // kills the process if the run ends first
	afterStart := func() error { return nil }
	if decide != nil {
		var err error
		afterStart, err = syscallshim.Command(p.command, os.Args[0], decide, &syscallshim.Counts{})
		if err != nil {
			return nil, &StartError{What: program, Cause: err}
		}
	}
	err := p.command.Start()
	if err == nil {
		err = afterStart()
	}
	if err != nil {
		return nil, &StartError{What: program, Cause: err}
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error { return p.command.Process.Signal(signal) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// WaitForExit waits until the process exits of its own accord, and reports whether it did within the timeout. err is
// the result of exec.Cmd.Wait.
func (p *Process) WaitForExit(timeout time.Duration) (ended bool, err error) {
	select {
	case <-p.ended:
		return true, p.exitErr
	case <-time.After(timeout):
		return false, nil
	}
}

// WaitForOutput waits until the process's output contains a text at least a number of times, and reports whether it did
// within the timeout.
func (p *Process) WaitForOutput(text string, times int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if strings.Count(p.Log(), text) >= times {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// waitUntilListening waits until a configdist process logs that it is listening. Errors: *StartError.
func (p *Process) waitUntilListening() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if strings.Contains(p.Log(), "event=listening address=") {
			return nil
		}
		if ended, err := p.WaitForExit(0); ended {
			return &StartError{What: p.command.Path, Log: p.Log(), Cause: err}
		}
	}
	return &StartError{What: p.command.Path, Log: p.Log(), Cause: os.ErrDeadlineExceeded}
}

// WaitUntilReachable waits until a connection to an address succeeds, which the process is expected to listen on.
// Errors: *StartError, if the process exits first or the wait times out.
func (p *Process) WaitUntilReachable(address string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn.Close()
		}
		if ended, err := p.WaitForExit(0); ended {
			return &StartError{What: p.command.Path, Log: p.Log(), Cause: err}
		}
	}
	return &StartError{What: p.command.Path, Log: p.Log(), Cause: os.ErrDeadlineExceeded}
}

// StartSource starts a source that keeps its state in a directory. The port is a reserved one, so that the source can
// be restarted on the same address. Errors: *StartError.
func (programs Programs) StartSource(dir string, port *ports.Reserved, extraArguments ...string) (*Process, error) {
	return programs.startListening(
		append([]string{"source", "--listen", port.Address(), "--dir", dir}, extraArguments...))
}

// StartRelay starts a relay on a reserved port, like StartSource. Errors: *StartError.
func (programs Programs) StartRelay(source, zone, name string, port *ports.Reserved) (*Process, error) {
	return programs.startListening(
		[]string{"relay", "--listen", port.Address(), "--source", source, "--zone", zone, "--name", name},
	)
}

// startListening starts configdist and waits until it is listening. Errors: *StartError.
func (programs Programs) startListening(arguments []string) (*Process, error) {
	p, err := Start(programs.Distribution, nil, arguments...)
	if err != nil {
		return nil, err
	}
	if err := p.waitUntilListening(); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}
