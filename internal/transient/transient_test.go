package transient

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryStart: a temporary error is retried up to the limit; any other error is returned at once.
func TestRetryStart(t *testing.T) {
	attempts := 0
	require.NoError(t, RetryStart(func() error {
		if attempts++; attempts < 3 {
			return &os.PathError{Op: "open", Path: "config", Err: syscall.ENFILE}
		}
		return nil
	}))
	require.Equal(t, 3, attempts)
	attempts = 0
	began := time.Now()
	require.ErrorIs(t, RetryStart(func() error { attempts++; return os.ErrNotExist }), os.ErrNotExist)
	require.Equal(t, 1, attempts)
	require.Less(t, time.Since(began), startRetryInterval)
	attempts = 0
	require.ErrorIs(t, RetryStart(func() error { attempts++; return syscall.EIO }), syscall.EIO)
	require.Equal(t, maxStartAttempts, attempts)
}
