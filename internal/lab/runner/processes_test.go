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

// loadExample reads an experiment of examples/lab for a program. replace holds pairs of a text of the file and its
// replacement; each text must occur.
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
			t.Fatalf("%s does not contain %q", name, replace[i])
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

// resize sets the number of limiters and the length in seconds of an experiment.
func resize(t *testing.T, e *experiment.Experiment, limiters int, length float64) *experiment.Experiment {
	t.Helper()
	e.Limiters.Count, e.Length = limiters, length
	for i := range e.Load.Customers {
		c := &e.Load.Customers[i]
		c.Spread, c.First = min(c.Spread, limiters), c.First%limiters
	}
	if err := e.Revalidate(); err != nil {
		t.Fatal(err)
	}
	return e
}

// wantBreach fails the test unless the run has a breach of the rule.
func wantBreach(t *testing.T, r *Result, rule int) {
	t.Helper()
	if r.Verdict.Pass || r.Verdict.Counts[rule] == 0 {
		t.Errorf("the breach of rule %d was not detected: %s", rule, r.Verdict.Line())
	}
}

// TestRollingRestartAnswersEveryRequest guards against requests lost in a graceful shutdown. It ends all of 20 limiters
// with SIGTERM, a tenth at a time, under clients that use a connection for as long as it stays open. Every accepted
// request must be answered, and every request must reach a limiter.
func TestRollingRestartAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	r, _ := runPassing(t, loadExample(t, "rolling", buildLimiter(t)))
	terms, sentAfterTerm := map[string]int64{}, 0
	for _, e := range r.Run.Events {
		if e.Kind == "term" {
			terms[e.Target] = e.At
		}
	}
	for _, request := range r.Run.Requests {
		if at, ok := terms[targetOf(request.Limiter)]; ok && request.Sent > at && request.Sent < at+int64(rotationDelay) {
			sentAfterTerm++
		}
	}
	t.Logf("%d requests were sent within %v after a SIGTERM", sentAfterTerm, rotationDelay)
	if len(terms) != 20 || len(r.Run.Processes) != 40 || sentAfterTerm == 0 {
		t.Errorf("%d limiters were sent SIGTERM, %d processes, %d requests after SIGTERM",
			len(terms), len(r.Run.Processes), sentAfterTerm)
	}
	if n := r.Verdict.Outcomes[history.NotAccepted]; n > 0 {
		t.Errorf("%d requests reached no limiter", n)
	}
}

// TestRollingRestartThatDropsRequestsIsCaught runs a limiter that drops its requests at SIGTERM.
func TestRollingRestartThatDropsRequestsIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, resize(t, loadExample(t, "rolling", brokenLimiter(t, mutants.ExitAtOnce)), 10, 5))
	wantBreach(t, r, 1)
}

// TestLinkFaults cuts three of 12 limiters off from discovery while a server drains, stops a fourth past the drain, and
// then cuts, stalls, slows, resets and half-opens links to servers. It guards against a limiter that, resumed after
// SIGSTOP, forwards requests whose clients no longer wait.
func TestLinkFaults(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, loadExample(t, "links", buildLimiter(t)))
	requests := map[string]history.Request{}
	for _, request := range r.Run.Requests {
		requests[request.ID] = request
	}
	for _, b := range r.Verdict.Breaches {
		t.Errorf("rule %d at %.3f s: %s: %s", b.Rule, float64(b.At)/1e9, b.What, b.Detail)
	}
	byStaleList, overSlowLink, overCutLink := 0, 0, 0
	for _, attempt := range r.Run.Attempts {
		request := requests[attempt.ID]
		switch {
		case attempt.Server == "hall1-0" && attempt.At > 43e8 && attempt.At < 105e8 && request.Limiter <= 2:
			byStaleList++
		case request.Limiter == 11 && strings.HasPrefix(attempt.Server, "hall1-") && attempt.At > 111e8 &&
			attempt.At < 145e8 && request.Outcome == history.Succeeded:
			if overSlowLink++; request.Answered-request.Sent < 40e6 {
				t.Errorf("%s took %.1f ms over a link that adds 40", request.ID, float64(request.Answered-request.Sent)/1e6)
			}
		case request.Limiter >= 6 && request.Limiter <= 8 && attempt.Server == "hall2-0" &&
			attempt.At > 1105e7 && attempt.At < 13e9:
			overCutLink++
		}
	}
	if byStaleList == 0 || overSlowLink == 0 || overCutLink > 0 ||
		r.Verdict.Stopped == 0 || r.Verdict.CutOff == 0 || len(r.Failures) > 0 {
		t.Errorf(
			"faults without effect: %d attempts by stale lists, %d over the slow link, %d over the cut one, "+
				"%d requests stopped, %d cut off; failures %v",
			byStaleList,
			overSlowLink,
			overCutLink,
			r.Verdict.Stopped,
			r.Verdict.CutOff,
			r.Failures,
		)
	}
}

// TestLimiterIgnoringEndpointListIsCaught runs a limiter that ignores updates of the endpoint list.
func TestLimiterIgnoringEndpointListIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(
		t,
		resize(t, loadExample(t, "links", brokenLimiter(t, mutants.IgnoreList),
			"from = 3.5\nuntil = 7.5", "from = 1.0\nuntil = 1.2",
			"from = 4.0", "from = 1.5"), 12, 4),
	)
	wantBreach(t, r, 3)
}

// coldStartExperiment returns a cold start of 30 limiters for a program, 70 % of which are killed at 1.5 s and
// restarted with the endpoint list of their first start.
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

// TestColdStartWithKills starts 30 limiters within a second, with half of the servers cold and a discovery service that
// bears 20 calls per second. 70 % of the limiters are killed and restarted, late and with a list from before a drain.
// No cold server may be sent more than it bears, and each limiter must observe the drain once it has been notified of
// it.
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
		t.Errorf("%d processes were restarted late and with the old list, want 21", staleStarts)
	}
	if f.StartTook > int64(maxStartSpread) || len(r.Run.Processes) != 30+21 || f.NotReady > 0 || f.TurnedAway == 0 {
		t.Errorf("%d processes, %d not ready, %+v", len(r.Run.Processes), f.NotReady, f)
	}
}

// TestColdStartStaggersDiscoveryCalls starts 30 limiters at once with a discovery service that must be polled and bears
// 8 calls per second, and kills 70 % of them. If the operator's file states the rate, the limiters stagger their calls,
// also after a restart; otherwise discovery rejects many. A call may arrive in the second next to the one it was
// scheduled for.
func TestColdStartStaggersDiscoveryCalls(t *testing.T) {
	t.Parallel()
	for _, listCalls := range []float64{0, 7} {
		e := coldStartExperiment(t, buildLimiter(t), 8,
			"granularity = 0.004", "granularity = 0.004\nregistry-mode = \"on_request\"",
			"[settings.contract]", "[settings.contract]\nask-every = 10.0", "factor = 20.0", "factor = 8.0")
		e.Limiters.ListCalls = listCalls
		r, _ := runPassing(t, e)
		f := FleetOf(r.Run)
		t.Logf("list_calls_per_s %v: %+v", listCalls, f)
		if listCalls > 0 && (f.CallsPeak > 10 || f.TurnedAway > 2 || f.Calls < 30) || listCalls == 0 && f.TurnedAway < 10 {
			t.Errorf(
				"list_calls_per_s %v: %d calls, %d in the worst second, %d rejected",
				listCalls,
				f.Calls,
				f.CallsPeak,
				f.TurnedAway,
			)
		}
	}
}

// TestLimiterThatOverrunsColdServersIsCaught runs a limiter that prefers servers that have just started.
func TestLimiterThatOverrunsColdServersIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, coldStartExperiment(t, brokenLimiter(t, mutants.PreferCold), 3))
	wantBreach(t, r, 4)
}

// TestCounterCutOneWay drops the counter's answers to a third of 12 limiters for 4 s while customers request three
// times their quota. The ceiling must hold, the excess over the quota must stay within what counterloss states for 6 s
// without a counter, and the limiters must call the counter again afterwards.
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
		t.Logf("%s: excess %.1f, bound %.1f", u.Customer, u.Excess, bound)
		if u.Excess > bound {
			t.Errorf("%s: excess %.1f is over the bound %.1f", u.Customer, u.Excess, bound)
		}
	}
	cutLimiters, callsBefore, callsDuring := 0, 0, 0
	for n := range e.Limiters.Count {
		if len(e.LinkFaults(n, experiment.PeerCounter, "", "")) == 0 {
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
			t.Errorf("limiter %d did not call the counter again", n)
		}
		callsDuring += during
	}
	if cutLimiters != 4 || callsDuring > callsBefore/2 {
		t.Errorf("%d limiters cut, not a third; %d calls before the cut and %d in it", cutLimiters, callsBefore, callsDuring)
	}
}

// TestLimiterExceedingCeilingIsCaught runs a limiter that admits every request.
func TestLimiterExceedingCeilingIsCaught(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, resize(t, loadExample(t, "countcut", brokenLimiter(t, mutants.ExceedCeiling)), 12, 5))
	wantBreach(t, r, 5)
}

// TestLimiterIgnoringSIGTERMIsKilled: a limiter that does not end at SIGTERM is killed once no client waits any longer,
// and is restarted only after that.
func TestLimiterIgnoringSIGTERMIsKilled(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(
		t,
		resize(t, loadExample(t, "rolling", brokenLimiter(t, mutants.WaitForClients),
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

// TestFailedLimitersFailTheRun: a limiter that crashes and one that cannot be started fail the run, with an error that
// names its log.
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
