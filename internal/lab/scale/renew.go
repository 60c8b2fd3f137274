package scale

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// renew measures what a change of the configuration costs a limiter today: a new file and SIGHUP.
func (h *Harness) renew() error {
	var processor, took []Point
	for _, servers := range h.sizes([]int{20, 200}, []int{20, 1000, Servers}) {
		err := h.withReal(standInsSpec{limiters: 1, servers: servers}, func(_ *standIns, l *realLimiter) error {
			time.Sleep(h.duration(2 * time.Second))
			costs, times, err := l.measureRenewals(renewSamples)
			processor = append(processor, Point{float64(servers), costs})
			took = append(took, Point{float64(servers), times})
			return err
		})
		if err != nil {
			return err
		}
	}
	mechanism := "settings ReadFile and Fixed, limiter.go renew; the known list is in the file"
	h.addSeries(
		Series{Experiment: "renew", Quantity: "processor time of a renewed configuration", Unit: "ms", Over: "servers",
			Points: processor, Mechanism: mechanism},
	)
	h.addSeries(
		Series{
			Experiment: "renew",
			Quantity:   "from SIGHUP until the limiter says that it has read it",
			Unit:       "ms",
			Over:       "servers",
			Points:     took,
			Mechanism:  mechanism,
			Note:       "looked for every 2 ms",
		},
	)
	last := took[len(took)-1].Median()
	h.addFigure(
		Series{
			Experiment: "renew",
			Quantity:   fmt.Sprintf("one by one through %d limiters, the signal alone", Limiters),
			Unit:       "s",
			Estimated:  true,
			Note:       "without the copying of the file to each machine",
		},
		last*Limiters/1e3,
	)
	return nil
}

const renewSamples = 5

// measureRenewals renews a limiter's configuration several times: the processor time and the time of each, ms.
func (l *realLimiter) measureRenewals(times int) (costs, took []float64, err error) {
	for i := range times {
		l.config.Limits.Cores = 1 // no key differs: what is measured is the reading
		if err := l.writeConfig(); err != nil {
			return nil, nil, err
		}
		before, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, nil, err
		}
		start := time.Now()
		if err := l.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, nil, err
		}
		for l.countLogLines("event=config-read") <= i {
			if time.Since(start) > clientTimeout {
				return nil, nil, &StartError{"a renewal", l.log, os.ErrDeadlineExceeded}
			}
			time.Sleep(2 * time.Millisecond)
		}
		took = append(took, time.Since(start).Seconds()*1e3)
		time.Sleep(200 * time.Millisecond) // and what it leaves behind
		after, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, nil, err
		}
		costs = append(costs, (after-before).Seconds()*1e3)
	}
	return costs, took, nil
}

// countLogLines is how many lines of the limiter's log hold a text.
func (l *realLimiter) countLogLines(text string) int {
	log, err := os.ReadFile(l.log)
	if err != nil {
		return 0
	}
	return strings.Count(string(log), text)
}
