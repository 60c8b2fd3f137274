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

// Point is the result of a sweep at one fleet size.
type Point struct {
	Limiters  int     `json:"limiters"`
	Offered   float64 `json:"offered"`   // requests per second that clients sent
	Completed float64 `json:"held"`      // requests per second that succeeded
	Rejected  float64 `json:"rejected"`  // share of the requests that limiters rejected
	AddedP50  float64 `json:"added_p50"` // milliseconds that a successful request took beyond its server's service time
	AddedP99  float64 `json:"added_p99"`
	// CPU seconds of the lab's own process (emulator and clients) per 1000 requests
	LabCPU     float64 `json:"lab_cpu"`
	LimiterCPU float64 `json:"limiter_cpu"` // CPU seconds of all limiters per 1000 requests
	Pass       bool    `json:"pass"`
	Fleet      Fleet   `json:"fleet"`
}

// AddedLatency returns an HDR histogram of the time, in microseconds, that each successful request took beyond the
// service time of its last successful attempt.
func AddedLatency(requests []history.Request, attempts []history.Attempt) *hdrhistogram.Histogram {
	serviceTimes := map[string]int64{}
	for _, attempt := range attempts {
		if attempt.Answer == "done" || attempt.Answer == "repeat" {
			serviceTimes[attempt.ID] = attempt.ServiceTime
		}
	}
	h := hdrhistogram.New(1, 120_000_000, 3)
	for _, request := range requests {
		if serviceTime, ok := serviceTimes[request.ID]; ok && request.Outcome == history.Succeeded {
			_ = h.RecordValue(max(1, (request.Answered-request.Sent-serviceTime)/1000))
		}
	}
	return h
}

// cpuSeconds returns the user and system time of who, an RUSAGE_ constant, or 0 if it cannot be read.
func cpuSeconds(who int) float64 {
	var u syscall.Rusage
	if syscall.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// Sweep runs e once for each number of limiters in sizes, at perLimiter requests per second for each limiter, and
// returns a point for each. The set of limiters of each customer is clamped to the size. The CPU time of the limiters
// is read as that of this process's terminated children. On an error it returns the points measured so far.
func Sweep(e *experiment.Experiment, sizes []int, perLimiter float64, dir string, w io.Writer) ([]Point, error) {
	var points []Point
	for _, n := range sizes {
		sized := *e
		sized.Limiters.Count = n
		sized.Load.Rate = perLimiter * float64(n)
		sized.Load.Customers = append([]experiment.Customer(nil), e.Load.Customers...)
		for i := range sized.Load.Customers {
			c := &sized.Load.Customers[i]
			c.Spread, c.First = min(c.Spread, n), c.First%n
		}
		if err := sized.Revalidate(); err != nil {
			return points, err
		}
		sizeDir := filepath.Join(dir, fmt.Sprintf("size-%d", n))
		if err := os.MkdirAll(sizeDir, 0o755); err != nil {
			return points, err
		}
		self, children := cpuSeconds(syscall.RUSAGE_SELF), cpuSeconds(syscall.RUSAGE_CHILDREN)
		r, err := Run(&sized, sizeDir, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
		if err != nil {
			return points, err
		}
		time.Sleep(300 * time.Millisecond) // rusage counts the limiters only after they have been waited for
		self, children = cpuSeconds(syscall.RUSAGE_SELF)-self, cpuSeconds(syscall.RUSAGE_CHILDREN)-children
		_ = history.Write(filepath.Join(sizeDir, "record.json"), r.Run)
		added := AddedLatency(r.Run.Requests, r.Run.Attempts)
		requests := float64(len(r.Run.Requests))
		p := Point{
			Limiters:  n,
			Offered:   requests / sized.Length,
			Completed: float64(r.Verdict.Outcomes[history.Succeeded]) / sized.Length,
			Rejected:  float64(r.Verdict.Outcomes[history.Rejected]) / max(requests, 1),
			AddedP50:  float64(added.ValueAtQuantile(50)) / 1e3,
			AddedP99:  float64(added.ValueAtQuantile(99)) / 1e3,
			LabCPU: self / max(
				requests,
				1,
			) * 1000,
			LimiterCPU: children / max(requests, 1) * 1000,
			Pass:       r.Verdict.Pass,
			Fleet:      FleetOf(r.Run),
		}
		points = append(points, p)
		_, _ = fmt.Fprintf(w, "limiters=%d offered=%.0f/s held=%.0f/s rejected=%.3f added_p50=%.2fms added_p99=%.2fms "+
			"lab_cpu=%.3fs/1k limiters_cpu=%.3fs/1k pass=%v\n", n, p.Offered, p.Completed, p.Rejected, p.AddedP50,
			p.AddedP99, p.LabCPU, p.LimiterCPU, p.Pass)
		p.Fleet.Write(w, r.Run.Length)
	}
	return points, nil
}
