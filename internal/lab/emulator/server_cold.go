package emulator

import (
	"slices"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/slowstart"
)

// This file is what a server bears while it is cold.

// coldWorkFactor is how much longer a request takes at a cold server that has more in work than it bears.
const coldWorkFactor = 4

// falls notes a command at now and tells whether a cold server falls by it, the first time since its start: within
// Fall it got more commands than its slow-start budget. By Little's law a server that bears b requests at once, each of
// the mean work, bears b * Fall / work in that time.
func (s *Server) falls(now int64, id string, bear float64, cold bool) (history.OverloadCrash, bool) {
	if s.spec.Fall <= 0 || s.spec.Work <= 0 || !cold || s.fallen {
		return history.OverloadCrash{}, false
	}
	s.window, s.windowIDs = append(s.window, now), append(s.windowIDs, id)
	for s.window[0] <= now-int64(s.spec.Fall) {
		s.window, s.windowIDs = s.window[1:], s.windowIDs[1:]
	}
	n := bear * float64(s.spec.Fall) / float64(s.spec.Work)
	s.fallen = float64(len(s.window)) > slowstart.Budget(n)
	return history.OverloadCrash{
		Server:   s.spec.Name,
		At:       now,
		Requests: slices.Clone(s.windowIDs),
		Capacity: n,
	}, s.fallen
}

// bearable is how many requests at once the server bears at now, and whether it is still cold.
func (s *Server) bearable(now int64) (float64, bool) {
	since := float64(now-s.started) / float64(s.spec.WarmWithin)
	if s.warm || s.spec.WarmWithin <= 0 || since >= 1 {
		return float64(s.spec.Capacity), false
	}
	from := s.spec.ColdFrom
	return float64(s.spec.Capacity) * (from + (1-from)*since), true
}
