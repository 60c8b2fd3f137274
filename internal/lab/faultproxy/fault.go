// Package faultproxy emulates network faults for the lab. Each pair of parties is connected by a loopback TCP proxy (a
// link) with a port of its own, so that each pair can be cut, stalled, slowed or reset separately. conditionOf decides
// what a link does at a given time and does no I/O; Step applies it to the listener and to every connection.
package faultproxy

import "fmt"

// The kinds of faults; Kinds describes them.
const (
	Cut      = "cut"
	CutTo    = "cut_to"
	CutFrom  = "cut_from"
	Stall    = "stall"
	Slow     = "slow"
	Reset    = "reset"
	HalfOpen = "half_open"
)

// Kinds describes the effect of each kind. The near side is the one that dials, the far side the one that listens; the
// end is that of the fault.
var Kinds = map[string]string{
	Cut: "no data passes: open connections stay open and silent, new ones are never established; at the end, the open " +
		"ones are reset, as by a machine that has restarted",
	CutTo:    "data to the far side is held back until the end, data from it passes; no new connection is established",
	CutFrom:  "data from the far side is held back until the end, data to it passes; no new connection is established",
	Stall:    "data and closes are held back in both directions until the end; new connections open and stall too",
	Slow:     "data and closes are delayed by Delay in each direction",
	Reset:    "a connection is reset on both sides in the middle of its next message, in a direction chosen by the seed",
	HalfOpen: "when one side closes, the other is not notified; it is reset at the end",
}

// Fault is one entry of a link's script. It is active from From until Until, in nanoseconds on the caller's clock; an
// Until of 0 means that it never ends. Share is the fraction of connections that it affects, chosen by the seed; 0
// means all connections.
type Fault struct {
	Kind        string
	From, Until int64
	Share       float64
	Delay       int64 // nanoseconds; set for Slow alone
}

// FaultError reports an invalid entry. Key is the invalid field.
type FaultError struct {
	Key string // kind, from, until, share or delay
	Why string
}

// Error implements the error interface.
func (e *FaultError) Error() string { return "link fault: " + e.Key + ": " + e.Why }

// Hint tells the operator how to resolve the error.
func (e *FaultError) Hint() string {
	return "correct " + e.Key + "; docs/lab.md lists the kinds of link faults"
}

// Check returns a *FaultError if the entry is invalid.
func (f Fault) Check() error {
	switch {
	case Kinds[f.Kind] == "":
		return &FaultError{"kind", fmt.Sprintf("%q is not a kind of link fault", f.Kind)}
	case f.From < 0:
		return &FaultError{"from", fmt.Sprintf("%v s", float64(f.From)/1e9)}
	case f.Until != 0 && f.Until <= f.From:
		return &FaultError{"until", fmt.Sprintf("%v s, from %v s", float64(f.Until)/1e9, float64(f.From)/1e9)}
	case f.Share < 0 || f.Share > 1:
		return &FaultError{"share", fmt.Sprintf("%v is not between 0 and 1", f.Share)}
	case (f.Kind == Slow) != (f.Delay > 0):
		return &FaultError{"delay", fmt.Sprintf("%v ms with %s", float64(f.Delay)/1e6, f.Kind)}
	}
	return nil
}

// ActiveAt reports whether the fault is active at now.
func (f Fault) ActiveAt(now int64) bool { return now >= f.From && (f.Until == 0 || now < f.Until) }

// condition is the combined effect of the active faults on one connection, or on new ones.
type condition struct {
	cut                      bool  // both directions; its end resets the connection
	pauseToFar, pauseFromFar bool  // data in that direction is held back
	delay                    int64 // nanoseconds
	reset, halfOpen          bool
	dropNew                  bool // packets to the listener are dropped, so that new connections are never established
}

// conditionOf combines the faults of a script that are active at now and for which affected returns true.
func conditionOf(script []Fault, now int64, affected func(i int) bool) condition {
	var c condition
	for i, f := range script {
		if !f.ActiveAt(now) || !affected(i) {
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
