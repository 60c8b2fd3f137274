package scale

import (
	"fmt"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// alikeServers are the list's entries while real and hollow limiters are compared.
const alikeServers = 1000

// alike compares hollow limiters with real processes, as many of each: what one of them sends, is sent, holds and
// spends.
func (h *Harness) alike() error {
	var real, hollow idleSeries
	for _, limiters := range h.sizes([]int{1, 5}, []int{1, 10, 50}) {
		one, err := h.realFleet(limiters)
		if err != nil {
			return err
		}
		other, err := h.hollowFleet(limiters)
		if err != nil {
			return err
		}
		real.take(limiters, one.all, 0)
		hollow.take(limiters, other.all, 0)
		h.compare(limiters, one, other)
	}
	real.report(h, "alike, one real", "limiters")
	hollow.report(h, "alike, one hollow", "limiters")
	return nil
}

// fleet is what one limiter of a fleet spent on average, in several windows, and its heap.
type fleet struct {
	all  []spent
	heap float64 // bytes, 0 where it is not known
}

// compare states the differences of a hollow limiter from a real one.
func (h *Harness) compare(limiters int, real, hollow fleet) {
	for _, one := range []struct {
		name   string
		figure func(spent) float64
	}{
		{"messages", func(o spent) float64 { return o.traffic.messages() / o.seconds }},
		{"bytes", func(o spent) float64 { return o.traffic.bytes() / o.seconds }},
		{"processor time", func(o spent) float64 { return o.core }},
	} {
		a := Point{Samples: samples(real.all, one.figure)}.Middle()
		b := Point{Samples: samples(hollow.all, one.figure)}.Middle()
		if a == 0 {
			continue // a window of the short form saw none
		}
		h.figure(
			Series{Experiment: "alike", Quantity: fmt.Sprintf("%s, hollow less real, %d of each", one.name, limiters),
				Unit: "% of the real one's"},
			(b-a)/a*100,
		)
	}
	h.figure(Series{Experiment: "alike", Quantity: fmt.Sprintf("heap, %d of each: real, hollow", limiters), Unit: "MB",
		Note: "the real one's behind its latest collection, in whole MB; the hollow one's behind a forced one"},
		real.heap/1e6, hollow.heap/1e6)
}

// alikeWindow is long enough for each limiter's pings of the counter, every 2 s, to be as many in each window.
const alikeWindow = 6 * time.Second

// fleetLength is the length of a window in which each limiter calls discovery at least once.
func (h *Harness) fleetLength() time.Duration {
	if h.options.Short {
		return 1200 * time.Millisecond
	}
	return alikeWindow
}

func (h *Harness) realFleet(limiters int) (f fleet, err error) {
	s, err := newStands(standsSpec{limiters: limiters, servers: alikeServers})
	if err != nil {
		return f, err
	}
	defer s.close()
	var pids []int
	var all []*realLimiter
	defer func() {
		for _, l := range all {
			l.stop()
		}
	}()
	known := s.known()
	for n := range limiters {
		l, err := h.startReal(s, n, realSockets, known)
		if err != nil {
			return f, err
		}
		all, pids = append(all, l), append(pids, l.pid())
	}
	f.all, err = h.watchFleet(s, pids, limiters)
	if err != nil {
		return f, err
	}
	for _, l := range all {
		f.heap += l.heap() / float64(limiters)
	}
	return f, nil
}

func (h *Harness) hollowFleet(limiters int) (f fleet, err error) {
	s, err := newStands(standsSpec{limiters: limiters, servers: alikeServers})
	if err != nil {
		return f, err
	}
	defer s.close()
	hosts, err := h.startHollow(s, 0, limiters, s.known())
	if err != nil {
		return f, err
	}
	defer stopHosts(hosts)
	f.all, err = h.watchFleet(s, pidsOf(hosts), limiters)
	if err != nil {
		return f, err
	}
	for _, one := range hosts {
		heap, err := one.heap()
		if err != nil {
			return f, err
		}
		f.heap += heap / float64(limiters)
	}
	return f, nil
}

func pidsOf(hosts []*host) []int {
	var pids []int
	for _, one := range hosts {
		pids = append(pids, one.pid())
	}
	return pids
}

// watchFleet measures processes together and gives what each of so many limiters took on average.
func (h *Harness) watchFleet(s *stands, pids []int, limiters int) (all []spent, err error) {
	time.Sleep(h.window(3 * time.Second))
	for range h.samples() {
		one, err := fleetWindow(s, pids, limiters, func() { time.Sleep(h.fleetLength()) })
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

// fleetWindow is what one of so many limiters took on average while something was done.
func fleetWindow(s *stands, pids []int, limiters int, do func()) (one spent, err error) {
	before, err := processorTimes(pids)
	if err != nil {
		return one, err
	}
	crossed, began := s.traffic(), time.Now()
	do()
	after, err := processorTimes(pids)
	if err != nil {
		return one, err
	}
	n := float64(limiters)
	one.seconds = time.Since(began).Seconds()
	one.core = (after - before).Seconds() / one.seconds / n
	for _, pid := range pids {
		held, err := procfs.Resident(pid)
		if err != nil {
			return one, err
		}
		one.resident += held / n
	}
	t := s.traffic().since(crossed)
	one.traffic = traffic{t.discoveryCalls / n, t.discoveryBytes / n, t.counterCalls / n, t.counterBytes / n}
	return one, nil
}

// processorTimes is the time that all of several processes have run for.
func processorTimes(pids []int) (sum time.Duration, err error) {
	for _, pid := range pids {
		one, err := procfs.ProcessorTime(pid)
		if err != nil {
			return 0, err
		}
		sum += one
	}
	return sum, nil
}
