// Command review2-count plays the restart of a limiter that SIGHUP has moved to another discovery, which counts its lists
// otherwise than the one that the list of the configuration is from.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const (
	wait = 20 * time.Second
	// told is how long after discovery has a change, and after a start, it counts as told at the latest; grace is the
	// settings' stop-sending-within, and onSockets what every time limit is longer by.
	told, grace, onSockets = 6 * time.Second, 250 * time.Millisecond, 50 * time.Millisecond
	gap                    = 25 * time.Millisecond // between requests
	// The lists' numbers: of the old discovery's list, and of the new one's latest list.
	oldNumber, newNumber = 41, 60
)

func play(c *kit.Case) (ruleBroken bool) {
	var servers []*kit.Server
	var entries []kit.Entry
	for i := range 4 {
		s := kit.NewServer(c, fmt.Sprintf("s-%d", i), 10*time.Millisecond)
		servers = append(servers, s)
		entries = append(entries, s.Entry())
	}
	older, newer := kit.NewDiscovery(c, append([]kit.Entry{}, entries...)), kit.NewDiscovery(c, append([]kit.Entry{}, entries...))
	reweigh(older, oldNumber)
	listen := c.Address()
	configuration := kit.Limiter{Listen: listen, Limiters: 1, Discovery: older.Address, Counter: kit.StartCounter(c), Known: older.Whole()}
	limiter := configuration.Start(c, "")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { load(c, listen, stop) })
	defer clients.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)

	// A new configuration moves discovery.
	configuration.Discovery = newer.Address
	configuration.Write(c)
	limiter.Signal(syscall.SIGHUP)
	if !c.Await(wait, func() bool { return len(newer.Calls()) > 1 }) {
		c.Cannot("the limiter did not move: %s", limiter.Output())
	}
	c.Log("the limiter follows the new discovery, which is at list %d", newer.Whole().Generation)
	time.Sleep(time.Second)
	drained := newer.Change("s-3", func(e *kit.Entry) { e.Lifecycle = "terminating" })
	c.Log("s-3 drains, list %d of the new discovery", newer.Whole().Generation)
	time.Sleep(time.Second)
	reweigh(newer, newNumber)
	c.Log("the new discovery is at list %d", newer.Whole().Generation)
	time.Sleep(time.Second)
	before := late(c, servers[3], drained.Add(grace+onSockets))
	c.Log("%d requests have reached s-3 later than %v after its drain", before, grace+onSockets)

	bound := drained.Add(told + grace + onSockets)
	calls := len(newer.Calls())
	if c.Trouble {
		limiter.End(syscall.SIGTERM)
		started := time.Now()
		limiter = configuration.Start(c, "")
		bound = started.Add(told + grace + onSockets)
	}
	time.Sleep(time.Until(bound) + 5*time.Second)
	for i, call := range newer.Calls() {
		if i >= calls && i < calls+3 {
			c.Log("the new discovery got %q and told list %d", call.Query, call.Generation)
		}
	}
	for _, s := range servers {
		c.Log("%s got %d requests", s.ID, len(s.Attempts()))
	}
	count := late(c, servers[3], bound)
	c.Log("%d requests began at s-3, which drains, later than %v after the limiter's start", count, told+grace+onSockets)
	return count > 0
}

// reweigh changes weights until the list has a number.
func reweigh(d *kit.Discovery, number int) {
	for i := 0; d.Whole().Generation < number; i++ {
		d.Change("s-0", func(e *kit.Entry) { e.Weight = 1 + float64(i%2)/100 })
	}
}

// late counts the requests that began at a server after a time.
func late(c *kit.Case, s *kit.Server, bound time.Time) (count int) {
	for _, a := range s.Attempts() {
		if a.FirstByte.After(bound) {
			count++
			if count <= 5 {
				c.Log("%s got %s %.3f s after the last time that the rule allows", s.ID, a.ID, a.FirstByte.Sub(bound).Seconds())
			}
		}
	}
	return count
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
