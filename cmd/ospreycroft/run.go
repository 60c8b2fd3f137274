package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ospreycroft/internal/hint"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/logging"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/sockets"
	"ospreycroft/internal/transient"
)

// configVariable is the environment variable that holds the path of the configuration file.
const configVariable = "GW_CONFIG"

// memoryReserveDivisor: one part in this many of the configured memory is withheld from the Go runtime, for memory that
// the runtime does not count.
const memoryReserveDivisor = 4

// run serves until SIGTERM or SIGINT, and returns once every accepted request is answered.
func run() error {
	reloads := make(chan os.Signal, 1) // one pending signal is enough: the reload reads the latest file
	signal.Notify(reloads, syscall.SIGHUP)
	traceRequests := traceSignal() // registered early, so that no signal is missed
	signal.Ignore(syscall.SIGPIPE) // the log reader may exit first; accepted requests are still answered
	config, err := readConfig()
	if err != nil {
		return err
	}
	options, err := readOptions()
	if err != nil {
		return err
	}
	limitRuntime(config)
	if options.SnapshotPath != "" {
		initCrashFile(options.SnapshotPath, config.Name)
	}
	stop := stopSignal()
	clock := newClock()
	configs := newConfigUpdates(config)
	follower := newFollower(config, options, configs, clock)
	config = configs.start()
	go reloadOn(reloads, configs)
	if err := sockets.CheckDescriptors(config.Sockets); err != nil { // serve with as many as there are
		slog.Warn("descriptors-short", hint.Attrs(err)...)
	}
	listener, err := listen(config)
	if err != nil {
		return err
	}
	limiterOptions := limiter.OperatorOptions{
		DiscoveryCallRate: options.DiscoveryCallRate,
		ConnectionRate:    options.ConnectionRate,
	}
	defer startSnapshots(config, options, &limiterOptions, clock)()
	l, err := limiter.NewWithOptions(clock(), config, limiterOptions, listener)
	if err != nil {
		return err
	}
	if err := logStart(config, options); err != nil {
		return err
	}
	if follower != nil {
		defer follower.start()()
	}
	go logTraceOn(traceRequests, listener)
	listener.Run(clock, l, stop, configs.updates)
	l.LogOutcomes()
	slog.Info("stopped", "name", config.Name)
	return nil
}

// readConfig reads the configuration file, at the start and again on SIGHUP. A read that fails because of a temporary
// shortage on this machine is retried, since nobody sends the signal twice.
func readConfig() (config *settings.Config, err error) {
	err = transient.RetryStart(func() error {
		config, err = settings.ReadFile(os.Getenv(configVariable))
		return err
	})
	return config, err
}

// readOptions reads the operator's file, with the same retries as readConfig.
func readOptions() (options *operator.Options, err error) {
	err = transient.RetryStart(func() error {
		options, err = operator.Read()
		return err
	})
	return options, err
}

// listen opens the address for clients, with the same retries as readConfig.
func listen(config *settings.Config) (listener *sockets.Sockets, err error) {
	err = transient.RetryStart(func() error {
		listener, err = sockets.Listen(config.Listen, limiter.MaxClients(config), config.Sockets)
		return err
	})
	return listener, err
}

// limitRuntime limits the Go runtime to part of the configured memory and to one thread that runs Go code at a time:
// there is one core, and with more threads each wake-up costs a search for idle ones.
func limitRuntime(config *settings.Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(config.Memory * (memoryReserveDivisor - 1) / memoryReserveDivisor)
}

// stopSignal returns a channel that is closed on SIGTERM or SIGINT. Its goroutine runs until then.
func stopSignal() <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

// traceSignal returns a channel of SIGUSR1 signals, by which an operator requests the latest records of the trace.
func traceSignal() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	return signals
}

// logTraceOn logs the trace on each signal, until the process exits.
func logTraceOn(signals <-chan os.Signal, listener *sockets.Sockets) {
	for range signals {
		listener.LogTrace()
	}
}

// newClock returns the process's clock, in nanoseconds. It starts at the wall clock's time, because all limiters name
// the counter's windows by the same clock, and then advances monotonically.
func newClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}

// reloadOn reads the configuration again on each signal, until the process exits. A file that cannot be used is logged
// and changes nothing.
func reloadOn(signals <-chan os.Signal, configs *configUpdates) {
	for range signals {
		config, err := readConfig()
		if err != nil {
			slog.Warn("config-refused", hint.Attrs(err)...)
			continue
		}
		configs.reloadFile(config)
	}
}

// logStart logs that the limiter listens, and the bounds that follow from its configuration.
func logStart(config *settings.Config, options *operator.Options) error {
	slog.Info("started", "name", config.Name, "listen", config.Listen)
	if err := reportCounterLoss(config, logging.Event.Log); err != nil {
		return err
	}
	if *options == (operator.Options{}) {
		return nil
	}
	return reportStartBounds(config, options, logging.Event.Log)
}
