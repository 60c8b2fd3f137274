package scale

import (
	"errors"
	"fmt"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// request measures the processor time of one request, over servers at a load of 124 requests/s, the even share of one
// of 550 limiters at the peak, and over the load.
func (h *Harness) request() error {
	var overServers []Point
	for _, servers := range h.sizes([]int{20, 1000}, []int{20, 1000, Servers}) {
		point, err := h.requestCost(servers, 124)
		if err != nil {
			return err
		}
		overServers = append(overServers, point)
	}
	mechanism := "choice.go able (walks the servers in the circle), reserve; internal/limiter and sockets for the rest"
	h.addSeries(
		Series{
			Experiment: "request",
			Quantity:   "processor time of a request",
			Unit:       "ms",
			Over:       "servers",
			Points:     overServers,
			Mechanism:  mechanism,
			Note:       "124 requests/s, idle cost taken off",
		},
	)
	for _, servers := range h.sizes([]int{20}, []int{20, Servers}) {
		var overLoad []Point
		for _, rate := range h.loads(servers) {
			point, err := h.requestCost(servers, rate)
			if err != nil {
				h.logf("%d servers, %d requests/s, skipped: %v", servers, rate, err)
				continue // the limiter does not sustain this load
			}
			overLoad = append(overLoad, Point{float64(rate), point.Samples})
		}
		h.addSeries(
			Series{
				Experiment: "request",
				Quantity:   fmt.Sprintf("processor time of a request, %d servers", servers),
				Unit:       "ms",
				Over:       "requests/s",
				Points:     overLoad,
				Mechanism:  mechanism,
			},
		)
	}
	return nil
}

// loads returns the loads, in requests per second, at which a limiter with the given number of servers is measured.
func (h *Harness) loads(servers int) []int {
	if h.options.Short {
		return []int{50, 100}
	}
	if servers < Servers {
		return []int{124, 500}
	}
	return []int{62, 124, 250, 500, 1000}
}

const (
	requestCustomers = 407 // customers of one limiter: 28,000, each on 8 of 550 limiters
	minServedShare   = 0.95
	maxAttempts      = 2
)

// requestCost measures the processor time of a request in milliseconds, less what the limiter uses when idle. A
// measurement with too few served requests is repeated, because load beside it on the machine may have spoilt it.
func (h *Harness) requestCost(servers, rate int) (point Point, err error) {
	for range maxAttempts {
		var overload *LoadError
		point, err = h.requestCostOnce(servers, rate)
		if !errors.As(err, &overload) {
			break
		}
		h.logf("%d servers, %d requests/s, retrying: %v", servers, rate, err)
	}
	return point, err
}

func (h *Harness) requestCostOnce(servers, rate int) (point Point, err error) {
	point.X = float64(servers)
	err = h.withReal(
		standInsSpec{limiters: 1, servers: servers, serviceTime: 5 * time.Millisecond},
		func(s *standIns, l *realLimiter) error {
			time.Sleep(h.duration(time.Second))
			idle, err := measureProcess(l.process, s, h.duration(2*time.Second), 1)
			if err != nil {
				return err
			}
			pool := newClientPool(s.clock, l.address)
			defer pool.close()
			pool.sendAtRate(float64(rate), requestCustomers, h.duration(time.Second), 1) // opens the connections
			for i := range h.sampleCount() {
				before, err := procfs.ProcessorTime(l.pid())
				if err != nil {
					return err
				}
				start := time.Now()
				results := pool.sendAtRate(float64(rate), requestCustomers, h.duration(2*time.Second), uint64(i+2))
				took := time.Since(start).Seconds()
				after, err := procfs.ProcessorTime(l.pid())
				if err != nil {
					return err
				}
				if share := servedShare(results); share < minServedShare {
					return &LoadError{Sent: len(results), Served: int(share * float64(len(results)))}
				}
				processorSeconds := (after - before).Seconds() - idle[0].coreShare*took
				point.Samples = append(point.Samples, processorSeconds*1e3/float64(len(results)))
			}
			return nil
		},
	)
	return point, err
}
