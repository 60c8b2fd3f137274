package sockets

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/ports"
)

// TestDialWhileHalting: a connection that is established while Halt is called must be closed and not be added to the
// engine, which would panic on an addition while it stops.
func TestDialWhileHalting(t *testing.T) {
	port, err := ports.Reserve()
	require.NoError(t, err)
	defer port.Close()
	s, err := Listen(port.Address(), 8, 256)
	require.NoError(t, err)
	limiterSide, peer := tcpPair(t)
	s.dialTCP = func(context.Context, string, string) (net.Conn, error) {
		s.Halt()
		return limiterSide, nil
	}
	require.ErrorIs(t, s.dialOnce(t.Context(), s.newConnection(nil, nil), "any"), net.ErrClosed)
	s.engine.Stop()
	_, err = peer.Read(make([]byte, 1))
	require.Error(t, err)
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (one, other net.Conn) {
	t.Helper()
	port, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	listener, err := port.Listen()
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	one, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	other, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	return one, other
}
