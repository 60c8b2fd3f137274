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
	starters    = 8                      // so many processes are started at once
	readyWithin = 30 * time.Second       // a limiter that takes longer to be ready fails the run
	together    = time.Second            // limiters that start together are started within so long
	frontTakes  = 300 * time.Millisecond // new connections come for so long after SIGTERM
	termExtra   = 700 * time.Millisecond // SIGKILL comes so long after the longest deadline, from SIGTERM
)

// limiter is one limiter of the run, through all its processes.
type limiter struct {
	n                     int
	name, config, logPath string
	port                  *ports.Kept

	mu    sync.Mutex
	state state
	dead  bool // killed or crashed, and not begun again
	// claimed: a restart starts the next process now. Two faults may end one process, and each restarts the limiter.
	claimed bool
	cmd     *exec.Cmd
	life    int           // of the record's lives, the present or latest
	ended   chan struct{} // closed when the present process has ended
	known   []byte        // the list of its first configuration
	gen     int64         // and its generation
}

// transition applies an event to limiter n and tells whether it could be; a crash is written down.
func (l *Lab) transition(lim *limiter, h processEvent, cause error) bool {
	lim.mu.Lock()
	to, crash, ok := next(lim.state, h)
	lim.state = to
	if ok {
		lim.dead = crash || h == shot || lim.dead && h != begun
	}
	lim.mu.Unlock()
	if crash {
		at := l.clock.Now()
		l.fail(&CrashError{Limiter: lim.n, At: at, Log: lim.logPath, Cause: cause}, "crash", lim, at)
	}
	return ok
}

// fail writes down what fails the run.
func (l *Lab) fail(err error, kind string, lim *limiter, at int64) {
	l.book.AddEvent(history.Event{At: at, Kind: kind, Target: party(lim.n),
		Detail: err.Error() + " (" + lim.logPath + ")"})
	l.mu.Lock()
	l.failures = append(l.failures, err)
	l.mu.Unlock()
}

// signal sends a signal to the limiter's process if the event that goes with it can be.
func (l *Lab) signal(lim *limiter, h processEvent, s syscall.Signal) bool {
	if !l.transition(lim, h, nil) {
		return false
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.cmd.Process.Signal(s) == nil
}

// sendSignal sends a signal that changes no state of the process.
func (l *Lab) sendSignal(lim *limiter, s syscall.Signal) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.state != absent && lim.state != killed {
		_ = lim.cmd.Process.Signal(s)
	}
}

// begin starts limiter n's program with a configuration as DEPLOY.md gives it; its list is the present one, or the one
// of its first start. It waits for no answer.
func (l *Lab) begin(lim *limiter, oldList bool) error {
	if err := l.configure(lim, oldList); err != nil {
		return err
	}
	return l.exec(lim)
}

// configure writes the limiter's configuration.
func (l *Lab) configure(lim *limiter, oldList bool) error {
	list := l.discovery.Whole(lim.n)
	known, gen := lim.known, lim.gen
	if !oldList || known == nil {
		known, _ = json.Marshal(list)
		gen = list.Generation
		if lim.known == nil {
			lim.known, lim.gen = known, gen
		}
	}
	l.mu.Lock()
	l.lives = append(l.lives, history.Process{Limiter: lim.n, ListGeneration: gen})
	lim.life = len(l.lives) - 1
	l.mu.Unlock()
	set := map[string]json.RawMessage{}
	text := l.e.Text
	if lim.n >= l.e.Limiters.Count-l.e.Limiters.Moved {
		text = l.e.MovedText
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return err
	}
	set["position"] = json.RawMessage(strconv.Itoa(lim.n))
	config := map[string]any{"name": lim.name, "listen": lim.port.Address(), "discovery": l.discoveryOf(lim.n),
		"seed":   fmt.Sprintf("%016x", l.e.Seed+uint64(lim.n)*0x9e3779b97f4a7c15+uint64(l.clock.Now())),
		"limits": map[string]any{"cores": 1.0, "memory_mb": l.e.Limiters.Memory, "sockets": l.e.Limiters.Sockets},
		"known":  json.RawMessage(known), "settings": set}
	if l.counter != nil {
		config["counter"] = l.counterOf(lim.n)
	}
	whole, _ := json.Marshal(config)
	return os.WriteFile(lim.config, whole, 0o644)
}

// exec starts the configured program and watches for its end.
func (l *Lab) exec(lim *limiter) error {
	failed := func(err error) error {
		err = &StartError{Limiter: lim.n, Program: l.e.Limiters.Program, Log: lim.logPath, Cause: err}
		l.fail(err, "never-started", lim, l.clock.Now())
		return err
	}
	out, err := os.OpenFile(lim.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failed(err)
	}
	cmd := exec.Command(l.e.Limiters.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+lim.config, "GW_NAME="+lim.name, "GW_LISTEN="+lim.port.Address(),
		"GW_DISCOVERY="+l.discoveryOf(lim.n))
	if calls := l.e.Limiters.ListCalls; calls > 0 {
		stated := lim.config + ".operator"
		if err := os.WriteFile(stated, fmt.Appendf(nil, "list_calls_per_s = %g\n", calls), 0o644); err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "GW_OPERATOR="+stated)
	}
	cmd.Stdout = out
	cmd.Stderr = out
	if err := l.startCommand(lim.n, cmd); err != nil {
		_ = out.Close()
		return failed(err)
	}
	ended := make(chan struct{})
	lim.mu.Lock()
	lim.cmd, lim.ended = cmd, ended
	life := lim.life
	lim.mu.Unlock()
	l.transition(lim, begun, nil)
	l.refuse(party(lim.n), false)
	l.lived(life, func(r *history.Process) { r.Started = l.clock.Now() })
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		l.lived(life, func(r *history.Process) {
			r.Ended = l.clock.Now()
			if err != nil {
				r.End = err.Error()
			}
		})
		lim.mu.Lock()
		planned := lim.state == leaving
		lim.mu.Unlock()
		if planned { // of any other end the front does not know yet
			l.front[lim.n].Store(false)
		}
		l.transition(lim, exited, err)
		l.refuse(party(lim.n), true)
		close(ended)
	}()
	return nil
}

// startCommand starts a limiter's command, with what the extras have prepared it for.
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

// lived changes an entry of the record's lives.
func (l *Lab) lived(life int, change func(*history.Process)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.lives[life])
}

// await waits until the limiter answers PING with +PONG, as the front does before it sends anything, and lets the front
// in. One that ends meanwhile is not waited for: its end is told elsewhere.
func (l *Lab) await(lim *limiter, life int, ended chan struct{}, stop chan struct{}) error {
	end := time.Now().Add(l.within)
	pause := 20 * time.Millisecond
	for time.Now().Before(end) {
		if ports.Pong(lim.port.Address()) {
			l.lived(life, func(r *history.Process) { r.Ready = l.clock.Now() })
			l.transition(lim, answered, nil)
			l.front[lim.n].Store(true)
			return nil
		}
		select {
		case <-ended:
			return nil
		case <-stop:
			return nil
		case <-time.After(pause):
			pause = min(pause*2, 100*time.Millisecond)
		}
	}
	err := &ReadyTimeoutError{Limiter: lim.n, Timeout: l.within, Log: lim.logPath}
	l.fail(err, "never-ready", lim, l.clock.Now())
	return err
}

// awaited waits for the limiter's present process.
func (l *Lab) awaited(lim *limiter) error { return l.await(lim, lim.life, lim.ended, nil) }

// startAll starts all limiters as fast as that goes and waits until all are ready or have failed.
// Their configurations are written before the first starts.
func (l *Lab) startAll() error {
	for n := range l.e.Limiters.Count {
		port, err := ports.Keep()
		if err != nil {
			return err
		}
		lim := &limiter{n: n, name: fmt.Sprintf("n%d", n), port: port,
			config: filepath.Join(
				l.dir,
				fmt.Sprintf("n%d.json", n),
			), logPath: filepath.Join(l.dir, fmt.Sprintf("n%d.log", n))}
		l.limiters = append(l.limiters, lim)
		if err := l.join(n); err != nil {
			return err
		}
		if err := l.configure(lim, false); err != nil {
			return err
		}
	}
	var wait, begun sync.WaitGroup
	errs := make([]error, len(l.limiters))
	began := time.Now()
	for hand := range starters {
		begun.Add(1)
		go func() {
			defer begun.Done()
			for i := hand; i < len(l.limiters); i += starters {
				errs[i] = l.exec(l.limiters[i])
				if errs[i] == nil {
					wait.Add(1)
					go func() { defer wait.Done(); errs[i] = l.awaited(l.limiters[i]) }()
				}
			}
		}()
	}
	begun.Wait()
	if took := time.Since(began); l.e.Limiters.Start == "together" && took > together {
		errs = append(errs, &StartSpreadError{took})
		l.fail(errs[len(errs)-1], "not-together", l.limiters[0], l.clock.Now())
	}
	wait.Wait()
	return errors.Join(errs...)
}

// restart starts a limiter again once its process has ended and the delay has passed, and lets the front in when ready.
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
	l.front[lim.n].Store(false)
	l.book.AddEvent(history.Event{At: l.clock.Now(), Kind: "restart", Target: party(lim.n)})
	err := l.begin(lim, oldList)
	lim.releaseStart()
	if err == nil {
		_ = l.await(lim, lim.life, lim.ended, stop)
	}
}

// claimStart has its caller start the limiter's next process, unless there is one or another restart starts it.
func (lim *limiter) claimStart() bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.state != absent || lim.claimed {
		return false
	}
	lim.claimed = true
	return true
}

// releaseStart ends the claim, once the process is there or could not be started.
func (lim *limiter) releaseStart() {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.claimed = false
}

// term ends a limiter as a planned restart does: SIGTERM, new connections for a while yet, and SIGKILL if it still
// lives when every client's time is over.
func (l *Lab) term(lim *limiter, stop chan struct{}) {
	target := party(lim.n)
	if !l.signal(lim, asked, syscall.SIGTERM) {
		return
	}
	ended := lim.ended
	l.book.AddEvent(history.Event{At: l.clock.Now(), Kind: "term", Target: target})
	l.after(frontTakes, ended, stop, func() { l.front[lim.n].Store(false) })
	l.after(time.Duration(l.e.LongestCutOff())+termExtra, ended, stop, func() {
		if l.signal(lim, shot, syscall.SIGKILL) {
			l.book.AddEvent(history.Event{At: l.clock.Now(), Kind: "term-kill", Target: target})
		}
	})
}

// after does what is due after a time, unless the process has ended by then.
func (l *Lab) after(wait time.Duration, ended, stop chan struct{}, do func()) {
	l.task(func() {
		select {
		case <-time.After(wait):
			do()
		case <-ended:
		case <-stop:
		}
	})
}

// task runs do on a goroutine that the run waits for.
func (l *Lab) task(do func()) {
	l.tasks.Add(1)
	go func() { defer l.tasks.Done(); do() }()
}

// end ends all processes: SIGTERM, and SIGKILL 200 ms later; it waits for every one.
func (l *Lab) end() {
	for _, lim := range l.limiters {
		lim.mu.Lock()
		was := lim.state
		lim.mu.Unlock()
		if was == paused {
			l.signal(lim, shot, syscall.SIGKILL) // it would not hear SIGTERM
		}
		l.signal(lim, asked, syscall.SIGTERM)
	}
	soon := time.After(200 * time.Millisecond)
	for _, lim := range l.limiters {
		if lim.ended == nil {
			continue
		}
		select {
		case <-lim.ended:
			continue
		case <-soon:
			soon = closed
		}
		l.signal(lim, shot, syscall.SIGKILL)
		<-lim.ended
	}
	for _, lim := range l.limiters {
		lim.port.Close()
	}
}

// closed is a time that has come.
var closed = func() chan time.Time { c := make(chan time.Time); close(c); return c }()
