package distribution

import (
	"cmp"
	"maps"
	"slices"
)

// Limits and intervals of acknowledgements and summaries. Times are in nanoseconds.
const (
	MaxReasonBytes          = 200
	MaxRelayLimiters        = 4096
	MaxSummaryVersions      = 8
	MaxSummaryRefusals      = 4
	AcknowledgementTTL      = 15 * second // how long an acknowledgement or a summary counts
	AcknowledgementInterval = 5 * second  // interval at which a limiter repeats its acknowledgement
	SummaryInterval         = second      // minimum interval between the summaries of a relay
)

// Acknowledgement tells which version a limiter has applied, and which one it refused.
type Acknowledgement struct {
	Limiter   string    `json:"limiter"`
	Version   Version   `json:"version"`
	Condition Condition `json:"condition"`
	Age       int64     `json:"age_ns"` // as Status.Age
	// Refused is the newest version that the limiter refused to apply. It is nil if none was refused, or if a version was
	// applied since. Reason is the cause, truncated to MaxReasonBytes.
	Refused *Version `json:"refused,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// check validates the acknowledgement. Errors: *KeyError, *TooLargeError.
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

// VersionCount is the number of limiters that have applied a version, or for a Refusal have refused it.
type VersionCount struct {
	Version  Version `json:"version"`
	Limiters int     `json:"limiters"`
}

// Refusal is the number of limiters that refused a version, and the reason of the one whose name sorts first.
type Refusal struct {
	VersionCount
	Reason string `json:"reason"`
}

// Summary aggregates the acknowledgements of the limiters of one relay.
type Summary struct {
	Relay string `json:"relay"`
	// Version is the version of the relay itself. Age is the time since the relay last heard from the source, in
	// nanoseconds.
	Version Version `json:"version"`
	Age     int64   `json:"age_ns"`
	// Versions are the newest versions that limiters have applied, at most MaxSummaryVersions, newest first.
	Versions []VersionCount `json:"versions,omitempty"`
	// Older is the number of limiters whose version is older than those in Versions.
	Older int `json:"older,omitempty"`
	// Syncing and Unconfirmed are the numbers of limiters in these conditions.
	Syncing     int `json:"syncing,omitempty"`
	Unconfirmed int `json:"unconfirmed,omitempty"`
	// Refusals are the refusals of the newest refused versions, at most MaxSummaryRefusals, newest first.
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Limiters returns the number of limiters that the summary counts.
func (s Summary) Limiters() int {
	n := s.Older
	for _, v := range s.Versions {
		n += v.Limiters
	}
	return n
}

// check validates the summary. Errors: *KeyError, *TooLargeError.
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

// received is a message with the time of its receipt.
type received[T any] struct {
	value T
	at    int64 // nanoseconds
}

// ackTable holds the newest acknowledgement of each limiter of a relay, by the limiter's name.
type ackTable struct {
	limiters map[string]received[Acknowledgement]
}

func newAckTable() ackTable { return ackTable{map[string]received[Acknowledgement]{}} }

// record stores an acknowledgement. Errors: *KeyError, *TooLargeError.
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

// removeExpired removes acknowledgements older than AcknowledgementTTL.
func (acks *ackTable) removeExpired(now int64) {
	maps.DeleteFunc(acks.limiters,
		func(_ string, n received[Acknowledgement]) bool { return now-n.at > AcknowledgementTTL })
}

// summarize returns the summary of the acknowledgements that have not expired.
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

// Overview is what the source knows about the limiters of all relays.
type Overview struct {
	// Relays are the newest summaries, sorted by the name of the relay.
	Relays []Summary `json:"relays,omitempty"`
	// Silent are the names of the relays that have sent no summary for AcknowledgementTTL, sorted.
	Silent []string `json:"silent,omitempty"`
}

// InForce returns the number of limiters that have applied version or a newer one, and the total number of limiters. A
// limiter that has just switched to another relay may be counted at both for AcknowledgementTTL. Limiters of silent
// relays are not counted.
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

// summaries holds the newest summary of each relay, by the relay's name.
type summaries map[string]received[Summary]

const maxRelays = 256

// record stores a summary. Errors: *KeyError, *TooLargeError.
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

// truncate cuts a text to at most maxBytes, without splitting a UTF-8 character.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && text[maxBytes]&0xC0 == 0x80 { // continuation byte of a UTF-8 character
		maxBytes--
	}
	return text[:maxBytes]
}
