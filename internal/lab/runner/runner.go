// Package runner plays one experiment: it starts the emulator, starts the limiters as the platform would, plays
// the timeline of faults, drives the load and judges the records by the five rules.
package runner

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/faultproxy"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/loadgen"
)

// Extras are what a run may have beside its experiment; the zero value is none.
type Extras struct {
	// Command prepares the command of limiter n before it is started, and gives what is to be called once it was; nil for
	// nothing.
	Command func(n int, command *exec.Cmd) (started func() error, err error)
	// Beside runs beside the load on a goroutine of its own, and returns once stop is closed; nil for nothing.
	Beside func(lab *Lab, stop <-chan struct{})
	// LeaveGrace and TimeLeftSlack are judged as of invariants.Terms.
	LeaveGrace, TimeLeftSlack time.Duration
	// Lag is how late the lab itself may have written a time down, asked for once the load is over; it widens both, and how
	// late an answer may come. nil for not at all.
	Lag func() time.Duration
}

// lag is how late the lab itself may have written a time down.
func (x *Extras) lag() time.Duration {
	if x.Lag == nil {
		return 0
	}
	return x.Lag()
}

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
	within        time.Duration // a limiter must be ready within it
	extras        Extras
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
	return RunWith(e, dir, log, progress, Extras{})
}

// RunWith is Run with something beside the experiment.
func RunWith(
	e *experiment.Experiment,
	dir string,
	log *slog.Logger,
	progress func(float64),
	extras Extras,
) (*Result, error) {
	lab := &Lab{e: e, extras: extras, dir: dir, log: log, clock: history.NewClock(), book: &history.Recorder{},
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
	t := invariants.Terms{Late: int64(50*time.Millisecond + extras.lag()), Grace: experiment.Nanos(e.Grace),
		Slack: experiment.Nanos(e.Slack), SlackShare: e.SlackShare, SlackUnits: e.SlackUnits,
		LeaveGrace: int64(extras.LeaveGrace + extras.lag()), TimeLeftSlack: int64(extras.TimeLeftSlack + extras.lag())}
	verdict := invariants.JudgeRun(run, e.Settings, t)
	run.Verdict, _ = json.Marshal(verdict)
	run.Latency, _ = json.Marshal(Latencies(jobs))
	return &Result{Run: run, Verdict: verdict, Failures: failures}, nil
}

// Address is where clients reach limiter n.
func (l *Lab) Address(n int) string {
	return l.net.Address(experiment.Clients, party(n), l.limiters[n].port.Address())
}

// Record is where requests are written down, by the clock.
func (l *Lab) Record() (*history.Recorder, *history.Clock) { return l.book, l.clock }

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
	beside := make(chan struct{})
	go func() {
		defer close(beside)
		if l.extras.Beside != nil {
			l.extras.Beside(l, stop)
		}
	}()
	driver.Run(progress)
	close(stop)
	<-played
	<-beside
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
