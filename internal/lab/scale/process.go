package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/lab/procfs"
)

// HostVariable is the environment variable that makes a process a host of hollow limiters (HostMain); any value but
// the empty one does.
const HostVariable = "TESTLAB_SCALE_HOST"

const (
	maxLimitersPerHost = 100             // hollow limiters per process
	maxHosts           = 200             // processes of one fleet
	maxHostMemory      = 12 << 30        // bytes of all hosts together: half of the lab's machine
	startTimeout       = 2 * time.Minute // a host or limiter that takes longer fails the run
)

// StartError reports a process of a run that did not start.
type StartError struct {
	What, Log string
	Cause     error
}

// Error names the process and the cause.
func (e *StartError) Error() string { return fmt.Sprintf("%s did not start: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Hint names the remedy and the log.
func (e *StartError) Hint() string {
	return "build the programs (go build -o bin/ ./cmd/...) and see " + e.Log
}

// MemoryError reports that a fleet of hollow limiters may need more memory than the machine has or the lab allows.
// Need and Have are in bytes.
type MemoryError struct{ Need, Have float64 }

// Error states both amounts of memory.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("hollow limiters may use %.1f GB of memory, but only %.1f GB are available", e.Need/1e9, e.Have/1e9)
}

// Hint names the remedy.
func (e *MemoryError) Hint() string {
	return "end other processes that use memory, or run on an idle machine"
}

// Upper bounds of a hollow limiter's memory before a garbage collection, with a margin: bytes, and bytes for each
// server on its list.
const (
	hollowLimiterBytes = 3e6
	hollowServerBytes  = 2e3
)

// process is a child process. ended is closed once it has exited.
type process struct {
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	once  sync.Once
}

// startProcess starts a command and appends its output to the log file. Standard output goes elsewhere if cmd.Stdout
// is set.
func startProcess(cmd *exec.Cmd, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	if cmd.Stdout == nil {
		cmd.Stdout = out
	}
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the child dies with the harness
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return nil, err
	}
	p := &process{cmd: cmd, log: log, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.ended
}

// realLimiter is a process of the limiter's program, started as in production.
type realLimiter struct {
	*process
	config     limiterConfig
	configPath string // configuration file
	port       *ports.Reserved
	address    string
}

// startRealLimiter starts limiter n against the stand-ins and waits until it answers PING with +PONG. The Go runtime
// logs each garbage collection, from which heapBytes reads the heap.
func (h *Harness) startRealLimiter(s *standIns, n, sockets int, known []byte) (*realLimiter, error) {
	port, err := ports.Reserve()
	if err != nil {
		return nil, err
	}
	h.processes++
	name := fmt.Sprintf("real-%d", h.processes)
	l := &realLimiter{port: port, address: port.Address(), configPath: filepath.Join(h.options.Out, name+".json"),
		config: newLimiterConfig(n, port.Address(), s.discovery.Address(n), s.counter.Address(n), sockets, known)}
	if err := l.writeConfig(); err != nil {
		return nil, err
	}
	cmd := exec.Command(h.options.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+l.configPath, "GW_NAME="+l.config.Name, "GW_LISTEN="+l.address,
		"GW_DISCOVERY="+l.config.Discovery, "GODEBUG=gctrace=1")
	log := filepath.Join(h.options.Out, name+".log")
	l.process, err = startProcess(cmd, log)
	if err != nil {
		return nil, &StartError{h.options.Program, log, err}
	}
	deadline := time.Now().Add(startTimeout)
	for !ports.AnswersPing(l.address) {
		if expired := time.Now().After(deadline); expired || !l.running() {
			l.stop()
			return nil, &StartError{h.options.Program, log, errors.New("it did not answer PING with +PONG")}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return l, nil
}

// writeConfig writes the limiter's configuration file.
func (l *realLimiter) writeConfig() error {
	text, err := encodeConfig(l.config)
	if err != nil {
		return err
	}
	return os.WriteFile(l.configPath, text, 0o644)
}

func (l *realLimiter) running() bool {
	select {
	case <-l.ended:
		return false
	default:
		return true
	}
}

func (l *realLimiter) stop() {
	l.kill()
	l.port.Close()
}

// collectionLine matches the runtime's log line of a garbage collection and captures the heap after it, MB.
var collectionLine = regexp.MustCompile(`(?m)^gc \d+ .* \d+->\d+->(\d+) MB`)

// heapBytes returns the heap after the latest garbage collection in bytes, in steps of 1 MB; 0 before the first
// collection.
func (l *realLimiter) heapBytes() float64 {
	text, err := os.ReadFile(l.log)
	if err != nil {
		return 0
	}
	matches := collectionLine.FindAllSubmatch(text, -1)
	if len(matches) == 0 {
		return 0
	}
	mb, _ := strconv.Atoi(string(matches[len(matches)-1][1]))
	return float64(mb) * (1 << 20)
}

// host is a process that runs HostMain: hollow limiters or a stand-in of the counter. startSeconds is how long
// starting the limiters took.
type host struct {
	*process
	ports        []*ports.Reserved
	commands     *json.Encoder
	answers      *bufio.Reader
	startSeconds float64
}

// startHollowLimiters starts count hollow limiters, numbered from first, in as many hosts as needed, and waits until
// all run. Each begins with the known list. It fails with a *MemoryError if the fleet may need more than the
// available memory or maxHostMemory.
func (h *Harness) startHollowLimiters(s *standIns, first, count int, known []byte) ([]*host, error) {
	hosts := (count + maxLimitersPerHost - 1) / maxLimitersPerHost
	if hosts > maxHosts {
		return nil, &StartError{"hosts", h.options.Out, fmt.Errorf("%d processes needed, %d allowed", hosts, maxHosts)}
	}
	need := float64(count) * (hollowLimiterBytes + hollowServerBytes*float64(len(s.list)))
	if have := procfs.Available(); have < need || need > maxHostMemory {
		return nil, &MemoryError{need, min(have, maxHostMemory)}
	}
	var started []*host
	errs := make(chan error, hosts)
	for i := range hosts {
		from := first + i*count/hosts
		to := first + (i+1)*count/hosts
		hostProcess, err := h.startHost(s, from, to, known, maxHostMemory/int64(hosts))
		if err != nil {
			stopHosts(started)
			return nil, err
		}
		started = append(started, hostProcess)
		go func() { errs <- hostProcess.awaitStart() }()
	}
	var err error
	for range hosts {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		stopHosts(started)
		return nil, err
	}
	return started, nil
}

func stopHosts(hosts []*host) {
	for _, hostProcess := range hosts {
		hostProcess.stop()
	}
}

func (h *Harness) startHost(s *standIns, from, to int, known []byte, memory int64) (*host, error) {
	var reserved []*ports.Reserved
	spec := hostSpec{Known: known, Processors: 2, MemoryBytes: memory}
	for n := from; n < to; n++ {
		port, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		reserved = append(reserved, port)
		spec.Limiters = append(
			spec.Limiters,
			newLimiterConfig(n, port.Address(), s.discovery.Address(n), s.counter.Address(n), 1024, nil),
		)
	}
	hostProcess, err := h.startHostProcess(spec)
	if err != nil {
		return nil, err
	}
	hostProcess.ports = reserved
	return hostProcess, nil
}

// startHostProcess starts a host and sends it its spec. It does not wait for the answer.
func (h *Harness) startHostProcess(spec hostSpec) (*host, error) {
	hostProcess := &host{}
	h.processes++
	log := filepath.Join(h.options.Out, fmt.Sprintf("host-%d.log", h.processes))
	cmd := exec.Command(h.options.Host[0], h.options.Host[1:]...)
	cmd.Env = append(os.Environ(), HostVariable+"=1")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = writer
	hostProcess.process, err = startProcess(cmd, log)
	_ = writer.Close()
	if err != nil {
		return nil, &StartError{"host", log, err}
	}
	hostProcess.commands, hostProcess.answers = json.NewEncoder(stdin), bufio.NewReader(reader)
	go func() { <-hostProcess.ended; _ = reader.Close() }()
	if err := hostProcess.commands.Encode(spec); err != nil {
		hostProcess.stop()
		return nil, &StartError{"host", log, err}
	}
	return hostProcess, nil
}

// awaitStart waits until all limiters of the host run.
func (o *host) awaitStart() error {
	answer, err := o.answer()
	if err != nil {
		return &StartError{"host", o.log, err}
	}
	o.startSeconds = answer.StartSeconds
	return nil
}

func (o *host) answer() (answer hostAnswer, err error) {
	err = readLine(o.answers, &answer)
	if err == nil && answer.Error != "" {
		err = errors.New(answer.Error)
	}
	return answer, err
}

// execute sends a command to the host and returns its answer.
func (o *host) execute(command hostCommand) (hostAnswer, error) {
	if err := o.commands.Encode(command); err != nil {
		return hostAnswer{}, err
	}
	return o.answer()
}

// heapBytes returns the heap of all limiters of the host in bytes, after a garbage collection.
func (o *host) heapBytes() (float64, error) {
	answer, err := o.execute(hostCommand{Command: "stats"})
	return answer.HeapBytes, err
}

func (o *host) stop() {
	o.kill()
	for _, port := range o.ports {
		port.Close()
	}
}
