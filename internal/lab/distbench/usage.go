package distbench

import (
	"time"

	"ospreycroft/internal/lab/procfs"
)

// usage is what a process has used since it started.
type usage struct {
	at        time.Time
	processor time.Duration
	// read and written by system calls, those of its connections among them, without the heads of TCP and IP
	bytes int64
}

// usageOf reads a process's usage. Errors: *procfs.Error.
func usageOf(pid int) (u usage, err error) {
	u.at = time.Now()
	u.processor, err = procfs.ProcessorTime(pid)
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
func loadBetween(before, after usage, sharers int) Load {
	seconds := after.at.Sub(before.at).Seconds() * float64(sharers)
	return Load{BytesPerSecond: float64(after.bytes-before.bytes) / seconds,
		CorePercent: 100 * (after.processor - before.processor).Seconds() / seconds}
}
