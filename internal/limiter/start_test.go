package limiter

import (
	"strings"
	"testing"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
)

// asks are the calls that were written to discovery, on whatever connection.
func asks(w *wire) (n int) {
	for id, text := range w.wrote {
		if strings.HasPrefix(w.dialed[id], "disco") {
			n += strings.Count(text, "GET ")
		}
	}
	return n
}

// TestAsked: where calls are work for discovery a limiter makes one in each of its instants, whatever becomes of them.
func TestAsked(t *testing.T) {
	const at = 9 * second / 2 // the fourth of four limiters by place, in rounds of 6 s
	stated := func(t *testing.T) (*Limiter, *wire) {
		made, w := made(t)
		config, set := *made.config, *made.config.Settings
		inner := *set.Settings
		inner.Limiters, inner.Position, set.AskEvery, set.Settings, config.Settings = 4, 3, 10*second, &inner, &set
		*w = wire{dialed: map[ID]string{}, wrote: map[ID]string{}, kernel: map[ID]int64{}}
		l, err := NewStated(0, &config, Stated{ListCalls: 4.0 / 6}, w)
		if err != nil {
			t.Fatal(err)
		}
		return l, w
	}
	// through takes it to a time, with each call to discovery coming up at once, and tells how many were made.
	through := func(l *Limiter, w *wire, until int64) int {
		for now := l.now; now <= until; now += second / 20 {
			l.Step(now, Happening{Kind: Due})
			if w.dialed[w.last] != "127.0.0.1:9" && l.conns[w.last] != nil && !l.conns[w.last].open {
				l.Step(now, Happening{Kind: Connected, Conn: w.last})
			}
		}
		return asks(w)
	}
	l, w := stated(t)
	if l.Step(at+second*2, Happening{Kind: Due}); through(l, w, at+6*second-second/20) != 0 || through(l, w, at+6*second) != 1 {
		t.Fatalf("%d calls behind an instant that was slept through", asks(w))
	}
	for _, c := range []struct {
		name string
		then func(l *Limiter, w *wire, id ID)
	}{
		{"an answer", func(l *Limiter, w *wire, id ID) { w.say(l, l.now, id, httpAnswer(known)) }},
		{"an answer behind which the connection ends", func(l *Limiter, w *wire, id ID) {
			w.say(l, l.now, id, httpAnswer(known))
			l.Step(l.now, Happening{Kind: Ended, Conn: id, End: PeerClosed})
		}},
		{"an answer and another that nobody asked for", func(l *Limiter, w *wire, id ID) {
			w.say(l, l.now, id, httpAnswer(known)+httpAnswer(known))
		}},
		{"a call that is turned away", func(l *Limiter, w *wire, id ID) {
			w.say(l, l.now, id, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}},
		{"a reset", func(l *Limiter, w *wire, id ID) { l.Step(l.now, Happening{Kind: Ended, Conn: id, End: PeerReset}) }},
		{"a move", func(l *Limiter, w *wire, id ID) {
			config := *l.config
			config.Discovery = "disco 2"
			l.Step(l.now, Happening{Kind: Renewed, Config: &config})
		}},
		{"a reset and then a move", func(l *Limiter, w *wire, id ID) {
			l.Step(l.now, Happening{Kind: Ended, Conn: id, End: PeerReset})
			config := *l.config
			config.Discovery = "disco 3"
			l.Step(l.now, Happening{Kind: Renewed, Config: &config})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w := stated(t)
			if n := through(l, w, at-second/20); n != 0 || !l.ready {
				t.Fatalf("%d calls before its instant, ready %v", n, l.ready)
			}
			if n := through(l, w, at); n != 1 {
				t.Fatalf("%d calls at its instant", n)
			}
			watching := w.last
			c.then(l, w, watching)
			if n := through(l, w, at+6*second-second/20); n != 1 {
				t.Fatalf("%d calls before its second instant", n)
			}
			late := c.name == "a call that is turned away" // the next one is at one of several instants
			if n := through(l, w, at+6*second); n != 2 && !late {
				t.Fatalf("%d calls at its second instant", n)
			}
			l.Step(l.now, Happening{Kind: Ended, Conn: w.last, End: PeerReset})
			if n := through(l, w, at+12*second-second/20); n != 2 && !late {
				t.Fatalf("%d calls before its third instant", n)
			}
			if n := through(l, w, at+12*second); n != 3 && !late || n < 2 {
				t.Fatalf("%d calls at its third instant", n)
			}
		})
	}
}

// TestPhase: time alone makes a limiter ready that has no list, and ends its warming.
func TestPhase(t *testing.T) {
	made, w := made(t)
	config, set := *made.config, *made.config.Settings
	config.Known, config.Settings, set.AskEvery, w.last = nil, &set, 10*second, 0
	l, _ := NewStated(0, &config, Stated{ListCalls: 1}, w)
	for now := int64(0); now <= 20*second; now += second / 10 {
		if l.Step(now, Happening{Kind: Due}); l.ready != (now >= 20*second) {
			t.Fatalf("ready %v after %d ns", l.ready, now)
		}
	}
	for l.conns[l.watch.c.id] == nil || l.conns[l.watch.c.id].open {
		l.Step(l.now+second/10, Happening{Kind: Due})
	}
	l.Step(l.now, Happening{Kind: Connected, Conn: l.watch.c.id})
	w.say(l, l.now, l.watch.c.id, httpAnswer(strings.Replace(known, `"weight"`, `"startedAtMs":16000,"weight"`, 1)))
	if l.start.phase != coldstart.Warming {
		t.Fatal(l.start.phase)
	}
	for now := l.now; now < 27*second; now += second / 10 {
		l.Step(now, Happening{Kind: Due})
	}
	if l.start.phase != coldstart.Steady {
		t.Fatal(l.start.phase)
	}
}

// TestSnapshot: what one life has saved the next one begins with, where it is newer than the configuration's list.
func TestSnapshot(t *testing.T) {
	made, w := made(t)
	config, set, inner := *made.config, *made.config.Settings, *made.config.Settings.Settings
	inner.DialTimeout, set.Settings, config.Settings = 6*second, &inner, &set // nothing told for 10 s is no standing still
	var saved []*snapshot.Snapshot
	life := func(old *snapshot.Snapshot, known string) *Limiter {
		t.Helper()
		config.Known, w.last = []byte(known), 0
		l, err := NewStated(second, &config, Stated{Snapshot: old, Save: func(s *snapshot.Snapshot) { saved = append(saved, s) },
			SaveEvery: 10 * second}, w)
		if err != nil {
			t.Fatal(err)
		}
		l.Step(second, Happening{Kind: Connected, Conn: watching})
		return l
	}
	tell := func(l *Limiter, now int64, text string) { w.say(l, now, watching, httpAnswer(text)) }
	l := life(nil, known)
	tell(l, second, `{"generation":8,"instances":[{"instanceId":"t","hostPort":"127.0.0.1:8","zone":"b","cell":3,`+
		`"lifecycle":"in_service","weight":2,"startedAtMs":900}]}`)
	tell(l, 2*second, `{"generation":9,"instances":[{"instanceId":"t","lifecycle":"terminating","startedAtMs":0}]}`)
	tell(l, 3*second, `{"generation":9,"instances":[]}`)
	if len(saved) != 2 {
		t.Fatalf("saved %d times", len(saved))
	}
	tell(l, 13*second, `{"generation":9,"instances":[]}`)
	tell(l, 14*second, `{"generation":9,"instances":[]}`)
	last := saved[len(saved)-1]
	want := snapshot.Server{ID: "t", Address: "127.0.0.1:8", WarmFrom: second * 9 / 10, Draining: true}
	if len(saved) != 3 || last.Taken != 13*second || last.Generation != 9 || last.Discovery != "disco" ||
		len(last.Servers) != 2 || last.Servers[1] != want {
		t.Fatalf("saved %d times, at last %+v", len(saved), last)
	}
	tell(l, 14*second, `{"generation":10,"instances":[{"instanceId":"t","lifecycle":"terminated"}]}`)
	if n := len(saved[len(saved)-1].Servers); n != 1 {
		t.Fatalf("%d servers after one has gone", n)
	}
	tell(l, 15*second, strings.Replace(known, `"s"`, `"u"`, 1))
	if servers := saved[len(saved)-1].Servers; len(servers) != 1 || servers[0].ID != "u" {
		t.Fatalf("%v in place of a whole list", servers)
	}
	for _, c := range []struct {
		name, known, disco, from string
		servers                  int
	}{
		{"newer than the configuration's list", known, "disco", "from=9&", 2},
		{"older", strings.Replace(known, "7", "10", 1), "disco", "from=10&", 1},
		{"of another discovery", known, "disco 2", "from=7&", 1},
		{"the only one there is", "null", "disco", "from=9&", 2},
		{"the only one, of another discovery", "", "disco 2", "hosts HTTP", 2},
	} {
		old := *last
		old.Discovery = c.disco
		w.wrote = map[ID]string{}
		if l := life(&old, c.known); len(l.servers) != c.servers || !strings.Contains(w.wrote[watching], c.from) {
			t.Fatalf("%s: %d servers, wrote %q", c.name, len(l.servers), w.wrote[watching])
		}
	}
	old := *last
	old.Generation, old.Servers = 1, []snapshot.Server{{ID: "s", WarmFrom: second / 2}}
	if l = life(&old, known); l.start.rules.Share() != 1 {
		t.Fatal("a share before it is ready")
	}
	if l.Step(7*second, Happening{Kind: Due}); l.start.rules.Share() == 1 {
		t.Fatal("a start that was known is forgotten")
	}
}

// TestBucket: a limiter opens no more connections to a server than its part of what is stated.
func TestBucket(t *testing.T) {
	made, w := made(t)
	l, err := NewStated(0, made.config, Stated{Connections: 2}, w)
	if err != nil {
		t.Fatal(err)
	}
	opened := 0
	for now := int64(0); now < 7*second; now += second / 100 {
		if l.now = now; l.pools["s"].backend() != nil {
			opened++
		}
	}
	if opened < 12 || opened > 15 {
		t.Fatalf("%d connections in 7 s, 2 a second are stated", opened)
	}
	if l, _ = New(0, made.config, w); l.pools["s"].backend() == nil || l.pools["s"].backend() == nil {
		t.Fatal("held back where nothing is stated")
	}
}

func TestStartSettings(t *testing.T) {
	l, _ := made(t)
	config := &settings.Config{Seed: -1, Settings: &settings.Settings{Settings: l.set.Settings}}
	if set := StartSettings(config, Stated{}); set.Check() != nil || set.Chance < 0.99 {
		t.Fatalf("%+v: %v", set, set.Check())
	}
}

// TestNothingStated: without an operator's file a limiter has no start of its own: inquiry's pace calls, at its own hold, an
// answer is followed by the next call at once, and it is ready with discovery's first answer.
func TestNothingStated(t *testing.T) {
	for _, every := range []int64{0, 10 * second} {
		l, w := madeTo(t, every, 0)
		if l.start != nil || l.pools["s"].bucket != (coldstart.Bucket{}) {
			t.Fatal("a start, or a bound of connections")
		}
		hold, limit := l.watch.pace.Ask(0, false)
		if w.say(l, 0, watching, httpAnswer(known)); asks(w) != 2 || !l.ready || l.watch.limit.at != limit {
			t.Fatalf("%d calls, ready %v, given up at %d", asks(w), l.ready, l.watch.limit.at)
		}
		expect(t, w.wrote[watching], strings.Repeat(string(discovery.AppendWatch(nil, "disco", 7, hold)), 2))
	}
}

// TestStatedUnbudgeted: an operator's file that states no budget leaves the calls to inquiry's pace.
func TestStatedUnbudgeted(t *testing.T) {
	plain, w := madeTo(t, 10*second, 0)
	v := &wire{dialed: map[ID]string{}, wrote: map[ID]string{}, kernel: map[ID]int64{}}
	stated, err := NewStated(0, plain.config, Stated{Connections: 2}, v)
	if err != nil {
		t.Fatal(err)
	}
	for now := int64(0); now < 30*second; now += second / 20 {
		for l, w := range map[*Limiter]*wire{plain: w, stated: v} {
			l.Step(now, Happening{Kind: Due})
			switch c := l.watch.c; {
			case c == nil || l.conns[c.id] != c:
			case !c.open:
				l.Step(now, Happening{Kind: Connected, Conn: c.id})
			case now/second%7 == 3:
				l.Step(now, Happening{Kind: Ended, Conn: c.id, End: PeerReset})
			case now/second%7 == 5:
				w.say(l, now, c.id, httpAnswer(known))
			}
		}
		if asks(w) != asks(v) {
			t.Fatalf("%d calls after %d ns, %d where connections are stated", asks(w), now, asks(v))
		}
	}
	if asks(w) < 5 {
		t.Fatalf("%d calls", asks(w))
	}
}

// TestStoodStill: a limiter that stood still and goes on with all others makes no call out of its turn.
func TestStoodStill(t *testing.T) {
	made, _ := madeTo(t, 10*second, 0)
	w := &wire{dialed: map[ID]string{}, wrote: map[ID]string{}, kernel: map[ID]int64{}}
	l, err := NewStated(0, made.config, Stated{ListCalls: 1. / 30}, w)
	if err != nil {
		t.Fatal(err)
	}
	id := l.watch.c.id
	l.Step(0, Happening{Kind: Connected, Conn: id})
	if w.pass(l, second); asks(w) != 1 || l.watch.limit.at < 29*second {
		t.Fatalf("%d calls, given up at %d", asks(w), l.watch.limit.at)
	}
	l.Step(9*second, Happening{Kind: Due})
	if w.pass(l, 10*second); asks(w) != 1 || l.wake.doubts || l.conns[id] == nil {
		t.Fatalf("%d calls, in doubt %v", asks(w), l.wake.doubts)
	}
}
