package invariants

import (
	"sort"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/settings"
)

// QuotaUsage compares one customer's usage with its quota over a run. It is a measurement and breaks no rule. As for
// ceilings, the first attempt of a request adds the request's units to a bucket, which drains at the plan's rate.
type QuotaUsage struct {
	Customer        string  `json:"customer"`
	Plan            string  `json:"plan"`
	Sent            float64 `json:"sent"`     // units that reached servers
	Excess          float64 `json:"excess"`   // largest excess of the bucket's level over the plan's burst
	Rejected        int     `json:"rejected"` // rejected requests
	WronglyRejected int     `json:"wrongly"`  // rejected requests whose units the quota still allowed
	// WronglyRejectedAt are the times of the rejections of requests whose units the quota still allowed, in nanoseconds
	// on the run's clock.
	WronglyRejectedAt []int64 `json:"wrongly_at,omitempty"`
}

// Quotas returns the quota usage of each customer whose plan has a quota, ordered by customer.
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
				b.use.WronglyRejected++
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

// Recovery returns how long after from the rate of wrong rejections (QuotaUsage.WronglyRejectedAt) returned to normal.
// The limit for one second is 1.5 times the average per second before firstFault, plus 1. Recovery is reached at the
// start of the first second from which on no second up to end exceeds the limit. The result is 0 if no second at or
// after from exceeds it, and -1 if the last second does, if firstFault lies in the first second of the run, or if end
// is not after from. All times are in nanoseconds on the run's clock.
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
