package distribution

import (
	"errors"
	"math"

	"ospreycroft/internal/pollpacer"
)

// Hold times of calls for changes (long polls), in nanoseconds.
const (
	LimiterHold = 5 * second // calls of limiters to relays
	RelayHold   = 2 * second // calls of relays to the source
)

const (
	minThrottleSpread = second / 20 // range of the extra delay after a first ThrottledError;
	maxThrottleSpread = 2 * second  // it doubles with each consecutive one up to this
)

// PollerOptions configure a Poller.
type PollerOptions struct {
	DialTimeout int64 // timeout of connecting to a server, in nanoseconds, above 0
	Hold        int64 // how long a server may hold a call for changes, in nanoseconds, above 0
	Position    int   // index of this subscriber in the fleet; it spreads out the calls of those that start together
}

// Poller decides when a subscriber calls which of its two servers, and with which timeouts. Package pollpacer
// determines the delays between calls, so that subscribers that start or fail together do not overload their servers.
// It is not safe for concurrent use.
type Poller struct {
	*Subscriber
	selector       Selector
	pacer          *pollpacer.Pacer
	dialTimeout    int64
	spreadFraction float64 // in [0, 1); differs between positions, to spread out their calls
	throttledInRow int     // number of consecutive ThrottledErrors
}

// NewPoller returns the poller of a subscriber.
func NewPoller(now int64, subscriber *Subscriber, options PollerOptions) *Poller {
	_, spreadFraction := math.Modf(float64(options.Position) * math.Phi)
	return &Poller{Subscriber: subscriber, dialTimeout: options.DialTimeout, spreadFraction: spreadFraction,
		pacer: pollpacer.New(now, options.DialTimeout, options.Position, options.Hold)}
}

// Call is one call to make.
type Call struct {
	Request
	Server      int   // 0 for the first server, 1 for the second
	Hold        int64 // how long the server may hold the call, in nanoseconds; 0 to answer at once
	Timeout     int64 // timeout of the whole call, in nanoseconds
	DialTimeout int64 // timeout of connecting to the server, in nanoseconds
}

// FirstDelay returns the delay before the first call, in nanoseconds.
func (p *Poller) FirstDelay() int64 { return p.pacer.FirstDelay() }

// Server returns the server to call now: 0 for the first, 1 for the second.
func (p *Poller) Server(now int64) int { return p.selector.Selected(now) }

// Call returns the call to make now.
func (p *Poller) Call(now int64) Call {
	call := Call{Request: p.Next(now), Server: p.selector.Selected(now), DialTimeout: p.pacer.DialTimeout()}
	call.Hold, call.Timeout = p.pacer.NextPoll(now, !call.Request.Hold)
	return call
}

// HandleChanges calls Subscriber.HandleChanges, and returns the delay before the next call in nanoseconds.
func (p *Poller) HandleChanges(now int64, delta *Delta) (wait int64, err error) {
	if err := p.Subscriber.HandleChanges(now, delta); err != nil {
		return p.HandleError(now, err), err
	}
	p.recordAnswer(now, delta.Age)
	return 0, nil
}

// HandlePiece calls Subscriber.HandlePiece, and returns the delay before the next call in nanoseconds.
func (p *Poller) HandlePiece(now int64, piece *Piece) (wait int64, err error) {
	if err := p.Subscriber.HandlePiece(now, piece); err != nil {
		return p.HandleError(now, err), err
	}
	p.recordAnswer(now, piece.Age)
	return 0, nil
}

// recordAnswer records an answer that the subscriber accepted. If the relay has not heard from the source for
// UnconfirmedAfter, the other relay is called next, since it may have newer changes.
func (p *Poller) recordAnswer(now, age int64) {
	p.pacer.ResponseReceived(now)
	p.throttledInRow = 0
	if age >= p.options.UnconfirmedAfter {
		p.selector.ReportFailure(now)
	}
}

// HandleError handles a failed call: an error that the server returned, a failure to reach the server, or an answer
// that the subscriber did not accept. It returns the delay before the next call in nanoseconds.
func (p *Poller) HandleError(now int64, err error) (wait int64) {
	var throttled *ThrottledError
	var compacted *CompactedError
	var refused *RefusedError
	switch {
	case errors.As(err, &compacted):
		p.Subscriber.HandleError(err)
		return 0 // the next call requests a piece, which the server's byte budget paces
	case errors.As(err, &refused):
		p.pacer.ResponseReceived(now)
		return 0 // the server holds the next call
	case errors.As(err, &throttled):
		p.pacer.ResponseReceived(now)
		return throttled.RetryAfter + p.throttleSpread()
	}
	p.selector.ReportFailure(now)
	return p.pacer.RetryDelay(now, pollpacer.Failed)
}

// throttleSpread returns a delay in nanoseconds that differs between subscribers. Its range grows with the number of
// consecutive ThrottledErrors.
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
