package limiter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSlowestReaderClosed: what clients do not read passes what may wait. The one that holds the most is closed, not the
// one that happens to be answered just then: its answer is still on its way, and another client's trouble must not cost it
// that.
func TestSlowestReaderClosed(t *testing.T) {
	l, w := newTestLimiter(t)
	const slowest, other = clientConn + 1, clientConn + 2
	l.config.Memory = 8 * bufferMemoryDivisor << 10 // so 8 KiB may wait
	for _, id := range []ConnID{slowest, other} {
		l.Step(0, ClientAccepted{Conn: id})
		w.kernelAccepted[id] = 0 // its machine takes nothing
	}
	ping := "*1\r\n$4\r\nPING\r\n"
	w.receive(l, 0, slowest, strings.Repeat(ping, 341))
	require.NotContains(t, w.closed, slowest, "what waits is still within bounds")
	w.receive(l, 0, other, ping)
	require.Contains(t, w.closed, slowest)
	require.NotContains(t, w.closed, other)
	require.Equal(t, 1, l.stats.inputErrors.slowReaders)
	require.Contains(t, w.wrote[other], "-LOADING")
	w.receive(l, 0, other, ping)
	require.NotContains(t, w.closed, other)
}
