package sockets

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// newDialer returns a dialer that handles a connect call interrupted by a signal. net.Dialer takes EINTR from connect
// to mean that the connection is in progress. If the call was interrupted before the kernel began to connect, nothing
// is in progress, and the dial hangs until its timeout. So connect is called here first and repeated on EINTR; the
// dialer's own call then finds the connection in progress or established.
func newDialer() *net.Dialer {
	return &net.Dialer{ControlContext: func(ctx context.Context, _, address string, socket syscall.RawConn) error {
		to, err := socketAddress(address)
		if err != nil {
			return err
		}
		controlErr := socket.Control(func(fd uintptr) { err = startConnect(ctx, int(fd), to) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
}

// startConnect calls connect on a non-blocking socket and repeats the call while it is interrupted.
func startConnect(ctx context.Context, fd int, to syscall.Sockaddr) error {
	for {
		switch err := syscall.Connect(fd, to); err {
		case nil, syscall.EINPROGRESS:
			return nil
		case syscall.EALREADY, syscall.EISCONN: // the interrupted call did start the connection
			return nil
		case syscall.EINTR:
			if ctx.Err() != nil {
				return ctx.Err()
			}
		default:
			return os.NewSyscallError("connect", err)
		}
	}
}

// socketAddress converts an address of the form IP:PORT, as a dialer passes it, to a system call's argument.
func socketAddress(hostPort string) (syscall.Sockaddr, error) {
	address, err := netip.ParseAddrPort(hostPort)
	if err != nil {
		return nil, err
	}
	ip := address.Addr().Unmap()
	if ip.Is4() {
		return &syscall.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}, nil
	}
	zone, err := zoneIndex(ip.Zone())
	if err != nil {
		return nil, err
	}
	return &syscall.SockaddrInet6{Port: int(address.Port()), Addr: ip.As16(), ZoneId: zone}, nil
}

// zoneIndex returns the interface index for the zone of an IPv6 address, 0 for no zone.
func zoneIndex(zone string) (uint32, error) {
	if zone == "" {
		return 0, nil
	}
	iface, err := net.InterfaceByName(zone)
	if err != nil {
		return 0, err
	}
	return uint32(iface.Index), nil
}
