package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the limiter that the tests run.
var program string

// TestMain runs this binary as a host of hollow limiters if the harness started it as one. Otherwise it builds the
// limiter and runs the tests.
func TestMain(m *testing.M) {
	if os.Getenv(HostVariable) != "" {
		if err := HostMain(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "ospreycroft")
	build := exec.Command("go", "build", "-o", program, "ospreycroft/cmd/ospreycroft")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
