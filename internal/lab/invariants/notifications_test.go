package invariants

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/history"
)

const sec = int64(1e9) // one second in nanoseconds

// Guards against blaming a limiter for a change of the endpoint list before it can know of it, and against excusing it
// for longer. In each case the list changes at 10 s to generation 5; want is when the limiter counts as notified, in
// tenths of a second.
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
		{"answered", history.Run{Calls: []history.Call{answeredCall(95, 101, 5)}}, 101},
		{"answer with an older list", history.Run{Calls: []history.Call{answeredCall(95, 101, 4)}}, 160},
		{"throttled", history.Run{Calls: []history.Call{{At: 9 * sec, EndedAt: 11 * sec, End: history.Throttled,
			Generation: 5}}}, 160},
		{"silent since 7 s", history.Run{Silences: []history.Silence{{From: 7 * sec, Until: 30 * sec, Lost: true}},
			Calls: []history.Call{answeredCall(65, 101, 5)}}, 130},
		{"silent since 1 s: polled again without success",
			history.Run{Silences: []history.Silence{{From: sec, Lost: true}}}, 160},
		{"a hold time that ends late", history.Run{Silences: []history.Silence{{From: 7 * sec, Lost: true}},
			Calls: []history.Call{
				{At: 6 * sec, Until: 18 * sec, EndedAt: 40 * sec, End: history.CallerGone}}}, 200},
		{"answer held until the link's stall ends",
			history.Run{Silences: []history.Silence{{From: 9 * sec, Until: 12 * sec, Lost: true, Held: true}},
				Calls: []history.Call{answeredCall(85, 101, 5)}}, 120},
		{"only calls lost", history.Run{Silences: []history.Silence{{From: 9 * sec, Until: 12 * sec}},
			Calls: []history.Call{answeredCall(85, 101, 5)}}, 101},
		{"stopped when notified", history.Run{Calls: []history.Call{answeredCall(95, 101, 5)}, Events: []history.Event{
			{At: 9 * sec, Kind: "stop", Target: "limiter:0"}, {At: 14 * sec, Kind: "continue", Target: "limiter:0"}}},
			140},
		{"new process with the current list", history.Run{Processes: []history.Process{{},
			{Started: 15 * sec, ListGeneration: 5}}}, 150},
		{"new process with an old list", history.Run{Processes: []history.Process{{},
			{Started: 15 * sec, ListGeneration: 4}},
			Calls: []history.Call{answeredCall(95, 101, 5)}}, 210},
		{"a successor that knows the list", history.Run{Processes: []history.Process{{},
			{Started: 25 * sec, ListGeneration: 5}}}, 160},
		{"a predecessor that was notified", history.Run{Processes: []history.Process{{},
			{Started: 15 * sec, ListGeneration: 4}},
			Calls: []history.Call{answeredCall(95, 101, 5), answeredCall(152, 153, 5)}}, 153},
	} {
		if len(c.run.Processes) == 0 {
			c.run.Processes = []history.Process{{}}
		}
		assert.Equal(t, c.want*sec/10, newNotificationTimes(&c.run).notifiedAt(change, 0, 20*sec), c.name)
	}
}

// Guards against judging all limiters by one notification time. One limiter is notified of a drain at once and the
// other is not: only the former's attempt is a breach, and only before the server returns.
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

// Guards against passing a run in which a limiter crashed, a server crashed under overload, or a limiter dropped a
// request that it had forwarded.
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

// Guards against blaming a limiter for requests that a fault of its clients' link lost, and against excusing other
// requests. Limiter 0's link has a fault, limiter 1's has none.
func TestClientLinkFaultExcusesUnanswered(t *testing.T) {
	lost, other, after := newRequest("a", "fetch", 1, sec), newRequest("b", "fetch", 1, sec),
		newRequest("c", "fetch", 1, 9*sec)
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

// Guards against blaming a stopped limiter for missing answers, and against excusing an attempt that it begins after
// the client's deadline once it continues.
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

// Guards against blaming limiters for the overload of a restarted server that they did not know of. A server returns at
// 10 s and crashes at 11 s. Limiter 0 was notified of it, limiter 1 was not. The crash is a breach only if more than
// two thirds of the requests came from limiter 0.
func TestOverloadCrashBreachOnlyByNotifiedLimiters(t *testing.T) {
	a, b := newRequest("a", "fetch", 1, 10*sec), newRequest("b", "fetch", 1, 10*sec)
	b.Limiter = 1
	run := &history.Run{Requests: []history.Request{a, b}, Processes: []history.Process{{Limiter: 0}, {Limiter: 1}},
		Events: []history.Event{{At: 10 * sec, Kind: "back", Target: "s1", Generation: 5}},
		Calls:  []history.Call{{Limiter: 0, At: 9 * sec, EndedAt: 10 * sec, End: history.Answered, Generation: 5}}}
	for requestIDs, breaches := range map[string]int{"aaa": 1, "aab": 0, "abb": 0, "aaab": 1} {
		run.OverloadCrashes = []history.OverloadCrash{{Server: "s1", At: 11 * sec,
			Requests: strings.Split(requestIDs, "")}}
		v := judgeRun(t, run)
		assert.True(t, v.Counts[4] == breaches, "%s: %s", requestIDs, v.Line())
	}
}
