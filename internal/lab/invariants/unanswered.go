package invariants

import (
	"cmp"
	"slices"

	"ospreycroft/internal/lab/history"
)

const (
	// lateLimit is how long after the deadline an answer counts as late, in nanoseconds. A later one counts as lost.
	lateLimit = 500e6
	// crashDetectionDelay is the longest time between a crash and the runner's event for it, in nanoseconds.
	crashDetectionDelay = 100e6
)

// Cause is why a request had no answer in time, according to the records.
type Cause string

// The causes, in the order in which they are checked.
const (
	LinkFault      Cause = "link"    // the link from the client to the limiter had a fault
	LimiterKilled  Cause = "killed"  // the limiter's process was killed or crashed while the request was in flight
	LimiterStopped Cause = "stopped" // the limiter's process was stopped by SIGSTOP while the request was in flight
	LimiterAlive   Cause = "alive"   // none of these: the limiter could have answered
)

// Unanswered counts the requests to one limiter that had no answer by their deadline, for one cause.
type Unanswered struct {
	Limiter int   `json:"limiter"`
	Cause   Cause `json:"cause"`
	Late    int   `json:"late"` // answered up to half a second after the deadline
	Lost    int   `json:"lost"` // answered later than that, or never
}

// timeliness tells whether a request was answered in time.
type timeliness uint8

const (
	inTime timeliness = iota // answered in time, given up by its client, or never read by a limiter
	late                     // answered at most lateLimit after the deadline
	lost                     // answered later than that, or never
)

// timelinessOf returns the timeliness of a request.
func timelinessOf(request *history.Request) timeliness {
	switch request.Outcome {
	case history.NotAccepted, history.GaveUp:
		return inTime
	case history.Unanswered, history.ConnectionBroken:
		return lost
	}
	switch lateBy := request.Answered - request.Deadline; {
	case lateBy <= 0:
		return inTime
	case lateBy <= lateLimit:
		return late
	}
	return lost
}

// causeFinder determines why requests had no answer in time.
type causeFinder struct {
	linkFaults          map[int][]history.LinkFault
	terminations, stops map[string][]downtime
	terms               Tolerances
}

func newCauseFinder(r *history.Run, t Tolerances) *causeFinder {
	c := &causeFinder{
		linkFaults:   map[int][]history.LinkFault{},
		terminations: terminations(r.Events),
		stops:        downtimes(r.Events, "stop", "continue"),
		terms:        t,
	}
	for _, fault := range r.LinkFaults {
		c.linkFaults[fault.Limiter] = append(c.linkFaults[fault.Limiter], fault)
	}
	return c
}

// terminations returns the periods in which each limiter had no process because it was killed or had crashed, by the
// limiter's name in events.
func terminations(events []history.Event) map[string][]downtime {
	out := map[string][]downtime{}
	for _, kind := range []string{"kill", "term-kill", "crash"} {
		for target, times := range downtimes(events, kind, "restart") {
			for _, d := range times {
				if kind == "crash" {
					d.from -= crashDetectionDelay
				}
				out[target] = append(out[target], d)
			}
		}
	}
	return out
}

// causeOf returns why a late or lost request had no answer in time. A fault of its limiter after its deadline is not a
// cause.
func (c *causeFinder) causeOf(request *history.Request) Cause {
	if affectedByLinkFault(*request, c.linkFaults[request.Limiter], c.terms) {
		return LinkFault
	}
	outstanding := downtime{from: request.Sent, until: min(request.Answered, request.Deadline)}
	target := limiterTarget(request.Limiter)
	switch {
	case outstanding.overlapsAny(c.terminations[target]):
		return LimiterKilled
	case outstanding.overlapsAny(c.stops[target]):
		return LimiterStopped
	}
	return LimiterAlive
}

// overlapsAny tells whether d has an instant in common with one of others.
func (d downtime) overlapsAny(others []downtime) bool {
	return slices.ContainsFunc(others, func(o downtime) bool { return o.from <= d.until && o.until >= d.from })
}

// UnansweredOf counts the requests of a run that had no answer by their deadline, ordered by limiter and cause.
func UnansweredOf(r *history.Run, t Tolerances) []Unanswered {
	type key struct {
		limiter int
		cause   Cause
	}
	finder := newCauseFinder(r, t)
	counts := map[key]*Unanswered{}
	for i := range r.Requests {
		request := &r.Requests[i]
		result := timelinessOf(request)
		if result == inTime {
			continue
		}
		k := key{request.Limiter, finder.causeOf(request)}
		if counts[k] == nil {
			counts[k] = &Unanswered{Limiter: k.limiter, Cause: k.cause}
		}
		if result == late {
			counts[k].Late++
		} else {
			counts[k].Lost++
		}
	}
	out := []Unanswered{}
	for _, u := range counts {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b Unanswered) int {
		return cmp.Or(cmp.Compare(a.Limiter, b.Limiter), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}
