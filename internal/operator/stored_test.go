package operator

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadsAFileOfAnEarlierVersion checks that a file of an earlier version is still accepted. The file in testdata is
// the example of version f99e54e, with every key that it had.
func TestReadsAFileOfAnEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/operator.toml")
	require.NoError(t, err)
	options, err := Parse("operator.toml", text)
	require.NoError(t, err)
	require.Equal(
		t,
		Options{
			DiscoveryCallRate: 20,
			ConnectionRate:    40,
			Installation:      "east",
			SnapshotPath:      "/var/lib/ospreycroft",
			SnapshotMaxAge:    3600e9,
			Distribution: Distribution{
				Relays:      [2]string{"relay-a.internal:7400", "relay-b.internal:7400"},
				Scope:       "endpoints@east",
				StatePath:   "/var/lib/ospreycroft",
				StateMaxAge: 86400e9,
			},
		},
		*options,
	)
}
