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

// counter measures how often a limiter calls the counter, what a call costs the counter's stand-in, and how many
// stand-ins the peak load needs.
func (h *Harness) counter() error {
	var calls, bytes []Point
	for _, rate := range h.sizes([]int{40, 80}, []int{62, 124, 250, 500}) {
		usage, err := h.measureCounterUsage(rate, nil)
		if err != nil {
			return err
		}
		calls = append(calls, Point{float64(rate), usage.calls})
		bytes = append(bytes, Point{float64(rate), usage.bytes})
	}
	mechanism := "choice.go reserve, release, settle; counter.go Count"
	h.addSeries(Series{Experiment: "counter", Quantity: "calls of one limiter", Unit: "/s", Over: "requests/s",
		Points: calls, Mechanism: mechanism, Note: "no true units, no rejections: the least there is"})
	h.addSeries(
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
		usage, err := h.measureCounterUsage(h.sizes([]int{80}, []int{124})[0], []emulator.Fault{fault})
		if err != nil {
			return err
		}
		h.addFigure(
			Series{Experiment: "counter", Quantity: "calls for a request while the counter is " + fault.Kind, Unit: "1",
				Mechanism: "choice.go asked, Counted (asks thinned out)"},
			usage.perRequest...)
	}
	return h.measureCounterStandIn()
}

// counterUsage is a limiter's calls to the counter at one load, one value per sample: calls and bytes per second, and
// calls per request.
type counterUsage struct{ calls, bytes, perRequest []float64 }

func (h *Harness) measureCounterUsage(rate int, script []emulator.Fault) (usage counterUsage, err error) {
	spec := standInsSpec{limiters: 1, servers: 1000, serviceTime: 5 * time.Millisecond, counterFaults: script}
	err = h.withReal(spec, func(s *standIns, l *realLimiter) error {
		pool := newClientPool(s.clock, l.address)
		defer pool.close()
		time.Sleep(h.duration(time.Second))
		pool.sendAtRate(float64(rate), requestCustomers, h.duration(3*time.Second), 1)
		for i := range h.sampleCount() {
			trafficBefore, start := s.traffic(), time.Now()
			results := pool.sendAtRate(float64(rate), requestCustomers, h.duration(3*time.Second), uint64(i+2))
			seconds := time.Since(start).Seconds()
			delta := s.traffic().since(trafficBefore)
			usage.calls = append(usage.calls, delta.counterCalls/seconds)
			usage.bytes = append(usage.bytes, delta.counterBytes/seconds)
			usage.perRequest = append(usage.perRequest, delta.counterCalls/float64(len(results)))
		}
		return nil
	})
	return usage, err
}

const (
	counterConnections = 64  // connections to one stand-in of the counter, with one call at a time on each
	targetUtilization  = 0.5 // share of an instance's capacity, low enough that calls seldom queue
	callsPerRequest    = 1.0 // lower bound: true units and rejections add calls
)

// measureCounterStandIn measures one stand-in in a process of its own, on one core, and estimates how many of them
// the peak load needs.
func (h *Harness) measureCounterStandIn() error {
	counterProcess, err := h.startCounterProcess()
	if err != nil {
		return err
	}
	defer counterProcess.stop()
	capacity, cost, err := h.measureCounter(counterProcess)
	if err != nil {
		return err
	}
	resident, err := procfs.Resident(counterProcess.pid())
	if err != nil {
		return err
	}
	h.addFigure(Series{Experiment: "counter", Quantity: "processor time of a call at one stand-in", Unit: "us",
		Mechanism: "emulator counter.go serve: a read and a write a call"}, cost.Samples...)
	h.addFigure(Series{Experiment: "counter",
		Quantity: "calls that one stand-in answers on the share of a core that it gets", Unit: "/s",
		Note: fmt.Sprintf("%d connections, one call out on each", counterConnections)}, capacity.Samples...)
	h.addFigure(Series{Experiment: "counter",
		Quantity: fmt.Sprintf("resident memory of one stand-in, %d names", Customers), Unit: "MB"}, resident/1e6)
	h.reportCounterInstances(1e6 / cost.Median())
	return nil
}

// measureCounter loads a stand-in for one window per sample. The capacity is in calls per second, the cost in
// microseconds of the stand-in's processor time per call.
func (h *Harness) measureCounter(counterProcess *counterHost) (capacity, cost Point, err error) {
	for range h.sampleCount() {
		before, err := procfs.ProcessorTime(counterProcess.pid())
		if err != nil {
			return capacity, cost, err
		}
		start := time.Now()
		calls, err := callCounter(counterProcess.address, h.duration(3*time.Second))
		if err != nil {
			return capacity, cost, err
		}
		after, err := procfs.ProcessorTime(counterProcess.pid())
		if err != nil {
			return capacity, cost, err
		}
		processorSeconds := (after - before).Seconds()
		capacity.Samples = append(capacity.Samples, float64(calls)/time.Since(start).Seconds())
		cost.Samples = append(cost.Samples, processorSeconds*1e6/float64(calls))
	}
	return capacity, cost, nil
}

// reportCounterInstances reports an estimate of the instances that the peak load needs, where one answers
// callsPerSecond on a whole core, and of how unevenly customers load them.
func (h *Harness) reportCounterInstances(callsPerSecond float64) {
	instances := InstancesNeeded(PeakRequests*callsPerRequest, callsPerSecond, targetUtilization)
	h.addFigure(Series{Experiment: "counter", Quantity: "instances for 68,000 requests/s, each half used", Unit: "1",
		Estimated: true}, float64(instances))
	for _, n := range []int{instances, 2 * instances} {
		for _, skew := range []float64{0, 1} {
			share := LargestShare(Customers, n, skew)
			h.addFigure(Series{Experiment: "counter",
				Quantity: fmt.Sprintf("load of the fullest of %d instances over an even share", n), Unit: "1",
				Estimated: true,
				Note:      fmt.Sprintf("%d customers by the hash of their name; the k-th sends as 1/k^%g", Customers, skew),
			}, share*float64(n))
		}
	}
}

// counterHost is a process that runs one stand-in of the counter.
type counterHost struct {
	*host
	address string
}

func (h *Harness) startCounterProcess() (*counterHost, error) {
	hostProcess, err := h.startHostProcess(hostSpec{Counter: true, Processors: 1, MemoryBytes: maxHostMemory / 8})
	if err != nil {
		return nil, err
	}
	answer, err := hostProcess.answer()
	if err != nil {
		hostProcess.stop()
		return nil, &StartError{"counter", hostProcess.log, err}
	}
	return &counterHost{hostProcess, answer.Address}, nil
}

// callCounter calls a counter for the given length over counterConnections connections, one call at a time on each,
// and returns how many calls were answered.
func callCounter(address string, length time.Duration) (int64, error) {
	var calls atomic.Int64
	var workers sync.WaitGroup
	errs := make(chan error, counterConnections)
	deadline := time.Now().Add(length)
	for i := range counterConnections {
		conn, err := net.DialTimeout("tcp", address, clientTimeout)
		if err != nil {
			return 0, err
		}
		workers.Add(1)
		go func() {
			defer workers.Done()
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for customer := uint64(i); time.Now().Before(deadline); customer += counterConnections {
				_ = conn.SetDeadline(time.Now().Add(clientTimeout))
				_, err := conn.Write(counterwire.AppendAdd(nil, mixBits(customer%Customers)>>1, 1, 60e9))
				if err == nil {
					_, err = reader.ReadString('\n')
				}
				if err != nil {
					errs <- err
					return
				}
				calls.Add(1)
			}
		}()
	}
	workers.Wait()
	select {
	case err := <-errs:
		return calls.Load(), err
	default:
		return calls.Load(), nil
	}
}
