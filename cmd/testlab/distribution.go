package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/distbench"
)

// distributionCommand measures how long published configuration takes to come into force in a fleet of full size. The
// results are recorded in docs/distribution-measured.md.
func distributionCommand() *cobra.Command {
	options := distbench.Options{Log: os.Stderr, Hollow: 550, Hosts: 5, Real: 4, RelaysInZone: 2, Entries: 1000}
	short := false
	c := &cobra.Command{
		Use:       "distribution [CASE ...]",
		Short:     "measure how long published configuration takes to come into force",
		Long:      "The cases are " + strings.Join(distbench.CaseNames, ", ") + "; without arguments all of them are run.",
		ValidArgs: distbench.CaseNames,
		RunE: func(c *cobra.Command, args []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			options.HostCommand = []string{executable, "distribution-host"}
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
	c.Flags().BoolVar(&short, "short", false, "run each case for a few seconds only, as a smoke test")
	c.Flags().
		StringVar(&options.Dir, "out", "lab-runs/distribution", "new directory for results and process files")
	c.Flags().StringVar(&options.Programs.Limiter, "limiter", "bin/ospreycroft", "path of the limiter binary")
	c.Flags().StringVar(&options.Programs.Distribution, "distribution", "bin/configdist", "path of the configdist binary")
	c.Flags().IntVar(&options.Hollow, "hollow", options.Hollow, "number of hollow limiters")
	c.Flags().IntVar(&options.RelaysInZone, "relays", options.RelaysInZone, "relays in each of the four zones")
	return c
}

// distributionHostCommand returns the hidden command of a process that distributionCommand starts to run hollow
// limiters.
func distributionHostCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "distribution-host",
		Short:  "run hollow limiters for the distribution command",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return distbench.HostMain(os.Stdin, os.Stdout) },
	}
}
