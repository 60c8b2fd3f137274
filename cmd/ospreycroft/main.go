// Command ospreycroft is one real limiter: it takes clients' requests and sends them to servers as package choice
// decides.
package main

import (
	"errors"
	"fmt"
	"log"
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
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
	"ospreycroft/internal/sockets"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
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
			if err := startBounds(config, stated, func(line string) { fmt.Println(line) }); err != nil {
				return err
			}
			return bounds(config, func(line string) { fmt.Println(line) })
		}})
	if err := root.Execute(); err != nil {
		log.Fatalf("event=failed %s", hint.LogFields(err))
	}
}

// bounds states, plan by plan, how far use can pass a quota when the counter is lost, emptied or split.
func bounds(config *settings.Config, say func(string)) error {
	rows, err := counterloss.Table(config.Settings.Settings)
	if err != nil {
		return err
	}
	for _, b := range rows {
		say("event=count-loss-bound " + b.Line(config.Settings.Plans[b.Plan]))
	}
	return nil
}

// startBounds states what a start of all limiters costs the list service, and how late news can come. A budget that is
// too small for the list's clock is said, and is no error.
func startBounds(config *settings.Config, o *operator.Options, say func(string)) error {
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
		say(fmt.Sprintf("event=start-bound list_calls_per_s=%.4g stated=%v even=%v all_asked_s=%.4g",
			a.CallRate, a.StatedRate, a.EvenRate, float64(a.AllPolledWithin)/1e9))
	}
	if a.ConnectionRate > 0 {
		say(
			fmt.Sprintf(
				"event=start-bound connections_per_s=%.4g one_limiter=%.4g",
				set.ConnectionRate,
				a.ConnectionRate,
			),
		)
	}
	if late != nil {
		say("event=list-late " + hint.LogFields(late))
	}
	return nil
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
		log.Printf("event=snapshot-refused %s", hint.LogFields(err))
	}
	w := snapshot.NewWriter(atomicfile.Disk{}, place, func(err error) {
		if err == nil {
			log.Printf("event=snapshot-written")
			return
		}
		log.Printf("event=snapshot-unwritten %s", hint.LogFields(err))
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
				log.Printf("event=config-refused %s", hint.LogFields(err))
			}
		}
	}()
	if err := sockets.Descriptors(config.Sockets); err != nil { // it serves as far as they go
		log.Printf("event=descriptors-short %s", hint.LogFields(err))
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
	log.Printf("event=started name=%s listen=%s", config.Name, config.Listen)
	if err := bounds(config, func(line string) { log.Print(line) }); err != nil {
		return err
	}
	if *o != (operator.Options{}) {
		if err := startBounds(config, o, func(line string) { log.Print(line) }); err != nil {
			return err
		}
	}
	if follower != nil {
		defer follower.start()()
	}
	s.Run(clock, l, stop, renewals.next)
	l.LogOutcomes()
	log.Printf("event=stopped name=%s", config.Name)
	return nil
}

// read reads the configuration, at the start and again when SIGHUP says that it was replaced.
func read() (*settings.Config, error) { return settings.ReadFile(os.Getenv("GW_CONFIG")) }
