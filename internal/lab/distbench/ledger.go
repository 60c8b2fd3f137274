package distbench

import (
	"slices"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
)

// applyLog holds when which version came in force at which limiter, as the appliers and the stand-ins recorded it.
type applyLog struct {
	mutex   sync.Mutex
	applied map[int][]appliedVersion // by limiter
}

func newApplyLog() *applyLog { return &applyLog{applied: map[int][]appliedVersion{}} }

func (l *applyLog) add(a appliedVersion) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applied[a.Limiter] = append(l.applied[a.Limiter], a)
}

// applyLatency is how long after a time a limiter had a version or a newer one in force.
func (l *applyLog) applyLatency(limiter int, version distribution.Version, from time.Time) (latency time.Duration, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range l.applied[limiter] {
		if !a.Version.Less(version) && a.At >= from.UnixNano() {
			return time.Duration(a.At - from.UnixNano()), true
		}
	}
	return 0, false
}

// allApplied tells whether all limiters have had a version or a newer one since a time.
func (l *applyLog) allApplied(limiters []int, version distribution.Version, from time.Time) bool {
	return !slices.ContainsFunc(limiters, func(limiter int) bool {
		_, found := l.applyLatency(limiter, version, from)
		return !found
	})
}

// LateAfter is when a version that is still not in force counts as late.
const LateAfter = 18 * time.Second

// LatencySummary is how long versions took to come in force.
type LatencySummary struct {
	Samples int     `json:"limiters"` // times versions
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Max     float64 `json:"max_s"`
	Late    int     `json:"late"`  // not in force at Late
	Never   int     `json:"never"` // not in force when the case ended; they are in Late too, and not in the times
}

// summarize sums up times, with those that never came.
func summarize(latencies []time.Duration, never int) LatencySummary {
	s := LatencySummary{Samples: len(latencies) + never, Late: never, Never: never}
	if len(latencies) == 0 {
		return s
	}
	slices.Sort(latencies)
	for _, latency := range latencies {
		if latency > LateAfter {
			s.Late++
		}
	}
	s.P50, s.P99, s.Max = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 1)
	return s
}

// quantile is the least of sorted times that a share of them does not pass, in seconds.
func quantile(sorted []time.Duration, share float64) float64 {
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)].Seconds()
}
