package scale

import (
	"fmt"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/procfs"
)

// list measures what one change of the endpoint list costs a limiter, if discovery answers with the whole list and if
// it answers with the changed entries alone.
func (h *Harness) list() error {
	for _, whole := range []bool{true, false} {
		var bytes, processor []Point
		for _, servers := range h.sizes([]int{20, 1000}, []int{20, 1000, 4000, Servers}) {
			spec := standInsSpec{limiters: 1, servers: servers, wholeList: whole}
			err := h.withReal(spec, func(s *standIns, l *realLimiter) error {
				cost, err := h.changeCost(s, l)
				bytes = append(
					bytes,
					Point{float64(servers), samples(cost, func(o usage) float64 { return o.traffic.discoveryBytes })},
				)
				processor = append(
					processor,
					Point{float64(servers), samples(cost, func(o usage) float64 { return o.coreShare * 1e3 })},
				)
				return err
			})
			if err != nil {
				return err
			}
		}
		content := "the changed entry alone"
		mechanism := "watch.go apply, choice.go Members and turnRing (sorts all servers)"
		if whole {
			content = "the whole list"
			mechanism = "discovery.go Decode, watch.go apply and missing, choice.go Members and turnRing"
		}
		h.addSeries(
			Series{
				Experiment: "list",
				Quantity:   "bytes of one change, told by " + content,
				Unit:       "B",
				Over:       "servers",
				Points:     bytes,
				Mechanism:  "the list service's answer; discovery.go",
			},
		)
		h.addSeries(
			Series{
				Experiment: "list",
				Quantity:   "processor time of one change, told by " + content,
				Unit:       "ms",
				Over:       "servers",
				Points:     processor,
				Mechanism:  mechanism,
			},
		)
	}
	return h.startCost()
}

const (
	changesPerSample = 8
	changeInterval   = 150 * time.Millisecond
)

// changeCost measures what one change of one server costs, in several samples. The coreShare of each result holds the
// processor time of one change in seconds, less the idle limiter's. The bytes are those of the whole window divided
// by its changes; polls without a change are included.
func (h *Harness) changeCost(s *standIns, l *realLimiter) (costs []usage, err error) {
	time.Sleep(h.duration(2 * time.Second))
	idle, err := measureProcess(l.process, s, h.duration(2*time.Second), 1)
	if err != nil {
		return nil, err
	}
	for sample := range h.sampleCount() {
		length := changesPerSample * changeInterval
		before, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, err
		}
		trafficBefore := s.traffic()
		for i := range changesPerSample {
			instance := s.list[(sample*changesPerSample+i)%len(s.list)]
			instance.Weight = 2 - instance.Weight/2
			s.discovery.Set(instance)
			time.Sleep(changeInterval)
		}
		time.Sleep(changeInterval)
		after, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, err
		}
		length += changeInterval
		cost := usage{seconds: length.Seconds(), traffic: s.traffic().since(trafficBefore)}
		cost.coreShare = ((after - before).Seconds() - idle[0].coreShare*length.Seconds()) / changesPerSample
		cost.traffic.discoveryBytes /= changesPerSample
		costs = append(costs, cost)
	}
	return costs, nil
}

// startCost measures the processor time of a limiter's process from its start until it is ready, with the list in its
// configuration.
func (h *Harness) startCost() error {
	var points []Point
	for _, servers := range h.sizes([]int{20, 1000}, []int{20, 1000, Servers}) {
		point := Point{X: float64(servers)}
		for range h.sampleCount() {
			err := h.withReal(standInsSpec{limiters: 1, servers: servers}, func(_ *standIns, l *realLimiter) error {
				took, err := procfs.ProcessorTime(l.pid())
				point.Samples = append(point.Samples, took.Seconds()*1e3)
				return err
			})
			if err != nil {
				return err
			}
		}
		points = append(points, point)
	}
	h.addSeries(
		Series{
			Experiment: "list",
			Quantity:   "processor time of a start until ready",
			Unit:       "ms",
			Over:       "servers",
			Points:     points,
			Mechanism:  "config.go ReadConfig, discovery.go Decode, watch.go apply",
		},
	)
	return nil
}

// firstWithLifecycle returns the first 1/divisor of the list's servers with another lifecycle and start time.
func (s *standIns) firstWithLifecycle(divisor int, lifecycle string, started time.Time) []emulator.Instance {
	changed := append([]emulator.Instance(nil), s.list[:len(s.list)/divisor]...)
	for i := range changed {
		changed[i].Lifecycle = lifecycle
		changed[i].StartedMs = started.UnixMilli()
	}
	return changed
}

// shareName describes 1/divisor of the servers; divisor is 4 or 2.
func shareName(divisor int) string {
	return map[int]string{4: "a quarter", 2: "half"}[divisor] + fmt.Sprintf(" of %d servers", Servers)
}
