package sockets

import (
	"syscall"
	"time"
)

// A system call can fail for want of something on this machine: descriptors, memory, ports or a route. Such a failure
// passes, mostly within milliseconds, and says nothing of the other side; so the call is made again after a pause that
// grows.

// routeFailures are those of the local failures that, where they last, keep this machine from the other side for good: a zone
// that is cut off may show so.
var routeFailures = []error{syscall.ENETUNREACH, syscall.ENETDOWN}

const (
	minBackoff = time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// nextBackoff is the pause behind the one that has passed; the first behind 0.
func nextBackoff(backoff time.Duration) time.Duration {
	return min(max(2*backoff, minBackoff), maxBackoff)
}
