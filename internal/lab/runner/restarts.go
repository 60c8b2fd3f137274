package runner

import (
	"fmt"
	"io"
	"slices"
	"time"

	"ospreycroft/internal/lab/history"
)

// readySoon is the time within which nine in ten restarted processes have to be ready.
const readySoon = 10 * time.Second

// Restarts is how soon the restarted processes of a run were ready, which is each but a limiter's first. Times are
// nanoseconds from a process's exec until it first answered PING with +PONG, -1 where too few processes were ready.
type Restarts struct {
	Count         int // restarted processes, but for those that were ended before they were ready
	Ready         int // those that were ready before the run's end
	Soon          int // and those of them that were ready within 10 s
	P50, P90, Max int64
}

// RestartsOf measures the restarts of a run's record. A process that was not ready at the run's end counts as one that
// takes longer than any other, so a run has to go on until its last process can have been ready.
func RestartsOf(r *history.Run) Restarts {
	var out Restarts
	var times []int64
	began := map[int]bool{}
	for _, l := range r.Processes {
		first := !began[l.Limiter]
		began[l.Limiter] = true
		if first || l.Started == 0 || l.Ready == 0 && l.Ended > 0 {
			continue
		}
		out.Count++
		if l.Ready == 0 {
			continue
		}
		took := l.Ready - l.Started
		times = append(times, took)
		if took <= int64(readySoon) {
			out.Soon++
		}
	}
	slices.Sort(times)
	out.Ready = len(times)
	out.P50, out.P90, out.Max = out.rank(times, 50), out.rank(times, 90), out.rank(times, 100)
	return out
}

// rank is the time within which so many in a hundred of all restarted processes were ready, -1 where they were not.
func (r *Restarts) rank(times []int64, hundredths int) int64 {
	need := (r.Count*hundredths + 99) / 100
	if need == 0 || need > len(times) {
		return -1
	}
	return times[need-1]
}

// NineInTen tells whether nine in ten restarted processes were ready within 10 s.
func (r *Restarts) NineInTen() bool { return 10*r.Soon >= 9*r.Count }

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
		r.Soon,
		seconds(r.P50),
		seconds(r.P90),
		seconds(r.Max),
	)
}
