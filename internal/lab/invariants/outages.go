package invariants

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"

	"ospreycroft/internal/lab/history"
)

const (
	outageLength   = 4e9 // a process that serves nobody for so long, in nanoseconds,
	outageRequests = 15  // and is sent so many requests in that time, has an outage
	// OutageGate is the largest share of limiters that may have an outage on calm days and in rolling restarts.
	OutageGate = 0.1
)

// OutageKind is how a process serves nobody.
type OutageKind string

// The kinds of outages.
const (
	Rejecting OutageKind = "rejecting" // each request is answered without an attempt
	Silent    OutageKind = "silent"    // no request is answered though the process lives
)

// Outage is a time in which one process of a limiter served nobody; times are nanoseconds on the run's clock.
type Outage struct {
	Limiter  int        `json:"limiter"`
	Life     int        `json:"life"` // 1 for the limiter's first process
	Kind     OutageKind `json:"kind"`
	From     int64      `json:"from"`
	Until    int64      `json:"until"`
	Requests int        `json:"requests"` // turned away, or left without an answer
}

// Service is what clients got of the limiters beside the rules. It breaks no rule by itself.
type Service struct {
	Limiters   int          `json:"limiters"`
	Unanswered []Unanswered `json:"unanswered"`
	Outages    []Outage     `json:"outages"`
}

// ServiceOf finds the requests without an answer and the processes that served nobody in a run's record.
func ServiceOf(r *history.Run, t Terms) Service {
	return Service{Limiters: r.Limiters, Unanswered: UnansweredOf(r, t), Outages: OutagesOf(r, t)}
}

// Missed adds up the requests without an answer in time.
func (s *Service) Missed() (late, lost int) {
	for _, u := range s.Unanswered {
		late, lost = late+u.Late, lost+u.Lost
	}
	return late, lost
}

// LimitersOut is how many limiters had an outage, in whichever of their processes.
func (s *Service) LimitersOut() int {
	seen := map[int]bool{}
	for _, o := range s.Outages {
		seen[o.Limiter] = true
	}
	return len(seen)
}

// OutageShare is the share of limiters that had an outage, 0 where the record tells no number of limiters.
func (s *Service) OutageShare() float64 {
	if s.Limiters == 0 {
		return 0
	}
	return float64(s.LimitersOut()) / float64(s.Limiters)
}

// process is one process of a limiter with what the records tell of it; slices of times are ascending once sorted.
type process struct {
	limiter, life  int
	started, ended int64
	rejected       []*history.Request // answered by anything but a server's value
	unanswered     []*history.Request // lost while the process could have answered
	served         []int64            // attempts, and answers with a server's value
	answers        []int64
}

// processes are the processes of each limiter in the order of their starts.
type processes map[int][]*process

func newProcesses(r *history.Run) processes {
	out := processes{}
	for _, l := range r.Processes {
		p := &process{limiter: l.Limiter, life: len(out[l.Limiter]) + 1, started: l.Started, ended: l.Ended}
		if p.ended == 0 {
			p.ended = math.MaxInt64
		}
		out[l.Limiter] = append(out[l.Limiter], p)
	}
	return out
}

// at is the process of a limiter that lived at a time, nil for none. A record without lives has one process a limiter.
func (ps processes) at(limiter int, at int64) *process {
	if len(ps[limiter]) == 0 {
		ps[limiter] = []*process{{limiter: limiter, life: 1, started: math.MinInt64, ended: math.MaxInt64}}
	}
	var found *process
	for _, p := range ps[limiter] {
		if p.started <= at && at < p.ended {
			found = p
		}
	}
	return found
}

// take adds a request to what is told of a process.
func (p *process) take(j *history.Request, why *causes) {
	switch j.Outcome {
	case history.Succeeded:
		p.served = append(p.served, j.Answered)
		p.answers = append(p.answers, j.Answered)
	case history.Rejected, history.Failed:
		p.rejected = append(p.rejected, j)
		p.answers = append(p.answers, j.Answered)
	case history.Late:
		p.answers = append(p.answers, j.Answered)
	case history.Unanswered, history.ConnectionBroken:
		if why.of(j) == LimiterAlive {
			p.unanswered = append(p.unanswered, j)
		}
	}
}

// OutagesOf finds the times in which processes served nobody, by limiter and time.
func OutagesOf(r *history.Run, t Terms) []Outage {
	all, why, byID := newProcesses(r), newCauses(r, t), map[string]*history.Request{}
	for i := range r.Requests {
		j := &r.Requests[i]
		byID[j.ID] = j
		if p := all.at(j.Limiter, j.Sent); p != nil {
			p.take(j, why)
		}
	}
	for _, s := range r.Attempts {
		j := byID[s.ID]
		// one sent before belongs to the limiter that a crossed request was sent to first
		if j == nil || s.At < j.Sent {
			continue
		}
		if p := all.at(j.Limiter, j.Sent); p != nil {
			p.served = append(p.served, s.At)
		}
	}
	out := []Outage{}
	for _, of := range all {
		for _, p := range of {
			out = append(out, p.outages()...)
		}
	}
	slices.SortFunc(out, func(a, b Outage) int {
		return cmp.Or(cmp.Compare(a.Limiter, b.Limiter), cmp.Compare(a.From, b.From), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// outages are the times in which a process served nobody.
func (p *process) outages() []Outage {
	slices.Sort(p.served)
	slices.Sort(p.answers)
	out := []Outage{}
	for _, o := range p.spans(Rejecting, p.rejected, p.served) {
		if o.long() {
			out = append(out, o)
		}
	}
	for _, o := range p.spans(Silent, p.unanswered, p.answers) {
		if o.long() || len(p.answers) == 0 { // a process that never answers needs no number of requests to be told
			out = append(out, o)
		}
	}
	return out
}

// spans are the longest times that hold requests and none of the breaks.
func (p *process) spans(kind OutageKind, requests []*history.Request, breaks []int64) []Outage {
	slices.SortStableFunc(requests, func(a, b *history.Request) int { return cmp.Compare(a.Answered, b.Answered) })
	var out []Outage
	last := -1 // how many breaks lie before the latest span
	for _, j := range requests {
		before := sort.Search(len(breaks), func(i int) bool { return breaks[i] > j.Answered })
		from := j.Sent
		if before > 0 {
			from = max(from, breaks[before-1])
		}
		if before != last {
			out = append(out, Outage{Limiter: p.limiter, Life: p.life, Kind: kind, From: from})
			last = before
		}
		span := &out[len(out)-1]
		span.From = min(span.From, from)
		span.Until = j.Answered
		span.Requests++
	}
	return out
}

// long tells whether a span lasts long enough and holds enough requests to be an outage.
func (o *Outage) long() bool { return o.Until-o.From >= outageLength && o.Requests >= outageRequests }

// limiterTarget is a limiter's name in the timeline.
func limiterTarget(limiter int) string { return fmt.Sprintf("limiter:%d", limiter) }
