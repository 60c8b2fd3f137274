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

// buildLimiter builds the limiter program and returns its path.
func buildLimiter(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "ospreycroft")
	output, err := exec.Command(
		"go", "build", "-ldflags=-linkmode=external", "-o", program, "ospreycroft/cmd/ospreycroft").CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// requireOthersAnswered runs floods and fails the test if an answer of a usual client is late or lost.
func requireOthersAnswered(t *testing.T, options Options) {
	t.Helper()
	options.Launcher = os.Args[0]
	options.Dir = t.TempDir()
	options.Seed = 1
	report, err := Run(options)
	require.NoError(t, err)
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	require.Empty(t, report.Failures)
	total := report.Total()
	require.Zero(t, total.Late, "late answers")
	require.Zero(t, total.Lost, "lost answers")
	require.Greater(t, total.Served, total.Requests/2)
	require.LessOrEqual(t, report.PeakMemory, int64(report.Options.MemoryMB)<<20)
}

// TestOthersAnsweredDuringFlood guards against answers of usual clients that are late or lost while others flood.
func TestOthersAnsweredDuringFlood(t *testing.T) {
	program := buildLimiter(t)
	for _, unread := range []bool{false, true} {
		requireOthersAnswered(t, Options{
			Program: program, Kinds: Kinds, Limiters: 2, Clients: 6, Length: time.Second, Together: true, Unread: unread,
		})
	}
}

// TestOthersAnsweredDuringFloodOfMany guards against the same, and against too much memory, with hundreds of senders.
func TestOthersAnsweredDuringFloodOfMany(t *testing.T) {
	requireOthersAnswered(t, Options{
		Program: buildLimiter(t), Kinds: Kinds, Limiters: 1, Clients: 240, Length: time.Second,
	})
}
