package runner

import (
	"fmt"
	"io"
	"slices"
	"time"

	"ospreycroft/internal/lab/history"
)

// readyTarget is the time within which 90 % of the restarted processes must be ready.
const readyTarget = 10 * time.Second

// Restarts summarises how fast the restarted processes of a run, all but the first of each limiter, became ready. Times
// are nanoseconds from exec to the first +PONG, or -1 if too few processes became ready for the percentile.
type Restarts struct {
	Count         int // restarted processes, without those that ended before they were ready
	Ready         int // those that were ready before the end of the run
	ReadyInTime   int // those that were ready within readyTarget, 10 s
	P50, P90, Max int64
}

// RestartsOf computes the summary of a run's record. A process that was still not ready at the end of the run counts as
// slower than every other, so a run must last until its last process has had time to become ready.
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

// percentile returns the time within which the given percentage of all restarted processes was ready, or -1 if fewer
// became ready. times is sorted and holds only the processes that became ready.
func (r *Restarts) percentile(times []int64, percent int) int64 {
	need := (r.Count*percent + 99) / 100
	if need == 0 || need > len(times) {
		return -1
	}
	return times[need-1]
}

// MeetsTarget reports whether at least 90 % of the restarted processes were ready within readyTarget.
func (r *Restarts) MeetsTarget() bool { return 10*r.ReadyInTime >= 9*r.Count }

// Write writes the summary as a line of name=value pairs, or nothing if no process was restarted.
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
