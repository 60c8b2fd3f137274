package distbench

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// caseParameters are the durations of the cases and the number of changes that they publish.
type caseParameters struct {
	idleTime, settleTime, regionCutTime, changeInterval time.Duration
	calmChanges, regionChanges, changes                 int
}

var (
	// fullParameters are those of a measurement.
	fullParameters = caseParameters{
		idleTime:       20 * time.Second,
		settleTime:     2 * time.Second,
		regionCutTime:  time.Minute,
		changeInterval: 1500 * time.Millisecond,
		calmChanges:    10,
		regionChanges:  10,
		changes:        40,
	}
	// shortParameters only check that the cases run; their figures are not comparable.
	shortParameters = caseParameters{
		idleTime:       time.Second,
		settleTime:     200 * time.Millisecond,
		regionCutTime:  2 * time.Second,
		changeInterval: 50 * time.Millisecond,
		calmChanges:    2,
		regionChanges:  2,
		changes:        4,
	}
)

// caseTimeout is how long after its publication a version is awaited at the limiters.
const caseTimeout = 30 * time.Second

// Case is one row of the measurement.
type Case struct {
	Name string `json:"name"`
	// Hollow is the time until the hollow limiters applied the version.
	Hollow LatencySummary `json:"hollow"`
	// Real is the time until the real limiters polled the discovery that the version names. It has no samples in a case
	// that does not measure the real limiters.
	Real LatencySummary `json:"real"`
}

// CaseNames are the names of all cases, in the order in which they are run.
var CaseNames = []string{"calm", "killed", "stalled", "zone", "region", "restart", "changes", "cold"}

// runCase runs one case. Errors: *UnknownCaseError, and those of the fleet.
func (f *Fleet) runCase(name string, parameters caseParameters) ([]Case, error) {
	runNamed := map[string]func(caseParameters) ([]Case, error){"calm": f.runCalm, "killed": f.runKilled,
		"stalled": f.runStalled, "zone": f.runZoneCut, "region": f.runRegionCut, "restart": f.runRestart,
		"changes": f.runChanges, "cold": f.runCold}[name]
	if runNamed == nil {
		return nil, &UnknownCaseError{Name: name}
	}
	return runNamed(parameters)
}

// UnknownCaseError reports a case name that is not in CaseNames.
type UnknownCaseError struct{ Name string }

// Error implements error.
func (e *UnknownCaseError) Error() string { return fmt.Sprintf("unknown case %q", e.Name) }

// Hint lists the valid names.
func (e *UnknownCaseError) Hint() string { return "choose from " + strings.Join(CaseNames, ", ") }

func anyLimiter(hollowLimiter) bool { return true }

// measure waits until the hollow limiters have applied each publication, and summarizes how long that took.
func (f *Fleet) measure(name string, limiters []int, publications ...publication) Case {
	var latencies []time.Duration
	never := 0
	for _, p := range publications {
		f.awaitVersion(limiters, p.version, p.at, time.Until(p.at.Add(caseTimeout)))
		for _, limiter := range limiters {
			if latency, found := f.applyLog.applyLatency(limiter, p.version, p.at); found {
				latencies = append(latencies, latency)
			} else {
				never++
			}
		}
	}
	return Case{Name: name, Hollow: summarize(latencies, never)}
}

// measureReal sets c.Real to the real limiters' latencies for p, which must be the newest publication.
func (f *Fleet) measureReal(c *Case, p publication) {
	var latencies []time.Duration
	never := 0
	for _, l := range f.real {
		discovery := l.discoveries[l.current]
		latency, polled := discovery.pollLatency(p.at)
		for deadline := p.at.Add(caseTimeout); !polled && time.Now().Before(deadline); time.Sleep(pollInterval) {
			latency, polled = discovery.pollLatency(p.at)
		}
		if polled {
			latencies = append(latencies, latency)
		} else {
			never++
		}
	}
	c.Real = summarize(latencies, never)
}

// publishAndMeasure publishes one change and measures it at all limiters.
func (f *Fleet) publishAndMeasure(name string) ([]Case, error) {
	p, err := f.publish()
	if err != nil {
		return nil, err
	}
	c := f.measure(name, f.hollowNumbers(anyLimiter), p)
	f.measureReal(&c, p)
	return []Case{c}, nil
}

// runCalm publishes changes one by one, each after the previous one has been measured.
func (f *Fleet) runCalm(parameters caseParameters) ([]Case, error) {
	var publications []publication
	var lastCase Case
	for range parameters.calmChanges {
		p, err := f.publish()
		if err != nil {
			return nil, err
		}
		publications = append(publications, p)
		lastCase = f.measure("", f.hollowNumbers(anyLimiter), p)
		f.measureReal(&lastCase, p)
	}
	c := f.measure(fmt.Sprintf("calm, %d changes", parameters.calmChanges),
		f.hollowNumbers(anyLimiter), publications...)
	c.Real = lastCase.Real
	return []Case{c}, nil
}

// The indices of the relays that fail. The limiters of a failed relay keep polling their other relay for a while, so
// each case fails a relay of its own.
const (
	killedRelay  = 0
	stalledRelay = 1
)

// runKilled kills a relay just before a publication, and restarts it after the measurement.
func (f *Fleet) runKilled(caseParameters) ([]Case, error) {
	relay := f.relays[killedRelay]
	relay.Kill()
	cases, err := f.publishAndMeasure("a relay killed as it is published")
	if err != nil {
		return nil, err
	}
	return cases, f.startRelay(relay)
}

// runStalled stops a relay with SIGSTOP just before a publication, and continues it after the measurement.
func (f *Fleet) runStalled(caseParameters) ([]Case, error) {
	relay := f.relays[stalledRelay]
	if err := relay.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	cases, err := f.publishAndMeasure("a relay stalled as it is published")
	if err != nil {
		return nil, err
	}
	return cases, relay.Signal(syscall.SIGCONT)
}

// runZoneCut partitions the last zone from the others. Limiters outside it are measured from the publication, limiters
// inside it from the end of the partition.
func (f *Fleet) runZoneCut(parameters caseParameters) ([]Case, error) {
	name := zones[len(zones)-1].name
	return f.measurePartition("a zone cut", 1, parameters.settleTime, func(zone string) bool { return zone == name })
}

// runRegionCut partitions the region that does not hold the source from the other region.
func (f *Fleet) runRegionCut(parameters caseParameters) ([]Case, error) {
	inside := map[string]bool{}
	for _, z := range zones {
		inside[z.name] = z.region != zones[0].region
	}
	return f.measurePartition(
		fmt.Sprintf("a region cut for %v, %d changes", parameters.regionCutTime, parameters.regionChanges),
		parameters.regionChanges,
		parameters.regionCutTime,
		func(zone string) bool { return inside[zone] },
	)
}

// measurePartition partitions zones from the others for a duration, spreads publications over it and ends the
// partition. It returns a case for the limiters outside, and one for those inside.
func (f *Fleet) measurePartition(
	name string, changes int, duration time.Duration, inside func(string) bool) ([]Case, error) {
	if err := f.setPartition(true, inside); err != nil {
		return nil, err
	}
	started := time.Now()
	var publications []publication
	for range changes {
		time.Sleep(duration / time.Duration(changes+1))
		p, err := f.publish()
		if err != nil {
			return nil, err
		}
		publications = append(publications, p)
	}
	outsideCase := f.measure(
		name+": outside, from publication",
		f.hollowNumbers(func(l hollowLimiter) bool { return !inside(l.zone.name) }),
		publications...)
	time.Sleep(time.Until(started.Add(duration)))
	insideLimiters := f.hollowNumbers(func(l hollowLimiter) bool { return inside(l.zone.name) })
	earlyCount := 0
	for _, limiter := range insideLimiters {
		if _, found := f.applyLog.applyLatency(limiter, publications[0].version, publications[0].at); found {
			earlyCount++
		}
	}
	afterHeal := publication{f.latest, time.Now()}
	if err := f.setPartition(false, inside); err != nil {
		return nil, err
	}
	insideCase := f.measure(
		fmt.Sprintf("%s: inside, from the heal (%d had it before)", name, earlyCount), insideLimiters, afterHeal)
	return []Case{outsideCase, insideCase}, nil
}

// runRestart restarts every tenth hollow limiter, and publishes a change once all of them have restored their state
// from disk.
func (f *Fleet) runRestart(caseParameters) ([]Case, error) {
	started := time.Now()
	var restarted []int
	for _, h := range f.hosts {
		var command restartCommand
		for i, l := range h.limiters {
			if i%10 == 0 {
				command.Limiters = append(command.Limiters, l.Number)
			}
		}
		restarted = append(restarted, command.Limiters...)
		if err := h.send(command); err != nil {
			return nil, err
		}
	}
	if !f.awaitVersion(restarted, f.latest, started, caseTimeout) {
		return nil, &StartError{
			What:  "a tenth of the limiters",
			Log:   "state was not restored from disk in time",
			Cause: os.ErrDeadlineExceeded,
		}
	}
	p, err := f.publish()
	if err != nil {
		return nil, err
	}
	allCase := f.measure("a tenth restarting from disk: all", f.hollowNumbers(anyLimiter), p)
	f.measureReal(&allCase, p)
	return []Case{allCase, f.measure("a tenth restarting from disk: that tenth", restarted, p)}, nil
}

// runChanges publishes changes at a fixed interval, without waiting for the limiters in between.
func (f *Fleet) runChanges(parameters caseParameters) ([]Case, error) {
	started := time.Now()
	var publications []publication
	for i := range parameters.changes {
		time.Sleep(time.Until(started.Add(time.Duration(i) * parameters.changeInterval)))
		p, err := f.publish()
		if err != nil {
			return nil, err
		}
		publications = append(publications, p)
	}
	name := fmt.Sprintf("%d changes in %v", parameters.changes,
		time.Duration(parameters.changes)*parameters.changeInterval)
	return []Case{f.measure(name, f.hollowNumbers(anyLimiter), publications...)}, nil
}

// runCold kills all relays and hosts and starts them together, without saved state. The time runs from the restart.
func (f *Fleet) runCold(caseParameters) ([]Case, error) {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, r := range f.relays {
		r.Kill()
	}
	started := publication{f.latest, time.Now()}
	for _, r := range f.relays {
		if err := f.startRelay(r); err != nil {
			return nil, err
		}
	}
	f.hosts = nil
	f.options.Dir += "-cold"
	if err := f.startHosts(); err != nil {
		return nil, err
	}
	return []Case{f.measure("relays and limiters started cold, from the start",
		f.hollowNumbers(anyLimiter), started)}, nil
}
