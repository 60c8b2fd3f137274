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

// HostVariable is set in the environment of a process that is to be a host of hollow limiters (HostMain).
const HostVariable = "TESTLAB_SCALE_HOST"

const (
	maxLimitersPerHost = 100             // hollow limiters in one process
	maxHosts           = 200             // processes in all
	maxHostMemory      = 12 << 30        // bytes of all hosts together, half of the lab's machine
	startTimeout       = 2 * time.Minute // hosts and limiters that take longer fail the run
)

// StartError is a process of a run that did not come up.
type StartError struct {
	What, Log string
	Cause     error
}

// Error says what happened.
func (e *StartError) Error() string { return fmt.Sprintf("%s did not start: %v", e.What, e.Cause) }

// Unwrap is why.
func (e *StartError) Unwrap() error { return e.Cause }

// Hint says what to do about it.
func (e *StartError) Hint() string {
	return "build the programs (go build -o bin/ ./cmd/...) and see " + e.Log
}

// MemoryError is a fleet of hollow limiters for which the machine has too little memory.
type MemoryError struct{ Need, Have float64 }

// Error says what happened.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("hollow limiters may take %.1f GB, and %.1f GB can be had", e.Need/1e9, e.Have/1e9)
}

// Hint says what to do about it.
func (e *MemoryError) Hint() string {
	return "end what holds the memory, or run with nothing beside it"
}

// What a hollow limiter may take, bytes, before its garbage is collected: measured with room to spare.
const (
	hollowLimiterBytes = 3e6
	hollowServerBytes  = 2e3
)

// process is a limiter's or a host's; ended is closed once it has ended.
type process struct {
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	once  sync.Once
}

// startProcess starts a command whose output goes to a file, added to what the file holds.
func startProcess(cmd *exec.Cmd, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	if cmd.Stdout == nil {
		cmd.Stdout = out
	}
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the harness
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

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.ended
}

// realLimiter is the program as it is started in production.
type realLimiter struct {
	*process
	config     limiterConfig
	configPath string // of its configuration
	port       *ports.Kept
	address    string
}

// startRealLimiter starts limiter n of the stand-ins and waits until it answers PING with +PONG. The runtime logs each
// collection, which tells its heap.
func (h *Harness) startRealLimiter(s *standIns, n, sockets int, known []byte) (*realLimiter, error) {
	port, err := ports.Keep()
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
	for !ports.Pong(l.address) {
		if expired := time.Now().After(deadline); expired || !l.running() {
			l.stop()
			return nil, &StartError{h.options.Program, log, errors.New("no +PONG")}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return l, nil
}

// writeConfig writes the limiter's configuration.
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

// collectionLine finds the heap behind a collection, MB, in the runtime's own line on it.
var collectionLine = regexp.MustCompile(`(?m)^gc \d+ .* \d+->\d+->(\d+) MB`)

// heapBytes is the memory in use behind the latest collection, bytes in steps of 1 MB; 0 where there was none yet.
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

// host is a process of hollow limiters.
type host struct {
	*process
	ports        []*ports.Kept
	commands     *json.Encoder
	answers      *bufio.Reader
	startSeconds float64
}

// startHollowLimiters starts hollow limiters from number first on, in as many processes as are needed, and waits until all
// run. Each begins with the known list.
func (h *Harness) startHollowLimiters(s *standIns, first, count int, known []byte) ([]*host, error) {
	hosts := (count + maxLimitersPerHost - 1) / maxLimitersPerHost
	if hosts > maxHosts {
		return nil, &StartError{"hosts", h.options.Out, fmt.Errorf("%d processes, %d at most", hosts, maxHosts)}
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
	var reserved []*ports.Kept
	spec := hostSpec{Known: known, Processors: 2, MemoryBytes: memory}
	for n := from; n < to; n++ {
		port, err := ports.Keep()
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

// startHostProcess starts a host and tells it what to be; it waits for no answer.
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

// execute has the host obey one command.
func (o *host) execute(command hostCommand) (hostAnswer, error) {
	if err := o.commands.Encode(command); err != nil {
		return hostAnswer{}, err
	}
	return o.answer()
}

// heapBytes is the memory in use by all limiters of the host, behind a collection.
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
