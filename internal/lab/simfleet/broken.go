package simfleet

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"ospreycroft/internal/settings"
)

// What stands here breaks limiters on purpose: a check that cannot be seen to fail says nothing.

func (f *Fleet) is(b Broken) bool { return slices.Contains(f.o.Broken, b) }

// spoil changes what comes to a broken limiter.
func (f *Fleet) spoil(s *side, b []byte) []byte {
	if _, list := s.far.owner.(*desk); !list || !f.is(IgnoresDrains) && !f.is(OverloadsNewServers) {
		return b
	}
	head, body, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	var answer listAnswer
	if json.Unmarshal(body, &answer) != nil || !bytes.HasPrefix(head, []byte("HTTP/1.1 200")) {
		return b
	}
	for i := range answer.Entries {
		e := &answer.Entries[i]
		if f.is(IgnoresDrains) {
			e.Lifecycle = "in_service"
		}
		if f.is(OverloadsNewServers) && e.StartedMs > 0 {
			e.StartedMs = 0
			e.Weight = 20
		}
	}
	if f.is(IgnoresDrains) && answer.Whole {
		answer.Whole = false // nor does it miss a server that the list names no more
	}
	return answer.http(false)
}

// passes tells whether what a broken limiter writes goes out.
func (f *Fleet) passes(s *side, b []byte) bool {
	passes := true
	switch s.far.owner.(type) {
	case *desk:
		passes = !f.is(DropsRenewals) || s.wrote == 0
	case *clients:
		f.written++
		passes = !f.is(LosesAnswers) || f.written%20 != 0
	case *server:
		if f.is(SendsTwice) {
			s.write(b)
			s.wrote -= int64(len(b))
		}
	}
	if !passes {
		s.wrote += int64(len(b)) // the kernel has taken it, for all that the limiter knows
	}
	return passes
}

// settingsOf are a limiter's settings, false ones where it is broken so.
func (f *Fleet) settingsOf(n int) *settings.Settings {
	set, inner := *f.set, *f.set.Settings
	set.Settings = &inner
	inner.Position = n
	if f.is(NoCeiling) {
		inner.Plans = maps.Clone(inner.Plans)
		for name, p := range inner.Plans {
			q := *p
			q.CeilingRate = 0
			q.CeilingBurst = 0
			inner.Plans[name] = &q
		}
	}
	if f.is(PollsInStep) {
		inner.Position = -1
	}
	return &set
}
