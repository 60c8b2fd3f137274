package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestShutdownAfterSuspension: a process that is suspended during its shutdown and resumes long after its shutdown
// deadline still reads the data that arrived meanwhile before it ends.
func TestShutdownAfterSuspension(t *testing.T) {
	l, w := newTestLimiter(t)
	l.Step(0, ShutdownRequested{})
	w.advance(l, shutdownLinger/2)
	resumedAt := 10 * second
	l.Step(resumedAt, TimersDue{})
	require.False(t, l.Overdue() || l.Finished(), "commands of clients are still unread")
	w.receive(l, resumedAt, clientConn, "*1\r\n$4\r\nPING\r\n")
	requireText(t, w.wrote[clientConn], "+PONG\r\n")
	w.advance(l, resumedAt+l.settings.DialTimeout/timerBlockDivisor+1)
	require.True(t, l.Overdue() && l.Finished())
}
