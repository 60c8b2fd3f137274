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
	mostInHost  = 100             // hollow limiters in one process
	mostHosts   = 200             // processes in all
	mostMemory  = 12 << 30        // bytes of all hosts together, half of the lab's machine
	startWithin = 2 * time.Minute // hosts and limiters that take longer fail the run
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
	hollowMemory      = 3e6
	hollowServerBytes = 2e3
)

// process is a limiter's or a host's; ended is closed once it has ended.
type process struct {
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	once  sync.Once
}

// begin starts a command whose output goes to a file, added to what the file holds.
func begin(cmd *exec.Cmd, log string) (*process, error) {
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
	config  limiterConfig
	path    string // of its configuration
	port    *ports.Kept
	address string
}

// startReal starts limiter n of the stand-ins and waits until it answers PING with +PONG. The runtime logs each
// collection, which tells its heap.
func (h *Harness) startReal(s *stands, n, sockets int, known []byte) (*realLimiter, error) {
	port, err := ports.Keep()
	if err != nil {
		return nil, err
	}
	h.runs++
	name := fmt.Sprintf("real-%d", h.runs)
	l := &realLimiter{port: port, address: port.Address(), path: filepath.Join(h.options.Out, name+".json"),
		config: configOf(n, port.Address(), s.discovery.Address(n), s.counter.Address(n), sockets, known)}
	if err := l.write(); err != nil {
		return nil, err
	}
	cmd := exec.Command(h.options.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+l.path, "GW_NAME="+l.config.Name, "GW_LISTEN="+l.address,
		"GW_DISCOVERY="+l.config.Discovery, "GODEBUG=gctrace=1")
	log := filepath.Join(h.options.Out, name+".log")
	l.process, err = begin(cmd, log)
	if err != nil {
		return nil, &StartError{h.options.Program, log, err}
	}
	end := time.Now().Add(startWithin)
	for !ports.Pong(l.address) {
		if over := time.Now().After(end); over || !l.runs() {
			l.stop()
			return nil, &StartError{h.options.Program, log, errors.New("no +PONG")}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return l, nil
}

// write writes the limiter's configuration.
func (l *realLimiter) write() error {
	text, err := configText(l.config)
	if err != nil {
		return err
	}
	return os.WriteFile(l.path, text, 0o644)
}

func (l *realLimiter) runs() bool {
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

// collected finds the heap behind a collection, MB, in the runtime's own line on it.
var collected = regexp.MustCompile(`(?m)^gc \d+ .* \d+->\d+->(\d+) MB`)

// heap is the memory in use behind the latest collection, bytes in steps of 1 MB; 0 where there was none yet.
func (l *realLimiter) heap() float64 {
	text, err := os.ReadFile(l.log)
	if err != nil {
		return 0
	}
	all := collected.FindAllSubmatch(text, -1)
	if len(all) == 0 {
		return 0
	}
	mb, _ := strconv.Atoi(string(all[len(all)-1][1]))
	return float64(mb) * (1 << 20)
}

// host is a process of hollow limiters.
type host struct {
	*process
	ports []*ports.Kept
	in    *json.Encoder
	out   *bufio.Reader
	began float64
}

// startHollow starts hollow limiters from number first on, in as many processes as are needed, and waits until all
// run. Each begins with the known list.
func (h *Harness) startHollow(s *stands, first, count int, known []byte) ([]*host, error) {
	hosts := (count + mostInHost - 1) / mostInHost
	if hosts > mostHosts {
		return nil, &StartError{"hosts", h.options.Out, fmt.Errorf("%d processes, %d at most", hosts, mostHosts)}
	}
	need := float64(count) * (hollowMemory + hollowServerBytes*float64(len(s.list)))
	if have := procfs.Available(); have < need || need > mostMemory {
		return nil, &MemoryError{need, min(have, mostMemory)}
	}
	var all []*host
	errs := make(chan error, hosts)
	for i := range hosts {
		from := first + i*count/hosts
		to := first + (i+1)*count/hosts
		one, err := h.startHost(s, from, to, known, mostMemory/int64(hosts))
		if err != nil {
			stopHosts(all)
			return nil, err
		}
		all = append(all, one)
		go func() { errs <- one.awaitStart() }()
	}
	var err error
	for range hosts {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		stopHosts(all)
		return nil, err
	}
	return all, nil
}

func stopHosts(all []*host) {
	for _, one := range all {
		one.stop()
	}
}

func (h *Harness) startHost(s *stands, from, to int, known []byte, memory int64) (*host, error) {
	var kept []*ports.Kept
	spec := hostSpec{Known: known, Processors: 2, Memory: memory}
	for n := from; n < to; n++ {
		port, err := ports.Keep()
		if err != nil {
			return nil, err
		}
		kept = append(kept, port)
		spec.Limiters = append(
			spec.Limiters,
			configOf(n, port.Address(), s.discovery.Address(n), s.counter.Address(n), 1024, nil),
		)
	}
	one, err := h.startHostOf(spec)
	if err != nil {
		return nil, err
	}
	one.ports = kept
	return one, nil
}

// startHostOf starts a host and tells it what to be; it waits for no answer.
func (h *Harness) startHostOf(spec hostSpec) (*host, error) {
	one := &host{}
	h.runs++
	log := filepath.Join(h.options.Out, fmt.Sprintf("host-%d.log", h.runs))
	cmd := exec.Command(h.options.Host[0], h.options.Host[1:]...)
	cmd.Env = append(os.Environ(), HostVariable+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, written, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = written
	one.process, err = begin(cmd, log)
	_ = written.Close()
	if err != nil {
		return nil, &StartError{"host", log, err}
	}
	one.in, one.out = json.NewEncoder(in), bufio.NewReader(out)
	go func() { <-one.ended; _ = out.Close() }()
	if err := one.in.Encode(spec); err != nil {
		one.stop()
		return nil, &StartError{"host", log, err}
	}
	return one, nil
}

// awaitStart waits until all limiters of the host run.
func (o *host) awaitStart() error {
	answer, err := o.answer()
	if err != nil {
		return &StartError{"host", o.log, err}
	}
	o.began = answer.Began
	return nil
}

func (o *host) answer() (answer hostAnswer, err error) {
	err = readLine(o.out, &answer)
	if err == nil && answer.Error != "" {
		err = errors.New(answer.Error)
	}
	return answer, err
}

// do has the host obey one command.
func (o *host) do(command hostCommand) (hostAnswer, error) {
	if err := o.in.Encode(command); err != nil {
		return hostAnswer{}, err
	}
	return o.answer()
}

// heap is the memory in use by all limiters of the host, behind a collection.
func (o *host) heap() (float64, error) {
	answer, err := o.do(hostCommand{Do: "stats"})
	return answer.Heap, err
}

func (o *host) stop() {
	o.kill()
	for _, port := range o.ports {
		port.Close()
	}
}
