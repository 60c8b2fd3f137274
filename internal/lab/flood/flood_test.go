package flood

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain lets the test binary serve as the sender of floods.
func TestMain(m *testing.M) {
	SendIfRequested()
	os.Exit(m.Run())
}

// TestOthersAnsweredDuringFlood guards against answers of usual clients that are late or lost while others flood.
func TestOthersAnsweredDuringFlood(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ospreycroft")
	output, err := exec.Command(
		"go", "build", "-ldflags=-linkmode=external", "-o", program, "ospreycroft/cmd/ospreycroft").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, unread := range []bool{false, true} {
		report, err := Run(Options{
			Program: program, Launcher: os.Args[0], Dir: t.TempDir(), Kinds: Kinds, Limiters: 2, Clients: 6,
			Length: time.Second, Unread: unread, Seed: 1,
		})
		require.NoError(t, err)
		var text strings.Builder
		report.Write(&text)
		t.Log(text.String())
		require.Empty(t, report.Failures)
		total := report.Total()
		require.Zero(t, total.Late, "late answers")
		require.Zero(t, total.Lost, "lost answers")
		require.Greater(t, total.Served, total.Requests/2)
		require.LessOrEqual(t, report.PeakMemory, int64(memoryMB)<<20)
	}
}
