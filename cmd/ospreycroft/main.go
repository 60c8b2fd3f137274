// Command ospreycroft is one real limiter: it takes clients' jobs and sends them to servers as package choice decides.
package main

import (
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/sockets"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(); err != nil {
		log.Fatalf("event=failed error=%q", err)
	}
}

func run() error {
	hups := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hups, syscall.SIGHUP)
	config, err := read()
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
	renewed := make(chan *settings.Config)
	go func() {
		for range hups {
			if config, err := read(); err == nil {
				renewed <- config
			} else { // the one that is held stays
				log.Printf("event=config-refused error=%q", err)
			}
		}
	}()
	s, err := sockets.Listen(config.Listen, limiter.MostClients(config), config.Sockets)
	if err != nil {
		return err
	}
	// All limiters name their counts by one clock, so it begins as the system's; from then on it only goes forward.
	start := time.Now()
	clock := func() int64 { return start.UnixNano() + int64(time.Since(start)) }
	l, err := limiter.New(clock(), config, s)
	if err != nil {
		return err
	}
	log.Printf("event=started name=%s listen=%s", config.Name, config.Listen)
	s.Run(clock, l, stop, renewed)
	log.Printf("event=stopped name=%s", config.Name)
	return nil
}

// read reads the configuration, at the start and again when SIGHUP says that it was replaced.
func read() (*settings.Config, error) {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return nil, err
	}
	return settings.ReadConfig(text)
}
