package ports

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reserved port must not be handed to anyone who asks for any free port, has to refuse connections while no process
// listens, and has to allow listening more than once.
func TestReservedPortIsNotHandedOut(t *testing.T) {
	k, err := Reserve()
	require.NoError(t, err)
	defer k.Close()
	seen := map[string]bool{k.Address(): true}
	for range 2000 {
		other, err := Reserve()
		require.NoError(t, err)
		defer other.Close()
		require.False(t, seen[other.Address()], "%s was reserved twice", other.Address())
		seen[other.Address()] = true
	}
	for range 2 {
		if c, err := net.Dial("tcp", k.Address()); err == nil {
			_ = c.Close()
			t.Fatal("a port without a listener accepted a connection")
		}
		l, err := net.Listen("tcp", k.Address()) // the limiter listens in the same way
		require.NoError(t, err)
		c, err := net.Dial("tcp", k.Address())
		require.NoError(t, err)
		_, _ = c.Close(), l.Close()
	}
}
