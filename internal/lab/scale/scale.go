// Package scale measures how what a limiter spends grows with the size of the fleet around it: servers, customers,
// limiters and load. Real limiter processes and hollow ones, hundreds in a process, run against the stand-ins of
// package emulator; each experiment stands in a file of its own, and its figures are fitted to straight lines from
// which a size is reckoned.
package scale

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// Options say what to run.
type Options struct {
	Short   bool     // a few seconds for each experiment, small sizes: to see that it works
	Out     string   // folder for the figures and the processes' logs; it is made
	Program string   // the limiter's program
	Host    []string // the command of a host of hollow limiters; HostVariable is set in its environment
	Command string   // how the run was started, for the record
	Log     io.Writer
}

// Experiment is one of those that this package knows.
type Experiment struct {
	Name, Title string
	run         func(*Harness) error
}

// Experiments are all experiments in the order in which they are run.
func Experiments() []Experiment {
	return []Experiment{
		{"profile", "processor profiles of one hollow limiter", (*Harness).profile},
		{"idle", "an idle limiter over servers and customers seen", (*Harness).idle},
		{"alike", "hollow limiters beside real ones", (*Harness).alike},
		{"list", "a change of the list over servers", (*Harness).list},
		{"fleet", "idle limiters by the hundred before discovery", (*Harness).fleet},
		{"worst", "the worst minutes of all limiters before the whole list", (*Harness).worst},
		{"request", "the processor time of a request over servers and load", (*Harness).request},
		{"counter", "calls to the counter, and what one costs there", (*Harness).counter},
		{"renew", "a change of the configuration by file and SIGHUP", (*Harness).renew},
		{"latency", "what a limiter adds to a request, taken apart, over load", (*Harness).latency},
		{"latency-sizes", "the same over servers and customers", (*Harness).latencySizes},
	}
}

// UnknownError is for an experiment that there is not.
type UnknownError struct{ Name string }

// Error says what happened.
func (e *UnknownError) Error() string { return fmt.Sprintf("no experiment is called %q", e.Name) }

// Hint names those that there are.
func (e *UnknownError) Hint() string {
	var names []string
	for _, experiment := range Experiments() {
		names = append(names, experiment.Name)
	}
	return "name one of " + strings.Join(names, ", ") + ", or none for all"
}

// Harness runs experiments and gathers their figures.
type Harness struct {
	options   Options
	report    Report
	processes int // processes started so far, for their files' names
}

// Run runs the named experiments, all where there is no name, and gives their figures; what was measured before an
// error is given with it.
func Run(names []string, options Options) (*Report, error) {
	h := &Harness{options: options}
	if err := os.MkdirAll(options.Out, 0o755); err != nil {
		return nil, err
	}
	for _, name := range names {
		if !slices.ContainsFunc(Experiments(), func(e Experiment) bool { return e.Name == name }) {
			return nil, &UnknownError{name}
		}
	}
	h.report = Report{
		Command:    options.Command,
		Began:      time.Now().UTC().Format(time.RFC3339),
		LoadBefore: procfs.LoadAverage(),
		Short:      options.Short,
	}
	for _, experiment := range Experiments() {
		if len(names) > 0 && !slices.Contains(names, experiment.Name) {
			continue
		}
		h.logf("experiment %s: %s", experiment.Name, experiment.Title)
		if err := experiment.run(h); err != nil {
			return &h.report, fmt.Errorf("%s: %w", experiment.Name, err)
		}
	}
	h.report.LoadAfter = procfs.LoadAverage()
	h.report.TookSeconds = time.Since(parseStart(h.report.Began)).Seconds()
	return &h.report, nil
}

func parseStart(text string) time.Time {
	parsed, _ := time.Parse(time.RFC3339, text)
	return parsed
}

func (h *Harness) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(h.options.Log, time.Now().UTC().Format("15:04:05 ")+format+"\n", args...)
}

// sizes are the short form's or the whole ones.
func (h *Harness) sizes(short, full []int) []int {
	if h.options.Short {
		return short
	}
	return full
}

// duration is how long a step of a whole run takes in this one.
func (h *Harness) duration(full time.Duration) time.Duration {
	if h.options.Short {
		return min(full, shortWindow)
	}
	return full
}

// sampleCount is how many sampleCount are taken at one size.
func (h *Harness) sampleCount() int {
	if h.options.Short {
		return shortSamples
	}
	return fullSamples
}

const (
	shortWindow  = 300 * time.Millisecond
	shortSamples = 2
	fullSamples  = 3
)
