package runner

import (
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"ospreycroft/internal/counterloss"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/mutants"
)

// TestMain runs the test binary as a broken limiter if the lab started it by a name of package mutants.
func TestMain(m *testing.M) {
	if mode := mutants.Mode(os.Args[0]); mode != "" {
		if err := mutants.Main(mode); err != nil {
			os.Exit(2)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// brokenLimiter returns the path of a limiter that is broken in the given mode of package mutants.
func brokenLimiter(t *testing.T, mode string) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), mutants.NamePrefix+mode)
	if err := os.Symlink(self, path); err != nil {
		t.Fatal(err)
	}
	return path
}

// runSlots limits the experiments that run concurrently: with more, the load of the machine would decide the results.
var runSlots = make(chan struct{}, 3)

// runExperiment runs e and returns the result, whatever the verdict, and the directory with the run's files.
func runExperiment(t *testing.T, e *experiment.Experiment) (*Result, string) {
	t.Helper()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	dir := t.TempDir()
	r, err := Run(e, dir, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r.Verdict.Line())
	return r, dir
}

// buildLimiter builds the real limiter and returns its path.
func buildLimiter(t *testing.T) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), "ospreycroft")
	cmd := exec.Command("go", "build", "-o", out, "ospreycroft/cmd/ospreycroft")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	return out
}

// defaultExperiment returns the experiment of examples/lab/default.toml for a program, with its text changed by edit.
func defaultExperiment(t *testing.T, program string, edit func(string) string) *experiment.Experiment {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lab/default.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := strings.Replace(string(text), `program = "bin/ospreycroft"`, `program = "`+program+`"`, 1)
	e, err := experiment.Parse(edit(s))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// runPassing is runExperiment for a run that must keep the rules.
func runPassing(t *testing.T, e *experiment.Experiment) (*Result, string) {
	t.Helper()
	r, dir := runExperiment(t, e)
	if !r.Verdict.Pass {
		t.Fatalf("%+v\n%v", r.Verdict.Breaches, r.Failures)
	}
	return r, dir
}

// TestDefaultExperimentKeepsTheRules runs the default experiment with all its faults against the real limiter.
func TestDefaultExperimentKeepsTheRules(t *testing.T) {
	if testing.Short() {
		t.Skip("20 s of load")
	}
	t.Parallel()
	e := defaultExperiment(t, buildLimiter(t), func(s string) string { return s })
	r, _ := runPassing(t, e)
	if r.Verdict.Outcomes["done"] < r.Verdict.Requests/3 || r.Verdict.Attempts == 0 {
		t.Fatalf("too few requests succeeded for a meaningful run: %s", r.Verdict.Line())
	}
}

// TestBrokenLimiterIsCaught runs a limiter that retries non-idempotent requests after a silence: the lab must find the
// second attempts in the servers' records.
func TestBrokenLimiterIsCaught(t *testing.T) {
	t.Parallel()
	e := defaultExperiment(t, brokenLimiter(t, mutants.RetryUnsafely), func(s string) string {
		s = strings.Replace(s, "length = 20.0", "length = 4.0", 1)
		s = strings.Replace(s, "from = 3.0\nuntil = 6.0", "from = 0.5\nuntil = 3.0", 1)
		return s
	})
	r, _ := runExperiment(t, e)
	if r.Verdict.Pass || r.Verdict.Counts[2] == 0 {
		t.Fatalf("second attempts of non-idempotent requests were not detected: %s", r.Verdict.Line())
	}
}

// TestCounterLossWithinStatedBound takes the counter down, empties it and splits it under load. Rule 5 must hold, and
// each customer's excess over its quota must stay within what counterloss states for its number of limiters and these
// faults.
func TestCounterLossWithinStatedBound(t *testing.T) {
	if testing.Short() {
		t.Skip("20 s of load")
	}
	t.Parallel()
	e, err := experiment.Read("../../../examples/lab/countloss.toml")
	if err != nil {
		t.Fatal(err)
	}
	e.Limiters.Program = buildLimiter(t)
	r, _ := runPassing(t, e)
	spreads := map[string]int{}
	for _, c := range e.Load.Customers {
		spreads[c.ID] = c.Spread
	}
	for _, u := range invariants.Quotas(r.Run.Requests, r.Run.Attempts, e.Settings) {
		plan, spread := e.Settings.Plans[u.Plan], spreads[u.Customer]
		bound := 0.0
		for _, c := range []struct {
			c       counterloss.Scenario
			parts   int
			seconds float64
		}{{counterloss.Lost, 1, 4}, {counterloss.Reset, 1, 0}, {counterloss.Split, 2, 6}} {
			b, err := counterloss.BoundOf(u.Plan, plan, e.Settings.MaxRequestUnits, spread, c.c, c.parts)
			if err != nil {
				t.Fatal(err)
			}
			bound += b.BurstExcess + b.ExcessRate*c.seconds
		}
		bound = min(bound, plan.CeilingBurst-plan.Burst+(plan.CeilingRate-plan.Rate)*e.Length)
		t.Logf("%s: %d limiters, excess %.1f, bound %.1f", u.Customer, spread, u.Excess, bound)
		if u.Excess > bound+e.Settings.MaxRequestUnits {
			t.Errorf("%s: excess %.1f is over the bound %.1f", u.Customer, u.Excess, bound)
		}
	}
}

// TestMigrationStarvesNeitherKind runs limiters with the old and with the new settings against the same servers. The
// rules must hold, and for each plan the shares of requests that succeed through the two kinds must be within a third
// of each other.
func TestMigrationStarvesNeitherKind(t *testing.T) {
	if testing.Short() {
		t.Skip("16 s of load")
	}
	t.Parallel()
	e, err := experiment.Read("../../../examples/lab/move.toml")
	if err != nil {
		t.Fatal(err)
	}
	e.Limiters.Program = buildLimiter(t)
	r, _ := runPassing(t, e)
	var requested, done [2]map[string]int // by kind and plan
	for kind := range requested {
		requested[kind], done[kind] = map[string]int{}, map[string]int{}
	}
	for _, request := range r.Run.Requests {
		if request.Limiter < 0 {
			continue // its limiter was dead and did not accept it
		}
		kind := 0
		if request.Limiter >= e.Limiters.Count-e.Limiters.Moved {
			kind = 1
		}
		if !request.Retry {
			requested[kind][request.Plan]++
		}
		if request.Outcome == history.Succeeded {
			done[kind][request.Plan]++
		}
	}
	for _, plan := range []string{"team", "house"} {
		var share [2]float64
		for kind := range share {
			share[kind] = float64(done[kind][plan]) / float64(max(requested[kind][plan], 1))
		}
		t.Logf("%s: %d of %d requests succeeded by the old kind, %d of %d by the new",
			plan, done[0][plan], requested[0][plan],
			done[1][plan], requested[1][plan])
		if min(share[0], share[1]) < max(share[0], share[1])*2/3 || share[0] == 0 {
			t.Errorf("%s: the shares that succeeded are %.2f and %.2f", plan, share[0], share[1])
		}
	}
}

// TestJoinHoldsTheRules runs a shortened examples/lab/join.toml: half of the servers are replaced while discovery,
// which must be polled, is overloaded and servers accept few connections. The rules must hold, and at least a third of
// the requests must succeed (most others exceed their quota). Although discovery rejects calls, two thirds of the
// limiters must learn of the replacement within 8 s; a limiter that is rejected twice backs off for longer than that.
func TestJoinHoldsTheRules(t *testing.T) {
	if testing.Short() {
		t.Skip("9 s of load")
	}
	t.Parallel()
	text, err := os.ReadFile("../../../examples/lab/join.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := strings.NewReplacer("length = 16.0", "length = 9.0",
		`program = "bin/ospreycroft"`, `program = "`+buildLimiter(t)+`"`,
		"from = 4.0", "from = 1.0", "from = 7.0", "from = 2.0", "from = 10.0", "from = 3.0").Replace(string(text))
	e, err := experiment.Parse(s)
	if err != nil {
		t.Fatal(err)
	}
	r, dir := runPassing(t, e)
	if r.Verdict.Outcomes["done"] < r.Verdict.Requests/3 {
		t.Fatalf("too few requests succeeded: %s", r.Verdict.Line())
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(logs) != e.Limiters.Count {
		t.Fatalf("%d logs, error %v", len(logs), err)
	}
	throttled, unnotified := 0, 0
	for _, path := range logs {
		log, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		throttled += strings.Count(string(log), "event=list-throttled")
		if strings.Count(string(log), "event=list ") < 2 {
			unnotified++
		}
	}
	if t.Logf("%s; %d calls rejected", r.Verdict.Line(), throttled); throttled == 0 || unnotified > len(logs)/3 {
		t.Errorf("%d calls rejected, %d of %d limiters received no list update", throttled, unnotified, len(logs))
	}
}
