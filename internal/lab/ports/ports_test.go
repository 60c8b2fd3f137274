package ports

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A kept port is handed to nobody who asks for any port, refuses while nobody listens, and can be listened on twice.
func TestKeptPortIsHeldWhileNobodyListens(t *testing.T) {
	k, err := Keep()
	require.NoError(t, err)
	defer k.Close()
	seen := map[string]bool{k.Address(): true}
	for range 2000 {
		o, err := Keep()
		require.NoError(t, err)
		defer o.Close()
		require.False(t, seen[o.Address()], "%s was kept twice", o.Address())
		seen[o.Address()] = true
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
