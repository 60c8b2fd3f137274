package main

import (
	"context"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/hint"
)

// relayOptions are the flags of the relay command.
type relayOptions struct {
	listen, source, zone, name string
	dialTimeout                time.Duration
}

func relayCommand() *cobra.Command {
	o := &relayOptions{}
	c := &cobra.Command{Use: "relay", Short: "run a relay, which serves the limiters of its zone", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runRelay(c.Context(), o) }}
	c.Flags().StringVar(&o.listen, "listen", "127.0.0.1:7400", "address to listen on; calls are not authenticated")
	c.Flags().StringVar(&o.source, "source", "", "address of the source")
	c.Flags().StringVar(&o.zone, "zone", "", "zone that the relay serves")
	c.Flags().StringVar(&o.name, "name", "relay", "name of the relay within its zone")
	c.Flags().
		DurationVar(&o.dialTimeout, "dial-timeout", 500*time.Millisecond, "timeout of a connection to the source")
	return c
}

// runRelay runs a relay until ctx is done. Errors: *FlagError, *ListenError.
func runRelay(ctx context.Context, o *relayOptions) error {
	switch {
	case o.source == "":
		return &FlagError{Name: "--source", Value: "empty", Want: "the source's address, host:port"}
	case o.zone == "":
		return &FlagError{Name: "--zone", Value: "empty", Want: "the name of the relay's zone"}
	case o.dialTimeout <= 0:
		return &FlagError{Name: "--dial-timeout", Value: o.dialTimeout, Want: "a duration above 0"}
	}
	listener, err := listen(o.listen)
	if err != nil {
		return err
	}
	clock := newMonotonicClock()
	name := o.zone + "/" + o.name
	relay := distribution.NewRelay(clock(), distribution.RelayOptions{Name: name})
	server := transport.NewRelayServer(relay, clock)
	follower := transport.NewRelayFollower(
		relay,
		server,
		transport.FollowerOptions{Servers: [2]string{o.source, o.source},
			DialTimeout: o.dialTimeout, Position: positionOf(name), Clock: clock, OnError: newCallErrorLogger(clock),
			OnVersion: func(s *distribution.Snapshot) {
				slog.Info("config-version", "epoch", s.Version.Epoch, "version", s.Version.Number)
			}},
	)
	ctx, cancel := context.WithCancel(ctx)
	var following sync.WaitGroup
	following.Go(func() { follower.Run(ctx) })
	defer following.Wait()
	defer cancel()
	slog.Info("relay-started", "name", name, "source", o.source)
	return serve(ctx, server.HTTP(), listener)
}

// positionCount is how many positions there are among which relays spread their polls.
const positionCount = 4096

// positionOf returns the position of a relay, a hash of its name.
func positionOf(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % positionCount)
}

// errorLogInterval is the least time between two logged call errors.
const errorLogInterval = 10 * time.Second

// newCallErrorLogger returns a function that logs call errors, at most one per errorLogInterval. The function is not
// safe for concurrent use.
func newCallErrorLogger(clock func() int64) func(error) {
	nextLogAt := int64(0)
	return func(err error) {
		if now := clock(); now >= nextLogAt {
			nextLogAt = now + int64(errorLogInterval)
			slog.Warn("config-call-failed", hint.Attrs(err)...)
		}
	}
}
