package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/distbench"
)

// distributionCommand measures the configuration distribution at its size; docs/distribution-measured.md holds its
// figures.
func distributionCommand() *cobra.Command {
	options := distbench.Options{Log: os.Stderr, Hollow: 550, Hosts: 5, Real: 4, RelaysInZone: 2, Entries: 1000}
	short := false
	c := &cobra.Command{
		Use:       "distribution [CASE ...]",
		Short:     "measure how long published configuration takes to be in force",
		Long:      "The cases are " + strings.Join(distbench.CaseNames, ", ") + "; without a name all of them are run.",
		ValidArgs: distbench.CaseNames,
		RunE: func(c *cobra.Command, args []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			options.Host = []string{executable, "distribution-host"}
			if err := os.MkdirAll(options.Dir, 0o755); err != nil {
				return err
			}
			report, err := distbench.Run(args, short, options)
			report.Command = strings.Join(append([]string{"testlab"}, os.Args[1:]...), " ")
			if writeErr := report.WriteTable(c.OutOrStdout()); writeErr != nil {
				return writeErr
			}
			path, saveErr := report.Save(options.Dir)
			if saveErr != nil {
				return saveErr
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "\nrecord=%s\n", path)
			return err
		},
	}
	c.Flags().BoolVar(&short, "short", false, "a few seconds for each case, to see that it works")
	c.Flags().
		StringVar(&options.Dir, "out", "lab-runs/distribution", "new folder for the figures and the processes' files")
	c.Flags().StringVar(&options.Programs.Limiter, "limiter", "bin/ospreycroft", "the limiter's program")
	c.Flags().StringVar(&options.Programs.Distribution, "distribution", "bin/configdist", "the distribution's program")
	c.Flags().IntVar(&options.Hollow, "hollow", options.Hollow, "hollow limiters")
	c.Flags().IntVar(&options.RelaysInZone, "relays", options.RelaysInZone, "relays in each of four zones")
	return c
}

// distributionHostCommand is the process of hollow limiters that distributionCommand starts.
func distributionHostCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "distribution-host",
		Short:  "hollow limiters, as distribution tells",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return distbench.HostMain(os.Stdin, os.Stdout) },
	}
}
