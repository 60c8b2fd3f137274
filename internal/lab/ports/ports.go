// Package ports reserves loopback ports for the parts of a lab run. A port that was obtained from the kernel, closed
// and handed to a process can be taken by another process before the first one listens; this happened with hundreds of
// limiters. A reserved port is therefore bound by a socket that never listens. The kernel does not give it to a process
// that asks for any free port, but a process that names it can listen on it, repeatedly, because both sockets set
// SO_REUSEADDR.
package ports

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Reserved is a reserved loopback port. It stays reserved until Close.
type Reserved struct {
	address   string
	fd        int
	closeOnce sync.Once
}

// KeepError reports that no port could be reserved.
type KeepError struct {
	Step  string // the system call that failed
	Cause error
}

// Error implements the error interface.
func (e *KeepError) Error() string {
	return fmt.Sprintf("failed to reserve a loopback port: %s: %v", e.Step, e.Cause)
}

// Hint tells the operator how to resolve the error.
func (e *KeepError) Hint() string {
	return "raise the lab's limit of open files (ulimit -n), or free ports in net.ipv4.ip_local_port_range"
}

// Unwrap returns Cause.
func (e *KeepError) Unwrap() error { return e.Cause }

// Reserve reserves a free port of 127.0.0.1. Its errors are *KeepError.
func Reserve() (*Reserved, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, &KeepError{"socket", err}
	}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err != nil {
		_ = syscall.Close(fd)
		return nil, &KeepError{"setsockopt", err}
	}
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err != nil {
		_ = syscall.Close(fd)
		return nil, &KeepError{"bind", err}
	}
	sockaddr, err := syscall.Getsockname(fd)
	inet, ok := sockaddr.(*syscall.SockaddrInet4)
	if err != nil || !ok {
		_ = syscall.Close(fd)
		return nil, &KeepError{"getsockname", err}
	}
	return &Reserved{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", inet.Port)}, nil
}

// Address returns the reserved address as HOST:PORT.
func (k *Reserved) Address() string { return k.address }

// Listen listens on the port with plain TCP. Go's default for listeners, multipath TCP, does not support the socket
// filter by which package faultproxy drops connections.
func (k *Reserved) Listen() (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", k.address)
}

// Close releases the port.
func (k *Reserved) Close() { k.closeOnce.Do(func() { _ = syscall.Close(k.fd) }) }

const (
	pingDialTimeout  = 200 * time.Millisecond // a limiter that takes longer to accept a connection is not ready
	pingReplyTimeout = time.Second            // a limiter that takes longer to answer is not ready
)

// AnswersPing reports whether the limiter at an address is ready, which it shows by answering PING with +PONG.
func AnswersPing(address string) bool {
	c, err := net.DialTimeout("tcp", address, pingDialTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(pingReplyTimeout))
	_, _ = c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	answer := make([]byte, 16)
	n, _ := c.Read(answer)
	return strings.HasPrefix(string(answer[:n]), "+PONG")
}
