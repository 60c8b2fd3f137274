package scale

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ospreycroft/internal/counterwire"
	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/procfs"
)

// counter measures how often limiters call the counter, what a call costs at its stand-in, and how many stand-ins the
// peak takes.
func (h *Harness) counter() error {
	var calls, bytes []Point
	for _, rate := range h.sizes([]int{40, 80}, []int{62, 124, 250, 500}) {
		use, err := h.counterUse(rate, nil)
		if err != nil {
			return err
		}
		calls = append(calls, Point{float64(rate), use.calls})
		bytes = append(bytes, Point{float64(rate), use.bytes})
	}
	mechanism := "choice.go reserve, release, settle; counter.go Count"
	h.add(Series{Experiment: "counter", Quantity: "calls of one limiter", Unit: "/s", Over: "requests/s", Points: calls,
		Mechanism: mechanism, Note: "no true units, no rejections: the least there is"})
	h.add(
		Series{
			Experiment: "counter",
			Quantity:   "bytes to and from the counter, one limiter",
			Unit:       "B/s",
			Over:       "requests/s",
			Points:     bytes,
			Mechanism:  "counterwire.go AppendCall",
		},
	)
	for _, fault := range []emulator.Fault{{Kind: "busy"}, {Kind: "slow", Factor: 200}} {
		use, err := h.counterUse(h.sizes([]int{80}, []int{124})[0], []emulator.Fault{fault})
		if err != nil {
			return err
		}
		h.figure(
			Series{Experiment: "counter", Quantity: "calls for a request while the counter is " + fault.Kind, Unit: "1",
				Mechanism: "choice.go asked, Counted (asks thinned out)"},
			use.ofRequest...)
	}
	return h.counterStandIn()
}

// counterUse is what one limiter asks of the counter at a load, in several samples.
type counterUse struct{ calls, bytes, ofRequest []float64 }

func (h *Harness) counterUse(rate int, script []emulator.Fault) (use counterUse, err error) {
	spec := standsSpec{limiters: 1, servers: 1000, work: 5 * time.Millisecond, counter: script}
	err = h.withReal(spec, func(s *stands, l *realLimiter) error {
		c := newClients(s.clock, l.address)
		defer c.close()
		time.Sleep(h.window(time.Second))
		c.open(float64(rate), requestCustomers, h.window(3*time.Second), 1)
		for i := range h.samples() {
			crossed, began := s.traffic(), time.Now()
			all := c.open(float64(rate), requestCustomers, h.window(3*time.Second), uint64(i+2))
			seconds := time.Since(began).Seconds()
			t := s.traffic().since(crossed)
			use.calls = append(use.calls, t.counterCalls/seconds)
			use.bytes = append(use.bytes, t.counterBytes/seconds)
			use.ofRequest = append(use.ofRequest, t.counterCalls/float64(len(all)))
		}
		return nil
	})
	return use, err
}

const (
	callers     = 64  // connections to one stand-in of the counter
	halfUsed    = 0.5 // of an instance's capacity, so that a call seldom waits
	callsOfPeak = 1.0 // for a request, at least
)

// counterStandIn measures one stand-in in a process of its own, on one core, and reckons how many of them the peak
// takes.
func (h *Harness) counterStandIn() error {
	one, err := h.startCounterHost()
	if err != nil {
		return err
	}
	defer one.stop()
	capacity, cost, err := h.measureCounter(one)
	if err != nil {
		return err
	}
	held, err := procfs.Resident(one.pid())
	if err != nil {
		return err
	}
	h.figure(Series{Experiment: "counter", Quantity: "processor time of a call at one stand-in", Unit: "us",
		Mechanism: "emulator counter.go serve: a read and a write a call"}, cost.Samples...)
	h.figure(Series{Experiment: "counter",
		Quantity: "calls that one stand-in answers on the share of a core that it gets", Unit: "/s",
		Note: fmt.Sprintf("%d connections, one call out on each", callers)}, capacity.Samples...)
	h.figure(Series{Experiment: "counter",
		Quantity: fmt.Sprintf("resident memory of one stand-in, %d names", Tenants), Unit: "MB"}, held/1e6)
	h.counterInstances(1e6 / cost.Middle())
	return nil
}

// measureCounter calls a stand-in for a window a sample: capacity in calls a second, cost in microseconds of its
// processor time a call.
func (h *Harness) measureCounter(one *counterHost) (capacity, cost Point, err error) {
	for range h.samples() {
		before, err := procfs.ProcessorTime(one.pid())
		if err != nil {
			return capacity, cost, err
		}
		began := time.Now()
		calls, err := callCounter(one.address, h.window(3*time.Second))
		if err != nil {
			return capacity, cost, err
		}
		after, err := procfs.ProcessorTime(one.pid())
		if err != nil {
			return capacity, cost, err
		}
		spent := (after - before).Seconds()
		capacity.Samples = append(capacity.Samples, float64(calls)/time.Since(began).Seconds())
		cost.Samples = append(cost.Samples, spent*1e6/float64(calls))
	}
	return capacity, cost, nil
}

// counterInstances reckons the instances that the peak takes where one answers callsPerSecond on a whole core, and how
// evenly customers load them.
func (h *Harness) counterInstances(callsPerSecond float64) {
	instances := Instances(PeakRequests*callsOfPeak, callsPerSecond, halfUsed)
	h.figure(Series{Experiment: "counter", Quantity: "instances for 68,000 requests/s, each half used", Unit: "1",
		Reckoned: true}, float64(instances))
	for _, n := range []int{instances, 2 * instances} {
		for _, skew := range []float64{0, 1} {
			share := LargestShare(Tenants, n, skew)
			h.figure(Series{Experiment: "counter",
				Quantity: fmt.Sprintf("load of the fullest of %d instances over an even share", n), Unit: "1",
				Reckoned: true,
				Note:     fmt.Sprintf("%d customers by the hash of their name; the k-th sends as 1/k^%g", Tenants, skew),
			}, share*float64(n))
		}
	}
}

// counterHost is a process that runs one counter.
type counterHost struct {
	*host
	address string
}

func (h *Harness) startCounterHost() (*counterHost, error) {
	one, err := h.startHostOf(hostSpec{Counter: true, Processors: 1, Memory: mostMemory / 8})
	if err != nil {
		return nil, err
	}
	answer, err := one.answer()
	if err != nil {
		one.stop()
		return nil, &StartError{"counter", one.log, err}
	}
	return &counterHost{one, answer.Address}, nil
}

// callCounter calls a counter on many connections, one call after the other on each, and tells how many were answered.
func callCounter(address string, length time.Duration) (int64, error) {
	var calls atomic.Int64
	var wait sync.WaitGroup
	errs := make(chan error, callers)
	end := time.Now().Add(length)
	for i := range callers {
		c, err := net.DialTimeout("tcp", address, clientWaits)
		if err != nil {
			return 0, err
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for n := uint64(i); time.Now().Before(end); n += callers {
				_ = c.SetDeadline(time.Now().Add(clientWaits))
				_, err := c.Write(counterwire.AppendAdd(nil, mix(n%Tenants)>>1, 1, 60e9))
				if err == nil {
					_, err = in.ReadString('\n')
				}
				if err != nil {
					errs <- err
					return
				}
				calls.Add(1)
			}
		}()
	}
	wait.Wait()
	select {
	case err := <-errs:
		return calls.Load(), err
	default:
		return calls.Load(), nil
	}
}
