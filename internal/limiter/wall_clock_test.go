package limiter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
)

const hour = 3600 * second

// TestServerStartAfterWallClockStep: a list tells of a server that has just started, by a wall clock that was stepped since
// the limiter started. The server warms up over the settings' span of real time, from now on: not as one that started an
// hour ago, and not for an hour.
func TestServerStartAfterWallClockStep(t *testing.T) {
	for _, step := range []int64{0, -hour, hour, -5 * second, 5 * second} {
		for _, stampedAfterStep := range []bool{true, false} {
			t.Run(fmt.Sprintf("step %d s, stamped behind it %v", step/second, stampedAfterStep), func(t *testing.T) {
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
				require.GreaterOrEqual(t, at, now-6*second, "it is taken for warmer than it is")
				l.now += 5 * second
				w.wallStep = 0
				require.Equal(t, at, applyStart(), "the same start, told again, is no new one")
			})
		}
	}
}

// TestServerStartBeforeSteppedLimiter: the limiter itself was started behind a step of its machine's clock, so that its own
// clock is off by the step. A server that a change of the list names is cold all the same: by the list service's clock
// where that is told, else since the list did not name it before.
func TestServerStartBeforeSteppedLimiter(t *testing.T) {
	for _, step := range []int64{hour, -hour} {
		for _, serviceTells := range []bool{true, false} {
			t.Run(fmt.Sprintf("step %d s, service tells %v", step/second, serviceTells), func(t *testing.T) {
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

// TestClockStepDetectedLater: the first list is the configuration's, and the list service's answer shows only then that the
// limiter's clock is an hour ahead. A start that was taken for an old one is corrected.
func TestClockStepDetectedLater(t *testing.T) {
	l, _ := newTestLimiter(t)
	l.now = 2 * hour
	p := &serverPool{}
	told := l.now - hour - 3*second
	clock := l.discovery.startClock(false)
	require.Equal(t, told, p.observeStart(told, &clock))
	l.discovery.serviceClock = l.now - hour
	clock = l.discovery.startClock(true)
	require.Equal(t, l.now-3*second, p.observeStart(told, &clock))
}

// TestServerStartWithoutClockStep: without a step a start keeps the time that was told, however late the list tells
// it, and 0 means long ago.
func TestServerStartWithoutClockStep(t *testing.T) {
	l, _ := newTestLimiter(t)
	l.now = 2 * hour
	l.discovery.confirmedAt = l.now - second
	l.discovery.serviceClock = l.now - second/2
	clock := l.discovery.startClock(true)
	require.Equal(t, hour, clock.toLocal(hour))
	require.Equal(t, l.now+second/2, clock.toLocal(l.now+second/2), "the clocks of two machines are never quite alike")
	require.Zero(t, (&serverPool{}).observeStart(0, &clock))
}
