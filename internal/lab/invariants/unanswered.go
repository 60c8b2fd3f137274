package invariants

import (
	"cmp"
	"slices"

	"ospreycroft/internal/lab/history"
)

const (
	// lateWithin is how long after its deadline an answer counts as late; one that comes later counts as lost, in
	// nanoseconds.
	lateWithin = 500e6
	// crashSeenWithin is how long after a crash the runner may have noticed it, in nanoseconds.
	crashSeenWithin = 100e6
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

// delay is whether and how a request missed its time.
type delay uint8

const (
	inTime delay = iota // answered in time, given up by its client, or never taken
	late
	lost
)

// delayOf tells how a request missed its time.
func delayOf(j *history.Request) delay {
	switch j.Outcome {
	case history.NotAccepted, history.GaveUp:
		return inTime
	case history.Unanswered, history.ConnectionBroken:
		return lost
	}
	switch over := j.Answered - j.Deadline; {
	case over <= 0:
		return inTime
	case over <= lateWithin:
		return late
	}
	return lost
}

// causes finds out why requests had no answer in time.
type causes struct {
	cuts          map[int][]history.LinkFault
	deaths, stops map[string][]down
	terms         Terms
}

func newCauses(r *history.Run, t Terms) *causes {
	c := &causes{
		cuts:   map[int][]history.LinkFault{},
		deaths: deaths(r.Events),
		stops:  downs(r.Events, "stop", "continue"),
		terms:  t,
	}
	for _, cut := range r.LinkFaults {
		c.cuts[cut.Limiter] = append(c.cuts[cut.Limiter], cut)
	}
	return c
}

// deaths are the times in which each limiter had no process because it was killed or had crashed.
func deaths(events []history.Event) map[string][]down {
	out := map[string][]down{}
	for _, kind := range []string{"kill", "term-kill", "crash"} {
		for target, times := range downs(events, kind, "restart") {
			for _, d := range times {
				if kind == "crash" {
					d.from -= crashSeenWithin
				}
				out[target] = append(out[target], d)
			}
		}
	}
	return out
}

// of is why a request that was late or lost had no answer in time. What befell its limiter after its time was up is no
// cause.
func (c *causes) of(j *history.Request) Cause {
	if cutOff(*j, c.cuts[j.Limiter], c.terms) {
		return LinkFault
	}
	out := down{from: j.Sent, until: min(j.Answered, j.Deadline)}
	target := limiterTarget(j.Limiter)
	switch {
	case out.overlapsAny(c.deaths[target]):
		return LimiterKilled
	case out.overlapsAny(c.stops[target]):
		return LimiterStopped
	}
	return LimiterAlive
}

// overlapsAny tells whether a time has an instant in common with one of others.
func (d down) overlapsAny(others []down) bool {
	return slices.ContainsFunc(others, func(o down) bool { return o.from <= d.until && o.until >= d.from })
}

// UnansweredOf counts the requests of a run that had no answer when their time was up, by limiter and cause.
func UnansweredOf(r *history.Run, t Terms) []Unanswered {
	type key struct {
		limiter int
		cause   Cause
	}
	why := newCauses(r, t)
	counts := map[key]*Unanswered{}
	for i := range r.Requests {
		j := &r.Requests[i]
		missed := delayOf(j)
		if missed == inTime {
			continue
		}
		k := key{j.Limiter, why.of(j)}
		if counts[k] == nil {
			counts[k] = &Unanswered{Limiter: k.limiter, Cause: k.cause}
		}
		if missed == late {
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
