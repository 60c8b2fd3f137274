package choice

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// ableByWalk is able without the index: it looks at every server. The index must give the same servers.
func ableByWalk(l *Limiter, now int64, q *request) []*server {
	var able []*server
	out, usable, ready, near := q.units, 0.0, 0.0, 0
	for _, s := range l.order {
		if s.listing == Ready {
			ready++
		}
		if !l.usable(now, q, s) {
			continue
		}
		warmth := l.slowStartWeight(now, s)
		out, usable, near = out+s.out, usable+warmth, near+1
		if near > l.subsetSize() && len(able) > 0 {
			continue
		}
		if now >= s.fullTill && (len(s.attempts) == 0 || s.out+q.units <= s.limit*warmth) {
			able = append(able, s)
		}
	}
	room := l.inFlightLimit * l.limitFactor(now, q) * usable / max(ready, 1)
	room *= 1 - cheapLess*(1-q.class.Value/l.highestValue.Value)
	if out > room && out > q.units {
		return nil
	}
	return able
}

// forgettableByWalk are the customers that a look at every one would let go of now. It changes nothing.
func forgettableByWalk(l *Limiter, now int64) map[uint64]bool {
	inUse := map[*account]bool{}
	for _, q := range l.requests {
		inUse[q.account] = true
	}
	let := map[uint64]bool{}
	for id, a := range l.accounts {
		quota, ceiling := a.quota, a.ceiling
		unused := !inUse[a] && now-a.used > l.span(a)
		full := quota.rate <= 0 || unused && quota.fill(now) >= quota.depth
		let[id] = full && ceiling.fill(now) >= ceiling.depth
	}
	return let
}

// world answers what a limiter asks for at random.
type world struct {
	effects
	rng    *rand.Rand
	sent   []string
	called []uint64
	ended  map[string]bool
}

func (w *world) Send(request, _ string)                  { w.sent = append(w.sent, request) }
func (w *world) Reject(request string, _ int64, _ Cause) { w.ended[request] = true }
func (w *world) Fail(request string)                     { w.ended[request] = true }
func (w *world) Count(name uint64, _ float64, _ int64)   { w.called = append(w.called, name) }
func (w *world) Cancel(request string, _ int)            {}
func (w *world) Probe(string)                            {}

// randomFleet is a limiter with random settings before a random list of servers.
func randomFleet(seed int64) (*Limiter, *world) {
	w := &world{rng: rand.New(rand.NewSource(seed)), ended: map[string]bool{}}
	set := &Settings{
		Classes: map[string]*Class{
			"read":  {Target: second, Effect: Idempotent, Value: 1},
			"mark":  {Target: 2 * second, Effect: Keyed, Group: Group(w.rng.Intn(3)), Repeats: 3 * second, Value: 2},
			"write": {Target: second / 2, Effect: NonIdempotent, Value: 1},
		},
		Plans: map[string]*Plan{
			"plain": {Rate: 5, Burst: 10, Value: 1}, "hard": {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16, Value: 1},
			"open": {Open: 4, Value: 1}, "free": {Value: 1},
		},
		CounterWait: second / 20, MostUnits: 4, LongestLease: 20 * second, Limiters: 1 + w.rng.Intn(60), Position: w.rng.Intn(60),
		ColdFrom: 0.25 * float64(w.rng.Intn(3)), WarmWithin: 4 * second, DialTimeout: second / 4, MostAttempts: 3, MostAdvice: second,
		Probes: w.rng.Intn(2) == 0, Cancelling: true, Granularity: second / 500,
	}
	l := New(0, set, seed, w)
	l.Members(0, true, w.entries(1+w.rng.Intn(120), 0))
	return l, w
}

// entries are lines of a list on some of so many servers: ready, draining, gone, started now or long ago.
func (w *world) entries(servers int, now int64) (entries []Entry) {
	for i := range servers {
		e := Entry{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%4), Cell: int64(i % 6), Hint: 1}
		switch w.rng.Intn(8) {
		case 0:
			e.Listing = Draining
		case 1:
			e.Listing = Gone
		case 2:
			e.Since = now
		case 3:
			e.Since = now + second/3 // a clock that runs ahead
		}
		entries = append(entries, e)
	}
	return entries
}

// step lets one random thing happen.
func (w *world) step(l *Limiter, now int64, n int) {
	switch w.rng.Intn(10) {
	case 0, 1, 2:
		plans, classes := []string{"plain", "hard", "open", "free"}, []string{"read", "mark", "write"}
		customer := w.rng.Intn(40)
		l.Request(now, Arrival{ID: fmt.Sprint("q", n), Budget: 3 * second, Customer: uint64(customer), Plan: plans[customer%4],
			Class: classes[w.rng.Intn(3)], Units: 1, Spread: 2})
	case 3, 4:
		if len(w.called) > 0 {
			l.Counted(now, w.called[0], []Outcome{Succeeded, Succeeded, TimedOut, Broke}[w.rng.Intn(4)], 3)
			w.called = w.called[1:]
		}
	case 5, 6, 7:
		if len(w.sent) > 0 {
			i := w.rng.Intn(len(w.sent))
			id := w.sent[i]
			w.sent = slices.Delete(w.sent, i, i+1)
			w.answer(l, now, id)
		}
	case 8:
		w.change(l, now)
	case 9:
		l.Left(now, fmt.Sprint("q", w.rng.Intn(n+1)))
	}
}

// answer ends the open attempt of a request in some way.
func (w *world) answer(l *Limiter, now int64, id string) {
	q := l.requests[id]
	if q == nil {
		return
	}
	for _, att := range q.attempts {
		if att.open {
			outcome := []Outcome{Succeeded, Succeeded, Broke, Full, TimedOut, Unconnected, Reset}[w.rng.Intn(7)]
			l.Answer(now, Reply{Request: id, Attempt: att.number, Outcome: outcome, Took: now - att.at, Final: outcome == Succeeded})
			return
		}
	}
}

// change has some servers come, go or be probed.
func (w *world) change(l *Limiter, now int64) {
	entries := w.entries(130, now)
	if w.rng.Intn(4) == 0 {
		l.Members(now, true, entries[w.rng.Intn(60):])
		return
	}
	i := w.rng.Intn(len(entries))
	l.Members(now, false, entries[i:i+1])
	l.Probed(now, entries[i].ID, Succeeded)
}

// check compares the index with a walk over all servers.
func check(t *testing.T, l *Limiter, now int64) {
	t.Helper()
	ready := 0
	for i, s := range l.order {
		if s.listing == Ready {
			ready++
		}
		inUse := len(s.attempts) > 0 || s.listing == Ready && (s.health != healthy || s.out > 0)
		if s.position != i || inUse && (s.group != active || l.index.active[s.slot] != s) {
			t.Fatalf("server %s at %d: position %d, group %d", s.id, i, s.position, s.group)
		}
		if !inUse && s.warmFrom == 0 && s.group == active {
			t.Fatalf("server %s is looked at by itself and not in use", s.id)
		}
	}
	if l.index.ready != ready || len(l.order) != len(l.servers) {
		t.Fatalf("%d ready, %d counted; %d in order of %d", ready, l.index.ready, len(l.order), len(l.servers))
	}
	requests := []*request{{units: 1, class: l.set.Classes["read"]}, {units: 1, class: l.set.Classes["write"]}}
	for _, q := range l.requests {
		if q.account != nil {
			requests = append(requests, q)
		}
	}
	for _, q := range requests {
		want, got := ableByWalk(l, now, q), l.able(now, q)
		if !slices.Equal(want, got) {
			t.Fatalf("a walk finds %d servers, the index %d", len(want), len(got))
		}
	}
	let := forgettableByWalk(l, now)
	before := len(l.accounts)
	l.forget(now)
	for id, over := range let {
		if kept := l.accounts[id] != nil; kept == over {
			t.Fatalf("of %d customers %d is kept: %v, a walk lets go of it: %v", before, id, kept, over)
		}
	}
}

// TestIndex plays random fleets: what the index finds is what a walk over all servers and customers finds, at every step.
func TestIndex(t *testing.T) {
	for seed := range int64(40) {
		l, w := randomFleet(seed)
		now := second
		for n := range 400 {
			now += int64(w.rng.Intn(int(second) / 20))
			if w.rng.Intn(50) == 0 {
				now += 8 * second // long enough for customers to be forgotten
			}
			w.step(l, now, n)
			for _, q := range l.timers {
				if now >= q.end {
					l.Woken(now, q.token)
					break
				}
			}
			if n%5 == 0 {
				l.tick(now)
			}
			check(t, l, now)
		}
	}
}

// TestWarmingSum: the warmth of servers that warm up is summed exactly, however many there are and whenever they began.
func TestWarmingSum(t *testing.T) {
	l, _ := made()
	var entries []Entry
	for i := range 8500 {
		entries = append(entries, Entry{ID: fmt.Sprint(i), Since: 100*second + int64(i)*second/1000})
	}
	now := 109 * second
	l.Members(now, true, entries)
	want := 0.0
	for _, s := range l.order {
		if s.listing == Ready {
			want += l.slowStartWeight(now, s)
		}
	}
	if _, got := l.usableSums(now, &request{units: 1, class: l.set.Classes["read"]}); math.Abs(got-want) > 1e-6 {
		t.Fatalf("the sum is %v, %v by a walk", got, want)
	}
}

// TestUsedUntilDropped: a customer counts as used up to the latest tick at which a request of it was known.
func TestUsedUntilDropped(t *testing.T) {
	l, _ := made()
	q := sent(l, "read")
	l.Woken(5*second, 0)
	l.Woken(6*second, 0)
	l.Answer(7*second, Reply{Request: "j", Outcome: Succeeded, Took: 7 * second, Final: true})
	if q.account.used != 6*second || q.account.held != 0 {
		t.Fatalf("used at %d, %d requests held", q.account.used, q.account.held)
	}
}
