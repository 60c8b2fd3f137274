package sockets

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// newDialer is a dialler that is not misled by a signal. The standard library's takes EINTR from connect for a connection
// that goes on by itself; where the call was interrupted before it had begun, nobody makes one, and it waits until its
// time is over. So the connection is begun here first. The dialler's own call then finds it under way or up.
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

// startConnect calls connect for a socket that does not block, again as long as it is interrupted.
func startConnect(ctx context.Context, fd int, to syscall.Sockaddr) error {
	for {
		switch err := syscall.Connect(fd, to); err {
		case nil, syscall.EINPROGRESS:
			return nil
		case syscall.EALREADY, syscall.EISCONN: // the interrupted call had begun it after all
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

// socketAddress is the address of a dialler's call, IP:PORT, as system calls take it.
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

// zoneIndex is the number of the interface that an IPv6 address names.
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
