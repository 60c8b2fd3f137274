package experiment

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Experiment files of an earlier version must still be accepted. Those in testdata/examples are the files of
// examples/lab at commit f99e54e.
func TestReadsExperimentsOfAnEarlierVersion(t *testing.T) {
	paths, err := filepath.Glob("testdata/examples/*.toml")
	require.NoError(t, err)
	require.Len(t, paths, 15)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, err := Read(path)
			require.NoError(t, err)
		})
	}
}
