package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongestDeadline checks that the longest deadline of all classes is used, and 0 if a class has none.
func TestLongestDeadline(t *testing.T) {
	one, three := 1.0, 3.5
	w := wireSettings{Classes: []wireClass{{Deadline: &one}, {Deadline: &three}}}
	require.Equal(t, int64(3.5e9), w.longestDeadline())
	w.Classes = append(w.Classes, wireClass{})
	require.Zero(t, w.longestDeadline())
}
