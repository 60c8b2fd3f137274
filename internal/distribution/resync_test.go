package distribution

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestResyncWhilePublishing reads a state in pieces from a source and a lagging relay while it changes. No valid answer
// may be rejected, and the result must be the state at the version reached.
func TestResyncWhilePublishing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewSource(NewLog(Retention{}), Budget{Rate: 1 << 40, Burst: 1 << 40})
		relay := NewRelay(1, RelayOptions{Name: "r", Budget: Budget{Rate: 1 << 40, Burst: 1 << 40}})
		_, err := source.Open(1, 1)
		require.NoError(t, err)
		publish := func() {
			key := Key{KindPlans, "", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))}
			m := Mutation{Entry: Entry{Key: key}, Delete: true}
			if _, exists := source.log.State().Value(key); !exists || rapid.Bool().Draw(t, "put") {
				value := rapid.StringMatching("[a-z]{4}").Draw(t, "value") + strings.Repeat("v", 40000)
				m = Mutation{Entry: Entry{key, value}}
			}
			_, err := source.Publish(1, 1, nil, []Mutation{m})
			require.NoError(t, err)
		}
		call := func(sub *Subscriber, server Server) {
			request := sub.Next(1)
			if request.Piece != nil {
				piece, err := server.Piece(1, *request.Piece)
				require.NoError(t, err)
				require.NoError(t, sub.HandlePiece(1, piece))
				return
			}
			delta, err := server.Changes(1, *request.Changes)
			if isHintedError[*BehindError](err) {
				return
			}
			require.NoError(t, err)
			require.NoError(t, sub.HandleChanges(1, delta))
		}
		follow := func() {
			for relay.Version() != source.log.Head() {
				call(relay.Subscriber, source)
			}
		}
		for range 10 {
			publish()
		}
		follow()
		applier := &recordingApplier{}
		sub := NewSubscriber(1, SubscriberOptions{Name: "n", Applier: applier})
		for calls := 0; sub.Version() == (Version{}); calls++ {
			require.Less(t, calls, 60)
			switch {
			case calls > 30:
				follow()
			case rapid.Bool().Draw(t, "publish"):
				publish()
			case rapid.IntRange(0, 3).Draw(t, "follow") == 0:
				follow()
			}
			call(sub, rapid.SampledFrom([]Server{source, relay}).Draw(t, "server"))
		}
		for sub.Version() != source.log.Head() {
			call(sub, source)
		}
		require.Equal(t, applier.state, modelState(source.log.State().values))
	})
}

// TestResyncFromOlderState checks that a resync from a lagging relay does not replace the applied state with an older
// one, even if the applied one has diverged.
func TestResyncFromOlderState(t *testing.T) {
	s := newOpenSource(t)
	r := NewRelay(1, RelayOptions{Name: "r"})
	poll(t, r.Subscriber, s, 1)
	poll(t, r.Subscriber, s, 1)
	require.NotSame(t, r.log.State(), r.State())
	_, err := s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", "a", "1")})
	require.NoError(t, err)
	applier := &recordingApplier{}
	sub := newSyncedSubscriber(t, s, applier)
	sub.state.put(Entry{Key{KindPlans, "", "diverged"}, "x"})
	delta, err := s.Changes(1, *sub.Next(1).Changes)
	require.NoError(t, err)
	require.True(t, isHintedError[*DigestError](sub.HandleChanges(1, delta)))
	poll(t, sub, r, 1)
	delta, err = r.Changes(1, *sub.Next(1).Changes)
	require.NoError(t, err)
	err = sub.HandleChanges(1, delta)
	require.True(t, isHintedError[*StaleAnswerError](err), "%v", err)
	require.Equal(t, Version{1, 2}, sub.Version())
	require.Equal(t, 1, applier.applied)
}

// TestResyncAfterCompaction checks that a subscriber whose version is no longer in the log reads the complete state.
func TestResyncAfterCompaction(t *testing.T) {
	s := NewSource(NewLog(Retention{Changes: 1}), Budget{})
	_, err := s.Open(1, 1)
	require.NoError(t, err)
	sub := newSyncedSubscriber(t, s, &recordingApplier{})
	for _, value := range []string{"1", "2"} {
		_, err = s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", "a", value)})
		require.NoError(t, err)
	}
	_, err = s.Changes(1, *sub.Next(1).Changes)
	require.True(t, isHintedError[*CompactedError](err), "%v", err)
	sub.HandleError(&BehindError{})
	require.Nil(t, sub.Next(1).Piece)
	sub.HandleError(fmt.Errorf("over a wire: %w", err))
	require.NotNil(t, sub.Next(1).Piece)
	require.Equal(t, Syncing, sub.Status(1).Condition)
	poll(t, sub, s, 1)
	poll(t, sub, s, 1)
	require.Equal(t, s.log.Head(), sub.Version())
}

// TestPieceKeyOrder checks that entriesAfter follows the order of keys while entries are added and removed.
func TestPieceKeyOrder(t *testing.T) {
	s := stateOf(t, put(KindPlans, "", "a", "1"), put(KindPlans, "", "c", "3"))
	names := func(after *Key, maxBytes int) (all string) {
		found, _ := s.entriesAfter(after, Scope{}, maxBytes)
		for _, e := range found {
			all += e.Name + e.Value
		}
		return all
	}
	require.Equal(t, "a1c3", names(nil, 1<<20))
	s.put(Entry{Key{KindPlans, "", "b"}, "2"})
	require.Equal(t, "a1b2c3", names(nil, 1<<20))
	s.remove(Key{KindPlans, "", "a"})
	require.Equal(t, "b2c3", names(nil, 1<<20))
	require.Equal(t, "b2c3", names(&Key{KindPlans, "", "a"}, 1<<20), "after a removed key")
	require.Equal(t, "c3", names(&Key{KindPlans, "", "b"}, 1<<20))
	require.Equal(t, "b2", names(nil, Entry{Key{KindPlans, "", "b"}, "2"}.size()))
	s.remove(Key{KindPlans, "", "none"})
	require.Equal(t, 2, s.Len())
}

// TestBudgetRefill checks that the bytes spent stay within the rate and reach it, however often wait is called.
// Rounding the refill down at each call would lose bytes.
func TestBudgetRefill(t *testing.T) {
	for _, step := range []int64{1, 7, 999, second / 3, second} {
		s := byteBudget{Budget: Budget{Rate: 3 << 20, Burst: MaxPieceBytes}}
		given, now := int64(0), int64(0)
		for range 100000 {
			now += step
			if s.wait(now, 1000) == 0 {
				s.spend(1000)
				given += 1000
			}
		}
		maxBytes := s.Burst + int64(float64(s.Rate)*float64(now)/float64(second))
		require.LessOrEqual(t, given, maxBytes, "every %d ns", step)
		require.GreaterOrEqual(t, given, min(maxBytes-3000, 100000*1000), "every %d ns", step)
	}
}

// TestTruncate checks that a text is cut between UTF-8 characters.
func TestTruncate(t *testing.T) {
	require.Equal(t, "aé", truncate("aéé", 4))
	require.Equal(t, "aéé", truncate("aéé", 5))
	require.Equal(t, "", truncate("é", 1))
}

// TestLogOpenRejectsEpoch checks that a log rejects an epoch that is not above its head's, or too far above it.
func TestLogOpenRejectsEpoch(t *testing.T) {
	l := NewLogAt(Retention{}, Version{3, 7}, NewState())
	for _, epoch := range []uint64{0, 2, 3} {
		_, err := l.Open(1, epoch)
		require.True(t, isHintedError[*FencedError](err), "%v", err)
	}
	_, err := l.Open(1, 3+MaxEpochStep+1)
	require.True(t, isHintedError[*EpochStepError](err), "%v", err)
	change, err := l.Open(1, 9)
	require.NoError(t, err)
	require.Equal(t, Version{9, 8}, change.Version)
}
