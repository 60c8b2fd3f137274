package runner

import (
	"fmt"
	"io"
	"slices"
	"time"

	"ospreycroft/internal/lab/history"
)

// Fleet is what a run's limiters did together to each other's services: times are nanoseconds, -1 for never.
type Fleet struct {
	StartTook int64 // from the first process's start to the last one's, of the first start of each
	ReadyMost int64 // the longest time that a process took to be ready
	NotReady  int   // processes that never were ready, though they were not ended before

	Calls, TurnedAway, Silent, Left int
	CallsPeak                       int // calls to discovery in the worst second
	// Listed is when, after the first start, half, 95 in 100 and all limiters had had an answer of discovery.
	Listed [3]int64

	Handshakes, HandshakesPeak int // connections that servers accepted: all, and in the worst second
	HandshakesServer           int // the most that one server accepted in a second
	Falls                      int // cold servers pushed over
}

// listedPercents are the listedPercents of limiters of Fleet.Listed, in hundredths.
var listedPercents = [3]int{50, 95, 100}

// FleetOf adds up a run's record.
func FleetOf(r *history.Run) Fleet {
	f := Fleet{Calls: len(r.Calls), Falls: len(r.OverloadCrashes), Listed: [3]int64{-1, -1, -1}}
	first := f.addProcesses(r.Processes)
	f.addCalls(r, first)
	f.addHandshakes(r.Handshakes)
	return f
}

// addProcesses adds up the starts and returns when the first process started, 0 for a run without any.
func (f *Fleet) addProcesses(processes []history.Process) (first int64) {
	last := int64(0)
	seen := map[int]bool{}
	for _, p := range processes {
		if !seen[p.Limiter] {
			if len(seen) == 0 || p.Started < first {
				first = p.Started
			}
			seen[p.Limiter] = true
			last = max(last, p.Started)
		}
		if p.Ready > 0 {
			f.ReadyMost = max(f.ReadyMost, p.Ready-p.Started)
		} else if p.Ended == 0 {
			f.NotReady++
		}
	}
	f.StartTook = last - max(first, 0)
	return max(first, 0)
}

// addCalls adds up the calls to discovery and finds when the shares of limiters had had an answer, counted from first.
func (f *Fleet) addCalls(r *history.Run, first int64) {
	callsPerSecond := map[int64]int{}
	firstAnswer := map[int]int64{}
	for _, c := range r.Calls {
		callsPerSecond[c.At/int64(time.Second)]++
		f.CallsPeak = max(f.CallsPeak, callsPerSecond[c.At/int64(time.Second)])
		switch c.End {
		case history.Throttled:
			f.TurnedAway++
		case history.NoResponse:
			f.Silent++
		case history.CallerGone:
			f.Left++
		case history.Answered:
			if at, had := firstAnswer[c.Limiter]; !had || c.EndedAt < at {
				firstAnswer[c.Limiter] = c.EndedAt
			}
		}
	}
	var times []int64
	for _, at := range firstAnswer {
		times = append(times, at-first)
	}
	slices.Sort(times)
	for i, percent := range listedPercents {
		if need := (r.Limiters*percent + 99) / 100; need > 0 && len(times) >= need {
			f.Listed[i] = times[need-1]
		}
	}
}

// addHandshakes adds up the connections that servers accepted, for each server by the second.
func (f *Fleet) addHandshakes(servers map[string][]int) {
	var all []int
	for _, perSecond := range servers {
		for second, n := range perSecond {
			for len(all) <= second {
				all = append(all, 0)
			}
			all[second] += n
			f.Handshakes += n
			f.HandshakesServer = max(f.HandshakesServer, n)
		}
	}
	for _, n := range all {
		f.HandshakesPeak = max(f.HandshakesPeak, n)
	}
}

func formatSeconds(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return fmt.Sprintf("%.2fs", float64(ns)/1e9)
}

// Write writes it as lines of names and values.
func (f Fleet) Write(w io.Writer, length int64) {
	_, _ = fmt.Fprintf(w, "  fleet started_within=%s ready_within=%s not_ready=%d\n", formatSeconds(f.StartTook),
		formatSeconds(f.ReadyMost), f.NotReady)
	_, _ = fmt.Fprintf(w, "  discovery calls=%d a_second=%.1f peak=%d turned_away=%d silent=%d left=%d "+
		"listed50=%s listed95=%s listed100=%s\n", f.Calls, float64(f.Calls)/max(float64(length)/1e9, 1), f.CallsPeak,
		f.TurnedAway, f.Silent, f.Left, formatSeconds(f.Listed[0]), formatSeconds(f.Listed[1]), formatSeconds(f.Listed[2]))
	_, _ = fmt.Fprintf(w, "  servers handshakes=%d peak=%d peak_one_server=%d cold_falls=%d\n", f.Handshakes,
		f.HandshakesPeak, f.HandshakesServer, f.Falls)
}
