package choice

import "testing"

func TestResidenceSeconds(t *testing.T) {
	for _, c := range []struct {
		report LoadReport
		want   float64
	}{
		{LoadReport{InFlight: 6, Throughput: 12, ServiceTime: second}, 0.5},
		{LoadReport{ServiceTime: second / 4, Queued: 5, Throughput: 20}, 0.5},
		{LoadReport{ServiceTime: second / 4, Queued: 5}, 0.25},
		{LoadReport{InFlight: 6}, 0},
	} {
		if got := c.report.residenceSeconds(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.report, got, c.want)
		}
	}
}

func TestRejectReasonWords(t *testing.T) {
	words := map[string]bool{}
	for reason := range RejectReasons {
		words[reason.String()] = true
	}
	if len(words) != int(RejectReasons) {
		t.Fatalf("%d reasons have the words %v", RejectReasons, words)
	}
}

func TestHasRetryableClass(t *testing.T) {
	write := &Class{Idempotency: NonIdempotent}
	settings := &Settings{Classes: map[string]*Class{"write": write}}
	if settings.hasRetryableClass() {
		t.Fatal("a non-idempotent class counts as retryable")
	}
	settings.Classes["read"] = &Class{Idempotency: Idempotent}
	if !settings.hasRetryableClass() {
		t.Fatal("an idempotent class does not count as retryable")
	}
}
