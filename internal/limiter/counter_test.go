package limiter

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
)

// TestLateCounterReply: a late answer of the counter must not be matched to the next call.
func TestLateCounterReply(t *testing.T) {
	l, w := newTestLimiter(t)
	w.receive(l, 0, clientConn, command("j", "read", "480"))
	w.advance(l, second/20)
	first := l.counter.conns[0].calls[0]
	if !first.answered {
		t.Fatal("an unanswered call did not time out")
	}
	l.AddToCounter(first.name, 3, second)
	if used, err := l.counter.conns[0].onData([]byte("ok 2\r\n")); used != 6 || err != nil || len(l.results) != 0 {
		t.Fatalf("used %d, error %v, queued results %+v", used, err, l.results)
	}
	if calls := l.counter.conns[0].calls; len(calls) != 1 || calls[0].answered || calls[0].amount != 3 {
		t.Fatalf("calls %+v", calls)
	}
	w.receive(l, second/20, counterConnID, "ok 5\r\n")
	if calls := l.counter.conns[0].calls; len(calls) != 0 {
		t.Fatalf("calls %+v", calls)
	}
}

func TestCounterConnections(t *testing.T) {
	t.Run("a call that timed out before it was written is not sent", func(t *testing.T) {
		l, w := newTestLimiter(t)
		l.Step(0, ConnClosed{Conn: counterConnID, Reason: PeerClosed})
		l.AddToCounter(1, 2, second)
		counterConn := w.last
		w.advance(l, second/20)
		l.Step(second/20, Connected{Conn: counterConn})
		requireText(t, w.wrote[counterConn], "")
	})
	t.Run("calls for one name use one connection, others are spread", func(t *testing.T) {
		l, _ := newTestLimiter(t)
		for _, name := range []uint64{1, 1, 2} {
			l.AddToCounter(name, 2, second)
		}
		if counterConns := l.counter.conns; len(counterConns) != 2 || len(counterConns[0].calls) != 2 {
			t.Fatalf("%d connections, %d calls on the first", len(counterConns), len(counterConns[0].calls))
		}
	})
	t.Run("an idle connection is pinged, a silent one closed", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.advance(l, 3*second)
		if !strings.HasSuffix(w.wrote[counterConnID], "ping\r\n") {
			t.Fatalf("wrote %q", w.wrote[counterConnID])
		}
		w.advance(l, 5*second)
		if !slices.Contains(w.closed, counterConnID) {
			t.Fatalf("closed %v", w.closed)
		}
	})
	// Logging each failed call wrote one line for each request while the counter was overloaded.
	t.Run("logged as down after silentTimeouts without an answer, as up with the first answer", func(t *testing.T) {
		l, w := newTestLimiter(t)
		for _, c := range []struct {
			at   int64
			down bool
		}{
			{0, false},
			{silentTimeouts * l.settings.CounterTimeout, false},
			{silentTimeouts*l.settings.CounterTimeout + 1, true},
		} {
			l.now = c.at
			if l.counter.finishCall(&counterCall{}, choice.TimedOut, 0); l.counter.loggedDown != c.down {
				t.Fatalf("down %v after %d ns", l.counter.loggedDown, c.at)
			}
		}
		l.AddToCounter(1, 2, second)
		if w.receive(l, l.now, counterConnID, "ok 2\r\n"); l.counter.loggedDown {
			t.Fatal("the counter is still logged as down after an answer")
		}
	})
	t.Run("a malformed answer closes the connection", func(t *testing.T) {
		l, w := newTestLimiter(t)
		l.AddToCounter(1, 2, second)
		w.receive(l, 0, counterConnID, "okay\r\n")
		if !slices.Contains(w.closed, counterConnID) || len(l.counter.conns) != 0 {
			t.Fatalf("closed %v", w.closed)
		}
	})
}

// TestManyCounterCalls guards against calls to the counter that cost more the more are in flight, when thousands of
// requests come at once: the reducer must not be held for more than its share of half a second among sixteen clients.
func TestManyCounterCalls(t *testing.T) {
	const longestStep = 500 * time.Millisecond / 16
	l, w := newTestLimiter(t)
	w.discard = true
	name := uint64(0)
	call := func(count int) {
		for range count {
			name++
			l.AddToCounter(name, 1, second)
		}
	}
	call(50000)
	shortest := time.Duration(math.MaxInt64) // of several, as the machine may hold up some
	for range 5 {
		began := time.Now()
		call(1000)
		shortest = min(shortest, time.Since(began))
	}
	require.Less(t, shortest, longestStep)
	began := time.Now()
	w.advance(l, second/10) // all time out, those on connections that are not up are removed
	require.Less(t, time.Since(began), 20*longestStep)
	require.False(t, l.counter.hasPendingCalls())
}
