// Command review2-wake plays a limiter that stands still while discovery tells it of a drain, and goes on while discovery
// is down.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const (
	// still is how long the limiter stands still, and down how long discovery says nothing after that.
	still, down = 2 * time.Second, 5 * time.Second
	// grace is the settings' stop-sending-within, and onSockets what every time limit is longer by.
	grace, onSockets = 250 * time.Millisecond, 50 * time.Millisecond
	gap              = 25 * time.Millisecond // between requests
)

func play(c *kit.Case) (ruleBroken bool) {
	stops, fails := c.Trouble, c.Trouble
	switch os.Getenv("ONLY") { // for a look at each disruption alone
	case "stop":
		fails = false
	case "down":
		stops = false
	}
	var servers []*kit.Server
	var entries []kit.Entry
	for i := range 4 {
		s := kit.NewServer(c, fmt.Sprintf("s-%d", i), 10*time.Millisecond)
		servers = append(servers, s)
		entries = append(entries, s.Entry())
	}
	discovery := kit.NewDiscovery(c, entries)
	listen := c.Address()
	configuration := kit.Limiter{Listen: listen, Limiters: 1, Discovery: discovery.Address, Counter: kit.StartCounter(c),
		Known: discovery.Whole()}
	limiter := configuration.Start(c, "")
	stop := make(chan struct{})
	var pause atomic.Bool // no request is out while the limiter stands still, and none is sent
	var clients sync.WaitGroup
	clients.Go(func() { load(c, listen, stop, &pause) })
	defer clients.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)

	pause.Store(true)
	time.Sleep(300 * time.Millisecond)
	// A watch has just begun, and is held for a second.
	before := len(discovery.Calls())
	if !c.Await(3*time.Second, func() bool { return len(discovery.Calls()) > before }) {
		c.Cannot("no watch began")
	}
	if stops {
		limiter.Signal(syscall.SIGSTOP)
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	told := discovery.Change("s-2", func(e *kit.Entry) { e.Lifecycle = "terminating" })
	if !c.Await(time.Second, func() bool { return !discovery.Calls()[before].Answered.IsZero() }) {
		c.Cannot("discovery did not write the drain")
	}
	c.Log("s-2 drains; discovery has written it to the limiter's connection as the answer to %q", discovery.Calls()[before].Query)
	time.Sleep(300 * time.Millisecond)
	if fails {
		discovery.Down(true)
		c.Log("discovery is down: it says nothing")
	}
	time.Sleep(time.Until(began.Add(still)))
	if stops {
		limiter.Signal(syscall.SIGCONT)
		told = time.Now()
	}
	pause.Store(false)
	time.Sleep(down)
	discovery.Down(false)
	c.Log("discovery is back")
	time.Sleep(2 * time.Second)
	bound := told.Add(grace + onSockets)
	count := 0
	for _, a := range servers[2].Attempts() {
		if a.FirstByte.After(bound) {
			count++
			if count <= 3 {
				c.Log("s-2 got %s %.3f s after the last time that the rule allows", a.ID, a.FirstByte.Sub(bound).Seconds())
			}
		}
	}
	for _, s := range servers {
		c.Log("%s got %d requests", s.ID, len(s.Attempts()))
	}
	c.Log("%d requests began at s-2 later than %v after the limiter was told of its drain and ran", count, grace+onSockets)
	return count > 0
}

// load sends requests, each on a connection of its own, until stop is closed.
func load(c *kit.Case, listen string, stop <-chan struct{}, pause *atomic.Bool) {
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
		if pause.Load() {
			continue
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
