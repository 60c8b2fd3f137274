package pollpacer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	testDialTimeout  = int64(250e6)
	testPollInterval = int64(10e9)
	afterDeadline    = int64(60e9) // all that is missed counts as told
)

func TestRetryDelay(t *testing.T) {
	t.Run("a failure is tried again soon, more of them later", func(t *testing.T) {
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
	t.Run("limiters that failed together come again apart", func(t *testing.T) {
		tenths := [10]int{}
		for i := range 80 {
			tenths[10*(New(0, testDialTimeout, i, testPollInterval).RetryDelay(afterDeadline, Throttled)-firstThrottledPauseDialTimeouts*testDialTimeout/2)/(firstThrottledPauseDialTimeouts*testDialTimeout)]++
		}
		for _, n := range tenths {
			if n < 6 || n > 10 {
				t.Fatalf("in tenths of the span: %v", tenths)
			}
		}
	})
	t.Run("silence between calls that are turned away does not end it", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		for range 9 {
			p.RetryDelay(afterDeadline, Throttled)
			p.RetryDelay(afterDeadline, Failed)
		}
		if wait := p.RetryDelay(afterDeadline, Throttled); wait < maxThrottledPauseDialTimeouts*testDialTimeout/2 {
			t.Fatal(wait)
		}
	})
	t.Run("an answer ends the waiting", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		for range 9 {
			p.RetryDelay(afterDeadline, Throttled)
		}
		p.ResponseReceived(afterDeadline)
		if wait := p.RetryDelay(afterDeadline, Throttled); wait > 2*firstThrottledPauseDialTimeouts*testDialTimeout {
			t.Fatal(wait, "after an answer")
		}
	})
}

// What is missed counts as told 6 s after discovery fell silent, or 2 s after a wait is over. A silent call has to be
// given up while a dial that is never answered, its pause, a dial and an answer still come before that.
func TestNextPoll(t *testing.T) {
	for _, c := range []struct {
		name                           string
		dial, pollInterval, notifiedAt int64
		complete                       bool
		minWait                        int64 // it is held for so long behind its wait: discovery may have a queue
	}{
		{"asked", testDialTimeout, testPollInterval, 12e9, false, 1e9},
		{"asked often", testDialTimeout, 2e9, 6e9, false, 1e9},
		{"asked, the whole list", testDialTimeout, testPollInterval, 6e9, true, 4e9},
		{"asked, far away", 400e6, testPollInterval, 12e9, false, 400e6},
		{"pushed", testDialTimeout, 0, 6e9, false, 400e6},
		{"pushed, long dials", 5e9, 0, 6e9, false, 400e6},
		{"pushed, the whole list", testDialTimeout, 0, 6e9, true, 400e6},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(0, c.dial, 3, c.pollInterval)
			hold, timeout := p.NextPoll(0, c.complete)
			now := timeout + p.DialTimeout() // a dial is not answered
			now += p.RetryDelay(now, Failed) + 2*p.DialTimeout()
			require.LessOrEqual(t, now, c.notifiedAt, "when it hears")
			require.GreaterOrEqual(t, timeout, hold+c.minWait, "when it gives up")
		})
	}
	t.Run("a dial that takes for ever leaves room for one try", func(t *testing.T) {
		p := New(0, 60e9, 3, testPollInterval)
		_, timeout := p.NextPoll(0, false)
		require.LessOrEqual(t, timeout+2*p.DialTimeout(), int64(12e9))
	})
	t.Run("the whole list at a new address", func(t *testing.T) {
		p := New(0, testDialTimeout, 3, testPollInterval)
		p.ServiceMoved(60e9)
		_, timeout := p.NextPoll(60e9, true)
		require.True(t, timeout <= 4e9-3*testDialTimeout && timeout >= 2e9, "%d", timeout)
	})
}

// An outage that is over before what was missed counts as told ends in a call before that, one for each limiter and not
// all at once; where changes are pushed the agent on the own machine is asked within a small part of the grace.
func TestOutage(t *testing.T) {
	for _, failure := range []Failure{Throttled, Failed} {
		tenths, callsInSecond := [10]int{}, [61]int{}
		// calls are how many of a limiter come within a minute, and when the last one does before its news counts.
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
				t.Fatalf("limiter %d: %d calls, without the early one %d, the last at %d", i, n, usual, last)
			}
			tenths[last/6e8]++
		}
		t.Logf("end %d: calls of 300 limiters in each second of a minute: %v", failure, callsInSecond[:60])
		for _, n := range tenths {
			require.True(t, failure != Throttled || n <= 150, "last calls in tenths of the time: %v", tenths)
		}
		p := New(0, testDialTimeout, 3, 0)
		for range 40 {
			require.InDelta(t, 46e6, p.RetryDelay(0, failure), 34e6)
		}
	}
}

// TestOverloadedDiscovery lets many limiters start together at one discovery that can take a call of each in 8 s and turns away
// what it cannot answer within 2 s, as the operators' page has it. All are to have their list before long.
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
				if busyUntil = max(busyUntil, now) + cost/4; busyUntil-now > maxQueueDelay { // turning away costs work too
					a.nextCall = now + a.pacer.RetryDelay(now, Throttled)
					continue
				}
				busyUntil += cost - cost/4
				a.listAt, waiting, finishedAt = now+1, waiting-1, now
			}
		}
		t.Logf("%d limiters: %d calls, all have their list after %.1f s", limiters, calls, float64(finishedAt)/1e9)
		if calls > 5*limiters/4+2 {
			t.Fatalf("%d calls of %d limiters", calls, limiters)
		}
	}
}

// TestNotificationBound: the pause before the agent is asked again is a part of the grace that the settings tell, not of one
// site's.
func TestNotificationBound(t *testing.T) {
	for _, c := range []struct{ grace, minPause, maxPause int64 }{{0, 25e6, 75e6}, {500e6, 25e6, 75e6}, {100e6, 10e6, 30e6}, {1, 5e5, 15e5}} {
		p := New(0, testDialTimeout, 3, 0)
		p.SetNotificationBound(c.grace)
		for range 40 {
			pause := p.RetryDelay(0, Failed)
			require.True(t, c.minPause <= pause && pause <= c.maxPause, "a grace of %d, a pause of %d", c.grace, pause)
		}
	}
}
