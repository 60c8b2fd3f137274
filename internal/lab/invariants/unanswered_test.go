package invariants

import (
	"reflect"
	"testing"

	"ospreycroft/internal/lab/history"
)

// missed is a request to a limiter that was sent at sent with 2 s to go, and ended as told.
func missed(id string, limiter int, sent, answered int64, outcome history.Outcome) history.Request {
	j := job(id, "fetch", 1, sent)
	j.Limiter, j.Answered, j.Outcome = limiter, answered, outcome
	return j
}

// TestUnansweredByLimiterAndCause holds requests up against each cause and both sides of each bound.
func TestUnansweredByLimiterAndCause(t *testing.T) {
	const second = int64(1e9)
	for _, c := range []struct {
		name   string
		job    history.Request
		events []history.Event
		cuts   []history.LinkFault
		want   []Unanswered
	}{
		{name: "answered as its time ends", job: missed("a", 0, 0, 2*second, history.Succeeded), want: []Unanswered{}},
		{name: "late by a nanosecond", job: missed("a", 0, 0, 2*second+1, history.Late), want: []Unanswered{{0, LimiterAlive, 1, 0}}},
		{name: "late by half a second", job: missed("a", 0, 0, 25e8, history.Late), want: []Unanswered{{0, LimiterAlive, 1, 0}}},
		{name: "later than half a second", job: missed("a", 0, 0, 25e8+1, history.Late), want: []Unanswered{{0, LimiterAlive, 0, 1}}},
		{name: "no answer", job: missed("a", 4, 0, 22e8, history.Unanswered), want: []Unanswered{{4, LimiterAlive, 0, 1}}},
		{name: "connection ended", job: missed("a", 4, 0, second, history.ConnectionBroken), want: []Unanswered{{4, LimiterAlive, 0, 1}}},
		{name: "its client left", job: missed("a", 0, 0, second, history.GaveUp), want: []Unanswered{}},
		{name: "its client left after its time", job: missed("a", 0, 0, 22e8, history.GaveUp), want: []Unanswered{}},
		{name: "never taken", job: missed("a", 0, 0, 22e8, history.NotAccepted), want: []Unanswered{}},
		{name: "limiter killed", job: missed("a", 4, 0, second, history.ConnectionBroken), want: []Unanswered{{4, LimiterKilled, 0, 1}},
			events: []history.Event{{At: second, Kind: "kill", Target: "limiter:4"}}},
		{name: "killed after SIGTERM", job: missed("a", 4, 0, second, history.ConnectionBroken), want: []Unanswered{{4, LimiterKilled, 0, 1}},
			events: []history.Event{{At: second, Kind: "term-kill", Target: "limiter:4"}}},
		{name: "limiter crashed, seen a little later", job: missed("a", 4, 0, second, history.ConnectionBroken),
			want:   []Unanswered{{4, LimiterKilled, 0, 1}},
			events: []history.Event{{At: second + 5e7, Kind: "crash", Target: "limiter:4"}}},
		{name: "another limiter killed", job: missed("a", 4, 0, second, history.ConnectionBroken), want: []Unanswered{{4, LimiterAlive, 0, 1}},
			events: []history.Event{{At: second, Kind: "kill", Target: "limiter:5"}}},
		{name: "killed once its time was up", job: missed("a", 4, 0, 22e8, history.Unanswered), want: []Unanswered{{4, LimiterAlive, 0, 1}},
			events: []history.Event{{At: 21e8, Kind: "kill", Target: "limiter:4"}}},
		{name: "restarted before it was sent", job: missed("a", 4, 2*second, 3*second, history.ConnectionBroken),
			want: []Unanswered{{4, LimiterAlive, 0, 1}},
			events: []history.Event{{At: 1e8, Kind: "kill", Target: "limiter:4"},
				{At: second, Kind: "restart", Target: "limiter:4"}}},
		{name: "limiter stopped", job: missed("a", 4, 0, 22e8, history.Unanswered), want: []Unanswered{{4, LimiterStopped, 0, 1}},
			events: []history.Event{{At: second, Kind: "stop", Target: "limiter:4"}}},
		{name: "its client's link cut", job: missed("a", 4, 0, 22e8, history.Unanswered), want: []Unanswered{{4, LinkFault, 0, 1}},
			cuts: []history.LinkFault{{Limiter: 4, Kind: "cut", From: second}}},
	} {
		run := &history.Run{Requests: []history.Request{c.job}, Events: c.events, LinkFaults: c.cuts}
		if got := judgeRun(t, run).Service.Unanswered; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestUnansweredAddedUp(t *testing.T) {
	run := &history.Run{
		Requests: []history.Request{missed("a", 7, 0, 22e8, history.Unanswered), missed("b", 7, 0, 21e8, history.Late),
			missed(
				"c",
				2,
				0,
				5e8,
				history.ConnectionBroken,
			), missed("d", 2, 1e9, 32e8, history.Unanswered), job("e", "fetch", 1, 0)},
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
