package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/ports"
)

const (
	concurrentStarts    = 8                // processes that startAll starts concurrently
	defaultReadyTimeout = 30 * time.Second // a process that is not ready by then fails the run
	maxStartSpread      = time.Second      // with start = "together", all processes start within it
	// rotationDelay is how long after SIGTERM clients still open new connections to a limiter.
	rotationDelay = 300 * time.Millisecond
	// killMargin is how long after SIGTERM, on top of the longest time that a client waits, SIGKILL follows.
	killMargin = 700 * time.Millisecond
)

// limiter is one limiter of the run, across the restarts of its process.
type limiter struct {
	index                 int             // number of the limiter, from 0
	name, config, logPath string          // config and logPath are paths of files
	port                  *ports.Reserved // address of all its processes

	mu    sync.Mutex
	state state
	dead  bool // killed or crashed, and not started again
	// startClaimed is set while a restart starts the next process. Two faults can end the same process, and each of
	// them restarts the limiter; only one may start a process.
	startClaimed   bool
	cmd            *exec.Cmd
	entry          int           // index in Lab.processes of the current or latest process
	ended          chan struct{} // closed once the current process has ended
	knownList      []byte        // endpoint list of its first configuration, in JSON
	listGeneration int64         // generation of knownList
}

// transition applies an event to the limiter's process and reports whether the event is possible in its state. It
// records a crash with its cause, which may be nil.
func (l *Lab) transition(lim *limiter, event processEvent, cause error) bool {
	lim.mu.Lock()
	to, crash, ok := nextState(lim.state, event)
	lim.state = to
	if ok {
		lim.dead = crash || event == killEvent || lim.dead && event != startedEvent
	}
	lim.mu.Unlock()
	if crash {
		at := l.clock.Now()
		l.fail(&CrashError{Limiter: lim.index, At: at, Log: lim.logPath, Cause: cause}, "crash", lim, at)
	}
	return ok
}

// fail records an event and an error that fail the run. at is in nanoseconds on the run's clock.
func (l *Lab) fail(err error, kind string, lim *limiter, at int64) {
	l.recorder.AddEvent(history.Event{At: at, Kind: kind, Target: targetOf(lim.index),
		Detail: err.Error() + " (" + lim.logPath + ")"})
	l.mu.Lock()
	l.failures = append(l.failures, err)
	l.mu.Unlock()
}

// transitionAndSignal applies an event and sends its signal to the limiter's process. It reports false, without sending
// anything, if the event is impossible in the process's state, and also if sending fails.
func (l *Lab) transitionAndSignal(lim *limiter, event processEvent, sig syscall.Signal) bool {
	if !l.transition(lim, event, nil) {
		return false
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.cmd.Process.Signal(sig) == nil
}

// sendSignal sends a running process a signal that does not change its state.
func (l *Lab) sendSignal(lim *limiter, sig syscall.Signal) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.state != absent && lim.state != killed {
		_ = lim.cmd.Process.Signal(sig)
	}
}

// startProcess writes the limiter's configuration and starts its program, without waiting until it is ready. The
// configured endpoint list is the current one or, with oldList, that of the limiter's first start.
func (l *Lab) startProcess(lim *limiter, oldList bool) error {
	if err := l.writeConfig(lim, oldList); err != nil {
		return err
	}
	return l.exec(lim)
}

// writeConfig writes the configuration of the limiter's next process and adds that process to the record. The last
// Limiters.Moved limiters get the settings of the table moved.
func (l *Lab) writeConfig(lim *limiter, oldList bool) error {
	list := l.discovery.FullList(lim.index)
	knownList, listGeneration := lim.knownList, lim.listGeneration
	if !oldList || knownList == nil {
		knownList, _ = json.Marshal(list)
		listGeneration = list.Generation
		if lim.knownList == nil {
			lim.knownList, lim.listGeneration = knownList, listGeneration
		}
	}
	l.mu.Lock()
	l.processes = append(l.processes, history.Process{Limiter: lim.index, ListGeneration: listGeneration})
	lim.entry = len(l.processes) - 1
	l.mu.Unlock()
	settings := map[string]json.RawMessage{}
	text := l.exp.Text
	if lim.index >= l.exp.Limiters.Count-l.exp.Limiters.Moved {
		text = l.exp.MovedText
	}
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	settings["position"] = json.RawMessage(strconv.Itoa(lim.index))
	config := map[string]any{"name": lim.name, "listen": lim.port.Address(), "discovery": l.discoveryAddress(lim.index),
		"seed":   fmt.Sprintf("%016x", l.exp.Seed+uint64(lim.index)*0x9e3779b97f4a7c15+uint64(l.clock.Now())),
		"limits": map[string]any{"cores": 1.0, "memory_mb": l.exp.Limiters.Memory, "sockets": l.exp.Limiters.Sockets},
		"known":  json.RawMessage(knownList), "settings": settings}
	if l.counter != nil {
		config["counter"] = l.counterAddress(lim.index)
	}
	data, _ := json.Marshal(config)
	return os.WriteFile(lim.config, data, 0o644)
}

// exec starts the configured program and a goroutine that waits for its end. It records a program that cannot be
// started as a *StartError.
func (l *Lab) exec(lim *limiter) error {
	startFailed := func(err error) error {
		err = &StartError{Limiter: lim.index, Program: l.exp.Limiters.Program, Log: lim.logPath, Cause: err}
		l.fail(err, "never-started", lim, l.clock.Now())
		return err
	}
	logFile, err := os.OpenFile(lim.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return startFailed(err)
	}
	cmd := exec.Command(l.exp.Limiters.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+lim.config, "GW_NAME="+lim.name, "GW_LISTEN="+lim.port.Address(),
		"GW_DISCOVERY="+l.discoveryAddress(lim.index))
	if calls := l.exp.Limiters.ListCalls; calls > 0 {
		operatorPath := lim.config + ".operator"
		if err := os.WriteFile(operatorPath, fmt.Appendf(nil, "list_calls_per_s = %g\n", calls), 0o644); err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "GW_OPERATOR="+operatorPath)
	}
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := l.startCommand(lim.index, cmd); err != nil {
		_ = logFile.Close()
		return startFailed(err)
	}
	ended := make(chan struct{})
	lim.mu.Lock()
	lim.cmd, lim.ended = cmd, ended
	entry := lim.entry
	lim.mu.Unlock()
	l.transition(lim, startedEvent, nil)
	l.setRefusing(targetOf(lim.index), false)
	l.updateProcess(entry, func(p *history.Process) { p.Started = l.clock.Now() })
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		l.updateProcess(entry, func(p *history.Process) {
			p.Ended = l.clock.Now()
			if err != nil {
				p.End = err.Error()
			}
		})
		lim.mu.Lock()
		planned := lim.state == terminating
		lim.mu.Unlock()
		if planned { // the load balancer does not notice any other end at once
			l.inRotation[lim.index].Store(false)
		}
		l.transition(lim, exitEvent, err)
		l.setRefusing(targetOf(lim.index), true)
		close(ended)
	}()
	return nil
}

// startCommand starts a limiter's command with the preparation of Extras.Command. If the callback after the start
// fails, it kills the process.
func (l *Lab) startCommand(n int, cmd *exec.Cmd) (err error) {
	started := func() error { return nil }
	if l.extras.Command != nil {
		if started, err = l.extras.Command(n, cmd); err != nil {
			return err
		}
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	if err := started(); err != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return err
	}
	return nil
}

// updateProcess applies change to an entry of Lab.processes.
func (l *Lab) updateProcess(entry int, change func(*history.Process)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.processes[entry])
}

// awaitReady polls the limiter with PING until it answers +PONG, as the load balancer in front of the limiters does,
// and then puts it into rotation. It returns nil without that if the process ends, whose goroutine in exec records it,
// or if stop is closed. After Lab.readyTimeout it records and returns a *ReadyTimeoutError.
func (l *Lab) awaitReady(lim *limiter, entry int, ended chan struct{}, stop chan struct{}) error {
	deadline := time.Now().Add(l.readyTimeout)
	pollInterval := 20 * time.Millisecond
	for time.Now().Before(deadline) {
		if ports.AnswersPing(lim.port.Address()) {
			l.updateProcess(entry, func(p *history.Process) { p.Ready = l.clock.Now() })
			l.transition(lim, readyEvent, nil)
			l.inRotation[lim.index].Store(true)
			return nil
		}
		select {
		case <-ended:
			return nil
		case <-stop:
			return nil
		case <-time.After(pollInterval):
			pollInterval = min(pollInterval*2, 100*time.Millisecond)
		}
	}
	err := &ReadyTimeoutError{Limiter: lim.index, Timeout: l.readyTimeout, Log: lim.logPath}
	l.fail(err, "never-ready", lim, l.clock.Now())
	return err
}

// awaitLatest waits until the limiter's latest process is ready or has ended.
func (l *Lab) awaitLatest(lim *limiter) error { return l.awaitReady(lim, lim.entry, lim.ended, nil) }

// startAll writes all configurations, then starts the limiters concurrently and waits until each is ready, has ended or
// has timed out. It returns the errors joined.
func (l *Lab) startAll() error {
	for index := range l.exp.Limiters.Count {
		port, err := ports.Reserve()
		if err != nil {
			return err
		}
		lim := &limiter{index: index, name: fmt.Sprintf("n%d", index), port: port,
			config: filepath.Join(
				l.dir,
				fmt.Sprintf("n%d.json", index),
			), logPath: filepath.Join(l.dir, fmt.Sprintf("n%d.log", index))}
		l.limiters = append(l.limiters, lim)
		if err := l.addLinks(index); err != nil {
			return err
		}
		if err := l.writeConfig(lim, false); err != nil {
			return err
		}
	}
	var awaiting, launching sync.WaitGroup
	errs := make([]error, len(l.limiters))
	startedAt := time.Now()
	for worker := range concurrentStarts {
		launching.Add(1)
		go func() {
			defer launching.Done()
			for i := worker; i < len(l.limiters); i += concurrentStarts {
				errs[i] = l.exec(l.limiters[i])
				if errs[i] == nil {
					awaiting.Add(1)
					go func() { defer awaiting.Done(); errs[i] = l.awaitLatest(l.limiters[i]) }()
				}
			}
		}()
	}
	launching.Wait()
	if took := time.Since(startedAt); l.exp.Limiters.Start == "together" && took > maxStartSpread {
		errs = append(errs, &StartSpreadError{took})
		l.fail(errs[len(errs)-1], "not-together", l.limiters[0], l.clock.Now())
	}
	awaiting.Wait()
	return errors.Join(errs...)
}

// restart waits until the limiter's process has ended and the delay has passed, starts the next process and waits until
// it is ready. It does nothing if stop is closed first or another restart starts the process.
func (l *Lab) restart(lim *limiter, delay time.Duration, oldList bool, stop chan struct{}) {
	select {
	case <-lim.ended:
	case <-stop:
		return
	}
	select {
	case <-time.After(delay):
	case <-stop:
		return
	}
	if !lim.claimStart() {
		return
	}
	l.inRotation[lim.index].Store(false)
	l.recorder.AddEvent(history.Event{At: l.clock.Now(), Kind: "restart", Target: targetOf(lim.index)})
	err := l.startProcess(lim, oldList)
	lim.releaseStart()
	if err == nil {
		_ = l.awaitReady(lim, lim.entry, lim.ended, stop)
	}
}

// claimStart reports whether the caller is to start the limiter's next process. It is false while a process exists or
// another restart starts one.
func (lim *limiter) claimStart() bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.state != absent || lim.startClaimed {
		return false
	}
	lim.startClaimed = true
	return true
}

// releaseStart ends the claim once the process has been started or could not be.
func (lim *limiter) releaseStart() {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.startClaimed = false
}

// terminate shuts a limiter down as a planned restart does: it sends SIGTERM, takes the limiter out of rotation after
// rotationDelay and sends SIGKILL if the process still runs once no client waits any longer.
func (l *Lab) terminate(lim *limiter, stop chan struct{}) {
	target := targetOf(lim.index)
	if !l.transitionAndSignal(lim, termEvent, syscall.SIGTERM) {
		return
	}
	ended := lim.ended
	l.recorder.AddEvent(history.Event{At: l.clock.Now(), Kind: "term", Target: target})
	l.afterUnlessEnded(rotationDelay, ended, stop, func() { l.inRotation[lim.index].Store(false) })
	l.afterUnlessEnded(time.Duration(l.exp.LongestTimeout())+killMargin, ended, stop, func() {
		if l.transitionAndSignal(lim, killEvent, syscall.SIGKILL) {
			l.recorder.AddEvent(history.Event{At: l.clock.Now(), Kind: "term-kill", Target: target})
		}
	})
}

// afterUnlessEnded calls do after delay, unless the process has ended or stop is closed by then.
func (l *Lab) afterUnlessEnded(delay time.Duration, ended, stop chan struct{}, do func()) {
	l.runTask(func() {
		select {
		case <-time.After(delay):
			do()
		case <-ended:
		case <-stop:
		}
	})
}

// runTask calls do on a goroutine that the run waits for.
func (l *Lab) runTask(do func()) {
	l.tasks.Add(1)
	go func() { defer l.tasks.Done(); do() }()
}

// stopAll ends all processes with SIGTERM, and with SIGKILL those that still run 200 ms later. It waits for all of them
// and releases the ports.
func (l *Lab) stopAll() {
	for _, lim := range l.limiters {
		lim.mu.Lock()
		current := lim.state
		lim.mu.Unlock()
		if current == paused {
			l.transitionAndSignal(lim, killEvent, syscall.SIGKILL) // a stopped process does not handle SIGTERM
		}
		l.transitionAndSignal(lim, termEvent, syscall.SIGTERM)
	}
	grace := time.After(200 * time.Millisecond)
	for _, lim := range l.limiters {
		if lim.ended == nil {
			continue
		}
		select {
		case <-lim.ended:
			continue
		case <-grace:
			grace = closedTimer
		}
		l.transitionAndSignal(lim, killEvent, syscall.SIGKILL)
		<-lim.ended
	}
	for _, lim := range l.limiters {
		lim.port.Close()
	}
}

// closedTimer is a timer channel that is always ready: it replaces the grace period once that has passed.
var closedTimer = func() chan time.Time { c := make(chan time.Time); close(c); return c }()
