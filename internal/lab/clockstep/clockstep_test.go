package clockstep

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStep checks that a step changes the wall clock of a process and leaves its monotonic clock alone.
func TestStep(t *testing.T) {
	dir := t.TempDir()
	library, err := Build(dir)
	require.NoError(t, err)
	clock, err := New(library, filepath.Join(dir, "clock"))
	require.NoError(t, err)
	program := filepath.Join(dir, "teller")
	sourcePath := filepath.Join(dir, "teller.go")
	require.NoError(t, os.WriteFile(sourcePath, []byte(`package main

import ("C"; "bufio"; "fmt"; "os"; "time")

func main() {
	start := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		now := time.Now()
		fmt.Println(now.Unix(), int64(now.Sub(start).Seconds()))
	}
}
`), 0o600))
	output, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, sourcePath).CombinedOutput()
	require.NoError(t, err, string(output))
	command := exec.Command(program)
	command.Env = append(os.Environ(), clock.Environment()...)
	in, err := command.StdinPipe()
	require.NoError(t, err)
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	lines := bufio.NewScanner(out)
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 7 * time.Second} {
		require.NoError(t, clock.Step(step))
		_, err := in.Write([]byte("\n"))
		require.NoError(t, err)
		require.True(t, lines.Scan())
		var wall, elapsed int64
		_, err = fmt.Sscan(lines.Text(), &wall, &elapsed)
		require.NoError(t, err)
		require.InDelta(t, time.Now().Add(step).Unix(), wall, 1)
		require.InDelta(t, 0, elapsed, 1)
	}
	_ = in.Close()
	require.NoError(t, command.Wait())
}
