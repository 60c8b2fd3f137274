// Package syscallshim makes system calls of a real limiter fail as Linux documents that they can, for the lab's soak. The
// kernel hands chosen calls of that process alone to the lab (a seccomp filter with user notification, which needs no
// special rights); the lab lets each go on, has it fail, or does a part of it. The program under test is unchanged.
//
// Launch runs in a process of its own, puts the filter on itself and becomes the program; Supervise runs in the lab.
package syscallshim

import (
	"fmt"
	"os"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ChannelFD is the descriptor on which Launch hands the notifications' descriptor to the lab.
const ChannelFD = 3

// LaunchVariable marks a process that is to call Launch, for programs that are their own launcher.
const LaunchVariable = "OSPREYCROFT_SYSCALL_SHIM"

// Error is a step of setting the shim up that failed.
type Error struct {
	Step  string
	Cause error
}

// Error says what happened.
func (e *Error) Error() string { return fmt.Sprintf("system call shim: %s: %v", e.Step, e.Cause) }

// Unwrap is what the kernel said.
func (e *Error) Unwrap() error { return e.Cause }

// Hint says what to do about it.
func (e *Error) Hint() string {
	return "the shim needs Linux 5.19 on amd64 with seccomp; play without failing system calls elsewhere"
}

// intercepted are the calls that the kernel hands over.
var intercepted = []uint32{
	unix.SYS_READ, unix.SYS_WRITE, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_ACCEPT4, unix.SYS_OPENAT, unix.SYS_FSYNC,
}

// The offsets of a call's number and architecture in struct seccomp_data.
const (
	offsetNumber       = 0
	offsetArchitecture = 4
)

// filter hands the intercepted calls over and allows all others.
func filter() []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	allow := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW}
	equals := func(value uint32, jumpTrue, jumpFalse uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jt: jumpTrue, Jf: jumpFalse}
	}
	program := []unix.SockFilter{load(offsetArchitecture), equals(unix.AUDIT_ARCH_X86_64, 1, 0), allow, load(offsetNumber)}
	for _, number := range intercepted {
		program = append(program, equals(number, 0, 1),
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	return append(program, allow)
}

// Launch puts the filter on this process, hands its notifications over on ChannelFD and becomes the program. It returns
// only where that fails. Errors: *Error.
func Launch(program string, arguments, environment []string) error {
	runtime.LockOSThread() // the filter is the thread's, and exec keeps it
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
	for err == unix.EINTR { // by the Go runtime's own signals
		err = errnoOf(unix.Sendmsg(ChannelFD, []byte{0}, unix.UnixRights(int(listener)), nil, 0))
	}
	if err != 0 {
		return &Error{"hand over", err}
	}
	_ = unix.Close(int(listener))
	_ = unix.Close(ChannelFD)
	return &Error{"exec", unix.Exec(program, arguments, environment)}
}

// LaunchIfAsked calls Launch with the program that the process's arguments name where the process was started by Command;
// else it does nothing.
func LaunchIfAsked() {
	if os.Getenv(LaunchVariable) == "" {
		return
	}
	_ = os.Unsetenv(LaunchVariable)
	err := Launch(os.Args[1], os.Args[1:], os.Environ())
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
