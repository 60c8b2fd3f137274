// Command main runs README's test command in the root of the repository, without the tests that KNOWN-RED.txt lists. It
// then runs each listed test alone and fails if one no longer fails. .ci/run calls it and describes the file's format.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"ospreycroft/internal/ci/knownred"
)

func main() {
	if err := run(".", os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "tests:", err)
		os.Exit(1)
	}
}

func run(root string, out, errOut io.Writer) error {
	readme, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		return err
	}
	flags, err := knownred.Flags(string(readme))
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	entries, commands, err := knownred.Parse(string(text))
	if err != nil {
		return fmt.Errorf("KNOWN-RED.txt: %w", err)
	}
	for _, c := range commands {
		_, _ = fmt.Fprintln(out, "fails sometimes, not run:", c.Line)
	}
	var packages []string
	if len(entries) > 0 {
		packages, err = outputLines(root, errOut, "go", "list", "./...")
		if err != nil {
			return err
		}
		tests := map[string][]string{}
		for _, e := range entries {
			_, _ = fmt.Fprintln(out, "known red, skipped:", e.Line)
			if tests[e.Package] != nil || !slices.Contains(packages, e.Package) {
				continue
			}
			listCommand := append(append([]string{"go", "test"}, flags...), "-list", "^(Test|Fuzz|Example)", e.Package)
			tests[e.Package], err = outputLines(root, errOut, listCommand...)
			if err != nil {
				return fmt.Errorf("KNOWN-RED.txt: failed to list the tests of %s: %w", e.Package, err)
			}
		}
		if err := knownred.Check(entries, packages, tests); err != nil {
			return fmt.Errorf("KNOWN-RED.txt: %w", err)
		}
	}
	var failures []error
	for _, words := range knownred.Commands(flags, packages, entries) {
		_, _ = fmt.Fprintln(out, strings.Join(words, " "))
		if err := command(root, out, errOut, words...).Run(); err != nil {
			failures = append(failures, err)
		}
	}
	for _, e := range entries {
		var events bytes.Buffer
		// The exit status is ignored: the test is expected to fail, and its events hold the result.
		_ = command(root, &events, errOut, knownred.SingleTestCommand(flags, e)...).Run()
		verdict, keep := knownred.Judge(e, parseEvents(&events))
		_, _ = fmt.Fprintf(out, "%s: %s\n", verdict, e.Line)
		if !keep {
			failures = append(failures, fmt.Errorf("KNOWN-RED.txt: %s %s %s", e.Package, e.Test, verdict))
		}
	}
	return errors.Join(failures...)
}

func command(root string, out, errOut io.Writer, words ...string) *exec.Cmd {
	c := exec.Command(words[0], words[1:]...)
	c.Dir = root
	c.Stdout = out
	c.Stderr = errOut
	return c
}

func outputLines(root string, errOut io.Writer, words ...string) ([]string, error) {
	var out bytes.Buffer
	err := command(root, &out, errOut, words...).Run()
	if err != nil {
		_, _ = fmt.Fprint(errOut, out.String())
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n"), err
}

func parseEvents(from io.Reader) (events []knownred.Event) {
	d := json.NewDecoder(from)
	for {
		var e knownred.Event
		if d.Decode(&e) != nil {
			return events
		}
		events = append(events, e)
	}
}
