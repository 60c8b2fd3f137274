// Command review2-held plays a limiter with a stated rate of calls to discovery that is held up for 0.145 s, over its slot, after
// a server began to drain.
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
	limiters = 80
	// callsPerSecond is what the operator's file states: a round of limiters/callsPerSecond = 4 s, of which each limiter has 50 ms.
	callsPerSecond = 20.0
	round          = 4 * time.Second
	// told is how long after discovery has a change it counts as told at the latest; grace is the settings'
	// stop-sending-within, and onSockets what every time limit is longer by.
	told, grace, onSockets = 6 * time.Second, 250 * time.Millisecond, 50 * time.Millisecond
	// The limiter is held up for 0.145 s, from so long before its slot until so long after it.
	heldBefore, heldAfter = 25 * time.Millisecond, 120 * time.Millisecond
	gap                   = 25 * time.Millisecond // between requests
)

func play(c *kit.Case) (ruleBroken bool) {
	var servers []*kit.Server
	var entries []kit.Entry
	for i := range 4 {
		s := kit.NewServer(c, fmt.Sprintf("s-%d", i), 10*time.Millisecond)
		servers = append(servers, s)
		entries = append(entries, s.Entry())
	}
	// One of the fleet's limiters is played; the others have slots of their own.
	discovery := kit.NewDiscovery(c, entries)
	counter := kit.StartCounter(c)
	operator := c.File("operator.toml", fmt.Sprintf("list_calls_per_s = %g\n", callsPerSecond))
	l := kit.Limiter{Limiters: limiters, Listen: c.Address(), Discovery: discovery.Address, Counter: counter,
		Known: discovery.Whole(), Polled: true, AskEvery: 10}
	first, listen := l.Start(c, operator), l.Listen
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { load(c, listen, stop) })
	defer clients.Wait()
	defer close(stop)

	// News at a known time of the round: the answer to the call that waits, after which the limiter waits for its next slot.
	slot := nextSlot(c, discovery)
	sleepUntil(slot.Add(300 * time.Millisecond))
	discovery.Change("s-1", func(e *kit.Entry) { e.Weight = 1.1 })
	c.Log("discovery tells a new weight of s-1, 0.3 s into the limiter's round")
	sleepUntil(slot.Add(600 * time.Millisecond))
	calls := discovery.Calls()
	if latest := calls[len(calls)-1]; latest.Answered.IsZero() {
		c.Cannot("the limiter has called again before its next slot")
	}
	drained := discovery.Change("s-2", func(e *kit.Entry) { e.Lifecycle = "terminating" })
	c.Log("s-2 drains; no call of the limiter is out")
	sleepUntil(slot.Add(round - heldBefore))
	if c.Trouble {
		first.Signal(syscall.SIGSTOP)
	}
	sleepUntil(slot.Add(round + heldAfter))
	if c.Trouble {
		first.Signal(syscall.SIGCONT)
	}
	sleepUntil(slot.Add(3*round + time.Second))
	for _, call := range discovery.Calls() {
		if call.Came.After(slot.Add(-time.Second)) {
			c.Log("call %q came %+.3f s, answered %+.3f s, generation %d (from the drain on)", call.Query,
				call.Came.Sub(drained).Seconds(), call.Answered.Sub(drained).Seconds(), call.Generation)
		}
	}
	bound := drained.Add(told + grace + onSockets)
	late := 0
	for _, a := range servers[2].Attempts() {
		if a.FirstByte.After(bound) {
			late++
			c.Log("s-2 got %s %.3f s after it was told to drain, %.3f s after the last time that the rule allows", a.ID,
				a.FirstByte.Sub(drained).Seconds(), a.FirstByte.Sub(bound).Seconds())
		}
	}
	for _, s := range servers {
		c.Log("%s got %d requests", s.ID, len(s.Attempts()))
	}
	c.Log("%d requests reached s-2 later than %v after discovery had its drain", late, told+grace+onSockets)
	return late > 0
}

// nextSlot waits for a call that comes while an earlier one has ended, and is held: a slot of the limiter. Slots follow
// each other by whole rounds.
func nextSlot(c *kit.Case, discovery *kit.Discovery) time.Time {
	// A change while a call is held is answered at once, and the next call comes at the next slot.
	if !c.Await(15*time.Second, func() bool {
		calls := discovery.Calls()
		return len(calls) > 0 && calls[len(calls)-1].Answered.IsZero()
	}) {
		c.Cannot("discovery holds no call")
	}
	before := len(discovery.Calls())
	discovery.Change("s-0", func(e *kit.Entry) { e.Weight = 1.05 })
	if !c.Await(3*round, func() bool { return len(discovery.Calls()) > before }) {
		c.Cannot("no call came")
	}
	calls := discovery.Calls()
	return calls[before].Came
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// load sends one request after the other until stop is closed.
func load(c *kit.Case, listen string, stop <-chan struct{}) {
	outcomes := map[string]int{}
	number := 0
	var wait sync.WaitGroup
	var mutex sync.Mutex
	count := func(what string) {
		mutex.Lock()
		defer mutex.Unlock()
		outcomes[what]++
	}
	for {
		select {
		case <-stop:
			wait.Wait()
			c.Log("the clients' outcomes: %v", outcomes)
			return
		case <-time.After(gap):
		}
		number++
		id := fmt.Sprintf("%016x", number)
		wait.Go(func() {

			one, err := kit.Dial(listen)
			if err != nil {
				count("not connected")
				return
			}
			defer one.Close()
			answer, err := one.Send(2500*time.Millisecond, "SVC.QUERY", "00000000000000a1", id,
				"c=fetch,t=group,d=2500,units=1,spread=1,first=0")
			switch {
			case err != nil:
				count("no answer")
			case answer[0] == '-':
				count(answer[:5])
			default:
				count("served")
			}
		})
	}
}
