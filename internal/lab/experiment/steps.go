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

// EntryError is an experiment that cannot be played; Key names what is at fault in it, as faults[2].target.
type EntryError struct{ Key, Why string }

// Error says what happened.
func (e *EntryError) Error() string { return e.Key + ": " + e.Why }

// Hint says what to do about it.
func (e *EntryError) Hint() string {
	return "correct " + e.Key + " in the experiment file; docs/lab.md tells its form"
}

// ProcessFaults are the kinds for limiters.
var ProcessFaults = map[string]string{
	"kill": "SIGKILL at from, started again at until",
	"stop": "SIGSTOP at from, SIGCONT at until",
	"hup":  "SIGHUP at from: the configuration is read again",
	"usr1": "SIGUSR1 at from: the trace is logged",
	"term": "SIGTERM at from, SIGKILL once the longest cut-off and 0.7 s have passed, started again at until",
}

// Step is a part of a process fault: what befalls these limiters at At and ends at Until (0 for never), nanoseconds.
type Step struct {
	At, Until int64
	Limiters  []int
}

// parseLimiters reads the numbers of limiters: "3", "0..9" (both ends included) or "*".
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
			return nil, &emulator.FaultError{Key: "target", Why: fmt.Sprintf("%q names no limiters of %d", text, count)}
		}
	}
	var out []int
	for n := first; n <= last; n++ {
		out = append(out, n)
	}
	return out, nil
}

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
		{"factor", f.Factor != 0, "limiters take none"},
		{"connections", f.Connections != 0, "only links take it"},
		{"every", f.Every < 0 || f.Every > 0 && f.Share == 0, "steps need a share, and a time that is not below 0"},
		{"delay", f.Delay < 0 || f.Delay > 0 && (f.Kind == "stop" || f.Until == 0), "nothing is started again"},
		{"old_list", f.OldList && (f.Kind == "stop" || f.Until == 0), "nothing is started again"},
	} {
		if k.bad {
			return &emulator.FaultError{Key: k.key, Why: k.why}
		}
	}
	return emulator.CheckFault(emulator.Fault{Kind: f.Kind, From: Nanos(f.From), Until: Nanos(f.Until), Share: f.Share},
		ProcessFaults)
}

// drawLimiters are the limiters of the i-th fault in the order in which the seed has them hit, Share of them a step.
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

// Steps are the steps of the i-th fault, which names limiters: one of all of them, of Share of them, or where Every
// is set as many of Share of them as let each have its turn.
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

// LongestCutOff is the longest time, in nanoseconds, for which a client of the load waits.
func (e *Experiment) LongestCutOff() int64 {
	longest := 0.0
	for _, t := range e.Load.Tracks {
		longest = max(longest, t.CutOff)
	}
	return Nanos(longest)
}
