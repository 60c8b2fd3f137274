package distbench

import (
	"slices"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
)

// applyLog holds which versions each hollow limiter applied and when, as its applier recorded them.
type applyLog struct {
	mutex   sync.Mutex
	applied map[int][]appliedVersion // by limiter number, in order of arrival
}

func newApplyLog() *applyLog { return &applyLog{applied: map[int][]appliedVersion{}} }

func (l *applyLog) add(a appliedVersion) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applied[a.Limiter] = append(l.applied[a.Limiter], a)
}

// applyLatency returns how long after from a limiter first applied a version or a newer one. Records before from do not
// count; found is false if there is no other.
func (l *applyLog) applyLatency(
	limiter int, version distribution.Version, from time.Time) (latency time.Duration, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range l.applied[limiter] {
		if !a.Version.Less(version) && a.At >= from.UnixNano() {
			return time.Duration(a.At - from.UnixNano()), true
		}
	}
	return 0, false
}

// allApplied reports whether all limiters have applied a version or a newer one at or after from.
func (l *applyLog) allApplied(limiters []int, version distribution.Version, from time.Time) bool {
	return !slices.ContainsFunc(limiters, func(limiter int) bool {
		_, found := l.applyLatency(limiter, version, from)
		return !found
	})
}

// LateAfter is the latency above which a version counts as applied late.
const LateAfter = 18 * time.Second

// LatencySummary summarizes how long limiters took to apply versions.
type LatencySummary struct {
	Samples int     `json:"limiters"` // limiters times versions
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Max     float64 `json:"max_s"`
	Late    int     `json:"late"`  // not applied within LateAfter
	Never   int     `json:"never"` // not applied when the case ended; counted in Late too, but not in the quantiles
}

// summarize computes the summary of latencies, with never further samples that were not applied. It sorts latencies.
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

// quantile returns the smallest of the sorted durations that a share of them does not exceed, in seconds.
func quantile(sorted []time.Duration, share float64) float64 {
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)].Seconds()
}
