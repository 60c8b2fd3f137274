package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadsAConfigurationOfAnEarlierVersion checks that a configuration of an earlier version is still accepted. The
// file in testdata is the example of version f99e54e.
func TestReadsAConfigurationOfAnEarlierVersion(t *testing.T) {
	config, err := ReadFile("testdata/config.json")
	require.NoError(t, err)
	require.Equal(t, "n0", config.Name)
	require.Len(t, config.Settings.Classes, 2)
	require.Len(t, config.Settings.Plans, 2)
}
