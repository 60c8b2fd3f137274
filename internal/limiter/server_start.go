package limiter

// Lists give servers' starts by the wall clocks of machines, which may be stepped before or while the limiter runs. The
// limiter's own clock advances evenly from the wall clock's value at its start. Without a conversion, a start could
// seem to be an hour ago, and all limiters would send the server a warm one's load; or it could lie in the future, and
// the server would seem cold until the limiter's clock got there. So each start is converted when it is first listed.

const (
	// maxClockSkew is how far clocks differ at most without a step, nanoseconds.
	maxClockSkew = 2e9
	// maxListDelay is how long after a server's start the list names it at the latest, nanoseconds.
	maxListDelay = 6e9
	// maxOutage: after an outage discovery lists servers later, but none that started longer than this before its
	// latest list. Nanoseconds.
	maxOutage = 30e9
)

// startClock converts servers' starts in the present list to the limiter's clock.
type startClock struct {
	now int64
	// readings are the present readings of the clocks that may have stamped a start: this machine's wall clock, and
	// discovery's clock.
	readings []int64
	// confirmedAt is when the latest list before this one came, nanoseconds; 0 if there was none, or if discovery's
	// clock agrees with the limiter's.
	confirmedAt int64
}

// startClock returns the conversion for the list that is being applied. received tells that discovery has just sent the
// list.
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

// differs tells whether a clock's reading is so far from the limiter's clock that one of them was stepped.
func differs(clock, now int64) bool { return clock-now > maxClockSkew || now-clock > maxClockSkew }

// anyDiffers tells whether any of the clocks differs.
func (c *startClock) anyDiffers() bool {
	for _, reading := range c.readings {
		if differs(reading, c.now) {
			return true
		}
	}
	return false
}

// toLocal converts a start. After a step it cannot be known whether the start was stamped before it or after, so the
// later of both times that is not in the future is used. A server wrongly taken for cold gets too little load for a
// while; one wrongly taken for warm may be overloaded.
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

// observeStart records the start that a list gives, 0 for long ago, and returns it by the limiter's clock. A start that
// was listed before is not converted anew, except that after a clock was stepped the later of both times is used.
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
