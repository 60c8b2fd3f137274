package runner

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/mutants"
)

const (
	// discoverySlow is the fault of discovery in examples/lab/restart.toml, which other cases replace with theirs.
	discoverySlow = "kind = \"slow\"\ntarget = \"discovery\"\nfrom = 1.5\nfactor = 3000.0\n"
	discoveryDown = "kind = \"down\"\ntarget = \"discovery\"\nfrom = 1.5\n"
	// slowPlan is a plan whose ceiling, split among 20 limiters, takes a new process 12 s to fill for the largest
	// request.
	slowPlan = `[[settings.tariffs]]
name = "slow"
rate = 8.0
most-at-once = 60.0
value-factor = 1.0
beyond-costs = 0.5
hard-rate = 10.0
never-over-depth = 150.0

[settings.family-info]`
)

// restartExperiment returns the experiment of examples/lab/restart.toml for a program. replace holds pairs of a text of
// the file and its replacement; each text must occur.
func restartExperiment(t *testing.T, program string, replace ...string) *experiment.Experiment {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lab/restart.toml")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(replace); i += 2 {
		if !strings.Contains(string(text), replace[i]) {
			t.Fatalf("restart.toml does not contain %q", replace[i])
		}
	}
	e, err := experiment.Parse(
		strings.NewReplacer(append(replace, "bin/ospreycroft", program)...).Replace(string(text)),
	)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestRestartedLimitersAreReady guards against limiters that depend on discovery, or on filled ceilings, to become
// ready. It restarts all of 20 limiters with SIGTERM, a tenth at a time, with the endpoint list of their first start,
// while discovery answers 3 s late or not at all. 90 % must be ready within 10 s of exec and all within 30 s, the rules
// must hold, and at most one limiter in ten may have an outage. In the third case a ceiling takes longer than 10 s to
// fill.
// With -short, six limiters are restarted, half of them at a time.
func TestRestartedLimitersAreReady(t *testing.T) {
	t.Parallel()
	program := buildLimiter(t)
	for _, c := range []struct {
		name, fault string
		length      float64
		plan        string
		short       bool // the case runs with -short too
	}{
		{"discovery slow", discoverySlow, 20, "[settings.family-info]", true},
		{"discovery down", discoveryDown, 20, "[settings.family-info]", true},
		{"discovery down, a ceiling that fills slowly", discoveryDown, 29, slowPlan, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			limiters := 20
			replace := []string{discoverySlow, c.fault, "[settings.family-info]", c.plan}
			if testing.Short() {
				if !c.short {
					t.Skip("29 s of load")
				}
				limiters, c.length = 6, 7
				replace = append(replace, "share = 0.1", "share = 0.5")
			}
			r, _ := runExperiment(t, resize(t, restartExperiment(t, program, replace...), limiters, c.length))
			if !r.Verdict.Pass {
				t.Errorf("%+v\n%v", r.Verdict.Breaches, r.Failures)
			}
			restarts := RestartsOf(r.Run)
			t.Logf(
				"%s: %d of %d restarted processes ready, %d within 10 s; ready p50 %s, p90 %s, max %s",
				c.name,
				restarts.Ready,
				restarts.Count,
				restarts.ReadyInTime,
				formatSeconds(restarts.P50),
				formatSeconds(restarts.P90),
				formatSeconds(restarts.Max),
			)
			if restarts.Count != limiters || !restarts.MeetsTarget() || restarts.Ready < limiters ||
				restarts.Max > int64(defaultReadyTimeout) {
				t.Errorf("%+v of %d limiters", restarts, limiters)
			}
			s := &r.Verdict.Service
			if late, lost := s.Missed(); late+lost > 0 || s.OutageShare() > invariants.MaxOutageShare {
				t.Errorf("%d late, %d lost, outages %+v", late, lost, s.Outages)
			}
		})
	}
}

// TestLimiterThatAwaitsDiscoveryIsCaught runs a limiter that is not ready before discovery has answered it: with
// discovery down, the summary must report that it never becomes ready.
func TestLimiterThatAwaitsDiscoveryIsCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("6 s of load")
	}
	t.Parallel()
	r, _ := runExperiment(
		t,
		resize(
			t,
			restartExperiment(t, brokenLimiter(t, mutants.Await), discoverySlow, discoveryDown, "share = 0.1", "share = 1.0"),
			2,
			6,
		),
	)
	restarts := RestartsOf(r.Run)
	if restarts.Count != 2 || restarts.Ready > 0 || restarts.MeetsTarget() || restarts.P50 != -1 {
		t.Errorf("%+v", restarts)
	}
	wantSummaryLines(t, r, "restarts count=2 ready=0 within_10s=0 ready50=never ready90=never ready100=never")
}

// TestRestartsOf: first processes and processes that ended before they were ready do not count; processes that were not
// ready at the end of the run do.
func TestRestartsOf(t *testing.T) {
	const second = int64(1e9)
	processes := []history.Process{
		{Limiter: 0, Started: 1, Ready: 25 * second},
		{Limiter: 1, Started: 2, Ready: 25 * second},
	}
	for i := range int64(10) {
		processes = append(processes, history.Process{Limiter: int(i % 2), Started: 30 * second, Ready: (31 + i) * second})
	}
	ended := history.Process{Limiter: 1, Started: 30 * second, Ended: 31 * second}
	never := history.Process{Limiter: 1, Started: 30 * second}
	late := history.Process{Limiter: 1, Started: 30 * second, Ready: 40*second + 1}
	for _, c := range []struct {
		name        string
		processes   []history.Process
		want        Restarts
		meetsTarget bool
	}{
		{
			"all within 10 s", append(processes[:12:12], ended),
			Restarts{10, 10, 10, 5 * second, 9 * second, 10 * second}, true,
		},
		{
			"one of ten over 10 s", append(processes[:11:11], late),
			Restarts{10, 10, 9, 5 * second, 9 * second, 10*second + 1}, true,
		},
		{
			"the slowest one first", append(append(processes[:2:2], late), processes[2:11]...),
			Restarts{10, 10, 9, 5 * second, 9 * second, 10*second + 1}, true,
		},
		{
			"one of ten never", append(processes[:11:11], never),
			Restarts{10, 9, 9, 5 * second, 9 * second, -1}, true,
		},
		{
			"two of ten over 10 s", append(processes[:10:10], late, late),
			Restarts{10, 10, 8, 5 * second, 10*second + 1, 10*second + 1}, false,
		},
		{"none restarted", processes[:2], Restarts{0, 0, 0, -1, -1, -1}, true},
	} {
		got := RestartsOf(&history.Run{Processes: c.processes})
		if got != c.want || got.MeetsTarget() != c.meetsTarget {
			t.Errorf("%s: %+v, nine in ten %v; want %+v", c.name, got, got.MeetsTarget(), c.want)
		}
		var line bytes.Buffer
		if got.Write(&line); (line.Len() > 0) != (got.Count > 0) {
			t.Errorf("%s: %q", c.name, line.String())
		}
	}
}
