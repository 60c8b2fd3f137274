package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ospreycroft/internal/lab/soak"
)

func soakCommand() *cobra.Command {
	var first uint64
	var seeds int
	options := soak.Options{Program: "bin/ospreycroft", Dir: "lab-runs/soak"}
	c := &cobra.Command{Use: "soak",
		Short: "run seeded fault scenarios against real limiters, with failing system calls and clock steps",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) (err error) {
			options.Launcher, err = os.Executable()
			if err != nil {
				return err
			}
			failed := 0
			for seed := first; seed < first+uint64(seeds); seed++ {
				report, err := soak.Run(seed, options)
				if err != nil {
					return err
				}
				report.Write(os.Stdout)
				if !report.Pass() {
					failed++
				}
			}
			fmt.Printf("seeds=%d failed=%d\n", seeds, failed)
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, seeds)
			}
			return nil
		}}
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 50, "number of seeds")
	c.Flags().Float64Var(&options.Length, "seconds", 12, "seconds of load per seed")
	c.Flags().IntVar(&options.Limiters, "limiters", 0, "number of limiters; 0 lets each seed choose")
	c.Flags().StringVar(&options.Program, "program", options.Program, "path of the limiter binary")
	c.Flags().StringVar(&options.Dir, "out", options.Dir, "directory for the files of the runs")
	return c
}
