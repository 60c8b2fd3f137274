package experiment

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadsExperimentsOfAnEarlierVersion: the files in testdata/examples are those of examples/lab in version f99e54e.
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
