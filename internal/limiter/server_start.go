package limiter

// Lists tell servers' starts by the machines' wall clock, which may be stepped before or while the limiter runs: its own
// clock goes on evenly from what the wall clock showed at its start. Taken as it is told, a start can look an hour old, and
// its server would get a warm one's load from all limiters; or it lies in the future, and its server looks cold until the
// limiter's clock has made up for that. So a start is converted when it is first told.

const (
	// maxClockSkew is how far clocks may be apart without a step, nanoseconds.
	maxClockSkew = 2e9
	// maxListDelay is how long after a server's start the list tells of it.
	maxListDelay = 6e9
	// maxOutage: a list service that was away tells later; but not of a start so long before its latest list.
	maxOutage = 30e9
)

// startClock converts servers' starts, as they are told now, to the limiter's clock.
type startClock struct {
	now int64
	// readings are other clocks' readings of now, by which a start may have been stamped: this machine's wall clock, and
	// the list service's.
	readings []int64
	// confirmedAt is when the latest list came that did not name the server, 0 where there was none, or the list service's
	// clock agrees with the limiter's.
	confirmedAt int64
}

// startClock is what starts are converted by, those of the list that is applied. received tells that the list service has
// just told it.
func (d *discoveryClient) startClock(received bool) startClock {
	now := d.limiter.now
	clock := startClock{now: now, readings: []int64{d.limiter.effects.WallClock()}}
	if !received {
		return clock
	}
	if d.serviceClock != 0 {
		clock.readings = append(clock.readings, d.serviceClock)
	}
	agrees := d.serviceClock != 0 && !differs(d.serviceClock, now)
	if !agrees {
		clock.confirmedAt = d.confirmedAt
	}
	return clock
}

// differs tells whether a clock's reading is so far from the limiter's that one of them was stepped.
func differs(clock, now int64) bool { return clock-now > maxClockSkew || now-clock > maxClockSkew }

// anyDiffers tells whether some clock was.
func (c *startClock) anyDiffers() bool {
	for _, reading := range c.readings {
		if differs(reading, c.now) {
			return true
		}
	}
	return false
}

// toLocal converts a start. Where a clock was stepped it cannot be known whether the start was stamped before the step or
// behind it, and the later of both that has come is taken: a server that is taken for cold gets too little for a while, one
// that is taken for warm may fall.
func (c *startClock) toLocal(reported int64) int64 {
	start := reported
	for _, reading := range c.readings {
		if !differs(reading, c.now) {
			continue
		}
		adjusted := reported - (reading - c.now)
		if start > c.now || adjusted > start && adjusted <= c.now {
			start = adjusted
		}
	}
	switch {
	case start > c.now+maxClockSkew:
		return c.now
	case start < c.confirmedAt-maxOutage:
		return c.confirmedAt - maxListDelay
	}
	return start
}

// observeStart takes in when a list says that the server started, 0 for long ago, and gives that by the limiter's clock. A
// start that was told before keeps its time, unless it shows only now that a clock was stepped: then the later one holds.
func (p *serverPool) observeStart(reported int64, clock *startClock) int64 {
	switch {
	case reported == 0:
		return 0
	case reported != p.reportedStart:
		p.reportedStart = reported
		p.startedAt = clock.toLocal(reported)
	case clock.anyDiffers():
		reconversion := startClock{now: clock.now, readings: clock.readings}
		p.startedAt = max(p.startedAt, reconversion.toLocal(reported))
	}
	return p.startedAt
}
