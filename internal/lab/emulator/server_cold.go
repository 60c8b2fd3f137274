package emulator

import (
	"slices"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/slowstart"
)

// This file is what a server bears while it is cold.

// coldWorkFactor is how much longer a request takes at a cold server that has more in work than it bears.
const coldWorkFactor = 4

// crashesUnderLoad notes a command at now and tells whether a cold server crashesUnderLoad by it, the first time since its start: within
// Fall it got more commands than its slow-start budget. By Little's law a server that bears b requests at once, each of
// the mean work, bears b * Fall / work in that time.
func (s *Server) crashesUnderLoad(now int64, id string, capacity float64, cold bool) (history.OverloadCrash, bool) {
	if s.spec.Fall <= 0 || s.spec.Work <= 0 || !cold || s.crashed {
		return history.OverloadCrash{}, false
	}
	s.arrivals, s.arrivalIDs = append(s.arrivals, now), append(s.arrivalIDs, id)
	for s.arrivals[0] <= now-int64(s.spec.Fall) {
		s.arrivals, s.arrivalIDs = s.arrivals[1:], s.arrivalIDs[1:]
	}
	windowCapacity := capacity * float64(s.spec.Fall) / float64(s.spec.Work)
	s.crashed = float64(len(s.arrivals)) > slowstart.Budget(windowCapacity)
	return history.OverloadCrash{
		Server:   s.spec.Name,
		At:       now,
		Requests: slices.Clone(s.arrivalIDs),
		Capacity: windowCapacity,
	}, s.crashed
}

// capacityAt is how many requests at once the server bears at now, and whether it is still cold.
func (s *Server) capacityAt(now int64) (float64, bool) {
	warmedShare := float64(now-s.started) / float64(s.spec.WarmWithin)
	if s.warm || s.spec.WarmWithin <= 0 || warmedShare >= 1 {
		return float64(s.spec.Capacity), false
	}
	coldShare := s.spec.ColdFrom
	return float64(s.spec.Capacity) * (coldShare + (1-coldShare)*warmedShare), true
}
