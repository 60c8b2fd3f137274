// Package pollpacer decides how often a limiter asks discovery, and for what. It does no I/O: the caller tells how each
// call ended and is told how long to wait before the next one, in nanoseconds.
//
// A call that is asked again at once is harmless in one limiter. In a fleet that starts together it keeps discovery
// overbooked for good: each call that is throttled comes again before the others have had their turn.
package pollpacer

import "math"

// Failure is how a call to discovery ended that brought no list.
type Failure uint8

// The failures.
const (
	Throttled Failure = iota // throttled: discovery has too much to do
	Failed                   // no answer, or one that cannot be read
)

// When news counts as notified to a limiter, whether it came or not; the figures are the protocol's, in nanoseconds.
const (
	// notifiedAfterSilence is how long after discovery fell silent.
	notifiedAfterSilence = 6e9
	// notifiedAfterHold: where a call may be held, no sooner than so long after its hold.
	notifiedAfterHold = 2e9
	// notifiedAfterMove is how long after a new configuration.
	notifiedAfterMove = 4e9
)

const (
	// firstFailurePauseDivisor: after a failure the next call comes after this part of a dial time-out,
	firstFailurePauseDivisor = 4
	// maxFailurePauseDialTimeouts: and after further failures later and later, up to so many dial time-outs.
	maxFailurePauseDialTimeouts = 4
	// firstThrottledPauseDialTimeouts: after discovery throttled a call the next one comes after so many dial time-outs,
	firstThrottledPauseDialTimeouts = 8
	// maxThrottledPauseDialTimeouts: and after further ones later and later, up to so many.
	maxThrottledPauseDialTimeouts = 32
	// firstCallDivisor: where discovery is polled the first call comes within this part of the poll interval.
	firstCallDivisor = 2

	// pushedGraceDivisor: where changes are pushed, what the own machine's agent has counts at once, so the next call
	// comes within this part of the grace,
	pushedGraceDivisor = 5
	// maxPushedPause: and after no longer than that, nanoseconds, as it costs nothing there,
	maxPushedPause = 50e6
	// minPushedPause: nor sooner than that.
	minPushedPause = 1e6
	// pushedHoldDialTimeouts: there a watch is held for so many dial time-outs, since one that is never answered hides all news,
	pushedHoldDialTimeouts = 4
	// pushedResponseDialTimeouts: and is given up if no answer comes for so many more.
	pushedResponseDialTimeouts = 2

	// maxDialTimeout: no dial to discovery, and no answer that could come at once, is waited for longer, nanoseconds.
	maxDialTimeout = 500e6
	// processingMargin is what all that is not waiting takes together, nanoseconds.
	processingMargin = 100e6
)

// noCall stands for the time of a call where none is out.
const noCall = math.MaxInt64

// Pacer is one limiter's way of asking. The zero value is not of use; see New.
type Pacer struct {
	dialTimeout int64 // a dial time-out
	// the longest time between calls where they are work for discovery, 0 where changes are pushed
	pollInterval       int64
	pushedPause        int64   // the longest between them where they are none
	positionFraction   float64 // this limiter's place among all, in [0, 1)
	failures           int     // calls in a row without an answer
	lastResponse       int64   // when the list that is held was last known to be discovery's
	holdUntil          int64   // until when the latest call may wait
	notifiedAt         int64   // from when on what is missed counts as notified, 0 while nothing is
	earlyCallAvailable bool    // one call may come early for that
	retrying           bool    // the next call is a retry: no answer has come since a call failed
	callMadeAt         int64   // when the call that is out was made, noCall while none is
	plannedCallAt      int64   // when the next call would have come without that one, 0 where there was none
}

// New makes the pace of the limiter with this number among all. dialTimeout is in nanoseconds and above 0; every is the
// settings' longest time between calls where discovery tells only those that ask, and 0 where it tells all.
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

// SetNotificationBound takes the settings' grace: how late what is told may be acted on, 0 where they do not say.
func (p *Pacer) SetNotificationBound(grace int64) {
	if grace > 0 {
		p.pushedPause = max(min(maxPushedPause, grace/pushedGraceDivisor), minPushedPause)
	}
}

// FirstDelay is how long to wait before the first call. Limiters that start together would overbook a discovery that
// takes their calls in turn, and what it cannot answer in time is work in vain: by their places they come evenly. The
// list of the configuration holds until then, but not for longer than its news takes to count as notified.
func (p *Pacer) FirstDelay() int64 {
	return int64(
		p.positionFraction * float64(min(p.pollInterval/firstCallDivisor, notifiedAfterSilence-p.retryAllowance())),
	)
}

// DialTimeout is how long a connection to discovery may take to come up.
func (p *Pacer) DialTimeout() int64 { return p.dialTimeout }

// PartialResponseTimeout is how long the rest of an answer that has begun may take.
func (p *Pacer) PartialResponseTimeout() int64 { return 2 * p.dialTimeout }

// retryAllowance is what has to be left when a call is given up: a dial that is never answered, the pause after it, a
// dial and an answer.
func (p *Pacer) retryAllowance() int64 {
	return 3*p.dialTimeout + p.dialTimeout/firstFailurePauseDivisor*3/2 + processingMargin
}

// MaxBackoff is the longest pause behind a failed call that keeps the notification deadline. Discovery may come back
// just after a dial that it will never answer: that dial's time-out, the pause, and the dial and the answer of the
// next call come before what discovery has counts as notified.
func (p *Pacer) MaxBackoff() int64 { return notifiedAfterSilence - 3*p.dialTimeout - processingMargin }

// NextPoll tells how long a call that is made now is to wait for news, and after how long it is given up if it is
// still unanswered. A call for the whole list does not wait. To give one up that stands in discovery's queue and ask
// again adds to the queue, so where it is asked it is held for as long as leaves room before news counts as notified. A
// retry waits for less, so that it is over within the deadline for what discovery has when it can be reached again.
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

// responseTimeout is after how long a call with this wait is given up.
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

// ResponseReceived notes a list: nothing is missed.
func (p *Pacer) ResponseReceived(now int64) {
	p.failures = 0
	p.lastResponse = now
	p.notifiedAt = 0
	p.earlyCallAvailable = true
	p.plannedCallAt = 0
	p.retrying = false
	p.callMadeAt = noCall
}

// ConnectionLost notes that a connection that has served ended from the other side with a call out. The call is made
// again at once, as a retry. A connection that ends within a dial time-out of its latest answer is one that discovery
// closes behind each answer.
func (p *Pacer) ConnectionLost(now int64) {
	if p.callMadeAt != noCall && now-p.callMadeAt >= p.dialTimeout {
		p.retrying = true
	}
}

// ServiceMoved notes that discovery is at a new address, from which nothing has come yet. As at the start, all
// limiters ask it together, so no call comes early.
func (p *Pacer) ServiceMoved(now int64) {
	p.failures = 0
	p.notifiedAt = now + notifiedAfterMove
	p.earlyCallAvailable = false
	p.plannedCallAt = 0
}

// RetryDelay takes the end of a call that brought no list and tells how long to wait before the next one: longer with
// each in a row. Limiters that failed together come again apart: the wait is between half and one and a half of its
// span, by the limiter's place, which steps on with each failure. Where the next call would come after what is missed
// counts as notified, one comes before that, apart again: one more a limiter and outage, and the others stay where they
// were.
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
	if remaining := p.notifiedAt - now - 2*p.dialTimeout - processingMargin; p.earlyCallAvailable && pause > remaining && remaining > 0 {
		p.earlyCallAvailable = false
		p.plannedCallAt = now + pause
		return remaining/4 + int64(fraction*float64(remaining*3/4))
	}
	return pause
}

// meanBackoff is the mean pause behind a failed call where the notification deadline leaves it, longer with each
// failure in a row.
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

// maxPause is the longest pause behind a call that was made at asked and ends now. A call without an answer may have
// been lost as discovery came back, so the next one is over within the deadline from when that one was made; it is
// never sooner than the first pause of all. A call that was throttled has had an answer: discovery was not back
// before that.
func (p *Pacer) maxPause(now, madeAt int64, failure Failure) int64 {
	longest := p.MaxBackoff()
	if failure == Failed && madeAt != noCall {
		longest = min(longest, madeAt+notifiedAfterSilence-2*p.dialTimeout-processingMargin-now)
	}
	return max(longest, p.dialTimeout/firstFailurePauseDivisor*3/2)
}

// jittered draws a pause from between half and one and a half of a span, or from the upper half of what is allowed
// where that would be longer. Half of the draw is the limiter's place then: pauses of one mean would keep a fleet in
// step for good. part is in [0, 1).
func (p *Pacer) jittered(mean, longest int64, fraction float64) int64 {
	shortest := mean / 2
	upper := mean/2 + mean
	if upper > longest {
		shortest, upper, fraction = longest/2, longest, (fraction+p.positionFraction)/2
	}
	return shortest + int64(fraction*float64(upper-shortest))
}
