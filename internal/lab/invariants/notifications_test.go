package invariants

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/history"
)

const sec = int64(1e9)

// Each case is one limiter with a change of the list at 10 s, generation 5: when it counts as told, in tenths of
// seconds.
func TestNotificationTime(t *testing.T) {
	change := history.Event{At: 10 * sec, Kind: "drain", Target: "s1", Generation: 5}
	answeredCall := func(at, done, generation int64) history.Call {
		return history.Call{
			At:         at * sec / 10,
			Until:      at*sec/10 + sec,
			EndedAt:    done * sec / 10,
			End:        history.Answered,
			Generation: generation,
		}
	}
	for _, c := range []struct {
		name string
		run  history.Run
		want int64
	}{
		{"written", history.Run{Calls: []history.Call{answeredCall(95, 101, 5)}}, 101},
		{"an older list says nothing", history.Run{Calls: []history.Call{answeredCall(95, 101, 4)}}, 160},
		{"turned away", history.Run{Calls: []history.Call{{At: 9 * sec, EndedAt: 11 * sec, End: history.Throttled, Generation: 5}}}, 160},
		{"silent since 7 s", history.Run{Silences: []history.Silence{{From: 7 * sec, Until: 30 * sec, Lost: true}},
			Calls: []history.Call{answeredCall(65, 101, 5)}}, 130},
		{"silent since 1 s: it asked anew, in vain", history.Run{Silences: []history.Silence{{From: sec, Lost: true}}}, 160},
		{"a wait that ends late", history.Run{Silences: []history.Silence{{From: 7 * sec, Lost: true}}, Calls: []history.Call{
			{At: 6 * sec, Until: 18 * sec, EndedAt: 40 * sec, End: history.CallerGone}}}, 200},
		{"held until the stall ends", history.Run{Silences: []history.Silence{{From: 9 * sec, Until: 12 * sec, Lost: true, Held: true}},
			Calls: []history.Call{answeredCall(85, 101, 5)}}, 120},
		{"only calls are lost", history.Run{Silences: []history.Silence{{From: 9 * sec, Until: 12 * sec}},
			Calls: []history.Call{answeredCall(85, 101, 5)}}, 101},
		{"stopped when it was told", history.Run{Calls: []history.Call{answeredCall(95, 101, 5)}, Events: []history.Event{
			{At: 9 * sec, Kind: "stop", Target: "limiter:0"}, {At: 14 * sec, Kind: "continue", Target: "limiter:0"}}}, 140},
		{"a new process with the present list", history.Run{Processes: []history.Process{{}, {Started: 15 * sec, ListGeneration: 5}}}, 150},
		{"a new process with an old list", history.Run{Processes: []history.Process{{}, {Started: 15 * sec, ListGeneration: 4}},
			Calls: []history.Call{answeredCall(95, 101, 5)}}, 210},
		{"its successor is not asked", history.Run{Processes: []history.Process{{}, {Started: 25 * sec, ListGeneration: 5}}}, 160},
		{"its predecessor was told", history.Run{Processes: []history.Process{{}, {Started: 15 * sec, ListGeneration: 4}},
			Calls: []history.Call{answeredCall(95, 101, 5), answeredCall(152, 153, 5)}}, 153},
	} {
		if len(c.run.Processes) == 0 {
			c.run.Processes = []history.Process{{}}
		}
		assert.Equal(t, c.want*sec/10, newNotificationTimes(&c.run).notifiedAt(change, 0, 20*sec), c.name)
	}
}

// Two limiters, one told at once and one cut off: only the attempt of the first breaks the rule, and only before the
// server is back.
func TestDrainsJudgedPerLimiter(t *testing.T) {
	a, b := newRequest("a", "fetch", 1, 11*sec), newRequest("b", "fetch", 1, 11*sec)
	late := newRequest("c", "fetch", 1, 21*sec)
	b.Limiter = 1
	run := &history.Run{
		Requests:  []history.Request{a, b, late},
		Processes: []history.Process{{Limiter: 0}, {Limiter: 1}},
		Attempts: []history.Attempt{
			newAttempt("a", "s1", "a", "fetch", 11*sec, true),
			newAttempt("b", "s1", "a", "fetch", 11*sec, true),
			newAttempt("c", "s1", "a", "fetch", 21*sec, true),
		},
		Events: []history.Event{
			{At: 10 * sec, Kind: "drain", Target: "s1", Generation: 5},
			{At: 20 * sec, Kind: "back", Target: "s1"},
		},
		Calls: []history.Call{{Limiter: 0, At: 9 * sec, EndedAt: 10 * sec, End: history.Answered, Generation: 5}},
	}
	v := judgeRun(t, run)
	require.True(t, v.Counts[3] == 1 && v.Breaches[0].At == 11*sec, "%s %+v", v.Line(), v.Breaches)
}

// A crash, a fall and a request that was let go after it had been sent on each fail a run.
func TestLimiterCrashResentRequestAndServerCrashFailRun(t *testing.T) {
	resent := newRequest("a", "fetch", 1, sec)
	resent.Resent = true
	v := judgeRun(
		t,
		&history.Run{
			Requests: []history.Request{resent},
			Attempts: []history.Attempt{newAttempt("a", "s1", "a", "fetch", sec-1e6, true)},
			Events: []history.Event{
				{Kind: "crash", Target: "limiter:1"},
			},
			OverloadCrashes: []history.OverloadCrash{{Server: "s2", Requests: []string{"a"}}},
		},
	)
	require.True(t, !v.Pass && v.Counts == [6]int{1, 1, 0, 0, 1, 0}, "%s %+v", v.Line(), v.Breaches)
}

// While the clients' link to limiter 0 has a fault its requests' answers say nothing; limiter 1's do.
func TestClientLinkFaultExcusesUnanswered(t *testing.T) {
	lost, other, after := newRequest("a", "fetch", 1, sec), newRequest("b", "fetch", 1, sec), newRequest("c", "fetch", 1, 9*sec)
	lost.Outcome, other.Outcome, after.Outcome = history.Unanswered, history.Unanswered, history.Unanswered
	other.Limiter = 1
	v := judgeRun(
		t,
		&history.Run{
			Requests:   []history.Request{lost, other, after},
			LinkFaults: []history.LinkFault{{From: sec / 2, Until: 2 * sec}},
			Attempts:   []history.Attempt{newAttempt("a", "s1", "a", "fetch", 4*sec, true)},
		},
	)
	require.True(t, v.Counts[1] == 2 && v.CutOff == 1, "%s %+v", v.Line(), v.Breaches)
}

// A stopped limiter cannot answer; an attempt that it begins after a client's deadline once it goes on still breaks
// rule 1.
func TestStoppedLimiterExcusedForAnswersOnly(t *testing.T) {
	lost, late := newRequest("a", "fetch", 1, sec), newRequest("b", "fetch", 1, 20*sec)
	lost.Outcome, late.Outcome = history.Unanswered, history.Unanswered
	v := judgeRun(
		t,
		&history.Run{
			Requests: []history.Request{lost, late},
			Events: []history.Event{{At: sec / 2, Kind: "stop", Target: "limiter:0"},
				{
					At:     5 * sec,
					Kind:   "continue",
					Target: "limiter:0",
				}},
			Attempts: []history.Attempt{newAttempt("a", "s1", "a", "fetch", 5*sec, true)},
		},
	)
	require.True(t, v.Counts[1] == 2 && v.Stopped == 1, "%s %+v", v.Line(), v.Breaches)
}

// A server that is back at 10 s falls at 11 s: by limiter 0, which was told, it is a breach, by limiter 1 it is none.
func TestOverloadCrashBreachOnlyByNotifiedLimiters(t *testing.T) {
	a, b := newRequest("a", "fetch", 1, 10*sec), newRequest("b", "fetch", 1, 10*sec)
	b.Limiter = 1
	run := &history.Run{Requests: []history.Request{a, b}, Processes: []history.Process{{Limiter: 0}, {Limiter: 1}},
		Events: []history.Event{{At: 10 * sec, Kind: "back", Target: "s1", Generation: 5}},
		Calls:  []history.Call{{Limiter: 0, At: 9 * sec, EndedAt: 10 * sec, End: history.Answered, Generation: 5}}}
	for requestIDs, breaches := range map[string]int{"aaa": 1, "aab": 0, "abb": 0, "aaab": 1} {
		run.OverloadCrashes = []history.OverloadCrash{{Server: "s1", At: 11 * sec, Requests: strings.Split(requestIDs, "")}}
		v := judgeRun(t, run)
		assert.True(t, v.Counts[4] == breaches, "%s: %s", requestIDs, v.Line())
	}
}
