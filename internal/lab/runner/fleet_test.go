package runner

import (
	"errors"
	"strings"
	"testing"
	"time"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/ports"
)

const sec = int64(1e9)

func TestFleetOfSumsRecord(t *testing.T) {
	run := &history.Run{
		Limiters: 4,
		Processes: []history.Process{{Limiter: 0, Started: sec, Ready: 2 * sec}, {Limiter: 1, Started: 2 * sec},
			{Limiter: 0, Started: 9 * sec, Ready: 12 * sec}},
		Calls: []history.Call{
			{Limiter: 2, At: sec, EndedAt: 3 * sec, End: history.Answered},
			{Limiter: 2, At: sec, EndedAt: 2 * sec, End: history.Throttled},
			{
				Limiter: 3,
				At:      6 * sec,
				EndedAt: 7 * sec,
				End:     history.Answered,
			},
			{Limiter: 3, At: 8 * sec, EndedAt: 9 * sec, End: history.Answered},
			{Limiter: 1, At: 6 * sec, EndedAt: 7 * sec, End: history.NoResponse},
		},
		Handshakes:      map[string][]int{"a": {1, 4}, "b": {2, 3}},
		OverloadCrashes: make([]history.OverloadCrash, 2),
	}
	want := Fleet{StartTook: sec, ReadyMost: 3 * sec, NotReady: 1, Calls: 5, TurnedAway: 1, Silent: 1, CallsPeak: 2,
		Listed: [3]int64{6 * sec, -1, -1}, Handshakes: 10, HandshakesPeak: 7, HandshakesServer: 4, Falls: 2}
	if got := FleetOf(run); got != want {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

// TestOnlyUnrequestedExitIsCrash: the end of a process is a crash unless it was sent SIGTERM or SIGKILL before.
func TestOnlyUnrequestedExitIsCrash(t *testing.T) {
	for _, c := range []struct {
		events []processEvent
		crash  bool
	}{
		{[]processEvent{startedEvent, exitEvent}, true}, {[]processEvent{startedEvent, readyEvent, exitEvent}, true},
		{[]processEvent{startedEvent, readyEvent, stopEvent, exitEvent}, true},
		{[]processEvent{startedEvent, readyEvent, termEvent, exitEvent}, false},
		{[]processEvent{startedEvent, stopEvent, killEvent, exitEvent}, false},
		{[]processEvent{startedEvent, readyEvent, termEvent, killEvent, exitEvent}, false},
		{
			[]processEvent{startedEvent, readyEvent, termEvent, exitEvent, startedEvent, stopEvent, continueEvent,
				exitEvent},
			true,
		},
	} {
		s, crash := absent, false
		for _, event := range c.events {
			var ok bool
			if s, crash, ok = nextState(s, event); !ok {
				t.Errorf("%v: event %v is impossible", c.events, event)
			}
		}
		if crash != c.crash {
			t.Errorf("%v: crash is %v", c.events, crash)
		}
	}
	if _, _, ok := nextState(absent, killEvent); ok {
		t.Error("killEvent is possible without a process")
	}
}

// TestReadyTimeoutNamesLimiterAndLog: the error and the event about a limiter that never answers PING must name the
// limiter and its log.
func TestReadyTimeoutNamesLimiterAndLog(t *testing.T) {
	port, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	l := &Lab{clock: history.NewClock(), recorder: &history.Recorder{}, readyTimeout: 50 * time.Millisecond}
	err = l.awaitReady(&limiter{index: 4, port: port, logPath: "n4.log"}, 0, nil, nil)
	var timeout *ReadyTimeoutError
	_, _, events := l.recorder.Copy()
	if !errors.As(err, &timeout) || timeout.Limiter != 4 || len(events) != 1 || events[0].Kind != "never-ready" ||
		events[0].Target != "limiter:4" || !strings.Contains(events[0].Detail, "n4.log") {
		t.Fatalf("%v %+v", err, events)
	}
}
