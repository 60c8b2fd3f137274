package choice

import "testing"

func TestRejectReasonWords(t *testing.T) {
	words := map[string]bool{}
	for reason := range RejectReasons {
		words[reason.String()] = true
	}
	if len(words) != int(RejectReasons) {
		t.Fatalf("%d reasons have the words %v", RejectReasons, words)
	}
}

func TestRepeatableClass(t *testing.T) {
	write := &Class{Idempotency: NonIdempotent}
	set := &Settings{Classes: map[string]*Class{"write": write}}
	if set.hasRepeatableClass() {
		t.Fatal("a non-idempotent class may run again")
	}
	set.Classes["read"] = &Class{Idempotency: Idempotent}
	if !set.hasRepeatableClass() {
		t.Fatal("an idempotent class may not run again")
	}
}

func TestFailedHealthCheckBeginsAnew(t *testing.T) {
	controller, _ := newTestController()
	s := controller.servers.byID["a"]
	controller.outliers.eject(0, s, "")
	controller.HealthCheckDone(second, "a", Succeeded)
	controller.HealthCheckDone(second, "a", TimedOut)
	controller.HealthCheckDone(second, "a", Succeeded)
	if s.health.state != ejected {
		t.Fatal("it is reinstated by two health checks that are not in a row")
	}
	controller.HealthCheckDone(second, "a", Succeeded)
	if s.health.state != halfOpen {
		t.Fatal("it is not reinstated by two health checks in a row")
	}
}

func TestAttemptDoneOfAnUnknownRequestDoesNothing(t *testing.T) {
	controller, done := newTestController()
	controller.AttemptDone(0, AttemptResult{Request: "unknown", Outcome: Succeeded})
	q := sendRequest(controller, "read")
	did := len(done.did)
	controller.AttemptDone(0, AttemptResult{Request: q.id, Attempt: 1, Outcome: Succeeded})
	if len(done.did) != did || q.ended() {
		t.Fatalf("did %q", done.did)
	}
}

// A request whose client has gone as well as its server ends without an answer.
func TestFinalFailureIsTheClients(t *testing.T) {
	controller, done := newTestController()
	q := sendRequest(controller, "read")
	did := len(done.did)
	controller.AttemptDone(1, AttemptResult{Request: q.id, Outcome: ConnectionLost, Duration: 1, Final: true})
	if q.state != stateClientGone || len(done.did) != did || controller.requests.byID[q.id] != nil {
		t.Fatalf("state %d, did %q", q.state, done.did)
	}
}

// An id that is used again belongs to the request that used it last.
func TestRequestTableForgetsOnlyItsOwn(t *testing.T) {
	table := newRequestTable()
	first, second := &request{id: "same"}, &request{id: "same"}
	table.add(first)
	table.add(second)
	if table.remove(first) || !table.remove(second) || len(table.byID) != 0 {
		t.Fatal("the first was forgotten in the second's place")
	}
}

func TestBucketThatNeverFillsIsNeverFull(t *testing.T) {
	empty := tokenBucket{burst: 1}
	if at := empty.fullAt(); at != 1<<63-1 {
		t.Fatal("full at", at)
	}
}
