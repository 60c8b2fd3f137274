package simfleet

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"ospreycroft/internal/settings"
)

// This file breaks limiters on purpose, so that tests can show that a check fails when it should.

func (f *Fleet) isBroken(way Broken) bool { return slices.Contains(f.options.Broken, way) }

// spoilReceived returns the bytes that a limiter receives on a connection, altered if the fleet is broken by
// IgnoresDrains or OverloadsNewServers: discovery answers then hide drains and removals, or show servers that have just
// started as warm and with a high weight.
func (f *Fleet) spoilReceived(end *connEnd, data []byte) []byte {
	if _, isDiscovery := end.peer.handler.(*discoveryEndpoint); !isDiscovery ||
		!f.isBroken(IgnoresDrains) && !f.isBroken(OverloadsNewServers) {
		return data
	}
	head, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	var answer listAnswer
	if json.Unmarshal(body, &answer) != nil || !bytes.HasPrefix(head, []byte("HTTP/1.1 200")) {
		return data
	}
	for i := range answer.Entries {
		e := &answer.Entries[i]
		if f.isBroken(IgnoresDrains) {
			e.Lifecycle = "in_service"
		}
		if f.isBroken(OverloadsNewServers) && e.StartedMs > 0 {
			e.StartedMs = 0
			e.Weight = 20
		}
	}
	if f.isBroken(IgnoresDrains) && answer.Full {
		answer.Full = false // a full list would also reveal which servers were removed
	}
	return answer.http(false)
}

// allowsWrite reports whether a limiter's write goes out. It drops writes under DropsRenewals and LosesAnswers, and
// writes commands to servers an additional time under SendsTwice.
func (f *Fleet) allowsWrite(end *connEnd, data []byte) bool {
	allowed := true
	switch end.peer.handler.(type) {
	case *discoveryEndpoint:
		allowed = !f.isBroken(DropsRenewals) || end.bytesWritten == 0
	case *clients:
		f.answersWritten++
		allowed = !f.isBroken(LosesAnswers) || f.answersWritten%20 != 0
	case *server:
		if f.isBroken(SendsTwice) {
			end.write(data)
			end.bytesWritten -= int64(len(data))
		}
	}
	if !allowed {
		end.bytesWritten += int64(len(data)) // to the limiter, the kernel has accepted the bytes
	}
	return allowed
}

// limiterSettings returns the settings of a limiter, altered under NoCeiling and PollsInStep.
func (f *Fleet) limiterSettings(n int) *settings.Settings {
	decoded, inner := *f.settings, *f.settings.Settings
	decoded.Settings = &inner
	inner.Position = n
	if f.isBroken(NoCeiling) {
		inner.Plans = maps.Clone(inner.Plans)
		for name, plan := range inner.Plans {
			uncapped := *plan
			uncapped.CeilingRate = 0
			uncapped.CeilingBurst = 0
			inner.Plans[name] = &uncapped
		}
	}
	if f.isBroken(PollsInStep) {
		inner.Position = -1
	}
	return &decoded
}
