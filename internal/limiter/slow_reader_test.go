package limiter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSlowestReaderMakesRoom: what clients do not read passes what may wait. The one that holds the most is closed, not the
// one that happens to be answered just then: its answer is still on its way, and another client's trouble must not cost it
// that.
func TestSlowestReaderMakesRoom(t *testing.T) {
	l, w := newTestLimiter(t)
	const hoarding, usual = clientConn + 1, clientConn + 2
	l.config.Memory = 8 * bufferMemoryDivisor << 10 // so 8 KiB may wait
	for _, id := range []ConnID{hoarding, usual} {
		l.Step(0, ClientAccepted{Conn: id})
		w.kernel[id] = 0 // its machine takes nothing
	}
	ping := "*1\r\n$4\r\nPING\r\n"
	w.say(l, 0, hoarding, strings.Repeat(ping, 341))
	require.NotContains(t, w.closed, hoarding, "what waits is still within bounds")
	w.say(l, 0, usual, ping)
	require.Contains(t, w.closed, hoarding)
	require.NotContains(t, w.closed, usual)
	require.Equal(t, 1, l.stats.inputErrors.slowReaders)
	require.Contains(t, w.wrote[usual], "-LOADING")
	w.say(l, 0, usual, ping)
	require.NotContains(t, w.closed, usual)
}
