// Package scale measures how the resources that a limiter uses grow with the fleet around it: servers, customers,
// limiters and load. Real limiter processes and hollow limiters, hundreds of them in a few processes, run against the
// stand-ins of package emulator. Each experiment has a file of its own. Its figures are fitted to straight lines,
// from which the needs of another size are estimated.
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

// Options configure a run.
type Options struct {
	Short   bool     // a few seconds per experiment and small sizes, to check that they work
	Out     string   // folder for the figures and the processes' logs; created if missing
	Program string   // path of the limiter's program
	Host    []string // command of a host of hollow limiters; runs with HostVariable set
	Command string   // command line of the run, for the report
	Log     io.Writer
}

// Experiment is one experiment of this package.
type Experiment struct {
	Name, Title string
	run         func(*Harness) error
}

// Experiments returns all experiments in the order in which they run.
func Experiments() []Experiment {
	return []Experiment{
		{"profile", "processor profiles of one hollow limiter", (*Harness).profile},
		{"idle", "an idle limiter's usage over servers and customers seen", (*Harness).idle},
		{"alike", "hollow limiters compared with real processes", (*Harness).alike},
		{"list", "cost of a change of the endpoint list over servers", (*Harness).list},
		{"fleet", "load on discovery and the counter over idle limiters", (*Harness).fleet},
		{"worst", "restarts and outages with all limiters and the full endpoint list", (*Harness).worst},
		{"request", "processor time of a request over servers and load", (*Harness).request},
		{"counter", "calls to the counter and their cost at the counter", (*Harness).counter},
		{"renew", "cost of a change of the configuration by file and SIGHUP", (*Harness).renew},
		{"latency", "the parts of the latency that a limiter adds, over load", (*Harness).latency},
		{"latency-sizes", "the parts of the added latency over servers and customers", (*Harness).latencySizes},
	}
}

// UnknownError reports the name of an experiment that does not exist.
type UnknownError struct{ Name string }

// Error states the unknown name.
func (e *UnknownError) Error() string { return fmt.Sprintf("unknown experiment %q", e.Name) }

// Hint lists the experiments.
func (e *UnknownError) Hint() string {
	var names []string
	for _, experiment := range Experiments() {
		names = append(names, experiment.Name)
	}
	return "name one of " + strings.Join(names, ", ") + ", or none for all"
}

// Harness runs experiments and collects their series.
type Harness struct {
	options   Options
	report    Report
	processes int // number of processes started so far, for their file names
}

// Run runs the named experiments, or all if names is empty, and returns their report. If an experiment fails, Run
// returns the report of what was measured before together with the error; for a folder that cannot be created or an
// unknown name it returns a nil report.
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

// sizes returns the sizes for the short form or those for the full run.
func (h *Harness) sizes(short, full []int) []int {
	if h.options.Short {
		return short
	}
	return full
}

// duration returns the length of a step: full, or at most shortWindow in the short form.
func (h *Harness) duration(full time.Duration) time.Duration {
	if h.options.Short {
		return min(full, shortWindow)
	}
	return full
}

// sampleCount returns the number of samples taken at one size.
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
