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
	startTimeout = 20 * time.Second // a process that takes longer to listen has not started
	pollInterval = 5 * time.Millisecond
)

// Programs are the paths of the programs that a run starts.
type Programs struct{ Limiter, Distribution string }

// Build builds the programs into a directory. Errors: *StartError.
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

// StartError is for a process that did not come up.
type StartError struct {
	What, Log string
	Cause     error
}

// Error says what happened.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s did not start: %v: %s", e.What, e.Cause, e.Log)
}

// Unwrap is why.
func (e *StartError) Unwrap() error { return e.Cause }

// Hint says what to do about it.
func (e *StartError) Hint() string {
	return "see what the process wrote; build the programs (go build -o bin/ ./cmd/...)"
}

// Process is one started process with what it has written. It may be used from any goroutine.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}
	exitErr error // of its end
	mutex   sync.Mutex
	log     []byte
}

// Write takes what the process writes.
func (p *Process) Write(text []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log = append(p.log, text...)
	return len(text), nil
}

// Log is what the process has written so far.
func (p *Process) Log() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return string(p.log)
}

// Start starts a program with further variables in its environment. Errors: *StartError.
func Start(program string, environment []string, arguments ...string) (*Process, error) {
	return StartUnder(nil, program, environment, arguments...)
}

// StartUnder does so with the process's system calls decided on, nil for none; the calling program is the shim's launcher.
// Errors: *StartError.
func StartUnder(decide syscallshim.Decide, program string, environment []string, arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = p
	p.command.Stderr = p
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the run
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

// Pid is the process's id.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(signal os.Signal) error { return p.command.Process.Signal(signal) }

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Ended waits for the process's own end, and tells whether it came in time and with what error.
func (p *Process) Ended(timeout time.Duration) (ended bool, err error) {
	select {
	case <-p.ended:
		return true, p.exitErr
	case <-time.After(timeout):
		return false, nil
	}
}

// Wrote waits until the process has written a text so many times, and tells whether it came in time.
func (p *Process) Wrote(text string, times int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if strings.Count(p.Log(), text) >= times {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// waitUntilListening waits until a process of configdist listens. Errors: *StartError.
func (p *Process) waitUntilListening() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if strings.Contains(p.Log(), "event=listening address=") {
			return nil
		}
		if ended, err := p.Ended(0); ended {
			return &StartError{What: p.command.Path, Log: p.Log(), Cause: err}
		}
	}
	return &StartError{What: p.command.Path, Log: p.Log(), Cause: os.ErrDeadlineExceeded}
}

// Reachable waits until something listens at an address. Errors: *StartError.
func (p *Process) Reachable(address string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn.Close()
		}
		if ended, err := p.Ended(0); ended {
			return &StartError{What: p.command.Path, Log: p.Log(), Cause: err}
		}
	}
	return &StartError{What: p.command.Path, Log: p.Log(), Cause: os.ErrDeadlineExceeded}
}

// StartSource starts a source that keeps its state in a directory. Its port is a kept one, so that it can be started there
// again. Errors: *StartError.
func (programs Programs) StartSource(dir string, port *ports.Kept, extraArguments ...string) (*Process, error) {
	return programs.startListening(append([]string{"source", "--listen", port.Address(), "--dir", dir}, extraArguments...))
}

// StartRelay starts a relay on a kept port, like StartSource. Errors: *StartError.
func (programs Programs) StartRelay(source, zone, name string, port *ports.Kept) (*Process, error) {
	return programs.startListening(
		[]string{"relay", "--listen", port.Address(), "--source", source, "--zone", zone, "--name", name},
	)
}

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
