package pollpacer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	testDialTimeout  = int64(250e6)
	testPollInterval = int64(10e9)
	afterDeadline    = int64(60e9) // long after every notification deadline
)

func TestRetryDelay(t *testing.T) {
	t.Run("the first retry is soon, and the delay is bounded", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		if first := p.RetryDelay(afterDeadline, Failed); first <= 0 || first > testDialTimeout/2 {
			t.Fatal(first)
		}
		for range 20 {
			if wait := p.RetryDelay(afterDeadline, Failed); wait > 2*maxFailurePauseDialTimeouts*testDialTimeout {
				t.Fatal(wait)
			}
		}
	})
	t.Run("limiters that failed together retry apart", func(t *testing.T) {
		tenths := [10]int{}
		for i := range 80 {
			tenths[10*(New(0, testDialTimeout, i, testPollInterval).RetryDelay(afterDeadline, Throttled)-
				firstThrottledPauseDialTimeouts*testDialTimeout/2)/(firstThrottledPauseDialTimeouts*testDialTimeout)]++
		}
		for _, n := range tenths {
			if n < 6 || n > 10 {
				t.Fatalf("delays by tenths of the range: %v", tenths)
			}
		}
	})
	t.Run("failed calls between throttled ones do not reset the backoff", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		for range 9 {
			p.RetryDelay(afterDeadline, Throttled)
			p.RetryDelay(afterDeadline, Failed)
		}
		if wait := p.RetryDelay(afterDeadline, Throttled); wait < maxThrottledPauseDialTimeouts*testDialTimeout/2 {
			t.Fatal(wait)
		}
	})
	t.Run("a response resets the backoff", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		for range 9 {
			p.RetryDelay(afterDeadline, Throttled)
		}
		p.ResponseReceived(afterDeadline)
		if wait := p.RetryDelay(afterDeadline, Throttled); wait > 2*firstThrottledPauseDialTimeouts*testDialTimeout {
			t.Fatal(wait, "after a response")
		}
	})
}

// TestNextPoll checks the timeout of a call that gets no response. Missed changes count as delivered 6 s after
// discovery becomes unreachable, or 2 s after the end of the hold. The timeout must leave time before that for a dial
// that times out, the pause after it, and the dial and the response of the next call.
func TestNextPoll(t *testing.T) {
	for _, c := range []struct {
		name                           string
		dial, pollInterval, notifiedAt int64
		complete                       bool
		minWait                        int64 // minimum time from hold to timeout: discovery may have a queue
	}{
		{"polled", testDialTimeout, testPollInterval, 12e9, false, 1e9},
		{"polled often", testDialTimeout, 2e9, 6e9, false, 1e9},
		{"polled, complete list", testDialTimeout, testPollInterval, 6e9, true, 4e9},
		{"polled, long dial timeout", 400e6, testPollInterval, 12e9, false, 400e6},
		{"pushed", testDialTimeout, 0, 6e9, false, 400e6},
		{"pushed, very long dial timeout", 5e9, 0, 6e9, false, 400e6},
		{"pushed, complete list", testDialTimeout, 0, 6e9, true, 400e6},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(0, c.dial, 3, c.pollInterval)
			hold, timeout := p.NextPoll(0, c.complete)
			now := timeout + p.DialTimeout() // the next dial times out
			now += p.RetryDelay(now, Failed) + 2*p.DialTimeout()
			require.LessOrEqual(t, now, c.notifiedAt, "time of the next response")
			require.GreaterOrEqual(t, timeout, hold+c.minWait, "response timeout")
		})
	}
	t.Run("an excessive dial timeout leaves time for a retry", func(t *testing.T) {
		p := New(0, 60e9, 3, testPollInterval)
		_, timeout := p.NextPoll(0, false)
		require.LessOrEqual(t, timeout+2*p.DialTimeout(), int64(12e9))
	})
	t.Run("complete list from a new address", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		p.ServiceMoved(60e9)
		_, timeout := p.NextPoll(60e9, true)
		require.True(t, timeout <= 4e9-3*testDialTimeout && timeout >= 2e9, "%d", timeout)
	})
}

// TestOutage checks that after an outage that ends before the notification deadline each limiter sends one early call
// before that deadline, and that these calls are spread. If changes are pushed, the agent on the limiter's machine is
// called again within a small part of the grace.
func TestOutage(t *testing.T) {
	for _, failure := range []Failure{Throttled, Failed} {
		tenths, callsInSecond := [10]int{}, [61]int{}
		// calls returns the number of calls within a minute and the time of the last one before the deadline.
		calls := func(p *Pacer) (n int, last int64) {
			for now := int64(0); now < afterDeadline; n++ {
				if now <= 6e9-2*testDialTimeout {
					last = now
				}
				if p.pollInterval > 0 {
					callsInSecond[min(now/1e9, 60)]++
				}
				now += p.RetryDelay(now, failure)
			}
			return n, last
		}
		for i := range 300 {
			p, withoutEarlyCall := New(0, testDialTimeout, i, testPollInterval), New(0, testDialTimeout, i, testPollInterval)
			p.ResponseReceived(0)
			n, last := calls(p)
			counted := callsInSecond
			usual, _ := calls(withoutEarlyCall)
			if callsInSecond = counted; n > usual+1 || last < 2e9 {
				t.Fatalf("limiter %d: %d calls, %d without an early call, last before the deadline at %d", i, n, usual, last)
			}
			tenths[last/6e8]++
		}
		t.Logf("failure %d: calls of 300 limiters in each second of a minute: %v", failure, callsInSecond[:60])
		for _, n := range tenths {
			require.True(t, failure != Throttled || n <= 150, "last calls by tenths of the deadline: %v", tenths)
		}
		p := New(0, testDialTimeout, 3, 0)
		for range 40 {
			require.InDelta(t, 46e6, p.RetryDelay(0, failure), 34e6)
		}
	}
}

// TestOverloadedDiscovery starts many limiters together. Discovery needs 8 s to serve one call of each and throttles
// calls that it cannot answer within 2 s, as the operators' page states. All limiters must get a list within 40 s and
// with few retries.
func TestOverloadedDiscovery(t *testing.T) {
	for _, limiters := range []int{3, 80, 300} {
		const allCallsTime, maxQueueDelay = 8 * int64(1e9), 2 * int64(1e9)
		cost := allCallsTime / int64(limiters)
		type poller struct {
			pacer    *Pacer
			nextCall int64
			listAt   int64
		}
		pollers := make([]poller, limiters)
		for i := range pollers {
			pollers[i].pacer = New(0, testDialTimeout, i, testPollInterval)
			pollers[i].nextCall = pollers[i].pacer.FirstDelay()
		}
		calls, waiting, finishedAt := 0, limiters, int64(0)
		for busyUntil, now := int64(0), int64(0); waiting > 0; now += int64(1e6) {
			if now > 40e9 {
				t.Fatalf("%d of %d limiters have no list after 40 s and %d calls", waiting, limiters, calls)
			}
			for i := range pollers {
				a := &pollers[i]
				if a.listAt > 0 || now < a.nextCall {
					continue
				}
				calls++
				if busyUntil = max(busyUntil, now) + cost/4; busyUntil-now > maxQueueDelay { // throttling a call takes work too
					a.nextCall = now + a.pacer.RetryDelay(now, Throttled)
					continue
				}
				busyUntil += cost - cost/4
				a.listAt, waiting, finishedAt = now+1, waiting-1, now
			}
		}
		t.Logf("%d limiters: %d calls, all have their list after %.1f s", limiters, calls, float64(finishedAt)/1e9)
		if calls > 5*limiters/4+2 {
			t.Fatalf("%d calls from %d limiters", calls, limiters)
		}
	}
}

// TestNotificationBound checks that the pause between calls to the local agent follows from the configured grace. A
// fixed pause would suit only one site.
func TestNotificationBound(t *testing.T) {
	for _, c := range []struct{ grace, minPause, maxPause int64 }{
		{0, 25e6, 75e6}, {500e6, 25e6, 75e6}, {100e6, 10e6, 30e6}, {1, 5e5, 15e5},
	} {
		p := New(0, testDialTimeout, 3, 0)
		p.SetNotificationBound(c.grace)
		for range 40 {
			pause := p.RetryDelay(0, Failed)
			require.True(t, c.minPause <= pause && pause <= c.maxPause, "grace %d ns, pause %d ns", c.grace, pause)
		}
	}
}
