package coldstart

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// failure is a way in which a call to discovery fails.
type failure uint8

const (
	unanswered      failure = iota // the dial times out
	throttledAtOnce                // status 503 at once
	throttledLate                  // status 503 after a second
	connectionLost                 // connection closed a second after the call
	silent                         // no response until the timeout
	failures                       // number of kinds
)

// TestNotificationDeadline plays every sequence of failures with a stated call rate. After each failure, the next call
// with its dial and response must end by the notification deadline, counted from the earliest time at which discovery
// can have recovered, or at most Advice.MaxLateness later.
func TestNotificationDeadline(t *testing.T) {
	const failuresInRow, positions = 4, 12
	orders := 1
	for range failuresInRow {
		orders *= int(failures)
	}
	for _, dial := range []int64{second / 4, second / 2} {
		for _, budget := range []float64{0.5, 0.8, 2, 2.18, 2.4, 3, 4, 6, 20, 100} {
			set := testSettings(positions, 0, budget)
			set.DialTimeout = dial
			advice, err := set.Advise(200)
			var late *LateNotificationError
			require.True(t, err == nil || errors.As(err, &late))
			t.Run(
				fmt.Sprintf("dial timeout %d ms, period %.2f s", dial/1e6, float64(set.Period())/1e9),
				func(t *testing.T) {
					slowest := int64(0)
					for set.Position = range positions {
						for n := range orders {
							slowest = max(slowest, longestNotification(t, set, n, failuresInRow))
						}
					}
					t.Logf(
						"slowest notification %.3f s, advised lateness %.3f s",
						float64(slowest)/1e9, float64(advice.MaxLateness)/1e9,
					)
					require.LessOrEqual(t, slowest, set.NotificationDeadline+advice.MaxLateness)
					require.True(
						t,
						advice.MaxLateness == 0 || slowest > set.NotificationDeadline,
						"lateness advised, but no notification is late",
					)
				},
			)
		}
	}
}

// longestNotification plays the n-th sequence of failures and returns the longest time from the earliest recovery of
// discovery to the end of the next call, in nanoseconds.
func longestNotification(t *testing.T, set Settings, n, failuresInRow int) (longest int64) {
	s, err := New(epoch, set)
	require.NoError(t, err)
	s.Step(epoch, Event{Kind: ListRestored, Complete: true, Servers: []Server{{ID: "a"}}})
	for i := range failuresInRow {
		startsAt := s.NextSlot()
		s.Step(startsAt, Event{Kind: CallMade})
		endsAt, kind := startsAt+set.DialTimeout/5, CallFailed
		recoveredAt, notificationDeadline := startsAt, set.NotificationDeadline
		switch failure(n % int(failures)) {
		case unanswered:
			endsAt = startsAt + set.DialTimeout
		case throttledAtOnce:
			kind, recoveredAt = CallThrottled, endsAt
		case throttledLate:
			endsAt, kind = endsAt+second, CallThrottled
			recoveredAt = endsAt
		case connectionLost:
			recoveredAt, endsAt = endsAt, endsAt+second
		case silent:
			hold, _ := s.HoldTime(endsAt)
			if recoveredAt = endsAt; i == 0 { // the first call is a watch with a full hold, and its deadline may be later
				notificationDeadline = max(notificationDeadline, hold+set.NotificationDeadline/holdDeadlineDivisor)
			}
			endsAt += s.ResponseTimeout(endsAt, hold)
		}
		n /= int(failures)
		s.Step(endsAt, Event{Kind: kind})
		longest = max(
			longest,
			s.NextSlot()+answerDialTimeouts*set.DialTimeout-recoveredAt-(notificationDeadline-set.NotificationDeadline),
		)
	}
	return longest
}

// TestResponseTimeout checks that a call times out just before the last of the limiter's slots that meets the
// notification deadline, and not before its hold and the time that a response takes have passed.
func TestResponseTimeout(t *testing.T) {
	for _, budget := range []float64{0.5, 2, 4, 12, 100} {
		for position := range 12 {
			s, _ := New(epoch, testSettings(12, position, budget))
			s.Step(epoch, Event{Kind: ListRestored, Complete: true, Servers: []Server{{ID: "a"}}})
			for _, kind := range []Kind{TimePassed, CallFailed} {
				s.Step(epoch, Event{Kind: kind})
				for sixteenths := range int64(4) {
					now := s.NextSlot() + sixteenths*second/16
					for hold := range map[int64]bool{0: true, s.holdOnly(now): true} {
						timeout := s.ResponseTimeout(now, hold)
						margin := s.slotAtOrAfter(now+timeout) - now - timeout
						require.True(
							t,
							margin > 0 && margin <= s.resumeLead()/timeoutMarginDivisor,
							"timed out %d ns before a slot",
							margin,
						)
						nextInTime := timeout + margin + s.period + answerDialTimeouts*s.settings.DialTimeout
						require.Greater(t, nextInTime, s.settings.NotificationDeadline, "a later timeout is possible")
						require.True(
							t,
							timeout-hold >= s.resumeLead()*3/4 || hold == 0,
							"hold of %d ns, timeout of %d ns",
							hold,
							timeout,
						)
					}
				}
			}
		}
	}
}

// holdOnly returns the first result of HoldTime.
func (s *Start) holdOnly(now int64) int64 { hold, _ := s.HoldTime(now); return hold }
