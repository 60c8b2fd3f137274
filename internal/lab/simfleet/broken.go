package simfleet

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"ospreycroft/internal/settings"
)

// What stands here breaks limiters on purpose: a check that cannot be seen to fail says nothing.

func (f *Fleet) isBroken(way Broken) bool { return slices.Contains(f.options.Broken, way) }

// spoilReceived changes what comes to a broken limiter.
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
		answer.Full = false // nor does it miss a server that the list names no more
	}
	return answer.http(false)
}

// allowsWrite tells whether what a broken limiter writes goes out.
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
		end.bytesWritten += int64(len(data)) // the kernel has taken it, for all that the limiter knows
	}
	return allowed
}

// limiterSettings are a limiter's settings, false ones where it is broken so.
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
