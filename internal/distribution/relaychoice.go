package distribution

import (
	"cmp"
	"slices"
)

// RelayAddress is where a relay is.
type RelayAddress struct {
	Name    string
	Zone    string
	Address string // host and port
}

// ChooseRelays gives the two relays of a limiter: one of its own zone where there is one, and one of another zone
// where there is one. Limiters of a zone are spread over the others by their positions, so that the loss of a relay is
// shared. With one relay in all, both are that one. Errors: *NoRelayError.
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

// choosePair gives two different ones of at least two.
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

// FirstRelayRetryDelay is after how long on its second relay a subscriber tries its first one again.
const FirstRelayRetryDelay = 30 * second

// Selector tells which of two relays to ask. The zero value begins with the first.
type Selector struct {
	useSecond  bool
	switchedAt int64 // when it went to the second
}

// Selected is 0 for the first relay, 1 for the second.
func (s *Selector) Selected(now int64) int {
	if s.useSecond && now-s.switchedAt >= FirstRelayRetryDelay {
		s.useSecond = false
	}
	if s.useSecond {
		return 1
	}
	return 0
}

// ReportFailure notes that the selected relay did not answer with something of use: the other one is next.
func (s *Selector) ReportFailure(now int64) {
	s.useSecond = !s.useSecond
	s.switchedAt = now
}
