package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/scale"
)

// scaleCommand measures how a limiter's resource use grows with the fleet. The capacity formulas in docs/CAPACITY.md
// use the slopes that it reports.
func scaleCommand() *cobra.Command {
	options := scale.Options{Log: os.Stderr, Command: strings.Join(append([]string{"testlab"}, os.Args[1:]...), " ")}
	var names []string
	for _, experiment := range scale.Experiments() {
		names = append(names, experiment.Name)
	}
	c := &cobra.Command{
		Use:       "scale [EXPERIMENT ...]",
		Short:     "measure how a limiter's resource use grows with the size of the fleet",
		Long:      "The experiments are " + strings.Join(names, ", ") + "; without arguments all of them are run.",
		ValidArgs: names,
		RunE: func(c *cobra.Command, args []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			options.Host = []string{executable, "scale-host"}
			report, err := scale.Run(args, options)
			if report == nil {
				return err
			}
			if writeErr := report.WriteTable(c.OutOrStdout()); writeErr != nil {
				return writeErr
			}
			path := filepath.Join(options.Out, "scale.json")
			if saveErr := report.Save(path); saveErr != nil {
				return saveErr
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "record=%s\n", path)
			return err
		},
	}
	c.Flags().BoolVar(&options.Short, "short", false, "run each experiment for a few seconds only, as a smoke test")
	c.Flags().StringVar(&options.Out, "out", "lab-runs/scale", "directory for results and process logs")
	c.Flags().StringVar(&options.Program, "program", "bin/ospreycroft", "path of the limiter binary")
	return c
}

// scaleHostCommand returns the hidden command of a process that scaleCommand starts to run hollow limiters.
func scaleHostCommand() *cobra.Command {
	return &cobra.Command{Use: "scale-host", Short: "run hollow limiters for scale", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scale.HostMain(os.Stdin, os.Stdout) }}
}
