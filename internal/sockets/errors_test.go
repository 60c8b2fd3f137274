package sockets

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestListenError: listenError chooses the error type by the system call's error and keeps that error as the cause.
func TestListenError(t *testing.T) {
	bindError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)}
	}
	for _, c := range []struct {
		errno syscall.Errno
		want  any
	}{
		{syscall.EADDRINUSE, new(*AddressInUseError)},
		{syscall.EADDRNOTAVAIL, new(*AddressError)},
		{syscall.EACCES, new(*AddressError)},
		{syscall.EMFILE, new(*DescriptorsError)},
		{syscall.ENFILE, new(*DescriptorsError)},
	} {
		err := listenError("127.0.0.1:1", bindError(c.errno))
		require.ErrorAs(t, err, c.want)
		require.ErrorIs(t, err, c.errno)
	}
	require.NoError(t, CheckDescriptors(1))
}

// TestListenErrorLeaksNoGoroutine: a failed Listen stops the goroutines that it started.
func TestListenErrorLeaksNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	_, err = Listen(occupied.Addr().String(), 1, 64)
	require.Error(t, err)
}
