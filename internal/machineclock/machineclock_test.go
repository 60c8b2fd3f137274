package machineclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOriginIsStable: the origin of one clock must not depend on when it is computed.
func TestOriginIsStable(t *testing.T) {
	first := OriginOf(time.Now().UnixNano())
	require.NotEmpty(t, first.BootID)
	time.Sleep(50 * time.Millisecond)
	second := OriginOf(time.Now().UnixNano())
	require.InDelta(t, 0, second.ShiftFrom(first), float64(20*time.Millisecond))
}

// TestShiftFrom: the shift is the step of the clock, and 0 if the machine was rebooted in between or its boot is
// unknown.
func TestShiftFrom(t *testing.T) {
	before := Origin{BootID: "one", At: 1000}
	require.EqualValues(t, 500, Origin{BootID: "one", At: 1500}.ShiftFrom(before))
	require.EqualValues(t, -500, Origin{BootID: "one", At: 500}.ShiftFrom(before))
	require.Zero(t, Origin{BootID: "two", At: 1500}.ShiftFrom(before))
	require.Zero(t, Origin{}.ShiftFrom(before))
	require.Zero(t, Origin{At: 5}.ShiftFrom(Origin{At: 7}))
}
