package scale

import (
	"fmt"
	"slices"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
)

// fleet measures the load of idle limiters on discovery and on the counter, over the number of limiters.
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

// fleetServers is the number of servers on the endpoint list while only the number of limiters varies.
const fleetServers = 1000

// worst measures the events that load discovery most, with all limiters and the full endpoint list: a restart of all
// limiters, a part of the servers draining at once, an outage of discovery, and steady restarts of servers.
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

// worstRun is the fleet of hollow limiters of the experiment worst.
type worstRun struct {
	h        *Harness
	s        *standIns
	limiters int
	hosts    []*host
	size     string
}

// start stops the limiters that run, starts all of them with the known list, and waits until they run.
func (r *worstRun) start(known []byte) (err error) {
	stopHosts(r.hosts)
	r.hosts = nil
	r.hosts, err = r.h.startHollowLimiters(r.s, 0, r.limiters, known)
	return err
}

// restartAll restarts all limiters at once, first with the endpoint list in their configurations, then with none.
func (r *worstRun) restartAll() error {
	heap := 0.0
	for _, hostProcess := range r.hosts {
		hostHeap, err := hostProcess.heapBytes()
		if err != nil {
			return err
		}
		heap += hostHeap
	}
	r.addFigure("heap of one hollow limiter", "MB", heap/1e6/float64(r.limiters))
	for _, source := range []string{"the list of their configurations", "no list"} {
		known := r.s.encodedList()
		if source == "no list" {
			known = nil
		}
		trafficBefore, restartedAt := r.s.traffic(), r.s.clock.Now()
		if err := r.start(known); err != nil {
			return err
		}
		took, err := r.awaitApplied(restartedAt, r.s.generation(), 60*time.Second)
		if err != nil {
			return err
		}
		delta := r.s.traffic().since(trafficBefore)
		quantity := "all limiters restarted from " + source
		r.addFigure(quantity+": calls to discovery", "", delta.discoveryCalls)
		r.addFigure(quantity+": bytes to and from discovery", "B", delta.discoveryBytes)
		r.addFigure(quantity+": until the last has a list (the machine's own limit)", "s", took)
	}
	return nil
}

func (r *worstRun) addFigure(quantity, unit string, values ...float64) {
	r.h.addFigure(Series{Experiment: "worst", Quantity: quantity, Unit: unit, Note: r.size}, values...)
}

// drainAndReturn takes a quarter and then half of the servers out of service and back, all of them in one change.
func (r *worstRun) drainAndReturn() error {
	for _, divisor := range []int{4, 2} {
		for _, lifecycle := range []string{"terminated", "in_service"} {
			change := map[string]string{"terminated": " go", "in_service": " come back"}[lifecycle]
			err := r.measureChange(
				shareName(divisor)+change,
				func() { r.s.discovery.SetAll(r.s.firstWithLifecycle(divisor, lifecycle, time.Now())) },
			)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// discoveryOutage stops discovery's answers while servers restart, as many as in ten minutes at the rate of a day's
// restarts in two hours. The limiters get all the changes when discovery answers again.
func (r *worstRun) discoveryOutage() error {
	const tenMinutes = 600
	restarted := min(RestartsPerDay*tenMinutes/(2*3600), len(r.s.list))
	r.s.discovery.SetDown(true)
	time.Sleep(r.h.duration(10 * time.Second)) // stands for 10 min: after 2 s of silence only the changes matter
	var changed []emulator.Instance
	for _, instance := range r.s.list[:restarted] {
		instance.StartedMs = time.Now().UnixMilli()
		changed = append(changed, instance)
	}
	r.s.discovery.SetAll(changed)
	trafficBefore := r.s.traffic()
	time.Sleep(r.h.duration(4 * time.Second))
	silent := r.s.traffic().since(trafficBefore)
	r.addFigure("discovery silent: calls", "/s", silent.discoveryCalls/r.h.duration(4*time.Second).Seconds())
	return r.measureChange(
		fmt.Sprintf("a region heals with %d changed servers", restarted),
		func() { r.s.discovery.SetDown(false) },
	)
}

// measureChange runs change, which changes the endpoint list, and reports its cost until all limiters have applied
// it.
func (r *worstRun) measureChange(quantity string, change func()) error {
	var took float64
	changedAt := r.s.clock.Now()
	perLimiter, err := measureFleetWindow(r.s, hostPIDs(r.hosts), r.limiters, func() {
		change()
		took, _ = r.awaitApplied(changedAt, r.s.generation(), 60*time.Second)
	})
	if err != nil {
		return err
	}
	r.addFigure(quantity+": bytes for one limiter", "B", perLimiter.traffic.discoveryBytes)
	r.addFigure(quantity+": processor time of one limiter", "ms", perLimiter.coreShare*perLimiter.seconds*1e3)
	r.addFigure(quantity+": until the last limiter goes by it (the machine's own limit)", "s", took)
	return nil
}

// steadyRestarts restarts servers at the rate of a day's restarts in two hours; each restart makes changesPerRestart
// changes of the list.
func (r *worstRun) steadyRestarts() error {
	rate := float64(RestartsPerDay*changesPerRestart) / (2 * 3600) // changes per second
	length := r.h.duration(20 * time.Second)
	perLimiter, err := measureFleetWindow(r.s, hostPIDs(r.hosts), r.limiters, func() {
		stop := make(chan struct{})
		go r.s.changeServers(stop, time.Duration(1e9/rate))
		time.Sleep(length)
		close(stop)
	})
	if err != nil {
		return err
	}
	quantity := fmt.Sprintf("%.2f changes a second (%d restarts in two hours)", rate, RestartsPerDay)
	r.addFigure(quantity+": calls of one limiter", "/s", perLimiter.traffic.discoveryCalls/perLimiter.seconds)
	r.addFigure(quantity+": bytes of one limiter", "B/s", perLimiter.traffic.discoveryBytes/perLimiter.seconds)
	r.addFigure(quantity+": processor time of one limiter", "% of a core", perLimiter.coreShare*100)
	return nil
}

// generation returns the list's current generation at discovery.
func (s *standIns) generation() int64 { return s.discovery.FullList(0).Generation }

// awaitApplied waits until all limiters have applied a generation of the list and returns the seconds that it took,
// counted from since, a time on the run's clock in nanoseconds. A limiter has applied an answer once it calls
// discovery again. After the timeout the error is a *NotAppliedError.
func (r *worstRun) awaitApplied(since, generation int64, timeout time.Duration) (float64, error) {
	deadline := time.Now().Add(timeout)
	for {
		calls, _, _ := r.s.recorder.DiscoveryAndServers()
		times := appliedTimes(calls, since, generation)
		if len(times) >= r.limiters {
			return float64(slices.Max(times)-since) / 1e9, nil
		}
		if time.Now().After(deadline) {
			return timeout.Seconds(), &NotAppliedError{Have: len(times), Want: r.limiters, Within: timeout}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// appliedTimes returns, for each limiter that has applied the generation, the time of its first call after the answer
// that carried it. Calls that ended before since are ignored. The calls must be sorted by time.
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

// NotAppliedError reports a change of the list that did not reach all limiters in time.
type NotAppliedError struct {
	Have, Want int
	Within     time.Duration
}

// Error states how many limiters have applied the change.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("%d of %d limiters applied the change within %v", e.Have, e.Want, e.Within)
}

// Hint names the remedy.
func (e *NotAppliedError) Hint() string {
	return "run again with less load on the machine, and see the hosts' logs in the run's folder"
}
