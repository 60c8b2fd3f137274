package simdistribution

// This file implements the faults that a test can inject.

// KillRelay kills a relay's process. The calls that it holds fail as their connections close.
func (f *Fleet) KillRelay(i int) {
	n := f.relays[i]
	n.down = true
	n.incarnation++
	for _, c := range n.heldCalls {
		f.failAfter(c, f.latency(c.from, n), errConnectionRefused)
	}
	n.heldCalls = nil
}

// StallRelay makes a relay stop responding while its connections stay open.
func (f *Fleet) StallRelay(i int) { f.relays[i].stalled = true }

// IsolateZone drops all messages into and out of a zone; -1 heals the partition.
func (f *Fleet) IsolateZone(zone int) { f.isolatedZone = zone }

// IsolateRegion drops all messages into and out of a region; -1 heals the partition. The source is in region 0.
func (f *Fleet) IsolateRegion(region int) { f.isolatedRegion = region }

// RestartLimiters restarts every oneIn-th limiter, with its state restored from disk or with none. It returns an
// error if a state cannot be restored.
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
