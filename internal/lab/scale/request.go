package scale

import (
	"errors"
	"fmt"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// request measures the processor time of one request, over servers at the size's even load and over the load.
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
	h.add(
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
				h.logf("%d servers, %d requests/s: %v", servers, rate, err)
				continue // more than it bears
			}
			overLoad = append(overLoad, Point{float64(rate), point.Samples})
		}
		h.add(
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

// loads are the requests a second at which a limiter before so many servers is measured.
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
	requestCustomers = 407 // of 28,000, each through 8 of 550 limiters, at one limiter
	borne            = 0.95
	tries            = 2
)

// requestCost is the processor time of a request, ms, without what the limiter spends when idle. What the machine
// beside it spoils is tried again.
func (h *Harness) requestCost(servers, rate int) (point Point, err error) {
	for range tries {
		var refused *LoadError
		point, err = h.requestCostOnce(servers, rate)
		if !errors.As(err, &refused) {
			break
		}
		h.logf("%d servers, %d requests/s, again: %v", servers, rate, err)
	}
	return point, err
}

func (h *Harness) requestCostOnce(servers, rate int) (point Point, err error) {
	point.X = float64(servers)
	err = h.withReal(
		standsSpec{limiters: 1, servers: servers, work: 5 * time.Millisecond},
		func(s *stands, l *realLimiter) error {
			time.Sleep(h.window(time.Second))
			idle, err := watchProcess(l.process, s, h.window(2*time.Second), 1)
			if err != nil {
				return err
			}
			c := newClients(s.clock, l.address)
			defer c.close()
			c.open(float64(rate), requestCustomers, h.window(time.Second), 1) // connections come up
			for i := range h.samples() {
				before, err := procfs.ProcessorTime(l.pid())
				if err != nil {
					return err
				}
				began := time.Now()
				all := c.open(float64(rate), requestCustomers, h.window(2*time.Second), uint64(i+2))
				took := time.Since(began).Seconds()
				after, err := procfs.ProcessorTime(l.pid())
				if err != nil {
					return err
				}
				if share := servedShare(all); share < borne {
					return &LoadError{Sent: len(all), Served: int(share * float64(len(all)))}
				}
				own := (after - before).Seconds() - idle[0].core*took
				point.Samples = append(point.Samples, own*1e3/float64(len(all)))
			}
			return nil
		},
	)
	return point, err
}
