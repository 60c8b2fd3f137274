// Package runner runs one experiment of the lab: it starts the emulator and real limiter processes, applies the
// timeline of faults, generates the load and judges the records by the five rules of package invariants.
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

// Extras are options of a run beyond its experiment. The zero value has none.
type Extras struct {
	// Command prepares the command of limiter n before it is started, and returns a function that is called right after
	// the start. nil means no preparation.
	Command func(n int, command *exec.Cmd) (started func() error, err error)
	// Background runs on a goroutine of its own while the load runs, and must return once stop is closed. nil means
	// none.
	Background func(lab *Lab, stop <-chan struct{})
	// LeaveGrace and TimeLeftSlack are the allowances of the same names in invariants.Tolerances.
	LeaveGrace, TimeLeftSlack time.Duration
	// Lag returns how late the lab itself may have recorded a time. It is called once the load has ended, and its
	// result is added to LeaveGrace, to TimeLeftSlack and to how late an answer may arrive. nil means 0.
	Lag func() time.Duration
}

// lag returns the result of Lag, or 0 if Lag is nil.
func (x *Extras) lag() time.Duration {
	if x.Lag == nil {
		return 0
	}
	return x.Lag()
}

// Lab is the emulator and the limiters of one run.
type Lab struct {
	exp       *experiment.Experiment
	dir       string
	log       *slog.Logger
	clock     *history.Clock
	recorder  *history.Recorder
	discovery *emulator.Discovery
	counter   *emulator.Counter
	servers   []*emulator.Server
	limiters  []*limiter
	network   *faultproxy.Network
	// clientScripts holds, for each limiter, the fault script of the clients' link to it.
	clientScripts [][]faultproxy.Fault
	inRotation    []atomic.Bool // for each limiter, whether clients open new connections to it
	replacements  int           // servers started by faults of kind replace
	readyTimeout  time.Duration // a process that is not ready by then fails the run
	extras        Extras
	tasks         sync.WaitGroup // pending restarts and signals, which the run waits for

	mu        sync.Mutex
	processes []history.Process
	failures  []error
}

// Result is the record and the verdict of a run, and the errors that fail it independently of the rules (*StartError,
// *ReadyTimeoutError, *CrashError, *StartSpreadError).
type Result struct {
	Run      *history.Run
	Verdict  *invariants.Verdict
	Failures []error
}

// Run runs exp and writes configurations and limiters' logs to dir. An error means that the run did not take place. A
// limiter that fails is not an error but fails the verdict; if the fleet does not start, no load is generated.
func Run(exp *experiment.Experiment, dir string, log *slog.Logger, progress func(float64)) (*Result, error) {
	return RunWith(exp, dir, log, progress, Extras{})
}

// RunWith is Run with extras.
func RunWith(
	exp *experiment.Experiment,
	dir string,
	log *slog.Logger,
	progress func(float64),
	extras Extras,
) (*Result, error) {
	lab := &Lab{exp: exp, extras: extras, dir: dir, log: log, clock: history.NewClock(), recorder: &history.Recorder{},
		inRotation: make([]atomic.Bool, exp.Limiters.Count), network: faultproxy.NewNetwork(exp.Seed),
		readyTimeout: defaultReadyTimeout}
	for n := range exp.Limiters.Count {
		lab.clientScripts = append(lab.clientScripts, exp.LinkFaults(n, experiment.PeerClient, "", ""))
	}
	defer lab.close()
	if err := lab.startEmulator(); err != nil {
		return nil, err
	}
	lab.clock.Restart() // the run begins with the start of the limiters
	if err := lab.startAll(); err != nil {
		log.Error("start", "error", err)
	} else {
		lab.runLoad(progress)
	}
	requests, attempts, events := lab.recorder.Copy()
	run := &history.Run{Name: exp.Name, Seed: exp.Seed, Length: experiment.Nanos(exp.Length),
		Limiters: exp.Limiters.Count, Settings: exp.Text, Requests: requests, Attempts: attempts, Events: events}
	run.Calls, run.OverloadCrashes, run.Handshakes = lab.recorder.DiscoveryAndServers()
	run.Counts = lab.recorder.Counts()
	run.LinkFaults, run.Silences = lab.linkFaultsAndSilences()
	lab.mu.Lock()
	run.Processes = append(run.Processes, lab.processes...)
	failures := append([]error(nil), lab.failures...)
	lab.mu.Unlock()
	terms := invariants.Tolerances{Late: int64(50*time.Millisecond + extras.lag()), Grace: experiment.Nanos(exp.Grace),
		Slack: experiment.Nanos(exp.Slack), SlackShare: exp.SlackShare, SlackUnits: exp.SlackUnits,
		LeaveGrace: int64(extras.LeaveGrace + extras.lag()), TimeLeftSlack: int64(extras.TimeLeftSlack + extras.lag())}
	verdict := invariants.JudgeRun(run, exp.Settings, terms)
	run.Verdict, _ = json.Marshal(verdict)
	run.Latency, _ = json.Marshal(Latencies(requests))
	return &Result{Run: run, Verdict: verdict, Failures: failures}, nil
}

// Address returns the address at which clients reach limiter n.
func (l *Lab) Address(n int) string {
	return l.network.Address(experiment.PeerClient, targetOf(n), l.limiters[n].port.Address())
}

// Record returns the recorder of the requests and the clock that their times refer to.
func (l *Lab) Record() (*history.Recorder, *history.Clock) { return l.recorder, l.clock }

// AcceptsConnections reports whether clients open new connections to limiter n.
func (l *Lab) AcceptsConnections(n int) bool { return l.inRotation[n].Load() }

// Disrupted reports whether limiter n was killed or crashed and has not been started again, or its link to the clients
// has a fault.
func (l *Lab) Disrupted(n int) bool {
	lim := l.limiters[n]
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.dead || l.clientLinkFaulty(n)
}

// clientLinkFaulty reports whether the clients' link to limiter n has a fault now.
func (l *Lab) clientLinkFaulty(n int) bool {
	now := l.clock.Now()
	for _, f := range l.clientScripts[n] {
		if f.ActiveAt(now) {
			return true
		}
	}
	return false
}

// runLoad generates the load, with the timeline and Extras.Background running alongside, and returns once all of them
// and all tasks have ended.
func (l *Lab) runLoad(progress func(float64)) {
	driver := loadgen.New(l.exp, l.clock, l.recorder, l)
	stop := make(chan struct{})
	timelineDone := make(chan struct{})
	go func() { l.playTimeline(stop); close(timelineDone) }()
	l.log.Info("load", "rate", l.exp.Load.Rate, "seconds", l.exp.Length, "limiters", l.exp.Limiters.Count,
		"servers", len(l.servers))
	backgroundDone := make(chan struct{})
	go func() {
		defer close(backgroundDone)
		if l.extras.Background != nil {
			l.extras.Background(l, stop)
		}
	}()
	driver.Run(progress)
	close(stop)
	<-timelineDone
	<-backgroundDone
	l.tasks.Wait()
}

// startEmulator starts the emulated discovery, counter and servers.
func (l *Lab) startEmulator() (err error) {
	l.discovery, err = emulator.NewDiscovery(l.clock, l.recorder, l.faultScript("discovery"), l.exp.Limiters.Count)
	if err != nil {
		return err
	}
	l.discovery.SetAddressFunc(
		func(n int, in emulator.Instance) string { return l.network.Address(targetOf(n), in.ID, in.HostPort) },
	)
	if err := l.discovery.Start(); err != nil {
		return err
	}
	if l.exp.Counter.On {
		l.counter = emulator.NewCounter(l.clock, l.recorder, l.faultScript("counter"), l.exp.Limiters.Count)
		if err := l.counter.Start(); err != nil {
			return err
		}
	}
	dedupByZone := map[string]*emulator.Deduplication{}
	for _, pool := range l.exp.Servers {
		if pool.Repeats > 0 && dedupByZone[pool.Zone] == nil {
			dedupByZone[pool.Zone] = emulator.NewDeduplication(experiment.Nanos(pool.Repeats))
		}
		for i := range pool.Count {
			if err := l.addServer(pool, fmt.Sprintf("%s-%d", pool.Name, i), dedupByZone[pool.Zone], !pool.Cold); err != nil {
				return err
			}
		}
	}
	return nil
}

// targetOf returns the name of limiter n as a target of faults, in events and as a party of the network. Servers are
// parties by their own name, other parties by the constants of package experiment.
func targetOf(n int) string { return fmt.Sprintf("limiter:%d", n) }

// discoveryAddress and counterAddress return the addresses at which limiter n reaches discovery and the counter.
func (l *Lab) discoveryAddress(n int) string {
	return l.network.Address(targetOf(n), experiment.PeerDiscovery, l.discovery.Address(n))
}
func (l *Lab) counterAddress(n int) string {
	return l.network.Address(targetOf(n), experiment.PeerCounter, l.counter.Address(n))
}

// addLinks creates the links between limiter n and discovery, the counter and the clients for which the experiment has
// faults. addServer creates those to servers.
func (l *Lab) addLinks(n int) error {
	script := l.exp.LinkFaults(n, experiment.PeerDiscovery, "", "")
	if err := l.network.Join(targetOf(n), experiment.PeerDiscovery, l.discovery.Address(n), script); err != nil {
		return err
	}
	if l.counter != nil {
		err := l.network.Join(
			targetOf(n),
			experiment.PeerCounter,
			l.counter.Address(n),
			l.exp.LinkFaults(n, experiment.PeerCounter, "", ""),
		)
		if err != nil {
			return err
		}
	}
	return l.network.Join(
		experiment.PeerClient,
		targetOf(n),
		l.limiters[n].port.Address(),
		l.exp.LinkFaults(n, experiment.PeerClient, "", ""),
	)
}

// linkFaultsAndSilences returns the faults of the clients' links, and the times in which limiters received nothing new
// from discovery because of a fault of their link or of discovery itself.
func (l *Lab) linkFaultsAndSilences() (linkFaults []history.LinkFault, silences []history.Silence) {
	for n := range l.exp.Limiters.Count {
		for _, f := range l.exp.LinkFaults(n, experiment.PeerClient, "", "") {
			linkFaults = append(linkFaults, history.LinkFault{Limiter: n, Kind: f.Kind, From: f.From, Until: f.Until})
		}
		for _, f := range l.exp.LinkFaults(n, experiment.PeerDiscovery, "", "") {
			s := history.Silence{Limiter: n, From: f.From, Until: f.Until, Lost: f.Kind != faultproxy.CutTo,
				Held: f.Kind == faultproxy.CutFrom || f.Kind == faultproxy.Stall}
			if f.Kind == faultproxy.Cut || f.Kind == faultproxy.CutTo || s.Held {
				silences = append(silences, s)
			}
		}
		for _, f := range l.faultScript("discovery") {
			if f.Kind == "down" {
				silences = append(silences, history.Silence{Limiter: n, From: f.From, Until: f.Until})
			}
		}
	}
	return linkFaults, silences
}

// faultScript returns the faults whose target is one of names, in the emulator's form. It leaves out the kinds that the
// timeline applies: drain, gone and replace.
func (l *Lab) faultScript(names ...string) []emulator.Fault {
	var script []emulator.Fault
	for _, f := range l.exp.Faults {
		for _, name := range names {
			if f.Target == name && f.Kind != "drain" && f.Kind != "gone" && f.Kind != "replace" {
				script = append(script, emulator.Fault{Kind: f.Kind, From: experiment.Nanos(f.From),
					Until: experiment.Nanos(f.Until), Factor: f.Factor, Share: f.Share})
			}
		}
	}
	return script
}

// addServer starts a server of a pool, creates its links and adds it to the endpoint list. dedup is shared by the
// servers of a zone; nil means that the server does not deduplicate.
func (l *Lab) addServer(pool experiment.Pool, name string, dedup *emulator.Deduplication, warm bool) error {
	spec := emulator.ServerSpec{Name: name, Zone: pool.Zone, Work: time.Duration(pool.Work * float64(time.Second)),
		Capacity: pool.Capacity, Report: pool.Report, Slots: pool.Slots, MaxConns: pool.MaxConns, ColdFrom: pool.ColdFrom,
		WarmWithin: time.Duration(experiment.Nanos(pool.WarmWithin)), Warm: warm,
		CrashWindow: time.Duration(experiment.Nanos(pool.CrashWindow)),
		Script:      l.faultScript("server:"+name, "pool:"+pool.Name), Seed: l.exp.Seed ^ uint64(len(l.servers)+1)<<8}
	s := emulator.NewServer(spec, l.clock, l.recorder, dedup)
	if err := s.Start(); err != nil {
		return err
	}
	l.servers = append(l.servers, s)
	for n := range l.exp.Limiters.Count {
		if err := l.network.Join(
			targetOf(n), name, s.Address(), l.exp.LinkFaults(n, experiment.PeerServer, pool.Name, name),
		); err != nil {
			return err
		}
	}
	if warm { // it counts as started long before the run
		l.discovery.Set(l.instance(s, "in_service"))
	} else {
		l.setLifecycle(s, "in_service", "new", l.clock.Now())
	}
	return nil
}

// instance returns the endpoint list's entry for a server. Its start time is 0 for a server that started before the
// run.
func (l *Lab) instance(s *emulator.Server, lifecycle string) emulator.Instance {
	started := int64(0)
	if at, known := s.Started(); known {
		started = time.Now().Add(-time.Duration(l.clock.Now() - at)).UnixMilli()
	}
	return emulator.Instance{ID: s.Name(), HostPort: s.Address(), Zone: s.Zone(), Machine: "lab", Lifecycle: lifecycle,
		Weight: 1, StartedMs: started}
}

// close ends the limiters first, then the links and the emulator.
func (l *Lab) close() {
	l.stopAll()
	l.network.Close()
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
