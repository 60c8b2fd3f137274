package runner

import (
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/sloppy"
)

// The test binary stands in for the broken limiter when the lab starts it with this variable set.
func TestMain(m *testing.M) {
	if os.Getenv("OSPLAB_SLOPPY") == "1" {
		if err := sloppy.Main(); err != nil {
			os.Exit(2)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// build builds the real limiter once for the tests of this package.
func build(t *testing.T) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), "ospreycroft")
	cmd := exec.Command("go", "build", "-o", out, "ospreycroft/cmd/ospreycroft")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	return out
}

func experimentFile(t *testing.T, program string, edit func(string) string) *experiment.Experiment {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lab/default.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := strings.Replace(string(text), `program = "bin/ospreycroft"`, `program = "`+program+`"`, 1)
	e, err := experiment.Parse(edit(s))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestDefaultExperimentKeepsTheRules plays the default experiment, faults and all, against the real limiter.
func TestDefaultExperimentKeepsTheRules(t *testing.T) {
	if testing.Short() {
		t.Skip("20 s of load")
	}
	e := experimentFile(t, build(t), func(s string) string { return s })
	r, err := Run(e, t.TempDir(), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r.Verdict.Line())
	if !r.Verdict.Pass {
		t.Fatalf("%s\n%+v", r.Verdict.Line(), r.Verdict.Breaches)
	}
	if r.Verdict.Outcomes["done"] < r.Verdict.Jobs/3 || r.Verdict.Shots == 0 {
		t.Fatalf("too little was done for the run to say anything: %s", r.Verdict.Line())
	}
}

// TestBrokenLimiterIsCaught plays a short run against a limiter that sends binding jobs again after a silence:
// the lab must find the second shots in the servers' records.
func TestBrokenLimiterIsCaught(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("OSPLAB_SLOPPY", "1")
	e := experimentFile(t, self, func(s string) string {
		s = strings.Replace(s, "length = 20.0", "length = 4.0", 1)
		s = strings.Replace(s, "from = 3.0\nuntil = 6.0", "from = 0.5\nuntil = 3.0", 1)
		return s
	})
	r, err := Run(e, t.TempDir(), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Verdict.Pass || r.Verdict.Counts[2] == 0 {
		t.Fatalf("second shots of binding jobs went unseen: %s", r.Verdict.Line())
	}
}
