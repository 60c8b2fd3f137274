package runner

import (
	"bytes"
	"strings"
	"testing"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/mutants"
)

// pairExperiment returns an experiment of length seconds with two limiters of a program, 40 requests per second and
// only the given faults.
func pairExperiment(t *testing.T, program string, length float64, faults ...experiment.Fault) *experiment.Experiment {
	t.Helper()
	e := loadExample(t, "rolling", program, "rate = 200.0", "rate = 40.0", "cut_off = 2.5", "cut_off = 1.0")
	e.Faults = faults
	return resize(t, e, 2, length)
}

// summaryOf returns the summary of a run.
func summaryOf(r *Result) string {
	var out bytes.Buffer
	Summarise(&out, r)
	return out.String()
}

// wantSummaryLines fails the test for each of lines that the summary of a run does not contain.
func wantSummaryLines(t *testing.T, r *Result, lines ...string) {
	t.Helper()
	text := summaryOf(r)
	t.Log(text)
	for _, line := range lines {
		if !strings.Contains(text, line) {
			t.Errorf("the summary does not contain %q:\n%s", line, text)
		}
	}
}

// TestLimiterRejectingAllIsReported: a limiter that rejects every request breaks no rule, so the run passes; the
// summary must report the outage.
func TestLimiterRejectingAllIsReported(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, pairExperiment(t, brokenLimiter(t, mutants.RejectAll), 5))
	s := &r.Verdict.Service
	if !r.Verdict.Pass || len(s.Outages) != 2 || s.OutageShare() != 1 {
		t.Fatalf("pass %v, %+v", r.Verdict.Pass, s)
	}
	for n, o := range s.Outages {
		if o.Limiter != n || o.Life != 1 || o.Kind != invariants.Rejecting || o.Until-o.From < 4e9 || o.Requests < 15 {
			t.Errorf("%+v", o)
		}
	}
	wantSummaryLines(t, r, "unanswered late=0 lost=0", "outages limiters=2 of=2 share=1.000 gate=0.100 held=false",
		"outage limiter=0 life=1 kind=rejecting", "outage limiter=1 life=1 kind=rejecting")
}

// TestSilentLimiterIsReported runs two limiters that answer only PING and kills one of them in the middle. The requests
// in flight then must count as lost by a killed limiter, all others as lost by a live one.
func TestSilentLimiterIsReported(t *testing.T) {
	t.Parallel()
	e := pairExperiment(t, brokenLimiter(t, mutants.AnswerPingOnly), 4, experiment.Fault{Kind: "kill", Target: "limiter:1", From: 3})
	r, _ := runExperiment(t, e)
	causes := map[invariants.Unanswered]bool{}
	for _, u := range r.Verdict.Service.Unanswered {
		if u.Lost == 0 || u.Late > 0 {
			t.Errorf("%+v", u)
		}
		causes[invariants.Unanswered{Limiter: u.Limiter, Cause: u.Cause}] = true
	}
	for _, want := range []invariants.Unanswered{{Limiter: 0, Cause: invariants.LimiterAlive},
		{Limiter: 1, Cause: invariants.LimiterAlive},
		{Limiter: 1, Cause: invariants.LimiterKilled}} {
		if !causes[want] {
			t.Errorf("no %+v in %+v", want, r.Verdict.Service.Unanswered)
		}
	}
	if len(causes) != 3 {
		t.Errorf("%+v", causes)
	}
	wantSummaryLines(t, r, "outage limiter=0 life=1 kind=silent", "outage limiter=1 life=1 kind=silent",
		"unanswered limiter=1 cause=killed late=0 lost=")
}

// TestLateLimiterIsReported: an answer 100 ms after a request's deadline counts as late, not as lost.
func TestLateLimiterIsReported(t *testing.T) {
	t.Parallel()
	r, _ := runExperiment(t, pairExperiment(t, brokenLimiter(t, mutants.Late), 2))
	s := &r.Verdict.Service
	late, lost := s.Missed()
	if late == 0 || lost > late/10 || len(s.Unanswered) != 2 {
		t.Errorf("%d late, %d lost: %+v", late, lost, s.Unanswered)
	}
	for _, u := range s.Unanswered {
		if u.Cause != invariants.LimiterAlive {
			t.Errorf("%+v", u)
		}
	}
}
