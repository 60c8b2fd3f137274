package runner

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
)

// Point is one size of a sweep: what was offered, held and added, and what the lab itself spent.
type Point struct {
	Limiters int     `json:"limiters"`
	Offered  float64 `json:"offered"`   // requests a second sent
	Held     float64 `json:"held"`      // requests a second done
	Rejected float64 `json:"rejected"`  // share of requests rejected
	AddedP50 float64 `json:"added_p50"` // ms a done request waited beyond its server's own work
	AddedP99 float64 `json:"added_p99"`
	// CPU seconds of the lab's own process (emulator and clients) per 1k requests
	LabCPU    float64 `json:"lab_cpu"`
	LimiterCP float64 `json:"limiter_cpu"` // CPU seconds of all limiters per 1k requests
	Pass      bool    `json:"pass"`
	Fleet     Fleet   `json:"fleet"`
}

// Added is the time each done request waited beyond its last attempt's work, in microseconds, as an HDR histogram.
func Added(jobs []history.Request, shots []history.Attempt) *hdrhistogram.Histogram {
	work := map[string]int64{}
	for _, s := range shots {
		if s.Answer == "done" || s.Answer == "repeat" {
			work[s.ID] = s.ServiceTime
		}
	}
	h := hdrhistogram.New(1, 120_000_000, 3)
	for _, j := range jobs {
		if w, ok := work[j.ID]; ok && j.Outcome == history.Succeeded {
			_ = h.RecordValue(max(1, (j.Answered-j.Sent-w)/1000))
		}
	}
	return h
}

func cpu(who int) float64 {
	var u syscall.Rusage
	if syscall.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// Sweep plays e at each size, with perLimiter requests a second for each limiter and each customer's set clamped to
// the size, and gives a point for each. Limiters' CPU is read as that of this process's ended children.
func Sweep(e *experiment.Experiment, sizes []int, perLimiter float64, dir string, w io.Writer) ([]Point, error) {
	var out []Point
	for _, n := range sizes {
		one := *e
		one.Limiters.Count = n
		one.Load.Rate = perLimiter * float64(n)
		one.Load.Customers = append([]experiment.Customer(nil), e.Load.Customers...)
		for i := range one.Load.Customers {
			c := &one.Load.Customers[i]
			c.Spread, c.First = min(c.Spread, n), c.First%n
		}
		if err := one.Resize(); err != nil {
			return out, err
		}
		sub := filepath.Join(dir, fmt.Sprintf("size-%d", n))
		if err := os.MkdirAll(sub, 0o755); err != nil {
			return out, err
		}
		self, children := cpu(syscall.RUSAGE_SELF), cpu(syscall.RUSAGE_CHILDREN)
		r, err := Run(&one, sub, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
		if err != nil {
			return out, err
		}
		time.Sleep(300 * time.Millisecond) // the limiters' ends are counted once they are waited for
		self, children = cpu(syscall.RUSAGE_SELF)-self, cpu(syscall.RUSAGE_CHILDREN)-children
		_ = history.Write(filepath.Join(sub, "record.json"), r.Run)
		h := Added(r.Run.Requests, r.Run.Attempts)
		jobs := float64(len(r.Run.Requests))
		p := Point{
			Limiters: n,
			Offered:  jobs / one.Length,
			Held:     float64(r.Verdict.Outcomes[history.Succeeded]) / one.Length,
			Rejected: float64(r.Verdict.Outcomes[history.Rejected]) / max(jobs, 1),
			AddedP50: float64(h.ValueAtQuantile(50)) / 1e3,
			AddedP99: float64(h.ValueAtQuantile(99)) / 1e3,
			LabCPU: self / max(
				jobs,
				1,
			) * 1000,
			LimiterCP: children / max(jobs, 1) * 1000,
			Pass:      r.Verdict.Pass,
			Fleet:     FleetOf(r.Run),
		}
		out = append(out, p)
		_, _ = fmt.Fprintf(w, "limiters=%d offered=%.0f/s held=%.0f/s rejected=%.3f added_p50=%.2fms added_p99=%.2fms "+
			"lab_cpu=%.3fs/1k limiters_cpu=%.3fs/1k pass=%v\n", n, p.Offered, p.Held, p.Rejected, p.AddedP50,
			p.AddedP99, p.LabCPU, p.LimiterCP, p.Pass)
		p.Fleet.Write(w, r.Run.Length)
	}
	return out, nil
}
