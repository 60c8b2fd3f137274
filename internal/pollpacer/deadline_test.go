package pollpacer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const second = int64(1e9)

// failedAttempt is one way in which a try to reach discovery fails.
type failedAttempt uint8

const (
	refused         failedAttempt = iota // the dial is refused at once
	unanswered                           // the dial is never answered
	throttledAtOnce                      // 503 at once
	throttledLate                        // 503 after two seconds
	reset                                // broken off one second behind the call
	silentWatch                          // a call that may wait is given up
	silentFetch                          // a call for the whole list is given up
	attemptKinds
)

// run plays one failed attempt that begins at now, and tells when and how it ends.
func (a failedAttempt) run(p *Pacer, now int64) (endsAt int64, failure Failure) {
	call := func(complete bool) int64 { _, timeout := p.NextPoll(now, complete); return timeout }
	switch a {
	case unanswered:
		return now + p.DialTimeout(), Failed
	case throttledAtOnce:
		call(false)
		return now, Throttled
	case throttledLate:
		call(false)
		return now + 2e9, Throttled
	case reset:
		return now + min(1e9, call(false)), Failed
	case silentWatch:
		return now + call(false), Failed
	case silentFetch:
		return now + call(true), Failed
	}
	return now, Failed
}

// earliestRecovery is the earliest time from which discovery can have been earliestRecovery without answering the attempt: a 503 is an answer,
// anything else may have been lost as it began.
func (a failedAttempt) earliestRecovery(startsAt, endsAt int64) int64 {
	if a == throttledAtOnce || a == throttledLate {
		return endsAt
	}
	return startsAt
}

// TestNotificationDeadline: whatever attempts fail in whatever order, at each place, the next attempt behind each of
// them, its dial and its answer are over 6 s after discovery can have come back.
func TestNotificationDeadline(t *testing.T) {
	const positions, failures = 24, 5
	preparations := map[string]func(p *Pacer){
		"at the start":    func(*Pacer) {},
		"behind a list":   func(p *Pacer) { p.ResponseReceived(0) },
		"behind a move":   func(p *Pacer) { p.ResponseReceived(0); p.ServiceMoved(0) },
		"behind a broken": func(p *Pacer) { p.ResponseReceived(0); p.NextPoll(0, false); p.ConnectionLost(p.DialTimeout()) },
	}
	for _, dial := range []int64{50e6, 250e6, 500e6, 5e9} {
		for name, prepare := range preparations {
			t.Run(fmt.Sprintf("%s, dial %d ms", name, dial/1e6), func(t *testing.T) {
				t.Parallel()
				longest := int64(0)
				for position := range positions {
					for n := range orderings(failures) {
						p := New(0, dial, position, testPollInterval)
						prepare(p)
						longest = max(longest, longestNotification(t, p, n, failures, name == "behind a broken"))
					}
				}
				t.Logf("at most %.3f s", float64(longest)/1e9)
			})
		}
	}
}

// orderings is the number of orders of so many failures.
func orderings(failures int) int {
	n := 1
	for range failures {
		n *= int(attemptKinds)
	}
	return n
}

// longestNotification plays the order of failures with number n and gives the longest time from when discovery can have come back
// to the end of the next attempt. A watch that falls silent before any failure may be held for its whole wait: only
// what follows is measured.
func longestNotification(t *testing.T, p *Pacer, n, failures int, retried bool) (longest int64) {
	now := int64(0)
	for i := range failures {
		a := failedAttempt(n % int(attemptKinds))
		n /= int(attemptKinds)
		endsAt, failure := a.run(p, now)
		pause := p.RetryDelay(endsAt, failure)
		notifiedAfter := endsAt + pause + 2*p.DialTimeout() + processingMargin - a.earliestRecovery(now, endsAt)
		if i > 0 || retried || a != silentWatch {
			if notifiedAfter > notifiedAfterSilence {
				t.Fatalf(
					"failure %d, way %d: begun at %d, over at %d, a pause of %d: told after %d",
					i,
					a,
					now,
					endsAt,
					pause,
					notifiedAfter,
				)
			}
			longest = max(longest, notifiedAfter)
		}
		now = endsAt + pause
	}
	return longest
}

// TestRetryHoldTime: a call behind a failed one waits for 4 s at most, so that it is over in time if it falls silent, and
// an answer ends that. What ends within a dial time-out of its answer is closed behind each answer, and waits for as
// long as before.
func TestRetryHoldTime(t *testing.T) {
	holdAfter := func(prepare func(p *Pacer)) int64 {
		p := New(0, testDialTimeout, 3, testPollInterval)
		p.ResponseReceived(0)
		p.NextPoll(0, false)
		prepare(p)
		hold, _ := p.NextPoll(afterDeadline, false)
		return hold
	}
	const retryHold = notifiedAfterSilence - notifiedAfterHold
	require.Equal(t, testPollInterval, holdAfter(func(*Pacer) {}), "no failure")
	require.Equal(t, int64(retryHold), holdAfter(func(p *Pacer) { p.RetryDelay(afterDeadline, Failed) }), "no answer")
	require.Equal(t, int64(retryHold), holdAfter(func(p *Pacer) { p.RetryDelay(afterDeadline, Throttled) }), "turned away")
	require.Equal(t, int64(retryHold), holdAfter(func(p *Pacer) { p.ConnectionLost(testDialTimeout) }), "broken off")
	require.Equal(t, testPollInterval, holdAfter(func(p *Pacer) { p.ConnectionLost(testDialTimeout - 1) }), "closed behind its answer")
	require.Equal(t, testPollInterval, holdAfter(func(p *Pacer) { p.RetryDelay(afterDeadline, Failed); p.ResponseReceived(afterDeadline) }), "an answer")
	frequent := New(0, testDialTimeout, 3, second)
	frequent.RetryDelay(0, Failed)
	hold, _ := frequent.NextPoll(0, false)
	require.Equal(t, second, hold, "asked more often than that")
}

// TestThrottledCallRate: what a fleet of 300 asks of a discovery that turns all calls away, second by second, once the
// pauses have grown to their longest. The pauses are as long as the notification deadline allows, and no fleet asks in
// step.
func TestThrottledCallRate(t *testing.T) {
	const limiters, from, until = 300, 60, 120
	for _, c := range []struct {
		dial int64
		mean float64 // calls a second: limiters by the mean of the longest pauses, three quarters of LongestPause
	}{{250e6, 77.7}, {500e6, 90.9}} {
		calls, callsInSecond := 0, [until]int{}
		for i := range limiters {
			p := New(0, c.dial, i, testPollInterval)
			p.ResponseReceived(0)
			for now := p.RetryDelay(0, Throttled); now < until*second; now += p.RetryDelay(now, Throttled) {
				if callsInSecond[now/second]++; now >= from*second {
					calls++
				}
			}
		}
		most := 0
		for _, n := range callsInSecond[from:] {
			most = max(most, n)
		}
		mean := float64(calls) / (until - from)
		t.Logf("dial %d ms: %.1f calls a second, at most %d", c.dial/1e6, mean, most)
		require.InEpsilon(t, c.mean, mean, 0.02)
		require.LessOrEqual(t, float64(most), 1.35*mean, "calls in one second")
	}
}
