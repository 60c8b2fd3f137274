package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTimeLeftOfHeldUpProcess guards against attempts that tell their server the time left from before the process was
// held up, or that begin after their deadline.
func TestTimeLeftOfHeldUpProcess(t *testing.T) {
	l, w, id := requestDialling(t, "read")
	w.sinceStep = second / 5
	l.Step(0, Connected{Conn: id})
	require.Contains(t, w.wrote[id], ",d=280,")
	l, w, id = requestDialling(t, "read")
	w.sinceStep = second / 2
	l.Step(0, Connected{Conn: id})
	require.Empty(t, w.wrote[id])
}
