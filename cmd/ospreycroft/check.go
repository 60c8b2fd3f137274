package main

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/counterloss"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check [CONFIG.json]", Short: "read a configuration and state its bounds", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			path := os.Getenv(configVariable)
			if len(args) == 1 {
				path = args[0]
			}
			return check(path)
		},
	}
}

// check reads a configuration as a limiter does and prints what follows from it: the limits of attempts in flight, the
// priority weights and the bounds.
func check(path string) error {
	config, err := settings.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	plans, classes := config.Settings.Plans, config.Settings.Classes
	fmt.Printf(
		"ok name=%s limiters=%d plans=%d classes=%d\n",
		config.Name,
		config.Settings.Limiters,
		len(plans),
		len(classes),
	)
	for _, name := range slices.Sorted(maps.Keys(plans)) {
		if limit := plans[name].MaxInFlight; limit > 0 {
			fmt.Printf("cap plan=%s attempts_out=%v\n", name, limit)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		fmt.Printf("class name=%s worth=%v\n", name, classes[name].PriorityWeight)
	}
	options, err := operator.Read()
	if err != nil {
		return err
	}
	if err := reportStartBounds(config, options, printEvent); err != nil {
		return err
	}
	return reportCounterLoss(config, printEvent)
}

// printEvent prints an event to standard output.
func printEvent(e logging.Event) { fmt.Println(e) }

// reportCounterLoss reports, for each plan, by how much use can exceed the quota when the shared counter is
// unreachable, reset or partitioned.
func reportCounterLoss(config *settings.Config, report func(logging.Event)) error {
	rows, err := counterloss.Table(config.Settings.Settings)
	if err != nil {
		return err
	}
	for _, bound := range rows {
		report(logging.Event{Name: "counter-loss-bound", Attrs: bound.Attrs(config.Settings.Plans[bound.Plan])})
	}
	return nil
}

// reportStartBounds reports the calls to discovery and the connections to servers when all limiters start at once. If
// the configured call rate makes endpoint lists arrive late, it reports list-late; this is not an error.
func reportStartBounds(config *settings.Config, options *operator.Options, report func(logging.Event)) error {
	startSettings := limiter.ColdStartSettings(
		config,
		limiter.OperatorOptions{DiscoveryCallRate: options.DiscoveryCallRate, ConnectionRate: options.ConnectionRate},
	)
	servers := 0
	if list, err := discovery.DecodeList(config.Known); err == nil {
		servers = len(list.Endpoints)
	}
	advice, err := startSettings.Advise(servers)
	var late *coldstart.LateNotificationError
	if err != nil && !errors.As(err, &late) {
		return err
	}
	if startSettings.PollInterval > 0 {
		report(logging.Event{Name: "start-bound", Attrs: []slog.Attr{
			roundedAttr(
				"list_calls_per_s",
				advice.CallRate,
			), slog.Bool("stated", advice.StatedRate), slog.Bool("even", advice.EvenRate),
			roundedAttr("all_asked_s", float64(advice.AllPolledWithin)/1e9),
		}})
	}
	if advice.ConnectionRate > 0 {
		report(logging.Event{Name: "start-bound", Attrs: []slog.Attr{
			roundedAttr("connections_per_s", startSettings.ConnectionRate),
			roundedAttr("one_limiter", advice.ConnectionRate),
		}})
	}
	if late != nil {
		report(logging.Event{Name: "list-late", Attrs: []slog.Attr{
			slog.String("error", late.Error()), slog.String("hint", late.Hint()),
		}})
	}
	return nil
}

// roundedAttr formats a value with four significant digits.
func roundedAttr(key string, value float64) slog.Attr {
	return slog.String(key, fmt.Sprintf("%.4g", value))
}
