package scale

import (
	"time"

	"ospreycroft/internal/lab/procfs"
)

// spent is what one process, and all control connections, took in a time.
type spent struct {
	seconds  float64
	core     float64 // share of a core
	resident float64 // bytes, at the end
	traffic  traffic
}

// watch measures one process over so many windows in a row.
func watchProcess(p *process, s *stands, window time.Duration, times int) ([]spent, error) {
	var all []spent
	for range times {
		before, err := procfs.ProcessorTime(p.pid())
		if err != nil {
			return nil, err
		}
		crossed, began := s.traffic(), time.Now()
		time.Sleep(window)
		after, err := procfs.ProcessorTime(p.pid())
		if err != nil {
			return nil, err
		}
		took := time.Since(began).Seconds()
		held, err := procfs.Resident(p.pid())
		if err != nil {
			return nil, err
		}
		all = append(all, spent{seconds: took, core: (after - before).Seconds() / took, resident: held,
			traffic: s.traffic().since(crossed)})
	}
	return all, nil
}

// samples takes one figure out of each measurement.
func samples(all []spent, figure func(spent) float64) []float64 {
	out := make([]float64, len(all))
	for i, one := range all {
		out[i] = figure(one)
	}
	return out
}
