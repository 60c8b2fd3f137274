package coldstart

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// failure is how a call of a limiter fails.
type failure uint8

const (
	unanswered failure = iota // its dial is never answered
	turnedAway                // 503 at once
	turnedSlow                // 503 after a second
	broken                    // broken off a second behind the call
	silent                    // never answered
	failures
)

// TestNotificationDeadline: with a stated budget, whatever calls fail in whatever order, the next call behind each,
// its dial and its answer are over when what the service has when it can be reached again counts as told, or later by
// what Late says at most.
func TestNotificationDeadline(t *testing.T) {
	const inRow, places = 4, 12
	orders := 1
	for range inRow {
		orders *= int(failures)
	}
	for _, dial := range []int64{second / 4, second / 2} {
		for _, budget := range []float64{0.5, 0.8, 2, 2.18, 2.4, 3, 4, 6, 20, 100} {
			set := settings(places, 0, budget)
			set.DialTimeout = dial
			advice, err := set.Advise(200)
			var late *LateNotificationError
			require.True(t, err == nil || errors.As(err, &late))
			t.Run(
				fmt.Sprintf("dial %d ms, a round of %.2f s", dial/1e6, float64(set.Period())/1e9),
				func(t *testing.T) {
					slowest := int64(0)
					for set.Position = range places {
						for n := range orders {
							slowest = max(slowest, play(t, set, n, inRow))
						}
					}
					t.Logf("%.3f s at most, late by %.3f s as advised", float64(slowest)/1e9, float64(advice.Late)/1e9)
					require.LessOrEqual(t, slowest, set.NotificationDeadline+advice.Late)
					require.True(t, advice.Late == 0 || slowest > set.NotificationDeadline, "it is not late")
				},
			)
		}
	}
}

// play plays the order of failures with number n and gives the longest time from when the service can have come back
// to the end of the next call.
func play(t *testing.T, set Settings, n, inRow int) (longest int64) {
	s, err := New(epoch, set)
	require.NoError(t, err)
	s.Step(epoch, Event{Kind: ListRestored, Whole: true, Servers: []Server{{ID: "a"}}})
	for i := range inRow {
		begins := s.NextSlot()
		s.Step(begins, Event{Kind: CallMade})
		ends, kind := begins+set.DialTimeout/5, CallFailed
		back, told := begins, set.NotificationDeadline
		switch failure(n % int(failures)) {
		case unanswered:
			ends = begins + set.DialTimeout
		case turnedAway:
			kind, back = CallThrottled, ends
		case turnedSlow:
			ends, kind = ends+second, CallThrottled
			back = ends
		case broken:
			back, ends = ends, ends+second
		case silent:
			hold, _ := s.HoldTime(ends)
			if back = ends; i == 0 { // a watch that fell silent, and no call has failed
				told = max(told, hold+set.NotificationDeadline/holdDeadlineParts)
			}
			ends += s.ResponseTimeout(ends, hold)
		}
		n /= int(failures)
		s.Step(ends, Event{Kind: kind})
		longest = max(longest, s.NextSlot()+answerDialTimeouts*set.DialTimeout-back-(told-set.NotificationDeadline))
	}
	return longest
}

// TestGiveUp: a call is given up just before the last of the limiter's instants that is in time, and never before its
// hold and the time of an answer.
func TestGiveUp(t *testing.T) {
	for _, budget := range []float64{0.5, 2, 4, 12, 100} {
		for place := range 12 {
			s, _ := New(epoch, settings(12, place, budget))
			s.Step(epoch, Event{Kind: ListRestored, Whole: true, Servers: []Server{{ID: "a"}}})
			for _, kind := range []Kind{TimePassed, CallFailed} {
				s.Step(epoch, Event{Kind: kind})
				for dialled := range int64(4) {
					now := s.NextSlot() + dialled*second/16
					for hold := range map[int64]bool{0: true, s.held(now): true} {
						at := s.ResponseTimeout(now, hold)
						before := s.slotFrom(now+at) - now - at
						require.True(
							t,
							before > 0 && before <= s.resumeLead()/earlyParts,
							"given up %d ns before an instant",
							before,
						)
						later := at + before + s.period + answerDialTimeouts*s.settings.DialTimeout
						require.Greater(t, later, s.settings.NotificationDeadline, "a call could be waited for longer")
						require.True(
							t,
							at-hold >= s.resumeLead()*3/4 || hold == 0,
							"a hold of %d ns, given up after %d",
							hold,
							at,
						)
					}
				}
			}
		}
	}
}

func (s *Start) held(now int64) int64 { hold, _ := s.HoldTime(now); return hold }
