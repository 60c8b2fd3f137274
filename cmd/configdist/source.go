package main

import (
	"context"
	"log/slog"

	"github.com/spf13/cobra"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
)

// sourceOptions are the flags of the source command.
type sourceOptions struct {
	listen, dir, name, installation string
	epoch                           uint64
}

func sourceCommand() *cobra.Command {
	o := &sourceOptions{}
	c := &cobra.Command{Use: "source", Short: "run the source, which accepts and distributes changes",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return runSource(c.Context(), o) }}
	c.Flags().StringVar(&o.listen, "listen", "127.0.0.1:7401", "address to listen on; calls are not authenticated")
	c.Flags().StringVar(&o.dir, "dir", "", "existing directory for the state file")
	c.Flags().StringVar(&o.name, "name", "source", "name of the state file, without its extension")
	c.Flags().StringVar(&o.installation, "installation", "", "name of the installation; the state of another is refused")
	c.Flags().Uint64Var(&o.epoch, "epoch", 0, "epoch to open, above all earlier ones; 0 for one above the stored one")
	return c
}

// runSource runs the source until ctx is done. Errors: *FlagError, *ListenError, *SourceStateError,
// *distribution.FencedError, *distribution.EpochStepError.
func runSource(ctx context.Context, o *sourceOptions) error {
	if o.dir == "" {
		return &FlagError{Name: "--dir", Value: "empty", Want: "a directory for the state"}
	}
	clock := newMonotonicClock()
	handler, log, err := newPersistingHandler(o, clock)
	if err != nil {
		return err
	}
	source := distribution.NewSource(log, distribution.Budget{})
	epoch := o.epoch
	if epoch == 0 {
		epoch = source.Head().Epoch + 1
	}
	change, err := source.Open(clock(), epoch)
	if err != nil {
		return err
	}
	if err := handler.persistWithRetries(ctx, change); err != nil {
		return &SourceStateError{Path: handler.stateFile.Path(), Cause: err}
	}
	go handler.retrySaves(ctx)
	listener, err := listen(o.listen)
	if err != nil {
		return err
	}
	slog.Info(
		"source-started",
		"epoch",
		change.Version.Epoch,
		"version",
		change.Version.Number,
		"entries",
		source.State().Len(),
	)
	sourceServer := transport.NewSourceServer(source, clock)
	handler.next = sourceServer
	server := sourceServer.HTTP()
	server.Handler = handler
	return serve(ctx, server, listener)
}
