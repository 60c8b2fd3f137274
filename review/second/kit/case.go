// Package kit holds what the cases of the second review share: a case's record, its processes, and small stand-ins for
// the parties that the operators' pages describe. It uses the standard library alone.
package kit

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longestRun is how long a case may run before it ends as one that could not run.
const longestRun = 115 * time.Second

// Case is one run of a case.
type Case struct {
	// Trouble is false where TROUBLE=0 asks for the run without the disruption.
	Trouble bool
	// Temp is an empty folder of this run.
	Temp   string
	root   string
	mutex  sync.Mutex
	record *os.File
	began  time.Time
	procs  []*Process
	ports  map[int]bool
}

// notRun is the panic of Case.Cannot.
type notRun struct{ why string }

// Main runs a case and ends the process with its status. body reports whether the rule was broken. The first argument is
// the case's folder, and the working directory the root of the repository.
func Main(body func(c *Case) (ruleBroken bool)) {
	os.Exit(run(body))
}

func run(body func(c *Case) bool) (status int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the case's folder is missing")
		return couldNot
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	temp, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Temp: temp, root: root, record: record, began: time.Now(),
		ports: map[int]bool{}}
	done := make(chan int, 1)
	go func() { done <- c.judge(body) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case status = <-done:
	case <-ended:
		c.Log("could not run: ended from outside")
		status = couldNot
	case <-time.After(longestRun):
		c.Log("could not run: no verdict after %v", longestRun)
		status = couldNot
	}
	c.endProcesses()
	c.Log("status %d", status)
	_ = os.RemoveAll(temp)
	return status
}

// judge runs the body and turns its result into a status.
func (c *Case) judge(body func(c *Case) bool) (status int) {
	defer func() {
		if cause := recover(); cause != nil {
			why, expected := cause.(notRun)
			if !expected {
				why.why = fmt.Sprint(cause)
			}
			c.Log("could not run: %s", why.why)
			status = couldNot
		}
	}()
	c.Log("trouble=%v", c.Trouble)
	if body(c) {
		c.Log("the rule was broken")
		return broken
	}
	c.Log("the rule held")
	return held
}

// Log writes a line to the record, with the seconds since the begin.
func (c *Case) Log(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, values...), c.Temp, "TEMP")
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.began).Seconds(), text)
	_, _ = c.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Cannot ends the case as one that could not run.
func (c *Case) Cannot(format string, values ...any) {
	panic(notRun{fmt.Sprintf(format, values...)})
}

// Must ends the case as one that could not run if err is set.
func (c *Case) Must(err error) {
	if err != nil {
		c.Cannot("%v", err)
	}
}

// Await waits until a condition holds, and reports whether it does.
func (c *Case) Await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// Address returns a free loopback address, below the ports that the kernel gives to dialled connections.
func (c *Case) Address() string {
	for try := range 2000 {
		port := 18000 + (os.Getpid()*37+try*13+len(c.ports))%12000
		if c.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		c.ports[port] = true
		return listener.Addr().String()
	}
	c.Cannot("no free port")
	return ""
}

// Folder makes a folder in the run's temporary one.
func (c *Case) Folder(name string) string {
	path := filepath.Join(c.Temp, name)
	c.Must(os.MkdirAll(path, 0o755))
	return path
}

// File writes a file into the run's temporary folder.
func (c *Case) File(name, text string) string {
	path := filepath.Join(c.Temp, name)
	c.Must(os.WriteFile(path, []byte(text), 0o644))
	return path
}

// DeployRun is the line run of the deploy file.
func (c *Case) DeployRun() string {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	c.Must(err)
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, `run = "`); found {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	c.Cannot("the deploy file has no line run")
	return ""
}

// Process is a process of the project.
type Process struct {
	c       *Case
	Name    string
	command *exec.Cmd
	logPath string
	ended   chan struct{}
}

// Start starts a command by the shell, from the root, in a process group of its own.
func (c *Case) Start(name, command string, environment ...string) *Process {
	p := &Process{c: c, Name: name, logPath: filepath.Join(c.Temp, name+".log"), ended: make(chan struct{})}
	file, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	c.Must(err)
	defer func() { _ = file.Close() }()
	p.command = exec.Command("/bin/sh", "-c", command)
	p.command.Dir = c.root
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = file
	p.command.Stderr = file
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	c.Must(p.command.Start())
	c.Log("%s started: %s", name, command)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	c.mutex.Lock()
	c.procs = append(c.procs, p)
	c.mutex.Unlock()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.c.Log("%s gets %v", p.Name, signal)
	_ = syscall.Kill(-p.command.Process.Pid, signal)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// End sends a signal and waits for the process's end.
func (p *Process) End(signal syscall.Signal) {
	p.Signal(signal)
	if !p.c.Await(10*time.Second, p.Ended) {
		p.c.Cannot("%s did not end", p.Name)
	}
}

// ProcessorTime is the processor time of an ended process.
func (p *Process) ProcessorTime() time.Duration {
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}

// Output is what the processes of this name have written so far.
func (p *Process) Output() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// AwaitOutput waits until the output has a text so many times.
func (p *Process) AwaitOutput(text string, times int, timeout time.Duration) bool {
	return p.c.Await(timeout, func() bool { return strings.Count(p.Output(), text) >= times })
}

// Run runs a command of the project to its end and returns its output and status.
func (c *Case) Run(command string) (output string, status int) {
	run := exec.Command("/bin/sh", "-c", command)
	run.Dir = c.root
	text, err := run.CombinedOutput()
	if run.ProcessState == nil {
		c.Cannot("%s: %v", command, err)
	}
	status = run.ProcessState.ExitCode()
	c.Log("ran: %s -> status %d, %s", command, status, strings.TrimSpace(string(text)))
	return string(text), status
}

// endProcesses ends what was started and is still there.
func (c *Case) endProcesses() {
	c.mutex.Lock()
	procs := c.procs
	c.mutex.Unlock()
	for _, p := range procs {
		if !p.Ended() {
			_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL)
			<-p.ended
		}
	}
}

// Pid is the process's number.
func (p *Process) Pid() int { return p.command.Process.Pid }
