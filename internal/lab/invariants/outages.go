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
	outageMinDuration = 4e9 // a process that serves nobody for so long, in nanoseconds,
	outageMinRequests = 15  // and is sent so many requests in that time, has an outage
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
	limiter, incarnation int
	started, ended       int64
	rejected             []*history.Request // answered by anything but a server's value
	unanswered           []*history.Request // lost while the process could have answered
	served               []int64            // attempts, and answers with a server's value
	answers              []int64
}

// processes are the processes of each limiter in the order of their starts.
type processes map[int][]*process

func newProcesses(r *history.Run) processes {
	out := processes{}
	for _, recorded := range r.Processes {
		p := &process{limiter: recorded.Limiter, incarnation: len(out[recorded.Limiter]) + 1, started: recorded.Started, ended: recorded.Ended}
		if p.ended == 0 {
			p.ended = math.MaxInt64
		}
		out[recorded.Limiter] = append(out[recorded.Limiter], p)
	}
	return out
}

// runningAt is the process of a limiter that lived at a time, nil for none. A record without lives has one process a limiter.
func (ps processes) runningAt(limiter int, at int64) *process {
	if len(ps[limiter]) == 0 {
		ps[limiter] = []*process{{limiter: limiter, incarnation: 1, started: math.MinInt64, ended: math.MaxInt64}}
	}
	var found *process
	for _, p := range ps[limiter] {
		if p.started <= at && at < p.ended {
			found = p
		}
	}
	return found
}

// addRequest adds a request to what is told of a process.
func (p *process) addRequest(request *history.Request, finder *causeFinder) {
	switch request.Outcome {
	case history.Succeeded:
		p.served = append(p.served, request.Answered)
		p.answers = append(p.answers, request.Answered)
	case history.Rejected, history.Failed:
		p.rejected = append(p.rejected, request)
		p.answers = append(p.answers, request.Answered)
	case history.Late:
		p.answers = append(p.answers, request.Answered)
	case history.Unanswered, history.ConnectionBroken:
		if finder.causeOf(request) == LimiterAlive {
			p.unanswered = append(p.unanswered, request)
		}
	}
}

// OutagesOf finds the times in which processes served nobody, by limiter and time.
func OutagesOf(r *history.Run, t Terms) []Outage {
	byLimiter, finder, byID := newProcesses(r), newCauseFinder(r, t), map[string]*history.Request{}
	for i := range r.Requests {
		request := &r.Requests[i]
		byID[request.ID] = request
		if p := byLimiter.runningAt(request.Limiter, request.Sent); p != nil {
			p.addRequest(request, finder)
		}
	}
	for _, attempt := range r.Attempts {
		request := byID[attempt.ID]
		// one sent before belongs to the limiter that a crossed request was sent to first
		if request == nil || attempt.At < request.Sent {
			continue
		}
		if p := byLimiter.runningAt(request.Limiter, request.Sent); p != nil {
			p.served = append(p.served, attempt.At)
		}
	}
	out := []Outage{}
	for _, limiterProcesses := range byLimiter {
		for _, p := range limiterProcesses {
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
	for _, o := range p.candidates(Rejecting, p.rejected, p.served) {
		if o.isOutage() {
			out = append(out, o)
		}
	}
	for _, o := range p.candidates(Silent, p.unanswered, p.answers) {
		if o.isOutage() || len(p.answers) == 0 { // a process that never answers needs no number of requests to be told
			out = append(out, o)
		}
	}
	return out
}

// candidates are the longest times that hold requests and none of the breaks.
func (p *process) candidates(kind OutageKind, requests []*history.Request, boundaries []int64) []Outage {
	slices.SortStableFunc(requests, func(a, b *history.Request) int { return cmp.Compare(a.Answered, b.Answered) })
	var out []Outage
	lastBefore := -1 // how many breaks lie before the latest span
	for _, request := range requests {
		before := sort.Search(len(boundaries), func(i int) bool { return boundaries[i] > request.Answered })
		from := request.Sent
		if before > 0 {
			from = max(from, boundaries[before-1])
		}
		if before != lastBefore {
			out = append(out, Outage{Limiter: p.limiter, Life: p.incarnation, Kind: kind, From: from})
			lastBefore = before
		}
		candidate := &out[len(out)-1]
		candidate.From = min(candidate.From, from)
		candidate.Until = request.Answered
		candidate.Requests++
	}
	return out
}

// isOutage tells whether a span lasts long enough and holds enough requests to be an outage.
func (o *Outage) isOutage() bool {
	return o.Until-o.From >= outageMinDuration && o.Requests >= outageMinRequests
}

// limiterTarget is a limiter's name in the timeline.
func limiterTarget(limiter int) string { return fmt.Sprintf("limiter:%d", limiter) }
