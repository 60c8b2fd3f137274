package sockets

import (
	"log/slog"
	"runtime/metrics"
	"sync/atomic"

	"ospreycroft/internal/limiter"
)

// reducerLogInterval is the time between two log lines on the reducer, nanoseconds.
const reducerLogInterval = 5e9

// reducerStats measures how long the reducer holds its goroutine and how late its timers run, as maxima since the last
// log line. Times are nanoseconds. The counts are changed by the goroutines that read as well.
type reducerStats struct {
	longestStep     int64
	longestStepKind string       // the event of that step
	latestTimer     int64        // longest time between the time set by SetTimer and the delivery of TimersDue
	longestUnread   int64        // longest time that a client's bytes waited in the kernel
	longestQueued   int64        // longest time that a client's bytes waited between the kernel and the limiter
	queuedBytes     int          // largest number of received bytes in one batch
	pausedReads     atomic.Int64 // times that reading from a client stopped until its bytes were delivered
	blockedReads    atomic.Int64 // times that a reader waited because maxQueuedBytes were waiting
	loggedAt        int64
}

// stepDone records the step of an event.
func (r *reducerStats) stepDone(kind string, duration int64) {
	if duration > r.longestStep {
		r.longestStep = duration
		r.longestStepKind = kind
	}
}

// timersDue records by how much the timers are late.
func (r *reducerStats) timersDue(late int64) { r.latestTimer = max(r.latestTimer, late) }

// dataWaited records how long the data of an event has waited, if that is known.
func (r *reducerStats) dataWaited(e queuedEvent) {
	if e.arrivedAt == 0 {
		return
	}
	r.longestUnread = max(r.longestUnread, e.unreadFor)
	r.longestQueued = max(r.longestQueued, elapsed()-e.arrivedAt-e.unreadFor)
}

// batchTaken records the number of received bytes in a batch.
func (r *reducerStats) batchTaken(bytes int) { r.queuedBytes = max(r.queuedBytes, bytes) }

// logIfDue logs the maxima and the limiter's use of memory, once in reducerLogInterval, and starts anew.
func (r *reducerStats) logIfDue(now int64, l *limiter.Limiter) {
	if r.loggedAt == 0 {
		r.loggedAt = now
	}
	if now-r.loggedAt < reducerLogInterval {
		return
	}
	usage := l.Usage()
	slog.Info("reducer", "longest_step_ms", milliseconds(r.longestStep), "longest_step", r.longestStepKind,
		"timers_late_ms", milliseconds(r.latestTimer), "unread_ms", milliseconds(r.longestUnread),
		"queued_ms", milliseconds(r.longestQueued), "queued_bytes", r.queuedBytes,
		"paused_reads", r.pausedReads.Swap(0), "blocked_reads", r.blockedReads.Swap(0), "memory_mb", runtimeMegabytes(),
		"accounts", usage.Accounts, "requests", usage.Requests, "timers", usage.Timers,
		"connections", usage.Connections, "input_bytes", usage.InputBytes)
	r.longestStep, r.longestStepKind, r.latestTimer, r.longestUnread, r.longestQueued, r.queuedBytes = 0, "", 0, 0, 0, 0
	r.loggedAt = now
}

// milliseconds converts nanoseconds, with a resolution of a microsecond.
func milliseconds(nanoseconds int64) float64 { return float64(nanoseconds/1e3) / 1e3 }

// Names of the runtime's metrics whose difference is the memory that the runtime has taken and not given back.
const (
	totalMemoryMetric    = "/memory/classes/total:bytes"
	releasedMemoryMetric = "/memory/classes/heap/released:bytes"
)

// runtimeMegabytes returns the memory that the Go runtime holds, in MB.
func runtimeMegabytes() uint64 {
	samples := []metrics.Sample{{Name: totalMemoryMetric}, {Name: releasedMemoryMetric}}
	metrics.Read(samples)
	return (samples[0].Value.Uint64() - samples[1].Value.Uint64()) >> 20
}
