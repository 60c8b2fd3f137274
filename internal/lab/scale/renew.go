package scale

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// renew measures what a change of the configuration costs a limiter that gets it as a new file and SIGHUP.
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

// measureRenewals renews a limiter's configuration several times and returns the processor time and the duration of
// each renewal, in milliseconds.
func (l *realLimiter) measureRenewals(times int) (costs, took []float64, err error) {
	for i := range times {
		l.config.Limits.Cores = 1 // no setting changes: the cost of reading is measured
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
				return nil, nil, &StartError{"a configuration renewal", l.log, os.ErrDeadlineExceeded}
			}
			time.Sleep(2 * time.Millisecond)
		}
		took = append(took, time.Since(start).Seconds()*1e3)
		time.Sleep(200 * time.Millisecond) // include the work that follows the renewal
		after, err := procfs.ProcessorTime(l.pid())
		if err != nil {
			return nil, nil, err
		}
		costs = append(costs, (after-before).Seconds()*1e3)
	}
	return costs, took, nil
}

// countLogLines returns how often a text occurs in the limiter's log; 0 if the log cannot be read.
func (l *realLimiter) countLogLines(text string) int {
	log, err := os.ReadFile(l.log)
	if err != nil {
		return 0
	}
	return strings.Count(string(log), text)
}
