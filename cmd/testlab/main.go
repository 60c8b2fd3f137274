// Command testlab is the project's test lab. It runs an experiment file against real limiters and emulated servers,
// discovery and counter, checks the run against the five invariants and writes its record.
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/flood"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/lab/logsummary"
	"ospreycroft/internal/lab/report"
	"ospreycroft/internal/lab/runner"
	"ospreycroft/internal/lab/syscallshim"
)

func main() {
	syscallshim.LaunchIfRequested()
	flood.SendIfRequested()
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "testlab", Short: "the ospreycroft test lab", SilenceUsage: true}
	root.AddCommand(runCommand(), checkCommand(), judgeCommand(), reportCommand(), sweepCommand(), censusCommand(),
		scaleCommand(), scaleHostCommand(), distributionCommand(), distributionHostCommand(),
		soakCommand(), floodCommand())
	return root
}

func runCommand() *cobra.Command {
	var out string
	var quiet bool
	c := &cobra.Command{Use: "run EXPERIMENT.toml", Short: "run an experiment and check it", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if out == "" {
				out = filepath.Join("lab-runs", e.Name)
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
			progress := func(share float64) { fmt.Fprintf(os.Stderr, "\r[%-40s] %3.0f%%", progressBar(share), share*100) }
			if quiet {
				progress = nil
			}
			result, err := runner.Run(e, out, log, progress)
			if err != nil {
				return err
			}
			fmt.Fprintln(os.Stderr)
			path := filepath.Join(out, "record.json")
			if err := history.Write(path, result.Run); err != nil {
				return err
			}
			runner.Summarise(os.Stdout, result)
			fmt.Printf("record=%s\n", path)
			if !result.Verdict.Pass {
				return fmt.Errorf("an invariant was violated")
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "directory for the record and the limiters' files (default lab-runs/NAME)")
	c.Flags().BoolVar(&quiet, "quiet", false, "do not show a progress bar")
	return c
}

func progressBar(share float64) string {
	n := int(share * 40)
	s := ""
	for range min(n, 40) {
		s += "#"
	}
	return s
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check EXPERIMENT.toml", Short: "validate an experiment file and report errors",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Printf("ok name=%s limiters=%d pools=%d faults=%d seconds=%v\n", e.Name, e.Limiters.Count,
				len(e.Servers), len(e.Faults), e.Length)
			return nil
		}}
}

func judgeCommand() *cobra.Command {
	var grace, slack float64
	c := &cobra.Command{Use: "judge RECORD.json", Short: "check a stored record again", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := history.Read(args[0])
			if err != nil {
				return err
			}
			e, err := experiment.DecodeSettings(r.Settings)
			if err != nil {
				return err
			}
			v := invariants.JudgeRun(r, e, invariants.Tolerances{Late: 50e6,
				Grace: experiment.Nanos(grace), Slack: experiment.Nanos(slack)})
			runner.Summarise(os.Stdout, &runner.Result{Run: r, Verdict: v})
			if !v.Pass {
				return fmt.Errorf("an invariant was violated")
			}
			return nil
		}}
	c.Flags().Float64Var(&grace, "grace", 0.3, "seconds after a drain notice during which an attempt may still start")
	c.Flags().Float64Var(&slack, "slack", 0.15, "allowance above a rate ceiling, in seconds of that rate")
	return c
}

func reportCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "report [LABEL=]RECORD.json ...", Short: "write an HTML page with plots of one or more runs",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var runs []report.Labelled
			for _, arg := range args {
				label, path, named := strings.Cut(arg, "=")
				if !named {
					label = filepath.Base(filepath.Dir(arg))
					path = arg
				}
				r, err := history.Read(path)
				if err != nil {
					return err
				}
				var v invariants.Verdict
				if err := json.Unmarshal(r.Verdict, &v); err != nil {
					return fmt.Errorf("%s: verdict: %w", path, err)
				}
				runs = append(runs, report.Labelled{Label: label, Run: r, Verdict: &v})
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := report.Write(f, runs); err != nil {
				_ = f.Close()
				return err
			}
			fmt.Printf("report=%s\n", out)
			return f.Close()
		}}
	c.Flags().StringVar(&out, "out", "report.html", "path of the HTML page")
	return c
}

func sweepCommand() *cobra.Command {
	var sizes []int
	var perLimiter float64
	var out string
	c := &cobra.Command{Use: "sweep EXPERIMENT.toml", Short: "run an experiment at several fleet sizes",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			points, err := runner.Sweep(e, sizes, perLimiter, out, os.Stdout)
			if err != nil {
				return err
			}
			text, _ := json.MarshalIndent(points, "", " ")
			return os.WriteFile(filepath.Join(out, "sweep.json"), text, 0o644)
		}}
	c.Flags().IntSliceVar(&sizes, "limiters", []int{1, 4, 16, 64}, "fleet sizes")
	c.Flags().Float64Var(&perLimiter, "rate", 40, "offered load, in jobs per second per limiter")
	c.Flags().StringVar(&out, "out", "lab-runs/sweep", "directory for the records")
	return c
}

// censusCommand aggregates the logs of all limiters of a fleet.
func censusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "census LOG ...",
		Short: "aggregate log events over the logs of a fleet of limiters",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			summary := logsummary.New()
			for _, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				err = summary.Read(strings.TrimSuffix(filepath.Base(path), ".log"), f)
				_ = f.Close()
				if err != nil {
					return err
				}
			}
			return summary.Write(c.OutOrStdout())
		},
	}
}
