package choice

import "testing"

func TestRetry(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(controller *Controller, req *request)
	}{
		{"no attempt is left", func(controller *Controller, req *request) { controller.settings.MaxAttempts = 1 }},
		{"the retry budget is empty", func(controller *Controller, req *request) { controller.retries.retries = 0 }},
		{"an attempt is in flight", func(controller *Controller, req *request) {}},
		{"its deadline has passed", func(controller *Controller, req *request) { req.deadline = 0 }},
	} {
		t.Run("sends nothing when "+c.name, func(t *testing.T) {
			controller, _ := newTestController()
			req := sendRequest(controller, "read")
			req.openAttempts = 0
			if c.name == "an attempt is in flight" {
				req.openAttempts = 1
			}
			c.change(controller, req)
			if controller.retry(1, req) {
				t.Fatal("it sent an attempt")
			}
		})
	}
}

func TestLostAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    string
		overload float64
		at       int64
		want     string
	}{
		{"an attempt in flight for many times its expected duration is cancelled", "read", 0, second / 3, "cancel j 0"},
		{"but not before that", "read", 0, second / 5, "send j a"},
		{"nor while answers are slow", "read", 1, second / 3, "send j a"},
		{"nor if the request must not run twice", "write", 0, second / 3, "send j a"},
		{"a request past its latency objective is rejected at once", "read", 0, second + 1, "reject j"},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, effects := newTestController()
			controller.settings.CanCancel = true
			req := sendRequest(controller, c.class)
			controller.concurrency.overloadRatio = c.overload
			for _, s := range controller.servers.ring {
				s.pace.seconds, s.pace.units = 0.02, 2 // 10 ms a unit
			}
			controller.tick(c.at)
			if c.want == "reject j" {
				requireEffects(t, effects, "reject j", "cancel j 0")
				return
			}
			requireEffects(t, effects, c.want)
			if c.want == "cancel j 0" {
				controller.AttemptDone(c.at, AttemptResult{Request: "j", Outcome: Cancelled, Duration: c.at})
				requireEffects(t, effects, "send j b")
				if req.attempts[0].server.health.failureRatio == 0 {
					t.Fatal("it does not count as a failure of its server")
				}
			}
		})
	}
}

func TestDeduplicationWithinACell(t *testing.T) {
	cellScoped := &Class{
		LatencyObjective:    second,
		Idempotency:         IdempotentWithKey,
		DeduplicationScope:  ScopeCell,
		DeduplicationWindow: second,
		PriorityWeight:      1,
	}
	first := &attempt{server: &server{cell: 3, zone: "x"}, sentAt: second, mayHaveRun: true}
	for _, c := range []struct {
		cell, at int64
		want     bool
	}{{3, second * 3 / 2, true}, {4, second * 3 / 2, false}, {3, 2 * second, false}} {
		if got := cellScoped.deduplicates(c.at, first, &server{cell: c.cell, zone: "x"}); got != c.want {
			t.Errorf("cell %d at %d: %v", c.cell, c.at, got)
		}
	}
}
