package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
)

// TestStartsFromFilesOfAnEarlierVersion: a limiter starts with the configuration and the snapshot of one of version
// f99e54e and knows its servers.
func TestStartsFromFilesOfAnEarlierVersion(t *testing.T) {
	config, err := settings.ReadFile("../settings/testdata/config.json")
	require.NoError(t, err)
	config.Name, config.Discovery = "limiter-a", "127.0.0.1:18500"
	place := snapshot.Store{
		Dir:          "../snapshot/testdata",
		Installation: "east",
		Limiter:      config.Name,
		MaxAge:       int64(time.Hour),
	}
	const storedAt = int64(1796224004196034612)
	stored, err := place.Load(atomicfile.Disk{}, storedAt+int64(time.Minute))
	require.NoError(t, err)
	_, sockets := newTestLimiter(t)
	l, err := NewWithOptions(storedAt+int64(time.Minute), config, OperatorOptions{Snapshot: stored}, sockets)
	require.NoError(t, err)
	require.Len(t, l.servers.pools, 2)
	require.Equal(t, "127.0.0.1:17101", l.servers.pools["toy-0"].address)
	require.Equal(t, "127.0.0.1:17102", l.servers.pools["toy-1"].address)
}
