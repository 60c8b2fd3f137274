package soak

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ospreycroft/internal/lab/clockstep"
	"ospreycroft/internal/lab/runner"
	"ospreycroft/internal/lab/syscallshim"
)

const (
	// leaveGrace is how long after its client has left an attempt may still begin, and timeLeftSlack by how much the
	// time left that an attempt tells its server may exceed what its client has left. The operators allow both.
	leaveGrace    = 100 * time.Millisecond
	timeLeftSlack = 150 * time.Millisecond
	// recordMargin is added to both for the lab's own delay in recording a time, on a machine that runs all parties.
	// The runner adds the measured lag of the lab on top of it.
	recordMargin = 20 * time.Millisecond
	// lagInterval is the time between two measurements of the lab's own lag.
	lagInterval = 5 * time.Millisecond
)

// Finding is one reason for which a run fails.
type Finding struct {
	What   string // the broken rule, "process", "memory" or the log file
	Detail string
}

// Report is the result of a run.
type Report struct {
	Scenario   *Scenario
	Result     *runner.Result
	Calls      *syscallshim.Counts
	Lag        time.Duration // largest scheduling delay of the lab's own goroutines
	PeakMemory int64         // peak resident memory of any one limiter process, bytes
	Findings   []Finding
	Directory  string // with the run's files
}

// Pass reports whether the run has no findings.
func (r *Report) Pass() bool { return len(r.Findings) == 0 }

// Write writes the report: a line for the scenario, one for the verdict and one for each finding.
func (r *Report) Write(w io.Writer) {
	outcome := "pass"
	if !r.Pass() {
		outcome = "FAIL"
	}
	_, _ = fmt.Fprintf(w, "soak=%s %v calls_seen=%d calls_failed=%d calls_short=%d lab_lag=%v memory_mb=%d\n",
		outcome, r.Scenario, r.Calls.Seen.Load(), r.Calls.Failed.Load(), r.Calls.Short.Load(),
		r.Lag.Round(time.Millisecond), r.PeakMemory>>20)
	_, _ = fmt.Fprintf(w, "  %s\n", r.Result.Verdict.Line())
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(w, "  finding %s: %s\n", f.What, f.Detail)
	}
}

// Options configure how seeds are run.
type Options struct {
	Program  string  // path of the limiter program
	Launcher string  // path of a program that calls syscallshim.LaunchIfRequested and flood.SendIfRequested first
	Length   float64 // seconds of load
	Dir      string  // for the runs' files, in a directory for each seed
	Limiters int     // number of limiters; if 0, each seed draws it
}

// Run runs one seed. An error means that the run did not take place; a run that fails is reported by findings.
func Run(seed uint64, o Options) (*Report, error) {
	scenario, err := Draw(seed, o.Length, o.Program, o.Limiters)
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(o.Dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	p := &seedRun{scenario: scenario, options: o, dir: dir, counts: &syscallshim.Counts{}, limiterPorts: map[int]bool{}}
	if err := p.prepare(); err != nil {
		return nil, err
	}
	result, err := runner.RunWith(scenario.Experiment, dir, slog.New(slog.DiscardHandler), nil, runner.Extras{
		Command: p.command, Background: p.runAlongside,
		LeaveGrace: leaveGrace + recordMargin, TimeLeftSlack: timeLeftSlack + recordMargin,
		Lag: func() time.Duration { return time.Duration(p.maxLag.Load()) },
	})
	if err != nil {
		return nil, err
	}
	report := &Report{Scenario: scenario, Result: result, Calls: p.counts, Lag: time.Duration(p.maxLag.Load()),
		PeakMemory: p.memory.peak(), Directory: dir}
	for _, breach := range result.Verdict.Breaches {
		report.Findings = append(report.Findings, Finding{
			What:   fmt.Sprintf("rule %d at %.3f s", breach.Rule, float64(breach.At)/1e9),
			Detail: breach.What + " " + breach.Detail,
		})
	}
	for _, failure := range result.Failures {
		report.Findings = append(report.Findings, Finding{What: "process", Detail: failure.Error()})
	}
	report.Findings = append(report.Findings, memoryFindings(report.PeakMemory, scenario.Experiment.Limiters.Memory)...)
	report.Findings = append(report.Findings, p.readLogs()...)
	return report, nil
}

// seedRun is the run of one seed.
type seedRun struct {
	scenario     *Scenario
	options      Options
	dir          string
	clock        *clockstep.Clock  // nil if the wall clock is not stepped
	faults       *systemCallFaults // nil if the limiters run without the system call shim
	counts       *syscallshim.Counts
	memory       memoryMeter
	maxLag       atomic.Int64 // longest time that a goroutine of the lab waited for a processor, nanoseconds
	mutex        sync.Mutex
	limiterPorts map[int]bool // ports on which limiters listen; guarded by mutex
}

// prepare creates the clock, the system call faults and the operator file that limiters are started with.
func (p *seedRun) prepare() error {
	if p.scenario.ClockSteps {
		library, err := clockstep.Build(p.dir)
		if err != nil {
			return err
		}
		if p.clock, err = clockstep.New(library, filepath.Join(p.dir, "clock")); err != nil {
			return err
		}
	}
	if p.scenario.SystemCallFaultShare > 0 || p.scenario.DiskFaults {
		p.faults = &systemCallFaults{rng: rand.New(rand.NewPCG(p.scenario.Seed, 0x5ca1)),
			faultShare: p.scenario.SystemCallFaultShare, isLimiterPort: p.isLimiterPort}
	}
	if !p.scenario.DiskFaults {
		return nil
	}
	p.faults.failingDir = filepath.Join(p.dir, "lists")
	if err := os.MkdirAll(p.faults.failingDir, 0o755); err != nil {
		return err
	}
	text := fmt.Sprintf("installation = \"soak\"\n[snapshot]\npath = %q\noldest_s = 60.0\n", p.faults.failingDir)
	return os.WriteFile(p.operatorPath(), []byte(text), 0o600)
}

func (p *seedRun) operatorPath() string { return filepath.Join(p.dir, "operator.toml") }

// isLimiterPort reports whether a limiter listens for clients on a port.
func (p *seedRun) isLimiterPort(port int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.limiterPorts[port]
}

// command prepares a limiter's command with the stepped clock, the operator file and the system call shim, as far as
// the scenario has them. The caller calls started once the process has been started.
func (p *seedRun) command(_ int, command *exec.Cmd) (started func() error, err error) {
	p.recordPort(command.Env)
	if p.clock != nil {
		command.Env = append(command.Env, p.clock.Environment()...)
	}
	if p.scenario.DiskFaults {
		command.Env = append(command.Env, "GW_OPERATOR="+p.operatorPath())
	}
	supervise := func() error { return nil }
	if p.faults != nil {
		if supervise, err = syscallshim.Command(command, p.options.Launcher, p.faults.decide, p.counts); err != nil {
			return nil, err
		}
	}
	return func() error {
		p.memory.add(command, p.options.Program)
		return supervise()
	}, nil
}

// recordPort records the port on which a limiter will listen, from its environment.
func (p *seedRun) recordPort(environment []string) {
	for _, variable := range environment {
		address, found := strings.CutPrefix(variable, "GW_LISTEN=")
		if !found {
			continue
		}
		_, text, _ := net.SplitHostPort(address)
		port, _ := strconv.Atoi(text)
		p.mutex.Lock()
		p.limiterPorts[port] = true
		p.mutex.Unlock()
	}
}

// runAlongside runs the extra clients, clock steps, disk faults and measurements during the experiment, until stop is
// closed.
func (p *seedRun) runAlongside(lab *runner.Lab, stop <-chan struct{}) {
	var running sync.WaitGroup
	start := func(task func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			task()
		}()
	}
	start((&extraClients{scenario: p.scenario, lab: lab, launcher: p.options.Launcher, stop: stop}).run)
	start(func() { p.stepClock(stop) })
	start(func() { p.failDisk(stop) })
	start(func() { p.measureLag(stop) })
	start(func() { p.memory.run(stop) })
	running.Wait()
}

// measureLag measures how late the lab's own timers fire.
func (p *seedRun) measureLag(stop <-chan struct{}) {
	for {
		began := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		p.maxLag.Store(max(p.maxLag.Load(), int64(time.Since(began)-lagInterval)))
	}
}

// clockSteps are the offsets to which the wall clock is stepped.
var clockSteps = []time.Duration{
	0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second, 500 * time.Millisecond, -500 * time.Millisecond,
}

// stepClock steps the wall clock at random times, 0.5 to 3.5 s apart.
func (p *seedRun) stepClock(stop <-chan struct{}) {
	if p.clock == nil {
		return
	}
	rng := rand.New(rand.NewPCG(p.scenario.Seed, 0xc10c))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+rng.IntN(3000)) * time.Millisecond):
		}
		_ = p.clock.Step(clockSteps[rng.IntN(len(clockSteps))])
	}
}

// failDisk makes the disk fail and recover at random times, 0.3 to 2.8 s apart.
func (p *seedRun) failDisk(stop <-chan struct{}) {
	if !p.scenario.DiskFaults {
		return
	}
	rng := rand.New(rand.NewPCG(p.scenario.Seed, 0xd15c))
	for {
		select {
		case <-stop:
			p.faults.diskFails.Store(false)
			return
		case <-time.After(time.Duration(300+rng.IntN(2500)) * time.Millisecond):
		}
		p.faults.diskFails.Store(!p.faults.diskFails.Load())
	}
}

// forbiddenLogTexts are texts that show a failure in a limiter's log.
var forbiddenLogTexts = []string{"event=panic", "panic:", "fatal error:", "event=failed"}

// readLogs returns a finding for each log line with a forbidden text and for each log that cannot be opened.
func (p *seedRun) readLogs() (findings []Finding) {
	logs, _ := filepath.Glob(filepath.Join(p.dir, "n*.log"))
	for _, path := range logs {
		file, err := os.Open(path)
		if err != nil {
			findings = append(findings, Finding{What: "log", Detail: err.Error()})
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			for _, text := range forbiddenLogTexts {
				if strings.Contains(lines.Text(), text) {
					findings = append(findings, Finding{What: "log " + filepath.Base(path), Detail: lines.Text()})
				}
			}
		}
		_ = file.Close()
	}
	return findings
}
