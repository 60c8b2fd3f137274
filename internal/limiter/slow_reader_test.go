package limiter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
)

// TestSlowestReaderClosed: answers that clients do not read exceed the memory limit. The client with the most unread
// bytes is closed, not the one that is being answered when the limit is exceeded.
func TestSlowestReaderClosed(t *testing.T) {
	l, w := newTestLimiter(t)
	const slowest, other = clientConn + 1, clientConn + 2
	l.config.Memory = 8 * choice.MemoryParts << 10 // so that 8 KiB may be unread
	for _, id := range []ConnID{slowest, other} {
		l.Step(0, ClientAccepted{Conn: id})
		w.kernelAccepted[id] = 0 // the kernel accepts no bytes
	}
	ping := "*1\r\n$4\r\nPING\r\n"
	w.receive(l, 0, slowest, strings.Repeat(ping, 341))
	require.NotContains(t, w.closed, slowest, "closed below the limit")
	w.receive(l, 0, other, ping)
	require.Contains(t, w.closed, slowest)
	require.NotContains(t, w.closed, other)
	require.Equal(t, 1, l.stats.inputErrors.slowReaders)
	require.Contains(t, w.wrote[other], "-LOADING")
	w.receive(l, 0, other, ping)
	require.NotContains(t, w.closed, other)
}
