package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// scratchModule holds the files of a separate module in which a.TestRed and the sub-test a.TestTable/red fail.
var scratchModule = map[string]string{
	"go.mod":    "module scratch\n",
	"README.md": "    go test -v ./...\n",
	"a/a_test.go": `package a

import "testing"

func TestRed(t *testing.T) { t.Error("red") }
func TestRedLonger(t *testing.T) {}
func TestTable(t *testing.T) {
	t.Run("red", func(t *testing.T) { t.Error("red") })
	t.Run("redder", func(t *testing.T) {})
}
`,
	"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) {}\n",
	"c/c.go":      "package c\n",
}

func TestRun(t *testing.T) {
	const (
		red     = "scratch/a TestRed: always fails (issue 1)\n"
		command = "$ bin/testlab soak --first 7120: lost answers, 2 of 5 (issue 3)\n"
		sub     = "scratch/a TestTable/red: always fails (issue 2)\n"
	)
	root := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range scratchModule {
		write(name, text)
	}
	t.Setenv("GOWORK", "off")
	t.Setenv("GOFLAGS", "")
	for _, c := range []struct {
		name, file, wantError string
		want, unwanted        []string
	}{
		{"no file", "-", "exit status", []string{"--- FAIL: TestRed ", "--- PASS: TestRedLonger"}, []string{"known red"}},
		{"an empty file", "", "exit status", []string{"--- FAIL: TestRed "}, []string{"known red"}},
		{"all that are red", red + sub, "",
			[]string{"known red, skipped: " + red, "known red, skipped: " + sub,
				"still red: " + red, "still red: " + sub,
				"--- PASS: TestRedLonger", "--- PASS: TestTable/redder", "--- PASS: TestRed ", "ok  \tscratch/b"},
			[]string{"--- FAIL", "=== RUN   TestTable/red\n"}},
		{"a command", red + sub + command, "", []string{"fails sometimes, not run: " + command, "still red: " + red},
			[]string{"--- FAIL"}},
		{"a command alone", command, "exit status", []string{"fails sometimes, not run: " + command, "--- FAIL: TestRed "},
			nil},
		{"one left out", red, "exit status", []string{"--- FAIL: TestTable/red "}, []string{"--- FAIL: TestRed"}},
		{"a green one", red + sub + strings.Replace(red, "/a", "/b", 1), "scratch/b TestRed passes now",
			[]string{"passes now: take the line out: scratch/b TestRed"}, nil},
		{"a fourth line", red + sub + "scratch/b TestX: x (issue 3)\nscratch/c TestX: x (issue 4)\n", "line 4",
			nil, []string{"---"}},
		{"malformed", "scratch/a TestRed\n", "line 1", nil, []string{"---"}},
		{"no such package", strings.Replace(red, "/a", "/z", 1), "no such package", nil, []string{"---"}},
		{"no such test", strings.Replace(red, "Red", "Re", 1), "there is no test TestRe", nil, []string{"---"}},
		{"no such sub-test", red + strings.Replace(sub, "/red:", "/re:", 1), "did not run", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_ = os.Remove(filepath.Join(root, "KNOWN-RED.txt"))
			if c.file != "-" {
				write("KNOWN-RED.txt", c.file)
			}
			var out strings.Builder
			err := run(root, &out, &out)
			if (err != nil) != (c.wantError != "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("got error %v, want %q", err, c.wantError)
			}
			for _, s := range c.want {
				if !strings.Contains(out.String(), s) {
					t.Errorf("output lacks %q", s)
				}
			}
			for _, s := range c.unwanted {
				if strings.Contains(out.String(), s) {
					t.Errorf("output has unwanted %q", s)
				}
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
	write("README.md", "Tests: see CI.\n")
	if err := run(root, os.Stderr, os.Stderr); err == nil || !strings.Contains(err.Error(), "want exactly one") {
		t.Error("a README without a test command was accepted:", err)
	}
}
