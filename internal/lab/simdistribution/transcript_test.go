package simdistribution

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/transcript"
)

// TestTranscripts compares the sum of all messages of each scenario with the committed one. A difference means that
// the behaviour of the distribution has changed.
func TestTranscripts(t *testing.T) {
	sums, err := transcript.ReadSums("testdata/transcripts.txt")
	require.NoError(t, err)
	for _, scenario := range Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			options := DefaultOptions()
			options.Limiters, options.Entries, options.Seed = 60, 100, 7
			options.Transcript = transcript.New()
			_, err := Run(options, scenario)
			require.NoError(t, err)
			require.Equal(t, sums[scenario.Name], options.Transcript.Sum())
		})
	}
}
