package invariants

import (
	"sort"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/settings"
)

// QuotaUsage is how one customer's use stood against its quota over a run: not a rule, a measure. Units are counted at
// a request's first attempt, as for ceilings, in a bucket of the plan's burst that drains at its rate.
type QuotaUsage struct {
	Customer string  `json:"customer"`
	Plan     string  `json:"plan"`
	Sent     float64 `json:"sent"`     // units that reached servers
	Excess   float64 `json:"excess"`   // the most the bucket held beyond the burst
	Rejected int     `json:"rejected"` // requests rejected
	Wrongly  int     `json:"wrongly"`  // of them, rejected while the bucket had room for their units
	// WronglyRejectedAt are the times of those rejections, nanoseconds on the run's clock, for recovery to be seen.
	WronglyRejectedAt []int64 `json:"wrongly_at,omitempty"`
}

// Quotas measures every customer's use against its quota, in customer order.
func Quotas(requests []history.Request, attempts []history.Attempt, set *settings.Settings) []QuotaUsage {
	type event struct {
		at        int64
		request   *history.Request
		forwarded bool
	}
	byID := map[string]*history.Request{}
	for i := range requests {
		byID[requests[i].ID] = &requests[i]
	}
	var events []event
	counted := map[string]bool{}
	for _, attempt := range attempts {
		if request := byID[attempt.ID]; request != nil && !counted[attempt.ID] && attempt.Answer != "busy" {
			counted[attempt.ID] = true
			events = append(events, event{attempt.At, request, true})
		}
	}
	for i := range requests {
		if requests[i].Outcome == history.Rejected {
			events = append(events, event{requests[i].Answered, &requests[i], false})
		}
	}
	sort.SliceStable(events, func(a, b int) bool { return events[a].at < events[b].at })
	type bucket struct {
		use   QuotaUsage
		level float64
		at    int64
	}
	buckets := map[string]*bucket{}
	for _, e := range events {
		plan := set.Plans[e.request.Plan]
		if plan == nil || plan.Rate <= 0 {
			continue
		}
		b := buckets[e.request.Customer]
		if b == nil {
			b = &bucket{use: QuotaUsage{Customer: e.request.Customer, Plan: e.request.Plan}, at: e.at}
			buckets[e.request.Customer] = b
		}
		b.level, b.at = max(0, b.level-plan.Rate*float64(e.at-b.at)/1e9), e.at
		if !e.forwarded {
			b.use.Rejected++
			if b.level+e.request.Units <= plan.Burst {
				b.use.Wrongly++
				b.use.WronglyRejectedAt = append(b.use.WronglyRejectedAt, e.at)
			}
			continue
		}
		b.level += e.request.Units
		b.use.Sent += e.request.Units
		b.use.Excess = max(b.use.Excess, b.level-plan.Burst)
	}
	out := make([]QuotaUsage, 0, len(buckets))
	for _, b := range buckets {
		out = append(out, b.use)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Customer < out[b].Customer })
	return out
}

// Recovery is how long after from (nanoseconds) the rejections made while a quota had room came back to what
// they were a second before the first fault, at faults: the first second from which on no second of the run
// up to end holds more than half as many again as that, and one more. It is from itself where none does,
// and -1 where they never come back before end.
func Recovery(uses []QuotaUsage, firstFault, from, end int64) int64 {
	const sec = int64(1e9)
	if firstFault < sec || end <= from {
		return -1
	}
	var counts []int
	for _, u := range uses {
		for _, at := range u.WronglyRejectedAt {
			if at >= 0 && at < end {
				for int(at/sec) >= len(counts) {
					counts = append(counts, 0)
				}
				counts[at/sec]++
			}
		}
	}
	for int((end-1)/sec) >= len(counts) {
		counts = append(counts, 0)
	}
	before := 0
	for s := int64(0); s < firstFault/sec; s++ {
		before += counts[s]
	}
	limit := float64(before)/float64(firstFault/sec)*1.5 + 1
	lastOverLimit := from/sec - 1 // the last second over the limit
	for s := from / sec; s < int64(len(counts)); s++ {
		if float64(counts[s]) > limit {
			lastOverLimit = s
		}
	}
	if lastOverLimit == int64(len(counts))-1 && lastOverLimit >= from/sec {
		return -1
	}
	return max(0, (lastOverLimit+1)*sec-from)
}
