package invariants

import (
	"encoding/json"
	"testing"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/settings"
)

const settingsText = `{"balancers":2,"granularity":0.004,
 "classes":[{"name":"fetch","aim":0.8,"effect":"free","group":"all"},
  {"name":"order","aim":2,"effect":"single_shot","group":"all"},
  {"name":"keyed","aim":1,"effect":"guarded","group":"zone","dedup-window":10}],
 "tariffs":[{"name":"house","rate":10,"most-at-once":20,"hard-rate":10,"never-over-depth":20}],
 "family-info":{"units-top":6},"contract":{"cold-from":0.25,"warm-within":15},
 "permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15}}`

var terms = Tolerances{Late: 50e6, Grace: 300e6, Slack: 150e6}

// judgeRecords checks a run of which only requests, attempts and events are known.
func judgeRecords(
	t *testing.T, requests []history.Request, attempts []history.Attempt, events []history.Event) *Verdict {
	t.Helper()
	return judgeRun(t, &history.Run{Requests: requests, Attempts: attempts, Events: events})
}

// judgeRun checks the record of a run with the settings and tolerances of these tests.
func judgeRun(t *testing.T, run *history.Run) *Verdict {
	t.Helper()
	set, err := settings.Decode(json.RawMessage(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	return JudgeRun(run, set, terms)
}

// newRequest returns a request that succeeded 100 ms after it was sent, with a deadline of 2 s.
func newRequest(id, class string, units float64, sent int64) history.Request {
	return history.Request{ID: id, Customer: "c1", Plan: "house", Class: class, Units: units, Sent: sent,
		Deadline: sent + 2e9, Answered: sent + 1e8, Outcome: history.Succeeded}
}

// newAttempt returns an attempt that was executed, or that its server rejected as busy.
func newAttempt(id, server, group, class string, at int64, mayHaveRun bool) history.Attempt {
	answer := "done"
	if !mayHaveRun {
		answer = "busy"
	}
	return history.Attempt{ID: id, Server: server, Group: group, Class: class, At: at,
		MayHaveRun: mayHaveRun, Answer: answer}
}

func TestCleanRunPasses(t *testing.T) {
	v := judgeRecords(t, []history.Request{newRequest("j1", "order", 1, 0), newRequest("j2", "fetch", 1, 0)},
		[]history.Attempt{newAttempt("j1", "s1", "a", "order", 1e6, false),
			newAttempt("j1", "s2", "a", "order", 2e6, true),
			newAttempt("j2", "s1", "a", "fetch", 1e6, true), newAttempt("j2", "s2", "a", "fetch", 3e6, true)}, nil)
	if !v.Pass {
		t.Fatalf("an attempt after a busy answer or a retry of an idempotent request broke a rule: %+v", v.Breaches)
	}
}

func TestNonIdempotentRequestRunTwice(t *testing.T) {
	v := judgeRecords(t, []history.Request{newRequest("j1", "order", 1, 0)},
		[]history.Attempt{newAttempt("j1", "s1", "a", "order", 1e6, true),
			newAttempt("j1", "s2", "a", "order", 5e8, false)}, nil)
	if v.Pass || v.Counts[2] != 1 {
		t.Fatalf("an attempt after one that may have been executed passed: %s", v.Line())
	}
}

func TestKeyedRetryOnlyWithinItsGroup(t *testing.T) {
	same := judgeRecords(t, []history.Request{newRequest("k1", "keyed", 1, 0)}, []history.Attempt{
		{ID: "k1", Server: "s1", Group: "a", Class: "keyed", Key: "f", At: 1e6, MayHaveRun: true},
		{ID: "k1", Server: "s2", Group: "a", Class: "keyed", Key: "f", At: 2e6, MayHaveRun: false}}, nil)
	other := judgeRecords(t, []history.Request{newRequest("k1", "keyed", 1, 0)}, []history.Attempt{
		{ID: "k1", Server: "s1", Group: "a", Class: "keyed", Key: "f", At: 1e6, MayHaveRun: true},
		{ID: "k1", Server: "s3", Group: "b", Class: "keyed", Key: "f", At: 2e6, MayHaveRun: true}}, nil)
	if !same.Pass || other.Counts[2] != 1 {
		t.Fatalf("retry within the group: %s; in another group: %s", same.Line(), other.Line())
	}
}

func TestUnansweredLateAndKilled(t *testing.T) {
	lost, late, killed := newRequest("a", "fetch", 1, 0), newRequest("b", "fetch", 1, 0), newRequest("c", "fetch", 1, 0)
	lost.Outcome, late.Answered = history.Unanswered, late.Deadline+1e8
	killed.Outcome, killed.Limiter = history.ConnectionBroken, 1
	v := judgeRecords(t, []history.Request{lost, late, killed, newRequest("d", "fetch", 1, 0)},
		[]history.Attempt{newAttempt("d", "s1", "a", "fetch", 3e9, true)},
		[]history.Event{{At: 5e7, Kind: "kill", Target: "limiter:1"}, {At: 9e8, Kind: "restart", Target: "limiter:1"}})
	if v.Counts[1] != 3 || v.Killed != 1 {
		t.Fatalf("want breaches for no answer, a late answer and an attempt after the deadline, and one killed: %s %+v",
			v.Line(), v.Breaches)
	}
}

// Guards against tolerating a late answer: it is a breach however small the delay, and the breach states the delay.
func TestLateAnswerStatesDelay(t *testing.T) {
	late := newRequest("a", "fetch", 1, 0)
	late.Outcome, late.Answered, late.AnswerUnread = history.Late, late.Deadline+1e6, 4e6
	v := judgeRecords(t, []history.Request{late}, nil, nil)
	if v.Counts[1] != 1 || v.Breaches[0].Detail != "late by 1ms, 4ms of its time unread" {
		t.Fatalf("want one breach that states the delay: %s %+v", v.Line(), v.Breaches)
	}
}

func TestAttemptAfterDrainGrace(t *testing.T) {
	v := judgeRecords(t, []history.Request{newRequest("a", "fetch", 1, 0), newRequest("b", "fetch", 1, 0)},
		[]history.Attempt{newAttempt("a", "s1", "a", "fetch", 2e8, true),
			newAttempt("b", "s1", "a", "fetch", 5e8, true)},
		[]history.Event{{At: 1e8, Kind: "drain", Target: "s1"}})
	if v.Counts[3] != 1 {
		t.Fatalf("want one breach, for the attempt after the grace period: %s", v.Line())
	}
}

func TestCeilingAndColdServerOverload(t *testing.T) {
	var requests []history.Request
	var attempts []history.Attempt
	for i := range 25 { // 25 units at once, with a burst of 20 and a tolerance of 1.5
		id := string(rune('a' + i))
		requests = append(requests, newRequest(id, "fetch", 1, 0))
		attempts = append(attempts, newAttempt(id, "s1", "a", "fetch", int64(i), true))
	}
	attempts[0].Overloaded = true
	v := judgeRecords(t, requests, attempts, nil)
	if v.Counts[5] != 4 || v.Counts[4] != 1 {
		t.Fatalf("want units 22 to 25 to exceed the ceiling, and one overload of a server warming up: %s", v.Line())
	}
	for i := range attempts { // at one unit per 50 ms the bucket's level rises by half a unit per attempt
		attempts[i].At, attempts[i].Overloaded = int64(i)*5e7, false
	}
	paced := judgeRecords(t, requests, attempts, nil)
	if !paced.Pass {
		t.Fatal(paced.Line())
	}
}

func TestCeilingSlackInUnitsOrShare(t *testing.T) {
	set, _ := settings.Decode(json.RawMessage(settingsText))
	var requests []history.Request
	var attempts []history.Attempt
	for i := range 25 {
		id := string(rune('a' + i))
		requests = append(requests, newRequest(id, "fetch", 1, 0))
		attempts = append(attempts, newAttempt(id, "s1", "a", "fetch", int64(i), true))
	}
	// The limit is 20 + 4 + 1.5 units.
	units := Judge(requests, attempts, nil, set, Tolerances{Slack: 150e6, SlackUnits: 4})
	// The limit is 22 + 1.5 units; units 24 and 25 exceed it.
	share := Judge(requests, attempts, nil, set, Tolerances{Slack: 150e6, SlackShare: 0.1})
	if !units.Pass || share.Counts[5] != 2 {
		t.Fatalf("tolerance in units: %s; as a share: %s", units.Line(), share.Line())
	}
}

func TestRecovery(t *testing.T) {
	at := func(secs ...float64) []int64 {
		var out []int64
		for _, s := range secs {
			out = append(out, int64(s*1e9))
		}
		return out
	}
	// One rejection per second before the faults at 4 s, five per second in seconds 6 and 7, and one again from 8 s on.
	calm := []float64{0.5, 1.5, 2.5, 3.5}
	bad := []float64{6.1, 6.2, 6.3, 6.4, 6.5, 7.1, 7.2, 7.3, 7.4, 7.5, 8.5, 9.5}
	uses := []QuotaUsage{{WronglyRejectedAt: at(append(calm, bad...)...)}}
	if got := Recovery(uses, 4e9, 5e9, 10e9); got != 3e9 {
		t.Fatalf("recovered after %v ns, want 3 s after the counter's return at 5 s", got)
	}
	uses[0].WronglyRejectedAt = append(uses[0].WronglyRejectedAt, at(9.1, 9.2, 9.3, 9.4)...)
	if got := Recovery(uses, 4e9, 5e9, 10e9); got != -1 {
		t.Fatalf("got %v, want -1 for a run that does not recover", got)
	}
}

func TestNonIdempotentRequestRejectedAfterPossibleExecution(t *testing.T) {
	rejected := newRequest("j1", "order", 1, 0)
	rejected.Outcome = history.Rejected
	possiblyRun := newAttempt("j1", "s1", "a", "order", 1e6, true)
	possiblyRun.Answer = "reset"
	v := judgeRecords(t, []history.Request{rejected}, []history.Attempt{possiblyRun}, nil)
	refused := judgeRecords(t, []history.Request{rejected},
		[]history.Attempt{newAttempt("j1", "s1", "a", "order", 1e6, false)}, nil)
	if v.Counts[2] != 1 || !refused.Pass {
		t.Fatalf("after a reset: %s; after -BUSY: %s", v.Line(), refused.Line())
	}
}
