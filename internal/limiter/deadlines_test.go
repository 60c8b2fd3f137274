package limiter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadyInTime: clients come in time, though a ceiling's parts fill slowly and servers warm up for long.
func TestReadyInTime(t *testing.T) {
	l, w := made(t)
	l.set.Plans["plain"].CeilingRate, l.set.Plans["plain"].CeilingBurst, l.set.WarmWithin = 0.01, 8, 60*second
	w.say(l, 0, watching, httpAnswer(strings.Replace(known, "7", "8", 1)))
	ping := func(at int64) string {
		w.pass(l, at)
		id := visitor + ID(at)
		l.Step(at, Happening{Kind: Accepted, Conn: id})
		w.say(l, at, id, "*1\r\n$4\r\nPING\r\n")
		return w.wrote[id]
	}
	require.Equal(t, "-LOADING not ready yet\r\n", ping(8*second))
	require.Equal(t, "+PONG\r\n", ping(10*second))
}
