// Package ports keeps loopback ports for the parts of a lab run. A port that is asked of the kernel, closed and handed
// to a process can be taken by another process before the first one listens; with hundreds of limiters that was seen.
// So a port is kept by a socket that is bound to it and never listens: the kernel gives it to nobody who asks for any
// port, yet whoever names it can listen, again and again, since neither socket minds sharing it (SO_REUSEADDR).
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

// Kept is one loopback port, held until Close.
type Kept struct {
	address   string
	fd        int
	closeOnce sync.Once
}

// KeepError is a port that could not be had.
type KeepError struct {
	Step  string // the system call that failed
	Cause error
}

// Error says what happened.
func (e *KeepError) Error() string {
	return fmt.Sprintf("no loopback port could be kept: %s: %v", e.Step, e.Cause)
}

// Hint says what to do about it.
func (e *KeepError) Hint() string {
	return "let the lab open more files (ulimit -n), or free ports of net.ipv4.ip_local_port_range"
}

// Unwrap gives the cause.
func (e *KeepError) Unwrap() error { return e.Cause }

// Keep holds a free port of 127.0.0.1; the error is a *KeepError.
func Keep() (*Kept, error) {
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
	return &Kept{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", inet.Port)}, nil
}

// Address is HOST:PORT.
func (k *Kept) Address() string { return k.address }

// Listen listens on the port, with plain TCP: multipath TCP, Go's own choice for listeners, takes no socket filter, by
// which a link is cut.
func (k *Kept) Listen() (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", k.address)
}

// Close gives the port up.
func (k *Kept) Close() { k.closeOnce.Do(func() { _ = syscall.Close(k.fd) }) }

const (
	pingDialTimeout  = 200 * time.Millisecond // a limiter whose connection takes longer is not ready
	pingReplyTimeout = time.Second            // nor is one that takes longer to answer
)

// Pong tells whether the limiter at an address answers PING with +PONG, which says that it is ready.
func Pong(address string) bool {
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
