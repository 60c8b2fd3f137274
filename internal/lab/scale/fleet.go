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
	var calls, bytes, pings, core, startTimes []Point
	for _, limiters := range h.sizes([]int{5, 10}, []int{10, 100, 300, Limiters}) {
		s, err := newStandIns(standInsSpec{limiters: limiters, servers: fleetServers})
		if err != nil {
			return err
		}
		hosts, err := h.startHollowLimiters(s, 0, limiters, s.encodedList())
		if err != nil {
			s.close()
			return err
		}
		windows, err := h.measureFleet(s, hostPIDs(hosts), limiters)
		startTimes = append(startTimes, Point{float64(limiters), []float64{hosts[0].startSeconds}})
		stopHosts(hosts)
		s.close()
		if err != nil {
			return err
		}
		limiterCount := float64(limiters)
		point := func(value func(usage) float64) Point { return Point{limiterCount, samples(windows, value)} }
		calls = append(calls, point(func(o usage) float64 { return o.traffic.discoveryCalls * limiterCount / o.seconds }))
		bytes = append(bytes, point(func(o usage) float64 { return o.traffic.discoveryBytes * limiterCount / o.seconds }))
		pings = append(pings, point(func(o usage) float64 { return o.traffic.counterCalls * limiterCount / o.seconds }))
		core = append(core, point(func(o usage) float64 { return o.coreShare * 100 }))
	}
	for _, series := range []Series{
		{Quantity: "calls to discovery, all limiters", Unit: "/s", Points: calls, Mechanism: watchMechanism},
		{Quantity: "bytes to and from discovery, all limiters", Unit: "B/s", Points: bytes, Mechanism: watchMechanism},
		{Quantity: "pings of the counter, all limiters", Unit: "/s", Points: pings, Mechanism: watchMechanism},
		{Quantity: "processor time of one hollow limiter", Unit: "% of a core", Points: core, Mechanism: tickMechanism},
		{Quantity: "time to make the first host's limiters", Unit: "s", Points: startTimes, Mechanism: "the lab's own"},
	} {
		series.Experiment, series.Over, series.Note = "fleet", "limiters", fmt.Sprintf("idle, %d servers", fleetServers)
		h.addSeries(series)
	}
	return nil
}

// fleetServers are the list's entries while only the number of limiters matters.
const fleetServers = 1000

// worst plays the worst minutes of a list service's clients: all limiters before the whole list.
func (h *Harness) worst() error {
	limiters, servers := h.sizes([]int{6}, []int{Limiters})[0], h.sizes([]int{200}, []int{Servers})[0]
	s, err := newStandIns(standInsSpec{limiters: limiters, servers: servers})
	if err != nil {
		return err
	}
	defer s.close()
	run := &worstRun{h: h, s: s, limiters: limiters, size: fmt.Sprintf("%d limiters, %d servers", limiters, servers)}
	defer func() { stopHosts(run.hosts) }()
	if err := run.start(s.encodedList()); err != nil {
		return err
	}
	for _, step := range []func() error{run.restartAll, run.drainAndReturn, run.discoveryOutage, run.steadyRestarts} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// worstRun is a fleet of hollow limiters whose worst minutes are played.
type worstRun struct {
	h        *Harness
	s        *standIns
	limiters int
	hosts    []*host
	size     string
}

// start starts all limiters anew and waits until all of them ask discovery.
func (f *worstRun) start(known []byte) (err error) {
	stopHosts(f.hosts)
	f.hosts = nil
	f.hosts, err = f.h.startHollowLimiters(f.s, 0, f.limiters, known)
	return err
}

// restartAll ends all limiters at once and starts them, from the list of their configurations and from none.
func (f *worstRun) restartAll() error {
	heap := 0.0
	for _, hostProcess := range f.hosts {
		hostHeap, err := hostProcess.heapBytes()
		if err != nil {
			return err
		}
		heap += hostHeap
	}
	f.addFigure("heap of one hollow limiter", "MB", heap/1e6/float64(f.limiters))
	for _, source := range []string{"the list of their configurations", "no list"} {
		known := f.s.encodedList()
		if source == "no list" {
			known = nil
		}
		trafficBefore, restartedAt := f.s.traffic(), f.s.clock.Now()
		if err := f.start(known); err != nil {
			return err
		}
		took, err := f.awaitApplied(restartedAt, f.s.generation(), 60*time.Second)
		if err != nil {
			return err
		}
		crossed := f.s.traffic().since(trafficBefore)
		quantity := "all limiters restarted from " + source
		f.addFigure(quantity+": calls to discovery", "", crossed.discoveryCalls)
		f.addFigure(quantity+": bytes to and from discovery", "B", crossed.discoveryBytes)
		f.addFigure(quantity+": until the last has a list (the machine's own limit)", "s", took)
	}
	return nil
}

func (f *worstRun) addFigure(quantity, unit string, values ...float64) {
	f.h.addFigure(Series{Experiment: "worst", Quantity: quantity, Unit: unit, Note: f.size}, values...)
}

// drainAndReturn lets a quarter and half of the servers drain and come back.
func (f *worstRun) drainAndReturn() error {
	for _, divisor := range []int{4, 2} {
		for _, lifecycle := range []string{"terminated", "in_service"} {
			change := map[string]string{"terminated": " go", "in_service": " come back"}[lifecycle]
			err := f.measureChange(
				shareName(divisor)+change,
				func() { f.s.discovery.SetAll(f.s.firstWithLifecycle(divisor, lifecycle, time.Now())) },
			)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// discoveryOutage lets discovery be silent while as many servers restart as do in ten minutes of the busiest two hours.
func (f *worstRun) discoveryOutage() error {
	const tenMinutes = 600
	restarted := min(RestartsPerDay*tenMinutes/(2*3600), len(f.s.list))
	f.s.discovery.Down(true)
	time.Sleep(f.h.duration(10 * time.Second)) // stands for the ten minutes: past two seconds only the changes matter
	var changed []emulator.Instance
	for _, instance := range f.s.list[:restarted] {
		instance.StartedMs = time.Now().UnixMilli()
		changed = append(changed, instance)
	}
	f.s.discovery.SetAll(changed)
	trafficBefore := f.s.traffic()
	time.Sleep(f.h.duration(4 * time.Second))
	silent := f.s.traffic().since(trafficBefore)
	f.addFigure("discovery silent: calls", "/s", silent.discoveryCalls/f.h.duration(4*time.Second).Seconds())
	return f.measureChange(
		fmt.Sprintf("a region heals with %d changed servers", restarted),
		func() { f.s.discovery.Down(false) },
	)
}

// measureChange does something that changes the list and states what it costs until all limiters go by it.
func (f *worstRun) measureChange(quantity string, change func()) error {
	var took float64
	changedAt := f.s.clock.Now()
	perLimiter, err := measureFleetWindow(f.s, hostPIDs(f.hosts), f.limiters, func() {
		change()
		took, _ = f.awaitApplied(changedAt, f.s.generation(), 60*time.Second)
	})
	if err != nil {
		return err
	}
	f.addFigure(quantity+": bytes for one limiter", "B", perLimiter.traffic.discoveryBytes)
	f.addFigure(quantity+": processor time of one limiter", "ms", perLimiter.coreShare*perLimiter.seconds*1e3)
	f.addFigure(quantity+": until the last limiter goes by it (the machine's own limit)", "s", took)
	return nil
}

// steadyRestarts lets servers restart at the rate of a day's restarts in two hours, each in three changes.
func (f *worstRun) steadyRestarts() error {
	rate := float64(RestartsPerDay*changesPerRestart) / (2 * 3600) // changes a second
	length := f.h.duration(20 * time.Second)
	perLimiter, err := measureFleetWindow(f.s, hostPIDs(f.hosts), f.limiters, func() {
		stop := make(chan struct{})
		go f.s.changeServers(stop, time.Duration(1e9/rate))
		time.Sleep(length)
		close(stop)
	})
	if err != nil {
		return err
	}
	quantity := fmt.Sprintf("%.2f changes a second (%d restarts in two hours)", rate, RestartsPerDay)
	f.addFigure(quantity+": calls of one limiter", "/s", perLimiter.traffic.discoveryCalls/perLimiter.seconds)
	f.addFigure(quantity+": bytes of one limiter", "B/s", perLimiter.traffic.discoveryBytes/perLimiter.seconds)
	f.addFigure(quantity+": processor time of one limiter", "% of a core", perLimiter.coreShare*100)
	return nil
}

// generation is discovery's present one.
func (s *standIns) generation() int64 { return s.discovery.Whole(0).Generation }

// awaitApplied waits until all limiters go by a generation of the list and tells how long that took from at on, seconds:
// each calls again once it has awaitApplied the answer that told it.
func (f *worstRun) awaitApplied(since, generation int64, timeout time.Duration) (float64, error) {
	deadline := time.Now().Add(timeout)
	for {
		calls, _, _ := f.s.recorder.DiscoveryAndServers()
		times := appliedTimes(calls, since, generation)
		if len(times) >= f.limiters {
			return float64(slices.Max(times)-since) / 1e9, nil
		}
		if time.Now().After(deadline) {
			return timeout.Seconds(), &NotAppliedError{Have: len(times), Want: f.limiters, Within: timeout}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// appliedTimes are when limiters first called after an answer of a generation, from at on, one for each limiter that
// has. Calls are in the order of their times.
func appliedTimes(calls []history.Call, since, generation int64) []int64 {
	answers := map[int]int64{}
	var times []int64
	seen := map[int]bool{}
	for _, call := range calls {
		if call.At < since && call.EndedAt < since {
			continue
		}
		if answeredAt, has := answers[call.Limiter]; has && call.At >= answeredAt && !seen[call.Limiter] {
			seen[call.Limiter] = true
			times = append(times, call.At)
		}
		if _, has := answers[call.Limiter]; !has && call.End == history.Answered && call.Generation >= generation {
			answers[call.Limiter] = call.EndedAt
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
