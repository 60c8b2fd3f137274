package sockets

import (
	"syscall"
	"time"
)

// A system call can fail because this machine lacks descriptors, memory, ports or a route (transient.IsLocalFailure).
// Such a failure mostly passes within milliseconds and does not tell anything about the peer, so the call is retried
// with an exponential backoff.

// routeFailures are the local failures that mean, if they persist, that this machine cannot reach the peer; a network
// partition between zones may cause them.
var routeFailures = []error{syscall.ENETUNREACH, syscall.ENETDOWN}

const (
	minBackoff = time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// nextBackoff returns the backoff that follows a previous one: twice as long, from minBackoff to maxBackoff. A previous
// backoff of 0 gives the first one.
func nextBackoff(backoff time.Duration) time.Duration {
	return min(max(2*backoff, minBackoff), maxBackoff)
}
