// Package faultproxy is the lab's stand-in for the network: a loopback TCP forwarder for each pair of parties, with a
// port of its own, so that each pair can be cut, held, slowed or reset alone. What a link does at a time is decided by
// conditionOf, which does no I/O; Step applies it to the listener and to every connection.
package faultproxy

import "fmt"

// The kinds of faults.
const (
	Cut      = "cut"
	CutTo    = "cut_to"
	CutFrom  = "cut_from"
	Stall    = "stall"
	Slow     = "slow"
	Reset    = "reset"
	HalfOpen = "half_open"
)

// Kinds says what each kind does. Near is the side that dials, far the one that listens.
var Kinds = map[string]string{
	Cut: "nothing passes: open connections stay open and silent, new ones never come up; when it heals the open " +
		"ones are reset, as by a machine that is back",
	CutTo:    "bytes towards the far side are held until it heals, the other way they pass; new connections never come up",
	CutFrom:  "bytes from the far side are held until it heals, the other way they pass; new connections never come up",
	Stall:    "bytes and ends wait, both ways, and come when it is over; new connections come up and wait too",
	Slow:     "bytes and ends take Delay longer, each way",
	Reset:    "a connection is reset on both sides in the middle of its next message, in a direction that the seed draws",
	HalfOpen: "when one side ends, the other is never told; it is reset when this is over",
}

// Fault is one entry of a link's script: from From until Until (nanoseconds on the caller's clock; Until 0 is for
// good). Share is the share of connections that it hits, drawn by the seed for each; 0 for all.
type Fault struct {
	Kind        string
	From, Until int64
	Share       float64
	Delay       int64 // nanoseconds, for Slow
}

// FaultError is an entry that cannot work; Key is the one at fault.
type FaultError struct {
	Key string // kind, from, until, share or delay
	Why string
}

// Error says what happened.
func (e *FaultError) Error() string { return "link fault: " + e.Key + ": " + e.Why }

// Hint says what to do about it.
func (e *FaultError) Hint() string {
	return "correct " + e.Key + "; docs/lab.md lists the kinds of a link"
}

// Check refuses an entry that cannot work, with a *BadFault.
func (f Fault) Check() error {
	switch {
	case Kinds[f.Kind] == "":
		return &FaultError{"kind", fmt.Sprintf("%q is not one of a link's", f.Kind)}
	case f.From < 0:
		return &FaultError{"from", fmt.Sprintf("%v s", float64(f.From)/1e9)}
	case f.Until != 0 && f.Until <= f.From:
		return &FaultError{"until", fmt.Sprintf("%v s, from %v s", float64(f.Until)/1e9, float64(f.From)/1e9)}
	case f.Share < 0 || f.Share > 1:
		return &FaultError{"share", fmt.Sprintf("%v is not within 0 to 1", f.Share)}
	case (f.Kind == Slow) != (f.Delay > 0):
		return &FaultError{"delay", fmt.Sprintf("%v ms with %s", float64(f.Delay)/1e6, f.Kind)}
	}
	return nil
}

// Holds tells whether the fault holds at now.
func (f Fault) Holds(now int64) bool { return now >= f.From && (f.Until == 0 || now < f.Until) }

// condition is what a link does to one connection, or to new ones.
type condition struct {
	cut                      bool // both ways; its end resets
	pauseToFar, pauseFromFar bool // bytes wait
	delay                    int64
	reset, halfOpen          bool
	dropNew                  bool // new connections never come up
}

// conditionOf is what holds at now, where hit says which faults of the script hit.
func conditionOf(script []Fault, now int64, affected func(i int) bool) condition {
	var c condition
	for i, f := range script {
		if !f.Holds(now) || !affected(i) {
			continue
		}
		switch f.Kind {
		case Cut:
			c.cut = true
			c.pauseToFar = true
			c.pauseFromFar = true
			c.dropNew = true
		case CutTo:
			c.pauseToFar = true
			c.dropNew = true
		case CutFrom:
			c.pauseFromFar = true
			c.dropNew = true
		case Stall:
			c.pauseToFar = true
			c.pauseFromFar = true
		case Slow:
			c.delay += f.Delay
		case Reset:
			c.reset = true
		case HalfOpen:
			c.halfOpen = true
		}
	}
	return c
}
