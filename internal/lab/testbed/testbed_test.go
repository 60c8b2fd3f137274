package testbed

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServe checks that one request of each class is served, and that a limiter without open requests stops.
func TestServe(t *testing.T) {
	server := Listen(t)
	r := Start(t, Config(server))
	client := r.Dial(t)
	var c *Conn
	for _, class := range []string{"read", "write", "keyed"} {
		client.Send(t, Request("id-"+class, class, 2000))
		if c == nil {
			c = server.Accept(t)
		}
		require.Equal(t, "id-"+class, c.ReadCommand(t)[2])
		c.SendServed(t, "value")
		require.Equal(t, "$value", client.ReadAnswer(t))
		time.Sleep(50 * time.Millisecond) // the server connection becomes idle
	}
	r.Stop()
	_, err := client.ReadToEnd(t)
	require.NoError(t, err)
	r.WaitDone(t, Timeout)
}

// TestClosedPeerKeepsItsPort checks that no other program can get the port of a closed peer until the test ends.
// TestServerUnreachable, which closes its server and expects connections to be refused, failed in CI, and 22 times in
// 96,000 runs of twelve copies in parallel: the kernel had meanwhile given the port to another program or to another
// test's limiter ("id is in use"), which answered. The test binds the port without SO_REUSEADDR, as a program that is
// assigned a port does; with that option a socket that is only bound could share the port.
func TestClosedPeerKeepsItsPort(t *testing.T) {
	for name, listen := range map[string]func() *Peer{
		"plain":         func() *Peer { return Listen(t) },
		"small buffers": func() *Peer { return listenLimitedBuffers(t) },
		"full":          func() *Peer { return ListenFull(t) },
	} {
		t.Run(name, func(t *testing.T) {
			peer := listen()
			peer.Close()
			_, err := net.Dial("tcp", peer.Address)
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			require.ErrorIs(t, bindExclusively(t, peer.Address), syscall.EADDRINUSE)
		})
	}
}

// bindExclusively binds a socket without SO_REUSEADDR to address, closes it, and returns the error of the bind.
func bindExclusively(t *testing.T, address string) error {
	t.Helper()
	addr, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer func() { _ = syscall.Close(fd) }()
	return syscall.Bind(fd, &syscall.SockaddrInet4{Addr: addr.Addr().As4(), Port: int(addr.Port())})
}
