// Package soak plays seeded fault runs against real limiters: each seed draws a fleet, a load and a timeline of faults
// at every party, and beside these what an experiment file cannot state: system calls that fail or are cut short, steps of
// the wall clock, a disk that refuses writes, clients that send several requests at once and leave, malformed clients and
// crowds of idle ones. A run is judged by the five rules and by the limiters' logs.
//
// testlab soak plays many seeds by hand; the package's test plays a few short ones in CI.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"ospreycroft/internal/lab/experiment"
)

// Scenario is what a seed draws.
type Scenario struct {
	Seed       uint64
	Experiment *experiment.Experiment
	// SystemCalls is how often calls of limiters fail or are cut short, a share; 0 for no shim.
	SystemCalls float64
	// ClockSteps has the wall clock of all limiters stepped now and then.
	ClockSteps bool
	// Disk has the limiters keep their lists on a disk that refuses writes now and then.
	Disk bool
	// Quiet tells whether there is a spell in which hardly a request comes.
	Quiet bool
	// Crowd is how many idle clients hold connections to each limiter.
	Crowd int
	// Leavers is how many clients at a time send some requests at once and leave.
	Leavers int
	// Pipelines is how many clients at a time send some requests at once and wait for all answers.
	Pipelines int
	// Malformed is how many clients at a time send what is no command.
	Malformed int
}

// String names what is beside the experiment.
func (s *Scenario) String() string {
	return fmt.Sprintf("seed=%d limiters=%d servers=%d rate=%.0f system_calls=%.3f clock_steps=%v disk=%v quiet=%v crowd=%d leavers=%d pipelines=%d malformed=%d",
		s.Seed, s.Experiment.Limiters.Count, 2*s.Experiment.Servers[0].Count, s.Experiment.Load.Rate, s.SystemCalls, s.ClockSteps,
		s.Disk, s.Quiet, s.Crowd, s.Leavers, s.Pipelines, s.Malformed)
}

// minFaults and extraFaults bound how many faults a timeline has beside the restarts and the series of signals.
const (
	minFaults   = 4
	extraFaults = 6
)

// Draw makes the scenario of a seed, so many seconds of load against a program, with so many limiters, or as many as the seed draws
// where that is 0.
func Draw(seed uint64, length float64, program string, limiters int) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	d := &drawer{rng: rng, length: length, limiters: 2 + rng.IntN(4), servers: 3 + rng.IntN(3), counter: rng.Float64() < 0.85}
	d.scale(limiters)
	d.drawQuiet(rand.New(rand.NewPCG(seed, 0x41e7)))
	text := d.experiment(seed, program)
	e, err := experiment.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	s := &Scenario{Seed: seed, Experiment: e, Quiet: d.quietFrom > 0, Leavers: rng.IntN(5), Malformed: rng.IntN(3)}
	if rng.Float64() < 0.6 {
		s.SystemCalls = 0.002 + 0.1*rng.Float64()*rng.Float64()
	}
	s.ClockSteps = rng.Float64() < 0.5
	s.Disk = rng.Float64() < 0.3
	if rng.Float64() < 0.25 {
		s.Crowd = int(float64(e.Limiters.Sockets/2) / d.growth) // its size in all is the seed's: it comes again at once, and takes the lab's time
	}
	s.Pipelines = drawPipelines(rand.New(rand.NewPCG(seed, 0x919e)))
	return s, nil
}

// mostPipelines bounds how many clients at a time send several requests at once.
const mostPipelines = 4

// drawPipelines draws how many do. As with the quiet spells, its numbers are its own.
func drawPipelines(rng *rand.Rand) int { return rng.IntN(mostPipelines + 1) }

// drawer draws the parts of an experiment.
type drawer struct {
	rng               *rand.Rand
	length            float64
	limiters, servers int
	counter           bool
	growth            float64 // of the load
	longest           float64 // deadline, seconds
	idleClose         float64 // seconds
	quietFrom         float64 // when few requests come, seconds; 0 for never
	quietUntil        float64
	text              strings.Builder
}

func (d *drawer) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(&d.text, format+"\n", arguments...)
}

// between draws a number.
func (d *drawer) between(from, to float64) float64 { return from + (to-from)*d.rng.Float64() }

// limitersPerServer is how many limiters there are to each server of a hall in a fleet of a given size.
const limitersPerServer = 4

// scale makes the fleet one of so many limiters, with servers and load to match.
func (d *drawer) scale(limiters int) {
	d.growth = 1
	if limiters == 0 {
		return
	}
	d.growth = float64(limiters) / float64(d.limiters)
	d.limiters = limiters
	d.servers = max(d.servers, limiters/limitersPerServer)
}

// The draws of quiet spells. These come of numbers of their own: what else a seed draws is what it drew before there were any.
const (
	quietShare  = 0.4  // of the seeds
	quietFactor = 0.02 // of the usual rate
)

// drawQuiet draws a spell in which hardly a request comes, for a good part of the run, and after how long idle connections to
// servers are closed: before such a spell ends, or never.
func (d *drawer) drawQuiet(rng *rand.Rand) {
	d.idleClose = 15
	if rng.Float64() < quietShare {
		d.quietFrom = d.length * (0.1 + 0.3*rng.Float64())
		d.quietUntil = d.quietFrom + d.length*(0.25+0.25*rng.Float64())
		d.idleClose = 1 + 14*rng.Float64()*rng.Float64()
	}
}

// experiment writes the experiment's text.
func (d *drawer) experiment(seed uint64, program string) string {
	deadlines := []float64{d.between(0.4, 3), d.between(0.6, 3), d.between(0.6, 3)}
	d.longest = max(deadlines[0], deadlines[1], deadlines[2])
	d.line("name = %q", fmt.Sprint("soak-", seed))
	d.line("seed = %d", seed)
	d.line("length = %.1f", d.length)
	d.line("grace = 0.3\nslack = 0.15")
	d.line("[limiters]\ncount = %d\nprogram = %q\nmemory_mb = 64\nsockets = %d", d.limiters, program, 256+d.rng.IntN(256))
	d.line("[counter]\non = %v", d.counter)
	for _, name := range []string{"hall1", "hall2"} {
		d.line("[[servers]]\nname = %q\ncount = %d\nzone = %q\nwork = %.4f\ncapacity = 64\ncold_from = 0.25", name, d.servers,
			name, d.between(0.005, 0.03))
		d.line("warm_within = 10.0\nrepeats = 10.0\nfall = 2.0\nreport = %v", d.rng.IntN(2) == 0)
	}
	d.line("[load]\nrate = %.1f\nretry = 0.5\ngive_up = %.3f", d.growth*d.between(40, 140), d.between(0, 0.2))
	d.line("tracks = [")
	for i, name := range []string{"fetch", "order", "stamp"} {
		d.line("  {name = %q, share = 0.33, units = %d.0, cut_off = %.3f},", name, i+1, deadlines[i])
	}
	d.line("]\ncustomers = [")
	for i := range 4 {
		spread := 1 + d.rng.IntN(d.limiters)
		d.line("  {id = %q, plan = %q, share = 0.25, spread = %d, first = %d},", fmt.Sprintf("%016x", 0xa0+i),
			[]string{"team", "house"}[i%2], spread, d.rng.IntN(d.limiters))
	}
	d.line("]")
	d.faults()
	d.settings(deadlines)
	return d.text.String()
}

// settings writes the limiters' settings.
func (d *drawer) settings(deadlines []float64) {
	d.line("[settings]\ngranularity = 0.004")
	effects := []string{"free", "single_shot", "guarded"}
	for i, name := range []string{"fetch", "order", "stamp"} {
		d.line("[[settings.classes]]\nname = %q\naim = %.3f\ndeadline = %.3f\neffect = %q\ngroup = %q", name, deadlines[i]/2,
			deadlines[i], effects[i], []string{"all", "all", "zone"}[i])
		if effects[i] == "guarded" {
			d.line("dedup-window = %.2f", d.between(1, 9))
		}
	}
	d.line("[[settings.tariffs]]\nname = \"team\"\nrate = 30.0\nmost-at-once = 60.0\nbeyond-costs = 0.5")
	d.line("[[settings.tariffs]]\nname = \"house\"\nrate = 60.0\nmost-at-once = 120.0\nbeyond-costs = 0.5\nhard-rate = 90.0")
	d.line("never-over-depth = 150.0")
	d.line("[settings.family-info]\nhas-counter = %v\ncount-wait = 0.05\nunits-top = 6", d.counter)
	d.line("[settings.contract]\ncold-from = 0.25\nwarm-within = 10.0\nstop-sending-within = 0.25")
	d.line("[settings.permissions]\nattempts-cap = 3\ncancelling = %v\ndial-timeout = 0.25\nidle-close = %.2f", d.rng.IntN(4) > 0, d.idleClose)
	d.line("max-retry-after = 2.0\nprobes = %v\nretry-after = true\nsecond-copies = false", d.rng.IntN(2) == 0)
}

// fault writes one entry of the timeline.
func (d *drawer) fault(kind, target string, from, until float64, more string) {
	d.line("[[faults]]\nkind = %q\ntarget = %q\nfrom = %.3f", kind, target, from)
	if until > 0 {
		d.line("until = %.3f", until)
	}
	if more != "" {
		d.line("%s", more)
	}
}

// span draws when a fault begins and ends.
func (d *drawer) span(most float64) (from, until float64) {
	from = d.between(0.5, d.length*0.8)
	return from, from + d.between(0.2, most)
}

func (d *drawer) limiter() string { return fmt.Sprintf("limiter:%d", d.rng.IntN(d.limiters)) }

func (d *drawer) server() string {
	return fmt.Sprintf("server:hall%d-%d", 1+d.rng.IntN(2), d.rng.IntN(d.servers))
}

// faults writes the timeline: restarts and signals of limiters, and faults of every kind.
func (d *drawer) faults() {
	d.restarts()
	if d.quietFrom > 0 {
		d.fault("burst", "load", d.quietFrom, d.quietUntil, fmt.Sprintf("factor = %.2f", quietFactor))
	}
	for range minFaults + d.rng.IntN(extraFaults) {
		from, until := d.span(3)
		switch d.rng.IntN(14) {
		case 0, 1:
			kind := []string{"silent", "reset", "spoil", "error", "cut", "busy"}[d.rng.IntN(6)]
			d.fault(kind, d.server(), from, until, fmt.Sprintf("share = %.2f", d.between(0.1, 1)))
		case 2:
			d.fault("slow", d.server(), from, until, fmt.Sprintf("factor = %.1f", d.between(2, 30)))
		case 3:
			d.fault("drain", d.server(), from, until, "")
		case 4:
			d.fault("gone", d.server(), from, until, "")
		case 5:
			d.fault("replace", d.server(), from, 0, "")
		case 6:
			d.counterFault(from, until)
		case 7:
			d.fault("down", "discovery", from, until, "")
		case 8:
			d.fault("chunked", "discovery", from, until, "")
		case 9:
			d.fault("burst", "load", from, until, fmt.Sprintf("factor = %.1f", d.between(1.5, 4)))
		case 10:
			d.fault("stop", d.limiter(), from, from+d.between(0.05, 1.2), "")
		case 11, 12:
			d.linkFault(from, until)
		case 13:
			d.fault("kill", d.limiter(), from, from+d.between(0.1, 1), "")
		}
	}
}

// linkFault has a link from limiters to servers, the counter or discovery fail. What it delays is never let through later:
// a server would see attempts long after they were sent.
func (d *drawer) linkFault(from, until float64) {
	far := []string{"pool:hall1", "pool:hall2", "discovery", "counter"}[d.rng.IntN(4)]
	if far == "counter" && !d.counter {
		return
	}
	which := []string{"*", fmt.Sprint(d.rng.IntN(d.limiters))}[d.rng.IntN(2)]
	kind := []string{"cut", "cut_from", "reset", "half_open"}[d.rng.IntN(4)]
	d.fault(kind, "link:limiter:"+which+"-"+far, from, until, "")
}

func (d *drawer) counterFault(from, until float64) {
	if !d.counter {
		return
	}
	switch kind := []string{"down", "busy", "slow", "reset"}[d.rng.IntN(4)]; kind {
	case "slow":
		d.fault(kind, "counter", from, until, fmt.Sprintf("factor = %.0f", d.between(5, 200)))
	case "reset":
		d.fault(kind, "counter", from, 0, "")
	default:
		d.fault(kind, "counter", from, until, "")
	}
}

// restarts writes a planned restart of some limiters, one after the other, each in a series of signals. Their clients go on
// sending on open connections until the kill, which comes as early as it may.
func (d *drawer) restarts() {
	at := d.between(1, 2)
	for n := range d.limiters {
		if at > d.length-1 {
			return
		}
		target := fmt.Sprintf("limiter:%d", n)
		for range d.rng.IntN(3) {
			d.fault("hup", target, max(0, at-d.between(0, 0.3)), 0, "")
		}
		d.fault("term", target, at, at+0.1, "")
		for range d.rng.IntN(3) {
			d.fault([]string{"hup", "usr1"}[d.rng.IntN(2)], target, at+d.between(0, 0.6), 0, "")
		}
		at += d.between(0.3, d.longest+1.5)
	}
}
