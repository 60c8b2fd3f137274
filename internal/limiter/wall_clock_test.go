package limiter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
)

const hour = 3600 * second

// TestServerStartAfterWallClockStep: a list reports a server that has just started, by a wall clock that was stepped
// since the limiter started. The server must warm up over the slow start window of real time: it must neither count as
// started an hour ago nor warm up for an hour.
func TestServerStartAfterWallClockStep(t *testing.T) {
	for _, step := range []int64{0, -hour, hour, -5 * second, 5 * second} {
		for _, stampedAfterStep := range []bool{true, false} {
			t.Run(fmt.Sprintf("step %d s, stamped after it %v", step/second, stampedAfterStep), func(t *testing.T) {
				l, w := newTestLimiter(t)
				const now = 2 * hour
				l.now = now
				w.wallStep = step
				started := now - second
				if stampedAfterStep {
					started += step
				}
				applyStart := func() int64 {
					list := &discovery.List{Version: 9, Endpoints: []discovery.Endpoint{{Address: "127.0.0.1:8"}}}
					list.Endpoints[0].ID = "new"
					list.Endpoints[0].StartedAt = started
					l.discovery.applyList(list, coldstart.ListReceived)
					return l.servers.pools["new"].startedAt
				}
				at := applyStart()
				require.LessOrEqual(t, at, now)
				require.GreaterOrEqual(t, at, now-6*second, "the start counts as earlier than it was")
				l.now += 5 * second
				w.wallStep = 0
				require.Equal(t, at, applyStart(), "the same start, reported again, has changed")
			})
		}
	}
}

// TestServerStartBeforeSteppedLimiter: the limiter started after its machine's clock was stepped, so its own clock is
// off by the step. A server that a list newly names still counts as cold: by discovery's clock if that is known,
// otherwise because earlier lists did not name it.
func TestServerStartBeforeSteppedLimiter(t *testing.T) {
	for _, step := range []int64{hour, -hour} {
		for _, serviceTells := range []bool{true, false} {
			t.Run(fmt.Sprintf("step %d s, discovery's clock known %v", step/second, serviceTells), func(t *testing.T) {
				l, _ := newTestLimiter(t)
				l.now = 2 * hour
				w := &l.discovery
				w.confirmedAt = l.now - second
				if serviceTells {
					w.serviceClock = (l.now - step) / second * second
				}
				clock := w.startClock(true)
				p := &serverPool{}
				started := p.observeStart(l.now-step-2*second, &clock)
				require.LessOrEqual(t, started, l.now)
				require.GreaterOrEqual(t, started, l.now-maxListDelay-2*second)
			})
		}
	}
}

// TestClockStepDetectedLater: the first list is the configuration's, and only the answer of discovery shows that the
// limiter's clock is an hour ahead. A start that counted as old must be corrected then.
func TestClockStepDetectedLater(t *testing.T) {
	l, _ := newTestLimiter(t)
	l.now = 2 * hour
	p := &serverPool{}
	reported := l.now - hour - 3*second
	clock := l.discovery.startClock(false)
	require.Equal(t, reported, p.observeStart(reported, &clock))
	l.discovery.serviceClock = l.now - hour
	clock = l.discovery.startClock(true)
	require.Equal(t, l.now-3*second, p.observeStart(reported, &clock))
}

// TestServerStartWithoutClockStep: without a step a start keeps its reported time, however late it is reported, and 0
// means long ago.
func TestServerStartWithoutClockStep(t *testing.T) {
	l, _ := newTestLimiter(t)
	l.now = 2 * hour
	l.discovery.confirmedAt = l.now - second
	l.discovery.serviceClock = l.now - second/2
	clock := l.discovery.startClock(true)
	require.Equal(t, hour, clock.toLocal(hour))
	require.Equal(t, l.now+second/2, clock.toLocal(l.now+second/2), "the clocks of two machines may differ slightly")
	require.Zero(t, (&serverPool{}).observeStart(0, &clock))
}
