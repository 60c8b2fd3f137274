package distribution

import (
	"errors"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const testDialTimeout = second / 4

// newSyncedPoller returns a poller whose subscriber has read the state of a source.
func newSyncedPoller(t *testing.T, s *Source, applier Applier, position int) *Poller {
	t.Helper()
	return NewPoller(
		1,
		newSyncedSubscriber(t, s, applier),
		PollerOptions{DialTimeout: testDialTimeout, Hold: LimiterHold, Position: position},
	)
}

// TestFirstCallsSpread checks that the first calls of subscribers that start together are spread evenly over half a
// hold time.
func TestFirstCallsSpread(t *testing.T) {
	var waits []int64
	for i := range 550 {
		sub := NewSubscriber(1, SubscriberOptions{Applier: &recordingApplier{}})
		waits = append(
			waits,
			NewPoller(1, sub, PollerOptions{DialTimeout: testDialTimeout, Hold: LimiterHold, Position: i}).FirstDelay(),
		)
	}
	slices.Sort(waits)
	require.Less(t, waits[549], LimiterHold/2)
	for i := 55; i < 550; i += 55 {
		require.InDelta(t, LimiterHold/2*int64(i)/550, waits[i], float64(LimiterHold)/100)
	}
}

// TestCallTimeouts checks the hold times and timeouts: a call for changes may be held, and times out some time after
// that; a call for a piece is not held.
func TestCallTimeouts(t *testing.T) {
	s := newOpenSource(t)
	p := newSyncedPoller(t, s, &recordingApplier{}, 0)
	call := p.Call(1)
	require.Equal(t, LimiterHold, call.Hold)
	require.Greater(t, call.Timeout, LimiterHold+2*testDialTimeout)
	require.Less(t, call.Timeout, LimiterHold+2*second)
	require.Equal(t, testDialTimeout, call.DialTimeout)
	p.HandleError(1, &CompactedError{})
	call = p.Call(1)
	require.NotNil(t, call.Piece)
	require.Zero(t, call.Hold)
	require.Less(t, call.Timeout, 6*second)
}

// TestRetryAfterError checks the delay before the call that follows a failed one, and which server that call goes to.
func TestRetryAfterError(t *testing.T) {
	for _, c := range []struct {
		name             string
		err              error
		server           int // called next
		minWait, maxWait int64
	}{
		{"connection refused", errors.New("refused"), 1, 1, testDialTimeout},
		{"relay behind", &BehindError{}, 1, 1, testDialTimeout},
		{"relay not ready", &NotReadyError{}, 1, 1, testDialTimeout},
		{"malformed answer", &MalformedError{Cause: errors.New("no JSON")}, 1, 1, testDialTimeout},
		{"compacted", &CompactedError{}, 0, 0, 0},
		{"throttled", &ThrottledError{RetryAfter: second}, 0, second, second + minThrottleSpread},
		{"refused by the applier", &RefusedError{Cause: errors.New("no")}, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newSyncedPoller(t, newOpenSource(t), &recordingApplier{}, 3)
			wait := p.HandleError(2, c.err)
			require.GreaterOrEqual(t, wait, c.minWait)
			require.LessOrEqual(t, wait, c.maxWait)
			require.Equal(t, c.server, p.Call(2+wait).Server)
			require.Equal(t, c.server, p.Server(2+wait))
		})
	}
	p := newSyncedPoller(t, newOpenSource(t), &recordingApplier{}, 3)
	last := int64(0)
	for range 12 {
		last = p.HandleError(2, errors.New("refused"))
	}
	require.Greater(t, last, second/2, "the delay grows")
	require.Less(t, last, 2*second)
}

// TestInvalidAnswerSwitchesRelay checks that the subscriber switches to its other relay after an invalid answer, but
// not after a valid answer that the Applier refuses.
func TestInvalidAnswerSwitchesRelay(t *testing.T) {
	s := newOpenSource(t)
	applier := &recordingApplier{state: modelState{}}
	p := newSyncedPoller(t, s, applier, 3)
	_, err := s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", "a", "1")})
	require.NoError(t, err)
	good, err := s.Changes(1, *p.Call(1).Changes)
	require.NoError(t, err)
	applier.refuses = true
	wait, err := p.HandleChanges(1, good)
	require.True(t, isHintedError[*RefusedError](err) && wait == 0 && p.Server(1) == 0, "%d, %v", wait, err)
	applier.refuses = false
	bad := *good
	bad.Digest[0]++
	wait, err = p.HandleChanges(1, &bad)
	require.True(t, isHintedError[*DigestError](err) && wait > 0 && p.Server(1) == 1, "%d, %v", wait, err)
	wait, err = p.HandlePiece(1, &Piece{Version: Version{1, 3}})
	require.True(t, isHintedError[*SkipError](err) && wait > 0 && p.Server(1) == 0, "%d, %v", wait, err)
}

// TestUnconfirmedAnswerSwitchesRelay checks that the other relay is polled if the first has not heard from the source
// for DefaultUnconfirmedAfter, and that the first one's answer is used nevertheless.
func TestUnconfirmedAnswerSwitchesRelay(t *testing.T) {
	s := newOpenSource(t)
	p := newSyncedPoller(t, s, &recordingApplier{}, 3)
	delta, err := s.Changes(1, *p.Call(1).Changes)
	require.NoError(t, err)
	delta.Age = DefaultUnconfirmedAfter - 1
	_, err = p.HandleChanges(1, delta)
	require.NoError(t, err)
	require.Equal(t, 0, p.Server(1))
	delta.Age = DefaultUnconfirmedAfter
	_, err = p.HandleChanges(1, delta)
	require.NoError(t, err)
	require.Equal(t, 1, p.Server(1))
	require.Equal(t, Current, p.Status(1).Condition, "the source was polled directly before")
}

// TestThrottledRetriesSpread checks that subscribers that are throttled at the same time retry at different times, over
// a range that grows with each consecutive ThrottledError, and that an answer resets the range.
func TestThrottledRetriesSpread(t *testing.T) {
	s := newOpenSource(t)
	var pollers []*Poller
	for i := range 50 {
		pollers = append(pollers, newSyncedPoller(t, s, &recordingApplier{}, i))
	}
	span := func() int64 {
		waits := map[int64]bool{}
		minWait, maxWait := int64(1)<<62, int64(0)
		for _, p := range pollers {
			wait := p.HandleError(1, &ThrottledError{RetryAfter: 7})
			waits[wait] = true
			minWait, maxWait = min(minWait, wait), max(maxWait, wait)
		}
		require.Len(t, waits, 50)
		require.GreaterOrEqual(t, minWait, int64(7))
		return maxWait - minWait
	}
	first := span()
	require.Less(t, first, minThrottleSpread)
	for range 10 {
		span()
	}
	require.Greater(t, span(), maxThrottleSpread*9/10)
	for _, p := range pollers {
		poll(t, p.Subscriber, s, 1)
		p.recordAnswer(1, 0)
	}
	require.Less(t, span(), minThrottleSpread)
}
