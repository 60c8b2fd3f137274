package snapshot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/atomicfile"
)

// storedFileTakenAt is the time of the snapshot in testdata, which a limiter of version f99e54e wrote.
const storedFileTakenAt = int64(1796224004196034612)

// TestLoadFileOfEarlierVersion: a snapshot that an earlier version wrote must remain readable.
func TestLoadFileOfEarlierVersion(t *testing.T) {
	place := Store{Dir: "testdata", Installation: "east", Limiter: "limiter-a", MaxAge: int64(time.Hour)}
	loaded, err := place.Load(atomicfile.Disk{}, storedFileTakenAt+int64(time.Minute))
	require.NoError(t, err)
	require.Equal(t, &Snapshot{
		Installation: "east", Limiter: "limiter-a", TakenAt: storedFileTakenAt,
		Discovery: "127.0.0.1:18500", Generation: 1,
		Servers: []Server{
			{ID: "toy-0", Address: "127.0.0.1:17101", Zone: "a", Weight: 1},
			{ID: "toy-1", Address: "127.0.0.1:17102", Zone: "a", Weight: 1},
		},
	}, loaded)
}
