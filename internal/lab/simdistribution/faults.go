package simdistribution

// This file has the faults that a test can play.

// KillRelay ends a relay's process: its connections break.
func (f *Fleet) KillRelay(i int) {
	n := f.relays[i]
	n.down = true
	n.incarnation++
	for _, c := range n.heldCalls {
		f.failAfter(c, f.latency(c.from, n), errConnectionRefused)
	}
	n.heldCalls = nil
}

// StallRelay makes a relay answer nothing more, while its connections stay.
func (f *Fleet) StallRelay(i int) { f.relays[i].stalled = true }

// IsolateZone lets nothing pass into or out of a zone; -1 heals it.
func (f *Fleet) IsolateZone(zone int) { f.isolatedZone = zone }

// IsolateRegion lets nothing pass into or out of a region; -1 heals it. The source is in region 0.
func (f *Fleet) IsolateRegion(region int) { f.isolatedRegion = region }

// RestartLimiters restarts one limiter in so many, each with what it had on its disk or with nothing.
func (f *Fleet) RestartLimiters(oneIn int, fromDisk bool) error {
	for i, n := range f.limiters {
		if i%oneIn != 0 {
			continue
		}
		var saved *savedState
		if fromDisk {
			saved = &savedState{n.poller.Version(), n.poller.State(), f.queue.now - n.poller.Status(f.queue.now).Age}
		}
		if err := f.startLimiter(i, n, saved); err != nil {
			return err
		}
	}
	return nil
}
