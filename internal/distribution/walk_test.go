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

// entries is a state as the model holds it.
type entries map[Key]string

func (e entries) in(scope Scope) entries {
	of := entries{}
	for key, value := range e {
		if scope.Contains(key) {
			of[key] = value
		}
	}
	return of
}

func (e entries) with(mutations []Mutation) entries {
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

// inForce is an Applier that holds what it was told, and refuses what it is told to refuse.
type inForce struct {
	state   entries
	refuses bool
	applied int
}

func (f *inForce) Apply(update *Update) error {
	if f.refuses {
		return errors.New("refused by the test")
	}
	f.applied++
	if update.Whole != nil {
		f.state = entries{}
		for _, e := range update.Whole.Entries() {
			f.state[e.Key] = e.Value
		}
		return nil
	}
	for _, change := range update.Changes {
		f.state = f.state.with(change.Mutations)
	}
	return nil
}

// member is a subscriber of the walk.
type member struct {
	*Subscriber
	scope    Scope
	inForce  *inForce
	highest  Version // of this life
	diverged bool    // the walk has spoilt its state
	saved    *Snapshot
	deltas   []*Delta // answers of earlier calls, which may come again
	pieces   []*Piece
}

// given is one piece that a server gave.
type given struct{ at, bytes int64 }

// walk is a source, relays and limiters under random steps, with a model of the log.
type walk struct {
	now      int64
	source   *Source
	history  map[Version]entries // of every version that any writer published
	retained Retention
	budget   Budget
	relays   []*Relay
	follow   []*member // the relays' subscriber sides
	limiters []*member
	given    map[Server][]given
	snapshot *Snapshot // an older state of the source
}

var walkScopes = []Scope{{}, {Names: []string{"eu"}}, {Kinds: []Kind{KindPlans, KindRoutes}, Names: []string{"us"}}}

func newWalk(retained Retention) *walk {
	w := &walk{
		now:      1,
		history:  map[Version]entries{},
		retained: retained,
		budget:   Budget{Rate: 4 * MaxPieceBytes, Burst: MaxPieceBytes},
		given:    map[Server][]given{},
	}
	w.source = NewSource(NewLog(retained), w.budget)
	for i := range 2 {
		w.relays = append(w.relays, nil)
		w.follow = append(w.follow, nil)
		w.startRelay(i)
	}
	for i, scope := range walkScopes {
		w.limiters = append(w.limiters, &member{scope: scope})
		_ = w.startLimiter(i, nil) // with no kept state nothing can fail
	}
	return w
}

func (w *walk) startRelay(i int) {
	w.relays[i] = NewRelay(w.now, RelayOptions{Name: fmt.Sprint("relay-", i), Retention: w.retained, Budget: w.budget})
	w.follow[i] = &member{Subscriber: w.relays[i].Subscriber}
}

func (w *walk) startLimiter(i int, from *Snapshot) error {
	m := w.limiters[i]
	m.inForce, m.highest, m.diverged = &inForce{state: entries{}}, Version{}, false
	m.Subscriber = NewSubscriber(
		w.now,
		SubscriberOptions{Name: fmt.Sprint("limiter-", i), Scope: m.scope, Applier: m.inForce,
			RefusedRetry: 3 * second},
	)
	if from == nil {
		return nil
	}
	state, err := NewStateOf(from.Entries)
	if err != nil {
		return err
	}
	return m.Restore(from.Version, state, w.now-from.TakenAt)
}

func (w *walk) servers() []Server { return []Server{w.source, w.relays[0], w.relays[1]} }

// wrote notes a published change in the model.
func (w *walk) wrote(t require.TestingT, before Version, change Change) {
	require.NotContains(t, w.history, change.Version, "two changes with one version")
	require.True(t, before.Less(change.Version), "%v after %v", change.Version, before)
	w.history[change.Version] = w.history[before].with(change.Mutations)
	if w.history[before] == nil {
		w.history[change.Version] = entries{}.with(change.Mutations)
	}
}

// ask makes one call of a subscriber to a server; spoil may change the answer, or drop it by returning false.
func (w *walk) ask(
	m *member,
	server Server,
	spoilDelta func(*Delta) (*Delta, bool),
	spoilPiece func(*Piece) (*Piece, bool),
) error {
	request := m.Next(w.now)
	if request.Piece != nil {
		piece, err := server.Piece(w.now, *request.Piece)
		if err != nil {
			m.TakeError(err)
			return err
		}
		bytes := int64(0)
		for _, e := range piece.Entries {
			bytes += int64(e.size())
		}
		w.given[server] = append(w.given[server], given{w.now, bytes})
		m.pieces = append(m.pieces, piece)
		piece, whole := spoilPiece(piece)
		if !whole {
			return nil
		}
		return m.TakePiece(w.now, piece)
	}
	if request.Hold && !server.Newer(*request.Changes) {
		w.now += second / 10 // held in vain
	}
	delta, err := server.Changes(w.now, *request.Changes)
	if err != nil {
		m.TakeError(err)
		return err
	}
	m.deltas = append(m.deltas, delta)
	delta, whole := spoilDelta(delta)
	if !whole {
		return nil
	}
	return m.TakeChanges(w.now, delta)
}

func asIs[T any](answer T) (T, bool) { return answer, true }

// honest makes one call that nothing disturbs.
func (w *walk) honest(m *member, server Server) error { return w.ask(m, server, asIs, asIs) }

// disturbed makes one call whose answer may be lost, cut, changed or one of an earlier call.
func (w *walk) disturbed(t *rapid.T, m *member, server Server) error {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost", "cut", "changed", "skips", "earlier"}).
		Draw(t, "fault")
	return w.ask(m, server, func(d *Delta) (*Delta, bool) {
		spoilt := *d
		switch {
		case fault == "lost":
			return nil, false
		case fault == "earlier":
			return rapid.SampledFrom(m.deltas).Draw(t, "answer"), true
		case len(d.Changes) == 0:
		case fault == "cut":
			spoilt.Changes = d.Changes[:len(d.Changes)-1]
		case fault == "skips":
			spoilt.Changes = d.Changes[1:]
		case fault == "changed":
			last := d.Changes[len(d.Changes)-1]
			last.Mutations = append([]Mutation{{Entry: Entry{Key{KindPlans, "", "spoilt"}, "x"}}}, last.Mutations...)
			spoilt.Changes = append(append([]Change{}, d.Changes[:len(d.Changes)-1]...), last)
		}
		return &spoilt, true
	}, func(p *Piece) (*Piece, bool) {
		spoilt := *p
		switch {
		case fault == "lost":
			return nil, false
		case fault == "earlier":
			return rapid.SampledFrom(m.pieces).Draw(t, "answer"), true
		case len(p.Entries) == 0:
		case fault == "cut":
			spoilt.Entries = p.Entries[:len(p.Entries)-1]
		case fault == "skips":
			spoilt.Entries = p.Entries[1:]
		case fault == "changed":
			spoilt.Entries = append([]Entry{}, p.Entries...)
			spoilt.Entries[0].Value += "x"
		}
		return &spoilt, true
	})
}

// check holds what is in force at every subscriber against the model.
func (w *walk) check(t require.TestingT) {
	for i, m := range append(append([]*member{}, w.follow...), w.limiters...) {
		version := m.Version()
		require.False(t, version.Less(m.highest), "subscriber %d went back from %v to %v", i, m.highest, version)
		m.highest = version
		if version == (Version{}) {
			require.Zero(t, m.State().Len(), "subscriber %d has a state and no version", i)
			continue
		}
		require.Contains(t, w.history, version, "subscriber %d has a version that nobody published", i)
		want := w.history[version].in(m.scope)
		if m.inForce != nil {
			require.Equal(t, want, m.inForce.state, "in force at subscriber %d at %v", i, version)
		}
		if !m.diverged {
			require.Equal(t, want, entries(m.State().values), "state of subscriber %d at %v", i, version)
		}
	}
	for _, r := range w.relays {
		require.Equal(t, r.Version(), r.log.Head())
		if r.ready() {
			require.Equal(t, w.history[r.log.Head()], entries(r.log.State().values), "log of relay %s", r.name)
		}
	}
	for server, all := range w.given {
		w.checkBudget(t, server, all)
	}
}

// checkBudget holds the bytes of pieces in each span of time against the budget.
func (w *walk) checkBudget(t require.TestingT, server Server, all []given) {
	for i := range all {
		bytes := int64(0)
		for _, g := range all[i:] {
			bytes += g.bytes
			most := w.budget.Burst + w.budget.Rate*(g.at-all[i].at)/second + 1
			require.LessOrEqual(t, bytes, most, "pieces of %T from %d to %d", server, all[i].at, g.at)
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
		_, held := state.Value(k)
		if held && rapid.Bool().Draw(t, "delete") {
			mutations = append(mutations, Mutation{Entry: Entry{Key: k}, Delete: true})
			continue
		}
		size := rapid.SampledFrom([]int{0, 1, 20, 30 << 10}).Draw(t, "size")
		value := rapid.StringMatching("[a-z]{3}").Draw(t, "value") + strings.Repeat("x", size)
		mutations = append(mutations, Mutation{Entry: Entry{k, value}})
	}
	return mutations
}

// publish makes the source's writer publish; epochs that are not open are fenced.
func (w *walk) publish(t *rapid.T) {
	before := w.source.log.Head()
	epoch := before.Epoch
	if rapid.IntRange(0, 9).Draw(t, "stale writer") == 0 {
		epoch += uint64(rapid.SampledFrom([]int{-1, 1}).Draw(t, "epoch"))
	}
	change, err := w.source.Publish(w.now, epoch, nil, drawMutations(t, w.source.log.State()))
	if epoch != before.Epoch || epoch == 0 {
		var fenced *FencedError
		require.ErrorAs(t, err, &fenced)
		require.Equal(t, before, w.source.log.Head())
		return
	}
	require.NoError(t, err)
	w.wrote(t, before, change)
}

// open begins an epoch.
func (w *walk) open(t require.TestingT) {
	before := w.source.log.Head()
	change, err := w.source.Open(w.now, before.Epoch+1)
	require.NoError(t, err)
	w.wrote(t, before, change)
}

// replaceSource makes a new source of an older state; what was published behind that is lost.
func (w *walk) replaceSource(t require.TestingT) {
	if w.snapshot == nil {
		return
	}
	epoch := w.source.log.Head().Epoch + 1
	state, err := NewStateOf(w.snapshot.Entries)
	require.NoError(t, err)
	w.source = NewSource(NewLogAt(w.retained, w.snapshot.Version, state), w.budget)
	change, err := w.source.Open(w.now, epoch)
	require.NoError(t, err)
	w.wrote(t, w.snapshot.Version, change)
}

// heal makes calls that nothing disturbs until all subscribers have the source's state.
func (w *walk) heal(t require.TestingT) {
	w.open(t)
	for _, m := range w.limiters {
		m.inForce.refuses = false
	}
	for range 200 {
		w.now += second
		for i := range w.relays {
			_ = w.honest(w.follow[i], w.source)
		}
		for i, m := range w.limiters {
			_ = w.honest(m, w.relays[i%len(w.relays)])
		}
		w.check(t)
	}
	head := w.source.log.Head()
	for i, m := range append(append([]*member{}, w.follow...), w.limiters...) {
		require.Equal(t, head, m.Version(), "subscriber %d after the healing", i)
		require.Equal(t, w.source.log.State().Digest(m.scope), m.State().Digest(Scope{}), "subscriber %d", i)
		require.Equal(t, w.history[head].in(m.scope), entries(m.State().values), "subscriber %d", i)
		status := m.Status(w.now)
		require.Equal(t, Current, status.Condition, "subscriber %d: %+v", i, status)
	}
}

// TestWalk: whatever is lost, cut, changed, replayed, refused or restarted, no version is published twice or taken
// back, every state in force is the log's at its version, pieces keep the byte budget, and undisturbed calls bring all
// to the source's state.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk(Retention{Changes: rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "retained")})
		w.open(t)
		limiter := func(t *rapid.T) int { return rapid.IntRange(0, len(w.limiters)-1).Draw(t, "limiter") }
		relay := func(t *rapid.T) int { return rapid.IntRange(0, len(w.relays)-1).Draw(t, "relay") }
		askSource := func(t *rapid.T) {
			i := relay(t)
			_ = w.disturbed(t, w.follow[i], w.source)
		}
		askServer := func(t *rapid.T) {
			m, server := w.limiters[limiter(t)], rapid.SampledFrom(w.servers()).Draw(t, "server")
			_ = w.disturbed(t, m, server)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":              func(t *rapid.T) { w.check(t) },
			"publish":       w.publish,
			"publish again": w.publish,
			"open":          func(t *rapid.T) { w.open(t) },
			"take source's snapshot": func(*rapid.T) {
				w.snapshot = &Snapshot{
					Version: w.source.log.Head(),
					TakenAt: w.now,
					Entries: w.source.log.State().Entries(),
				}
			},
			"replace source": func(t *rapid.T) { w.replaceSource(t) },
			"relay asks":     askSource, "relay asks again": askSource,
			"limiter asks": askServer, "limiter asks again": askServer, "limiter asks once more": askServer,
			"limiter's state is spoilt": func(t *rapid.T) {
				m := w.limiters[limiter(t)]
				if m.Version() != (Version{}) {
					m.state.put(Entry{Key{KindTenants, "", "diverged"}, "x"})
					m.diverged = true
				}
			},
			"limiter refuses": func(t *rapid.T) {
				m := w.limiters[limiter(t)]
				m.inForce.refuses = !m.inForce.refuses
			},
			"limiter saves": func(t *rapid.T) {
				if m := w.limiters[limiter(t)]; !m.diverged {
					m.saved = m.Snapshot(w.now)
				}
			},
			"limiter restarts": func(t *rapid.T) {
				i := limiter(t)
				require.NoError(t, w.startLimiter(i, w.limiters[i].saved))
			},
			"relay restarts": func(t *rapid.T) { w.startRelay(relay(t)) },
			"time":           func(t *rapid.T) { w.now += rapid.Int64Range(0, 2*second).Draw(t, "passes") },
		})
		w.heal(t)
	})
}
