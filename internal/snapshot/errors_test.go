package snapshot

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/memfs"
)

// TestErrors: each error names its file, gives its cause where it has one, and says what to do.
func TestErrors(t *testing.T) {
	cause := errors.New("the cause")
	for _, err := range []interface {
		error
		Hint() string
	}{
		&UnreadableError{Path: "/d/x", Cause: cause}, &TruncatedError{Path: "/d/x", Bytes: 3},
		&ChecksumError{Path: "/d/x", Cause: cause}, &FormatError{Path: "/d/x", Version: 2},
		&OwnerError{Path: "/d/x", Installation: "east", Limiter: "n0"}, &StaleError{Path: "/d/x", Age: 2, MaxAge: 1},
		&WriteError{Path: "/d/x", Cause: cause},
	} {
		require.Contains(t, err.Error(), "/d/x")
		require.NotEmpty(t, err.Hint())
		if errors.Unwrap(err) != nil {
			require.ErrorIs(t, err, cause)
		}
	}
}

func TestLoadRefusesABodyThatIsNoJSON(t *testing.T) {
	disk := memfs.New()
	disk.Held[place.Path()] = fileFormat.Frame([]byte("{"))
	_, err := place.Load(disk, 1e18)
	var checksum *ChecksumError
	require.ErrorAs(t, err, &checksum)
}
