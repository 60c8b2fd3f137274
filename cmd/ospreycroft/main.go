// Command ospreycroft is one limiter: it accepts requests of clients and forwards them to servers as package choice
// decides.
//
// Without arguments, as the platform starts it, it serves until SIGTERM (run.go). `ospreycroft check` reads a
// configuration and prints its bounds (check.go). GW_CONFIG names the configuration file, GW_OPERATOR the operator's
// file.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"ospreycroft/internal/hint"
	"ospreycroft/internal/logging"
)

func main() {
	logging.Install(os.Stderr)
	defer logging.Flush()
	root := &cobra.Command{
		Use: "ospreycroft", Short: "one limiter; GW_CONFIG names its configuration",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return run() },
	}
	root.AddCommand(checkCommand())
	if err := root.Execute(); err != nil {
		slog.Error("failed", hint.Attrs(err)...)
		logging.Flush()
		os.Exit(1)
	}
}
