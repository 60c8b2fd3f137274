// Package inquiry decides how often a limiter asks discovery, and for what. It does no I/O: the caller tells how each
// call ended and is told how long to wait before the next one, in nanoseconds.
//
// A call that is asked again at once is harmless in one limiter. In a fleet that starts together it keeps discovery
// overbooked for good: each call that is turned away comes again before the others have had their turn.
package inquiry

import "math"

// End is how a call to discovery ended.
type End uint8

const (
	Answered End = iota // with a list
	Turned              // turned away: discovery has too much to do
	Broke               // no answer, or one that cannot be read
)

const (
	brokeFirst  = 4  // after a failure it is asked again after this part of a dial time-out,
	brokeMost   = 4  // and after further ones later and later, up to so many dial time-outs;
	turnedFirst = 8  // after it turned a call away, after so many dial time-outs,
	turnedMost  = 32 // and up to so many
	holds       = 4  // where changes are pushed a watch waits for so many: one that is never answered hides all news,
	patience    = 2  // and is given up, as is any call, if no answer comes for so many more;
	queue       = 8  // where a call is work for discovery, which answers in turn, for so many more
	startShare  = 2  // there the first call comes within this part of the time in which each limiter must have asked once
)

// Pace is one limiter's way of asking. The zero value is not of use; see New.
type Pace struct {
	unit     int64   // a dial time-out
	every    int64   // the longest time between calls where they are work for discovery, 0 where changes are pushed
	place    float64 // this limiter's place among all, in [0, 1)
	failures int     // calls in a row without an answer
}

// New makes the pace of the limiter with this number among all. dialTimeout is in nanoseconds and above 0; every is the
// settings' longest time between calls where discovery tells only those that ask, and 0 where it tells all.
func New(dialTimeout int64, position int, every int64) *Pace {
	_, place := math.Modf(float64(position) * math.Phi)
	return &Pace{unit: dialTimeout, place: place, every: every}
}

// First is how long to wait before the first call. Limiters that start together would overbook a discovery that takes their
// calls in turn, and what it cannot answer in time is work in vain: by their places they come evenly. The list of the
// configuration holds until then.
func (p *Pace) First() int64 { return int64(p.place * float64(p.every/startShare)) }

// Wait is how long a watch waits for news, and how long after that a call that is still unanswered is given up. To give one
// up that stands in discovery's queue and ask again adds to the queue, so there it is held for long.
func (p *Pace) Wait() (hold, more int64) {
	if p.every > 0 {
		return p.every, queue * p.unit
	}
	return holds * p.unit, patience * p.unit
}

// Next takes the end of a call and tells how long to wait before the next one: nothing after an answer, else longer with
// each failure in a row. Limiters that failed together come again apart: the wait is between half and one and a
// half of its span, by the limiter's place, which steps on with each failure.
func (p *Pace) Next(end End) int64 {
	var first, most int64
	switch end {
	case Answered:
		p.failures = 0
		return 0
	case Turned:
		first, most = turnedFirst*p.unit, turnedMost*p.unit
	default:
		first, most = p.unit/brokeFirst, brokeMost*p.unit
	}
	span := first
	for range p.failures {
		if span = min(2*span, most); span == most {
			break
		}
	}
	p.failures++
	_, part := math.Modf(p.place + float64(p.failures)*math.Phi)
	return span/2 + int64(part*float64(span))
}
