package limiter

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/pollpacer"
)

const (
	// inServiceList and drainingList are the lists before and after the change.
	inServiceList = `{"generation":7,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","lifecycle":"in_service"}]}`
	drainingList  = `{"generation":8,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","lifecycle":"terminating"}]}`
)

// listService simulates discovery on a virtual clock. At changeAt its one server begins to drain.
type listService struct {
	changeAt, faultUntil int64 // nanoseconds; the fault ends at faultUntil
	// fault returns the answer to a call during the fault: "" for none, "end" for a reset. Nil means no fault.
	fault func(call int) (answer string)
	// ignoresDial tells whether a dial during the fault is never answered. Nil means that none is.
	ignoresDial  func(dial int) bool
	closesConns  bool // connections are closed after each answer
	calls, dials int  // how many there were
	serviceConns map[ConnID]*serviceConn
}

// serviceConn is a connection to the simulated discovery.
type serviceConn struct {
	readBytes    int   // how much of what the limiter wrote was read
	answerAt     int64 // when the pending call is answered at the latest; 0 if there is none
	awaitsChange bool  // the pending call is answered as soon as the list has changed
}

// watchQuery matches the generation and the hold time in the query of a watch.
var watchQuery = regexp.MustCompile(`from=(\d+)&hold_ms=(\d+)`)

// run runs the limiter until it has applied the change, and returns when it did; end if it did not.
func (d *listService) run(l *Limiter, w *fakeSockets, end int64) int64 {
	d.serviceConns = map[ConnID]*serviceConn{discoveryConn: {}}
	seen := discoveryConn
	for now := int64(0); now < end; now += second / 200 {
		for w.timerAt <= now {
			l.Step(now, TimersDue{})
		}
		for seen++; seen <= w.last; seen++ {
			if !strings.HasPrefix(w.dialed[seen], "disco") {
				continue
			}
			d.dials++
			if now >= d.faultUntil || d.ignoresDial == nil || !d.ignoresDial(d.dials) {
				d.serviceConns[seen] = &serviceConn{}
				l.Step(now, Connected{Conn: seen})
			}
		}
		seen = w.last
		for id := ConnID(1); id <= w.last; id++ {
			if h := d.serviceConns[id]; h != nil && !slices.Contains(w.closed, id) {
				d.serve(l, w, now, id, h)
			}
		}
		if p := l.servers.pools["s"]; p == nil || p.draining {
			return now
		}
	}
	return end
}

// serve reads a call and answers the pending call if that is due.
func (d *listService) serve(l *Limiter, w *fakeSockets, now int64, id ConnID, h *serviceConn) {
	if request := w.wrote[id][h.readBytes:]; request != "" {
		h.readBytes = len(w.wrote[id])
		d.calls++
		if d.calls > 1 && now < d.faultUntil && d.fault != nil {
			if answer := d.fault(d.calls); answer == "end" {
				l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
				delete(d.serviceConns, id)
			} else if answer != "" {
				w.receive(l, now, id, answer)
			}
			return
		}
		h.answerAt, h.awaitsChange = max(now, 1), true
		if match := watchQuery.FindStringSubmatch(request); match != nil && d.calls > 1 {
			hold, _ := strconv.ParseInt(match[2], 10, 64)
			h.awaitsChange = match[1] == "7"
			h.answerAt += hold * 1e6
		}
	}
	changed := now >= d.changeAt && h.awaitsChange && d.calls > 1
	if h.answerAt == 0 || now < h.answerAt && !changed {
		return
	}
	h.answerAt = 0
	body := `{"generation":7,"instances":[]}`
	switch {
	case changed:
		body = drainingList
	case d.calls == 1:
		body = inServiceList
	}
	w.receive(l, now, id, httpAnswer(body))
	if d.closesConns {
		l.Step(now, ConnClosed{Conn: id, Reason: PeerClosed})
		delete(d.serviceConns, id)
	}
}

// TestDiscoveryFaults: a server begins to drain while discovery is faulty. Whatever the fault, the change is applied
// before the limiter counts as notified: if discovery is polled every 10 s, within 12 s of a held call that is not
// answered and within 6 s of any other fault; if changes are pushed, within 6 s of a watch that is not answered, and
// otherwise within the drain grace from when the local discovery agent answers again.
func TestDiscoveryFaults(t *testing.T) {
	const timeLimit = 60 * second
	silent := func(int) string { return "" }
	throttled := func(int) string { return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" }
	secondCall := func(answer string, later func(int) string) func(int) string {
		return func(call int) string {
			if call == 2 {
				return answer
			}
			return later(call)
		}
	}
	reset := func(int) string { return "end" }
	invalidList := func(int) string { return httpAnswer("{}") }
	firstDial := func(dial int) bool { return dial == 1 }
	const earlyHints = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for _, c := range []struct {
		name               string
		service            listService
		polledBy, pushedBy int64 // when the change must be applied at the latest, nanoseconds; 0 skips the mode
	}{
		{"an unanswered watch and an unanswered dial",
			listService{fault: silent, ignoresDial: firstDial, faultUntil: 2 * second}, 0, 6 * second},
		{"the same for longer",
			listService{fault: silent, ignoresDial: firstDial, faultUntil: 111 * second / 10}, 12 * second, 0},
		{"a truncated answer",
			listService{fault: secondCall(httpAnswer(drainingList)[:90], silent), faultUntil: second / 3}, second, second},
		{"an informational response without an answer",
			listService{fault: secondCall(earlyHints, silent), faultUntil: second}, 12 * second, 6 * second},
		{"throttled for 3 s", listService{fault: throttled, faultUntil: 3 * second}, 6 * second, 3*second + second/4},
		{"throttled once", listService{fault: throttled, faultUntil: second / 10}, 6 * second, second / 3},
		{"resets for 3 s", listService{fault: reset, faultUntil: 3 * second}, 6 * second, 3*second + second/4},
		{"invalid lists for 4 s", listService{fault: invalidList, faultUntil: 4 * second}, 6 * second, 4*second + second/4},
		{"an empty list at the end of the hold time", listService{changeAt: 41 * second / 4}, 11 * second, 21 * second / 2},
		{"closed after each answer",
			listService{closesConns: true, changeAt: 41 * second / 4}, 11 * second, 21 * second / 2},
	} {
		for _, mode := range []struct{ pollInterval, by int64 }{{10 * second, c.polledBy}, {0, c.pushedBy}} {
			for position := range 24 {
				if mode.by == 0 {
					continue
				}
				l, w := newPollingLimiter(t, mode.pollInterval, 0)
				l.discovery.pacer = pollpacer.New(0, l.settings.DialTimeout, position, mode.pollInterval)
				service := c.service
				service.changeAt = max(service.changeAt, 1)
				require.LessOrEqual(
					t,
					service.run(l, w, timeLimit),
					mode.by,
					"%s: polled every %d s, limiter %d",
					c.name,
					mode.pollInterval/second,
					position,
				)
			}
		}
	}
}

// TestDiscoveryAddressChange: the discovery service at the new address has generations of its own, and the address may
// change again before the first new address has answered.
func TestDiscoveryAddressChange(t *testing.T) {
	for _, pollInterval := range []int64{0, 10 * second} {
		for _, changes := range []int{1, 2} {
			for _, fault := range []string{"", "silent", "no dial"} {
				l, w := newPollingLimiter(t, pollInterval, 0)
				w.receive(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "41", 1)))
				for i := range changes {
					config := *l.config
					config.Discovery = fmt.Sprint("disco ", i+2)
					l.Step(int64(i)*second/10, ConfigReloaded{Config: &config})
				}
				l.Step(second/10, TimersDue{})
				service := listService{changeAt: 1, faultUntil: second / 2, calls: 1}
				switch fault {
				case "silent":
					service.fault = func(int) string { return "" }
				case "no dial":
					service.ignoresDial = func(dial int) bool { return dial == changes+1 }
				}
				at := service.run(l, w, 9*second)
				require.True(
					t,
					at <= 4*second && l.discovery.version == 8,
					"%d changes of address, fault %q, polled every %d s: applied after %d ns, version %d",
					changes,
					fault,
					pollInterval/second,
					at,
					l.discovery.version,
				)
			}
		}
	}
}

// TestGenerationDecreases: an answer with a lower generation than the known one comes from a discovery service that has
// restarted, so the complete list is requested.
func TestGenerationDecreases(t *testing.T) {
	l, w := newTestLimiter(t)
	w.receive(l, 0, discoveryConn, httpAnswer(`{"generation":3,"reset":false,"instances":[]}`))
	require.Regexp(t, "GET /discovery/hosts HTTP/1.1\r\nHost: disco\r\n\r\n$", w.wrote[discoveryConn])
}
