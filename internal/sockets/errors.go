package sockets

import (
	"errors"
	"fmt"
	"syscall"
)

// AddressInUseError is for an address for clients on which another process listens.
type AddressInUseError struct {
	Address string
	Cause   error
}

// Error says what happened.
func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("%s is in use by another process: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *AddressInUseError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *AddressInUseError) Hint() string {
	return "end the process that listens there, perhaps this limiter's last one, or change the configuration's listen address"
}

// AddressError is for an address for clients that this machine cannot listen on.
type AddressError struct {
	Address string
	Cause   error
}

// Error says what happened.
func (e *AddressError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *AddressError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *AddressError) Hint() string {
	return "set the configuration's listen to an address of this machine and a port that this user may listen on"
}

// DescriptorsError is for a process that may hold fewer descriptors than it needs.
type DescriptorsError struct {
	Have, Need uint64 // 0 where they are not known
	Cause      error  // what the kernel said, or nil
}

// Error says what happened.
func (e *DescriptorsError) Error() string {
	if e.Cause != nil {
		return "no descriptor is left: " + e.Cause.Error()
	}
	return fmt.Sprintf("the process may hold %d descriptors, the configuration's limits say %d", e.Have, e.Need)
}

// Unwrap gives the cause.
func (e *DescriptorsError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *DescriptorsError) Hint() string {
	return "raise the process's limit on open files (ulimit -n), or lower limits.sockets of the configuration to it"
}

// AcceptError is for a connection of a client that this machine could not accept; it waits in the kernel, and is accepted
// later.
type AcceptError struct{ Cause error }

// Error says what happened.
func (e *AcceptError) Error() string {
	return "a client's connection could not be accepted: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *AcceptError) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *AcceptError) Hint() string {
	return "nothing if it passes; else look at what takes this machine's descriptors and memory (sysctl fs.file-nr)"
}

// Descriptors tells, by a DescriptorsError, if the process may hold fewer descriptors than the configuration says.
func Descriptors(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(need) {
		return nil // a limit that cannot be asked for shows when it is met
	}
	return &DescriptorsError{Have: limit.Cur, Need: uint64(need)}
}

// listenError makes an error that an operator can act on of a failure to listen.
func listenError(address string, err error) error {
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return &DescriptorsError{Cause: err}
	case errors.Is(err, syscall.EADDRINUSE):
		return &AddressInUseError{Address: address, Cause: err}
	}
	return &AddressError{Address: address, Cause: err}
}
