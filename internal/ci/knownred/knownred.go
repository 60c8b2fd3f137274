// Package knownred plans the run of the tests when KNOWN-RED.txt names tests that are known to be red. It reads and
// writes nothing itself. The form of a line is told at the top of .ci/run.
package knownred

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// MaxEntries is how many lines the file may have.
const MaxEntries = 3

// Entry is one line of the file.
type Entry struct {
	Line, Package, Test, Cause, Issue string
}

var entryPattern = regexp.MustCompile(`^([^\s:]+) ((?:Test|Fuzz|Example)\S*): (\S(?:.*\S)?) \(issue ([1-9][0-9]*)\)$`)

// Parse reads the file's text. Every line is an entry: there are no comments and no blank lines.
func Parse(text string) ([]Entry, error) {
	if text == "" {
		return nil, nil
	}
	var entries []Entry
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if i == MaxEntries {
			return nil, fmt.Errorf("line %d: at most %d tests may be known red", i+1, MaxEntries)
		}
		match := entryPattern.FindStringSubmatch(line)
		if match == nil || slices.Contains(strings.Split(match[2], "/"), "") {
			return nil, fmt.Errorf("line %d: %q is not of the form 'PACKAGE TEST: CAUSE (issue N)'", i+1, line)
		}
		e := Entry{Line: line, Package: match[1], Test: match[2], Cause: match[3], Issue: match[4]}
		for _, earlier := range entries {
			if earlier.Package == e.Package && (sameOrSubtest(earlier.Test, e.Test) || sameOrSubtest(e.Test, earlier.Test)) {
				return nil, fmt.Errorf("line %d: %s is named twice", i+1, e.Test)
			}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// sameOrSubtest tells whether test is whole or one of its sub-tests.
func sameOrSubtest(test, parent string) bool {
	return test == parent || strings.HasPrefix(test, parent+"/")
}

var (
	testCommandLine = regexp.MustCompile(`(?m)^(?:    |\t)(go test\b.*)$`)
	plainWord       = regexp.MustCompile(`^[A-Za-z0-9_./=,:+-]+$`)
	selectionFlag   = regexp.MustCompile(`^--?(test\.)?(run|skip|list|json|C|c|exec)(=|$)`)
)

// Flags takes the test command out of README's text, 'go test FLAGS ./...', and returns its flags. The command is the
// one indented line that begins with 'go test'; it needs no shell, tests every package and leaves the choice of tests
// to this program.
func Flags(readme string) ([]string, error) {
	matches := testCommandLine.FindAllStringSubmatch(readme, -1)
	if len(matches) != 1 {
		return nil, fmt.Errorf("README has %d indented lines that begin with 'go test': one is wanted", len(matches))
	}
	words := strings.Fields(matches[0][1])
	last := len(words) - 1
	if words[last] != "./..." {
		return nil, fmt.Errorf("./... is wanted at the end of README's test command %q", matches[0][1])
	}
	for _, w := range words {
		if !plainWord.MatchString(w) || selectionFlag.MatchString(w) {
			return nil, fmt.Errorf("README's test command %q: %q cannot stand in it", matches[0][1], w)
		}
	}
	return words[2:last], nil
}

// Check finds an entry of a package that there is not, or of a test that its package has not. tests are the names
// that 'go test -list' prints, by package; sub-tests show only when they are run.
func Check(entries []Entry, packages []string, tests map[string][]string) error {
	for _, e := range entries {
		if !slices.Contains(packages, e.Package) {
			return fmt.Errorf("%s: there is no such package", e.Package)
		}
		top, _, _ := strings.Cut(e.Test, "/")
		if !slices.Contains(tests[e.Package], top) {
			return fmt.Errorf("%s: there is no test %s", e.Package, top)
		}
	}
	return nil
}

// Commands is how all tests but the named ones are run: README's command as it stands where none is named; else the
// packages that none is named of together, and each other package with its own tests passed over. -skip knows no
// package, so that one command for all would pass over tests of the same name elsewhere.
func Commands(flags, packages []string, entries []Entry) [][]string {
	test := append([]string{"go", "test"}, flags...)
	if len(entries) == 0 {
		return [][]string{append(test, "./...")}
	}
	skip := map[string][]string{}
	for _, e := range entries {
		skip[e.Package] = append(skip[e.Package], ExactPattern(e.Test))
	}
	var plain []string
	var commands [][]string
	for _, p := range packages {
		if len(skip[p]) == 0 {
			plain = append(plain, p)
		} else {
			commands = append(commands, slices.Concat(test, []string{"-skip", strings.Join(skip[p], "|"), p}))
		}
	}
	if len(plain) > 0 {
		commands = slices.Insert(commands, 0, slices.Concat(test, plain))
	}
	return commands
}

// SingleTestCommand is how one named test is run apart; its events come as JSON.
func SingleTestCommand(flags []string, e Entry) []string {
	return slices.Concat(
		[]string{"go", "test"},
		flags,
		[]string{"-json", "-count=1", "-run", ExactPattern(e.Test), e.Package},
	)
}

// ExactPattern is the pattern that -run and -skip take for one test and no other.
func ExactPattern(test string) string {
	parts := strings.Split(test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// Event is one of test2json's lines, as far as it is of use here.
type Event struct {
	Action, Test string
}

// Judge tells from a test's run alone what became of it, and whether its line may stay.
func Judge(e Entry, events []Event) (verdict string, keep bool) {
	started := false
	for _, ev := range events {
		if ev.Test != e.Test {
			continue
		}
		switch ev.Action {
		case "run":
			started = true
		case "fail":
			return "still red", true
		case "pass":
			return "passes now: take the line out", false
		case "skip":
			return "passes itself over, which is not red: take the line out", false
		}
	}
	if started { // the process ended under it
		return "still red", true
	}
	return "did not run: there is no such test, or what holds it does not come to it", false
}
