package invariants

import (
	"cmp"
	"slices"

	"ospreycroft/internal/lab/history"
)

const (
	// lateLimit is how long after its deadline an answer counts as late; one that comes later counts as lost, in
	// nanoseconds.
	lateLimit = 500e6
	// crashDetectionDelay is how long after a crash the runner may have noticed it, in nanoseconds.
	crashDetectionDelay = 100e6
)

// Cause is what the records tell of why a request had no answer in time.
type Cause string

// The causes, in the order in which they are looked for.
const (
	LinkFault      Cause = "link"    // the link from the client to the limiter had a fault
	LimiterKilled  Cause = "killed"  // the limiter's process was killed or crashed while the request was out
	LimiterStopped Cause = "stopped" // SIGSTOP held the limiter's process while the request was out
	LimiterAlive   Cause = "alive"   // none of these: the limiter could have answered
)

// Unanswered counts the requests of one limiter that had no answer when their time was up, for one cause.
type Unanswered struct {
	Limiter int   `json:"limiter"`
	Cause   Cause `json:"cause"`
	Late    int   `json:"late"` // answered up to half a second after the deadline
	Lost    int   `json:"lost"` // answered later than that, or never
}

// timeliness is whether and how a request missed its time.
type timeliness uint8

const (
	inTime timeliness = iota // answered in time, given up by its client, or never taken
	late
	lost
)

// timelinessOf tells how a request missed its time.
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

// causeFinder finds out why requests had no answer in time.
type causeFinder struct {
	linkFaults          map[int][]history.LinkFault
	terminations, stops map[string][]downtime
	terms               Terms
}

func newCauseFinder(r *history.Run, t Terms) *causeFinder {
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

// terminations are the times in which each limiter had no process because it was killed or had crashed.
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

// causeOf is why a request that was late or lost had no answer in time. What befell its limiter after its time was up is no
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

// overlapsAny tells whether a time has an instant in common with one of others.
func (d downtime) overlapsAny(others []downtime) bool {
	return slices.ContainsFunc(others, func(o downtime) bool { return o.from <= d.until && o.until >= d.from })
}

// UnansweredOf counts the requests of a run that had no answer when their time was up, by limiter and cause.
func UnansweredOf(r *history.Run, t Terms) []Unanswered {
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
