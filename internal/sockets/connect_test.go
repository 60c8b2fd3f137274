package sockets

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDialer: dialing works for both address families, and a refused connection returns ECONNREFUSED.
func TestDialer(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.EAFNOSUPPORT) {
			t.Logf("this machine has no address %s", address)
			continue
		}
		require.NoError(t, err)
		conn, err := newDialer().DialContext(ctx, "tcp", listener.Addr().String())
		require.NoError(t, err)
		require.Equal(t, listener.Addr().String(), conn.RemoteAddr().String())
		peer, err := listener.Accept()
		require.NoError(t, err)
		_, err = peer.Write([]byte("text"))
		require.NoError(t, err)
		got := make([]byte, 4)
		_, err = conn.Read(got)
		require.NoError(t, err)
		require.Equal(t, "text", string(got))
		_, _, _ = conn.Close(), peer.Close(), listener.Close()
	}
	refusing := listenLoopback(t)
	require.NoError(t, refusing.Close())
	_, err := newDialer().DialContext(ctx, "tcp", refusing.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// TestDialerTimeout: a dial to a listener with a full accept queue ends with a timeout error.
func TestDialerTimeout(t *testing.T) {
	listener := listenLoopback(t)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	const timeout = 100 * time.Millisecond
	for { // fill the accept queue, until a dial times out
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		start := time.Now()
		conn, err := newDialer().DialContext(ctx, "tcp", listener.Addr().String())
		cancel()
		if err != nil {
			require.Less(t, time.Since(start), testTimeout)
			var netErr net.Error
			require.ErrorAs(t, err, &netErr)
			require.True(t, netErr.Timeout())
			return
		}
		defer func() { _ = conn.Close() }()
	}
}

func TestSocketAddress(t *testing.T) {
	for _, text := range []string{"127.0.0.1:80", "[::1]:443", "[::ffff:10.1.2.3]:9"} {
		address, err := socketAddress(text)
		require.NoError(t, err)
		var got netip.AddrPort
		switch a := address.(type) {
		case *syscall.SockaddrInet4:
			got = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
		case *syscall.SockaddrInet6:
			got = netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
		}
		want := netip.MustParseAddrPort(text)
		require.Equal(t, netip.AddrPortFrom(want.Addr().Unmap(), want.Port()), got)
	}
	for _, text := range []string{"", "name:80", "[fe80::1%nowhere]:80"} {
		_, err := socketAddress(text)
		require.Error(t, err, text)
	}
}
