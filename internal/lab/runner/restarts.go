package runner

import (
	"fmt"
	"io"
	"slices"
	"time"

	"ospreycroft/internal/lab/history"
)

// readyTarget is the time within which nine in ten restarted processes have to be ready.
const readyTarget = 10 * time.Second

// Restarts is how soon the restarted processes of a run were ready, which is each but a limiter's first. Times are
// nanoseconds from a process's exec until it first answered PING with +PONG, -1 where too few processes were ready.
type Restarts struct {
	Count         int // restarted processes, but for those that were ended before they were ready
	Ready         int // those that were ready before the run's end
	ReadyInTime   int // and those of them that were ready within 10 s
	P50, P90, Max int64
}

// RestartsOf measures the restarts of a run's record. A process that was not ready at the run's end counts as one that
// takes longer than any other, so a run has to go on until its last process can have been ready.
func RestartsOf(r *history.Run) Restarts {
	var out Restarts
	var times []int64
	seen := map[int]bool{}
	for _, p := range r.Processes {
		first := !seen[p.Limiter]
		seen[p.Limiter] = true
		if first || p.Started == 0 || p.Ready == 0 && p.Ended > 0 {
			continue
		}
		out.Count++
		if p.Ready == 0 {
			continue
		}
		took := p.Ready - p.Started
		times = append(times, took)
		if took <= int64(readyTarget) {
			out.ReadyInTime++
		}
	}
	slices.Sort(times)
	out.Ready = len(times)
	out.P50, out.P90, out.Max = out.percentile(times, 50), out.percentile(times, 90), out.percentile(times, 100)
	return out
}

// percentile is the time within which so many in a hundred of all restarted processes were ready, -1 where they were not.
func (r *Restarts) percentile(times []int64, percent int) int64 {
	need := (r.Count*percent + 99) / 100
	if need == 0 || need > len(times) {
		return -1
	}
	return times[need-1]
}

// MeetsTarget tells whether nine in ten restarted processes were ready within 10 s.
func (r *Restarts) MeetsTarget() bool { return 10*r.ReadyInTime >= 9*r.Count }

// Write writes it as a line of names and values, nothing where no process was restarted.
func (r *Restarts) Write(w io.Writer) {
	if r.Count == 0 {
		return
	}
	_, _ = fmt.Fprintf(
		w,
		"  restarts count=%d ready=%d within_10s=%d ready50=%s ready90=%s ready100=%s\n",
		r.Count,
		r.Ready,
		r.ReadyInTime,
		formatSeconds(r.P50),
		formatSeconds(r.P90),
		formatSeconds(r.Max),
	)
}
