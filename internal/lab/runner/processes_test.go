package runner

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"ospreycroft/internal/counterloss"
	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/mutants"
)

// loadExample reads an experiment of examples/lab for a program, with some of its text replaced.
func loadExample(t *testing.T, name, program string, replace ...string) *experiment.Experiment {
	t.Helper()
	if testing.Short() {
		t.Skip("many processes")
	}
	text, err := os.ReadFile("../../../examples/lab/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(replace); i += 2 {
		if !strings.Contains(string(text), replace[i]) {
			t.Fatalf("%s holds no %q", name, replace[i])
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

// resize gives an experiment so many limiters and seconds.
func resize(t *testing.T, e *experiment.Experiment, limiters int, length float64) *experiment.Experiment {
	t.Helper()
	e.Limiters.Count, e.Length = limiters, length
	for i := range e.Load.Customers {
		c := &e.Load.Customers[i]
		c.Spread, c.First = min(c.Spread, limiters), c.First%limiters
	}
	if err := e.Resize(); err != nil {
		t.Fatal(err)
	}
	return e
}

// wantBreach fails unless a broken limiter's run broke the rule.
func wantBreach(t *testing.T, r *Result, rule int) {
	t.Helper()
	if r.Verdict.Pass || r.Verdict.Counts[rule] == 0 {
		t.Errorf("rule %d was broken and nobody saw it: %s", rule, r.Verdict.Line())
	}
}

// TestRollingRestartAnswersEveryRequest ends all of 20 limiters by SIGTERM, a tenth at a time, under clients that use a
// connection for as long as it stays open: each request that was taken has its answer, and none finds nobody.
func TestRollingRestartAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	r, _ := runPassing(t, loadExample(t, "rolling", buildLimiter(t)))
	terms, sentAfterTerm := map[string]int64{}, 0
	for _, e := range r.Run.Events {
		if e.Kind == "term" {
			terms[e.Target] = e.At
		}
	}
	for _, j := range r.Run.Requests {
		if at, was := terms[targetOf(j.Limiter)]; was && j.Sent > at && j.Sent < at+int64(rotationDelay) {
			sentAfterTerm++
		}
	}
	t.Logf("%d jobs came in the first %v after a SIGTERM", sentAfterTerm, rotationDelay)
	if len(terms) != 20 || len(r.Run.Processes) != 40 || sentAfterTerm == 0 {
		t.Errorf("%d limiters ended, %d processes, %d jobs after SIGTERM", len(terms), len(r.Run.Processes), sentAfterTerm)
	}
	if n := r.Verdict.Outcomes[history.NotAccepted]; n > 0 {
		t.Errorf("%d jobs found nobody", n)
	}
}

func TestRollingRestartThatDropsRequestsIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, resize(t, loadExample(t, "rolling", brokenLimiter(t, mutants.Drop)), 10, 5))
	wantBreach(t, r, 1)
}

// TestLinkFaults cuts three of 12 limiters off from discovery while a server drains, stops a fourth past the drain, and
// then cuts, stalls, slows, resets and half opens links to servers. A limiter that was stopped used to send on, when it
// woke, requests whose clients' time was over.
func TestLinkFaults(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, loadExample(t, "links", buildLimiter(t)))
	requests := map[string]history.Request{}
	for _, j := range r.Run.Requests {
		requests[j.ID] = j
	}
	for _, b := range r.Verdict.Breaches {
		t.Errorf("rule %d at %.3f s: %s: %s", b.Rule, float64(b.At)/1e9, b.What, b.Detail)
	}
	byStaleList, overSlowLink, overCutLink := 0, 0, 0
	for _, s := range r.Run.Attempts {
		j := requests[s.ID]
		switch {
		case s.Server == "hall1-0" && s.At > 43e8 && s.At < 105e8 && j.Limiter <= 2:
			byStaleList++
		case j.Limiter == 11 && strings.HasPrefix(s.Server, "hall1-") && s.At > 111e8 && s.At < 145e8 &&
			j.Outcome == history.Succeeded:
			if overSlowLink++; j.Answered-j.Sent < 40e6 {
				t.Errorf("%s took %.1f ms over a link that adds 40", j.ID, float64(j.Answered-j.Sent)/1e6)
			}
		case j.Limiter >= 6 && j.Limiter <= 8 && s.Server == "hall2-0" && s.At > 1105e7 && s.At < 13e9:
			overCutLink++
		}
	}
	if byStaleList == 0 || overSlowLink == 0 || overCutLink > 0 ||
		r.Verdict.Stopped == 0 || r.Verdict.CutOff == 0 || len(r.Failures) > 0 {
		t.Errorf(
			"the faults were not there: %d shots by old lists, %d over the slow link, %d over the cut one, %d jobs stopped, "+
				"%d cut off; failures %v",
			byStaleList,
			overSlowLink,
			overCutLink,
			r.Verdict.Stopped,
			r.Verdict.CutOff,
			r.Failures,
		)
	}
}

func TestLimiterIgnoringEndpointListIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(
		t,
		resize(t, loadExample(t, "links", brokenLimiter(t, mutants.Deaf),
			"from = 3.5\nuntil = 7.5", "from = 1.0\nuntil = 1.2",
			"from = 4.0", "from = 1.5"), 12, 4),
	)
	wantBreach(t, r, 3)
}

// coldStartExperiment is a cold start of 30 limiters of which seven in ten are killed in the middle.
func coldStartExperiment(t *testing.T, program string, length float64, replace ...string) *experiment.Experiment {
	e := loadExample(t, "coldstart", program, append(replace, "rate = 300.0", "rate = 500.0", "[settings]\n", `[[faults]]
kind = "kill"
target = "limiter:0..29"
from = 1.5
until = 2.0
share = 0.7
delay = 0.3
old_list = true

[[faults]]
kind = "drain"
target = "server:hall1-0"
from = 1.9

[settings]
`)...)
	return resize(t, e, 30, length)
}

// TestColdStartWithKills starts 30 limiters within a second before a list service that bears 20 calls a second, half
// of the servers cold, and kills seven in ten of them, which come back late and with a list from before a drain: no
// cold server is sent more than it bears, and the drain is kept from when each has been told of it.
func TestColdStartWithKills(t *testing.T) {
	t.Parallel()
	r, _ := runPassing(t, coldStartExperiment(t, buildLimiter(t), 8))
	f := FleetOf(r.Run)
	t.Logf("%+v", f)
	staleStarts := 0
	for _, p := range r.Run.Processes[30:] {
		if p.ListGeneration == r.Run.Processes[0].ListGeneration && p.Started > 22e8 {
			staleStarts++
		}
	}
	if staleStarts != 21 {
		t.Errorf("%d processes came back late and with the old list, not 21", staleStarts)
	}
	if f.StartTook > int64(maxStartSpread) || len(r.Run.Processes) != 30+21 || f.NotReady > 0 || f.TurnedAway == 0 {
		t.Errorf("%d processes, %d not ready, %+v", len(r.Run.Processes), f.NotReady, f)
	}
}

// TestColdStartStaggersDiscoveryCalls starts 30 limiters at once before a list service that has to be asked and bears 8 calls a
// second, and kills seven in ten of them. With that stated in their operator's file they ask in turn, killed or not;
// without it many are turned away. A call may reach the service in the second next to its own.
func TestColdStartStaggersDiscoveryCalls(t *testing.T) {
	t.Parallel()
	for _, listCalls := range []float64{0, 7} {
		e := coldStartExperiment(t, buildLimiter(t), 8,
			"granularity = 0.004", "granularity = 0.004\nregistry-mode = \"on_request\"",
			"[settings.contract]", "[settings.contract]\nask-every = 10.0", "factor = 20.0", "factor = 8.0")
		e.Limiters.ListCalls = listCalls
		r, _ := runPassing(t, e)
		f := FleetOf(r.Run)
		t.Logf("stated %v: %+v", listCalls, f)
		if listCalls > 0 && (f.CallsPeak > 10 || f.TurnedAway > 2 || f.Calls < 30) || listCalls == 0 && f.TurnedAway < 10 {
			t.Errorf(
				"stated %v: %d calls, %d in the worst second, %d turned away",
				listCalls,
				f.Calls,
				f.CallsPeak,
				f.TurnedAway,
			)
		}
	}
}

func TestLimiterThatOverrunsColdServersIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, coldStartExperiment(t, brokenLimiter(t, mutants.Cold), 3))
	wantBreach(t, r, 4)
}

// TestCounterCutOneWay loses the counter's answers to a third of 12 limiters for 4 s while customers ask for three
// times their quota: the ceiling holds, the quota is passed by no more than what counterloss states for 6 s without a
// counter, and the counter hears of those limiters again.
func TestCounterCutOneWay(t *testing.T) {
	t.Parallel()
	e := loadExample(t, "countcut", buildLimiter(t))
	r, _ := runPassing(t, e)
	spreads := map[string]int{}
	for _, c := range e.Load.Customers {
		spreads[c.ID] = c.Spread
	}
	for _, u := range invariants.Quotas(r.Run.Requests, r.Run.Attempts, e.Settings) {
		b, err := counterloss.BoundOf(
			u.Plan,
			e.Settings.Plans[u.Plan],
			e.Settings.MaxRequestUnits,
			spreads[u.Customer],
			counterloss.Lost,
			1,
		)
		if err != nil {
			t.Fatal(err)
		}
		bound := b.BurstExcess + b.ExcessRate*6 + e.Settings.MaxRequestUnits
		t.Logf("%s: excess %.1f, stated %.1f", u.Customer, u.Excess, bound)
		if u.Excess > bound {
			t.Errorf("%s: excess %.1f past the stated %.1f", u.Customer, u.Excess, bound)
		}
	}
	cutLimiters, callsBefore, callsDuring := 0, 0, 0
	for n := range e.Limiters.Count {
		if len(e.Script(n, experiment.Counting, "", "")) == 0 {
			continue
		}
		cutLimiters++
		during, later := 0, 0
		for second, calls := range r.Run.Counts[n] {
			switch {
			case second >= 1 && second < 4:
				callsBefore += calls
			case second >= 5 && second < 8:
				during += calls
			case second >= 9 && second < 14:
				later += calls
			}
		}
		t.Logf("limiter %d: %d calls added while its answers were lost, %d after", n, during, later)
		if later == 0 {
			t.Errorf("limiter %d never came back to the counter", n)
		}
		callsDuring += during
	}
	if cutLimiters != 4 || callsDuring > callsBefore/2 {
		t.Errorf("%d limiters cut, not a third; %d calls before the cut and %d in it", cutLimiters, callsBefore, callsDuring)
	}
}

func TestLimiterExceedingCeilingIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, resize(t, loadExample(t, "countcut", brokenLimiter(t, mutants.Over)), 12, 5))
	wantBreach(t, r, 5)
}

// A limiter that does not end at SIGTERM is killed once all clients' time is over, and restarted only then.
func TestLimiterIgnoringSIGTERMIsKilled(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(
		t,
		resize(t, loadExample(t, "rolling", brokenLimiter(t, mutants.Stay),
			"from = 2.0\nuntil = 3.0", "from = 0.5\nuntil = 1.0",
			"every = 1.2", "every = 9.0", "cut_off = 2.5", "cut_off = 1.5"), 2, 4),
	)
	var term, kill, restart int64
	for _, e := range r.Run.Events {
		switch e.Kind {
		case "term":
			term = e.At
		case "term-kill":
			kill = e.At
		case "restart":
			restart = e.At
		}
	}
	if took := kill - term; took < 22e8 || took > 25e8 || restart < kill {
		t.Errorf("SIGTERM at %d, SIGKILL at %d, restart at %d", term, kill, restart)
	}
}

// A limiter that ends by itself, and one that cannot be started, fail the run by name.
func TestFailedLimitersFailTheRun(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, resize(t, loadExample(t, "countcut", brokenLimiter(t, mutants.Crash)), 2, 3))
	var crashed *CrashError
	if r.Verdict.Counts[0] != 2 || !errors.As(errors.Join(r.Failures...), &crashed) ||
		!strings.HasSuffix(crashed.Log, ".log") {
		t.Errorf("%s %v", r.Verdict.Line(), r.Failures)
	}
	r, _ = runExperiment(t, resize(t, loadExample(t, "countcut", "no/such/program"), 2, 3))
	var notStarted *StartError
	if r.Verdict.Counts[0] != 2 || !errors.As(errors.Join(r.Failures...), &notStarted) || len(r.Run.Requests) > 0 ||
		!strings.Contains(fmt.Sprint(r.Verdict.Breaches), notStarted.Log) {
		t.Errorf("%s %v", r.Verdict.Line(), r.Failures)
	}
}
