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
	before = `{"generation":7,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","lifecycle":"in_service"}]}`
	after  = `{"generation":8,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","lifecycle":"terminating"}]}`
)

// listService is a stand-in for discovery, on a virtual clock. At the change its one server begins to drain.
type listService struct {
	change, until int64                        // the fault is over then
	fault         func(call int) (says string) // what a call is answered while it lasts
	noDial        func(dial int) bool          // a dial that is never answered while it lasts
	closes        bool                         // it closes connections behind its answers
	calls, dials  int
	open          map[ConnID]*held
}

type held struct {
	wrote int
	due   int64 // when the call that waits is answered, 0 if none does
	whole bool
}

var asksFor = regexp.MustCompile(`from=(\d+)&hold_ms=(\d+)`)

// play runs the limiter until it has acted on the change, and tells when that was.
func (d *listService) play(l *Limiter, w *fakeSockets, end int64) int64 {
	d.open = map[ConnID]*held{discoveryConn: {}}
	seen := discoveryConn
	for now := int64(0); now < end; now += second / 200 {
		for w.wake <= now {
			l.Step(now, TimersDue{})
		}
		for seen++; seen <= w.last; seen++ {
			if !strings.HasPrefix(w.dialed[seen], "disco") {
				continue
			}
			d.dials++
			if now >= d.until || d.noDial == nil || !d.noDial(d.dials) {
				d.open[seen] = &held{}
				l.Step(now, Connected{Conn: seen})
			}
		}
		seen = w.last
		for id := ConnID(1); id <= w.last; id++ {
			if h := d.open[id]; h != nil && !slices.Contains(w.closed, id) {
				d.serve(l, w, now, id, h)
			}
		}
		if p := l.servers.pools["s"]; p == nil || p.draining {
			return now
		}
	}
	return end
}

func (d *listService) serve(l *Limiter, w *fakeSockets, now int64, id ConnID, h *held) {
	if asked := w.wrote[id][h.wrote:]; asked != "" {
		h.wrote = len(w.wrote[id])
		d.calls++
		if d.calls > 1 && now < d.until && d.fault != nil {
			if says := d.fault(d.calls); says == "end" {
				l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
				delete(d.open, id)
			} else if says != "" {
				w.say(l, now, id, says)
			}
			return
		}
		h.due, h.whole = max(now, 1), true
		if m := asksFor.FindStringSubmatch(asked); m != nil && d.calls > 1 {
			hold, _ := strconv.ParseInt(m[2], 10, 64)
			h.whole = m[1] == "7"
			h.due += hold * 1e6
		}
	}
	news := now >= d.change && h.whole && d.calls > 1
	if h.due == 0 || now < h.due && !news {
		return
	}
	h.due = 0
	body := `{"generation":7,"instances":[]}`
	switch {
	case news:
		body = after
	case d.calls == 1:
		body = before
	}
	w.say(l, now, id, httpAnswer(body))
	if d.closes {
		l.Step(now, ConnClosed{Conn: id, Reason: PeerClosed})
		delete(d.open, id)
	}
}

// TestSilence has a server drain while discovery misbehaves. Whatever the fault, the word is acted on before it counts
// as told: asked every 10 s, 12 s after a call that waits fell silent and 6 s after any other; pushed, 6 s after a
// watch fell silent, and otherwise within the grace of a server's drain from when the agent on the own machine
// answers.
func TestSilence(t *testing.T) {
	const never = 60 * second
	silent := func(int) string { return "" }
	turned := func(int) string { return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" }
	first := func(says string, then func(int) string) func(int) string {
		return func(call int) string {
			if call == 2 {
				return says
			}
			return then(call)
		}
	}
	ends := func(int) string { return "end" }
	noList := func(int) string { return httpAnswer("{}") }
	again := func(dial int) bool { return dial == 1 }
	const hints = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for _, c := range []struct {
		name          string
		d             listService
		asked, pushed int64 // by when it is acted on, 0 where it is not played
	}{
		{"a silent watch, and a dial that is never answered", listService{fault: silent, noDial: again, until: 2 * second}, 0, 6 * second},
		{"the same, long", listService{fault: silent, noDial: again, until: 111 * second / 10}, 12 * second, 0},
		{"half an answer", listService{fault: first(httpAnswer(after)[:90], silent), until: second / 3}, second, second},
		{"a status of 1xx and no more", listService{fault: first(hints, silent), until: second}, 12 * second, 6 * second},
		{"turned away for 3 s", listService{fault: turned, until: 3 * second}, 6 * second, 3*second + second/4},
		{"turned away once", listService{fault: turned, until: second / 10}, 6 * second, second / 3},
		{"broken off for 3 s", listService{fault: ends, until: 3 * second}, 6 * second, 3*second + second/4},
		{"no list for 4 s", listService{fault: noList, until: 4 * second}, 6 * second, 4*second + second/4},
		{"an empty list when the wait is over", listService{change: 41 * second / 4}, 11 * second, 21 * second / 2},
		{"closed behind each answer", listService{closes: true, change: 41 * second / 4}, 11 * second, 21 * second / 2},
	} {
		for _, mode := range []struct{ every, by int64 }{{10 * second, c.asked}, {0, c.pushed}} {
			for position := range 24 {
				if mode.by == 0 {
					continue
				}
				l, w := newPollingLimiter(t, mode.every, 0)
				l.discovery.pacer = pollpacer.New(0, l.settings.DialTimeout, position, mode.every)
				d := c.d
				d.change = max(d.change, 1)
				require.LessOrEqual(
					t,
					d.play(l, w, never),
					mode.by,
					"%s: asked every %d s, limiter %d",
					c.name,
					mode.every/second,
					position,
				)
			}
		}
	}
}

// The new discovery counts otherwise, and a second move may come before the first one has brought anything.
func TestSilenceMoved(t *testing.T) {
	for _, every := range []int64{0, 10 * second} {
		for _, moves := range []int{1, 2} {
			for _, fault := range []string{"", "silent", "no dial"} {
				l, w := newPollingLimiter(t, every, 0)
				w.say(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "41", 1)))
				for i := range moves {
					config := *l.config
					config.Discovery = fmt.Sprint("disco ", i+2)
					l.Step(int64(i)*second/10, ConfigReloaded{Config: &config})
				}
				l.Step(second/10, TimersDue{})
				d := listService{change: 1, until: second / 2, calls: 1}
				switch fault {
				case "silent":
					d.fault = func(int) string { return "" }
				case "no dial":
					d.noDial = func(dial int) bool { return dial == moves+1 }
				}
				at := d.play(l, w, 9*second)
				require.True(
					t,
					at <= 4*second && l.discovery.version == 8,
					"%d moves, %q, asked every %d s: acted on after %d ns, version %d",
					moves,
					fault,
					every/second,
					at,
					l.discovery.version,
				)
			}
		}
	}
}

// An answer of changes that counts lower than what is held is of a discovery that has begun anew.
func TestCountsAnew(t *testing.T) {
	l, w := newTestLimiter(t)
	w.say(l, 0, discoveryConn, httpAnswer(`{"generation":3,"reset":false,"instances":[]}`))
	require.Regexp(t, "GET /discovery/hosts HTTP/1.1\r\nHost: disco\r\n\r\n$", w.wrote[discoveryConn])
}
