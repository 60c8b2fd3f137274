// Command review2-crowd plays a new configuration that moves discovery to one that turns callers away for the first
// seconds.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const (
	limiters = 3
	// afterMove and told are how long after SIGHUP, and after discovery has a change, it counts as told at the latest;
	// grace is the settings' stop-sending-within, and onSockets what every time limit is longer by.
	afterMove, told, grace, onSockets = 4 * time.Second, 6 * time.Second, 250 * time.Millisecond, 50 * time.Millisecond
	// crowded is how long the new discovery turns callers away, from SIGHUP on.
	crowded = 2500 * time.Millisecond
	gap     = 12 * time.Millisecond // between requests
)

func play(c *kit.Case) (ruleBroken bool) {
	var servers []*kit.Server
	var entries []kit.Entry
	for i := range 4 {
		s := kit.NewServer(c, fmt.Sprintf("s-%d", i), 10*time.Millisecond)
		servers = append(servers, s)
		entries = append(entries, s.Entry())
	}
	// Each limiter reaches discovery at an address of its own; the first one's is watched.
	discovery, moved := kit.NewDiscovery(c, append([]kit.Entry{}, entries...)), kit.NewDiscovery(c, append([]kit.Entry{}, entries...))
	counter := kit.StartCounter(c)
	var first kit.Limiter
	var process *kit.Process
	for i := range limiters {
		from := discovery
		if i > 0 {
			from = kit.NewDiscovery(c, entries)
		}
		l := kit.Limiter{Number: i, Limiters: limiters, Listen: c.Address(), Discovery: from.Address, Counter: counter,
			Known: from.Whole(), Polled: true, AskEvery: 10}
		p := l.Start(c, "")
		if i == 0 {
			first, process = l, p
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { load(c, first.Listen, stop) })
	defer clients.Wait()
	defer close(stop)

	time.Sleep(2 * time.Second)
	// A server drains at the discovery that is in charge from now on, and SIGHUP brings its address.
	asked := discovery
	if c.Trouble {
		asked = moved
	}
	drained := asked.Change("s-2", func(e *kit.Entry) { e.Lifecycle = "terminating" })
	bound := drained.Add(told + grace + onSockets)
	if c.Trouble {
		first.Discovery = moved.Address
		first.Write(c)
		if os.Getenv("ONLY") != "move" { // for a look at the move alone
			moved.TurnAway(crowded)
		}
		process.Signal(syscall.SIGHUP)
		bound = time.Now().Add(afterMove + grace + 2*onSockets)
		c.Log("the new discovery has the drain of s-2; it turns callers away for %v", crowded)
	}
	time.Sleep(8 * time.Second)
	for _, call := range asked.Calls() {
		if call.Came.After(drained) {
			c.Log("discovery got %q %.3f s after the drain, turned away: %v, told list %d", call.Query, call.Came.Sub(drained).Seconds(), call.TurnedAway, call.Generation)
		}
	}
	late := 0
	for _, a := range servers[2].Attempts() {
		if a.FirstByte.After(bound) {
			late++
			c.Log("s-2 got %s %.3f s after the last time that the rule allows", a.ID, a.FirstByte.Sub(bound).Seconds())
		}
	}
	for _, s := range servers {
		c.Log("%s got %d requests", s.ID, len(s.Attempts()))
	}
	c.Log("%d requests began at s-2 later than the rule allows", late)
	return late > 0
}

// load sends requests, each on a connection of its own, until stop is closed.
func load(c *kit.Case, listen string, stop <-chan struct{}) {
	outcomes := map[string]int{}
	var wait sync.WaitGroup
	var mutex sync.Mutex
	for number := 1; ; number++ {
		select {
		case <-stop:
			wait.Wait()
			c.Log("the clients' outcomes: %v", outcomes)
			return
		case <-time.After(gap):
		}
		id := fmt.Sprintf("%016x", number)
		wait.Go(func() {
			outcome := kit.Request(listen, id)
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[outcome]++
		})
	}
}
