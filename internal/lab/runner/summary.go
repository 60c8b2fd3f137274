package runner

import (
	"fmt"
	"io"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
)

// Latency is the distribution of answer times of one class's successful requests, in microseconds.
type Latency struct {
	Track string `json:"track"`
	Count int64  `json:"count"`
	P50   int64  `json:"p50_us"`
	P90   int64  `json:"p90_us"`
	P99   int64  `json:"p99_us"`
	Max   int64  `json:"max_us"`
}

// Latencies returns the latency percentiles of the successful requests, one entry for each class, sorted by class. They
// are read from HDR histograms of three significant figures.
func Latencies(requests []history.Request) []Latency {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, j := range requests {
		if j.Outcome != history.Succeeded {
			continue
		}
		h := histograms[j.Class]
		if h == nil {
			h = hdrhistogram.New(1, 120_000_000, 3)
			histograms[j.Class] = h
		}
		_ = h.RecordValue(max(1, (j.Answered-j.Sent)/1000))
	}
	latencies := []Latency{}
	for track, h := range histograms {
		latencies = append(latencies, Latency{Track: track, Count: h.TotalCount(), P50: h.ValueAtQuantile(50),
			P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()})
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i].Track < latencies[j].Track })
	return latencies
}

// Summarise writes the verdict, the breaches that it lists, failures, fleet, restarts, service, quota use and latencies
// of a run.
func Summarise(w io.Writer, r *Result) {
	_, _ = fmt.Fprintln(w, r.Verdict.Line())
	for _, b := range r.Verdict.Breaches {
		_, _ = fmt.Fprintf(w, "  rule %d at %.3fs: %s: %s\n", b.Rule, float64(b.At)/1e9, b.What, b.Detail)
	}
	for _, err := range r.Failures {
		hint := ""
		if e, ok := err.(interface{ Hint() string }); ok {
			hint = e.Hint()
		}
		_, _ = fmt.Fprintf(w, "  failed: %v; %s\n", err, hint)
	}
	if len(r.Run.Processes) > 0 {
		FleetOf(r.Run).Write(w, r.Run.Length)
		restarts := RestartsOf(r.Run)
		restarts.Write(w)
	}
	writeService(w, &r.Verdict.Service)
	settings, err := experiment.DecodeSettings(r.Run.Settings)
	if err == nil {
		quotaUses := invariants.Quotas(r.Run.Requests, r.Run.Attempts, settings)
		for _, u := range quotaUses {
			_, _ = fmt.Fprintf(
				w,
				"  use customer=%s plan=%s sent=%.0f excess=%.1f rejected=%d wrongly=%d\n",
				u.Customer,
				u.Plan,
				u.Sent,
				u.Excess,
				u.Rejected,
				u.WronglyRejected,
			)
		}
		if first, last, seen := counterFaults(r.Run.Events); seen {
			if took := invariants.Recovery(quotaUses, first, last, r.Run.Length); took < 0 {
				_, _ = fmt.Fprintln(w, "  recovery after the counter's faults: not within the run")
			} else {
				_, _ = fmt.Fprintf(w, "  recovery after the counter's faults: %.0f s after %.1f s\n", float64(took)/1e9,
					float64(last)/1e9)
			}
		}
	}
	for _, l := range Latencies(r.Run.Requests) {
		_, _ = fmt.Fprintf(w, "  %s: %d done, p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms\n", l.Track, l.Count,
			float64(l.P50)/1e3, float64(l.P90)/1e3, float64(l.P99)/1e3, float64(l.Max)/1e3)
	}
}

// writeService writes the requests without an answer in time and the outages of processes. It writes the totals even if
// they are zero.
func writeService(w io.Writer, s *invariants.Service) {
	late, lost := s.Missed()
	_, _ = fmt.Fprintf(w, "  unanswered late=%d lost=%d\n", late, lost)
	for _, u := range s.Unanswered {
		_, _ = fmt.Fprintf(
			w,
			"    unanswered limiter=%d cause=%s late=%d lost=%d\n",
			u.Limiter,
			u.Cause,
			u.Late,
			u.Lost,
		)
	}
	share := s.OutageShare()
	_, _ = fmt.Fprintf(
		w,
		"  outages limiters=%d of=%d share=%.3f gate=%.3f held=%v\n",
		s.LimitersOut(),
		s.Limiters,
		share,
		invariants.MaxOutageShare,
		share <= invariants.MaxOutageShare,
	)
	for _, o := range s.Outages {
		_, _ = fmt.Fprintf(
			w,
			"    outage limiter=%d life=%d kind=%s from=%.3fs until=%.3fs requests=%d\n",
			o.Limiter,
			o.Life,
			o.Kind,
			float64(o.From)/1e9,
			float64(o.Until)/1e9,
			o.Requests,
		)
	}
}

// counterFaults returns the times of the first and the last event of the counter's faults, in nanoseconds; seen is
// false if there is none.
func counterFaults(events []history.Event) (first, last int64, seen bool) {
	for _, e := range events {
		if e.Target != "counter" {
			continue
		}
		if !seen {
			first = e.At
			seen = true
		}
		last = e.At
	}
	return first, last, seen
}
