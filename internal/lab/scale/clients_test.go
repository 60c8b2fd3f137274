package scale

import (
	"bufio"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/procfs"
)

// TestReadAnswer checks that exactly one answer of a limiter or a server is consumed and that the bytes after it stay
// unread.
func TestReadAnswer(t *testing.T) {
	const rest = "+rest\r\n"
	for text, first := range map[string]byte{
		"$5\r\nvalue\r\n": '$', "-BUSY 20\r\n": '-', "+PONG\r\n": '+',
		"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n":       '$',
		"*3\r\n$5\r\nvalue\r\n$3\r\na=1\r\n$-1\r\n": '$',
	} {
		near, far := net.Pipe()
		go func() { _, _ = far.Write([]byte(text + rest)) }()
		conn := &clientConn{near, bufio.NewReader(near)}
		got, err := conn.readAnswer()
		require.NoError(t, err, text)
		require.Equal(t, first, got, text)
		line, err := conn.in.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, rest, line, text)
		_ = near.Close()
		_ = far.Close()
	}
}

// TestProcessorTime checks that the processor time read from /proc grows while the process is busy, and that its
// resident memory is read.
func TestProcessorTime(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before, err := procfs.ProcessorTime(os.Getpid())
	require.NoError(t, err)
	for start := time.Now(); time.Since(start) < 100*time.Millisecond; {
	}
	after, err := procfs.ProcessorTime(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, after-before, 5*time.Millisecond)
	resident, err := procfs.Resident(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, resident, 1e6)
}

func TestEndedProcess(t *testing.T) {
	var missing *procfs.Error
	_, err := procfs.ProcessorTime(-1)
	require.ErrorAs(t, err, &missing)
	require.NotEmpty(t, missing.Hint())
	_, err = procfs.Resident(-1)
	require.ErrorAs(t, err, &missing)
}

// TestSeriesRow checks that a row of the table holds the points, the fitted line, and the mark of an estimate.
func TestSeriesRow(t *testing.T) {
	h := &Harness{options: Options{Log: &strings.Builder{}}}
	h.addSeries(Series{Experiment: "e", Quantity: "q", Unit: "ms", Over: "servers", Mechanism: "m",
		Points: []Point{{20, []float64{1, 2, 3}}, {8500, []float64{11, 12, 13}}}})
	h.addFigure(Series{Experiment: "e", Quantity: "r", Unit: "1", Estimated: true}, 12345678)
	rows := h.report.Series
	require.Contains(t, rows[0].row(), "e | q | ms | servers | 20: 2 (1..3), 8500: 12 (11..13) | 1.976 + 0.001179")
	require.Contains(t, rows[0].row(), "residual 0.8165", "residual of all samples, not of their medians")
	require.NotNil(t, rows[0].Line)
	require.Nil(t, rows[1].Line)
	require.Contains(t, rows[1].row(), "12.3M")
	require.Contains(t, rows[1].row(), "reckoned")
	var table strings.Builder
	require.NoError(t, h.report.WriteTable(&table))
	require.Contains(t, table.String(), rows[1].row())
}
