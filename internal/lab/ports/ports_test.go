package ports

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A kept port is handed to nobody who asks for any port, refuses while nobody listens, and can be listened on twice.
func TestReservedPortIsNotHandedOut(t *testing.T) {
	k, err := Keep()
	require.NoError(t, err)
	defer k.Close()
	seen := map[string]bool{k.Address(): true}
	for range 2000 {
		other, err := Keep()
		require.NoError(t, err)
		defer other.Close()
		require.False(t, seen[other.Address()], "%s was kept twice", other.Address())
		seen[other.Address()] = true
	}
	for range 2 {
		if c, err := net.Dial("tcp", k.Address()); err == nil {
			_ = c.Close()
			t.Fatal("a port on which nobody listens took a connection")
		}
		l, err := net.Listen("tcp", k.Address()) // as the limiter does
		require.NoError(t, err)
		c, err := net.Dial("tcp", k.Address())
		require.NoError(t, err)
		_, _ = c.Close(), l.Close()
	}
}
