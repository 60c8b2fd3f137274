// Package syscallshim makes system calls of a real limiter fail in the ways that Linux documents, for the lab's soak.
// The kernel reports selected calls of that process to the lab, by a seccomp filter with user notification, which needs
// no privileges. The lab lets each call continue, makes it fail, or performs a part of it. The program under test is
// unchanged.
//
// Launch runs in the new process, installs the filter there and executes the program; Command runs in the lab.
package syscallshim

import (
	"fmt"
	"os"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ChannelFD is the file descriptor over which Launch sends the seccomp listener to the lab.
const ChannelFD = 3

// LaunchVariable is the environment variable that tells LaunchIfRequested to call Launch, for programs that are their
// own launcher.
const LaunchVariable = "OSPREYCROFT_SYSCALL_SHIM"

// Error reports a step of setting up the shim that failed.
type Error struct {
	Step  string
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("system call shim: %s: %v", e.Step, e.Cause) }

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Hint tells the operator how to resolve the error.
func (e *Error) Hint() string {
	return "the shim needs Linux 5.19 or later on amd64 or arm64 with seccomp; run without failing system calls elsewhere"
}

// intercepted lists the system calls that are reported to the lab.
var intercepted = []uint32{
	unix.SYS_READ, unix.SYS_WRITE, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_ACCEPT4, unix.SYS_OPENAT, unix.SYS_FSYNC,
}

// Offsets of the call number and of the architecture in struct seccomp_data.
const (
	offsetNumber       = 0
	offsetArchitecture = 4
)

// filter returns a program that reports the intercepted calls to the lab and allows all others.
func filter() []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	allow := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW}
	equals := func(value uint32, jumpTrue, jumpFalse uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jt: jumpTrue, Jf: jumpFalse}
	}
	program := []unix.SockFilter{load(offsetArchitecture), equals(auditArchitecture, 1, 0), allow, load(offsetNumber)}
	for _, number := range intercepted {
		program = append(program, equals(number, 0, 1),
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	return append(program, allow)
}

// Launch installs the filter on this process, sends the seccomp listener over ChannelFD and executes the program. It
// returns only if that fails, with an *Error.
func Launch(program string, arguments, environment []string) error {
	runtime.LockOSThread() // the filter applies to this thread, and exec keeps it
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return &Error{"no new privileges", err}
	}
	instructions := filter()
	filterProgram := unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	flags := uintptr(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	listener, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags,
		uintptr(unsafe.Pointer(&filterProgram)))
	if errno != 0 {
		return &Error{"filter", errno}
	}
	err := unix.EINTR
	for err == unix.EINTR { // signals of the Go runtime interrupt the call
		err = errnoOf(unix.Sendmsg(ChannelFD, []byte{0}, unix.UnixRights(int(listener)), nil, 0))
	}
	if err != 0 {
		return &Error{"hand over", err}
	}
	_ = unix.Close(int(listener))
	_ = unix.Close(ChannelFD)
	return &Error{"exec", unix.Exec(program, arguments, environment)}
}

// LaunchIfRequested calls Launch with the program in the process's arguments if the process was started by Command, and
// exits if that fails. Otherwise it does nothing.
func LaunchIfRequested() {
	if os.Getenv(LaunchVariable) == "" {
		return
	}
	_ = os.Unsetenv(LaunchVariable)
	err := Launch(os.Args[1], os.Args[1:], os.Environ())
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
