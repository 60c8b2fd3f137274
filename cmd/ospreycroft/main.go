// Command ospreycroft is one real limiter: it takes clients' requests and sends them to servers as package choice
// decides.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/counterloss"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
	"ospreycroft/internal/sockets"
)

func main() {
	slog.SetDefault(slog.New(logging.NewHandler(os.Stderr)))
	// With no arguments, as the platform starts it, the program is one limiter.
	root := &cobra.Command{Use: "ospreycroft", Short: "one limiter; GW_CONFIG names its configuration",
		Args: cobra.NoArgs, SilenceUsage: true, RunE: func(*cobra.Command, []string) error { return run() }}
	root.AddCommand(&cobra.Command{Use: "check [CONFIG.json]", Short: "read a configuration and state its bounds",
		Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			path := os.Getenv("GW_CONFIG")
			if len(args) == 1 {
				path = args[0]
			}
			config, err := settings.ReadFile(path)
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			fmt.Printf("ok name=%s limiters=%d plans=%d classes=%d\n", config.Name, config.Settings.Limiters,
				len(config.Settings.Plans), len(config.Settings.Classes))
			for _, name := range slices.Sorted(maps.Keys(config.Settings.Plans)) {
				if open := config.Settings.Plans[name].MaxInFlight; open > 0 {
					fmt.Printf("cap plan=%s attempts_out=%v\n", name, open)
				}
			}
			for _, name := range slices.Sorted(maps.Keys(config.Settings.Classes)) {
				fmt.Printf("class name=%s worth=%v\n", name, config.Settings.Classes[name].PriorityWeight)
			}
			stated, err := operator.Read()
			if err != nil {
				return err
			}
			if err := startBounds(config, stated, printEvent); err != nil {
				return err
			}
			return bounds(config, printEvent)
		}})
	if err := root.Execute(); err != nil {
		slog.Error("failed", hint.Attrs(err)...)
		os.Exit(1)
	}
}

// printEvent prints an event for `check`.
func printEvent(e logging.Event) { fmt.Println(e) }

// bounds states, plan by plan, how far use can pass a quota when the counter is lost, emptied or split.
func bounds(config *settings.Config, report func(logging.Event)) error {
	rows, err := counterloss.Table(config.Settings.Settings)
	if err != nil {
		return err
	}
	for _, b := range rows {
		report(logging.Event{Name: "counter-loss-bound", Attrs: b.Attrs(config.Settings.Plans[b.Plan])})
	}
	return nil
}

// startBounds states what a start of all limiters costs the list service, and how late news can come. A budget that is
// too small for the list's clock is said, and is no error.
func startBounds(config *settings.Config, o *operator.Options, report func(logging.Event)) error {
	set := limiter.ColdStartSettings(
		config,
		limiter.OperatorOptions{DiscoveryCallRate: o.DiscoveryCallRate, ConnectionRate: o.ConnectionRate},
	)
	servers := 0
	if list, err := discovery.DecodeList(config.Known); err == nil {
		servers = len(list.Endpoints)
	}
	a, err := set.Advise(servers)
	var late *coldstart.LateNotificationError
	if err != nil && !errors.As(err, &late) {
		return err
	}
	if set.PollInterval > 0 {
		report(logging.Event{Name: "start-bound", Attrs: []slog.Attr{
			roundedAttr("list_calls_per_s", a.CallRate), slog.Bool("stated", a.StatedRate), slog.Bool("even", a.EvenRate),
			roundedAttr("all_asked_s", float64(a.AllPolledWithin)/1e9),
		}})
	}
	if a.ConnectionRate > 0 {
		report(logging.Event{Name: "start-bound", Attrs: []slog.Attr{
			roundedAttr("connections_per_s", set.ConnectionRate), roundedAttr("one_limiter", a.ConnectionRate),
		}})
	}
	if late != nil {
		report(logging.Event{Name: "list-late", Attrs: []slog.Attr{
			slog.String("error", late.Error()), slog.String("hint", late.Hint()),
		}})
	}
	return nil
}

// roundedAttr is a figure with four digits, enough for an operator.
func roundedAttr(key string, value float64) slog.Attr {
	return slog.String(key, fmt.Sprintf("%.4g", value))
}

// snapshots reads what an earlier life of this limiter has left on a disk and begins to write there. Whatever is wrong
// with it is logged, and the start goes on without it.
func snapshots(config *settings.Config, o *operator.Options, stated *limiter.OperatorOptions) (stop func()) {
	if o.SnapshotPath == "" {
		return func() {}
	}
	place := snapshot.Place{
		Dir:          o.SnapshotPath,
		Installation: o.Installation,
		Limiter:      config.Name,
		MaxAge:       o.SnapshotMaxAge,
	}
	var err error
	stated.Snapshot, err = place.Load(atomicfile.Disk{}, time.Now().UnixNano())
	if err != nil {
		slog.Warn("snapshot-refused", hint.Attrs(err)...)
	}
	w := snapshot.NewWriter(atomicfile.Disk{}, place, func(err error) {
		if err == nil {
			slog.Info("snapshot-written")
			return
		}
		slog.Warn("snapshot-unwritten", hint.Attrs(err)...)
	})
	stated.SaveSnapshot = w.Save
	stated.SaveEvery = o.SnapshotMaxAge / 8
	return w.Close
}

func run() error {
	hups := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // who reads the log may end first: it ends no limiter that owes answers
	config, err := read()
	if err != nil {
		return err
	}
	o, err := operator.Read()
	if err != nil {
		return err
	}
	// One thread runs Go code at a time, as there is one core: with more, each wake costs a search for idle ones.
	// A part of the memory is left for what the runtime does not count.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(config.Memory * 3 / 4)
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	// All limiters name their counts by one clock, so it begins as the system's; from then on it only goes forward.
	start := time.Now()
	clock := func() int64 { return start.UnixNano() + int64(time.Since(start)) }
	renewals := newRenewals(config)
	follower := newFollower(config, o, renewals, clock)
	config = renewals.start()
	go func() {
		for range hups {
			if config, err := read(); err == nil {
				renewals.reread(config)
			} else { // the one that is held stays
				slog.Warn("config-refused", hint.Attrs(err)...)
			}
		}
	}()
	if err := sockets.Descriptors(config.Sockets); err != nil { // it serves as far as they go
		slog.Warn("descriptors-short", hint.Attrs(err)...)
	}
	s, err := sockets.Listen(config.Listen, limiter.MaxClients(config), config.Sockets)
	if err != nil {
		return err
	}
	stated := limiter.OperatorOptions{DiscoveryCallRate: o.DiscoveryCallRate, ConnectionRate: o.ConnectionRate}
	defer snapshots(config, o, &stated)()
	l, err := limiter.NewWithOptions(clock(), config, stated, s)
	if err != nil {
		return err
	}
	slog.Info("started", "name", config.Name, "listen", config.Listen)
	if err := bounds(config, logging.Event.Log); err != nil {
		return err
	}
	if *o != (operator.Options{}) {
		if err := startBounds(config, o, logging.Event.Log); err != nil {
			return err
		}
	}
	if follower != nil {
		defer follower.start()()
	}
	s.Run(clock, l, stop, renewals.next)
	l.LogOutcomes()
	slog.Info("stopped", "name", config.Name)
	return nil
}

// read reads the configuration, at the start and again when SIGHUP says that it was replaced.
func read() (*settings.Config, error) { return settings.ReadFile(os.Getenv("GW_CONFIG")) }
