package runner

import (
	"fmt"
	"io"
	"slices"
	"time"

	"ospreycroft/internal/lab/history"
)

// Fleet summarises what all limiters of a run, taken together, cost discovery and the servers, and how fast they
// started. Times are nanoseconds; -1 in Listed means that the share was not reached.
type Fleet struct {
	StartTook int64 // time from the start of the first limiter to that of the last, counting the first process of each
	ReadyMost int64 // longest time from the start of a process until it was ready
	NotReady  int   // processes that were still running at the end of the run and had never been ready

	// Calls counts the calls to discovery. Of these, TurnedAway were rejected with 503, Silent got no response because
	// discovery was down, and Left were abandoned by the limiter.
	Calls, TurnedAway, Silent, Left int
	CallsPeak                       int // most calls to discovery in one second
	// Listed is how long after the first start 50, 95 and 100 percent of the limiters had received an answer from
	// discovery.
	Listed [3]int64

	Handshakes, HandshakesPeak int // connections accepted by all servers: in total, and at most in one second
	HandshakesServer           int // most connections that one server accepted in one second
	Falls                      int // crashes of overloaded cold servers
}

// listedPercents are the percentages of limiters that Fleet.Listed reports.
var listedPercents = [3]int{50, 95, 100}

// FleetOf computes the summary of a run's record.
func FleetOf(r *history.Run) Fleet {
	f := Fleet{Calls: len(r.Calls), Falls: len(r.OverloadCrashes), Listed: [3]int64{-1, -1, -1}}
	first := f.addProcesses(r.Processes)
	f.addCalls(r, first)
	f.addHandshakes(r.Handshakes)
	return f
}

// addProcesses adds the process starts. It returns the time of the first start, or 0 for a run without processes.
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

// addCalls adds the calls to discovery and computes Listed relative to first, in nanoseconds.
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
			if at, ok := firstAnswer[c.Limiter]; !ok || c.EndedAt < at {
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

// addHandshakes adds the connections accepted by each server, given as counts per second of the run.
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

// formatSeconds formats nanoseconds as seconds, and a negative value as "never".
func formatSeconds(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return fmt.Sprintf("%.2fs", float64(ns)/1e9)
}

// Write writes the summary as lines of name=value pairs; length is the length of the run in nanoseconds.
func (f Fleet) Write(w io.Writer, length int64) {
	_, _ = fmt.Fprintf(w, "  fleet started_within=%s ready_within=%s not_ready=%d\n", formatSeconds(f.StartTook),
		formatSeconds(f.ReadyMost), f.NotReady)
	_, _ = fmt.Fprintf(w, "  discovery calls=%d a_second=%.1f peak=%d turned_away=%d silent=%d left=%d "+
		"listed50=%s listed95=%s listed100=%s\n", f.Calls, float64(f.Calls)/max(float64(length)/1e9, 1), f.CallsPeak,
		f.TurnedAway, f.Silent, f.Left, formatSeconds(f.Listed[0]), formatSeconds(f.Listed[1]), formatSeconds(f.Listed[2]))
	_, _ = fmt.Fprintf(w, "  servers handshakes=%d peak=%d peak_one_server=%d cold_falls=%d\n", f.Handshakes,
		f.HandshakesPeak, f.HandshakesServer, f.Falls)
}
