package distbench

import (
	"time"

	"ospreycroft/internal/lab/procfs"
)

// usage is what a process has used since it started.
type usage struct {
	at      time.Time
	cpuTime time.Duration
	// read and written by system calls, those of its connections among them, without the heads of TCP and IP
	bytes int64
}

// readUsage reads a process's usage. Errors: *procfs.Error.
func readUsage(pid int) (u usage, err error) {
	u.at = time.Now()
	u.cpuTime, err = procfs.ProcessorTime(pid)
	if err != nil {
		return u, err
	}
	u.bytes, err = procfs.SystemCallBytes(pid)
	return u, err
}

// Load is what processes used between two moments, a second and a sharer.
type Load struct {
	BytesPerSecond float64 `json:"bytes_per_s"`
	CorePercent    float64 `json:"core_percent"` // of one core
}

// loadBetween is the load of one process between two readings, shared by so many.
func loadBetween(before, after usage, count int) Load {
	seconds := after.at.Sub(before.at).Seconds() * float64(count)
	return Load{BytesPerSecond: float64(after.bytes-before.bytes) / seconds,
		CorePercent: 100 * (after.cpuTime - before.cpuTime).Seconds() / seconds}
}
