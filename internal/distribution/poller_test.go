package distribution

import (
	"errors"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const testDial = second / 4

// polled is a poller whose subscriber has a source's state.
func polled(t *testing.T, s *Source, applier Applier, position int) *Poller {
	t.Helper()
	return NewPoller(
		1,
		synced(t, s, applier),
		PollerOptions{DialTimeout: testDial, Hold: LimiterHold, Position: position},
	)
}

// TestFirstCalls: subscribers that start together make their first calls evenly over half of a hold.
func TestFirstCalls(t *testing.T) {
	var waits []int64
	for i := range 550 {
		sub := NewSubscriber(1, SubscriberOptions{Applier: &inForce{}})
		waits = append(
			waits,
			NewPoller(1, sub, PollerOptions{DialTimeout: testDial, Hold: LimiterHold, Position: i}).First(),
		)
	}
	slices.Sort(waits)
	require.Less(t, waits[549], LimiterHold/2)
	for i := 55; i < 550; i += 55 {
		require.InDelta(t, LimiterHold/2*int64(i)/550, waits[i], float64(LimiterHold)/100)
	}
}

// TestCall: a call for changes waits for a hold and is given up some time after; one for a piece waits for nothing.
func TestCall(t *testing.T) {
	s := opened(t)
	p := polled(t, s, &inForce{}, 0)
	call := p.Call(1)
	require.Equal(t, LimiterHold, call.Hold)
	require.Greater(t, call.Timeout, LimiterHold+2*testDial)
	require.Less(t, call.Timeout, LimiterHold+2*second)
	require.Equal(t, testDial, call.Dial)
	p.TakeError(1, &CompactedError{})
	call = p.Call(1)
	require.NotNil(t, call.Piece)
	require.Zero(t, call.Hold)
	require.Less(t, call.Timeout, 6*second)
}

// TestFailures: what a failed call means for the next one.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name        string
		err         error
		server      int // that is called next
		least, most int64
	}{
		{"the way to it", errors.New("refused"), 1, 1, testDial},
		{"a relay that is behind", &BehindError{}, 1, 1, testDial},
		{"a relay that has nothing yet", &NotReadyError{}, 1, 1, testDial},
		{"garbage", &MalformedError{Cause: errors.New("no JSON")}, 1, 1, testDial},
		{"compacted", &CompactedError{}, 0, 0, 0},
		{"throttled", &ThrottledError{RetryAfter: second}, 0, second, second + throttledFirst},
		{"refused by the applier", &RefusedError{Cause: errors.New("no")}, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := polled(t, opened(t), &inForce{}, 3)
			wait := p.TakeError(2, c.err)
			require.GreaterOrEqual(t, wait, c.least)
			require.LessOrEqual(t, wait, c.most)
			require.Equal(t, c.server, p.Call(2+wait).Server)
			require.Equal(t, c.server, p.Server(2+wait))
		})
	}
	p := polled(t, opened(t), &inForce{}, 3)
	last := int64(0)
	for range 12 {
		last = p.TakeError(2, errors.New("refused"))
	}
	require.Greater(t, last, second/2, "later and later")
	require.Less(t, last, 2*second)
}

// TestBadAnswer: an answer that is refused sends the subscriber to its other relay; one that the applier refuses does
// not.
func TestBadAnswer(t *testing.T) {
	s := opened(t)
	f := &inForce{state: entries{}}
	p := polled(t, s, f, 3)
	_, err := s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", "a", "1")})
	require.NoError(t, err)
	good, err := s.Changes(1, *p.Call(1).Changes)
	require.NoError(t, err)
	f.refuses = true
	wait, err := p.TakeChanges(1, good)
	require.True(t, is[*RefusedError](err) && wait == 0 && p.Server(1) == 0, "%d, %v", wait, err)
	f.refuses = false
	bad := *good
	bad.Digest[0]++
	wait, err = p.TakeChanges(1, &bad)
	require.True(t, is[*DigestError](err) && wait > 0 && p.Server(1) == 1, "%d, %v", wait, err)
	wait, err = p.TakePiece(1, &Piece{Version: Version{1, 3}})
	require.True(t, is[*SkipError](err) && wait > 0 && p.Server(1) == 0, "%d, %v", wait, err)
}

// TestOldAnswer: behind a relay that is cut off the other relay is asked, while what the first answers is still of use.
func TestOldAnswer(t *testing.T) {
	s := opened(t)
	p := polled(t, s, &inForce{}, 3)
	delta, err := s.Changes(1, *p.Call(1).Changes)
	require.NoError(t, err)
	delta.Age = DefaultUnconfirmedAfter - 1
	_, err = p.TakeChanges(1, delta)
	require.NoError(t, err)
	require.Equal(t, 0, p.Server(1))
	delta.Age = DefaultUnconfirmedAfter
	_, err = p.TakeChanges(1, delta)
	require.NoError(t, err)
	require.Equal(t, 1, p.Server(1))
	require.Equal(t, Current, p.Status(1).Condition, "it was heard through the source itself before")
}

// TestThrottledApart: subscribers that are throttled together come again apart, and over a longer time with each call
// in a row; an answer ends the row.
func TestThrottledApart(t *testing.T) {
	s := opened(t)
	var pollers []*Poller
	for i := range 50 {
		pollers = append(pollers, polled(t, s, &inForce{}, i))
	}
	span := func() int64 {
		waits := map[int64]bool{}
		least, most := int64(1)<<62, int64(0)
		for _, p := range pollers {
			wait := p.TakeError(1, &ThrottledError{RetryAfter: 7})
			waits[wait] = true
			least, most = min(least, wait), max(most, wait)
		}
		require.Len(t, waits, 50)
		require.GreaterOrEqual(t, least, int64(7))
		return most - least
	}
	first := span()
	require.Less(t, first, throttledFirst)
	for range 10 {
		span()
	}
	require.Greater(t, span(), throttledMost*9/10)
	for _, p := range pollers {
		ask(t, p.Subscriber, s, 1)
		p.answered(1, 0)
	}
	require.Less(t, span(), throttledFirst)
}
