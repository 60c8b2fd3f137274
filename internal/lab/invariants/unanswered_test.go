package invariants

import (
	"reflect"
	"testing"

	"ospreycroft/internal/lab/history"
)

// finishedRequest returns a request to a limiter with a deadline of 2 s after sent, and with the given end. Times are
// in nanoseconds.
func finishedRequest(id string, limiter int, sent, answered int64, outcome history.Outcome) history.Request {
	request := newRequest(id, "fetch", 1, sent)
	request.Limiter, request.Answered, request.Outcome = limiter, answered, outcome
	return request
}

// Guards against a wrong cause or a wrong distinction of late and lost. The cases cover each cause and both sides of
// each limit.
func TestUnansweredByLimiterAndCause(t *testing.T) {
	const second = int64(1e9)
	for _, c := range []struct {
		name       string
		request    history.Request
		events     []history.Event
		linkFaults []history.LinkFault
		want       []Unanswered
	}{
		{name: "answered at the deadline", request: finishedRequest("a", 0, 0, 2*second, history.Succeeded),
			want: []Unanswered{}},
		{name: "late by a nanosecond", request: finishedRequest("a", 0, 0, 2*second+1, history.Late),
			want: []Unanswered{{0, LimiterAlive, 1, 0}}},
		{name: "late by half a second", request: finishedRequest("a", 0, 0, 25e8, history.Late),
			want: []Unanswered{{0, LimiterAlive, 1, 0}}},
		{name: "later than half a second", request: finishedRequest("a", 0, 0, 25e8+1, history.Late),
			want: []Unanswered{{0, LimiterAlive, 0, 1}}},
		{name: "no answer", request: finishedRequest("a", 4, 0, 22e8, history.Unanswered),
			want: []Unanswered{{4, LimiterAlive, 0, 1}}},
		{name: "connection ended", request: finishedRequest("a", 4, 0, second, history.ConnectionBroken),
			want: []Unanswered{{4, LimiterAlive, 0, 1}}},
		{name: "client disconnected", request: finishedRequest("a", 0, 0, second, history.GaveUp),
			want: []Unanswered{}},
		{name: "client disconnected after the deadline", request: finishedRequest("a", 0, 0, 22e8, history.GaveUp),
			want: []Unanswered{}},
		{name: "limiter not reachable", request: finishedRequest("a", 0, 0, 22e8, history.NotAccepted),
			want: []Unanswered{}},
		{name: "limiter killed", request: finishedRequest("a", 4, 0, second, history.ConnectionBroken),
			want:   []Unanswered{{4, LimiterKilled, 0, 1}},
			events: []history.Event{{At: second, Kind: "kill", Target: "limiter:4"}}},
		{name: "killed after SIGTERM", request: finishedRequest("a", 4, 0, second, history.ConnectionBroken),
			want:   []Unanswered{{4, LimiterKilled, 0, 1}},
			events: []history.Event{{At: second, Kind: "term-kill", Target: "limiter:4"}}},
		{name: "limiter crashed, detected a little later",
			request: finishedRequest("a", 4, 0, second, history.ConnectionBroken),
			want:    []Unanswered{{4, LimiterKilled, 0, 1}},
			events:  []history.Event{{At: second + 5e7, Kind: "crash", Target: "limiter:4"}}},
		{name: "another limiter killed", request: finishedRequest("a", 4, 0, second, history.ConnectionBroken),
			want:   []Unanswered{{4, LimiterAlive, 0, 1}},
			events: []history.Event{{At: second, Kind: "kill", Target: "limiter:5"}}},
		{name: "killed after the deadline", request: finishedRequest("a", 4, 0, 22e8, history.Unanswered),
			want:   []Unanswered{{4, LimiterAlive, 0, 1}},
			events: []history.Event{{At: 21e8, Kind: "kill", Target: "limiter:4"}}},
		{name: "restarted before the request", request: finishedRequest("a", 4, 2*second, 3*second,
			history.ConnectionBroken),
			want: []Unanswered{{4, LimiterAlive, 0, 1}},
			events: []history.Event{{At: 1e8, Kind: "kill", Target: "limiter:4"},
				{At: second, Kind: "restart", Target: "limiter:4"}}},
		{name: "limiter stopped", request: finishedRequest("a", 4, 0, 22e8, history.Unanswered),
			want:   []Unanswered{{4, LimiterStopped, 0, 1}},
			events: []history.Event{{At: second, Kind: "stop", Target: "limiter:4"}}},
		{name: "client's link cut", request: finishedRequest("a", 4, 0, 22e8, history.Unanswered),
			want:       []Unanswered{{4, LinkFault, 0, 1}},
			linkFaults: []history.LinkFault{{Limiter: 4, Kind: "cut", From: second}}},
	} {
		run := &history.Run{Requests: []history.Request{c.request}, Events: c.events, LinkFaults: c.linkFaults}
		if got := judgeRun(t, run).Service.Unanswered; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestUnansweredTotals(t *testing.T) {
	run := &history.Run{
		Requests: []history.Request{finishedRequest("a", 7, 0, 22e8, history.Unanswered),
			finishedRequest("b", 7, 0, 21e8, history.Late),
			finishedRequest(
				"c",
				2,
				0,
				5e8,
				history.ConnectionBroken,
			), finishedRequest("d", 2, 1e9, 32e8, history.Unanswered), newRequest("e", "fetch", 1, 0)},
		Events: []history.Event{
			{At: 5e8, Kind: "kill", Target: "limiter:2"},
			{At: 8e8, Kind: "restart", Target: "limiter:2"},
		},
	}
	s := judgeRun(t, run).Service
	want := []Unanswered{{2, LimiterAlive, 0, 1}, {2, LimiterKilled, 0, 1}, {7, LimiterAlive, 1, 1}}
	if !reflect.DeepEqual(s.Unanswered, want) {
		t.Errorf("%+v, want %+v", s.Unanswered, want)
	}
	if late, lost := s.Missed(); late != 1 || lost != 3 {
		t.Errorf("%d late and %d lost, want 1 and 3", late, lost)
	}
}
