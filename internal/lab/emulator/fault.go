// Package emulator holds the lab's stand-ins for the systems a limiter serves, each on a loopback port and each
// speaking its published protocol: RESP2 servers, the shared counter's text lines and discovery's HTTP list.
// Each follows a script of faults in time and writes down what it did, so that the rules are judged from the
// servers' side and not from the limiter's word.
package emulator

import "fmt"

// Fault is one entry of a script: from From to Until (nanoseconds on the run's clock; Until 0 is for good) the
// stand-in behaves as Kind says. Factor is the slow-down for "slow"; Share the share of commands hit, 1 where 0.
type Fault struct {
	Kind   string
	From   int64
	Until  int64
	Factor float64
	Share  float64
}

// ServerFaults are the kinds a server's script may hold.
var ServerFaults = map[string]string{
	"slow":   "answers take Factor times as long",
	"silent": "commands are read and never answered",
	"reset":  "the connection is reset once a command has been read",
	"spoil":  "answers are of a kind the protocol does not give",
	"error":  "answers are -ERR failed, after the work is done",
	"cut":    "half of the answer is written, then the connection is reset",
	"busy":   "answers are -BUSY, nothing runs",
}

// CounterFaults are the kinds the counter's script may hold.
var CounterFaults = map[string]string{
	"down":  "the port refuses and open connections are reset",
	"slow":  "each answer waits Factor milliseconds",
	"busy":  "every call is turned away",
	"reset": "all totals are forgotten at From, as by a new empty store",
	"split": "limiters see Factor stores that begin alike and then differ; part 0 stands when it heals",
}

// DiscoveryFaults are the kinds discovery's script may hold.
var DiscoveryFaults = map[string]string{
	"down":    "nothing is said while it lasts",
	"slow":    "each answer waits Factor milliseconds",
	"chunked": "answers come in chunks of 64 bytes, without a length",
	"busy":    "more than Factor calls a second are turned away with a 503",
}

// FaultError is an entry of a script that cannot work; Key is the one at fault.
type FaultError struct {
	Key string // kind, from, until, share or factor
	Why string
}

// Error says what happened.
func (e *FaultError) Error() string { return e.Key + ": " + e.Why }

// Hint says what to do about it.
func (e *FaultError) Hint() string {
	return "correct " + e.Key + " of this entry; docs/lab.md lists what each kind takes"
}

// CheckFault refuses, with a *BadFault, an entry whose kind is not in kinds or whose times or figures cannot work.
func CheckFault(f Fault, kinds map[string]string) error {
	if _, known := kinds[f.Kind]; !known {
		return &FaultError{"kind", fmt.Sprintf("%q is not known here", f.Kind)}
	}
	if f.From < 0 {
		return &FaultError{"from", fmt.Sprintf("%v s", float64(f.From)/1e9)}
	}
	if f.Until != 0 && f.Until <= f.From {
		return &FaultError{"until", fmt.Sprintf("%v s, from %v s", float64(f.Until)/1e9, float64(f.From)/1e9)}
	}
	if f.Share < 0 || f.Share > 1 {
		return &FaultError{"share", fmt.Sprintf("%v is not within 0 to 1", f.Share)}
	}
	if _, ok := kinds["chunked"]; ok && f.Kind == "busy" && f.Factor <= 0 {
		return &FaultError{"factor", fmt.Sprintf("%v calls a second", f.Factor)}
	}
	if f.Kind == "slow" && f.Factor <= 0 {
		return &FaultError{"factor", fmt.Sprintf("%v", f.Factor)}
	}
	return nil
}

// activeFault reports which fault of a script holds at now for a command drawn with u in [0,1); "" where none does.
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
