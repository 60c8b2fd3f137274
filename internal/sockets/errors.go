package sockets

import (
	"errors"
	"fmt"
	"syscall"
)

// AddressInUseError reports that another process listens on the address for clients.
type AddressInUseError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("%s is in use by another process: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *AddressInUseError) Unwrap() error { return e.Cause }

// Hint tells an operator how to resolve the error.
func (e *AddressInUseError) Hint() string {
	return "stop the other process, perhaps an earlier instance, or change the configuration's listen address"
}

// AddressError reports that this machine cannot listen on the address for clients.
type AddressError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }

// Hint tells an operator how to resolve the error.
func (e *AddressError) Hint() string {
	return "set the configuration's listen to an address of this machine and a port that this user may listen on"
}

// DescriptorsError reports that the process's limit on file descriptors is too low, or has been reached.
type DescriptorsError struct {
	Have, Need uint64 // the limit and the number needed; 0 if Cause is set
	Cause      error  // the failed system call, or nil
}

// Error implements error.
func (e *DescriptorsError) Error() string {
	if e.Cause != nil {
		return "no file descriptor is available: " + e.Cause.Error()
	}
	return fmt.Sprintf("the process may open %d file descriptors, but the configuration's limits need %d", e.Have, e.Need)
}

// Unwrap returns the cause.
func (e *DescriptorsError) Unwrap() error { return e.Cause }

// Hint tells an operator how to resolve the error.
func (e *DescriptorsError) Hint() string {
	return "raise the process's limit on open files (ulimit -n), or lower limits.sockets of the configuration to it"
}

// AcceptError reports that accepting a client's connection failed on this machine. The connection stays in the kernel's
// accept queue, and accepting it is retried.
type AcceptError struct{ Cause error }

// Error implements error.
func (e *AcceptError) Error() string {
	return "accepting a client's connection failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AcceptError) Unwrap() error { return e.Cause }

// Hint tells an operator how to resolve the error.
func (e *AcceptError) Hint() string {
	return "none if it stops by itself; otherwise check which processes use up descriptors and memory (sysctl fs.file-nr)"
}

// CheckDescriptors returns a *DescriptorsError if the process may open fewer than need file descriptors, and nil
// otherwise.
func CheckDescriptors(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(need) {
		return nil // an unknown limit shows up as EMFILE when it is reached
	}
	return &DescriptorsError{Have: limit.Cur, Need: uint64(need)}
}

// listenError converts a failure to listen to one of this package's error types, which carry a hint for operators.
func listenError(address string, err error) error {
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return &DescriptorsError{Cause: err}
	case errors.Is(err, syscall.EADDRINUSE):
		return &AddressInUseError{Address: address, Cause: err}
	}
	return &AddressError{Address: address, Cause: err}
}
