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
	c := &cobra.Command{Use: "soak", Short: "play seeded fault runs against real limiters, with failing system calls and clock steps",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) (err error) {
			options.Launcher, err = os.Executable()
			if err != nil {
				return err
			}
			failed := 0
			for seed := first; seed < first+uint64(seeds); seed++ {
				report, err := soak.Play(seed, options)
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
				return fmt.Errorf("%d of %d seeds have findings", failed, seeds)
			}
			return nil
		}}
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 50, "how many seeds")
	c.Flags().Float64Var(&options.Length, "seconds", 12, "seconds of load of each seed")
	c.Flags().IntVar(&options.Limiters, "limiters", 0, "how many limiters, 0 for what each seed draws")
	c.Flags().StringVar(&options.Program, "program", options.Program, "the limiter")
	c.Flags().StringVar(&options.Dir, "out", options.Dir, "folder for the runs' files")
	return c
}
