package distribution

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelState is the model's form of a state.
type modelState map[Key]string

func (e modelState) inScope(scope Scope) modelState {
	scoped := modelState{}
	for key, value := range e {
		if scope.Contains(key) {
			scoped[key] = value
		}
	}
	return scoped
}

func (e modelState) withMutations(mutations []Mutation) modelState {
	next := maps.Clone(e)
	for _, m := range mutations {
		if m.Delete {
			delete(next, m.Key)
		} else {
			next[m.Key] = m.Value
		}
	}
	return next
}

// recordingApplier is an Applier that keeps the applied state, or refuses all updates if refuses is set.
type recordingApplier struct {
	state   modelState
	refuses bool
	applied int
}

func (f *recordingApplier) Apply(update *Update) error {
	if f.refuses {
		return errors.New("refused by the test")
	}
	f.applied++
	if update.FullState != nil {
		f.state = modelState{}
		for _, e := range update.FullState.Entries() {
			f.state[e.Key] = e.Value
		}
		return nil
	}
	for _, change := range update.Changes {
		f.state = f.state.withMutations(change.Mutations)
	}
	return nil
}

// member is a subscriber of a testFleet: a limiter, or the subscriber side of a relay.
type member struct {
	*Subscriber
	scope          Scope
	applier        *recordingApplier
	highestVersion Version // since the last start
	corrupted      bool    // the test has altered the state without an update
	savedSnapshot  *Snapshot
	deltas         []*Delta // answers of earlier calls, which may be delivered again
	pieces         []*Piece
}

// pieceServed is the time in nanoseconds and the size of a piece that a server has sent.
type pieceServed struct{ at, bytes int64 }

// testFleet is a source with relays and limiters that a test takes through random steps, and a model of the log.
type testFleet struct {
	now          int64
	source       *Source
	history      map[Version]modelState // state at each version that any writer has published
	retention    Retention
	budget       Budget
	relays       []*Relay
	relayMembers []*member // subscriber sides of relays
	limiters     []*member
	piecesServed map[Server][]pieceServed
	snapshot     *Snapshot // older state of the source, nil if none was taken
}

var limiterScopes = []Scope{{}, {Names: []string{"eu"}}, {Kinds: []Kind{KindPlans, KindRoutes}, Names: []string{"us"}}}

func newTestFleet(retention Retention) *testFleet {
	f := &testFleet{
		now:          1,
		history:      map[Version]modelState{},
		retention:    retention,
		budget:       Budget{Rate: 4 * MaxPieceBytes, Burst: MaxPieceBytes},
		piecesServed: map[Server][]pieceServed{},
	}
	f.source = NewSource(NewLog(retention), f.budget)
	for i := range 2 {
		f.relays = append(f.relays, nil)
		f.relayMembers = append(f.relayMembers, nil)
		f.startRelay(i)
	}
	for i, scope := range limiterScopes {
		f.limiters = append(f.limiters, &member{scope: scope})
		_ = f.startLimiter(i, nil) // without a snapshot it returns no error
	}
	return f
}

func (f *testFleet) startRelay(i int) {
	f.relays[i] = NewRelay(f.now, RelayOptions{Name: fmt.Sprint("relay-", i), Retention: f.retention, Budget: f.budget})
	f.relayMembers[i] = &member{Subscriber: f.relays[i].Subscriber}
}

func (f *testFleet) startLimiter(i int, from *Snapshot) error {
	m := f.limiters[i]
	m.applier, m.highestVersion, m.corrupted = &recordingApplier{state: modelState{}}, Version{}, false
	m.Subscriber = NewSubscriber(
		f.now,
		SubscriberOptions{Name: fmt.Sprint("limiter-", i), Scope: m.scope, Applier: m.applier,
			RefusedRetry: 3 * second},
	)
	if from == nil {
		return nil
	}
	state, err := NewStateOf(from.Entries)
	if err != nil {
		return err
	}
	return m.Restore(from.Version, state, f.now-from.TakenAt)
}

func (f *testFleet) servers() []Server { return []Server{f.source, f.relays[0], f.relays[1]} }

// recordChange adds a published change to the model.
func (f *testFleet) recordChange(t require.TestingT, before Version, change Change) {
	require.NotContains(t, f.history, change.Version, "a version was published twice")
	require.True(t, before.Less(change.Version), "%v after %v", change.Version, before)
	f.history[change.Version] = f.history[before].withMutations(change.Mutations)
	if f.history[before] == nil {
		f.history[change.Version] = modelState{}.withMutations(change.Mutations)
	}
}

// call makes the subscriber's next call to a server. alterDelta or alterPiece gets the answer; it returns the answer to
// deliver, or false to drop it.
func (f *testFleet) call(
	m *member,
	server Server,
	alterDelta func(*Delta) (*Delta, bool),
	alterPiece func(*Piece) (*Piece, bool),
) error {
	request := m.Next(f.now)
	if request.Piece != nil {
		piece, err := server.Piece(f.now, *request.Piece)
		if err != nil {
			m.HandleError(err)
			return err
		}
		bytes := int64(0)
		for _, e := range piece.Entries {
			bytes += int64(e.size())
		}
		f.piecesServed[server] = append(f.piecesServed[server], pieceServed{f.now, bytes})
		m.pieces = append(m.pieces, piece)
		piece, delivered := alterPiece(piece)
		if !delivered {
			return nil
		}
		return m.HandlePiece(f.now, piece)
	}
	if request.Hold && !server.HasNewer(*request.Changes) {
		f.now += second / 10 // the server holds the call and then answers without changes
	}
	delta, err := server.Changes(f.now, *request.Changes)
	if err != nil {
		m.HandleError(err)
		return err
	}
	m.deltas = append(m.deltas, delta)
	delta, delivered := alterDelta(delta)
	if !delivered {
		return nil
	}
	return m.HandleChanges(f.now, delta)
}

func asIs[T any](answer T) (T, bool) { return answer, true }

// callNoFault makes one call whose answer is delivered unaltered.
func (f *testFleet) callNoFault(m *member, server Server) error { return f.call(m, server, asIs, asIs) }

// callWithRandomFault makes one call whose answer may be lost, truncated, altered or replaced by that of an earlier
// call.
func (f *testFleet) callWithRandomFault(t *rapid.T, m *member, server Server) error {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost", "cut", "changed", "skips", "earlier"}).
		Draw(t, "fault")
	return f.call(m, server, func(d *Delta) (*Delta, bool) {
		altered := *d
		switch {
		case fault == "lost":
			return nil, false
		case fault == "earlier":
			return rapid.SampledFrom(m.deltas).Draw(t, "answer"), true
		case len(d.Changes) == 0:
		case fault == "cut":
			altered.Changes = d.Changes[:len(d.Changes)-1]
		case fault == "skips":
			altered.Changes = d.Changes[1:]
		case fault == "changed":
			last := d.Changes[len(d.Changes)-1]
			last.Mutations = append([]Mutation{{Entry: Entry{Key{KindPlans, "", "spoilt"}, "x"}}}, last.Mutations...)
			altered.Changes = append(append([]Change{}, d.Changes[:len(d.Changes)-1]...), last)
		}
		return &altered, true
	}, func(p *Piece) (*Piece, bool) {
		altered := *p
		switch {
		case fault == "lost":
			return nil, false
		case fault == "earlier":
			return rapid.SampledFrom(m.pieces).Draw(t, "answer"), true
		case len(p.Entries) == 0:
		case fault == "cut":
			altered.Entries = p.Entries[:len(p.Entries)-1]
		case fault == "skips":
			altered.Entries = p.Entries[1:]
		case fault == "changed":
			altered.Entries = append([]Entry{}, p.Entries...)
			altered.Entries[0].Value += "x"
		}
		return &altered, true
	})
}

// check compares the applied state of every subscriber and the log of every relay with the model.
func (f *testFleet) check(t require.TestingT) {
	for i, m := range append(append([]*member{}, f.relayMembers...), f.limiters...) {
		version := m.Version()
		require.False(t, version.Less(m.highestVersion), "subscriber %d went back from %v to %v",
			i, m.highestVersion, version)
		m.highestVersion = version
		if version == (Version{}) {
			require.Zero(t, m.State().Len(), "subscriber %d has a state and no version", i)
			continue
		}
		require.Contains(t, f.history, version, "subscriber %d has a version that was never published", i)
		want := f.history[version].inScope(m.scope)
		if m.applier != nil {
			require.Equal(t, want, m.applier.state, "in force at subscriber %d at %v", i, version)
		}
		if !m.corrupted {
			require.Equal(t, want, modelState(m.State().values), "state of subscriber %d at %v", i, version)
		}
	}
	for _, r := range f.relays {
		require.Equal(t, r.Version(), r.log.Head())
		if r.ready() {
			require.Equal(t, f.history[r.log.Head()], modelState(r.log.State().values), "log of relay %s", r.name)
		}
	}
	for server, all := range f.piecesServed {
		f.checkBudget(t, server, all)
	}
}

// checkBudget checks that the pieces sent in each interval are within the byte budget.
func (f *testFleet) checkBudget(t require.TestingT, server Server, all []pieceServed) {
	for i := range all {
		bytes := int64(0)
		for _, g := range all[i:] {
			bytes += g.bytes
			maxBytes := f.budget.Burst + f.budget.Rate*(g.at-all[i].at)/second + 1
			require.LessOrEqual(t, bytes, maxBytes, "pieces of %T from %d to %d", server, all[i].at, g.at)
		}
	}
}

func drawMutations(t *rapid.T, state *State) []Mutation {
	key := rapid.Custom(func(t *rapid.T) Key {
		return Key{
			rapid.SampledFrom(Kinds).Draw(t, "kind"),
			rapid.SampledFrom([]string{"", "eu", "us"}).Draw(t, "scope"),
			rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"),
		}
	})
	var mutations []Mutation
	for _, k := range rapid.SliceOfNDistinct(key, 1, 4, func(k Key) Key { return k }).Draw(t, "keys") {
		_, exists := state.Value(k)
		if exists && rapid.Bool().Draw(t, "delete") {
			mutations = append(mutations, Mutation{Entry: Entry{Key: k}, Delete: true})
			continue
		}
		size := rapid.SampledFrom([]int{0, 1, 20, 30 << 10}).Draw(t, "size")
		value := rapid.StringMatching("[a-z]{3}").Draw(t, "value") + strings.Repeat("x", size)
		mutations = append(mutations, Mutation{Entry: Entry{k, value}})
	}
	return mutations
}

// publish publishes a random change. Sometimes it uses an epoch that is not open, which must be fenced.
func (f *testFleet) publish(t *rapid.T) {
	before := f.source.log.Head()
	epoch := before.Epoch
	if rapid.IntRange(0, 9).Draw(t, "stale writer") == 0 {
		epoch += uint64(rapid.SampledFrom([]int{-1, 1}).Draw(t, "epoch"))
	}
	change, err := f.source.Publish(f.now, epoch, nil, drawMutations(t, f.source.log.State()))
	if epoch != before.Epoch || epoch == 0 {
		var fenced *FencedError
		require.ErrorAs(t, err, &fenced)
		require.Equal(t, before, f.source.log.Head())
		return
	}
	require.NoError(t, err)
	f.recordChange(t, before, change)
}

// open begins an epoch.
func (f *testFleet) open(t require.TestingT) {
	before := f.source.log.Head()
	change, err := f.source.Open(f.now, before.Epoch+1)
	require.NoError(t, err)
	f.recordChange(t, before, change)
}

// replaceSource replaces the source with one that continues from the snapshot. Later changes are lost.
func (f *testFleet) replaceSource(t require.TestingT) {
	if f.snapshot == nil {
		return
	}
	epoch := f.source.log.Head().Epoch + 1
	state, err := NewStateOf(f.snapshot.Entries)
	require.NoError(t, err)
	f.source = NewSource(NewLogAt(f.retention, f.snapshot.Version, state), f.budget)
	change, err := f.source.Open(f.now, epoch)
	require.NoError(t, err)
	f.recordChange(t, f.snapshot.Version, change)
}

// converge makes 200 rounds of calls without faults and checks that all subscribers then have the source's state.
func (f *testFleet) converge(t require.TestingT) {
	f.open(t)
	for _, m := range f.limiters {
		m.applier.refuses = false
	}
	for range 200 {
		f.now += second
		for i := range f.relays {
			_ = f.callNoFault(f.relayMembers[i], f.source)
		}
		for i, m := range f.limiters {
			_ = f.callNoFault(m, f.relays[i%len(f.relays)])
		}
		f.check(t)
	}
	head := f.source.log.Head()
	for i, m := range append(append([]*member{}, f.relayMembers...), f.limiters...) {
		require.Equal(t, head, m.Version(), "subscriber %d after 200 rounds without faults", i)
		require.Equal(t, f.source.log.State().Digest(m.scope), m.State().Digest(Scope{}), "subscriber %d", i)
		require.Equal(t, f.history[head].inScope(m.scope), modelState(m.State().values), "subscriber %d", i)
		status := m.Status(f.now)
		require.Equal(t, Current, status.Condition, "subscriber %d: %+v", i, status)
	}
}

// TestRandomFaultsConverge runs random steps in which answers are lost, truncated, altered or replayed, updates are
// refused, and servers and limiters restart. No version may be published twice or go back at a subscriber, every
// applied state must be the log's at that version, pieces must stay within the byte budget, and calls without faults
// must bring all subscribers to the source's state.
func TestRandomFaultsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(Retention{Changes: rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "retained")})
		f.open(t)
		limiter := func(t *rapid.T) int { return rapid.IntRange(0, len(f.limiters)-1).Draw(t, "limiter") }
		relay := func(t *rapid.T) int { return rapid.IntRange(0, len(f.relays)-1).Draw(t, "relay") }
		askSource := func(t *rapid.T) {
			i := relay(t)
			_ = f.callWithRandomFault(t, f.relayMembers[i], f.source)
		}
		askServer := func(t *rapid.T) {
			m, server := f.limiters[limiter(t)], rapid.SampledFrom(f.servers()).Draw(t, "server")
			_ = f.callWithRandomFault(t, m, server)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":              func(t *rapid.T) { f.check(t) },
			"publish":       f.publish,
			"publish again": f.publish,
			"open":          func(t *rapid.T) { f.open(t) },
			"take source's snapshot": func(*rapid.T) {
				f.snapshot = &Snapshot{
					Version: f.source.log.Head(),
					TakenAt: f.now,
					Entries: f.source.log.State().Entries(),
				}
			},
			"replace source": func(t *rapid.T) { f.replaceSource(t) },
			"relay asks":     askSource, "relay asks again": askSource,
			"limiter asks": askServer, "limiter asks again": askServer, "limiter asks once more": askServer,
			"limiter's state is spoilt": func(t *rapid.T) {
				m := f.limiters[limiter(t)]
				if m.Version() != (Version{}) {
					m.state.put(Entry{Key{KindTenants, "", "diverged"}, "x"})
					m.corrupted = true
				}
			},
			"limiter refuses": func(t *rapid.T) {
				m := f.limiters[limiter(t)]
				m.applier.refuses = !m.applier.refuses
			},
			"limiter saves": func(t *rapid.T) {
				if m := f.limiters[limiter(t)]; !m.corrupted {
					m.savedSnapshot = m.Snapshot(f.now)
				}
			},
			"limiter restarts": func(t *rapid.T) {
				i := limiter(t)
				require.NoError(t, f.startLimiter(i, f.limiters[i].savedSnapshot))
			},
			"relay restarts": func(t *rapid.T) { f.startRelay(relay(t)) },
			"time":           func(t *rapid.T) { f.now += rapid.Int64Range(0, 2*second).Draw(t, "passes") },
		})
		f.converge(t)
	})
}
