package scale

import (
	"fmt"
	"time"
)

// idle measures a limiter without client traffic: over the servers on its list, then over the customers that it has
// seen.
func (h *Harness) idle() error {
	if err := h.idleOverServers(); err != nil {
		return err
	}
	return h.idleOverCustomers()
}

// The code that causes an idle limiter's cost, for Series.Mechanism.
const (
	tickMechanism  = "choice.go look and forget, each tick; limiter.go sweep"
	watchMechanism = "watch.go ask: a watch a second (pollpacer holds); counter.go sweep: a ping each 40 waits"
	stateMechanism = "choice state.go server; servers.go pool; config.Known"
)

// idleFigures holds an idle limiter's figures over one size.
type idleFigures struct{ core, resident, heap, bytes, messages []Point }

// addWindows adds the measurements at size x. heap is in bytes and left out if 0.
func (s *idleFigures) addWindows(x int, windows []usage, heap float64) {
	point := func(value func(usage) float64) Point { return Point{float64(x), samples(windows, value)} }
	s.core = append(s.core, point(func(o usage) float64 { return o.coreShare * 100 }))
	s.resident = append(s.resident, point(func(o usage) float64 { return o.residentBytes / 1e6 }))
	if heap > 0 {
		s.heap = append(s.heap, Point{float64(x), []float64{heap / 1e6}})
	}
	s.bytes = append(s.bytes, point(func(o usage) float64 { return o.traffic.bytes() / o.seconds }))
	s.messages = append(s.messages, point(func(o usage) float64 { return o.traffic.messages() / o.seconds }))
}

// report adds one series per figure to the harness's report.
func (s *idleFigures) report(h *Harness, experiment, over string) {
	for _, series := range []Series{
		{Quantity: "processor time", Unit: "% of a core", Points: s.core, Mechanism: tickMechanism},
		{Quantity: "resident memory", Unit: "MB", Points: s.resident, Mechanism: stateMechanism},
		{Quantity: "heap behind a collection", Unit: "MB", Points: s.heap, Mechanism: stateMechanism},
		{Quantity: "control bytes", Unit: "B/s", Points: s.bytes, Mechanism: watchMechanism},
		{Quantity: "control messages", Unit: "/s", Points: s.messages, Mechanism: watchMechanism},
	} {
		series.Experiment = experiment
		series.Over = over
		h.addSeries(series)
	}
}

func (h *Harness) idleOverServers() error {
	var series idleFigures
	for _, servers := range h.sizes([]int{20, 1000}, []int{20, 1000, 4000, Servers}) {
		err := h.withReal(standInsSpec{limiters: 1, servers: servers}, func(s *standIns, l *realLimiter) error {
			time.Sleep(h.duration(2 * time.Second)) // until the cost of the start has passed
			windows, err := measureProcess(l.process, s, h.duration(3*time.Second), h.sampleCount())
			if err == nil {
				series.addWindows(servers, windows, l.heapBytes())
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	series.report(h, "idle", "servers")
	return nil
}

// warmupConcurrency is the number of concurrent requests by which customers become known to a limiter.
const warmupConcurrency = 4

func (h *Harness) idleOverCustomers() error {
	var series idleFigures
	for _, customers := range h.sizes([]int{20, 200}, []int{200, 5000, Customers}) {
		err := h.withReal(standInsSpec{limiters: 1, servers: 20}, func(s *standIns, l *realLimiter) error {
			pool := newClientPool(s.clock, l.address)
			defer pool.close()
			start := time.Now()
			if answered := pool.sendForEach(customers, warmupConcurrency); answered < customers {
				return &LoadError{Sent: customers, Served: answered}
			}
			h.logf("%d customers seen in %.1f s", customers, time.Since(start).Seconds())
			time.Sleep(h.duration(time.Second))
			windows, err := measureProcess(l.process, s, h.duration(3*time.Second), h.sampleCount())
			if err == nil {
				series.addWindows(customers, windows, l.heapBytes())
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	series.report(h, "idle", "customers seen")
	return nil
}

// LoadError reports that too few requests were served for the figures to be valid.
type LoadError struct{ Sent, Served int }

// Error states how many requests were served.
func (e *LoadError) Error() string {
	return fmt.Sprintf("%d of %d requests were served", e.Served, e.Sent)
}

// Hint names the remedy.
func (e *LoadError) Hint() string {
	return "run again with less load on the machine, and see the limiter's log in the run's folder"
}

// withReal starts stand-ins and one real limiter process that uses them, runs do, and stops them.
func (h *Harness) withReal(spec standInsSpec, do func(*standIns, *realLimiter) error) error {
	s, err := newStandIns(spec)
	if err != nil {
		return err
	}
	defer s.close()
	l, err := h.startRealLimiter(s, 0, realSockets, s.encodedList())
	if err != nil {
		return err
	}
	defer l.stop()
	return do(s, l)
}

// realSockets is the limit of descriptors in a real limiter's configuration.
const realSockets = 1024
