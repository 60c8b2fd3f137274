package transient

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryStart: what passes by itself is tried again, what does not is told at once.
func TestRetryStart(t *testing.T) {
	tries := 0
	require.NoError(t, RetryStart(func() error {
		if tries++; tries < 3 {
			return &os.PathError{Op: "open", Path: "config", Err: syscall.ENFILE}
		}
		return nil
	}))
	require.Equal(t, 3, tries)
	tries = 0
	began := time.Now()
	require.ErrorIs(t, RetryStart(func() error { tries++; return os.ErrNotExist }), os.ErrNotExist)
	require.Equal(t, 1, tries)
	require.Less(t, time.Since(began), pause)
	tries = 0
	require.ErrorIs(t, RetryStart(func() error { tries++; return syscall.EIO }), syscall.EIO)
	require.Equal(t, maxTries, tries)
}
