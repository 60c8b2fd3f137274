// Package runner plays one experiment: it starts the emulator, starts the limiters as the platform would, plays
// the timeline of faults, drives the load and judges the records by the five rules.
package runner

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/load"
	"ospreycroft/internal/lab/record"
	"ospreycroft/internal/lab/rules"
)

// Lab is one run's emulator and limiters.
type Lab struct {
	e         *experiment.Experiment
	dir       string
	log       *slog.Logger
	clock     *record.Clock
	book      *record.Book
	discovery *emulator.Discovery
	counter   *emulator.Counter
	servers   []*emulator.Server
	limiters  []*limiter
	replaced  int
}

type limiter struct {
	name, listen, config, logPath string
	cmd                           *exec.Cmd
}

// Result is what a run leaves: its record and verdict.
type Result struct {
	Run     *record.Run
	Verdict *rules.Verdict
}

// Run plays e with its files (configurations, limiters' logs) in dir.
func Run(e *experiment.Experiment, dir string, log *slog.Logger, progress func(float64)) (*Result, error) {
	lab := &Lab{e: e, dir: dir, log: log, clock: record.NewClock(), book: &record.Book{}}
	lab.discovery = emulator.NewDiscovery(lab.clock, lab.scriptOf("discovery"))
	defer lab.close()
	if err := lab.start(); err != nil {
		return nil, err
	}
	driver := load.New(e, lab.clock, lab.book, func(n int) string { return lab.limiters[n].listen })
	stop := make(chan struct{})
	played := make(chan struct{})
	go func() { lab.play(stop); close(played) }()
	log.Info("load", "rate", e.Load.Rate, "seconds", e.Length, "limiters", e.Limiters.Count,
		"servers", len(lab.servers))
	driver.Run(progress)
	close(stop)
	<-played
	jobs, shots, events := lab.book.Copy()
	t := rules.Terms{Late: int64(50 * time.Millisecond), Grace: experiment.Nanos(e.Grace),
		Slack: experiment.Nanos(e.Slack), SlackShare: e.SlackShare, SlackUnits: e.SlackUnits}
	verdict := rules.Judge(jobs, shots, events, e.Settings, t)
	text, _ := json.Marshal(verdict)
	run := &record.Run{Name: e.Name, Seed: e.Seed, Length: experiment.Nanos(e.Length),
		Limiters: e.Limiters.Count, Settings: e.Text, Jobs: jobs, Shots: shots, Events: events, Verdict: text}
	run.Latency, _ = json.Marshal(Latencies(jobs))
	return &Result{Run: run, Verdict: verdict}, nil
}

func (l *Lab) start() error {
	if err := l.discovery.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if l.e.Counter.On {
		l.counter = emulator.NewCounter(l.clock, l.book, l.scriptOf("counter"), l.e.Limiters.Count)
		if err := l.counter.Start(); err != nil {
			return err
		}
	}
	groups := map[string]*emulator.Repeats{}
	for _, p := range l.e.Servers {
		if p.Repeats > 0 && groups[p.Zone] == nil {
			groups[p.Zone] = emulator.NewRepeats(experiment.Nanos(p.Repeats))
		}
		for i := range p.Count {
			if err := l.addServer(p, fmt.Sprintf("%s-%d", p.Name, i), groups[p.Zone]); err != nil {
				return err
			}
		}
	}
	for n := range l.e.Limiters.Count {
		listen, err := freePort()
		if err != nil {
			return err
		}
		lim := &limiter{name: fmt.Sprintf("n%d", n), listen: listen,
			config: filepath.Join(l.dir, fmt.Sprintf("n%d.json", n)), logPath: filepath.Join(l.dir, fmt.Sprintf("n%d.log", n))}
		l.limiters = append(l.limiters, lim)
		if err := l.startLimiter(n); err != nil {
			return err
		}
	}
	for n := range l.limiters {
		if err := l.ready(n, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// scriptOf is the emulator's script for a target: the entries that name it, or its pool, by an emulator kind.
func (l *Lab) scriptOf(names ...string) []emulator.Fault {
	var out []emulator.Fault
	for _, f := range l.e.Faults {
		for _, name := range names {
			if f.Target == name && f.Kind != "drain" && f.Kind != "gone" && f.Kind != "replace" {
				out = append(out, emulator.Fault{Kind: f.Kind, From: experiment.Nanos(f.From),
					Until: experiment.Nanos(f.Until), Factor: f.Factor, Share: f.Share})
			}
		}
	}
	return out
}

func (l *Lab) addServer(p experiment.Pool, name string, repeats *emulator.Repeats) error {
	spec := emulator.ServerSpec{Name: name, Zone: p.Zone, Work: time.Duration(p.Work * float64(time.Second)),
		Capacity: p.Capacity, Report: p.Report, Slots: p.Slots, Conns: p.Conns, ColdFrom: p.ColdFrom, WarmWithin: time.Duration(p.WarmWithin * float64(time.Second)),
		Script: l.scriptOf("server:"+name, "pool:"+p.Name), Seed: l.e.Seed ^ uint64(len(l.servers)+1)<<8}
	s := emulator.NewServer(spec, l.clock, l.book, repeats)
	if err := s.Start("127.0.0.1:0"); err != nil {
		return err
	}
	l.servers = append(l.servers, s)
	l.discovery.Set(l.instance(s, "in_service"))
	return nil
}

func (l *Lab) instance(s *emulator.Server, lifecycle string) emulator.Instance {
	started := int64(0)
	if s.Started() > int64(time.Second) {
		started = time.Now().Add(-time.Duration(l.clock.Now() - s.Started())).UnixMilli()
	}
	return emulator.Instance{ID: s.Name(), HostPort: s.Address(), Zone: s.Zone(), Machine: "lab", Lifecycle: lifecycle,
		Weight: 1, StartedMs: started}
}

func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// startLimiter writes limiter n's configuration, as DEPLOY.md gives it, and starts the program.
func (l *Lab) startLimiter(n int) error {
	lim := l.limiters[n]
	known, _ := json.Marshal(l.discovery.Whole())
	set := map[string]json.RawMessage{}
	text := l.e.Text
	if n >= l.e.Limiters.Count-l.e.Limiters.Moved {
		text = l.e.MovedText
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return err
	}
	set["position"] = json.RawMessage(strconv.Itoa(n))
	config := map[string]any{"name": lim.name, "listen": lim.listen, "discovery": l.discovery.Address(),
		"seed":   fmt.Sprintf("%016x", l.e.Seed+uint64(n)*0x9e3779b97f4a7c15+uint64(l.clock.Now())),
		"limits": map[string]any{"cores": 1.0, "memory_mb": l.e.Limiters.Memory, "sockets": l.e.Limiters.Sockets},
		"known":  json.RawMessage(known), "settings": set}
	if l.counter != nil {
		config["counter"] = l.counter.Address(n)
	}
	whole, _ := json.Marshal(config)
	if err := os.WriteFile(lim.config, whole, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(lim.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(l.e.Limiters.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+lim.config, "GW_NAME="+lim.name, "GW_LISTEN="+lim.listen,
		"GW_DISCOVERY="+l.discovery.Address())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("limiters.program: %w", err)
	}
	lim.cmd = cmd
	go func() { _ = cmd.Wait(); _ = out.Close() }()
	return nil
}

// ready waits for limiter n to answer PING with +PONG, as the front does before it sends anything.
func (l *Lab) ready(n int, within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", l.limiters[n].listen, 200*time.Millisecond)
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
			buf := make([]byte, 16)
			k, _ := c.Read(buf)
			_ = c.Close()
			if strings.HasPrefix(string(buf[:k]), "+PONG") {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("limiter %d did not answer PING within %v (see %s)", n, within, l.limiters[n].logPath)
}

// play plays the timeline until stop: every 10 ms whatever has come due.
func (l *Lab) play(stop chan struct{}) {
	done := make([]bool, len(l.e.Faults))
	ended := make([]bool, len(l.e.Faults))
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := l.clock.Now()
		if l.counter != nil {
			l.counter.Tick(now)
		}
		for i, f := range l.e.Faults {
			if !done[i] && now >= experiment.Nanos(f.From) {
				done[i] = true
				l.begin(f, now)
			}
			if done[i] && !ended[i] && f.Until > 0 && now >= experiment.Nanos(f.Until) {
				ended[i] = true
				l.end(f, now)
			}
		}
	}
}

// targets are the servers a timeline entry names.
func (l *Lab) targets(target string) []*emulator.Server {
	kind, name, _ := strings.Cut(target, ":")
	var out []*emulator.Server
	for _, s := range l.servers {
		if kind == "server" && s.Name() == name || kind == "pool" && strings.HasPrefix(s.Name(), name+"-") {
			out = append(out, s)
		}
	}
	return out
}

func (l *Lab) begin(f experiment.Fault, now int64) {
	l.log.Info("fault", "kind", f.Kind, "target", f.Target, "at_ns", now)
	switch {
	case f.Kind != "kill" && f.Kind != "drain" && f.Kind != "gone" && f.Kind != "replace" &&
		!(f.Kind == "down" && f.Target == "discovery"): // the emulator plays it; the record shows it
		l.book.AddEvent(record.Event{At: now, Kind: f.Kind, Target: f.Target, Detail: "begins"})
	case f.Kind == "kill":
		var n int
		_, _ = fmt.Sscanf(strings.TrimPrefix(f.Target, "limiter:"), "%d", &n)
		if cmd := l.limiters[n].cmd; cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
		}
		l.book.AddEvent(record.Event{At: now, Kind: "kill", Target: f.Target})
	case f.Kind == "down" && f.Target == "discovery":
		l.discovery.Down(true)
		l.book.AddEvent(record.Event{At: now, Kind: "discovery-down", Target: "discovery"})
	case f.Kind == "drain" || f.Kind == "gone" || f.Kind == "replace":
		for _, s := range l.targets(f.Target) {
			l.book.AddEvent(record.Event{At: now, Kind: map[bool]string{true: "drain", false: "gone"}[f.Kind == "drain"],
				Target: s.Name()})
			if f.Kind == "drain" {
				l.discovery.Set(l.instance(s, "terminating"))
				continue
			}
			l.discovery.Set(l.instance(s, "terminated"))
			s.Stop()
			if f.Kind == "replace" {
				l.replace(s)
			}
		}
	}
}

// replace starts a new, cold server in the place of s, in its pool and zone.
func (l *Lab) replace(s *emulator.Server) {
	name, _, _ := strings.Cut(s.Name(), "-")
	for _, p := range l.e.Servers {
		if p.Name == name {
			l.replaced++
			if err := l.addServer(p, fmt.Sprintf("%s-r%d", p.Name, l.replaced), nil); err != nil {
				l.log.Error("replace", "server", s.Name(), "error", err)
			}
		}
	}
}

func (l *Lab) end(f experiment.Fault, now int64) {
	switch {
	case f.Kind == "gone": // back, cold, at the address it had
		for _, s := range l.targets(f.Target) {
			if err := s.Start(s.Address()); err != nil {
				l.log.Error("back", "server", s.Name(), "error", err)
				continue
			}
			l.discovery.Set(l.instance(s, "in_service"))
			l.book.AddEvent(record.Event{At: now, Kind: "back", Target: s.Name()})
		}
	case f.Kind != "kill" && f.Kind != "drain" && !(f.Kind == "down" && f.Target == "discovery"):
		l.book.AddEvent(record.Event{At: now, Kind: f.Kind, Target: f.Target, Detail: "ends"})
	case f.Kind == "kill":
		var n int
		_, _ = fmt.Sscanf(strings.TrimPrefix(f.Target, "limiter:"), "%d", &n)
		if err := l.startLimiter(n); err != nil {
			l.log.Error("restart", "limiter", n, "error", err)
		}
		l.book.AddEvent(record.Event{At: now, Kind: "restart", Target: f.Target})
	case f.Kind == "down" && f.Target == "discovery":
		l.discovery.Down(false)
		l.book.AddEvent(record.Event{At: now, Kind: "discovery-up", Target: "discovery"})
	case f.Kind == "drain":
		for _, s := range l.targets(f.Target) {
			l.discovery.Set(l.instance(s, "in_service"))
			l.book.AddEvent(record.Event{At: now, Kind: "back", Target: s.Name()})
		}
	}
}

// close ends the limiters with SIGTERM, then everything else.
func (l *Lab) close() {
	for _, lim := range l.limiters {
		if lim.cmd != nil && lim.cmd.Process != nil {
			_ = lim.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	time.Sleep(200 * time.Millisecond)
	for _, lim := range l.limiters {
		if lim.cmd != nil && lim.cmd.Process != nil {
			_ = lim.cmd.Process.Kill()
		}
	}
	for _, s := range l.servers {
		s.Stop()
	}
	if l.counter != nil {
		l.counter.Stop()
	}
	l.discovery.Close()
}
