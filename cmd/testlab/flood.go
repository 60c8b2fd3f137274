package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/flood"
)

func floodCommand() *cobra.Command {
	options := flood.Options{Program: "bin/ospreycroft", Dir: "lab-runs/flood"}
	var names []string
	c := &cobra.Command{Use: "flood",
		Short: "flood real limiters and count the answers that other clients got late or never",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) (err error) {
			if options.Launcher, err = os.Executable(); err != nil {
				return err
			}
			for _, name := range names {
				kind, found := flood.KindByName(name)
				if !found {
					return fmt.Errorf("unknown kind of flood %q", name)
				}
				options.Kinds = append(options.Kinds, kind)
			}
			if len(names) == 0 {
				options.Kinds = flood.Kinds
			}
			if err := os.MkdirAll(options.Dir, 0o755); err != nil {
				return err
			}
			report, err := flood.Run(options)
			if err != nil {
				return err
			}
			report.Write(os.Stdout)
			if limit := int64(report.Options.MemoryMB) << 20; report.PeakMemory > limit {
				return fmt.Errorf("a limiter held %d MB", report.PeakMemory>>20)
			}
			if total := report.Total(); total.Late+total.Lost > 0 {
				return fmt.Errorf("%d answers were late and %d lost", total.Late, total.Lost)
			}
			return nil
		}}
	c.Flags().StringVar(&options.Program, "program", options.Program, "path of the limiter binary")
	c.Flags().StringVar(&options.Dir, "out", options.Dir, "directory for the files of the run")
	c.Flags().StringSliceVar(&names, "kinds", nil, "kinds of floods; none means all")
	c.Flags().IntVar(&options.Limiters, "limiters", 4, "number of limiters")
	c.Flags().IntVar(&options.Clients, "clients", 6, "flooding clients per flooded limiter")
	c.Flags().DurationVar(&options.Length, "length", 3*time.Second, "length of one flood")
	c.Flags().BoolVar(&options.Together, "together", false, "flood all limiters at once, not one after the other")
	c.Flags().BoolVar(&options.Unread, "unread", false, "the flooding clients read none of their answers")
	c.Flags().IntSliceVar(&options.Cores, "cores", nil, "processors on which the limiters run, in turn")
	c.Flags().IntVar(&options.MemoryMB, "memory", 0, "memory limit of each limiter in MB; 0 means 64")
	c.Flags().IntVar(&options.Sockets, "sockets", 0, "descriptors of each limiter; 0 means 512")
	c.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the usual load")
	return c
}
