package distbench

import (
	"slices"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
)

// ledger holds when which version came in force at which limiter, as the appliers and the stand-ins recorded it.
type ledger struct {
	mutex   sync.Mutex
	applied map[int][]applied // by limiter
}

func newLedger() *ledger { return &ledger{applied: map[int][]applied{}} }

func (l *ledger) note(a applied) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applied[a.Limiter] = append(l.applied[a.Limiter], a)
}

// since is how long after a time a limiter had a version or a newer one in force.
func (l *ledger) since(limiter int, version distribution.Version, from time.Time) (after time.Duration, inForce bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range l.applied[limiter] {
		if !a.Version.Less(version) && a.At >= from.UnixNano() {
			return time.Duration(a.At - from.UnixNano()), true
		}
	}
	return 0, false
}

// inForce tells whether all limiters have had a version or a newer one since a time.
func (l *ledger) inForce(limiters []int, version distribution.Version, from time.Time) bool {
	return !slices.ContainsFunc(limiters, func(limiter int) bool {
		_, is := l.since(limiter, version, from)
		return !is
	})
}

// Late is when a version that is still not in force counts as late.
const Late = 18 * time.Second

// Spread is how long versions took to come in force.
type Spread struct {
	Limiters int     `json:"limiters"` // times versions
	P50      float64 `json:"p50_s"`
	P99      float64 `json:"p99_s"`
	Max      float64 `json:"max_s"`
	Late     int     `json:"late"`  // not in force at Late
	Never    int     `json:"never"` // not in force when the case ended; they are in Late too, and not in the times
}

// spreadOf sums up times, with those that never came.
func spreadOf(times []time.Duration, never int) Spread {
	s := Spread{Limiters: len(times) + never, Late: never, Never: never}
	if len(times) == 0 {
		return s
	}
	slices.Sort(times)
	for _, t := range times {
		if t > Late {
			s.Late++
		}
	}
	s.P50, s.P99, s.Max = quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1)
	return s
}

// quantile is the least of sorted times that a share of them does not pass, in seconds.
func quantile(sorted []time.Duration, share float64) float64 {
	at := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(at, 0), len(sorted)-1)].Seconds()
}
