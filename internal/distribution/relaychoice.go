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
	var near, far []RelayAddress
	for _, r := range sorted {
		if r.Zone == zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	switch {
	case len(near) == 0 && len(far) == 1:
		return [2]RelayAddress{far[0], far[0]}, nil
	case len(near) == 0:
		return pair(far, position), nil
	case len(far) == 0 && len(near) == 1:
		return [2]RelayAddress{near[0], near[0]}, nil
	case len(far) == 0:
		return pair(near, position), nil
	}
	first := position % len(near)
	return [2]RelayAddress{near[first], far[position/len(near)%len(far)]}, nil
}

// pair gives two different ones of at least two.
func pair(of []RelayAddress, position int) [2]RelayAddress {
	first := position % len(of)
	second := position / len(of) % (len(of) - 1)
	if second >= first {
		second++
	}
	return [2]RelayAddress{of[first], of[second]}
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

// ReturnAfter is after how long on its second relay a subscriber tries its first one again.
const ReturnAfter = 30 * second

// Selector tells which of two relays to ask. The zero value begins with the first.
type Selector struct {
	second bool
	since  int64 // when it went to the second
}

// Selected is 0 for the first relay, 1 for the second.
func (s *Selector) Selected(now int64) int {
	if s.second && now-s.since >= ReturnAfter {
		s.second = false
	}
	if s.second {
		return 1
	}
	return 0
}

// Failed notes that the selected relay did not answer with something of use: the other one is next.
func (s *Selector) Failed(now int64) {
	s.second = !s.second
	s.since = now
}
