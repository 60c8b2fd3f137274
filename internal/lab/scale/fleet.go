package scale

import (
	"fmt"
	"slices"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
)

// fleet measures what discovery and the counter bear from many idle limiters, over the limiters.
func (h *Harness) fleet() error {
	var calls, bytes, counter, core, began []Point
	for _, limiters := range h.sizes([]int{5, 10}, []int{10, 100, 300, Limiters}) {
		s, err := newStands(standsSpec{limiters: limiters, servers: fleetServers})
		if err != nil {
			return err
		}
		hosts, err := h.startHollow(s, 0, limiters, s.known())
		if err != nil {
			s.close()
			return err
		}
		all, err := h.watchFleet(s, pidsOf(hosts), limiters)
		began = append(began, Point{float64(limiters), []float64{hosts[0].began}})
		stopHosts(hosts)
		s.close()
		if err != nil {
			return err
		}
		n := float64(limiters)
		point := func(figure func(spent) float64) Point { return Point{n, samples(all, figure)} }
		calls = append(calls, point(func(o spent) float64 { return o.traffic.discoveryCalls * n / o.seconds }))
		bytes = append(bytes, point(func(o spent) float64 { return o.traffic.discoveryBytes * n / o.seconds }))
		counter = append(counter, point(func(o spent) float64 { return o.traffic.counterCalls * n / o.seconds }))
		core = append(core, point(func(o spent) float64 { return o.core * 100 }))
	}
	for _, one := range []Series{
		{Quantity: "calls to discovery, all limiters", Unit: "/s", Points: calls, Mechanism: watchMechanism},
		{Quantity: "bytes to and from discovery, all limiters", Unit: "B/s", Points: bytes, Mechanism: watchMechanism},
		{Quantity: "pings of the counter, all limiters", Unit: "/s", Points: counter, Mechanism: watchMechanism},
		{Quantity: "processor time of one hollow limiter", Unit: "% of a core", Points: core, Mechanism: tickMechanism},
		{Quantity: "time to make the first host's limiters", Unit: "s", Points: began, Mechanism: "the lab's own"},
	} {
		one.Experiment, one.Over, one.Note = "fleet", "limiters", fmt.Sprintf("idle, %d servers", fleetServers)
		h.add(one)
	}
	return nil
}

// fleetServers are the list's entries while only the number of limiters matters.
const fleetServers = 1000

// worst plays the worst minutes of a list service's clients: all limiters before the whole list.
func (h *Harness) worst() error {
	limiters, servers := h.sizes([]int{6}, []int{Limiters})[0], h.sizes([]int{200}, []int{Servers})[0]
	s, err := newStands(standsSpec{limiters: limiters, servers: servers})
	if err != nil {
		return err
	}
	defer s.close()
	f := &worstRun{h: h, s: s, limiters: limiters, name: fmt.Sprintf("%d limiters, %d servers", limiters, servers)}
	defer func() { stopHosts(f.hosts) }()
	if err := f.start(s.known()); err != nil {
		return err
	}
	for _, step := range []func() error{f.restartAll, f.zones, f.heal, f.stream} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// worstRun is a fleet of hollow limiters whose worst minutes are played.
type worstRun struct {
	h        *Harness
	s        *stands
	limiters int
	hosts    []*host
	name     string
}

// start starts all limiters anew and waits until all of them ask discovery.
func (f *worstRun) start(known []byte) (err error) {
	stopHosts(f.hosts)
	f.hosts = nil
	f.hosts, err = f.h.startHollow(f.s, 0, f.limiters, known)
	return err
}

// restartAll ends all limiters at once and starts them, from the list of their configurations and from none.
func (f *worstRun) restartAll() error {
	heap := 0.0
	for _, one := range f.hosts {
		part, err := one.heap()
		if err != nil {
			return err
		}
		heap += part
	}
	f.figure("heap of one hollow limiter", "MB", heap/1e6/float64(f.limiters))
	for _, from := range []string{"the list of their configurations", "no list"} {
		known := f.s.known()
		if from == "no list" {
			known = nil
		}
		crossed, at := f.s.traffic(), f.s.clock.Now()
		if err := f.start(known); err != nil {
			return err
		}
		took, err := f.applied(at, f.s.generation(), 60*time.Second)
		if err != nil {
			return err
		}
		t := f.s.traffic().since(crossed)
		what := "all limiters restarted from " + from
		f.figure(what+": calls to discovery", "", t.discoveryCalls)
		f.figure(what+": bytes to and from discovery", "B", t.discoveryBytes)
		f.figure(what+": until the last has a list (the machine's own limit)", "s", took)
	}
	return nil
}

func (f *worstRun) figure(quantity, unit string, values ...float64) {
	f.h.figure(Series{Experiment: "worst", Quantity: quantity, Unit: unit, Note: f.name}, values...)
}

// zones lets a quarter and half of the servers drain and come back.
func (f *worstRun) zones() error {
	for _, oneIn := range []int{4, 2} {
		for _, lifecycle := range []string{"terminated", "in_service"} {
			what := map[string]string{"terminated": " go", "in_service": " come back"}[lifecycle]
			err := f.play(
				shareName(oneIn)+what,
				func() { f.s.discovery.SetAll(f.s.zone(oneIn, lifecycle, time.Now())) },
			)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// heal lets discovery be silent while as many servers restart as do in ten minutes of the busiest two hours.
func (f *worstRun) heal() error {
	const tenMinutes = 600
	restarted := min(RestartsADay*tenMinutes/(2*3600), len(f.s.list))
	f.s.discovery.Down(true)
	time.Sleep(f.h.window(10 * time.Second)) // stands for the ten minutes: past two seconds only the changes matter
	var changed []emulator.Instance
	for _, in := range f.s.list[:restarted] {
		in.StartedMs = time.Now().UnixMilli()
		changed = append(changed, in)
	}
	f.s.discovery.SetAll(changed)
	crossed := f.s.traffic()
	time.Sleep(f.h.window(4 * time.Second))
	silent := f.s.traffic().since(crossed)
	f.figure("discovery silent: calls", "/s", silent.discoveryCalls/f.h.window(4*time.Second).Seconds())
	return f.play(
		fmt.Sprintf("a region heals with %d changed servers", restarted),
		func() { f.s.discovery.Down(false) },
	)
}

// play does something that changes the list and states what it costs until all limiters go by it.
func (f *worstRun) play(what string, change func()) error {
	var took float64
	at := f.s.clock.Now()
	one, err := fleetWindow(f.s, pidsOf(f.hosts), f.limiters, func() {
		change()
		took, _ = f.applied(at, f.s.generation(), 60*time.Second)
	})
	if err != nil {
		return err
	}
	f.figure(what+": bytes for one limiter", "B", one.traffic.discoveryBytes)
	f.figure(what+": processor time of one limiter", "ms", one.core*one.seconds*1e3)
	f.figure(what+": until the last limiter goes by it (the machine's own limit)", "s", took)
	return nil
}

// stream lets servers restart at the rate of a day's restarts in two hours, each in three changes.
func (f *worstRun) stream() error {
	rate := float64(RestartsADay*entriesOfRestart) / (2 * 3600) // changes a second
	length := f.h.window(20 * time.Second)
	one, err := fleetWindow(f.s, pidsOf(f.hosts), f.limiters, func() {
		stop := make(chan struct{})
		go f.s.change(stop, time.Duration(1e9/rate))
		time.Sleep(length)
		close(stop)
	})
	if err != nil {
		return err
	}
	what := fmt.Sprintf("%.2f changes a second (%d restarts in two hours)", rate, RestartsADay)
	f.figure(what+": calls of one limiter", "/s", one.traffic.discoveryCalls/one.seconds)
	f.figure(what+": bytes of one limiter", "B/s", one.traffic.discoveryBytes/one.seconds)
	f.figure(what+": processor time of one limiter", "% of a core", one.core*100)
	return nil
}

// generation is discovery's present one.
func (s *stands) generation() int64 { return s.discovery.Whole(0).Generation }

// applied waits until all limiters go by a generation of the list and tells how long that took from at on, seconds:
// each calls again once it has applied the answer that told it.
func (f *worstRun) applied(at, generation int64, within time.Duration) (float64, error) {
	end := time.Now().Add(within)
	for {
		calls, _, _ := f.s.book.DiscoveryAndServers()
		times := appliedTimes(calls, at, generation)
		if len(times) >= f.limiters {
			return float64(slices.Max(times)-at) / 1e9, nil
		}
		if time.Now().After(end) {
			return within.Seconds(), &NotAppliedError{Have: len(times), Want: f.limiters, Within: within}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// appliedTimes are when limiters first called after an answer of a generation, from at on, one for each limiter that
// has. Calls are in the order of their times.
func appliedTimes(calls []history.Call, at, generation int64) []int64 {
	told := map[int]int64{}
	var times []int64
	done := map[int]bool{}
	for _, c := range calls {
		if c.At < at && c.EndedAt < at {
			continue
		}
		if since, has := told[c.Limiter]; has && c.At >= since && !done[c.Limiter] {
			done[c.Limiter] = true
			times = append(times, c.At)
		}
		if _, has := told[c.Limiter]; !has && c.End == history.Answered && c.Generation >= generation {
			told[c.Limiter] = c.EndedAt
		}
	}
	return times
}

// NotAppliedError is for a change that did not reach all limiters in time.
type NotAppliedError struct {
	Have, Want int
	Within     time.Duration
}

// Error says what happened.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("%d of %d limiters go by the change after %v", e.Have, e.Want, e.Within)
}

// Hint says what to do about it.
func (e *NotAppliedError) Hint() string {
	return "run with less beside it on the machine, and see the hosts' logs in the run's folder"
}
