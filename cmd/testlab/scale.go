package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/scale"
)

// scaleCommand measures the slopes from which docs/CAPACITY.md reckons a size.
func scaleCommand() *cobra.Command {
	options := scale.Options{Log: os.Stderr, Command: strings.Join(append([]string{"testlab"}, os.Args[1:]...), " ")}
	var names []string
	for _, experiment := range scale.Experiments() {
		names = append(names, experiment.Name)
	}
	c := &cobra.Command{
		Use:       "scale [EXPERIMENT ...]",
		Short:     "measure how a limiter's cost grows with the fleet around it",
		Long:      "The experiments are " + strings.Join(names, ", ") + "; without a name all of them are run.",
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
	c.Flags().BoolVar(&options.Short, "short", false, "a few seconds for each experiment, to see that it works")
	c.Flags().StringVar(&options.Out, "out", "lab-runs/scale", "folder for the figures and the processes' logs")
	c.Flags().StringVar(&options.Program, "program", "bin/ospreycroft", "the limiter's program")
	return c
}

// scaleHostCommand is the process of hollow limiters that scaleCommand starts.
func scaleHostCommand() *cobra.Command {
	return &cobra.Command{Use: "scale-host", Short: "hollow limiters, as scale tells", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scale.HostMain(os.Stdin, os.Stdout) }}
}
