// Package emulator implements the systems that a limiter connects to, each on a loopback port and with its published
// protocol: RESP2 servers, the shared counter with its text lines, and discovery with its HTTP list. Each applies a
// script of timed faults and records what it received and did, so that the lab's rules are checked against the servers'
// records and not against what a limiter reports.
package emulator

import "fmt"

// Fault is one entry of a script: the emulator has the fault of kind Kind from From until Until.
type Fault struct {
	Kind   string
	From   int64   // nanoseconds on the run's clock
	Until  int64   // nanoseconds on the run's clock; 0 for the rest of the run
	Factor float64 // size of the fault, in the unit that its kind names
	Share  float64 // share of the commands affected; 0 means all
}

// ServerFaults are the fault kinds of a server, with a description of each.
var ServerFaults = map[string]string{
	"slow":   "requests take Factor times as long",
	"silent": "commands are read and never answered",
	"reset":  "the connection is reset after a command has been read",
	"spoil":  "answers are of a RESP2 type that the protocol does not allow there",
	"error":  "answers are -ERR failed, after the request has been executed",
	"cut":    "half of the answer is written, and then the connection is reset",
	"busy":   "answers are -BUSY, and no request is executed",
}

// CounterFaults are the fault kinds of the counter, with a description of each.
var CounterFaults = map[string]string{
	"down":  "connections are refused, and open ones are reset",
	"slow":  "each answer is delayed by Factor milliseconds",
	"busy":  "every call is rejected",
	"reset": "all totals are cleared at From, as when an empty store replaces the old one",
	"split": "limiters use Factor copies of the totals that change independently; part 0 is kept at the end",
}

// DiscoveryFaults are the fault kinds of discovery, with a description of each.
var DiscoveryFaults = map[string]string{
	"down":    "calls stay open without a response",
	"slow":    "each answer is delayed by Factor milliseconds",
	"chunked": "answers are sent in chunks of 64 bytes, without a Content-Length",
	"busy":    "calls beyond Factor per second are rejected with status 503",
}

// FaultError reports an invalid entry of a fault script.
type FaultError struct {
	Key string // the invalid key: kind, from, until, share or factor, or another key of an experiment's fault
	Why string
}

// Error returns the key and the reason.
func (e *FaultError) Error() string { return e.Key + ": " + e.Why }

// Hint says how to correct the error.
func (e *FaultError) Hint() string {
	return "correct " + e.Key + " of this entry; docs/lab.md lists the keys of each kind"
}

// CheckFault returns a *FaultError if the kind of f is not in kinds or another value of f is invalid.
func CheckFault(f Fault, kinds map[string]string) error {
	if _, known := kinds[f.Kind]; !known {
		return &FaultError{"kind", fmt.Sprintf("%q is not a fault kind of this target", f.Kind)}
	}
	if f.From < 0 {
		return &FaultError{"from", fmt.Sprintf("%v s is below 0", float64(f.From)/1e9)}
	}
	if f.Until != 0 && f.Until <= f.From {
		return &FaultError{"until", fmt.Sprintf("%v s is not after %v s", float64(f.Until)/1e9, float64(f.From)/1e9)}
	}
	if f.Share < 0 || f.Share > 1 {
		return &FaultError{"share", fmt.Sprintf("%v is not within 0 to 1", f.Share)}
	}
	if _, ok := kinds["chunked"]; ok && f.Kind == "busy" && f.Factor <= 0 {
		return &FaultError{"factor", fmt.Sprintf("%v calls per second is not above 0", f.Factor)}
	}
	if f.Kind == "slow" && f.Factor <= 0 {
		return &FaultError{"factor", fmt.Sprintf("%v is not above 0", f.Factor)}
	}
	return nil
}

// activeFault returns the first fault of script in effect at now, and whether there is one. draw, in [0,1), is the
// random number of a command: a fault with a Share applies only if draw is below it.
func activeFault(script []Fault, now int64, draw float64) (Fault, bool) {
	for _, f := range script {
		if now >= f.From && (f.Until == 0 || now < f.Until) {
			share := f.Share
			if share == 0 {
				share = 1
			}
			if draw < share {
				return f, true
			}
		}
	}
	return Fault{}, false
}
