// Package soak runs randomized fault tests against real limiter processes. Each seed draws a fleet, a load and a
// timeline of faults at every party. It also draws conditions that an experiment file cannot express: system calls that
// fail or are cut short, steps of the wall clock, a disk that fails writes, clients that pipeline requests or
// disconnect early, malformed clients and many idle ones. A run passes if it breaks none of the five rules, no process
// fails, no limiter exceeds its memory limit and the limiters' logs show no failure.
//
// testlab soak runs many seeds on demand; the package's test runs a few short ones in CI.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"ospreycroft/internal/lab/experiment"
)

// Scenario is what is drawn from a seed.
type Scenario struct {
	Seed       uint64
	Experiment *experiment.Experiment
	// SystemCallFaultShare is the share of the limiters' system calls that fail or are cut short, from 0 to 1. At 0 no
	// call fails, and unless DiskFaults is set the limiters run without the system call shim.
	SystemCallFaultShare float64
	// ClockSteps tells whether the wall clock of all limiters is stepped at random times.
	ClockSteps bool
	// DiskFaults tells whether the limiters save their endpoint lists to a disk that fails writes for random periods.
	DiskFaults bool
	// Quiet tells whether there is a period of very low load.
	Quiet bool
	// IdleClients is the number of idle clients that hold connections, per limiter.
	IdleClients int
	// LeavingClients is the number of concurrent clients that pipeline requests and disconnect early.
	LeavingClients int
	// PipeliningClients is the number of concurrent clients that pipeline requests and wait for all answers.
	PipeliningClients int
	// MalformedClients is the number of concurrent clients that send malformed input.
	MalformedClients int
	// FloodingClients is the number of concurrent clients that send at full speed what costs a limiter most.
	FloodingClients int
}

// String summarizes the scenario in one line of key=value pairs.
func (s *Scenario) String() string {
	return fmt.Sprintf(
		"seed=%d limiters=%d servers=%d rate=%.0f system_calls=%.3f clock_steps=%v disk=%v quiet=%v crowd=%d leavers=%d pipelines=%d malformed=%d floods=%d",
		s.Seed, s.Experiment.Limiters.Count, 2*s.Experiment.Servers[0].Count, s.Experiment.Load.Rate,
		s.SystemCallFaultShare, s.ClockSteps, s.DiskFaults, s.Quiet, s.IdleClients,
		s.LeavingClients, s.PipeliningClients, s.MalformedClients, s.FloodingClients)
}

// minFaults and extraFaults bound the number of faults in a timeline, not counting the planned restarts and their
// signals: it is at least minFaults and below minFaults + extraFaults.
const (
	minFaults   = 4
	extraFaults = 6
)

// Draw draws the scenario of a seed: length seconds of load against the limiter program. The fleet has the given number
// of limiters; if that is 0, the seed draws the number. The same arguments give the same scenario.
func Draw(seed uint64, length float64, program string, limiters int) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	d := &drawer{rng: rng, length: length, limiters: 2 + rng.IntN(4), serversPerHall: 3 + rng.IntN(3),
		hasCounter: rng.Float64() < 0.85}
	d.resizeFleet(limiters)
	d.drawQuiet(rand.New(rand.NewPCG(seed, 0x41e7)))
	text := d.writeExperiment(seed, program)
	e, err := experiment.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	s := &Scenario{Seed: seed, Experiment: e, Quiet: d.quietFrom > 0, LeavingClients: rng.IntN(5),
		MalformedClients: rng.IntN(3)}
	if rng.Float64() < 0.6 {
		s.SystemCallFaultShare = 0.002 + 0.1*rng.Float64()*rng.Float64()
	}
	s.ClockSteps = rng.Float64() < 0.5
	s.DiskFaults = rng.Float64() < 0.3
	if rng.Float64() < 0.25 {
		// The number in the whole fleet does not grow with the fleet's size: idle clients reconnect at once when they
		// are closed, which costs the lab processor time.
		s.IdleClients = int(float64(e.Limiters.Sockets/2) / d.loadFactor)
	}
	s.FloodingClients = drawFloodingClients(rand.New(rand.NewPCG(seed, 0xf100d)))
	s.PipeliningClients = drawPipeliningClients(rand.New(rand.NewPCG(seed, 0x919e)))
	return s, nil
}

// maxPipeliningClients is the largest number of pipelining clients that is drawn.
const maxPipeliningClients = 4

// drawPipeliningClients draws the number of pipelining clients. Like drawQuiet it needs a random generator of its own,
// so that it does not change what else a seed draws.
func drawPipeliningClients(rng *rand.Rand) int { return rng.IntN(maxPipeliningClients + 1) }

// drawer draws the parts of an experiment and writes them as the text of an experiment file.
type drawer struct {
	rng                      *rand.Rand
	length                   float64
	limiters, serversPerHall int
	hasCounter               bool
	loadFactor               float64 // fleet size relative to the size that the seed draws; scales the load
	longestDeadline          float64 // of the classes, seconds
	idleClose                float64 // idle time after which a limiter closes a server connection, seconds
	quietFrom                float64 // start and end of the period of low load, seconds from the start; 0 for none
	quietUntil               float64
	text                     strings.Builder
}

func (d *drawer) writeLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(&d.text, format+"\n", arguments...)
}

// uniform draws a number from the uniform distribution over [low, high).
func (d *drawer) uniform(low, high float64) float64 { return low + (high-low)*d.rng.Float64() }

// limitersPerServer is the ratio of limiters to the servers of each hall in a fleet of a given size. The halls are the
// two server pools, hall1 and hall2, each in a zone of its own.
const limitersPerServer = 4

// resizeFleet sets the number of limiters, and scales servers and load to match. 0 keeps the drawn size.
func (d *drawer) resizeFleet(limiters int) {
	d.loadFactor = 1
	if limiters == 0 {
		return
	}
	d.loadFactor = float64(limiters) / float64(d.limiters)
	d.limiters = limiters
	d.serversPerHall = max(d.serversPerHall, limiters/limitersPerServer)
}

// Parameters of the quiet periods, in which the load is very low. They are drawn from a random generator of their own,
// so that what else a seed draws is the same as without quiet periods.
const (
	quietSeedShare  = 0.4  // share of seeds with a quiet period
	quietRateFactor = 0.02 // load in a quiet period, as a factor of the usual rate
)

// drawQuiet draws whether there is a quiet period, which takes a quarter to a half of the run, and sets the idle
// timeout of server connections. With a quiet period the timeout is drawn from 1 to 15 s with a bias to short ones, so
// that connections can idle out before the period ends; otherwise it is 15 s.
func (d *drawer) drawQuiet(rng *rand.Rand) {
	d.idleClose = 15
	if rng.Float64() < quietSeedShare {
		d.quietFrom = d.length * (0.1 + 0.3*rng.Float64())
		d.quietUntil = d.quietFrom + d.length*(0.25+0.25*rng.Float64())
		d.idleClose = 1 + 14*rng.Float64()*rng.Float64()
	}
}

// writeExperiment returns the text of the experiment file.
func (d *drawer) writeExperiment(seed uint64, program string) string {
	deadlines := []float64{d.uniform(0.4, 3), d.uniform(0.6, 3), d.uniform(0.6, 3)}
	d.longestDeadline = max(deadlines[0], deadlines[1], deadlines[2])
	d.writeLine("name = %q", fmt.Sprint("soak-", seed))
	d.writeLine("seed = %d", seed)
	d.writeLine("length = %.1f", d.length)
	d.writeLine("grace = 0.3\nslack = 0.15")
	d.writeLine("[limiters]\ncount = %d\nprogram = %q\nmemory_mb = 64\nsockets = %d",
		d.limiters, program, 256+d.rng.IntN(256))
	d.writeLine("[counter]\non = %v", d.hasCounter)
	for _, name := range []string{"hall1", "hall2"} {
		d.writeLine("[[servers]]\nname = %q\ncount = %d\nzone = %q\nwork = %.4f\ncapacity = 64\ncold_from = 0.25", name,
			d.serversPerHall, name, d.uniform(0.005, 0.03))
		d.writeLine("warm_within = 10.0\nrepeats = 10.0\nfall = 2.0\nreport = %v", d.rng.IntN(2) == 0)
	}
	d.writeLine("[load]\nrate = %.1f\nretry = 0.5\ngive_up = %.3f", d.loadFactor*d.uniform(40, 140), d.uniform(0, 0.2))
	d.writeLine("tracks = [")
	for i, name := range []string{"fetch", "order", "stamp"} {
		d.writeLine("  {name = %q, share = 0.33, units = %d.0, cut_off = %.3f},", name, i+1, deadlines[i])
	}
	d.writeLine("]\ncustomers = [")
	for i := range 4 {
		spread := 1 + d.rng.IntN(d.limiters)
		d.writeLine("  {id = %q, plan = %q, share = 0.25, spread = %d, first = %d},", fmt.Sprintf("%016x", 0xa0+i),
			[]string{"team", "house"}[i%2], spread, d.rng.IntN(d.limiters))
	}
	d.writeLine("]")
	d.writeFaults()
	d.writeSettings(deadlines)
	return d.text.String()
}

// writeSettings writes the limiters' settings.
func (d *drawer) writeSettings(deadlines []float64) {
	d.writeLine("[settings]\ngranularity = 0.004")
	effects := []string{"free", "single_shot", "guarded"}
	for i, name := range []string{"fetch", "order", "stamp"} {
		d.writeLine("[[settings.classes]]\nname = %q\naim = %.3f\ndeadline = %.3f\neffect = %q\ngroup = %q", name,
			deadlines[i]/2, deadlines[i], effects[i], []string{"all", "all", "zone"}[i])
		if effects[i] == "guarded" {
			d.writeLine("dedup-window = %.2f", d.uniform(1, 9))
		}
	}
	d.writeLine("[[settings.tariffs]]\nname = \"team\"\nrate = 30.0\nmost-at-once = 60.0\nbeyond-costs = 0.5")
	d.writeLine("[[settings.tariffs]]\nname = \"house\"\nrate = 60.0\nmost-at-once = 120.0\nbeyond-costs = 0.5\nhard-rate = 90.0")
	d.writeLine("never-over-depth = 150.0")
	d.writeLine("[settings.family-info]\nhas-counter = %v\ncount-wait = 0.05\nunits-top = 6", d.hasCounter)
	d.writeLine("[settings.contract]\ncold-from = 0.25\nwarm-within = 10.0\nstop-sending-within = 0.25")
	d.writeLine("[settings.permissions]\nattempts-cap = 3\ncancelling = %v\ndial-timeout = 0.25\nidle-close = %.2f",
		d.rng.IntN(4) > 0, d.idleClose)
	d.writeLine("max-retry-after = 2.0\nprobes = %v\nretry-after = true\nsecond-copies = false", d.rng.IntN(2) == 0)
}

// writeFault writes one fault of the timeline. A fault with until 0 has no end. attributes are further lines of the
// entry.
func (d *drawer) writeFault(kind, target string, from, until float64, attributes string) {
	d.writeLine("[[faults]]\nkind = %q\ntarget = %q\nfrom = %.3f", kind, target, from)
	if until > 0 {
		d.writeLine("until = %.3f", until)
	}
	if attributes != "" {
		d.writeLine("%s", attributes)
	}
}

// drawFaultSpan draws when a fault begins and ends, in seconds from the start. It begins in the first 80 % of the run
// and lasts from 0.2 s to maxDuration.
func (d *drawer) drawFaultSpan(maxDuration float64) (from, until float64) {
	from = d.uniform(0.5, d.length*0.8)
	return from, from + d.uniform(0.2, maxDuration)
}

func (d *drawer) randomLimiter() string { return fmt.Sprintf("limiter:%d", d.rng.IntN(d.limiters)) }

func (d *drawer) randomServer() string {
	return fmt.Sprintf("server:hall%d-%d", 1+d.rng.IntN(2), d.rng.IntN(d.serversPerHall))
}

// writeFaults writes the timeline: planned restarts of limiters, the quiet period, and random faults of every kind.
func (d *drawer) writeFaults() {
	d.writeRestarts()
	if d.quietFrom > 0 {
		d.writeFault("burst", "load", d.quietFrom, d.quietUntil, fmt.Sprintf("factor = %.2f", quietRateFactor))
	}
	for range minFaults + d.rng.IntN(extraFaults) {
		from, until := d.drawFaultSpan(3)
		switch d.rng.IntN(14) {
		case 0, 1:
			kind := []string{"silent", "reset", "spoil", "error", "cut", "busy"}[d.rng.IntN(6)]
			d.writeFault(kind, d.randomServer(), from, until, fmt.Sprintf("share = %.2f", d.uniform(0.1, 1)))
		case 2:
			d.writeFault("slow", d.randomServer(), from, until, fmt.Sprintf("factor = %.1f", d.uniform(2, 30)))
		case 3:
			d.writeFault("drain", d.randomServer(), from, until, "")
		case 4:
			d.writeFault("gone", d.randomServer(), from, until, "")
		case 5:
			d.writeFault("replace", d.randomServer(), from, 0, "")
		case 6:
			d.writeCounterFault(from, until)
		case 7:
			d.writeFault("down", "discovery", from, until, "")
		case 8:
			d.writeFault("chunked", "discovery", from, until, "")
		case 9:
			d.writeFault("burst", "load", from, until, fmt.Sprintf("factor = %.1f", d.uniform(1.5, 4)))
		case 10:
			d.writeFault("stop", d.randomLimiter(), from, from+d.uniform(0.05, 1.2), "")
		case 11, 12:
			d.writeLinkFault(from, until)
		case 13:
			d.writeFault("kill", d.randomLimiter(), from, from+d.uniform(0.1, 1), "")
		}
	}
}

// writeLinkFault writes a fault of a link from limiters to servers, the counter or discovery. It draws no kind that
// delays data and delivers it later, since a server would then see attempts long after they were sent.
func (d *drawer) writeLinkFault(from, until float64) {
	remote := []string{"pool:hall1", "pool:hall2", "discovery", "counter"}[d.rng.IntN(4)]
	if remote == "counter" && !d.hasCounter {
		return
	}
	limiter := []string{"*", fmt.Sprint(d.rng.IntN(d.limiters))}[d.rng.IntN(2)]
	kind := []string{"cut", "cut_from", "reset", "half_open"}[d.rng.IntN(4)]
	d.writeFault(kind, "link:limiter:"+limiter+"-"+remote, from, until, "")
}

// writeCounterFault writes a fault of the shared counter, if there is one.
func (d *drawer) writeCounterFault(from, until float64) {
	if !d.hasCounter {
		return
	}
	switch kind := []string{"down", "busy", "slow", "reset"}[d.rng.IntN(4)]; kind {
	case "slow":
		d.writeFault(kind, "counter", from, until, fmt.Sprintf("factor = %.0f", d.uniform(5, 200)))
	case "reset":
		d.writeFault(kind, "counter", from, 0, "")
	default:
		d.writeFault(kind, "counter", from, until, "")
	}
}

// writeRestarts writes planned restarts of limiters, one after the other, for as many as the run has time for. Each is
// a series of signals. Clients keep sending on open connections until the kill, which comes as early as is allowed.
func (d *drawer) writeRestarts() {
	at := d.uniform(1, 2)
	for n := range d.limiters {
		if at > d.length-1 {
			return
		}
		target := fmt.Sprintf("limiter:%d", n)
		for range d.rng.IntN(3) {
			d.writeFault("hup", target, max(0, at-d.uniform(0, 0.3)), 0, "")
		}
		d.writeFault("term", target, at, at+0.1, "")
		for range d.rng.IntN(3) {
			d.writeFault([]string{"hup", "usr1"}[d.rng.IntN(2)], target, at+d.uniform(0, 0.6), 0, "")
		}
		at += d.uniform(0.3, d.longestDeadline+1.5)
	}
}
