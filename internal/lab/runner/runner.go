// Package runner plays one experiment: it starts the emulator, starts the limiters as the platform would, plays
// the timeline of faults, drives the load and judges the records by the five rules.
package runner

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/faultproxy"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/loadgen"
)

// Lab is one run's emulator and limiters.
type Lab struct {
	e         *experiment.Experiment
	dir       string
	log       *slog.Logger
	clock     *history.Clock
	book      *history.Recorder
	discovery *emulator.Discovery
	counter   *emulator.Counter
	servers   []*emulator.Server
	limiters  []*limiter
	net       *faultproxy.Network
	// clientScripts are the scripts of the clients' links, by limiter.
	clientScripts [][]faultproxy.Fault
	front         []atomic.Bool // which limiters the front gives new connections
	replaced      int
	within        time.Duration  // a limiter must be ready within it
	tasks         sync.WaitGroup // what is still to be done about limiters

	mu       sync.Mutex
	lives    []history.Process
	failures []error
}

// Result is what a run leaves: its record and verdict, and what failed it beside the rules (*NeverStarted, *NeverReady,
// *Crashed, *NotTogether).
type Result struct {
	Run      *history.Run
	Verdict  *invariants.Verdict
	Failures []error
}

// Run plays e with its files (configurations, limiters' logs) in dir. An error says that there was no run; a limiter
// that fails is no error but fails the verdict. Where the fleet does not get up, no load is played.
func Run(e *experiment.Experiment, dir string, log *slog.Logger, progress func(float64)) (*Result, error) {
	lab := &Lab{e: e, dir: dir, log: log, clock: history.NewClock(), book: &history.Recorder{},
		front: make([]atomic.Bool, e.Limiters.Count), net: faultproxy.NewNetwork(e.Seed), within: readyWithin}
	for n := range e.Limiters.Count {
		lab.clientScripts = append(lab.clientScripts, e.Script(n, experiment.Clients, "", ""))
	}
	defer lab.close()
	if err := lab.stand(); err != nil {
		return nil, err
	}
	lab.clock.Restart() // the limiters' start is the run's beginning
	if err := lab.startAll(); err != nil {
		log.Error("start", "error", err)
	} else {
		lab.load(progress)
	}
	jobs, shots, events := lab.book.Copy()
	run := &history.Run{Name: e.Name, Seed: e.Seed, Length: experiment.Nanos(e.Length),
		Limiters: e.Limiters.Count, Settings: e.Text, Requests: jobs, Attempts: shots, Events: events}
	run.Calls, run.OverloadCrashes, run.Handshakes = lab.book.DiscoveryAndServers()
	run.Counts = lab.book.Counts()
	run.LinkFaults, run.Silences = lab.cutsAndSilences()
	lab.mu.Lock()
	run.Processes = append(run.Processes, lab.lives...)
	failures := append([]error(nil), lab.failures...)
	lab.mu.Unlock()
	t := invariants.Terms{Late: int64(50 * time.Millisecond), Grace: experiment.Nanos(e.Grace),
		Slack: experiment.Nanos(e.Slack), SlackShare: e.SlackShare, SlackUnits: e.SlackUnits}
	verdict := invariants.JudgeRun(run, e.Settings, t)
	run.Verdict, _ = json.Marshal(verdict)
	run.Latency, _ = json.Marshal(Latencies(jobs))
	return &Result{Run: run, Verdict: verdict, Failures: failures}, nil
}

// Address is where clients reach limiter n.
func (l *Lab) Address(n int) string {
	return l.net.Address(experiment.Clients, party(n), l.limiters[n].port.Address())
}

// Open tells whether clients send to limiter n.
func (l *Lab) Open(n int) bool { return l.front[n].Load() }

// Dead tells whether limiter n has no process.
func (l *Lab) Dead(n int) bool {
	lim := l.limiters[n]
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.dead || l.faulty(n)
}

// faulty tells whether the clients' link to limiter n has a fault now.
func (l *Lab) faulty(n int) bool {
	now := l.clock.Now()
	for _, f := range l.clientScripts[n] {
		if f.Holds(now) {
			return true
		}
	}
	return false
}

// load drives the load and plays the timeline beside it, to the end of both.
func (l *Lab) load(progress func(float64)) {
	driver := loadgen.New(l.e, l.clock, l.book, l)
	stop := make(chan struct{})
	played := make(chan struct{})
	go func() { l.play(stop); close(played) }()
	l.log.Info("load", "rate", l.e.Load.Rate, "seconds", l.e.Length, "limiters", l.e.Limiters.Count,
		"servers", len(l.servers))
	driver.Run(progress)
	close(stop)
	<-played
	l.tasks.Wait()
}

// stand starts the stand-ins: discovery, the counter and the servers.
func (l *Lab) stand() (err error) {
	l.discovery, err = emulator.NewDiscovery(l.clock, l.book, l.scriptOf("discovery"), l.e.Limiters.Count)
	if err != nil {
		return err
	}
	l.discovery.Reach(func(n int, in emulator.Instance) string { return l.net.Address(party(n), in.ID, in.HostPort) })
	if err := l.discovery.Start(); err != nil {
		return err
	}
	if l.e.Counter.On {
		l.counter = emulator.NewCounter(l.clock, l.book, l.scriptOf("counter"), l.e.Limiters.Count)
		if err := l.counter.Start(); err != nil {
			return err
		}
	}
	groups := map[string]*emulator.Deduplication{}
	for _, p := range l.e.Servers {
		if p.Repeats > 0 && groups[p.Zone] == nil {
			groups[p.Zone] = emulator.NewDeduplication(experiment.Nanos(p.Repeats))
		}
		for i := range p.Count {
			if err := l.addServer(p, fmt.Sprintf("%s-%d", p.Name, i), groups[p.Zone], !p.Cold); err != nil {
				return err
			}
		}
	}
	return nil
}

// party is limiter n's name on the network; servers have their own, and the others are named as an experiment does.
func party(n int) string { return fmt.Sprintf("limiter:%d", n) }

// discoveryOf and counterOf are where limiter n calls.
func (l *Lab) discoveryOf(n int) string {
	return l.net.Address(party(n), experiment.Discovery, l.discovery.Address(n))
}
func (l *Lab) counterOf(n int) string {
	return l.net.Address(party(n), experiment.Counting, l.counter.Address(n))
}

// join puts the links of limiter n that the experiment has faults for, but for those to servers.
func (l *Lab) join(n int) error {
	script := l.e.Script(n, experiment.Discovery, "", "")
	if err := l.net.Join(party(n), experiment.Discovery, l.discovery.Address(n), script); err != nil {
		return err
	}
	if l.counter != nil {
		err := l.net.Join(
			party(n),
			experiment.Counting,
			l.counter.Address(n),
			l.e.Script(n, experiment.Counting, "", ""),
		)
		if err != nil {
			return err
		}
	}
	return l.net.Join(
		experiment.Clients,
		party(n),
		l.limiters[n].port.Address(),
		l.e.Script(n, experiment.Clients, "", ""),
	)
}

// cutsAndSilences are what the clients' links and those to discovery, or discovery itself, kept from limiters.
func (l *Lab) cutsAndSilences() (cuts []history.LinkFault, silences []history.Silence) {
	for n := range l.e.Limiters.Count {
		for _, f := range l.e.Script(n, experiment.Clients, "", "") {
			cuts = append(cuts, history.LinkFault{Limiter: n, Kind: f.Kind, From: f.From, Until: f.Until})
		}
		for _, f := range l.e.Script(n, experiment.Discovery, "", "") {
			s := history.Silence{Limiter: n, From: f.From, Until: f.Until, Lost: f.Kind != faultproxy.CutTo,
				Held: f.Kind == faultproxy.CutFrom || f.Kind == faultproxy.Stall}
			if f.Kind == faultproxy.Cut || f.Kind == faultproxy.CutTo || s.Held {
				silences = append(silences, s)
			}
		}
		for _, f := range l.scriptOf("discovery") {
			if f.Kind == "down" {
				silences = append(silences, history.Silence{Limiter: n, From: f.From, Until: f.Until})
			}
		}
	}
	return cuts, silences
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

func (l *Lab) addServer(p experiment.Pool, name string, repeats *emulator.Deduplication, warm bool) error {
	spec := emulator.ServerSpec{Name: name, Zone: p.Zone, Work: time.Duration(p.Work * float64(time.Second)),
		Capacity: p.Capacity, Report: p.Report, Slots: p.Slots, Conns: p.Conns, ColdFrom: p.ColdFrom,
		WarmWithin: time.Duration(experiment.Nanos(p.WarmWithin)), Warm: warm,
		Fall:   time.Duration(experiment.Nanos(p.Fall)),
		Script: l.scriptOf("server:"+name, "pool:"+p.Name), Seed: l.e.Seed ^ uint64(len(l.servers)+1)<<8}
	s := emulator.NewServer(spec, l.clock, l.book, repeats)
	if err := s.Start(); err != nil {
		return err
	}
	l.servers = append(l.servers, s)
	for n := range l.e.Limiters.Count {
		if err := l.net.Join(party(n), name, s.Address(), l.e.Script(n, experiment.Servers, p.Name, name)); err != nil {
			return err
		}
	}
	if warm { // long before the run
		l.discovery.Set(l.instance(s, "in_service"))
	} else {
		l.list(s, "in_service", "new", l.clock.Now())
	}
	return nil
}

func (l *Lab) instance(s *emulator.Server, lifecycle string) emulator.Instance {
	started := int64(0)
	if at, known := s.Started(); known {
		started = time.Now().Add(-time.Duration(l.clock.Now() - at)).UnixMilli()
	}
	return emulator.Instance{ID: s.Name(), HostPort: s.Address(), Zone: s.Zone(), Machine: "lab", Lifecycle: lifecycle,
		Weight: 1, StartedMs: started}
}

// deed is one thing that the timeline has to do.
type deed struct {
	at int64
	do func(now int64)
}

// timeline lists what there is to do, in the order of its times.
func (l *Lab) timeline(stop chan struct{}) []deed {
	var out []deed
	for i, f := range l.e.Faults {
		if len(f.Limiters) > 0 && f.Link == nil {
			for _, s := range l.e.Steps(i) {
				out = append(out, deed{s.At, func(now int64) { l.strike(f, s, now, stop) }})
				if s.Until > 0 {
					out = append(out, deed{s.Until, func(now int64) { l.relieve(f, s, now, stop) }})
				}
			}
			continue
		}
		out = append(out, deed{experiment.Nanos(f.From), func(now int64) { l.begins(f, now) }})
		if f.Until > 0 {
			out = append(out, deed{experiment.Nanos(f.Until), func(now int64) { l.ends(f, now) }})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// play plays the timeline until stop: every 10 ms whatever has come due.
func (l *Lab) play(stop chan struct{}) {
	todo := l.timeline(stop)
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
			was := l.counter.Up()
			l.counter.Tick(now)
			if l.counter.Up() != was {
				l.refuse(experiment.Counting, was)
			}
		}
		if err := l.net.Step(now); err != nil {
			l.log.Error("link", "error", err)
		}
		for len(todo) > 0 && now >= todo[0].at {
			todo[0].do(now)
			todo = todo[1:]
		}
	}
}

// refuse makes the links to a party that stopped listening refuse as well, or take connections again.
func (l *Lab) refuse(far string, on bool) {
	if err := l.net.SetRefusing(far, on); err != nil {
		l.log.Error("link", "error", err)
	}
}

// strike plays the begin of a step of a process fault.
func (l *Lab) strike(f experiment.Fault, s experiment.Step, now int64, stop chan struct{}) {
	l.log.Info("fault", "kind", f.Kind, "limiters", len(s.Limiters), "at_ns", now)
	for _, n := range s.Limiters {
		lim, event := l.limiters[n], history.Event{At: now, Kind: f.Kind, Target: party(n)}
		switch {
		case f.Kind == "term":
			l.term(lim, stop)
		case f.Kind == "kill" && l.signal(lim, shot, syscall.SIGKILL),
			f.Kind == "stop" && l.signal(lim, stopped, syscall.SIGSTOP):
			l.book.AddEvent(event)
		}
	}
}

// relieve plays the end of a step: what was stopped goes on, what was ended starts again.
func (l *Lab) relieve(f experiment.Fault, s experiment.Step, now int64, stop chan struct{}) {
	for _, n := range s.Limiters {
		lim := l.limiters[n]
		if f.Kind == "stop" {
			if l.signal(lim, continued, syscall.SIGCONT) {
				l.book.AddEvent(history.Event{At: now, Kind: "continue", Target: party(n)})
			}
			continue
		}
		l.task(func() { l.restart(lim, time.Duration(experiment.Nanos(f.Delay)), f.OldList, stop) })
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

// begins plays the begin of a fault of a stand-in.
func (l *Lab) begins(f experiment.Fault, now int64) {
	l.log.Info("fault", "kind", f.Kind, "target", f.Target, "at_ns", now)
	switch {
	case f.Kind == "down" && f.Target == "discovery":
		l.discovery.Down(true)
		l.book.AddEvent(history.Event{At: now, Kind: "discovery-down", Target: "discovery"})
	case f.Kind == "drain" || f.Kind == "gone" || f.Kind == "replace":
		for _, s := range l.targets(f.Target) {
			if f.Kind == "drain" {
				l.list(s, "terminating", "drain", now)
				continue
			}
			l.list(s, "terminated", "gone", now)
			s.Stop()
			l.refuse(s.Name(), true)
			if f.Kind == "replace" {
				l.replace(s)
			}
		}
	default: // the emulator or the link plays it; the record shows it
		l.book.AddEvent(history.Event{At: now, Kind: f.Kind, Target: f.Target, Detail: "begins"})
	}
}

// list changes the list's entry of a server and writes the change down.
func (l *Lab) list(s *emulator.Server, lifecycle, kind string, now int64) {
	generation := l.discovery.Set(l.instance(s, lifecycle))
	l.book.AddEvent(history.Event{At: now, Kind: kind, Target: s.Name(), Generation: generation})
}

// replace starts a new, cold server in the place of s, in its pool and zone.
func (l *Lab) replace(s *emulator.Server) {
	name, _, _ := strings.Cut(s.Name(), "-")
	for _, p := range l.e.Servers {
		if p.Name == name {
			l.replaced++
			if err := l.addServer(p, fmt.Sprintf("%s-r%d", p.Name, l.replaced), nil, false); err != nil {
				l.log.Error("replace", "server", s.Name(), "error", err)
			}
		}
	}
}

// ends plays the end of a fault of a stand-in.
func (l *Lab) ends(f experiment.Fault, now int64) {
	switch {
	case f.Kind == "gone": // back, cold, at the address it had
		for _, s := range l.targets(f.Target) {
			if err := s.Start(); err != nil {
				l.log.Error("back", "server", s.Name(), "error", err)
				continue
			}
			l.refuse(s.Name(), false)
			l.list(s, "in_service", "back", now)
		}
	case f.Kind == "drain":
		for _, s := range l.targets(f.Target) {
			l.list(s, "in_service", "back", now)
		}
	case f.Kind == "down" && f.Target == "discovery":
		l.discovery.Down(false)
		l.book.AddEvent(history.Event{At: now, Kind: "discovery-up", Target: "discovery"})
	default:
		l.book.AddEvent(history.Event{At: now, Kind: f.Kind, Target: f.Target, Detail: "ends"})
	}
}

// close ends the limiters, then everything else.
func (l *Lab) close() {
	l.end()
	l.net.Close()
	for _, s := range l.servers {
		s.Close()
	}
	if l.counter != nil {
		l.counter.Close()
	}
	if l.discovery != nil {
		l.discovery.Close()
	}
}
