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
	// outageMinDuration is the shortest outage, in nanoseconds.
	outageMinDuration = 4e9
	// outageMinRequests is the smallest number of requests in an outage.
	outageMinRequests = 15
	// MaxOutageShare is the largest share of limiters that may have an outage on calm days and in rolling restarts.
	MaxOutageShare = 0.1
)

// OutageKind is how a process failed to serve requests during an outage.
type OutageKind string

// The kinds of outages.
const (
	Rejecting OutageKind = "rejecting" // it answered each request without an attempt
	Silent    OutageKind = "silent"    // it answered no request although the process was alive
)

// Outage is a period in which one process of a limiter served no request. Times are in nanoseconds on the run's clock.
type Outage struct {
	Limiter  int        `json:"limiter"`
	Life     int        `json:"life"` // 1 for the limiter's first process
	Kind     OutageKind `json:"kind"`
	From     int64      `json:"from"`
	Until    int64      `json:"until"`
	Requests int        `json:"requests"` // requests that were rejected, or that got no answer
}

// Service summarizes how well clients were served apart from the rules. None of it is a breach by itself.
type Service struct {
	Limiters   int          `json:"limiters"`
	Unanswered []Unanswered `json:"unanswered"`
	Outages    []Outage     `json:"outages"`
}

// ServiceOf returns the requests without an answer in time, and the outages, in the record of a run.
func ServiceOf(r *history.Run, t Tolerances) Service {
	return Service{Limiters: r.Limiters, Unanswered: UnansweredOf(r, t), Outages: OutagesOf(r, t)}
}

// Missed returns the total numbers of requests that were answered late and that were lost.
func (s *Service) Missed() (late, lost int) {
	for _, u := range s.Unanswered {
		late, lost = late+u.Late, lost+u.Lost
	}
	return late, lost
}

// LimitersOut returns how many limiters had an outage in any of their processes.
func (s *Service) LimitersOut() int {
	seen := map[int]bool{}
	for _, o := range s.Outages {
		seen[o.Limiter] = true
	}
	return len(seen)
}

// OutageShare returns the share of limiters that had an outage, or 0 if the record has no number of limiters.
func (s *Service) OutageShare() float64 {
	if s.Limiters == 0 {
		return 0
	}
	return float64(s.LimitersOut()) / float64(s.Limiters)
}

// process is one process of a limiter with its requests. Its slices are unsorted until outages sorts them.
type process struct {
	limiter, incarnation int                // incarnation is 1 for the limiter's first process
	started, ended       int64              // nanoseconds on the run's clock
	rejected             []*history.Request // answered, but not with a server's value
	unanswered           []*history.Request // lost although the process could have answered
	served               []int64            // times of attempts, and of answers with a server's value
	answers              []int64            // times of all answers
}

// processes holds the processes of each limiter, ordered by start.
type processes map[int][]*process

// newProcesses returns the processes that the record of a run lists.
func newProcesses(r *history.Run) processes {
	out := processes{}
	for _, recorded := range r.Processes {
		p := &process{limiter: recorded.Limiter, incarnation: len(out[recorded.Limiter]) + 1,
			started: recorded.Started, ended: recorded.Ended}
		if p.ended == 0 {
			p.ended = math.MaxInt64
		}
		out[recorded.Limiter] = append(out[recorded.Limiter], p)
	}
	return out
}

// runningAt returns the process of a limiter that was running at a time, or nil. A limiter without recorded processes
// gets one that runs forever.
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

// addRequest adds a request that was sent to the process.
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

// OutagesOf returns the outages in the record of a run, ordered by limiter and time.
func OutagesOf(r *history.Run, t Tolerances) []Outage {
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
		// An attempt from before a resent request's second sending belongs to the limiter that got it first.
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

// outages returns the outages of a process.
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
		// A process that never answered has an outage regardless of its duration and number of requests.
		if o.isOutage() || len(p.answers) == 0 {
			out = append(out, o)
		}
	}
	return out
}

// candidates returns the longest periods that contain some of the requests and none of the boundaries, which are
// ascending times.
func (p *process) candidates(kind OutageKind, requests []*history.Request, boundaries []int64) []Outage {
	slices.SortStableFunc(requests, func(a, b *history.Request) int { return cmp.Compare(a.Answered, b.Answered) })
	var out []Outage
	lastBefore := -1 // number of boundaries before the latest candidate
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

// isOutage tells whether a candidate has the minimum duration and number of requests.
func (o *Outage) isOutage() bool {
	return o.Until-o.From >= outageMinDuration && o.Requests >= outageMinRequests
}

// limiterTarget returns a limiter's name in events.
func limiterTarget(limiter int) string { return fmt.Sprintf("limiter:%d", limiter) }
