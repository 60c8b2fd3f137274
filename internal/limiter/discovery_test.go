package limiter

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"ospreycroft/choice"
)

// httpAnswer returns a response of discovery with the given body.
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
	t.Run("a new connection is opened if the watch's connection is closed", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		l.Step(0, ConnClosed{Conn: discoveryConn, Reason: PeerClosed})
		if w.dialed[w.last] != "disco" || w.last == discoveryConn {
			t.Fatalf("dialled %v", w.dialed)
		}
	})
	t.Run("a watch that is not answered is repeated on a new connection", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		w.advance(l, 3*second/2)
		l.Step(3*second/2, Connected{Conn: w.last})
		if !slices.Contains(w.closed, discoveryConn) || !strings.Contains(w.wrote[w.last], "from=7&") {
			t.Fatalf("closed %v, wrote %q", w.closed, w.wrote[w.last])
		}
	})
	t.Run("an informational response before the answer is skipped", func(t *testing.T) {
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
	t.Run("an invalid list is rejected and the complete list requested", func(t *testing.T) {
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

// TestLogOutcomes: outcomes are counted, and logging them resets the counts.
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
		t.Fatalf("%+v after logging", l.stats.outcomes)
	}
}

// TestThrottledPolls: after a throttled poll the limiter keeps its list and polls again only after a pause.
func TestThrottledPolls(t *testing.T) {
	l, w := newPollingLimiter(t, 10*second, 0)
	w.receive(l, 0, discoveryConn, httpAnswer(knownList))
	w.receive(l, 0, discoveryConn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	dialled := len(w.dialed)
	w.advance(l, second/2)
	if len(w.dialed) != dialled || !slices.Contains(w.closed, discoveryConn) || len(l.servers.pools) != 1 {
		t.Fatalf(
			"polled again at once: dialled %v, closed %v, %d servers",
			w.dialed,
			w.closed,
			len(l.servers.pools),
		)
	}
	t.Run("but at once if discovery's address changes", func(t *testing.T) {
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
			t.Fatalf("the pause from the old address is still in effect: %v", w.dialed)
		}
	})
	for len(w.dialed) == dialled && l.now < 6*second {
		w.advance(l, w.timerAt)
	}
	l.Step(l.now, Connected{Conn: w.last})
	if !strings.Contains(w.wrote[w.last], "from=7&") {
		t.Fatalf("the poll does not ask for changes since the known version: %q", w.wrote[w.last])
	}
}

// TestPolledDiscovery: where discovery is polled, the first polls are spread over the fleet. A change of the address
// before the first poll makes the limiter poll at once.
func TestPolledDiscovery(t *testing.T) {
	newAtPosition := func(position int) (*Limiter, *fakeSockets) {
		template, w := newTestLimiter(t)
		config := *template.config
		configSettings := *config.Settings
		controllerSettings := *configSettings.Settings
		controllerSettings.Limiters, controllerSettings.Position, configSettings.PollInterval, configSettings.Settings,
			config.Settings = 80, position, 10*second, &controllerSettings, &configSettings
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
			t.Fatalf("limiter %d has not polled after 5 s", i)
		}
	}
	if early < 6 || early > 10 { // 0.5 s is a tenth of the 5 s, so about a tenth of 80
		t.Fatalf("%d of 80 polled in the first half second", early)
	}
	l, w := newAtPosition(1)
	config := *l.config
	config.Discovery = "disco 2"
	l.Step(0, ConfigReloaded{Config: &config})
	if w.dialed[w.last] != "disco 2" {
		t.Fatal("the new address was not polled at once")
	}
}
