// Package flood measures what clients that send at full speed do to the answers of other clients. It runs real limiters
// with emulated servers, counter and discovery, floods the limiters one after the other or all at once, and counts the
// requests of the usual clients that were answered late or never, as these clients saw it.
//
// testlab flood runs it on demand; the package's test runs short floods in CI.
package flood

import (
	"fmt"
	"io"
	"log/slog"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/procfs"
	"ospreycroft/internal/lab/runner"
)

// Options configure a run.
type Options struct {
	Program  string        // path of the limiter program
	Launcher string        // path of a program that calls SendIfRequested first
	Dir      string        // for the run's files
	Kinds    []Kind        // played one after the other
	Limiters int           // number of limiters
	Clients  int           // flooding clients for each flooded limiter
	Length   time.Duration // of one flood
	Together bool          // all limiters are flooded at once; otherwise one after the other
	Unread   bool          // the flooding clients read none of their answers
	Cores    []int         // the processors on which limiters run, in turn; empty means any
	Seed     uint64
	MemoryMB int // memory limit of each limiter; 0 means 64
	Sockets  int // descriptors of each limiter, half of which clients may hold; 0 means 512
}

// withDefaults returns the options with the default limits in place of zeros.
func (o Options) withDefaults() Options {
	if o.MemoryMB == 0 {
		o.MemoryMB = defaultMemoryMB
	}
	if o.Sockets == 0 {
		o.Sockets = defaultSockets
	}
	return o
}

const (
	pause            = 500 * time.Millisecond // before each flood
	usualRate        = 40.0                   // requests per second and limiter
	defaultMemoryMB  = 64
	defaultSockets   = 512
	allowedLateness  = 50e6  // nanoseconds after the deadline; the protocol's slack for every time limit
	lostAfter        = 500e6 // nanoseconds after the deadline; the standing test's bound
	lagInterval      = 5 * time.Millisecond
	memoryInterval   = 50 * time.Millisecond
	shortestDeadline = 300 * time.Millisecond
)

// experimentText is the experiment without its seed, length and limiters. Clients wait for 0.3 to 0.9 s.
const experimentText = `
grace = 0.3
slack = 0.15
[counter]
on = true
[[servers]]
name = "hall1"
count = 6
zone = "hall1"
work = 0.02
capacity = 64
[load]
retry = 0.0
give_up = 0.0
tracks = [
  {name = "fetch", share = 0.4, units = 1.0, cut_off = 0.3},
  {name = "look", share = 0.3, units = 1.0, cut_off = 0.5},
  {name = "order", share = 0.3, units = 1.0, cut_off = 0.9},
]
[settings]
granularity = 0.004
[[settings.classes]]
name = "fetch"
aim = 0.2
deadline = 0.3
effect = "free"
group = "all"
[[settings.classes]]
name = "look"
aim = 0.3
deadline = 0.5
effect = "free"
group = "all"
[[settings.classes]]
name = "order"
aim = 0.5
deadline = 0.9
effect = "single_shot"
group = "all"
[[settings.tariffs]]
name = "house"
rate = 2000.0
most-at-once = 4000.0
beyond-costs = 0.5
[settings.family-info]
has-counter = true
count-wait = 0.05
units-top = 6
[settings.contract]
cold-from = 0.25
warm-within = 10.0
stop-sending-within = 0.25
[settings.permissions]
attempts-cap = 3
cancelling = true
dial-timeout = 0.25
idle-close = 15.0
max-retry-after = 2.0
probes = false
retry-after = true
second-copies = false
`

// Counts are requests of the usual clients by when their clients had the answer.
type Counts struct {
	Requests, Served, Rejected, Failed int
	Tardy                              int // after the deadline, within the protocol's slack
	Late                               int // later than that and the lab's own lag, but within half a second
	Lost                               int // later than that, or never
	NotAccepted                        int // no connection came up
	// Took holds the times from a request's sending to the arrival of its answer, nanoseconds.
	Took []int64
}

// quantile returns the time in milliseconds within which a share of the answers came, 0 if there are none.
func (c *Counts) quantile(share float64) int64 {
	if len(c.Took) == 0 {
		return 0
	}
	slices.Sort(c.Took)
	return c.Took[int(share*float64(len(c.Took)-1))] / 1e6
}

// Report is the result of a run.
type Report struct {
	Options    Options
	ByKind     map[string]*Counts
	PeakMemory int64         // of any limiter, bytes
	Lag        time.Duration // largest delay of the lab's own goroutines
	Failures   []error       // of the limiters' processes and the senders'
	Worst      []string      // a line for each late or lost request
}

// Total returns the sum over all kinds.
func (r *Report) Total() (sum Counts) {
	for _, c := range r.ByKind {
		sum.Requests += c.Requests
		sum.Served += c.Served
		sum.Rejected += c.Rejected
		sum.Failed += c.Failed
		sum.Tardy += c.Tardy
		sum.Late += c.Late
		sum.Lost += c.Lost
		sum.NotAccepted += c.NotAccepted
	}
	return sum
}

// Write writes the report: a line for each kind, and one for each late or lost request.
func (r *Report) Write(w io.Writer) {
	for _, kind := range r.Options.Kinds {
		c := r.ByKind[kind.Name]
		_, _ = fmt.Fprintf(w, "flood=%s together=%v unread=%v requests=%d served=%d rejected=%d failed=%d tardy=%d late=%d lost=%d not_accepted=%d median_ms=%d p99_ms=%d slowest_ms=%d\n",
			kind.Name, r.Options.Together, r.Options.Unread, c.Requests, c.Served, c.Rejected, c.Failed, c.Tardy, c.Late,
			c.Lost, c.NotAccepted, c.quantile(0.5), c.quantile(0.99), c.quantile(1))
	}
	for _, line := range r.Worst {
		_, _ = fmt.Fprintln(w, " ", line)
	}
	for _, failure := range r.Failures {
		_, _ = fmt.Fprintln(w, "  process:", failure)
	}
	_, _ = fmt.Fprintf(w, "memory_mb=%d lab_lag=%v\n", r.PeakMemory>>20, r.Lag.Round(time.Millisecond))
}

// span is when a flood of a kind took place, in nanoseconds on the run's clock, and at which limiter.
type span struct {
	kind        string
	limiter     int
	from, until int64
}

// run is the state of one run.
type run struct {
	options Options
	spans   []span
	maxLag  atomic.Int64
	mutex   sync.Mutex
	pids    []int
	peak    int64
	failed  []error // of the senders
}

// Run runs the floods. An error means that the run did not take place.
func Run(o Options) (*Report, error) {
	o = o.withDefaults()
	r := &run{options: o}
	e, err := experiment.Parse(r.experiment())
	if err != nil {
		return nil, err
	}
	result, err := runner.RunWith(e, o.Dir, slog.New(slog.DiscardHandler), nil, runner.Extras{
		Command: r.command, Background: r.background,
		Lag: func() time.Duration { return time.Duration(r.maxLag.Load()) },
	})
	if err != nil {
		return nil, err
	}
	report := &Report{Options: o, ByKind: map[string]*Counts{}, PeakMemory: r.peak, Lag: time.Duration(r.maxLag.Load()),
		Failures: append(result.Failures, r.failed...)}
	for _, kind := range o.Kinds {
		report.ByKind[kind.Name] = &Counts{}
	}
	for i := range result.Run.Requests {
		r.count(report, &result.Run.Requests[i])
	}
	return report, nil
}

// experiment returns the text of the experiment file.
func (r *run) experiment() string {
	o := r.options
	floods := len(o.Kinds)
	if !o.Together {
		floods *= o.Limiters
	}
	length := time.Duration(floods)*(o.Length+pause) + time.Second
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "name = \"flood\"\nseed = %d\nlength = %.2f\n", o.Seed, length.Seconds())
	text.WriteString(strings.Replace(experimentText, "[load]\n",
		fmt.Sprintf("[load]\nrate = %.1f\n%s", usualRate*float64(o.Limiters), customers(o.Limiters)), 1))
	_, _ = fmt.Fprintf(&text, "[limiters]\ncount = %d\nprogram = %q\nmemory_mb = %d\nsockets = %d\n",
		o.Limiters, o.Program, o.MemoryMB, o.Sockets)
	return text.String()
}

// customers returns the customers of the load, one for each limiter.
func customers(limiters int) string {
	text := "customers = [\n"
	for i := range limiters {
		text += fmt.Sprintf("  {id = \"%016x\", plan = \"house\", share = 1.0, spread = 1, first = %d},\n", 0xa0+i, i)
	}
	return text + "]\n"
}

// command pins the process of a limiter to its processor once it runs.
func (r *run) command(n int, command *exec.Cmd) (started func() error, err error) {
	return func() error {
		r.mutex.Lock()
		r.pids = append(r.pids, command.Process.Pid)
		r.mutex.Unlock()
		if len(r.options.Cores) == 0 {
			return nil
		}
		var set unix.CPUSet
		set.Set(r.options.Cores[n%len(r.options.Cores)])
		return unix.SchedSetaffinity(command.Process.Pid, &set)
	}, nil
}

// background plays the floods and measures the lab's lag and the limiters' memory meanwhile.
func (r *run) background(lab *runner.Lab, stop <-chan struct{}) {
	var measuring sync.WaitGroup
	measuring.Go(func() { r.measureLag(stop) })
	measuring.Go(func() { r.measureMemory(stop) })
	for _, kind := range r.options.Kinds {
		if r.options.Together {
			r.play(lab, kind, allLimiters(r.options.Limiters))
			continue
		}
		for limiter := range r.options.Limiters {
			r.play(lab, kind, []int{limiter})
		}
	}
	measuring.Wait()
}

func allLimiters(count int) (all []int) {
	for limiter := range count {
		all = append(all, limiter)
	}
	return all
}

// play floods some limiters with one kind.
func (r *run) play(lab *runner.Lab, kind Kind, limiters []int) {
	time.Sleep(pause)
	_, clock := lab.Record()
	from := clock.Now()
	var senders []*exec.Cmd
	for _, limiter := range limiters {
		sender, err := StartSenders(lab.Address(limiter), kind, &r.options)
		if err != nil {
			r.failed = append(r.failed, err)
			continue
		}
		senders = append(senders, sender)
	}
	for _, sender := range senders {
		if err := sender.Wait(); err != nil {
			r.failed = append(r.failed, err)
		}
	}
	for _, limiter := range limiters {
		r.spans = append(r.spans, span{kind.Name, limiter, from, clock.Now()})
	}
}

// measureLag measures how late the lab's own timers fire.
func (r *run) measureLag(stop <-chan struct{}) {
	for !stopped(stop, 0) {
		began := time.Now()
		time.Sleep(lagInterval)
		r.maxLag.Store(max(r.maxLag.Load(), int64(time.Since(began)-lagInterval)))
	}
}

// measureMemory records the largest resident memory of any limiter.
func (r *run) measureMemory(stop <-chan struct{}) {
	for !stopped(stop, memoryInterval) {
		r.mutex.Lock()
		for _, pid := range r.pids {
			if resident, err := procfs.PeakResident(pid); err == nil {
				r.peak = max(r.peak, resident)
			}
		}
		r.mutex.Unlock()
	}
}

// stopped waits, and reports whether stop was closed by then.
func stopped(stop <-chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// count adds a request to the counts of the flood during which it was sent; requests at other times are left out.
func (r *run) count(report *Report, request *history.Request) {
	for _, s := range r.spans {
		if s.limiter != request.Limiter || request.Sent < s.from-int64(shortestDeadline) || request.Sent > s.until {
			continue
		}
		report.add(s.kind, request)
		return
	}
}

// add counts one request.
func (r *Report) add(kind string, request *history.Request) {
	c := r.ByKind[kind]
	c.Requests++
	lateness := request.Answered - request.AnswerUnread - request.Deadline
	verdict := ""
	switch request.Outcome {
	case history.NotAccepted:
		c.NotAccepted++
		return
	case history.Unanswered, history.ConnectionBroken:
		c.Lost++
		verdict = "lost"
	default:
		switch {
		case lateness > lostAfter:
			c.Lost++
			verdict = "lost"
		case lateness > allowedLateness+int64(r.Lag):
			c.Late++
			verdict = "late"
		case lateness > 0:
			c.Tardy++
		}
	}
	if request.Outcome != history.Unanswered && request.Outcome != history.ConnectionBroken {
		c.Took = append(c.Took, request.Answered-request.AnswerUnread-request.Sent)
	}
	switch request.Outcome {
	case history.Succeeded:
		c.Served++
	case history.Rejected:
		c.Rejected++
	case history.Failed:
		c.Failed++
	}
	if verdict != "" {
		r.Worst = append(r.Worst, fmt.Sprintf("%s %s limiter=%d id=%s class=%s sent=%.3f wait_ms=%d took_ms=%d lateness_ms=%d outcome=%s resent=%v",
			verdict, kind, request.Limiter, request.ID, request.Class, float64(request.Sent)/1e9,
			(request.Deadline-request.Sent)/1e6, (request.Answered-request.Sent)/1e6, lateness/1e6, request.Outcome,
			request.Resent))
	}
}
