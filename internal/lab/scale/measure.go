package scale

import (
	"time"

	"ospreycroft/internal/lab/procfs"
)

// usage is what one process used during a window, and what crossed all control connections meanwhile.
type usage struct {
	seconds       float64
	coreShare     float64 // of one core
	residentBytes float64 // at the end of the window
	traffic       traffic
}

// measureProcess measures one process over count windows in a row.
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

// samples returns one figure of each measurement.
func samples(windows []usage, value func(usage) float64) []float64 {
	values := make([]float64, len(windows))
	for i, window := range windows {
		values[i] = value(window)
	}
	return values
}
