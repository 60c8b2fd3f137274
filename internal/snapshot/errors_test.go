package snapshot

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/lab/memfs"
)

// TestErrors: the message of each error contains the path, Hint is not empty, and errors.Is finds the cause, if any.
func TestErrors(t *testing.T) {
	cause := errors.New("the cause")
	for _, err := range []interface {
		error
		Hint() string
	}{
		&atomicfile.UnreadableError{Kind: fileKind, Path: "/d/x", Cause: cause},
		&atomicfile.TruncatedError{Kind: fileKind, Path: "/d/x", Bytes: 3},
		&atomicfile.ChecksumError{Kind: fileKind, Path: "/d/x", Cause: cause},
		&atomicfile.FormatError{Kind: fileKind, Path: "/d/x", Version: 2},
		&OwnerError{Path: "/d/x", Installation: "east", Limiter: "n0"}, &StaleError{Path: "/d/x", Age: 2, MaxAge: 1},
		&atomicfile.WriteError{Kind: fileKind, Path: "/d/x", Cause: cause},
	} {
		require.Contains(t, err.Error(), "/d/x")
		require.NotEmpty(t, err.Hint())
		if errors.Unwrap(err) != nil {
			require.ErrorIs(t, err, cause)
		}
	}
}

func TestLoadRejectsInvalidJSON(t *testing.T) {
	disk := memfs.New()
	disk.Files[testPlace.Path()] = fileKind.Format.Frame([]byte("{"))
	_, err := testPlace.Load(disk, 1e18)
	var checksum *atomicfile.ChecksumError
	require.ErrorAs(t, err, &checksum)
}
