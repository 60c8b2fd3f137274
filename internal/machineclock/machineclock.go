// Package machineclock relates the wall clocks of a program's lives on one machine to each other. What a life has stored with
// times by its clock is read by a later life, before which the wall clock may have been stepped; the time since the machine's boot
// goes on evenly.
package machineclock

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDPath is the file that holds an id of the machine's present boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Origin is what a clock would have told at the machine's boot. The zero value is of a clock of which that is not known.
type Origin struct {
	BootID string `json:"boot_id,omitempty"`
	At     int64  `json:"at,omitempty"` // nanoseconds of Unix time
}

// OriginOf is the origin of a clock that tells now, in nanoseconds of Unix time; the zero value where the machine does not tell.
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

// ShiftFrom is what has to be added to times by the clock of an earlier origin to have them by this one's; 0 where the two are not
// of the same boot.
func (o Origin) ShiftFrom(earlier Origin) int64 {
	if o.BootID == "" || o.BootID != earlier.BootID {
		return 0
	}
	return o.At - earlier.At
}
