package invariants

import (
	"fmt"
	"reflect"
	"testing"

	"ospreycroft/internal/lab/history"
)

const ms = int64(1e6) // one millisecond in nanoseconds

// requestSeries returns count requests to limiter 3, sent at intervals of gap from from on, and answered after 100 ms.
// If the outcome is Unanswered, the client gives up 200 ms after the deadline. Times are in nanoseconds.
func requestSeries(count int, from, gap int64, outcome history.Outcome) []history.Request {
	var out []history.Request
	for i := range count {
		at := from + int64(i)*gap
		request := finishedRequest(fmt.Sprintf("%d-%d", from, i), 3, at, at+100*ms, outcome)
		if outcome == history.Unanswered {
			request.Answered = request.Deadline + 200*ms
		}
		out = append(out, request)
	}
	return out
}

// judgeService checks a run of 20 limiters and returns its service.
func judgeService(t *testing.T, r *history.Run) Service {
	t.Helper()
	r.Limiters = 20
	return judgeRun(t, r).Service
}

// limiterProcesses are the processes of limiter 3: one from 0 to 10 s, and one from 11 s on.
var limiterProcesses = []history.Process{
	{Limiter: 3, Started: 0, Ready: 1, Ended: 10000 * ms},
	{Limiter: 3, Started: 11000 * ms, Ready: 11300 * ms},
}

// Guards against missing an outage of a process that rejects all requests, and against reporting one that is none. An
// outage lasts at least 4 s and has at least 15 requests, and ends at an attempt or at an answer with a value.
func TestProcessRejectingAllRequests(t *testing.T) {
	rejected := requestSeries(14, 1000*ms, 300*ms, history.Rejected) // until 5.0 s
	last := finishedRequest("last", 3, 4900*ms, 5000*ms, history.Rejected)
	all := append(append([]history.Request{}, rejected...), last)
	oneOutage := []Outage{{Limiter: 3, Life: 1, Kind: Rejecting, From: 1000 * ms, Until: 5000 * ms, Requests: 15}}
	for _, c := range []struct {
		name     string
		requests []history.Request
		attempts []history.Attempt
		want     []Outage
	}{
		{"15 in 4 s", all, nil, oneOutage},
		{"14 in 4 s", append(append([]history.Request{last}, rejected[0]), rejected[2:]...), nil, []Outage{}},
		{"many in less than 4 s", requestSeries(40, 1000*ms, 99*ms, history.Rejected), nil, []Outage{}},
		{"errors without an attempt", requestSeries(20, 1000*ms, 300*ms, history.Failed), nil,
			[]Outage{{3, 1, Rejecting, 1000 * ms, 6800 * ms, 20}}},
		{"a value in between", append(append([]history.Request{}, all...),
			finishedRequest("done", 3, 2900*ms, 3000*ms, history.Succeeded)), nil, []Outage{}},
		{"a value in between, recorded after later ones",
			append([]history.Request{finishedRequest("after", 3, 6900*ms, 7000*ms, history.Succeeded),
				finishedRequest("then", 3, 7000*ms, 7100*ms, history.Succeeded),
				finishedRequest("done", 3, 2900*ms, 3000*ms, history.Succeeded)}, all...), nil, []Outage{}},
		{"an attempt in between", all, []history.Attempt{newAttempt(rejected[5].ID, "s1", "a", "fetch", 2600*ms, true)},
			[]Outage{}},
		{"an attempt of another limiter", append(append([]history.Request{}, all...),
			newRequest("else", "fetch", 1, 2500*ms)),
			[]history.Attempt{newAttempt("else", "s1", "a", "fetch", 2600*ms, true)}, oneOutage},
		{"an attempt in between by the limiter that got a resent request first",
			append(append([]history.Request{}, all...),
				finishedRequest("crossed", 3, 3000*ms, 3100*ms, history.Rejected)),
			[]history.Attempt{newAttempt("crossed", "s1", "a", "fetch", 2999*ms, true)},
			[]Outage{{3, 1, Rejecting, 1000 * ms, 5000 * ms, 16}}},
		{"the first request sent is the second one answered",
			append(append([]history.Request{}, all...), finishedRequest("slow", 3, 900*ms, 1150*ms, history.Rejected)),
			nil,
			[]Outage{{3, 1, Rejecting, 900 * ms, 5000 * ms, 16}}},
		{"a served request before and one after",
			append(append([]history.Request{}, all...),
				finishedRequest("before", 3, 100*ms, 1050*ms, history.Succeeded),
				finishedRequest("after", 3, 5000*ms, 5200*ms, history.Succeeded)),
			nil, []Outage{}},
		{"a request between the two processes", append(append([]history.Request{}, all...),
			finishedRequest("dead", 3, 10500*ms, 10600*ms, history.Rejected)),
			nil, oneOutage},
		{"an attempt before the outage", append(append([]history.Request{}, all...),
			finishedRequest("done", 3, 500*ms, 600*ms, history.Succeeded)),
			[]history.Attempt{newAttempt("done", "s1", "a", "fetch", 550*ms, true)}, oneOutage},
	} {
		got := judgeService(t, &history.Run{Requests: c.requests, Attempts: c.attempts, Processes: limiterProcesses})
		if !reflect.DeepEqual(got.Outages, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got.Outages, c.want)
		}
	}
}

// Guards against joining the outages of two processes of a limiter, and against counting the limiter twice. A
// limiter without recorded processes counts as one process.
func TestOutagesPerProcess(t *testing.T) {
	requests := append(requestSeries(20, 5000*ms, 240*ms, history.Rejected),
		requestSeries(20, 12000*ms, 300*ms, history.Rejected)...)
	s := judgeService(t, &history.Run{Requests: requests, Processes: limiterProcesses})
	want := []Outage{{3, 1, Rejecting, 5000 * ms, 9660 * ms, 20}, {3, 2, Rejecting, 12000 * ms, 17800 * ms, 20}}
	if !reflect.DeepEqual(s.Outages, want) || s.LimitersOut() != 1 || s.OutageShare() != 0.05 {
		t.Errorf("outages %+v of %d limiters, a share of %v", s.Outages, s.LimitersOut(), s.OutageShare())
	}
	s = judgeService(t, &history.Run{Requests: requests})
	if one := []Outage{{3, 1, Rejecting, 5000 * ms, 17800 * ms, 40}}; !reflect.DeepEqual(s.Outages, one) {
		t.Errorf("record without processes: %+v", s.Outages)
	}
	short := append(requestSeries(14, 8000*ms, 145*ms, history.Rejected),
		requestSeries(14, 12000*ms, 150*ms, history.Rejected)...)
	if s = judgeService(t, &history.Run{Requests: short, Processes: limiterProcesses}); len(s.Outages) > 0 {
		t.Errorf("rejections of two processes were counted as one outage: %+v", s.Outages)
	}
}

// Guards against an order of outages that depends on the order of the record.
func TestOutagesSortedByLimiter(t *testing.T) {
	var requests []history.Request
	for n := range 8 {
		for _, request := range requestSeries(15, 1000*ms, 300*ms, history.Rejected) {
			request.ID, request.Limiter = fmt.Sprint(request.ID, "-", n), 7-n
			requests = append(requests, request)
		}
	}
	s := judgeService(t, &history.Run{Requests: requests})
	for n, o := range s.Outages {
		if o.Limiter != n {
			t.Fatalf("outages are not sorted by limiter: %+v", s.Outages)
		}
	}
	if s.LimitersOut() != 8 {
		t.Errorf("%d limiters had an outage, want 8", s.LimitersOut())
	}
}

// Guards against missing an outage of a process that stops answering. A process that never answered has an outage
// however few its requests; after a first answer the minimum duration and number of requests apply. Requests that a
// kill or SIGSTOP left unanswered are no outage.
func TestProcessAnsweringNothing(t *testing.T) {
	few := requestSeries(2, 1000*ms, 100*ms, history.Unanswered)
	many := requestSeries(20, 1000*ms, 100*ms, history.Unanswered)
	answered := finishedRequest("done", 3, 500*ms, 600*ms, history.Rejected)
	for _, c := range []struct {
		name     string
		requests []history.Request
		events   []history.Event
		want     []Outage
	}{
		{"two requests to a process that never answered", few, nil, []Outage{{3, 1, Silent, 1000 * ms, 3300 * ms, 2}}},
		{"two requests after an answer", append(append([]history.Request{}, few...), answered), nil, []Outage{}},
		{"many after an answer", append(append([]history.Request{}, many...), answered), nil,
			[]Outage{{3, 1, Silent, 1000 * ms, 5100 * ms, 20}}},
		{"many with an answer in between", append(append([]history.Request{}, many...),
			finishedRequest("late", 3, 2000*ms, 4100*ms, history.Late)), nil,
			[]Outage{}},
		{"many with an answer in between, recorded after later ones",
			append([]history.Request{finishedRequest("after", 3, 6900*ms, 7000*ms, history.Rejected),
				finishedRequest("then", 3, 7000*ms, 7100*ms, history.Rejected),
				finishedRequest("between", 3, 2000*ms, 4100*ms, history.Rejected)}, many...), nil, []Outage{}},
		{"killed", many, []history.Event{{At: 2500 * ms, Kind: "kill", Target: "limiter:3"}}, []Outage{}},
		{"stopped", many, []history.Event{{At: 900 * ms, Kind: "stop", Target: "limiter:3"}}, []Outage{}},
		{"no requests", nil, nil, []Outage{}},
		{"limiter not reachable", requestSeries(20, 1000*ms, 300*ms, history.NotAccepted), nil, []Outage{}},
	} {
		got := judgeService(t, &history.Run{Requests: c.requests, Events: c.events, Processes: limiterProcesses})
		if !reflect.DeepEqual(got.Outages, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got.Outages, c.want)
		}
	}
}
