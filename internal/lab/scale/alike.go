package scale

import (
	"fmt"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// alikeServers is the number of servers on the endpoint list while real and hollow limiters are compared.
const alikeServers = 1000

// alike compares hollow limiters with the same number of real limiter processes: their control messages and bytes,
// memory and processor time.
func (h *Harness) alike() error {
	var realSeries, hollowSeries idleFigures
	for _, limiters := range h.sizes([]int{1, 5}, []int{1, 10, 50}) {
		realUsage, err := h.measureRealFleet(limiters)
		if err != nil {
			return err
		}
		hollowUsage, err := h.measureHollowFleet(limiters)
		if err != nil {
			return err
		}
		realSeries.addWindows(limiters, realUsage.windows, 0)
		hollowSeries.addWindows(limiters, hollowUsage.windows, 0)
		h.reportDifferences(limiters, realUsage, hollowUsage)
	}
	realSeries.report(h, "alike, one real", "limiters")
	hollowSeries.report(h, "alike, one hollow", "limiters")
	return nil
}

// fleetUsage is the usage of one limiter of a fleet, averaged over the fleet, in several windows.
type fleetUsage struct {
	windows   []usage
	heapBytes float64 // bytes of heap in use; 0 if unknown
}

// reportDifferences reports how far a hollow limiter's figures lie from a real one's.
func (h *Harness) reportDifferences(limiters int, real, hollow fleetUsage) {
	for _, metric := range []struct {
		name  string
		value func(usage) float64
	}{
		{"messages", func(o usage) float64 { return o.traffic.messages() / o.seconds }},
		{"bytes", func(o usage) float64 { return o.traffic.bytes() / o.seconds }},
		{"processor time", func(o usage) float64 { return o.coreShare }},
	} {
		realMedian := Point{Samples: samples(real.windows, metric.value)}.Median()
		hollowMedian := Point{Samples: samples(hollow.windows, metric.value)}.Median()
		if realMedian == 0 {
			continue // in the short form a window may be too brief for any message
		}
		h.addFigure(
			Series{Experiment: "alike", Quantity: fmt.Sprintf("%s, hollow less real, %d of each", metric.name, limiters),
				Unit: "% of the real one's"},
			(hollowMedian-realMedian)/realMedian*100,
		)
	}
	h.addFigure(Series{Experiment: "alike", Quantity: fmt.Sprintf("heap, %d of each: real, hollow", limiters), Unit: "MB",
		Note: "the real one's behind its latest collection, in whole MB; the hollow one's behind a forced one"},
		real.heapBytes/1e6, hollow.heapBytes/1e6)
}

// alikeWindowLength covers the same number of counter pings in every window: a limiter pings the counter every 2 s.
const alikeWindowLength = 6 * time.Second

// fleetWindowLength returns the length of a window in which each limiter calls discovery at least once.
func (h *Harness) fleetWindowLength() time.Duration {
	if h.options.Short {
		return 1200 * time.Millisecond
	}
	return alikeWindowLength
}

func (h *Harness) measureRealFleet(limiters int) (fleet fleetUsage, err error) {
	s, err := newStandIns(standInsSpec{limiters: limiters, servers: alikeServers})
	if err != nil {
		return fleet, err
	}
	defer s.close()
	var pids []int
	var limiterProcesses []*realLimiter
	defer func() {
		for _, l := range limiterProcesses {
			l.stop()
		}
	}()
	known := s.encodedList()
	for n := range limiters {
		l, err := h.startRealLimiter(s, n, realSockets, known)
		if err != nil {
			return fleet, err
		}
		limiterProcesses, pids = append(limiterProcesses, l), append(pids, l.pid())
	}
	fleet.windows, err = h.measureFleet(s, pids, limiters)
	if err != nil {
		return fleet, err
	}
	for _, l := range limiterProcesses {
		fleet.heapBytes += l.heapBytes() / float64(limiters)
	}
	return fleet, nil
}

func (h *Harness) measureHollowFleet(limiters int) (fleet fleetUsage, err error) {
	s, err := newStandIns(standInsSpec{limiters: limiters, servers: alikeServers})
	if err != nil {
		return fleet, err
	}
	defer s.close()
	hosts, err := h.startHollowLimiters(s, 0, limiters, s.encodedList())
	if err != nil {
		return fleet, err
	}
	defer stopHosts(hosts)
	fleet.windows, err = h.measureFleet(s, hostPIDs(hosts), limiters)
	if err != nil {
		return fleet, err
	}
	for _, hostProcess := range hosts {
		heap, err := hostProcess.heapBytes()
		if err != nil {
			return fleet, err
		}
		fleet.heapBytes += heap / float64(limiters)
	}
	return fleet, nil
}

func hostPIDs(hosts []*host) []int {
	var pids []int
	for _, hostProcess := range hosts {
		pids = append(pids, hostProcess.pid())
	}
	return pids
}

// measureFleet measures the given processes together, in several windows, and returns the usage of one limiter
// averaged over all.
func (h *Harness) measureFleet(s *standIns, pids []int, limiters int) (windows []usage, err error) {
	time.Sleep(h.duration(3 * time.Second))
	for range h.sampleCount() {
		windowUsage, err := measureFleetWindow(s, pids, limiters, func() { time.Sleep(h.fleetWindowLength()) })
		if err != nil {
			return nil, err
		}
		windows = append(windows, windowUsage)
	}
	return windows, nil
}

// measureFleetWindow runs do and returns what one limiter used meanwhile, averaged over all limiters.
func measureFleetWindow(s *standIns, pids []int, limiters int, do func()) (perLimiter usage, err error) {
	before, err := totalProcessorTime(pids)
	if err != nil {
		return perLimiter, err
	}
	trafficBefore, start := s.traffic(), time.Now()
	do()
	after, err := totalProcessorTime(pids)
	if err != nil {
		return perLimiter, err
	}
	limiterCount := float64(limiters)
	perLimiter.seconds = time.Since(start).Seconds()
	perLimiter.coreShare = (after - before).Seconds() / perLimiter.seconds / limiterCount
	for _, pid := range pids {
		resident, err := procfs.Resident(pid)
		if err != nil {
			return perLimiter, err
		}
		perLimiter.residentBytes += resident / limiterCount
	}
	delta := s.traffic().since(trafficBefore)
	perLimiter.traffic = traffic{delta.discoveryCalls / limiterCount, delta.discoveryBytes / limiterCount,
		delta.counterCalls / limiterCount, delta.counterBytes / limiterCount}
	return perLimiter, nil
}

// totalProcessorTime returns the processor time that the given processes have used so far, summed.
func totalProcessorTime(pids []int) (sum time.Duration, err error) {
	for _, pid := range pids {
		processorTime, err := procfs.ProcessorTime(pid)
		if err != nil {
			return 0, err
		}
		sum += processorTime
	}
	return sum, nil
}
