package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"ospreycroft/internal/lab/emulator"
)

// EntryError reports an invalid value in an experiment file. Key names it, as in faults[2].target.
type EntryError struct{ Key, Why string }

// Error returns the key and the reason.
func (e *EntryError) Error() string { return e.Key + ": " + e.Why }

// Hint says how to correct the error.
func (e *EntryError) Hint() string {
	return "correct " + e.Key + " in the experiment file; docs/lab.md describes the file"
}

// ProcessFaults are the fault kinds of limiter processes, with a description of each.
var ProcessFaults = map[string]string{
	"kill": "SIGKILL at from, and a restart at until",
	"stop": "SIGSTOP at from, SIGCONT at until",
	"hup":  "SIGHUP at from, which reloads the configuration",
	"usr1": "SIGUSR1 at from, which logs the trace",
	"term": "SIGTERM at from, SIGKILL after the longest cut-off and another 0.7 s, and a restart at until",
}

// Step is a part of a process fault: it affects Limiters from At until Until.
type Step struct {
	At, Until int64 // nanoseconds on the run's clock; Until is 0 if the fault does not end
	Limiters  []int
}

// parseLimiters returns the limiter numbers that text names among count limiters: "3", "0..9" (inclusive) or "*".
func parseLimiters(text string, count int) ([]int, error) {
	first := 0
	last := count - 1
	if text != "*" {
		a, b, isRange := strings.Cut(text, "..")
		var err, lastErr error
		first, err = strconv.Atoi(a)
		last = first
		if isRange {
			last, lastErr = strconv.Atoi(b)
		}
		if err != nil || lastErr != nil || first < 0 || last < first || last >= count {
			return nil, &emulator.FaultError{Key: "target",
				Why: fmt.Sprintf("%q does not name limiters out of %d", text, count)}
		}
	}
	var out []int
	for n := first; n <= last; n++ {
		out = append(out, n)
	}
	return out, nil
}

// checkProcessFault checks a fault of the limiters that name lists.
func (e *Experiment) checkProcessFault(f *Fault, name string) (err error) {
	f.Limiters, err = parseLimiters(name, e.Limiters.Count)
	if err != nil {
		return err
	}
	for _, k := range []struct {
		key string
		bad bool
		why string
	}{
		{"factor", f.Factor != 0, "limiters do not have this key"},
		{"connections", f.Connections != 0, "only links have this key"},
		{"every", f.Every < 0 || f.Every > 0 && f.Share == 0, "steps need a share and a time of at least 0"},
		{"delay", f.Delay < 0 || f.Delay > 0 && (f.Kind == "stop" || f.Until == 0), "the fault has no restart"},
		{"old_list", f.OldList && (f.Kind == "stop" || f.Until == 0), "the fault has no restart"},
	} {
		if k.bad {
			return &emulator.FaultError{Key: k.key, Why: k.why}
		}
	}
	return emulator.CheckFault(emulator.Fault{Kind: f.Kind, From: Nanos(f.From), Until: Nanos(f.Until), Share: f.Share},
		ProcessFaults)
}

// drawLimiters returns the limiters of the i-th fault in the order in which its steps affect them, and the number of
// limiters per step. With a Share the seed determines the order.
func (e *Experiment) drawLimiters(i int) (order []int, size int) {
	f := e.Faults[i]
	order = slices.Clone(f.Limiters)
	size = len(order)
	if f.Share > 0 {
		rng := rand.New(rand.NewPCG(e.Seed, 0xfa00+uint64(i)))
		rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
		size = max(1, int(math.Round(f.Share*float64(len(order)))))
	}
	return order, size
}

// Steps returns the steps of the i-th fault, whose target is limiters: one step of all of them or of Share of them or,
// with Every, as many steps of Share of them as it takes to affect each once.
func (e *Experiment) Steps(i int) []Step {
	f := e.Faults[i]
	order, size := e.drawLimiters(i)
	var out []Step
	for k := 0; k == 0 || f.Every > 0 && k*size < len(order); k++ {
		offset := int64(k) * Nanos(f.Every)
		s := Step{At: Nanos(f.From) + offset, Limiters: slices.Clone(order[k*size : min((k+1)*size, len(order))])}
		if f.Until > 0 {
			s.Until = Nanos(f.Until) + offset
		}
		slices.Sort(s.Limiters)
		out = append(out, s)
	}
	return out
}

// LongestTimeout returns the longest client deadline of the load's classes, in nanoseconds after a request is sent.
func (e *Experiment) LongestTimeout() int64 {
	longest := 0.0
	for _, t := range e.Load.Classes {
		longest = max(longest, t.Timeout)
	}
	return Nanos(longest)
}
