// Command configdist distributes configuration to limiters. It runs the source and the relays, publishes changes, and
// shows which version is in force at how many limiters. docs/distribution.md describes the design.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ospreycroft/internal/hint"
	"ospreycroft/internal/logging"
)

func main() {
	logging.Install(os.Stderr)
	defer logging.Flush()
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may exit first
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		slog.Error("failed", hint.Attrs(err)...)
		cancel()
		logging.Flush()
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "configdist",
		Short:         "distributes configuration to limiters",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(sourceCommand(), relayCommand(), publishCommand(), statusCommand())
	return command
}
