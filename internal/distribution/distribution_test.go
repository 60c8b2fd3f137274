package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreycroft/internal/hint"
)

func put(kind Kind, scope, name, value string) Mutation {
	return Mutation{Entry: Entry{Key{kind, scope, name}, value}}
}

func deletion(kind Kind, scope, name string) Mutation {
	return Mutation{Entry: Entry{Key: Key{kind, scope, name}}, Delete: true}
}

// newOpenSource returns a source whose first epoch is open. It publishes each mutation as a change of its own.
func newOpenSource(t *testing.T, mutations ...Mutation) *Source {
	t.Helper()
	s := NewSource(NewLog(Retention{}), Budget{})
	_, err := s.Open(1, 1)
	require.NoError(t, err)
	for _, m := range mutations {
		_, err := s.Publish(1, 1, nil, []Mutation{m})
		require.NoError(t, err)
	}
	return s
}

// newSyncedSubscriber returns a subscriber that has read the state of a source.
func newSyncedSubscriber(t *testing.T, s *Source, applier Applier) *Subscriber {
	t.Helper()
	sub := NewSubscriber(1, SubscriberOptions{Name: "limiter", Applier: applier})
	poll(t, sub, s, 1)
	poll(t, sub, s, 1)
	require.Equal(t, s.log.Head(), sub.Version())
	return sub
}

// poll makes the subscriber's next call to a server and passes the answer back.
func poll(t *testing.T, sub *Subscriber, s Server, now int64) {
	t.Helper()
	request := sub.Next(now)
	if request.Piece != nil {
		piece, err := s.Piece(now, *request.Piece)
		require.NoError(t, err)
		require.NoError(t, sub.HandlePiece(now, piece))
		return
	}
	delta, err := s.Changes(now, *request.Changes)
	require.NoError(t, err)
	require.NoError(t, sub.HandleChanges(now, delta))
}

// isHintedError reports whether err wraps an E with an error text and a hint.
func isHintedError[E hint.Error](err error) bool {
	var e E
	return errors.As(fmt.Errorf("above: %w", err), &e) && e.Hint() != "" && e.Error() != ""
}

// TestInvalidPublishRejected checks that each kind of invalid change is rejected with its error type and leaves the log
// unchanged.
func TestInvalidPublishRejected(t *testing.T) {
	puts := func(n int, value string) (all []Mutation) {
		for i := range n {
			all = append(all, put(KindPlans, "", fmt.Sprint(i), value))
		}
		return all
	}
	old := Version{1, 1}
	for _, c := range []struct {
		name      string
		epoch     uint64
		expected  *Version
		mutations []Mutation
		matches   func(error) bool
		want      string
	}{
		{"an unknown kind", 1, nil, []Mutation{put("wishes", "", "a", "")}, isHintedError[*KindError], "wishes"},
		{"no name", 1, nil, []Mutation{put(KindPlans, "", "", "")}, isHintedError[*KeyError], "no name"},
		{"a name that is not UTF-8", 1, nil, []Mutation{put(KindPlans, "", "\xff", "")}, isHintedError[*KeyError], "UTF-8"},
		{"a value that is not UTF-8", 1, nil, []Mutation{put(KindPlans, "", "a", "\xff")}, isHintedError[*KeyError], "UTF-8"},
		{"a scope with a comma", 1, nil, []Mutation{put(KindPlans, "a,b", "a", "")}, isHintedError[*KeyError], "scope"},
		{"a scope with an at sign", 1, nil, []Mutation{put(KindPlans, "a@b", "a", "")}, isHintedError[*KeyError], "scope"},
		{"a long name", 1, nil, []Mutation{put(KindPlans, "", strings.Repeat("n", 257), "")},
			isHintedError[*TooLargeError], "257"},
		{"a long scope", 1, nil, []Mutation{put(KindPlans, strings.Repeat("n", 65), "a", "")},
			isHintedError[*TooLargeError], "65"},
		{"an entry too large", 1, nil, []Mutation{put(KindPlans, "", "a", strings.Repeat("v", 65537))},
			isHintedError[*TooLargeError], "65537"},
		{"an unknown key deleted", 1, nil, []Mutation{deletion(KindPlans, "", "none")}, isHintedError[*KeyError], "not held"},
		{"a deletion with a value", 1, nil, []Mutation{{Entry: Entry{Key{KindPlans, "", "a"}, "x"}, Delete: true}},
			isHintedError[*KeyError], "value"},
		{"a key twice", 1, nil, []Mutation{put(KindPlans, "", "a", "1"), put(KindPlans, "", "a", "2")},
			isHintedError[*KeyError], "twice"},
		{"no mutations", 1, nil, nil, isHintedError[*EmptyChangeError], "no mutations"},
		{"too many mutations", 1, nil, puts(257, ""), isHintedError[*TooLargeError], "257"},
		{"a change too large", 1, nil, puts(5, strings.Repeat("v", 60000)), isHintedError[*TooLargeError], "a change"},
		{"an epoch below the open one", 0, nil, puts(1, ""), isHintedError[*FencedError], "0"},
		{"an epoch that is not open", 2, nil, puts(1, ""), isHintedError[*FencedError], "2"},
		{"another head expected", 1, &old, puts(1, ""), isHintedError[*ConflictError], "1.1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOpenSource(t, put(KindPlans, "", "a", "0"))
			_, err := s.Publish(1, c.epoch, c.expected, c.mutations)
			require.True(t, c.matches(err), "%T: %v", err, err)
			require.ErrorContains(t, err, c.want)
			require.Equal(t, Version{1, 2}, s.log.Head())
			require.Equal(t, 1, s.log.State().Len())
		})
	}
	s := newOpenSource(t)
	_, err := s.Open(1, 1)
	require.True(t, isHintedError[*FencedError](err), "an epoch opened twice: %v", err)
	head := s.log.Head()
	_, err = s.Publish(1, 1, &head, puts(1, ""))
	require.NoError(t, err)
	_, err = s.Publish(1, 1, &head, puts(1, ""))
	require.True(t, isHintedError[*ConflictError](err), "published again after a lost answer: %v", err)
}

// TestMaxStateBytes checks that both the writer and a subscriber that reads the state in pieces enforce MaxStateBytes.
func TestMaxStateBytes(t *testing.T) {
	s := newOpenSource(t)
	value := strings.Repeat("v", MaxValueBytes)
	var err error
	for i := 0; err == nil; i += 3 {
		require.Less(t, i, 1100)
		_, err = s.Publish(
			1,
			1,
			nil,
			[]Mutation{put(KindPlans, "", fmt.Sprint(i), value), put(KindPlans, "", fmt.Sprint(i+1), value),
				put(KindPlans, "", fmt.Sprint(i+2), value)},
		)
	}
	require.True(t, isHintedError[*TooLargeError](err), "%v", err)
	require.LessOrEqual(t, s.log.State().bytes, MaxStateBytes)
	require.Greater(t, s.log.State().bytes, MaxStateBytes-4*MaxValueBytes)
	sub := NewSubscriber(1, SubscriberOptions{Name: "n", Applier: &recordingApplier{}})
	for i := range 2000 {
		piece := &Piece{Version: Version{1, 9}, Entries: []Entry{{Key{KindPlans, "", fmt.Sprintf("%09d", i)}, value}}}
		if err = sub.HandlePiece(1, piece); err != nil {
			require.Less(t, i, 1100)
			break
		}
	}
	require.True(t, isHintedError[*TooLargeError](err), "%v", err)
}

// TestInvalidDeltaRejected checks that each kind of invalid answer leaves the applied state unchanged and returns the
// matching error type. The valid answers that follow must bring the subscriber up to date.
func TestInvalidDeltaRejected(t *testing.T) {
	unaltered := func(d *Delta) *Delta { return d }
	for _, c := range []struct {
		name    string
		alter   func(*Delta) *Delta
		matches func(error) bool
		after   Condition
	}{
		{"valid", unaltered, func(err error) bool { return err == nil }, Current},
		{"the first change is missing", func(d *Delta) *Delta {
			d.Changes = d.Changes[1:]
			return d
		}, isHintedError[*SkipError], Current},
		{"the last change is missing", func(d *Delta) *Delta {
			d.Changes = d.Changes[:1]
			return d
		}, isHintedError[*SkipError], Current},
		{"from another version than requested", func(d *Delta) *Delta {
			d.From.Number--
			return d
		}, isHintedError[*SkipError], Current},
		{"to an older epoch", func(d *Delta) *Delta {
			d.To.Epoch--
			return d
		}, isHintedError[*StaleAnswerError], Current},
		{"a change of an older epoch", func(d *Delta) *Delta {
			d.Changes[0].Version.Epoch--
			return d
		}, isHintedError[*SkipError], Current},
		{"an answer of an earlier request", func(d *Delta) *Delta {
			return &Delta{From: Version{1, 1}, To: Version{1, 2}, Changes: []Change{{Version: Version{1, 2}}}}
		}, isHintedError[*StaleAnswerError], Current},
		{"a digest that does not match", func(d *Delta) *Delta {
			d.Digest[0]++
			return d
		}, isHintedError[*DigestError], Syncing},
		{"an epoch corrupted in transit", func(d *Delta) *Delta {
			d.To.Epoch++
			d.Changes[len(d.Changes)-1].Version.Epoch++
			return d
		}, isHintedError[*DigestError], Syncing},
		{"an entry of an unknown kind", func(d *Delta) *Delta {
			d.Changes[0].Mutations[0].Kind = "wishes"
			return d
		}, isHintedError[*KindError], Current},
		{"an entry too large", func(d *Delta) *Delta {
			d.Changes[0].Mutations[0].Value = strings.Repeat("v", MaxValueBytes+1)
			return d
		}, isHintedError[*TooLargeError], Current},
		{"an entry outside the scope", func(d *Delta) *Delta {
			d.Changes[0].Mutations[0].Scope = "us"
			return d
		}, isHintedError[*KeyError], Current},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOpenSource(t, put(KindPlans, "", "a", "0"))
			_, err := s.Open(1, 2)
			require.NoError(t, err)
			applier := &recordingApplier{state: modelState{}}
			sub := NewSubscriber(1, SubscriberOptions{Name: "limiter", Scope: Scope{Names: []string{"eu"}}, Applier: applier})
			poll(t, sub, s, 1)
			poll(t, sub, s, 1)
			before := sub.Version()
			for _, value := range []string{"1", "2"} {
				_, err = s.Publish(
					1,
					2,
					nil,
					[]Mutation{put(KindPlans, "eu", "a", value), put(KindRoutes, "", "r", value)},
				)
				require.NoError(t, err)
			}
			delta, err := s.Changes(2, *sub.Next(2).Changes)
			require.NoError(t, err)
			text, err := json.Marshal(delta) // encoded as on the wire, so that the copy shares no slices with the log
			require.NoError(t, err)
			copied := &Delta{}
			require.NoError(t, json.Unmarshal(text, copied))
			err = sub.HandleChanges(2, c.alter(copied))
			require.True(t, c.matches(err), "%T: %v", err, err)
			require.Equal(t, c.after, sub.Status(2).Condition)
			if err != nil {
				require.Equal(t, before, sub.Version())
				require.Equal(t, modelState{{KindPlans, "", "a"}: "0"}, applier.state)
				require.Equal(t, applier.state, modelState(sub.State().values))
			}
			for range 3 { // valid answers
				poll(t, sub, s, 3)
			}
			require.Equal(t, s.log.Head(), sub.Version())
			require.Equal(t, "2", applier.state[Key{KindPlans, "eu", "a"}])
		})
	}
}

// TestInvalidPieceRejected checks that each kind of invalid piece returns the matching error type, leaves the applied
// version unchanged and makes the resync start over.
func TestInvalidPieceRejected(t *testing.T) {
	at := Version{3, 9}
	first := func() *Piece {
		return &Piece{Version: at, Entries: []Entry{{Key{KindPlans, "", "a"}, "1"}, {Key{KindPlans, "", "b"}, "1"}}}
	}
	for _, c := range []struct {
		name    string
		alter   func(*Piece)
		matches func(error) bool
	}{
		{"an epoch older than the applied one", func(p *Piece) { p.Version.Epoch = 1 }, isHintedError[*StaleAnswerError]},
		{"another epoch than the first piece", func(p *Piece) { p.Version.Epoch = 4 }, isHintedError[*SkipError]},
		{"the same entries again", func(p *Piece) {}, isHintedError[*KeyError]},
		{"no entries, but not the last piece", func(p *Piece) { p.Entries = nil }, isHintedError[*SkipError]},
		{"an unknown kind", func(p *Piece) { p.Entries[0].Kind = "wishes" }, isHintedError[*KindError]},
		{"outside the scope", func(p *Piece) { p.Entries = []Entry{{Key{KindPlans, "us", "z"}, "1"}} },
			isHintedError[*KeyError]},
	} {
		t.Run(c.name, func(t *testing.T) {
			sub := NewSubscriber(
				1,
				SubscriberOptions{Name: "n", Scope: Scope{Names: []string{"eu"}}, Applier: &recordingApplier{}},
			)
			require.NoError(t, sub.Restore(Version{2, 3}, NewState(), 0))
			sub.HandleError(&CompactedError{})
			require.NoError(t, sub.HandlePiece(1, first()))
			require.NotNil(t, sub.Next(1).Piece.After)
			piece := first()
			c.alter(piece)
			err := sub.HandlePiece(1, piece)
			require.True(t, c.matches(err), "%T: %v", err, err)
			require.Equal(t, Version{2, 3}, sub.Version())
			if next := sub.Next(1); next.Piece != nil {
				require.Nil(t, next.Piece.After, "the resync starts over")
			}
		})
	}
}

// TestSubscriberConditions checks a subscriber's status: Syncing until it has a version, Current while its relay hears
// from the source, and Unconfirmed with a growing age once the relay has lost the source for DefaultUnconfirmedAfter.
// It keeps its state throughout.
func TestSubscriberConditions(t *testing.T) {
	s := newOpenSource(t, put(KindPlans, "", "a", "0"))
	r := NewRelay(1, RelayOptions{Name: "r"})
	sub := NewSubscriber(1, SubscriberOptions{Name: "n", Applier: &recordingApplier{}})
	_, err := r.Piece(1, *sub.Next(1).Piece)
	require.True(t, isHintedError[*NotReadyError](err), "%v", err)
	_, err = r.Changes(1, ChangesRequest{})
	require.True(t, isHintedError[*NotReadyError](err), "%v", err)
	require.Equal(t, Status{Condition: Syncing, Age: 2 * second}, sub.Status(1+2*second))
	poll(t, r.Subscriber, s, second)
	poll(t, r.Subscriber, s, second)
	poll(t, sub, r, 3*second)
	poll(t, sub, r, 3*second)
	require.Equal(t, Status{Condition: Current, Version: Version{1, 2}, Age: 2 * second}, sub.Status(3*second))
	for now := 4 * second; now < 60*second; now += second { // the relay does not reach the source
		poll(t, sub, r, now)
		want := Status{Condition: Current, Version: Version{1, 2}, Age: now - second}
		if want.Age >= DefaultUnconfirmedAfter {
			want.Condition = Unconfirmed
		}
		require.Equal(t, want, sub.Status(now))
		require.Equal(t, want, r.Status(now))
	}
	require.Equal(t, 1, sub.State().Len())
	poll(t, r.Subscriber, s, 60*second)
	poll(t, sub, r, 61*second)
	require.Equal(t, Status{Condition: Current, Version: Version{1, 2}, Age: second}, sub.Status(61*second))
}

// TestRestore checks that a restored state is applied at once, with its age, and that a state with entries outside the
// scope, or one that the Applier refuses, is not applied.
func TestRestore(t *testing.T) {
	state, err := NewStateOf([]Entry{{Key{KindPlans, "us", "a"}, "1"}})
	require.NoError(t, err)
	applier := &recordingApplier{}
	sub := NewSubscriber(5*second, SubscriberOptions{Applier: applier})
	require.NoError(t, sub.Restore(Version{1, 7}, state, 3600*second))
	require.Equal(t, Status{Condition: Unconfirmed, Version: Version{1, 7}, Age: 3601 * second}, sub.Status(6*second))
	require.Equal(t, modelState{{KindPlans, "us", "a"}: "1"}, applier.state)
	saved := sub.Snapshot(6 * second)
	require.Equal(
		t,
		Snapshot{Version: Version{1, 7}, TakenAt: 6*second - 3601*second, Entries: state.Entries()},
		*saved,
	)
	applier = &recordingApplier{}
	sub = NewSubscriber(1, SubscriberOptions{Applier: applier, Scope: Scope{Names: []string{"eu"}}})
	require.True(t, isHintedError[*KeyError](sub.Restore(Version{1, 7}, state, 0)))
	require.Zero(t, applier.applied)
	require.Nil(t, sub.Snapshot(1))
	sub = NewSubscriber(1, SubscriberOptions{Applier: &recordingApplier{refuses: true}})
	require.True(t, isHintedError[*RefusedError](sub.Restore(Version{1, 7}, state, 0)))
	require.Equal(t, Version{}, sub.Version())
	_, err = NewStateOf(append(state.Entries(), state.Entries()...))
	require.True(t, isHintedError[*KeyError](err))
}

// TestApplierRefuses checks a version that the Applier refuses, as changes and as a complete state: the subscriber
// acknowledges it with the reason, does not get it again until DefaultRefusedRetry has passed, and tries a newer
// version at once.
func TestApplierRefuses(t *testing.T) {
	for _, complete := range []bool{false, true} {
		t.Run(fmt.Sprint("complete=", complete), func(t *testing.T) {
			s := newOpenSource(t, put(KindPlans, "", "a", "0"))
			applier := &recordingApplier{state: modelState{}}
			sub := newSyncedSubscriber(t, s, applier)
			_, err := s.Publish(2, 1, nil, []Mutation{put(KindPlans, "", "a", "1")})
			require.NoError(t, err)
			applier.refuses = true
			if complete {
				sub.HandleError(&CompactedError{})
				poll(t, sub, s, 2)
			}
			delta, err := s.Changes(2, *sub.Next(2).Changes)
			require.NoError(t, err)
			require.True(t, isHintedError[*RefusedError](sub.HandleChanges(2, delta)))
			require.Equal(t, Version{1, 2}, sub.Version())
			require.Equal(t, "0", applier.state[Key{KindPlans, "", "a"}])
			a := sub.Acknowledgement(2)
			require.Equal(t, Version{1, 3}, *a.Refused)
			require.Equal(t, "refused by the test", a.Reason)
			applier.refuses, applier.applied = false, 0
			next := sub.Next(3)
			require.True(t, next.Hold && !s.HasNewer(*next.Changes), "%+v", next.Changes)
			poll(t, sub, s, 3) // the server holds the call and then answers without changes
			require.Zero(t, applier.applied, "retried before RefusedRetry")
			require.Equal(t, Version{1, 2}, sub.Version())
			require.Equal(t, int64(0), sub.Status(3).Age, "the answer without changes still confirms the state")
			again := 2 + DefaultRefusedRetry
			next = sub.Next(again)
			require.True(t, !next.Hold || s.HasNewer(*next.Changes), "%+v", next.Changes)
			poll(t, sub, s, again)
			require.Equal(t, 1, applier.applied)
			require.Equal(t, Version{1, 3}, sub.Version())
			require.Nil(t, sub.Acknowledgement(again).Refused)
			applier.refuses = true
			_, err = s.Publish(2, 1, nil, []Mutation{put(KindPlans, "", "a", "2")})
			require.NoError(t, err)
			delta, err = s.Changes(again, *sub.Next(again).Changes)
			require.NoError(t, err)
			require.Error(t, sub.HandleChanges(again, delta))
			_, err = s.Publish(2, 1, nil, []Mutation{put(KindPlans, "", "a", "3")})
			require.NoError(t, err)
			applier.refuses = false
			require.True(t, s.HasNewer(*sub.Next(again).Changes))
			poll(t, sub, s, again)
			require.Equal(t, "3", applier.state[Key{KindPlans, "", "a"}])
		})
	}
}

// TestChangesFromUnavailableVersion checks the errors of a server whose head is older than the subscriber's version, or
// whose log no longer has that version, and of one that is given an invalid scope.
func TestChangesFromUnavailableVersion(t *testing.T) {
	s := NewSource(NewLog(Retention{Changes: 2}), Budget{})
	_, err := s.Open(1, 4)
	require.NoError(t, err)
	for range 9 {
		_, err = s.Publish(1, 4, nil, []Mutation{put(KindPlans, "", "a", "1")})
		require.NoError(t, err)
	}
	require.Equal(t, Version{4, 8}, s.log.Oldest())
	for _, c := range []struct {
		from    Version
		matches func(error) bool
	}{
		{Version{4, 8}, func(err error) bool { return err == nil }},
		{Version{4, 10}, func(err error) bool { return err == nil }},
		{Version{4, 7}, isHintedError[*CompactedError]}, {Version{3, 9}, isHintedError[*CompactedError]},
		{Version{3, 99}, isHintedError[*CompactedError]},
		{Version{}, isHintedError[*CompactedError]}, {Version{4, 11}, isHintedError[*BehindError]},
		{Version{5, 2}, isHintedError[*BehindError]},
	} {
		_, err := s.Changes(1, ChangesRequest{From: c.from})
		require.True(t, c.matches(err), "%v: %v", c.from, err)
	}
	_, err = s.Changes(1, ChangesRequest{From: Version{4, 9}, Scope: Scope{Kinds: []Kind{"wishes"}}})
	require.True(t, isHintedError[*ScopeError](err))
	_, err = s.Piece(1, PieceRequest{Scope: Scope{Kinds: []Kind{"wishes"}}})
	require.True(t, isHintedError[*ScopeError](err))
}

// TestHigherEpochInRequestFencesSource checks that a source stops publishing once a request has a version of a higher
// epoch, until it opens an epoch above that one.
func TestHigherEpochInRequestFencesSource(t *testing.T) {
	s := newOpenSource(t)
	_, err := s.Changes(1, ChangesRequest{From: Version{7, 1}})
	require.True(t, isHintedError[*BehindError](err))
	_, err = s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", "a", "1")})
	require.True(t, isHintedError[*FencedError](err), "%v", err)
	_, err = s.Open(1, 7)
	require.True(t, isHintedError[*FencedError](err), "%v", err)
	_, err = s.Open(1, 8)
	require.NoError(t, err)
	_, err = s.Publish(1, 8, nil, []Mutation{put(KindPlans, "", "a", "1")})
	require.NoError(t, err)
	_, err = s.Changes(1, ChangesRequest{From: Version{1<<64 - 1, 1}})
	require.True(t, isHintedError[*BehindError](err))
	_, err = s.Publish(1, 8, nil, []Mutation{put(KindPlans, "", "a", "2")})
	require.NoError(t, err, "an epoch more than MaxEpochStep above must not fence")
}

// TestMaxDeltaBytes checks that changes above MaxDeltaBytes are split into several answers, each with the digest at its
// own end.
func TestMaxDeltaBytes(t *testing.T) {
	s := newOpenSource(t)
	applier := &recordingApplier{state: modelState{}}
	sub := newSyncedSubscriber(t, s, applier)
	for i := range 20 {
		_, err := s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", fmt.Sprint(i), strings.Repeat("v", 60000))})
		require.NoError(t, err)
	}
	answers := 0
	for ; sub.Version() != s.log.Head(); answers++ {
		require.Less(t, answers, 20)
		before := sub.Version()
		delta, err := s.Changes(1, *sub.Next(1).Changes)
		require.NoError(t, err)
		bytes := 0
		for _, change := range delta.Changes {
			bytes += change.size()
		}
		require.LessOrEqual(t, bytes, MaxDeltaBytes)
		require.NoError(t, sub.HandleChanges(1, delta))
		require.True(t, before.Less(sub.Version()))
	}
	require.Equal(t, 5, answers)
	require.Len(t, applier.state, 20)
}

// TestPieceBudget checks that pieces above the budget are rejected, and that RetryAfter is long enough and not a
// nanosecond too long.
func TestPieceBudget(t *testing.T) {
	s := NewSource(NewLog(Retention{}), Budget{Rate: 100 << 10, Burst: MaxPieceBytes})
	_, err := s.Open(1, 1)
	require.NoError(t, err)
	for i := range 4 {
		_, err = s.Publish(1, 1, nil, []Mutation{put(KindPlans, "", fmt.Sprint(i), strings.Repeat("v", 60000))})
		require.NoError(t, err)
	}
	request := PieceRequest{MaxBytes: MaxPieceBytes}
	piece, err := s.Piece(1, request)
	require.NoError(t, err)
	require.True(t, piece.Last)
	_, err = s.Piece(1, request)
	var throttled *ThrottledError
	require.ErrorAs(t, err, &throttled)
	require.NotEmpty(t, throttled.Hint())
	_, err = s.Piece(throttled.RetryAfter, request)
	require.True(t, isHintedError[*ThrottledError](err), "a nanosecond too early")
	_, err = s.Piece(1+throttled.RetryAfter, request)
	require.NoError(t, err)
}

func TestScope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Scope{Kinds: rapid.SliceOfN(rapid.SampledFrom(Kinds), 0, 5).Draw(t, "kinds"),
			Names: rapid.SliceOfN(rapid.StringMatching(`[a-zA-Z0-9._-]{1,64}`), 0, MaxScopeNames).Draw(t, "names")}
		again, err := ParseScope(s.String())
		require.NoError(t, err)
		require.Equal(t, s.String(), again.String())
	})
	for _, text := range []string{"plans", "wishes@", "@a b", "@a,,b",
		"@" + strings.Repeat("n,", 16) + "n", "@" + strings.Repeat("n", 65)} {
		_, err := ParseScope(text)
		require.True(t, isHintedError[*ScopeError](err), "%s: %v", text, err)
	}
	s, err := ParseScope("plans,routes@eu")
	require.NoError(t, err)
	for key, want := range map[Key]bool{{KindPlans, "eu", "a"}: true, {KindPlans, "", "a"}: true,
		{KindPlans, "us", "a"}:   false,
		{KindTenants, "eu", "a"}: false} {
		require.Equal(t, want, s.Contains(key), key)
	}
}

// TestDigest checks that a digest does not depend on the order of entries, that it differs between values, keys and
// the divisions between the parts of a key, and that its text form can be read back.
func TestDigest(t *testing.T) {
	a, b := NewState(), NewState()
	one, two := Entry{Key{KindPlans, "", "one"}, "1"}, Entry{Key{KindPlans, "eu", "two"}, "2"}
	a.put(one)
	a.put(two)
	b.put(two)
	b.put(Entry{one.Key, "0"})
	require.NotEqual(t, a.Digest(Scope{}), b.Digest(Scope{}))
	b.put(one)
	require.Equal(t, a.Digest(Scope{}), b.Digest(Scope{}))
	a.remove(two.Key)
	require.NotEqual(t, a.Digest(Scope{}), b.Digest(Scope{}))
	require.Equal(t, a.Digest(Scope{}), b.Digest(Scope{Names: []string{"us"}}))
	a.remove(one.Key)
	require.Equal(t, Digest{}, a.Digest(Scope{}))
	require.NotEqual(t, digestOf(Key{KindPlans, "a", "b"}, "c"), digestOf(Key{KindPlans, "", "ab"}, "c"))
	require.NotEqual(t, digestOf(Key{KindPlans, "", "b"}, "c"), digestOf(Key{KindPlans, "", "bc"}, ""))
	var again Digest
	text, err := digestOf(one.Key, "1").MarshalText()
	require.NoError(t, err)
	require.NoError(t, again.UnmarshalText(text))
	require.Equal(t, digestOf(one.Key, "1"), again)
	require.Error(t, again.UnmarshalText(text[2:]))
	require.Error(t, again.UnmarshalText([]byte("x")))
}

// TestAcknowledgements checks that relays summarize the acknowledgements that have not expired in messages of limited
// size, and that the source counts from these how many limiters have applied a version.
func TestAcknowledgements(t *testing.T) {
	s := newOpenSource(t)
	relays := []*Relay{NewRelay(1, RelayOptions{Name: "a"}), NewRelay(1, RelayOptions{Name: "b"})}
	refused := Version{2, 9}
	for i := range 550 {
		a := Acknowledgement{
			Limiter:   fmt.Sprint("limiter-", i),
			Version:   Version{2, uint64(i % 10)},
			Condition: Current,
		}
		if i%10 == 0 {
			a.Condition = Unconfirmed
		}
		if i%10 == 8 {
			a.Refused, a.Reason = &refused, strings.Repeat("é", 100)
		}
		require.NoError(t, relays[i%2].Acknowledge(1, a))
		require.NoError(t, relays[i%2].Acknowledge(1, a), "repeated")
	}
	require.NoError(
		t,
		relays[0].Acknowledge(2, Acknowledgement{Limiter: "limiter-0", Version: Version{2, 2}, Condition: Syncing}),
	)
	for _, r := range relays {
		summary := r.Summary(2)
		require.NoError(t, s.Summarize(2, summary))
		text, err := json.Marshal(summary)
		require.NoError(t, err)
		require.Less(t, len(text), 1<<10)
	}
	poll(t, relays[1].Subscriber, s, 2)
	poll(t, relays[1].Subscriber, s, 2)
	require.Equal(t, s.log.Head(), relays[1].Summary(5).Version)
	require.Equal(t, int64(3), relays[1].Summary(5).Age)
	o := s.Overview(3)
	inForce, limiters := o.InForce(Version{2, 8})
	require.Equal(t, 550, limiters)
	require.Equal(t, 110, inForce)
	require.Equal(t, 54, o.Relays[0].Unconfirmed)
	require.Equal(t, 1, o.Relays[0].Syncing)
	require.Equal(t, []VersionCount{{Version{2, 8}, 55}, {Version{2, 6}, 55}, {Version{2, 4}, 55}, {Version{2, 2}, 56},
		{Version{2, 0}, 54}}, o.Relays[0].Versions)
	require.Equal(t, []Refusal{{VersionCount{refused, 55}, strings.Repeat("é", 100)}}, o.Relays[0].Refusals)
	require.Empty(
		t,
		relays[1].Summary(2+AcknowledgementTTL).Versions,
		"acknowledgements expire",
	)
	o = s.Overview(3 + AcknowledgementTTL)
	require.Equal(t, []string{"a", "b"}, o.Silent)
	require.NoError(t, s.Acknowledge(3, Acknowledgement{Limiter: "direct", Version: Version{2, 9}, Condition: Current}))
	inForce, _ = s.Overview(3).InForce(Version{2, 9})
	require.Equal(t, 1+55, inForce)
	table := newAckTable()
	for i := range 20 {
		version := Version{1, uint64(i)}
		require.NoError(
			t,
			table.record(
				1,
				Acknowledgement{Limiter: fmt.Sprint(i), Version: version, Condition: Current, Refused: &version},
			),
		)
	}
	sum := table.summarize(1, "r")
	require.Len(t, sum.Versions, MaxSummaryVersions)
	require.Equal(t, 12, sum.Older)
	require.Len(t, sum.Refusals, MaxSummaryRefusals)
	require.Equal(t, 20, sum.Limiters())
	require.Equal(t, Version{1, 19}, sum.Refusals[0].Version)
	require.NoError(t, sum.check())
}

func TestInvalidAcknowledgementRejected(t *testing.T) {
	r := NewRelay(1, RelayOptions{Name: "r"})
	for _, a := range []Acknowledgement{{Condition: Current}, {Limiter: "n", Condition: "glad"}, {Limiter: "n"},
		{Limiter: strings.Repeat("n", 257), Condition: Current},
		{Limiter: "n", Condition: Current, Reason: strings.Repeat("r", MaxReasonBytes+1)}} {
		err := r.Acknowledge(1, a)
		require.True(t, isHintedError[*KeyError](err) || isHintedError[*TooLargeError](err), "%+v: %v", a, err)
	}
	for i := range MaxRelayLimiters {
		require.NoError(t, r.Acknowledge(1, Acknowledgement{Limiter: fmt.Sprint(i), Condition: Current}))
	}
	more := Acknowledgement{Limiter: "more", Condition: Current}
	require.True(t, isHintedError[*TooLargeError](r.Acknowledge(1, more)))
	require.NoError(t, r.Acknowledge(2+AcknowledgementTTL, more), "expired acknowledgements make room")
	s := newOpenSource(t)
	for _, summary := range []Summary{{}, {Relay: "r", Versions: make([]VersionCount, 9)},
		{Relay: "r", Refusals: make([]Refusal, 5)},
		{Relay: "r", Older: -1}, {Relay: "r", Versions: []VersionCount{{Limiters: -1}}}} {
		err := s.Summarize(1, summary)
		require.True(t, isHintedError[*KeyError](err) || isHintedError[*TooLargeError](err), "%+v: %v", summary, err)
	}
	for i := range maxRelays {
		require.NoError(t, s.Summarize(1, Summary{Relay: fmt.Sprint(i)}))
	}
	require.True(t, isHintedError[*TooLargeError](s.Summarize(1, Summary{Relay: "more"})))
}

// TestChooseRelays checks that the first relay is in the limiter's zone and the second in another, that the second ones
// are distributed evenly, and that invalid lists are rejected.
func TestChooseRelays(t *testing.T) {
	var relays []RelayAddress
	for _, zone := range []string{"c", "a", "d", "b"} {
		relays = append(relays, RelayAddress{"relay-" + zone, zone, "127.0.0.1:1"})
	}
	secondZones := map[string]int{}
	for position := range 300 {
		two, err := ChooseRelays(relays, "b", position)
		require.NoError(t, err)
		require.Equal(t, "b", two[0].Zone)
		secondZones[two[1].Zone]++
	}
	require.Equal(t, map[string]int{"a": 100, "c": 100, "d": 100}, secondZones)
	pairs := map[string]int{}
	for position := range 120 {
		two, err := ChooseRelays(relays, "nowhere", position)
		require.NoError(t, err)
		require.NotEqual(t, two[0], two[1])
		pairs[two[0].Zone+two[1].Zone]++
	}
	require.Len(t, pairs, 12)
	reordered, err := ChooseRelays([]RelayAddress{relays[2], relays[0], relays[3], relays[1]}, "b", 7)
	require.NoError(t, err)
	again, _ := ChooseRelays(relays, "b", 7)
	require.Equal(t, again, reordered, "the order of the list must not matter")
	for _, zone := range []string{"c", "x"} {
		two, err := ChooseRelays(relays[:1], zone, 5)
		require.NoError(t, err)
		require.Equal(t, [2]RelayAddress{relays[0], relays[0]}, two)
	}
	two, err := ChooseRelays([]RelayAddress{{"1", "z", "h:1"}, {"2", "z", "h:2"}}, "z", 5)
	require.NoError(t, err)
	require.NotEqual(t, two[0], two[1])
	for _, bad := range [][]RelayAddress{nil, {{"", "z", "h:1"}}, {{"1", "z", ""}},
		{{"1", "z", "h:1"}, {"1", "y", "h:2"}}} {
		_, err := ChooseRelays(bad, "z", 0)
		require.True(t, isHintedError[*NoRelayError](err), "%v", err)
	}
	_, err = ChooseRelays(relays, "a", -1)
	require.True(t, isHintedError[*NoRelayError](err), "%v", err)
}

func TestSelector(t *testing.T) {
	var s Selector
	require.Equal(t, 0, s.Selected(1))
	s.ReportFailure(1)
	require.Equal(t, 1, s.Selected(FirstRelayRetryDelay))
	require.Equal(t, 0, s.Selected(1+FirstRelayRetryDelay), "returns to the first relay")
	s.ReportFailure(2 + FirstRelayRetryDelay)
	s.ReportFailure(3 + FirstRelayRetryDelay)
	require.Equal(t, 0, s.Selected(4+FirstRelayRetryDelay), "both failed")
}

// TestLimiterApplier checks that both addresses change or neither, that the error names an endpoint that cannot change,
// and that entries of other kinds are accepted.
func TestLimiterApplier(t *testing.T) {
	var moved []Addresses
	var moveError error
	a := &LimiterApplier{ChangeAddresses: func(to Addresses) error {
		if moveError != nil {
			return moveError
		}
		moved = append(moved, to)
		return nil
	}}
	apply := func(mutations ...Mutation) error { return a.Apply(&Update{Changes: []Change{{Mutations: mutations}}}) }
	discovery := func(address string) Mutation { return put(KindEndpoints, "", EndpointDiscovery, address) }
	counter := func(address string) Mutation { return put(KindEndpoints, "", EndpointCounter, address) }
	require.NoError(
		t,
		apply(put(KindPlans, "", "p", "{}"), put(KindRoutes, "", "r", "{}"), put(KindTenants, "", "t", "{}")),
	)
	require.Empty(t, moved)
	require.NoError(t, apply(discovery("127.0.0.1:1"), counter("127.0.0.1:2")))
	require.NoError(t, apply(discovery("127.0.0.1:1")))
	require.NoError(t, apply(put(KindEndpoints, "eu", EndpointDiscovery, "127.0.0.1:3")))
	want := []Addresses{{"127.0.0.1:1", "127.0.0.1:2"}, {"127.0.0.1:3", "127.0.0.1:2"}}
	require.Equal(t, want, moved)
	fixed := put(KindEndpoints, "", "listen", "127.0.0.1:9")
	for name, err := range map[string]error{
		"a fixed key after a changed one":  apply(counter("127.0.0.1:4"), fixed),
		"the counter deleted":              apply(deletion(KindEndpoints, "", EndpointCounter)),
		"no discovery in a complete state": a.Apply(&Update{FullState: stateOf(t, counter("127.0.0.1:4"))}),
		"a fixed key in a complete state": a.Apply(&Update{FullState: stateOf(t, discovery("127.0.0.1:4"),
			counter("127.0.0.1:4"), fixed)}),
		"no counter in a complete state": a.Apply(&Update{FullState: stateOf(t, discovery("127.0.0.1:4"))}),
	} {
		require.True(t, isHintedError[*FixedKeyError](err), "%s: %v", name, err)
	}
	require.ErrorContains(t, apply(fixed), "endpoints//listen")
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", ":1", "127.0.0.1:x"} {
		err := apply(counter("127.0.0.1:4"), discovery(address))
		require.True(t, isHintedError[*KeyError](err), "%s: %v", address, err)
	}
	moveError = errors.New("no room")
	require.ErrorIs(t, apply(counter("127.0.0.1:5")), moveError)
	moveError = nil
	require.Equal(t, want, moved, "a rejected update must not change an address")
	require.NoError(t, apply(deletion(KindEndpoints, "eu", EndpointDiscovery)), "the entry for all limiters applies again")
	require.NoError(t, a.Apply(&Update{FullState: stateOf(t, discovery("127.0.0.1:7"), counter("127.0.0.1:8"))}))
	require.Equal(
		t,
		append(want, Addresses{"127.0.0.1:1", "127.0.0.1:2"}, Addresses{"127.0.0.1:7", "127.0.0.1:8"}),
		moved,
	)
}

func stateOf(t *testing.T, mutations ...Mutation) *State {
	t.Helper()
	s := NewState()
	for _, m := range mutations {
		s.put(m.Entry)
	}
	return s
}
