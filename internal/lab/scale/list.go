package scale

import (
	"fmt"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/procfs"
)

// list measures what one change of the list costs a limiter, told by the whole list and by the changed entries alone.
func (h *Harness) list() error {
	for _, whole := range []bool{true, false} {
		var bytes, processor []Point
		for _, servers := range h.sizes([]int{20, 1000}, []int{20, 1000, 4000, Servers}) {
			spec := standsSpec{limiters: 1, servers: servers, whole: whole}
			err := h.withReal(spec, func(s *stands, l *realLimiter) error {
				cost, err := h.changeCost(s, l)
				bytes = append(
					bytes,
					Point{float64(servers), samples(cost, func(o spent) float64 { return o.traffic.discoveryBytes })},
				)
				processor = append(
					processor,
					Point{float64(servers), samples(cost, func(o spent) float64 { return o.core * 1e3 })},
				)
				return err
			})
			if err != nil {
				return err
			}
		}
		told := "the changed entry alone"
		mechanism := "watch.go apply, choice.go Members and turnRing (sorts all servers)"
		if whole {
			told = "the whole list"
			mechanism = "discovery.go Decode, watch.go apply and missing, choice.go Members and turnRing"
		}
		h.add(
			Series{
				Experiment: "list",
				Quantity:   "bytes of one change, told by " + told,
				Unit:       "B",
				Over:       "servers",
				Points:     bytes,
				Mechanism:  "the list service's answer; discovery.go",
			},
		)
		h.add(
			Series{
				Experiment: "list",
				Quantity:   "processor time of one change, told by " + told,
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
	changesOfSample = 8
	changeEvery     = 150 * time.Millisecond
)

// changeCost is what one change of one server costs, in several samples: the processor time (s) stands in core, and
// the bytes of watches that bring nothing are taken off.
func (h *Harness) changeCost(s *stands, l *realLimiter) (all []spent, err error) {
	time.Sleep(h.window(2 * time.Second))
	idle, err := watchProcess(l.process, s, h.window(2*time.Second), 1)
	if err != nil {
		return nil, err
	}
	for sample := range h.samples() {
		length := changesOfSample * changeEvery
		before, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, err
		}
		crossed := s.traffic()
		for i := range changesOfSample {
			in := s.list[(sample*changesOfSample+i)%len(s.list)]
			in.Weight = 2 - in.Weight/2
			s.discovery.Set(in)
			time.Sleep(changeEvery)
		}
		time.Sleep(changeEvery)
		after, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, err
		}
		length += changeEvery
		one := spent{seconds: length.Seconds(), traffic: s.traffic().since(crossed)}
		one.core = ((after - before).Seconds() - idle[0].core*length.Seconds()) / changesOfSample
		one.traffic.discoveryBytes /= changesOfSample
		all = append(all, one)
	}
	return all, nil
}

// startCost is the processor time of a limiter's process until it is ready, with the list in its configuration.
func (h *Harness) startCost() error {
	var points []Point
	for _, servers := range h.sizes([]int{20, 1000}, []int{20, 1000, Servers}) {
		point := Point{X: float64(servers)}
		for range h.samples() {
			err := h.withReal(standsSpec{limiters: 1, servers: servers}, func(_ *stands, l *realLimiter) error {
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
	h.add(
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

// zone is the first part of the list as it drains or comes back: one in so many servers.
func (s *stands) zone(oneIn int, lifecycle string, started time.Time) []emulator.Instance {
	part := append([]emulator.Instance(nil), s.list[:len(s.list)/oneIn]...)
	for i := range part {
		part[i].Lifecycle = lifecycle
		part[i].StartedMs = started.UnixMilli()
	}
	return part
}

// shareName names one in so many servers.
func shareName(oneIn int) string {
	return map[int]string{4: "a quarter", 2: "half"}[oneIn] + fmt.Sprintf(" of %d servers", Servers)
}
