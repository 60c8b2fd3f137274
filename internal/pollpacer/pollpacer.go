// Package pollpacer decides when a limiter polls discovery, how long discovery may hold a poll, and when a poll times
// out. It does no I/O: the caller reports how each call ended and gets the delay of the next one. Times are
// nanoseconds.
//
// An immediate retry is harmless from one limiter. In a fleet that starts together it keeps discovery overloaded for
// good, since each throttled call is repeated before the others have been served.
package pollpacer

import "math"

// Failure is the way in which a call to discovery ended without a list.
type Failure uint8

// The failures.
const (
	Throttled Failure = iota // discovery rejected the call because it is overloaded
	Failed                   // no answer, or one that cannot be parsed
)

// Notification deadlines of the protocol, in nanoseconds: the time at which a change of the list counts as delivered to
// a limiter, whether it arrived or not.
const (
	// notifiedAfterSilence is the deadline after discovery becomes unreachable.
	notifiedAfterSilence = 6e9
	// notifiedAfterHold is the earliest deadline after the end of a call's hold.
	notifiedAfterHold = 2e9
	// notifiedAfterMove is the deadline after a new configuration moves discovery to another address.
	notifiedAfterMove = 4e9
)

const (
	// firstFailurePauseDivisor: the mean pause after a first failed call is a dial timeout divided by
	// firstFailurePauseDivisor.
	firstFailurePauseDivisor = 4
	// maxFailurePauseDialTimeouts limits that mean, which doubles with each further failure, in dial timeouts.
	maxFailurePauseDialTimeouts = 4
	// firstThrottledPauseDialTimeouts is the mean pause after a first throttled call, in dial timeouts.
	firstThrottledPauseDialTimeouts = 8
	// maxThrottledPauseDialTimeouts limits that mean, which doubles with each further failure, in dial timeouts.
	maxThrottledPauseDialTimeouts = 32
	// firstCallDivisor: if lists are polled, the first calls are spread over the poll interval divided by
	// firstCallDivisor.
	firstCallDivisor = 2

	// pushedGraceDivisor: if changes are pushed, a change counts as delivered as soon as the agent on this machine has
	// it, so the mean pause after a failed call is at most the drain grace divided by pushedGraceDivisor.
	pushedGraceDivisor = 5
	// maxPushedPause is the maximum of that bound, in nanoseconds. Calls to the local agent cost almost nothing.
	maxPushedPause = 50e6
	// minPushedPause is the minimum of that bound, in nanoseconds.
	minPushedPause = 1e6
	// pushedHoldDialTimeouts is the hold of a call if changes are pushed, in dial timeouts. It is short because a call
	// that is never answered hides all changes.
	pushedHoldDialTimeouts = 4
	// pushedResponseDialTimeouts is how long after its hold such a call times out, in dial timeouts.
	pushedResponseDialTimeouts = 2

	// maxDialTimeout is the longest wait for a connection to discovery, or for a response to a call without a hold, in
	// nanoseconds.
	maxDialTimeout = 500e6
	// processingMargin is the time allowed for everything but waiting between a failed call and the end of the next
	// one, in nanoseconds.
	processingMargin = 100e6
)

// noCall is the value of callMadeAt while no call is in flight.
const noCall = math.MaxInt64

// Pacer schedules the calls of one limiter to discovery. The zero value is not usable; see New.
type Pacer struct {
	dialTimeout        int64
	pollInterval       int64   // maximum time between polls, 0 if changes are pushed
	pushedPause        int64   // maximum mean pause after a failed call if changes are pushed
	positionFraction   float64 // this limiter's place in the fleet, in [0, 1)
	failures           int     // calls in a row without an answer
	lastResponse       int64   // latest time at which the held list was known to be current
	holdUntil          int64   // end of the latest call's hold
	notifiedAt         int64   // time at which missed changes count as delivered, 0 if none are missed
	earlyCallAvailable bool    // one call may be sent early to meet notifiedAt
	retrying           bool    // no answer has come since a call failed
	callMadeAt         int64   // start of the call in flight, noCall if there is none
	plannedCallAt      int64   // time planned for the next call before an early call was inserted, 0 if none was
}

// New returns the pacer of the limiter with the given position in the fleet. dialTimeout must be above 0. interval is
// the maximum time between polls, or 0 if changes are pushed.
func New(now, dialTimeout int64, position int, interval int64) *Pacer {
	_, fraction := math.Modf(float64(position) * math.Phi)
	return &Pacer{
		dialTimeout:      min(dialTimeout, maxDialTimeout),
		positionFraction: fraction,
		pollInterval:     interval,
		pushedPause:      maxPushedPause,
		lastResponse:     now,
		callMadeAt:       noCall,
	}
}

// SetNotificationBound sets the grace: how long after notice that a server drains it may still get requests. 0 means
// that the settings do not limit it.
func (p *Pacer) SetNotificationBound(grace int64) {
	if grace > 0 {
		p.pushedPause = max(min(maxPushedPause, grace/pushedGraceDivisor), minPushedPause)
	}
}

// FirstDelay returns the delay of the first call. It spreads the calls of limiters that start together evenly, by
// position: discovery would be overloaded by all at once, and the work on calls that it cannot answer in time is
// wasted. The list of the configuration is used until then, so the delay must meet the notification deadline.
func (p *Pacer) FirstDelay() int64 {
	return int64(
		p.positionFraction * float64(min(p.pollInterval/firstCallDivisor, notifiedAfterSilence-p.retryAllowance())),
	)
}

// DialTimeout returns the timeout of a dial to discovery.
func (p *Pacer) DialTimeout() int64 { return p.dialTimeout }

// PartialResponseTimeout returns the timeout for the rest of a response that has begun to arrive.
func (p *Pacer) PartialResponseTimeout() int64 { return 2 * p.dialTimeout }

// retryAllowance returns the time that must remain before a notification deadline when a call times out: a dial that
// times out, the pause after it, and the dial and the response of the next call.
func (p *Pacer) retryAllowance() int64 {
	return 3*p.dialTimeout + p.dialTimeout/firstFailurePauseDivisor*3/2 + processingMargin
}

// MaxBackoff returns the longest pause after a failed call that meets the notification deadline. Discovery may recover
// just after a dial that will time out. That timeout, the pause, and the dial and the response of the next call must
// all end before the changes that discovery has count as delivered.
func (p *Pacer) MaxBackoff() int64 { return notifiedAfterSilence - 3*p.dialTimeout - processingMargin }

// NextPoll returns the hold and the timeout of a call that is sent at now. A call for the complete list has no hold.
// The timeout is as long as the notification deadline allows, since abandoning a call in discovery's queue and sending
// another lengthens the queue. A retry has a shorter hold, so that it ends by the deadline for the changes that
// discovery has when it recovers.
func (p *Pacer) NextPoll(now int64, complete bool) (hold, timeout int64) {
	switch {
	case complete:
	case p.pollInterval > 0 && p.retrying:
		hold = min(p.pollInterval, notifiedAfterSilence-notifiedAfterHold)
	case p.pollInterval > 0:
		hold = p.pollInterval
	default:
		hold = pushedHoldDialTimeouts * p.dialTimeout
	}
	return hold, p.responseTimeout(now, complete, hold)
}

// responseTimeout returns the timeout of a call that is sent at now, and records the call as in flight.
func (p *Pacer) responseTimeout(now int64, complete bool, hold int64) (timeout int64) {
	deadline := now + notifiedAfterSilence
	if complete && p.notifiedAt-p.retryAllowance()-now >= p.dialTimeout {
		deadline = min(deadline, p.notifiedAt)
	}
	p.holdUntil = now + hold
	p.callMadeAt = now
	timeout = max(deadline, p.holdUntil+notifiedAfterHold) - now - p.retryAllowance()
	if complete {
		timeout = deadline - now - p.retryAllowance()
	}
	if p.pollInterval == 0 {
		timeout = min(timeout, hold+pushedResponseDialTimeouts*p.dialTimeout)
	}
	return max(timeout, hold+p.dialTimeout)
}

// ResponseReceived records that a list was received: no changes are missed.
func (p *Pacer) ResponseReceived(now int64) {
	p.failures = 0
	p.lastResponse = now
	p.notifiedAt = 0
	p.earlyCallAvailable = true
	p.plannedCallAt = 0
	p.retrying = false
	p.callMadeAt = noCall
}

// ConnectionLost records that discovery closed a connection that had served calls before while a call was in flight.
// The caller repeats the call at once, as a retry. A connection closed within a dial timeout of the call is not a
// failure: discovery closes it after each response.
func (p *Pacer) ConnectionLost(now int64) {
	if p.callMadeAt != noCall && now-p.callMadeAt >= p.dialTimeout {
		p.retrying = true
	}
}

// ServiceMoved records that discovery has a new address, which has not answered yet. All limiters call it at the same
// time, as at a start, so no call may be sent early.
func (p *Pacer) ServiceMoved(now int64) {
	p.failures = 0
	p.notifiedAt = now + notifiedAfterMove
	p.earlyCallAvailable = false
	p.plannedCallAt = 0
}

// RetryDelay records that a call ended without a list at now and returns the delay of the next one, an exponential
// backoff with jitter. The jitter, from half to one and a half of the mean, follows from the limiter's position and the
// number of failures, so that limiters that failed together retry apart. If the next call would be sent after the
// missed changes count as delivered, one call per outage is sent before that deadline, again with jitter; the calls
// planned after it keep their times.
func (p *Pacer) RetryDelay(now int64, failure Failure) int64 {
	if p.notifiedAt == 0 {
		p.notifiedAt = p.lastResponse + notifiedAfterSilence
		if failure == Failed {
			p.notifiedAt = max(p.notifiedAt, min(now, p.holdUntil)+notifiedAfterHold)
		}
	}
	madeAt := p.callMadeAt
	p.retrying = true
	p.callMadeAt = noCall
	if remaining := p.plannedCallAt - now; remaining > 0 {
		p.plannedCallAt = 0
		return remaining
	}
	mean := p.meanBackoff(failure)
	p.failures++
	_, fraction := math.Modf(p.positionFraction + float64(p.failures)*math.Phi)
	pause := p.jittered(mean, p.maxPause(now, madeAt, failure), fraction)
	if remaining := p.notifiedAt - now - 2*p.dialTimeout - processingMargin; p.earlyCallAvailable &&
		pause > remaining && remaining > 0 {
		p.earlyCallAvailable = false
		p.plannedCallAt = now + pause
		return remaining/4 + int64(fraction*float64(remaining*3/4))
	}
	return pause
}

// meanBackoff returns the mean pause after a failed call before the notification deadline is applied. It doubles with
// each failure in a row.
func (p *Pacer) meanBackoff(failure Failure) int64 {
	mean := p.dialTimeout / firstFailurePauseDivisor
	longest := maxFailurePauseDialTimeouts * p.dialTimeout
	switch {
	case p.pollInterval == 0:
		return min(mean, p.pushedPause)
	case failure == Throttled:
		mean = firstThrottledPauseDialTimeouts * p.dialTimeout
		longest = maxThrottledPauseDialTimeouts * p.dialTimeout
	}
	for range p.failures {
		mean = min(2*mean, longest)
		if mean == longest {
			break
		}
	}
	return mean
}

// maxPause returns the longest pause after a call that was sent at madeAt and ended at now. A call without an answer
// may have been lost just as discovery recovered, so the next one must end within the notification deadline counted
// from madeAt; the result is never below the longest first pause. A throttled call was answered, so discovery cannot
// have recovered before now.
func (p *Pacer) maxPause(now, madeAt int64, failure Failure) int64 {
	longest := p.MaxBackoff()
	if failure == Failed && madeAt != noCall {
		longest = min(longest, madeAt+notifiedAfterSilence-2*p.dialTimeout-processingMargin-now)
	}
	return max(longest, p.dialTimeout/firstFailurePauseDivisor*3/2)
}

// jittered returns a pause between half and one and a half of mean, or between half of longest and longest if the
// former range exceeds longest. In the second case half of the choice is the limiter's position: with the same mean
// pause for all, a fleet would keep calling in step. fraction is in [0, 1).
func (p *Pacer) jittered(mean, longest int64, fraction float64) int64 {
	shortest := mean / 2
	upper := mean/2 + mean
	if upper > longest {
		shortest, upper, fraction = longest/2, longest, (fraction+p.positionFraction)/2
	}
	return shortest + int64(fraction*float64(upper-shortest))
}
