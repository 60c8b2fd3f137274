package scale

import (
	"time"

	"ospreycroft/internal/lab/procfs"
)

// usage is what one process, and all control connections, took in a time.
type usage struct {
	seconds       float64
	coreShare     float64 // share of a core
	residentBytes float64 // bytes, at the end
	traffic       traffic
}

// watch measures one process over so many windows in a row.
func measureProcess(p *process, s *standIns, window time.Duration, count int) ([]usage, error) {
	var windows []usage
	for range count {
		before, err := procfs.ProcessorTime(p.pid())
		if err != nil {
			return nil, err
		}
		trafficBefore, start := s.traffic(), time.Now()
		time.Sleep(window)
		after, err := procfs.ProcessorTime(p.pid())
		if err != nil {
			return nil, err
		}
		took := time.Since(start).Seconds()
		resident, err := procfs.Resident(p.pid())
		if err != nil {
			return nil, err
		}
		windows = append(windows, usage{seconds: took, coreShare: (after - before).Seconds() / took, residentBytes: resident,
			traffic: s.traffic().since(trafficBefore)})
	}
	return windows, nil
}

// samples takes one figure out of each measurement.
func samples(windows []usage, value func(usage) float64) []float64 {
	values := make([]float64, len(windows))
	for i, window := range windows {
		values[i] = value(window)
	}
	return values
}
