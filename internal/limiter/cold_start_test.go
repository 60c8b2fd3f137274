package limiter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
)

// pollCount returns the number of calls that were written to discovery, over all connections.
func pollCount(w *fakeSockets) (n int) {
	for id, text := range w.wrote {
		if strings.HasPrefix(w.dialed[id], "disco") {
			n += strings.Count(text, "GET ")
		}
	}
	return n
}

// newLimiterWithOptions returns a limiter with the operator's options: the one with the last position of the given
// number of limiters, which poll discovery.
func newLimiterWithOptions(t *testing.T, limiters int, options OperatorOptions) (*Limiter, *fakeSockets) {
	t.Helper()
	template, w := newPollingLimiter(t, 10*second, limiters-1)
	template.settings.Limiters = limiters
	*w = fakeSockets{dialed: map[ConnID]string{}, wrote: map[ConnID]string{}, kernelAccepted: map[ConnID]int64{}}
	l, err := NewWithOptions(0, template.config, options, w)
	require.NoError(t, err)
	w.limiter = l
	return l, w
}

// TestScheduledPolls: with a discovery call rate a limiter makes one call at each of its scheduled times, whatever the
// result of its calls.
func TestScheduledPolls(t *testing.T) {
	const at = 9 * second / 2 // first scheduled poll of the fourth of four limiters, in rounds of 6 s
	// pollsUntil advances the limiter, opens each dialled connection to discovery at once and returns pollCount.
	pollsUntil := func(l *Limiter, w *fakeSockets, until int64) int {
		for now := l.now; now <= until; now += second / 20 {
			l.Step(now, TimersDue{})
			if w.dialed[w.last] != "127.0.0.1:9" && l.conns[w.last] != nil && !l.conns[w.last].open {
				l.Step(now, Connected{Conn: w.last})
			}
		}
		return pollCount(w)
	}
	options := OperatorOptions{DiscoveryCallRate: 4.0 / 6}
	l, w := newLimiterWithOptions(t, 4, options)
	l.Step(at+second*2, TimersDue{})
	require.Equal(
		t,
		0,
		pollsUntil(l, w, at+6*second-second/20),
		"calls after a scheduled time that fell into a suspension",
	)
	require.Equal(t, 1, pollsUntil(l, w, at+6*second), "calls at the next scheduled time")
	type action = func(l *Limiter, w *fakeSockets, id ConnID)
	receives := func(text string) action {
		return func(l *Limiter, w *fakeSockets, id ConnID) { w.receive(l, l.now, id, text) }
	}
	reset := func(l *Limiter, _ *fakeSockets, id ConnID) { l.Step(l.now, ConnClosed{Conn: id, Reason: PeerReset}) }
	changeAddress := func(l *Limiter, _ *fakeSockets, _ ConnID) {
		config := *l.config
		config.Discovery = "disco 2"
		l.Step(l.now, ConfigReloaded{Config: &config})
	}
	for _, c := range []struct {
		name      string
		then      []action
		tolerance int // by how many calls the count may differ, as a throttled call may be repeated later
	}{
		{"an answer", []action{receives(httpAnswer(knownList))}, 0},
		{"an answer after which the connection is closed", []action{receives(httpAnswer(knownList)), reset}, 0},
		{"an answer and an unrequested one",
			[]action{receives(httpAnswer(knownList) + httpAnswer(knownList))}, 0},
		{"a throttled call",
			[]action{receives("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")}, 1},
		{"a reset", []action{reset}, 0},
		{"a change of address", []action{changeAddress}, 0},
		{"a reset and then a change of address", []action{reset, changeAddress}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w := newLimiterWithOptions(t, 4, options)
			require.Equal(t, 0, pollsUntil(l, w, at-second/20), "calls before its first scheduled time")
			require.True(t, l.readiness.ready)
			require.Equal(t, 1, pollsUntil(l, w, at), "calls at its first scheduled time")
			id := w.last
			for _, then := range c.then {
				then(l, w, id)
			}
			require.Equal(t, 1, pollsUntil(l, w, at+6*second-second/20), "calls before its second scheduled time")
			require.InDelta(t, 2, pollsUntil(l, w, at+6*second), float64(c.tolerance), "calls at its second scheduled time")
			l.Step(l.now, ConnClosed{Conn: w.last, Reason: PeerReset})
			require.InDelta(
				t,
				2,
				pollsUntil(l, w, at+12*second-second/20),
				float64(c.tolerance),
				"calls before its third scheduled time",
			)
			require.InDelta(t, 3, pollsUntil(l, w, at+12*second), float64(c.tolerance), "calls at its third scheduled time")
		})
	}
}

// TestPhasesEndByTimeAlone: without a list a limiter becomes ready by the passing of time alone, and its warming phase
// ends the same way.
func TestPhasesEndByTimeAlone(t *testing.T) {
	template, w := newTestLimiter(t)
	config, configSettings := *template.config, *template.config.Settings
	config.Known, config.Settings, configSettings.PollInterval, w.last = nil, &configSettings, 10*second, 0
	l, _ := NewWithOptions(0, &config, OperatorOptions{DiscoveryCallRate: 1}, w)
	for now := int64(0); now <= 20*second; now += second / 10 {
		l.Step(now, TimersDue{})
		require.True(t, l.readiness.ready == (now >= 20*second), "ready %v after %d ns", l.readiness.ready, now)
	}
	for l.conns[l.discovery.conn.id] == nil || l.conns[l.discovery.conn.id].open {
		l.Step(l.now+second/10, TimersDue{})
	}
	l.Step(l.now, Connected{Conn: l.discovery.conn.id})
	w.receive(
		l,
		l.now,
		l.discovery.conn.id,
		httpAnswer(strings.Replace(knownList, `"weight"`, `"startedAtMs":16000,"weight"`, 1)),
	)
	require.True(t, l.coldStart.phase == coldstart.Warming, "%v", l.coldStart.phase)
	for now := l.now; now < 27*second; now += second / 10 {
		l.Step(now, TimersDue{})
	}
	require.True(t, l.coldStart.phase == coldstart.Steady, "%v", l.coldStart.phase)
}

// TestSnapshot: a limiter starts with the snapshot that its previous incarnation saved, if that is newer than the
// configuration's list.
func TestSnapshot(t *testing.T) {
	template, w := newTestLimiter(t)
	config := *template.config
	template.settings.DialTimeout = 6 * second // so that 10 s without an event are not taken for a suspension
	var saved []*snapshot.Snapshot
	newLimiter := func(old *snapshot.Snapshot, known string) *Limiter {
		t.Helper()
		config.Known, w.last = []byte(known), 0
		l, err := NewWithOptions(
			second,
			&config,
			OperatorOptions{Snapshot: old, SaveSnapshot: func(s *snapshot.Snapshot) { saved = append(saved, s) },
				SaveEvery: 10 * second},
			w,
		)
		require.NoError(t, err)
		l.Step(second, Connected{Conn: discoveryConn})
		return l
	}
	answer := func(l *Limiter, now int64, text string) { w.receive(l, now, discoveryConn, httpAnswer(text)) }
	l := newLimiter(nil, knownList)
	answer(l, second, `{"generation":8,"instances":[{"instanceId":"t","hostPort":"127.0.0.1:8","zone":"b","cell":3,`+
		`"lifecycle":"in_service","weight":2,"startedAtMs":900}]}`)
	answer(l, 2*second, `{"generation":9,"instances":[{"instanceId":"t","lifecycle":"terminating","startedAtMs":0}]}`)
	answer(l, 3*second, `{"generation":9,"instances":[]}`)
	require.True(t, len(saved) == 2, "saved %d times", len(saved))
	answer(l, 13*second, `{"generation":9,"instances":[]}`)
	answer(l, 14*second, `{"generation":9,"instances":[]}`)
	last := saved[len(saved)-1]
	want := snapshot.Server{ID: "t", Address: "127.0.0.1:8", StartedAt: second * 9 / 10, Draining: true}
	if len(saved) != 3 || last.TakenAt != 13*second || last.Generation != 9 || last.Discovery != "disco" ||
		len(last.Servers) != 2 || last.Servers[1] != want {
		t.Fatalf("saved %d times, at last %+v", len(saved), last)
	}
	answer(l, 14*second, `{"generation":10,"instances":[{"instanceId":"t","lifecycle":"terminated"}]}`)
	serverCount := len(saved[len(saved)-1].Servers)
	require.True(t, serverCount == 1, "%d servers after one was removed", serverCount)
	answer(l, 15*second, strings.Replace(knownList, `"s"`, `"u"`, 1))
	servers := saved[len(saved)-1].Servers
	require.True(t, len(servers) == 1 && servers[0].ID == "u", "got %v, want the servers of the complete list", servers)
	for _, c := range []struct {
		name, known, discovery, request string
		servers                         int
	}{
		{"newer than the configuration's list", knownList, "disco", "from=9&", 2},
		{"older than the configuration's list", strings.Replace(knownList, "7", "10", 1), "disco", "from=10&", 1},
		{"from another discovery", knownList, "disco 2", "from=7&", 1},
		{"without a list in the configuration", "null", "disco", "from=9&", 2},
		{"from another discovery, without a list in the configuration", "", "disco 2", "hosts HTTP", 2},
	} {
		old := *last
		old.Discovery = c.discovery
		w.wrote = map[ConnID]string{}
		require.Len(t, newLimiter(&old, c.known).servers.pools, c.servers, c.name)
		require.Contains(t, w.wrote[discoveryConn], c.request, c.name)
	}
	old := *last
	old.Generation, old.Servers = 1, []snapshot.Server{{ID: "s", StartedAt: second / 2}}
	l = newLimiter(&old, knownList)
	require.True(t, l.coldStart.start.Share() == 1, "a reduced share before the limiter is ready")
	l.Step(7*second, TimersDue{})
	require.True(t, l.coldStart.start.Share() != 1, "the start time from the snapshot was lost")
}

// TestConnectionRate: a limiter opens connections to a server at its part of the operator's connection rate at most.
func TestConnectionRate(t *testing.T) {
	l, w := newLimiterWithOptions(t, 1, OperatorOptions{ConnectionRate: 2})
	opened := 0
	for now := int64(0); now < 7*second; now += second / 100 {
		if l.now = now; l.servers.pools["s"].acquire() != nil {
			opened++
		}
	}
	require.True(t, opened >= 12 && opened <= 15, "%d connections in 7 s at a rate of 2 per second", opened)
	l, _ = New(0, l.config, w)
	for range 2 {
		require.NotNil(t, l.servers.pools["s"].acquire(), "a connection was refused without a connection rate")
	}
}

// TestColdStartSettings: a negative seed gives valid settings.
func TestColdStartSettings(t *testing.T) {
	l, _ := newTestLimiter(t)
	coldSettings := ColdStartSettings(
		&settings.Config{Seed: -1, Settings: &settings.Settings{Settings: l.settings.Settings}},
		OperatorOptions{},
	)
	require.True(
		t,
		coldSettings.Check() == nil && coldSettings.Jitter >= 0.99,
		"%+v: %v",
		coldSettings,
		coldSettings.Check(),
	)
}

// TestNoOperatorOptions: without an operator's file there is no cold start. Package pollpacer sets the pace and the
// hold time of calls, each answer is followed by the next call at once, and the first answer makes the limiter ready.
func TestNoOperatorOptions(t *testing.T) {
	for _, pollInterval := range []int64{0, 10 * second} {
		l, w := newPollingLimiter(t, pollInterval, 0)
		require.True(
			t,
			l.coldStart == nil && l.servers.pools["s"].newConnBucket == (coldstart.Bucket{}),
			"there is a cold start or a connection limit",
		)
		hold, limit := l.discovery.pacer.NextPoll(0, false)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		if pollCount(w) != 2 || !l.readiness.ready || l.discovery.responseTimer.at != limit {
			t.Fatalf("%d calls, ready %v, response timeout at %d", pollCount(w), l.readiness.ready, l.discovery.responseTimer.at)
		}
		requireText(t, w.wrote[discoveryConn], strings.Repeat(string(discovery.AppendWatch(nil, "disco", 7, hold)), 2))
	}
}

// TestOptionsWithoutCallRate: an operator's file without a discovery call rate leaves the pace of calls to pollpacer.
func TestOptionsWithoutCallRate(t *testing.T) {
	plainLimiter, w := newPollingLimiter(t, 10*second, 0)
	ratedLimiter, ratedSockets := newLimiterWithOptions(t, 1, OperatorOptions{ConnectionRate: 2})
	for now := int64(0); now < 30*second; now += second / 20 {
		for l, w := range map[*Limiter]*fakeSockets{plainLimiter: w, ratedLimiter: ratedSockets} {
			l.Step(now, TimersDue{})
			switch dialled := l.discovery.conn; {
			case dialled == nil || l.conns[dialled.id] != dialled:
			case !dialled.open:
				l.Step(now, Connected{Conn: dialled.id})
			case now/second%7 == 3:
				l.Step(now, ConnClosed{Conn: dialled.id, Reason: PeerReset})
			case now/second%7 == 5:
				w.receive(l, now, dialled.id, httpAnswer(knownList))
			}
		}
		require.True(
			t,
			pollCount(w) == pollCount(ratedSockets),
			"%d calls after %d ns, %d with a connection rate",
			pollCount(w),
			now,
			pollCount(ratedSockets),
		)
	}
	require.True(t, pollCount(w) >= 5, "%d calls", pollCount(w))
}

// TestNoExtraPollAfterSuspension: a limiter that resumes from a suspension makes no call outside its schedule. If all
// limiters were suspended together, such calls would arrive at once.
func TestNoExtraPollAfterSuspension(t *testing.T) {
	l, w := newLimiterWithOptions(t, 1, OperatorOptions{DiscoveryCallRate: 1. / 30})
	id := l.discovery.conn.id
	l.Step(0, Connected{Conn: id})
	w.advance(l, second)
	require.True(
		t,
		pollCount(w) == 1 && l.discovery.responseTimer.at >= 29*second,
		"%d calls, response timeout at %d",
		pollCount(w),
		l.discovery.responseTimer.at,
	)
	l.Step(9*second, TimersDue{})
	w.advance(l, 10*second)
	require.True(
		t,
		pollCount(w) == 1 && !l.suspension.listMayBeStale && l.conns[id] != nil,
		"%d calls, list may be stale: %v",
		pollCount(w),
		l.suspension.listMayBeStale,
	)
}
