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

// configVariable names the configuration's file.
const configVariable = "GW_CONFIG"

// memoryReserveDivisor: the runtime keeps to three of so many parts of the memory, the rest is left for what it does not count.
const memoryReserveDivisor = 4

// run serves until SIGTERM, and ends once all that was accepted is answered.
func run() error {
	reloads := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(reloads, syscall.SIGHUP)
	traceRequests := traceSignal() // before anything else, so that none is missed
	signal.Ignore(syscall.SIGPIPE) // who reads the log may end first: it ends no limiter that owes answers
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
	if err := sockets.Descriptors(config.Sockets); err != nil { // it serves as far as they go
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

// readConfig reads the configuration, at the start and again when SIGHUP says that it was replaced. A read that fails for
// want of something on this machine is made again: it passes, and nobody sends the signal twice.
func readConfig() (config *settings.Config, err error) {
	err = transient.RetryStart(func() error {
		config, err = settings.ReadFile(os.Getenv(configVariable))
		return err
	})
	return config, err
}

// readOptions reads the operator's file, again like the configuration.
func readOptions() (options *operator.Options, err error) {
	err = transient.RetryStart(func() error {
		options, err = operator.Read()
		return err
	})
	return options, err
}

// listen opens the address for clients, again where that fails for want of something on this machine.
func listen(config *settings.Config) (listener *sockets.Sockets, err error) {
	err = transient.RetryStart(func() error {
		listener, err = sockets.Listen(config.Listen, limiter.MaxClients(config), config.Sockets)
		return err
	})
	return listener, err
}

// limitRuntime keeps the Go runtime to one thread that runs Go code at a time, as there is one core (with more, each wake costs a
// search for idle ones), and to a part of the memory.
func limitRuntime(config *settings.Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(config.Memory * (memoryReserveDivisor - 1) / memoryReserveDivisor)
}

// stopSignal gives a channel that is closed at SIGTERM or SIGINT. Its goroutine lasts until then.
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

// traceSignal gives a channel of the signal with which an operator asks for the latest records of the trace.
func traceSignal() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	return signals
}

// logTraceOn has the trace logged at each signal, until the process ends.
func logTraceOn(signals <-chan os.Signal, listener *sockets.Sockets) {
	for range signals {
		listener.LogTrace()
	}
}

// newClock gives the process's clock, in nanoseconds. All limiters name their counts by one clock, so it begins as the system's;
// from then on it only goes forward.
func newClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}

// reloadOn reads the configuration again at each signal, until the process ends. One that cannot be used changes nothing.
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

// logStart logs that the limiter listens, and what its configuration means.
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
