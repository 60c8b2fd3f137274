package distribution

import (
	"cmp"
	"slices"
)

// RelayAddress is the name, zone and network address of a relay.
type RelayAddress struct {
	Name    string
	Zone    string
	Address string // host and port
}

// ChooseRelays returns the two relays of a limiter: the first in its own zone and the second in another zone, as far as
// there are such relays. The position distributes the limiters of a zone evenly over the relays of the other zones, so
// that these share the load if the zone loses its relay. If there is only one relay, both are that one. Errors:
// *NoRelayError.
func ChooseRelays(relays []RelayAddress, zone string, position int) ([2]RelayAddress, error) {
	if err := checkRelays(relays); err != nil {
		return [2]RelayAddress{}, err
	}
	if position < 0 {
		return [2]RelayAddress{}, &NoRelayError{Why: "the limiter's position is below 0"}
	}
	sorted := slices.SortedFunc(slices.Values(relays), func(a, b RelayAddress) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	var sameZone, otherZones []RelayAddress
	for _, r := range sorted {
		if r.Zone == zone {
			sameZone = append(sameZone, r)
		} else {
			otherZones = append(otherZones, r)
		}
	}
	switch {
	case len(sameZone) == 0 && len(otherZones) == 1:
		return [2]RelayAddress{otherZones[0], otherZones[0]}, nil
	case len(sameZone) == 0:
		return choosePair(otherZones, position), nil
	case len(otherZones) == 0 && len(sameZone) == 1:
		return [2]RelayAddress{sameZone[0], sameZone[0]}, nil
	case len(otherZones) == 0:
		return choosePair(sameZone, position), nil
	}
	first := position % len(sameZone)
	return [2]RelayAddress{sameZone[first], otherZones[position/len(sameZone)%len(otherZones)]}, nil
}

// choosePair returns two different relays. There must be at least two.
func choosePair(relays []RelayAddress, position int) [2]RelayAddress {
	first := position % len(relays)
	second := position / len(relays) % (len(relays) - 1)
	if second >= first {
		second++
	}
	return [2]RelayAddress{relays[first], relays[second]}
}

func checkRelays(relays []RelayAddress) error {
	if len(relays) == 0 {
		return &NoRelayError{Why: "none is named"}
	}
	seen := map[string]bool{}
	for _, r := range relays {
		if r.Name == "" || r.Address == "" {
			return &NoRelayError{Why: "one has no name or no address"}
		}
		if seen[r.Name] {
			return &NoRelayError{Why: r.Name + " is named twice"}
		}
		seen[r.Name] = true
	}
	return nil
}

// FirstRelayRetryDelay is how long a subscriber uses its second relay before it tries the first one again, in
// nanoseconds.
const FirstRelayRetryDelay = 30 * second

// Selector decides which of two relays to poll. The zero value starts with the first.
type Selector struct {
	useSecond  bool
	switchedAt int64 // when it last switched, in nanoseconds
}

// Selected returns the relay to poll now: 0 for the first, 1 for the second.
func (s *Selector) Selected(now int64) int {
	if s.useSecond && now-s.switchedAt >= FirstRelayRetryDelay {
		s.useSecond = false
	}
	if s.useSecond {
		return 1
	}
	return 0
}

// ReportFailure records that the selected relay gave no usable answer, and selects the other one.
func (s *Selector) ReportFailure(now int64) {
	s.useSecond = !s.useSecond
	s.switchedAt = now
}
