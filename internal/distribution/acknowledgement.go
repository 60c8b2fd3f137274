package distribution

import (
	"cmp"
	"maps"
	"slices"
)

// Bounds of acknowledgements and their sums.
const (
	MaxReasonBytes       = 200
	MaxRelayLimiters     = 4096
	MaxSummaryVersions   = 8
	MaxSummaryRefusals   = 4
	AcknowledgementTTL   = 15 * second // after which a limiter that says nothing is counted no more
	AcknowledgementEvery = 5 * second  // after which a limiter says it again
	SummaryEvery         = second      // a relay sums up no more often
)

// Acknowledgement is which version a limiter has in force, and which one it refused.
type Acknowledgement struct {
	Limiter   string    `json:"limiter"`
	Version   Version   `json:"version"`
	Condition Condition `json:"condition"`
	Age       int64     `json:"age_ns"` // as in Status
	// Refused is the newest version that the limiter did not put in force, and Reason why, of MaxReasonBytes at most.
	Refused *Version `json:"refused,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// check refuses an acknowledgement that cannot be. Errors: *KeyError, *TooLargeError.
func (a Acknowledgement) check() error {
	switch {
	case a.Limiter == "":
		return &KeyError{Why: "of an acknowledgement names no limiter"}
	case len(a.Limiter) > MaxNameBytes:
		return &TooLargeError{What: "a limiter's name", Bytes: len(a.Limiter), Max: MaxNameBytes}
	case len(a.Reason) > MaxReasonBytes:
		return &TooLargeError{What: "the reason of a refusal", Bytes: len(a.Reason), Max: MaxReasonBytes}
	case a.Condition != Current && a.Condition != Syncing && a.Condition != Unconfirmed:
		return &KeyError{Why: "of an acknowledgement has the condition " + truncate(string(a.Condition), 20)}
	}
	return nil
}

// VersionCount is how many limiters have a version in force.
type VersionCount struct {
	Version  Version `json:"version"`
	Limiters int     `json:"limiters"`
}

// Refusal is how many limiters refused a version, and the reason of the first of them by name.
type Refusal struct {
	VersionCount
	Reason string `json:"reason"`
}

// Summary sums up the acknowledgements of one relay's limiters.
type Summary struct {
	Relay string `json:"relay"`
	// Version is the relay's own, and Age how long ago it heard the source, in nanoseconds.
	Version Version `json:"version"`
	Age     int64   `json:"age_ns"`
	// Versions are the newest MaxSummaryVersions versions in force, the newest first.
	Versions []VersionCount `json:"versions,omitempty"`
	// Older is how many limiters have one older than these in force.
	Older int `json:"older,omitempty"`
	// Syncing and Unconfirmed are how many of all these limiters are in that condition.
	Syncing     int `json:"syncing,omitempty"`
	Unconfirmed int `json:"unconfirmed,omitempty"`
	// Refusals are those of the newest MaxSummaryRefusals versions that were refused, the newest first.
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Limiters is how many limiters a summary counts.
func (s Summary) Limiters() int {
	n := s.Older
	for _, v := range s.Versions {
		n += v.Limiters
	}
	return n
}

// check refuses a summary that cannot be. Errors: *KeyError, *TooLargeError.
func (s Summary) check() error {
	switch {
	case s.Relay == "" || len(s.Relay) > MaxNameBytes:
		return &KeyError{Why: "of a summary names no relay"}
	case len(s.Versions) > MaxSummaryVersions:
		return &TooLargeError{
			What:  "the number of versions in a summary",
			Bytes: len(s.Versions),
			Max:   MaxSummaryVersions,
		}
	case len(s.Refusals) > MaxSummaryRefusals:
		return &TooLargeError{
			What:  "the number of refusals in a summary",
			Bytes: len(s.Refusals),
			Max:   MaxSummaryRefusals,
		}
	case s.Older < 0 || s.Syncing < 0 || s.Unconfirmed < 0:
		return &KeyError{Why: "of a summary counts less than none"}
	}
	for _, v := range s.Versions {
		if v.Limiters < 0 {
			return &KeyError{Why: "of a summary counts less than none"}
		}
	}
	return nil
}

// received is something that was said at a time.
type received[T any] struct {
	value T
	at    int64
}

// ackTable holds the newest acknowledgement of each limiter of a relay.
type ackTable struct {
	limiters map[string]received[Acknowledgement]
}

func newAckTable() ackTable { return ackTable{map[string]received[Acknowledgement]{}} }

// record notes an acknowledgement. Errors: *KeyError, *TooLargeError.
func (acks *ackTable) record(now int64, a Acknowledgement) error {
	if err := a.check(); err != nil {
		return err
	}
	_, exists := acks.limiters[a.Limiter]
	if !exists && len(acks.limiters) >= MaxRelayLimiters {
		acks.removeExpired(now)
	}
	if !exists && len(acks.limiters) >= MaxRelayLimiters {
		return &TooLargeError{
			What:  "the number of limiters at a relay",
			Bytes: len(acks.limiters) + 1,
			Max:   MaxRelayLimiters,
		}
	}
	acks.limiters[a.Limiter] = received[Acknowledgement]{a, now}
	return nil
}

// removeExpired drops the limiters that have said nothing for long.
func (acks *ackTable) removeExpired(now int64) {
	maps.DeleteFunc(acks.limiters, func(_ string, n received[Acknowledgement]) bool { return now-n.at > AcknowledgementTTL })
}

// summarize sums up what the limiters said lately.
func (acks *ackTable) summarize(now int64, relay string) Summary {
	acks.removeExpired(now)
	s := Summary{Relay: relay}
	versions := map[Version]int{}
	refusals := map[Version]Refusal{}
	for _, name := range slices.Sorted(maps.Keys(acks.limiters)) {
		a := acks.limiters[name].value
		versions[a.Version]++
		switch a.Condition {
		case Syncing:
			s.Syncing++
		case Unconfirmed:
			s.Unconfirmed++
		}
		if a.Refused != nil {
			r, exists := refusals[*a.Refused]
			if !exists {
				r = Refusal{VersionCount: VersionCount{Version: *a.Refused}, Reason: a.Reason}
			}
			r.Limiters++
			refusals[*a.Refused] = r
		}
	}
	for i, version := range versionsNewestFirst(versions) {
		if i < MaxSummaryVersions {
			s.Versions = append(s.Versions, VersionCount{version, versions[version]})
		} else {
			s.Older += versions[version]
		}
	}
	for i, version := range versionsNewestFirst(refusals) {
		if i < MaxSummaryRefusals {
			s.Refusals = append(s.Refusals, refusals[version])
		}
	}
	return s
}

func versionsNewestFirst[T any](byVersion map[Version]T) []Version {
	return slices.SortedFunc(maps.Keys(byVersion), func(a, b Version) int {
		return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Number, a.Number))
	})
}

// Overview is what the source knows of all relays' limiters.
type Overview struct {
	// Relays are the newest summaries, in the order of the relays' names.
	Relays []Summary `json:"relays,omitempty"`
	// Silent are the relays that have sent none for AcknowledgementLife, by name.
	Silent []string `json:"silent,omitempty"`
}

// InForce is how many limiters have a version or a newer one in force, and how many there are in all. A limiter that
// has just changed its relay may be counted at both for AcknowledgementLife. Those of silent relays are not counted.
func (o Overview) InForce(version Version) (inForce, limiters int) {
	for _, s := range o.Relays {
		limiters += s.Limiters()
		for _, v := range s.Versions {
			if !v.Version.Less(version) {
				inForce += v.Limiters
			}
		}
	}
	return inForce, limiters
}

// summaries holds the newest summary of each relay.
type summaries map[string]received[Summary]

const maxRelays = 256

// record notes a summary. Errors: *KeyError, *TooLargeError.
func (all summaries) record(now int64, s Summary) error {
	if err := s.check(); err != nil {
		return err
	}
	if _, exists := all[s.Relay]; !exists && len(all) >= maxRelays {
		return &TooLargeError{What: "the number of relays", Bytes: len(all) + 1, Max: maxRelays}
	}
	all[s.Relay] = received[Summary]{s, now}
	return nil
}

func (all summaries) overview(now int64) (o Overview) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if n := all[name]; now-n.at > AcknowledgementTTL {
			o.Silent = append(o.Silent, name)
		} else {
			o.Relays = append(o.Relays, n.value)
		}
	}
	return o
}

// truncate cuts a text to at most so many bytes.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && text[maxBytes]&0xC0 == 0x80 { // not within a character
		maxBytes--
	}
	return text[:maxBytes]
}
