package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/syscallshim"
)

// systemCallFaults draws faults for the system calls of all limiters. decide is called on one goroutine per limiter
// process.
type systemCallFaults struct {
	mutex      sync.Mutex
	rng        *rand.Rand
	faultShare float64 // share of calls that fail or are cut short, 0 to 1
	// failingDir is the directory whose files cannot be written or synced while diskFails is set, as on a full or
	// broken disk; empty for none.
	failingDir    string
	diskFails     atomic.Bool
	isLimiterPort func(port int) bool // reports whether a limiter listens for clients on port
}

// maxCutBytes is the most that a read or write that is cut short transfers, bytes.
const maxCutBytes = 40

// chance returns true with probability share.
func (f *systemCallFaults) chance(share float64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rng.Float64() < share
}

// randomUpTo draws an integer from 1 to limit.
func (f *systemCallFaults) randomUpTo(limit int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return 1 + f.rng.IntN(limit)
}

// randomError returns a decision that fails the call with one of errors.
func (f *systemCallFaults) randomError(errors ...unix.Errno) syscallshim.Decision {
	return syscallshim.Decision{Errno: errors[f.randomUpTo(len(errors))-1]}
}

// decide implements syscallshim.Decide.
func (f *systemCallFaults) decide(call syscallshim.Call) syscallshim.Decision {
	if f.diskFails.Load() {
		if decision := f.diskFault(call); decision.Errno != 0 {
			return decision
		}
	}
	if !f.chance(f.faultShare) {
		return syscallshim.Decision{}
	}
	switch call.Number {
	case unix.SYS_SOCKET:
		return f.randomError(unix.ENFILE, unix.ENOBUFS)
	case unix.SYS_CONNECT:
		return f.randomError(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EINTR)
	case unix.SYS_ACCEPT4:
		return f.randomError(unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.EINTR)
	case unix.SYS_READ, unix.SYS_WRITE:
		return f.transferFault(call)
	}
	return syscallshim.Decision{}
}

// connectionBreakShare is the share of read and write faults that break the connection.
const connectionBreakShare = 0.05

// transferFault draws a fault of a read or write on a socket. Only connections that the limiter has dialled are broken,
// since breaking a client's connection would lose that client its answers.
func (f *systemCallFaults) transferFault(call syscallshim.Call) syscallshim.Decision {
	if !call.IsSocket() {
		return syscallshim.Decision{}
	}
	switch {
	case f.chance(connectionBreakShare):
		socket, dialled := f.dialledSocket(call)
		if !dialled {
			return syscallshim.Decision{}
		}
		broken := f.randomError(unix.ETIMEDOUT, unix.EHOSTUNREACH)
		broken.Shutdown = true
		broken.Socket = socket
		return broken
	case f.chance(0.3):
		return syscallshim.Decision{Errno: unix.EINTR}
	}
	return syscallshim.Decision{MaxBytes: f.randomUpTo(maxCutBytes)}
}

// dialledSocket returns a duplicate of the socket that a call is on if the limiter has dialled its connection. It returns
// false for a client's connection, and if that cannot be determined.
func (f *systemCallFaults) dialledSocket(call syscallshim.Call) (socket int, dialled bool) {
	socket, err := call.Descriptor()
	if err != nil {
		return 0, false
	}
	name, err := unix.Getsockname(socket)
	address, isIPv4 := name.(*unix.SockaddrInet4)
	if err != nil || !isIPv4 || f.isLimiterPort(address.Port) {
		_ = unix.Close(socket)
		return 0, false
	}
	return socket, true
}

// diskFault fails writes and syncs of files in failingDir, and nothing else.
func (f *systemCallFaults) diskFault(call syscallshim.Call) syscallshim.Decision {
	switch call.Number {
	case unix.SYS_WRITE, unix.SYS_FSYNC:
		if f.failingDir != "" && strings.HasPrefix(call.Path(), f.failingDir) {
			return f.randomError(unix.ENOSPC, unix.EIO)
		}
	}
	return syscallshim.Decision{}
}
