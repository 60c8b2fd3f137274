package limiter

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"ospreycroft/choice"
)

func httpAnswer(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestWatch(t *testing.T) {
	t.Run("each answer is followed by the next watch at once", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "8", 1)))
		if !strings.Contains(w.wrote[discoveryConn], "from=8&hold_ms=1000 ") {
			t.Fatalf("wrote %q", w.wrote[discoveryConn])
		}
	})
	t.Run("with its connection too", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		l.Step(0, ConnClosed{Conn: discoveryConn, Reason: PeerClosed})
		if w.dialed[w.last] != "disco" || w.last == discoveryConn {
			t.Fatalf("dialled %v", w.dialed)
		}
	})
	t.Run("one that is never answered is asked again elsewhere, soon", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		w.advance(l, 3*second/2)
		l.Step(3*second/2, Connected{Conn: w.last})
		if !slices.Contains(w.closed, discoveryConn) || !strings.Contains(w.wrote[w.last], "from=7&") {
			t.Fatalf("closed %v, wrote %q", w.closed, w.wrote[w.last])
		}
	})
	t.Run("what comes ahead of an answer is passed over", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(
			l,
			0,
			discoveryConn,
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+httpAnswer(strings.Replace(knownList, "7", "8", 1)),
		)
		if l.discovery.version != 8 || slices.Contains(w.closed, discoveryConn) {
			t.Fatalf("version %d, closed %v", l.discovery.version, w.closed)
		}
	})
	t.Run("a bad list is refused and asked for again", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		w.receive(
			l,
			0,
			discoveryConn,
			httpAnswer(`{"generation":8,"reset":true,"instances":[{"instanceId":"s","lifecycle":"odd"}]}`),
		)
		if l.discovery.version != 7 || len(l.servers.pools) != 1 || !slices.Contains(w.closed, discoveryConn) {
			t.Fatalf("version %d, closed %v", l.discovery.version, w.closed)
		}
		w.advance(l, second/10)
		l.Step(second/10, Connected{Conn: w.last})
		if !strings.HasPrefix(w.wrote[w.last], "GET /discovery/hosts HTTP") {
			t.Fatalf("wrote %q", w.wrote[w.last])
		}
	})
}

func TestLogOutcomes(t *testing.T) {
	l, w, id := requestSent(t, "read")
	w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	l.Reject("nobody's", 0, choice.RejectedForCapacity)
	want := outcomeCounts{accepted: 1, succeeded: 1}
	want.rejected[choice.RejectedForCapacity] = 1
	if l.stats.outcomes != want {
		t.Fatalf("%+v", l.stats.outcomes)
	}
	if l.LogOutcomes(); l.stats.outcomes != (outcomeCounts{}) {
		t.Fatalf("%+v after they were logged", l.stats.outcomes)
	}
}

func TestThrottledPolls(t *testing.T) {
	l, w := newPollingLimiter(t, 10*second, 0)
	w.receive(l, 0, discoveryConn, httpAnswer(knownList))
	w.receive(l, 0, discoveryConn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	dialled := len(w.dialed)
	w.advance(l, second/2)
	if len(w.dialed) != dialled || !slices.Contains(w.closed, discoveryConn) || len(l.servers.pools) != 1 {
		t.Fatalf(
			"it is asked again at once: dialled %v, closed %v, %d servers",
			w.dialed,
			w.closed,
			len(l.servers.pools),
		)
	}
	t.Run("but at once where it has moved", func(t *testing.T) {
		l, w := newPollingLimiter(t, 10*second, 0)
		w.receive(l, 0, discoveryConn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		config := *l.config
		config.Discovery = "disco 2"
		if l.Step(second/10, ConfigReloaded{Config: &config}); w.dialed[w.last] != "disco 2" {
			t.Fatalf("dialled %v", w.dialed)
		}
		l.Step(second/10, Connected{Conn: w.last})
		w.receive(l, second/10, w.last, httpAnswer(knownList))
		dialled := len(w.dialed)
		if w.advance(l, 6*second); len(w.dialed) > dialled {
			t.Fatalf("the pause at the old address goes on: %v", w.dialed)
		}
	})
	for len(w.dialed) == dialled && l.now < 6*second {
		w.advance(l, w.timerAt)
	}
	l.Step(l.now, Connected{Conn: w.last})
	if !strings.Contains(w.wrote[w.last], "from=7&") {
		t.Fatalf("what is newer is not asked for: %q", w.wrote[w.last])
	}
}

// Where discovery tells only those that ask, its calls are spread over the fleet, and SIGHUP may come before the first.
func TestPolledDiscovery(t *testing.T) {
	newAtPosition := func(position int) (*Limiter, *fakeSockets) {
		template, w := newTestLimiter(t)
		config := *template.config
		configSettings := *config.Settings
		controllerSettings := *configSettings.Settings
		controllerSettings.Limiters, controllerSettings.Position, configSettings.PollInterval, configSettings.Settings, config.Settings = 80, position, 10*second, &controllerSettings, &configSettings
		w.dialed = map[ConnID]string{}
		l, err := New(0, &config, w)
		if err != nil {
			t.Fatal(err)
		}
		return l, w
	}
	hasPolled := func(w *fakeSockets) bool {
		for _, address := range w.dialed {
			if strings.HasPrefix(address, "disco") {
				return true
			}
		}
		return false
	}
	early := 0
	for i := range 80 {
		l, w := newAtPosition(i)
		if w.advance(l, second/2); hasPolled(w) {
			early++
		}
		if w.advance(l, 5*second); !hasPolled(w) {
			t.Fatalf("limiter %d has not asked after 5 s", i)
		}
	}
	if early < 6 || early > 10 { // a tenth of 5 s, a tenth of 80
		t.Fatalf("%d of 80 asked in the first half second", early)
	}
	l, w := newAtPosition(1)
	config := *l.config
	config.Discovery = "disco 2"
	l.Step(0, ConfigReloaded{Config: &config})
	if w.dialed[w.last] != "disco 2" {
		t.Fatal("not asked at once where it moved to")
	}
}
