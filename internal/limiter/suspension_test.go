package limiter

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSuspended: when the process resumes from a suspension, its timers, the requests that it reads and its list are
// out of date.
func TestSuspended(t *testing.T) {
	draining := httpAnswer(strings.Replace(strings.Replace(knownList, "7", "8", 1), "in_service", "terminating", 1))
	unchanged := httpAnswer(`{"generation":7,"instances":[]}`)
	resumedAt := 10 * second
	serverDials := func(w *fakeSockets) (n int) {
		for _, address := range w.dialed {
			if address == "127.0.0.1:9" {
				n++
			}
		}
		return n
	}
	// requestAfterSuspension returns a limiter that resumed when it received a request, for which the counter granted
	// units.
	requestAfterSuspension := func(t *testing.T, timeLeft string) (*Limiter, *fakeSockets) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(knownList))
		w.receive(l, resumedAt, clientConn, command("k", "read", timeLeft))
		w.receive(l, resumedAt, counterConnID, "ok 2\r\n")
		return l, w
	}
	// answerPoll opens the connection to discovery and answers the poll.
	answerPoll := func(l *Limiter, w *fakeSockets, text string) {
		id := l.discovery.conn.id
		l.Step(resumedAt+1, Connected{Conn: id})
		require.True(t, strings.Contains(w.wrote[id], "from=7&hold_ms=1 "), "wrote %q", w.wrote[id])
		w.receive(l, resumedAt+1, id, text)
	}
	t.Run("a request whose deadline may have passed is not sent", func(t *testing.T) {
		_, w := requestAfterSuspension(t, "9999")
		requireText(t, w.wrote[clientConn], "-BUSY 250\r\n")
	})
	t.Run("other requests have the time that is left, and are deferred until the list is current", func(t *testing.T) {
		l, w := requestAfterSuspension(t, "10480")
		require.True(t, serverDials(w) == 0 && l.requests.byID["k"].deadline == resumedAt+480*second/1000,
			"%d dials, deadline %d", serverDials(w), l.requests.byID["k"].deadline)
		answerPoll(l, w, unchanged)
		require.True(t, serverDials(w) == 1, "%d dials", serverDials(w))
	})
	t.Run("a deferred request is rejected if its server drains", func(t *testing.T) {
		l, w := requestAfterSuspension(t, "10480")
		answerPoll(l, w, draining)
		if serverDials(w) != 0 || len(l.requests.byID) != 0 || !strings.HasPrefix(w.wrote[clientConn], "-BUSY") {
			t.Fatalf("%d dials, %d requests, client got %q", serverDials(w), len(l.requests.byID), w.wrote[clientConn])
		}
	})
	t.Run("an unavailable discovery service delays requests for a dial timeout only", func(t *testing.T) {
		l, w := requestAfterSuspension(t, "10480")
		w.advance(l, resumedAt+l.settings.DialTimeout)
		require.True(t, serverDials(w) == 1, "%d dials", serverDials(w))
	})
	t.Run("with polled discovery only a suspension of 2 s causes a new poll", func(t *testing.T) {
		for _, c := range []struct {
			suspendedFor int64
			pollsAnew    bool
		}{{second, false}, {2 * second, true}} {
			l, w := newPollingLimiter(t, 10*second, 0)
			w.receive(l, 0, discoveryConn, unchanged)
			l.Step(c.suspendedFor, TimersDue{})
			require.True(t, slices.Contains(w.closed, discoveryConn) == c.pollsAnew && l.suspension.listMayBeStale == true,
				"closed %v after %d ns", w.closed, c.suspendedFor)
			w.advance(l, c.suspendedFor+l.settings.DialTimeout)
			require.False(t, l.suspension.listMayBeStale, "the list still counts as stale")
		}
	})
	t.Run("data received during the suspension is read before timers run", func(t *testing.T) {
		l, w, id := requestSent(t, "write")
		l.Step(resumedAt, TimersDue{})
		w.receive(l, resumedAt, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n")
	})
	t.Run("an attempt decided before the suspension is not sent", func(t *testing.T) {
		l, w, id := requestDiallingFor(t, "read", "20000")
		l.Step(resumedAt, Connected{Conn: id})
		requireText(t, w.wrote[id], "")
	})
	t.Run("a retry after the deduplication window is not sent", func(t *testing.T) {
		l, w, id := requestDialling(t, "read")
		q := l.requests.byID["j"]
		q.deduplicationWindow, q.attempts = second/5, []*attempt{{request: q, decidedAt: 0, endOffset: 1}, q.attempts[0]}
		q.attempts[1].number = 1
		l.Step(second/5, Connected{Conn: id})
		requireText(t, w.wrote[id], "")
	})
	t.Run("a cancelled attempt that was deferred has ended", func(t *testing.T) {
		l, w := requestAfterSuspension(t, "10480")
		l.Cancel("k", 0)
		answerPoll(l, w, unchanged)
		require.True(
			t,
			serverDials(w) <= 1 && (l.requests.byID["k"] == nil || !l.requests.byID["k"].attempts[0].open),
			"%d dials",
			serverDials(w),
		)
	})
}

// TestSuspendedWithPartlyWrittenCommand: the process is suspended while the kernel has accepted only a part of an
// attempt. The rest would be sent once the kernel accepts more, although the request's deadline has passed, because
// timers run only after received data is read. The first step must therefore close the connection, but not that of an
// attempt with time left.
func TestSuspendedWithPartlyWrittenCommand(t *testing.T) {
	for timeLeft, overdue := range map[string]bool{"1500": true, "9000": false} {
		t.Run(timeLeft, func(t *testing.T) {
			l, w, id := requestDiallingFor(t, "read", timeLeft)
			w.kernelAccepted[id] = 5
			l.Step(0, Connected{Conn: id})
			l.Step(2*second, DataReceived{Conn: clientConn + 1})
			require.Less(t, l.now, l.suspension.timersBlockedUntil)
			require.Equal(t, overdue, slices.Contains(w.closed, id))
		})
	}
}
