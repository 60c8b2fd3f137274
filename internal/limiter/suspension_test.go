package limiter

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A process that stood still has old timers, old requests and an old list.
func TestSuspended(t *testing.T) {
	drains := httpAnswer(strings.Replace(strings.Replace(knownList, "7", "8", 1), "in_service", "terminating", 1))
	nothing := httpAnswer(`{"generation":7,"instances":[]}`)
	woken := 10 * second
	servers := func(w *fakeSockets) (n int) {
		for _, address := range w.dialed {
			if address == "127.0.0.1:9" {
				n++
			}
		}
		return n
	}
	// asked wakes the limiter with the bytes and lets it take the new request at the counter.
	asked := func(t *testing.T, left string) (*Limiter, *fakeSockets) {
		l, w := newTestLimiter(t)
		w.say(l, 0, discoveryConn, httpAnswer(knownList))
		w.say(l, woken, clientConn, command("k", "read", left))
		w.say(l, woken, counterConnID, "ok 2\r\n")
		return l, w
	}
	hear := func(l *Limiter, w *fakeSockets, text string) {
		id := l.discovery.conn.id
		l.Step(woken+1, Connected{Conn: id})
		require.True(t, strings.Contains(w.wrote[id], "from=7&hold_ms=1 "), "wrote %q", w.wrote[id])
		w.say(l, woken+1, id, text)
	}
	t.Run("a request whose client has waited for longer is not sent", func(t *testing.T) {
		_, w := asked(t, "9999")
		requireText(t, w.wrote[clientConn], "-BUSY 250\r\n")
	})
	t.Run("others have what is left, and nothing is sent before the list is heard", func(t *testing.T) {
		l, w := asked(t, "10480")
		require.True(t, servers(w) == 0 && l.requests.byID["k"].deadline == woken+480*second/1000,
			"%d dials, deadline %d", servers(w), l.requests.byID["k"].deadline)
		hear(l, w, nothing)
		require.True(t, servers(w) == 1, "%d dials", servers(w))
	})
	t.Run("nor at all where its server drains", func(t *testing.T) {
		l, w := asked(t, "10480")
		hear(l, w, drains)
		if servers(w) != 0 || len(l.requests.byID) != 0 || !strings.HasPrefix(w.wrote[clientConn], "-BUSY") {
			t.Fatalf("%d dials, %d requests, client got %q", servers(w), len(l.requests.byID), w.wrote[clientConn])
		}
	})
	t.Run("a list service that is down stops nothing", func(t *testing.T) {
		l, w := asked(t, "10480")
		w.pass(l, woken+l.settings.DialTimeout)
		require.True(t, servers(w) == 1, "%d dials", servers(w))
	})
	t.Run("one that is asked is asked anew after 2 s only", func(t *testing.T) {
		for _, c := range []struct {
			slept int64
			anew  bool
		}{{second, false}, {2 * second, true}} {
			l, w := newPollingLimiter(t, 10*second, 0)
			w.say(l, 0, discoveryConn, nothing)
			l.Step(c.slept, TimersDue{})
			require.True(t, slices.Contains(w.closed, discoveryConn) == c.anew && l.suspension.listMayBeStale == true,
				"closed %v after %d", w.closed, c.slept)
			w.pass(l, c.slept+l.settings.DialTimeout)
			require.False(t, l.suspension.listMayBeStale, "it never trusts the list again")
		}
	})
	t.Run("what came meanwhile is read before timers run", func(t *testing.T) {
		l, w, id := requestSent(t, "write")
		l.Step(woken, TimersDue{})
		w.say(l, woken, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n")
	})
	t.Run("an attempt decided on before is not sent", func(t *testing.T) {
		l, w, id := requestDiallingFor(t, "read", "20000")
		l.Step(woken, Connected{Conn: id})
		requireText(t, w.wrote[id], "")
	})
	t.Run("a repeat past the window in which servers know it is not sent", func(t *testing.T) {
		l, w, id := requestDialling(t, "read")
		q := l.requests.byID["j"]
		q.deduplicationWindow, q.attempts = second/5, []*attempt{{request: q, decidedAt: 0, endOffset: 1}, q.attempts[0]}
		q.attempts[1].number = 1
		l.Step(second/5, Connected{Conn: id})
		requireText(t, w.wrote[id], "")
	})
	t.Run("a cancelled attempt that waits for the list has ended", func(t *testing.T) {
		l, w := asked(t, "10480")
		l.Cancel("k", 0)
		hear(l, w, nothing)
		require.True(
			t,
			servers(w) <= 1 && (l.requests.byID["k"] == nil || !l.requests.byID["k"].attempts[0].open),
			"%d dials",
			servers(w),
		)
	})
}

// TestSuspendedWithPartOfACommand: the process has stood still while the kernel had only a part of an attempt. The
// rest would go out once the kernel has room, for a request whose time is over, and timers do not run yet: what has
// come meanwhile is read first. So the first step already breaks the attempt off, and leaves one that still has time.
func TestSuspendedWithPartOfACommand(t *testing.T) {
	for left, overdue := range map[string]bool{"1500": true, "9000": false} {
		t.Run(left, func(t *testing.T) {
			l, w, id := requestDiallingFor(t, "read", left)
			w.kernel[id] = 5
			l.Step(0, Connected{Conn: id})
			l.Step(2*second, DataReceived{Conn: clientConn + 1})
			require.Less(t, l.now, l.suspension.timersBlockedUntil)
			require.Equal(t, overdue, slices.Contains(w.closed, id))
		})
	}
}
