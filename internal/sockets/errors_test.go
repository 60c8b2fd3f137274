package sockets

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestRefused(t *testing.T) {
	kernel := func(no syscall.Errno) error {
		return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", no)}
	}
	for _, c := range []struct {
		no   syscall.Errno
		want any
	}{
		{syscall.EADDRINUSE, new(*AddressInUseError)},
		{syscall.EADDRNOTAVAIL, new(*AddressError)},
		{syscall.EACCES, new(*AddressError)},
		{syscall.EMFILE, new(*DescriptorsError)},
		{syscall.ENFILE, new(*DescriptorsError)},
	} {
		err := listenError("127.0.0.1:1", kernel(c.no))
		require.ErrorAs(t, err, c.want)
		require.ErrorIs(t, err, c.no)
	}
	require.NoError(t, Descriptors(1))
}

// A limiter that cannot listen leaves nothing running behind its error.
func TestRefusedLeavesNothing(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = held.Close() }()
	_, err = Listen(held.Addr().String(), 1, 64)
	require.Error(t, err)
}
