// Package machineclock corrects stored wall-clock times for steps of the wall clock. A program that restarts on the
// same machine reads times that it stored before, and the wall clock may have been stepped in between. The time since
// the machine's boot has no steps, so it relates the two clocks to each other.
package machineclock

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDPath is the file with the id of the machine's current boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Origin is the time that a wall clock would have shown at the machine's boot. The zero value means that it is unknown.
type Origin struct {
	BootID string `json:"boot_id,omitempty"`
	At     int64  `json:"at,omitempty"` // Unix time in nanoseconds
}

// OriginOf returns the origin of a clock that now shows now, a Unix time in nanoseconds. It returns the zero value if
// the machine does not provide its boot id or the time since boot.
func OriginOf(now int64) Origin {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Origin{}
	}
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return Origin{}
	}
	return Origin{BootID: strings.TrimSpace(string(id)), At: now - sinceBoot.Nano()}
}

// ShiftFrom returns the nanoseconds to add to a time of the clock with the earlier origin to convert it to the clock
// with this one. It returns 0 if the origins are of different boots or unknown.
func (o Origin) ShiftFrom(earlier Origin) int64 {
	if o.BootID == "" || o.BootID != earlier.BootID {
		return 0
	}
	return o.At - earlier.At
}
