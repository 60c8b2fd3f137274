package pollpacer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const second = int64(1e9)

// failedAttempt is a way in which an attempt to call discovery fails.
type failedAttempt uint8

const (
	refused         failedAttempt = iota // the dial is refused at once
	unanswered                           // the dial times out
	throttledAtOnce                      // status 503 at once
	throttledLate                        // status 503 after two seconds
	reset                                // connection closed one second after the call
	silentWatch                          // a call with a hold times out
	silentFetch                          // a call for the complete list times out
	attemptKinds                         // number of kinds
)

// run simulates one failed attempt that starts at now, and returns when and how it ends.
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

// earliestRecovery returns the earliest time at which discovery can have recovered without serving the attempt. A 503
// is a response, so discovery has not recovered before it; any other attempt may have been lost at its start.
func (a failedAttempt) earliestRecovery(startsAt, endsAt int64) int64 {
	if a == throttledAtOnce || a == throttledLate {
		return endsAt
	}
	return startsAt
}

// TestNotificationDeadline plays every sequence of failed attempts at several positions. After each failure, the dial
// and the response of the next attempt must end within 6 s of the earliest recovery of discovery.
func TestNotificationDeadline(t *testing.T) {
	const positions, failures = 24, 5
	preparations := map[string]func(p *Pacer){
		"at the start":    func(*Pacer) {},
		"after a list":    func(p *Pacer) { p.ResponseReceived(0) },
		"after a move":    func(p *Pacer) { p.ResponseReceived(0); p.ServiceMoved(0) },
		"lost connection": func(p *Pacer) { p.ResponseReceived(0); p.NextPoll(0, false); p.ConnectionLost(p.DialTimeout()) },
	}
	for _, dial := range []int64{50e6, 250e6, 500e6, 5e9} {
		for name, prepare := range preparations {
			t.Run(fmt.Sprintf("%s, dial timeout %d ms", name, dial/1e6), func(t *testing.T) {
				t.Parallel()
				longest := int64(0)
				for position := range positions {
					for n := range orderings(failures) {
						p := New(0, dial, position, testPollInterval)
						prepare(p)
						longest = max(longest, longestNotification(t, p, n, failures, name == "lost connection"))
					}
				}
				t.Logf("slowest notification %.3f s", float64(longest)/1e9)
			})
		}
	}
}

// orderings returns the number of sequences of the given number of failures.
func orderings(failures int) int {
	n := 1
	for range failures {
		n *= int(attemptKinds)
	}
	return n
}

// longestNotification plays the n-th sequence of failures and returns the longest time from the earliest recovery of
// discovery to the end of the next attempt, in nanoseconds. A first attempt that is a silent watch is not measured,
// since it may last for its whole hold; retried tells that it is a retry, whose hold is shorter, and is measured too.
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
					"failure %d, kind %d: started at %d, ended at %d, pause %d, notified after %d",
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

// TestRetryHoldTime checks that a retry has a hold of at most 4 s, so that it ends in time if it gets no response, and
// that a response restores the usual hold. A connection closed within a dial timeout of its call does not make the next
// call a retry: discovery closes it after each response.
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
	require.Equal(t, int64(retryHold), holdAfter(func(p *Pacer) { p.RetryDelay(afterDeadline, Failed) }), "no response")
	require.Equal(t, int64(retryHold), holdAfter(func(p *Pacer) { p.RetryDelay(afterDeadline, Throttled) }), "throttled")
	require.Equal(t, int64(retryHold), holdAfter(func(p *Pacer) { p.ConnectionLost(testDialTimeout) }), "connection lost")
	require.Equal(
		t, testPollInterval, holdAfter(func(p *Pacer) { p.ConnectionLost(testDialTimeout - 1) }),
		"connection closed after the response",
	)
	require.Equal(
		t, testPollInterval,
		holdAfter(func(p *Pacer) { p.RetryDelay(afterDeadline, Failed); p.ResponseReceived(afterDeadline) }),
		"a response",
	)
	frequent := New(0, testDialTimeout, 3, second)
	frequent.RetryDelay(0, Failed)
	hold, _ := frequent.NextPoll(0, false)
	require.Equal(t, second, hold, "poll interval below the hold of a retry")
}

// TestThrottledCallRate checks the call rate of 300 limiters while discovery throttles all calls, after the pauses have
// reached their maximum: the mean is as low as the notification deadline allows, and no second has many more calls than
// the mean, which it would have if limiters called in step.
func TestThrottledCallRate(t *testing.T) {
	const limiters, from, until = 300, 60, 120
	for _, c := range []struct {
		dial int64
		mean float64 // calls per second: limiters / (MaxBackoff * 3/4), the mean of the longest pauses
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
		t.Logf("dial timeout %d ms: %.1f calls per second, at most %d", c.dial/1e6, mean, most)
		require.InEpsilon(t, c.mean, mean, 0.02)
		require.LessOrEqual(t, float64(most), 1.35*mean, "calls in one second")
	}
}
