package syscallshim

import (
	"errors"
	"os"
	"os/exec"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is an intercepted system call that waits for a decision.
type Call struct {
	PID    int // id of the calling thread
	Number int
	Args   [6]uint64
}

// Decision is how a call is handled. The zero value lets it continue unchanged.
type Decision struct {
	Errno unix.Errno // if not 0, the call fails with this error and is not performed
	// MaxBytes limits a read or write of a socket to this many bytes; 0 means no limit.
	MaxBytes int
	// Shutdown also shuts the socket down, so that it stays unusable after the error. It has no effect without Errno.
	Shutdown bool
	// Socket is the socket that Shutdown affects, a duplicate that is closed then; 0 means that of the call. The process
	// may close its descriptor and get it again for another socket while the call waits, so whoever has looked at the
	// socket has to pass the same one.
	Socket int
}

// Decide returns the decision for a call. It is called from one goroutine per process.
type Decide func(Call) Decision

// Counts counts the calls that were intercepted (Seen), made to fail (Failed) and limited to fewer bytes (Short).
type Counts struct{ Seen, Failed, Short atomic.Int64 }

// notification has the layout of struct seccomp_notif, response that of struct seccomp_notif_resp.
type notification struct {
	id           uint64
	pid          uint32
	flags        uint32
	number       int32
	architecture uint32
	instruction  uint64
	args         [6]uint64
}

type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// Command prepares a command to run under the shim. launcher is a program that calls LaunchIfRequested first; the
// command's process becomes the program itself by exec. The caller has to call started once it has started the command,
// or has failed to. Errors of both are *Error.
func Command(command *exec.Cmd, launcher string, decide Decide, counts *Counts) (started func() error, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, &Error{"channel", err}
	}
	parentEnd := os.NewFile(uintptr(pair[0]), "shim")
	childEnd := os.NewFile(uintptr(pair[1]), "shim")
	command.Args = append([]string{launcher, command.Path}, command.Args[1:]...)
	command.Path = launcher
	command.Env = append(command.Env, LaunchVariable+"=1")
	command.ExtraFiles = []*os.File{childEnd}
	return func() error {
		_ = childEnd.Close()
		defer func() { _ = parentEnd.Close() }()
		listener, err := receiveListener(parentEnd)
		if err != nil {
			return err
		}
		if err := awaitFirstCall(listener); err != nil {
			_ = unix.Close(listener)
			return err
		}
		go supervise(listener, decide, counts)
		return nil
	}, nil
}

// receiveTimeout bounds the time until the launcher sends the seccomp listener.
const receiveTimeout = 5 * time.Second

// receiveListener receives the descriptor of the seccomp listener from the launcher.
func receiveListener(channel *os.File) (int, error) {
	fd := int(channel.Fd())
	timeout := unix.NsecToTimeval(int64(receiveTimeout))
	_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout)
	rights := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(fd, make([]byte, 1), rights, unix.MSG_CMSG_CLOEXEC)
	for err == unix.EINTR { // signals of the Go runtime interrupt the call
		_, n, _, _, err = unix.Recvmsg(fd, make([]byte, 1), rights, unix.MSG_CMSG_CLOEXEC)
	}
	if err != nil {
		return -1, &Error{"receive", err}
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) == 0 {
		return -1, &Error{"receive", unix.EPIPE}
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) == 0 {
		return -1, &Error{"receive", unix.EPIPE}
	}
	return descriptors[0], nil
}

// firstCallTimeout bounds the time until the program's first intercepted call. Each program opens files as it starts.
const firstCallTimeout = 5 * time.Second

// errNoCalls reports that a program runs whose calls the filter does not recognize.
var errNoCalls = errors.New("no system call of the program was intercepted")

// awaitFirstCall waits until an intercepted call is ready to be received, and fails if there is none.
func awaitFirstCall(listener int) error {
	deadline := time.Now().Add(firstCallTimeout)
	pollFDs := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
	for remaining := firstCallTimeout; remaining > 0; remaining = time.Until(deadline) {
		_, err := unix.Poll(pollFDs, int(remaining.Milliseconds())+1)
		if pollFDs[0].Revents&unix.POLLIN != 0 {
			return nil
		}
		if err == nil {
			break
		}
	}
	return &Error{"first call", errNoCalls}
}

// supervise handles intercepted calls until the process has exited.
func supervise(listener int, decide Decide, counts *Counts) {
	defer func() { _ = unix.Close(listener) }()
	for {
		pollFDs := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(pollFDs, -1); err == unix.EINTR {
			continue
		}
		if pollFDs[0].Revents&unix.POLLIN == 0 {
			return // the process has exited
		}
		var n notification
		if errno := ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)); errno != 0 {
			continue // a signal ended the call before it was received
		}
		counts.Seen.Add(1)
		call := Call{PID: int(n.pid), Number: int(n.number), Args: n.args}
		reply := respond(call, decide(call), counts)
		reply.id = n.id
		_ = ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&reply))
	}
}

func ioctl(fd int, request uintptr, argument unsafe.Pointer) unix.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(argument))
	return errno
}

// respond carries out a decision and returns the response to the kernel.
func respond(call Call, decision Decision, counts *Counts) response {
	continueCall := response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if decision == (Decision{}) {
		return continueCall
	}
	if decision.Errno != 0 {
		if decision.Shutdown {
			call.shutdown(decision.Socket)
		}
		counts.Failed.Add(1)
		return response{errno: -int32(decision.Errno)}
	}
	transferred, errno, done := call.transferPartial(decision.MaxBytes)
	if !done {
		return continueCall
	}
	counts.Short.Add(1)
	return response{value: int64(transferred), errno: -int32(errno)}
}

// shutdown shuts down and closes a duplicate of a socket of the process; 0 means the call's.
func (c Call) shutdown(socket int) {
	if socket == 0 {
		duplicate, err := c.Descriptor()
		if err != nil {
			return
		}
		socket = duplicate
	}
	_ = unix.Shutdown(socket, unix.SHUT_RDWR)
	_ = unix.Close(socket)
}

// Descriptor returns a duplicate of the call's first argument, a descriptor of the process. The caller has to close it.
func (c Call) Descriptor() (int, error) {
	process, err := unix.PidfdOpen(processOf(c.PID), 0)
	if err != nil {
		return -1, err
	}
	defer func() { _ = unix.Close(process) }()
	return unix.PidfdGetfd(process, int(c.Args[0]), 0)
}

// transferPartial performs a read or write of a socket on behalf of the process, limited to maxBytes bytes. done is
// false if nothing was done and the process has to perform the whole call itself.
func (c Call) transferPartial(maxBytes int) (transferred int, errno unix.Errno, done bool) {
	size := int(c.Args[2])
	if size <= maxBytes || maxBytes <= 0 {
		return 0, 0, false
	}
	fd, err := c.Descriptor()
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = unix.Close(fd) }()
	buffer := make([]byte, maxBytes)
	local := []unix.Iovec{{Base: &buffer[0]}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[1]), Len: maxBytes}}
	if c.Number == unix.SYS_WRITE {
		local[0].SetLen(maxBytes)
		if _, err := unix.ProcessVMReadv(c.PID, local, remote, 0); err != nil {
			return 0, 0, false
		}
		n, err := unix.SendmsgN(fd, buffer, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		return callResult(n, err)
	}
	n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
	if err == nil && n > 0 {
		local[0].SetLen(n)
		remote[0].Len = n
		if _, err := unix.ProcessVMWritev(c.PID, local, remote, 0); err != nil {
			return 0, unix.EFAULT, true
		}
	}
	return callResult(n, err)
}

// callResult returns the results of transferPartial for a call that was performed.
func callResult(n int, err error) (int, unix.Errno, bool) {
	if errno := errnoOf(err); errno != 0 {
		return 0, errno, true
	}
	return n, 0, true
}

// errnoOf returns the system error in err, or 0 if there is none.
func errnoOf(err error) unix.Errno {
	var errno unix.Errno
	_ = errors.As(err, &errno)
	return errno
}
