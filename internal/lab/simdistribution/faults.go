package simdistribution

// This file has the faults that a test can play.

// KillRelay ends a relay's process: its connections break.
func (f *Fleet) KillRelay(i int) {
	n := f.relays[i]
	n.down = true
	n.life++
	for _, c := range n.held {
		f.fail(c, f.latency(c.from, n), errRefused)
	}
	n.held = nil
}

// StallRelay makes a relay answer nothing more, while its connections stay.
func (f *Fleet) StallRelay(i int) { f.relays[i].stalled = true }

// CutZone lets nothing pass into or out of a zone; -1 heals it.
func (f *Fleet) CutZone(zone int) { f.cutZone = zone }

// CutRegion lets nothing pass into or out of a region; -1 heals it. The source is in region 0.
func (f *Fleet) CutRegion(region int) { f.cutRegion = region }

// RestartLimiters restarts one limiter in so many, each with what it had on its disk or with nothing.
func (f *Fleet) RestartLimiters(oneIn int, fromDisk bool) error {
	for i, n := range f.limiters {
		if i%oneIn != 0 {
			continue
		}
		var from *disk
		if fromDisk {
			from = &disk{n.poller.Version(), n.poller.State(), f.queue.now - n.poller.Status(f.queue.now).Age}
		}
		if err := f.startLimiter(i, n, from); err != nil {
			return err
		}
	}
	return nil
}
