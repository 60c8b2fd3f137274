package distbench

import (
	"time"

	"ospreycroft/internal/lab/procfs"
)

// usage is what a process has used since it started, or a sum over processes.
type usage struct {
	at      time.Time
	cpuTime time.Duration
	// bytes counts what system calls read and wrote, on connections and elsewhere, without TCP and IP headers.
	bytes int64
}

// readUsage reads the current usage of a process. Errors: *procfs.Error.
func readUsage(pid int) (u usage, err error) {
	u.at = time.Now()
	u.cpuTime, err = procfs.ProcessorTime(pid)
	if err != nil {
		return u, err
	}
	u.bytes, err = procfs.SystemCallBytes(pid)
	return u, err
}

// Load is the mean use of resources over a period, for one limiter, relay or source.
type Load struct {
	BytesPerSecond float64 `json:"bytes_per_s"`
	CorePercent    float64 `json:"core_percent"` // percent of one core
}

// loadBetween returns the load between two readings, divided evenly among count limiters or processes.
func loadBetween(before, after usage, count int) Load {
	seconds := after.at.Sub(before.at).Seconds() * float64(count)
	return Load{BytesPerSecond: float64(after.bytes-before.bytes) / seconds,
		CorePercent: 100 * (after.cpuTime - before.cpuTime).Seconds() / seconds}
}
