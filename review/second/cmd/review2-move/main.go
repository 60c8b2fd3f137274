// Command review2-move plays a new configuration that moves discovery, at a limiter with a stated rate of calls to
// discovery.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const (
	limiters = 3
	// callsPerSecond is what the operator's file states: a round of limiters/callsPerSecond = 5.36 s.
	callsPerSecond = 0.56
	// afterMove and told are how long after SIGHUP, and after discovery has a change, it counts as told at the latest;
	// grace is the settings' stop-sending-within, and onSockets what every time limit is longer by.
	afterMove, told, grace, onSockets = 4 * time.Second, 6 * time.Second, 250 * time.Millisecond, 50 * time.Millisecond
	gap                               = 12 * time.Millisecond // between requests
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
	operator := c.File("operator.toml", fmt.Sprintf("list_calls_per_s = %g\n", callsPerSecond))
	var first kit.Limiter
	var process *kit.Process
	for i := range limiters {
		from := discovery
		if i > 0 {
			from = kit.NewDiscovery(c, entries)
		}
		l := kit.Limiter{Number: i, Limiters: limiters, Listen: c.Address(), Discovery: from.Address, Counter: counter,
			Known: from.Whole(), Polled: true, AskEvery: 10}
		p := l.Start(c, operator)
		if i == 0 {
			first, process = l, p
		}
	}
	if strings.Contains(process.Output(), "list-late") {
		c.Cannot("the stated rate is too low for the fleet: %s", process.Output())
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { load(c, first.Listen, stop) })
	defer clients.Wait()
	defer close(stop)

	// News right behind a call: its answer, after which the limiter waits for its next slot.
	slot := nextSlot(c, discovery)
	time.Sleep(50 * time.Millisecond)
	discovery.Change("s-1", func(e *kit.Entry) { e.Weight = 1.1 })
	time.Sleep(50 * time.Millisecond)
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
		process.Signal(syscall.SIGHUP)
		bound = time.Now().Add(afterMove + grace + 2*onSockets)
		c.Log("the new discovery has the drain of s-2 and can be reached")
	}
	c.Log("%.3f s into the limiter's round", time.Since(slot).Seconds())
	time.Sleep(8 * time.Second)
	for _, call := range asked.Calls() {
		if call.Came.After(drained) {
			c.Log("discovery got %q %.3f s after the drain and told list %d", call.Query, call.Came.Sub(drained).Seconds(), call.Generation)
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

// nextSlot waits for a slot of the limiter: the call that follows the answer to one that was held.
func nextSlot(c *kit.Case, discovery *kit.Discovery) time.Time {
	if !c.Await(20*time.Second, func() bool {
		calls := discovery.Calls()
		return len(calls) > 0 && calls[len(calls)-1].Answered.IsZero()
	}) {
		c.Cannot("discovery holds no call")
	}
	before := len(discovery.Calls())
	discovery.Change("s-0", func(e *kit.Entry) { e.Weight = 1.05 })
	if !c.Await(20*time.Second, func() bool { return len(discovery.Calls()) > before }) {
		c.Cannot("no call came")
	}
	return discovery.Calls()[before].Came
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
