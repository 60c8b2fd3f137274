package distbench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// Loads are the loads of the fleet's parts over a period.
type Loads struct {
	During  string `json:"during"`
	Limiter Load   `json:"limiter"` // mean of the hollow limiters
	Real    Load   `json:"real"`    // mean of the real limiters, including their traffic with discovery
	Relay   Load   `json:"relay"`   // mean of the relays
	Source  Load   `json:"source"`
}

// Report is the result of a run.
type Report struct {
	Date        string         `json:"date"`
	Command     string         `json:"command"`
	Hollow      int            `json:"hollow"`
	Hosts       int            `json:"hosts"`
	Real        int            `json:"real"`
	Relays      int            `json:"relays"`
	Entries     int            `json:"entries"`
	LoadBefore  string         `json:"machine_load_before"`
	LoadAfter   string         `json:"machine_load_behind"`
	StartedCold LatencySummary `json:"started_cold"` // from the fleet's start; not part of the case cold
	Cases       []Case         `json:"cases"`
	Loads       []Loads        `json:"loads"`
	NotRun      []string       `json:"not_run,omitempty"`
}

// Run runs cases on one fleet, all cases if names is empty. With an error, the report holds what was measured until
// then. Errors: *UnknownCaseError, *StartError, *procfs.Error, *ports.KeepError, and those of transport.Client.
func Run(names []string, isShort bool, options Options) (*Report, error) {
	if len(names) == 0 {
		names = CaseNames
	}
	parameters := fullParameters
	if isShort {
		parameters = shortParameters
	}
	report := &Report{
		Date:   time.Now().UTC().Format(time.DateTime),
		Hollow: options.Hollow,
		Hosts:  options.Hosts,
		Real:   options.Real,
		Relays: options.RelaysInZone * len(
			zones,
		),
		Entries:    options.Entries,
		LoadBefore: procfs.LoadAverage(),
		NotRun:     names,
	}
	defer func() { report.LoadAfter = procfs.LoadAverage() }()
	started := time.Now()
	fleet, err := StartFleet(options)
	if err != nil {
		return report, err
	}
	defer fleet.Stop()
	coldStart := fleet.measure("", fleet.hollowNumbers(anyLimiter), publication{fleet.latest, started})
	report.StartedCold = coldStart.Hollow
	time.Sleep(parameters.settleTime)
	for i, name := range names {
		cases, loads, err := fleet.runCaseWithLoads(name, parameters)
		if err != nil {
			return report, fmt.Errorf("%s: %w", name, err)
		}
		report.Cases = append(report.Cases, cases...)
		report.Loads = append(report.Loads, loads...)
		report.NotRun = names[i+1:]
		time.Sleep(parameters.settleTime)
	}
	return report, nil
}

// runCaseWithLoads runs a case. It measures the load over an idle period before the case calm, during the case changes
// and during a cold start.
func (f *Fleet) runCaseWithLoads(name string, parameters caseParameters) (cases []Case, loads []Loads, err error) {
	if name == "calm" {
		idle, err := f.measureLoads(fmt.Sprintf("idle for %v", parameters.idleTime),
			func() error { time.Sleep(parameters.idleTime); return nil })
		if err != nil {
			return nil, nil, err
		}
		loads = append(loads, idle)
	}
	switch name {
	case "changes":
	case "cold":
		return f.runColdWithLoads(parameters)
	default:
		cases, err = f.runCase(name, parameters)
		return cases, loads, err
	}
	used, err := f.measureLoads(name, func() error { cases, err = f.runCase(name, parameters); return err })
	return cases, append(loads, used), err
}

// runColdWithLoads runs the case cold. Its relays and hosts are new processes, so their usage before the case is zero.
func (f *Fleet) runColdWithLoads(parameters caseParameters) ([]Case, []Loads, error) {
	before, err := f.readUsages()
	if err != nil {
		return nil, nil, err
	}
	before.hosts, before.relays = usage{at: time.Now()}, usage{at: time.Now()}
	cases, err := f.runCold(parameters)
	if err != nil {
		return nil, nil, err
	}
	after, err := f.readUsages()
	if err != nil {
		return cases, nil, err
	}
	return cases, []Loads{f.loadsBetween("a cold start until all have the state", before, after)}, nil
}

// measureLoads returns the loads of the fleet's processes while run runs.
func (f *Fleet) measureLoads(during string, run func() error) (Loads, error) {
	before, err := f.readUsages()
	if err != nil {
		return Loads{}, err
	}
	if err := run(); err != nil {
		return Loads{}, err
	}
	after, err := f.readUsages()
	if err != nil {
		return Loads{}, err
	}
	return f.loadsBetween(during, before, after), nil
}

func (f *Fleet) loadsBetween(during string, before, after usages) Loads {
	return Loads{During: during, Limiter: loadBetween(before.hosts, after.hosts, len(f.hollow)),
		Real: loadBetween(
			before.real,
			after.real,
			max(len(f.real), 1),
		), Relay: loadBetween(before.relays, after.relays, len(f.relays)),
		Source: loadBetween(before.source, after.source, 1)}
}

// usages are the usages of the fleet's parts, each summed over the processes of the part.
type usages struct{ hosts, real, relays, source usage }

func (f *Fleet) readUsages() (totals usages, err error) {
	for _, h := range f.hosts {
		u, err := h.usage()
		if err != nil {
			return totals, err
		}
		totals.hosts.add(u)
	}
	for _, l := range f.real {
		if err := totals.real.addProcess(l.Process); err != nil {
			return totals, err
		}
	}
	for _, r := range f.relays {
		if err := totals.relays.addProcess(r.Process); err != nil {
			return totals, err
		}
	}
	return totals, totals.source.addProcess(f.source)
}

func (u *usage) addProcess(p *Process) error {
	processUsage, err := readUsage(p.Pid())
	u.add(processUsage)
	return err
}

func (u *usage) add(other usage) {
	u.at = other.at
	u.cpuTime += other.cpuTime
	u.bytes += other.bytes
}

// WriteTable writes the report as Markdown tables.
func (r *Report) WriteTable(out io.Writer) error {
	table := fmt.Sprintf(
		"`%s` on %s: %d hollow limiters in %d processes, %d real ones, %d relays, %d entries; load of the machine %s before, %s behind.\n\n",
		r.Command,
		r.Date,
		r.Hollow,
		r.Hosts,
		r.Real,
		r.Relays,
		r.Entries,
		r.LoadBefore,
		r.LoadAfter,
	)
	table += "| case | times measured | p50 s | p99 s | max s | late at 18 s | never | real: p50 s | real: max s | real: late |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
	for _, c := range append(
		[]Case{{Name: "the run's own start, processes and first reads", Hollow: r.StartedCold}}, r.Cases...) {
		real := "- | - | -"
		if c.Real.Samples > 0 {
			real = fmt.Sprintf("%.3f | %.3f | %d", c.Real.P50, c.Real.Max, c.Real.Late)
		}
		hollow := c.Hollow
		table += fmt.Sprintf(
			"| %s | %d | %.3f | %.3f | %.3f | %d | %d | %s |\n",
			c.Name,
			hollow.Samples,
			hollow.P50,
			hollow.P99,
			hollow.Max,
			hollow.Late,
			hollow.Never,
			real,
		)
	}
	table += "\n| during | part | bytes/s | % of a core |\n| --- | --- | --- | --- |\n"
	for _, l := range r.Loads {
		for _, part := range []struct {
			name string
			Load
		}{{"a hollow limiter", l.Limiter}, {"a real limiter, its discovery's calls in it", l.Real},
			{"a relay", l.Relay}, {"the source", l.Source}} {
			table += fmt.Sprintf(
				"| %s | %s | %.0f | %.3f |\n",
				l.During,
				part.name,
				part.BytesPerSecond,
				part.CorePercent,
			)
		}
	}
	for _, name := range r.NotRun {
		table += "\nNot run: " + name
	}
	_, err := io.WriteString(out, table)
	return err
}

// Save writes the report to distribution.json in a directory, and returns the file's path.
func (r *Report) Save(dir string) (path string, err error) {
	path = filepath.Join(dir, "distribution.json")
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return path, err
	}
	return path, os.WriteFile(path, append(text, '\n'), 0o644)
}
