package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A process that stands still behind SIGTERM, until long after it should have ended, reads what has come meanwhile
// before it ends.
func TestLateWoken(t *testing.T) {
	l, w := newTestLimiter(t)
	l.Step(0, ShutdownRequested{})
	w.pass(l, shutdownLinger/2)
	woken := 10 * second
	l.Step(woken, TimersDue{})
	require.False(t, l.Overdue() || l.Finished(), "clients' commands are unread")
	w.say(l, woken, clientConn, "*1\r\n$4\r\nPING\r\n")
	requireText(t, w.wrote[clientConn], "+PONG\r\n")
	w.pass(l, woken+l.settings.DialTimeout/timerBlockDivisor+1)
	require.True(t, l.Overdue() && l.Finished())
}
