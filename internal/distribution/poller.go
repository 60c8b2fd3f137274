package distribution

import (
	"errors"
	"math"

	"ospreycroft/internal/pollpacer"
)

// Hold times of calls for changes, in nanoseconds.
const (
	LimiterHold = 5 * second // of limiters at relays
	RelayHold   = 2 * second // of relays at the source
)

const (
	minThrottleSpread = second / 20 // the spread of calls that come again after a ThrottledError,
	maxThrottleSpread = 2 * second  // which doubles with each in a row up to this
)

// PollerOptions are what a poller is made of.
type PollerOptions struct {
	DialTimeout int64 // of a connection to a server, in nanoseconds, above 0
	Hold        int64 // how long a call for changes may be held, in nanoseconds, above 0
	Position    int   // of this subscriber among all: those that start together ask apart
}

// Poller decides when a subscriber calls which of its two servers, and for how long it waits. Package pollpacer gives
// the pauses, so that subscribers that start or fail together spare their servers. It is not safe for concurrent use.
type Poller struct {
	*Subscriber
	selector       Selector
	pacer          *pollpacer.Pacer
	dialTimeout    int64
	spreadFraction float64 // among all, in [0, 1)
	throttledInRow int     // in a row
}

// NewPoller makes the poller of a subscriber.
func NewPoller(now int64, subscriber *Subscriber, options PollerOptions) *Poller {
	_, spreadFraction := math.Modf(float64(options.Position) * math.Phi)
	return &Poller{Subscriber: subscriber, dialTimeout: options.DialTimeout, spreadFraction: spreadFraction,
		pacer: pollpacer.New(now, options.DialTimeout, options.Position, options.Hold)}
}

// Call is one call to make.
type Call struct {
	Request
	Server  int   // 0 for the first server, 1 for the second
	Hold    int64 // how long the server may hold it, in nanoseconds, 0 where it is to answer at once
	Timeout int64 // after how long it is given up, in nanoseconds
	Dial    int64 // after how long a connection that has not come up is given up, in nanoseconds
}

// First is how long to wait before the first call, in nanoseconds.
func (p *Poller) First() int64 { return p.pacer.FirstDelay() }

// Server is the server that is called now: 0 for the first, 1 for the second.
func (p *Poller) Server(now int64) int { return p.selector.Selected(now) }

// Call is the call to make now.
func (p *Poller) Call(now int64) Call {
	call := Call{Request: p.Next(now), Server: p.selector.Selected(now), Dial: p.pacer.DialTimeout()}
	call.Hold, call.Timeout = p.pacer.NextPoll(now, !call.Request.Hold)
	return call
}

// TakeChanges is as that of Subscriber, and tells how long to wait before the next call.
func (p *Poller) TakeChanges(now int64, delta *Delta) (wait int64, err error) {
	if err := p.Subscriber.TakeChanges(now, delta); err != nil {
		return p.TakeError(now, err), err
	}
	p.recordAnswer(now, delta.Age)
	return 0, nil
}

// TakePiece is as that of Subscriber, and tells how long to wait before the next call.
func (p *Poller) TakePiece(now int64, piece *Piece) (wait int64, err error) {
	if err := p.Subscriber.TakePiece(now, piece); err != nil {
		return p.TakeError(now, err), err
	}
	p.recordAnswer(now, piece.Age)
	return 0, nil
}

// recordAnswer notes an answer of use. One of a relay that is cut off is of use, but the other relay may know more.
func (p *Poller) recordAnswer(now, age int64) {
	p.pacer.ResponseReceived(now)
	p.throttledInRow = 0
	if age >= p.options.UnconfirmedAfter {
		p.selector.ReportFailure(now)
	}
}

// TakeError takes what came in place of an answer, be it a server's error or one of the way to it, and tells how long
// to wait before the next call.
func (p *Poller) TakeError(now int64, err error) (wait int64) {
	var throttled *ThrottledError
	var compacted *CompactedError
	var refused *RefusedError
	switch {
	case errors.As(err, &compacted):
		p.Subscriber.TakeError(err)
		return 0 // a call for a piece is next, and that is paced
	case errors.As(err, &refused):
		p.pacer.ResponseReceived(now)
		return 0 // the next call is held
	case errors.As(err, &throttled):
		p.pacer.ResponseReceived(now)
		return throttled.RetryAfter + p.throttleSpread()
	}
	p.selector.ReportFailure(now)
	return p.pacer.RetryDelay(now, pollpacer.Failed)
}

// throttleSpread is a wait that is another for each subscriber and longer with each call that was throttled in a row.
func (p *Poller) throttleSpread() int64 {
	span := minThrottleSpread
	for range p.throttledInRow {
		span = min(2*span, maxThrottleSpread)
		if span == maxThrottleSpread {
			break
		}
	}
	p.throttledInRow++
	_, fraction := math.Modf(p.spreadFraction + float64(p.throttledInRow)*math.Phi)
	return int64(fraction * float64(span))
}
