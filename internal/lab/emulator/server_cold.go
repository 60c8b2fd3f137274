package emulator

import (
	"slices"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/slowstart"
)

// This file models how much load a server can take while it is warming up.

// coldWorkFactor multiplies the service time of a request that a cold server starts over its capacity.
const coldWorkFactor = 4

// crashesUnderLoad records a command received at now and reports whether it makes a cold server crash, for the first
// time since its start: when more commands arrived within the crash window than the server's slow-start budget for that
// time. By Little's law a server that can take b concurrent requests, each of the mean service time, completes
// b * window / service time of them in the window. s.mu must be held.
func (s *Server) crashesUnderLoad(now int64, id string, capacity float64, cold bool) (history.OverloadCrash, bool) {
	if s.spec.CrashWindow <= 0 || s.spec.Work <= 0 || !cold || s.crashed {
		return history.OverloadCrash{}, false
	}
	s.arrivals, s.arrivalIDs = append(s.arrivals, now), append(s.arrivalIDs, id)
	for s.arrivals[0] <= now-int64(s.spec.CrashWindow) {
		s.arrivals, s.arrivalIDs = s.arrivals[1:], s.arrivalIDs[1:]
	}
	windowCapacity := capacity * float64(s.spec.CrashWindow) / float64(s.spec.Work)
	s.crashed = float64(len(s.arrivals)) > slowstart.Budget(windowCapacity)
	return history.OverloadCrash{
		Server:   s.spec.Name,
		At:       now,
		Requests: slices.Clone(s.arrivalIDs),
		Capacity: windowCapacity,
	}, s.crashed
}

// capacityAt returns the number of concurrent requests that the server can take at now, and whether it is still cold.
func (s *Server) capacityAt(now int64) (float64, bool) {
	warmedShare := float64(now-s.started) / float64(s.spec.WarmWithin)
	if s.warm || s.spec.WarmWithin <= 0 || warmedShare >= 1 {
		return float64(s.spec.Capacity), false
	}
	coldShare := s.spec.ColdFrom
	return float64(s.spec.Capacity) * (coldShare + (1-coldShare)*warmedShare), true
}
