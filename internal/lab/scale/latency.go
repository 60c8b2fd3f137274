package scale

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"ospreycroft/internal/lab/emulator"
)

// latency measures the parts of the latency that a limiter adds to a request, over load.
func (h *Harness) latency() error {
	var results []latencyResult
	for _, rate := range h.sizes([]int{60, 120}, []int{62, 124, 250, 500}) {
		windows, err := h.measureLatency(
			latencyCase{servers: h.sizes([]int{200}, []int{Servers})[0], rate: rate, customers: requestCustomers},
		)
		if err != nil {
			return err
		}
		results = append(results, latencyResult{float64(rate), windows})
	}
	h.reportLatency("requests/s", results)
	return h.latencyFloor()
}

// latencySizes measures the same parts over servers and over customers, at a load of 124 requests/s: the even share
// of one of 550 limiters at the peak.
func (h *Harness) latencySizes() error {
	const rate = 124
	var results []latencyResult
	for _, servers := range h.sizes([]int{20, 200}, []int{20, 1000, Servers}) {
		windows, err := h.measureLatency(latencyCase{servers: servers, rate: rate, customers: requestCustomers})
		if err != nil {
			return err
		}
		results = append(results, latencyResult{float64(servers), windows})
	}
	h.reportLatency("servers", results)
	results = nil
	for _, customers := range h.sizes([]int{50, 500}, []int{requestCustomers, 5000, Customers}) {
		windows, err := h.measureLatency(latencyCase{servers: 1000, rate: rate, customers: customers, seen: true})
		if err != nil {
			return err
		}
		results = append(results, latencyResult{float64(customers), windows})
	}
	h.reportLatency("customers", results)
	return nil
}

// latencyCase is the size at which one measurement is made.
type latencyCase struct {
	servers, rate, customers int
	seen                     bool // the limiter has seen a request of each customer before the measurement
}

// latencyResult holds the measured windows, one per sample, at size x.
type latencyResult struct {
	x       float64
	windows []latencyWindow
}

// latencyWindow holds the latencies of the requests of one window, in milliseconds.
type latencyWindow struct {
	parts     [partCount][]float64 // in the order of requests
	added     []float64
	connected int // requests for which a connection to a server was opened
	excluded  int // requests not served, or without a matching call at the counter
}

// The parts of the latency that a limiter adds.
const (
	toCounter = iota
	atCounter
	toServer
	toServerNewConn
	backToClient
	partCount
)

var partNames = [partCount]string{
	"client's write until the counter has the call", "at the counter",
	"counter's answer until the server has the request, kept connection",
	"the same, new connection", "server's answer until the client has it",
}

var partMechanisms = [partCount]string{
	"poller.go pull and post, the reducer's queue, choice.go Request (able) and reserve, counter.go write",
	"the counter's own round: emulator counter.go serve",
	"poller, choice.go Counted and place (pick, able), servers.go use, sockets write",
	"the same and dial.go: a connection comes up",
	"poller, servers.go read, choice.go Answer, clients.go flush, sockets write",
}

// latencyWindowLength is the time for which requests are sent for one sample.
const latencyWindowLength = 5 * time.Second

// measureLatency measures the parts of the added latency at one size.
func (h *Harness) measureLatency(params latencyCase) (windows []latencyWindow, err error) {
	observed := newObservations()
	spec := standInsSpec{
		limiters:    1,
		servers:     params.servers,
		serviceTime: 2 * time.Millisecond,
		onTally:     observed.addCall,
		onHandled:   observed.addHandled,
	}
	err = h.withReal(spec, func(s *standIns, l *realLimiter) error {
		pool := newClientPool(s.clock, l.address)
		defer pool.close()
		if params.seen {
			pool.sendForEach(params.customers, warmupConcurrency)
		}
		pool.sendAtRate(float64(params.rate), params.customers, h.duration(2*time.Second), 1)
		clockOffset := time.Now().UnixNano() - s.clock.Now()
		for i := range h.sampleCount() {
			observed.clear()
			requests := pool.sendAtRate(float64(params.rate), params.customers, h.duration(latencyWindowLength), uint64(i+2))
			windows = append(windows, observed.join(requests, clockOffset))
		}
		return nil
	})
	return windows, err
}

// observations holds what the stand-ins saw: the requests at servers by request id, and the calls to the counter by
// the name on which they count.
type observations struct {
	mutex   sync.Mutex
	handled map[string]emulator.ServedCommand
	calls   map[uint64][]emulator.CounterCall
}

func newObservations() *observations {
	o := &observations{}
	o.clear()
	return o
}

func (o *observations) clear() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.handled = map[string]emulator.ServedCommand{}
	o.calls = map[uint64][]emulator.CounterCall{}
}

func (o *observations) addHandled(observation emulator.ServedCommand) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.handled[observation.ID] = observation
}

func (o *observations) addCall(call emulator.CounterCall) {
	name, err := strconv.ParseUint(call.Name, 10, 64)
	if err != nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.calls[name] = append(o.calls[name], call)
}

// counterWindow is the length in nanoseconds of a customer's counting windows at the counter under this lab's
// settings.
const counterWindow = int64(30e9)

// join matches each request with its call to the counter and its execution at a server, and computes the latencies.
// clockOffset is the limiters' clock minus the run's clock, in nanoseconds.
func (o *observations) join(requests []requestResult, clockOffset int64) (w latencyWindow) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	slices.SortFunc(requests, func(a, b requestResult) int { return int(a.sentAt - b.sentAt) })
	for _, request := range requests {
		server, handled := o.handled[request.id]
		call, counted := o.counterCall(request, clockOffset, server.Read)
		if request.firstByte != '$' || !handled || !counted {
			w.excluded++
			continue
		}
		if server.First {
			w.connected++
		}
		w.add(request, call, server)
	}
	return w
}

// counterCall finds the call to the counter that was made for a request: a call on one of its customer's names, after
// the client sent the request and before the server read it.
func (o *observations) counterCall(request requestResult, clockOffset, serverRead int64) (emulator.CounterCall, bool) {
	for _, at := range []int64{request.sentAt, serverRead} {
		for _, tally := range o.calls[countName(request.customer, at+clockOffset, counterWindow)] {
			if tally.Read >= request.sentAt && tally.Answered <= serverRead {
				return tally, true
			}
		}
	}
	return emulator.CounterCall{}, false
}

// add appends one request's latencies.
func (w *latencyWindow) add(request requestResult, tally emulator.CounterCall, server emulator.ServedCommand) {
	ms := func(from, to int64) float64 { return float64(to-from) / 1e6 }
	w.parts[toCounter] = append(w.parts[toCounter], ms(request.sentAt, tally.Read))
	w.parts[atCounter] = append(w.parts[atCounter], ms(tally.Read, tally.Answered))
	part := toServer
	if server.First {
		part = toServerNewConn
	}
	w.parts[part] = append(w.parts[part], ms(tally.Answered, server.Read))
	w.parts[backToClient] = append(w.parts[backToClient], ms(server.Answered, request.answeredAt))
	w.added = append(w.added, ms(request.sentAt, request.answeredAt)-ms(server.Read, server.Answered))
}

// reportLatency adds the series of the parts and of their sum to the report.
func (h *Harness) reportLatency(over string, results []latencyResult) {
	var excluded []Point
	for _, result := range results {
		p := Point{X: result.x}
		for _, w := range result.windows {
			p.Samples = append(p.Samples, 100*float64(w.excluded)/float64(max(1, w.excluded+len(w.added))))
		}
		excluded = append(excluded, p)
	}
	h.addSeries(Series{Experiment: "latency", Quantity: "requests left out", Unit: "%", Over: over, Points: excluded,
		Note: "not served, or no call of theirs found at the counter"})
	for _, level := range []struct {
		name string
		of   float64
	}{{"median", 0.5}, {"p99", 0.99}} {
		points := quantilePoints(results, func(w latencyWindow) []float64 { return w.added }, level.of)
		h.addSeries(Series{Experiment: "latency", Quantity: "added, " + level.name, Unit: "ms", Over: over, Points: points,
			Mechanism: "the sum of the parts", Note: exclusionNote(results)})
		for i, name := range partNames {
			points := quantilePoints(results, func(w latencyWindow) []float64 { return w.parts[i] }, level.of)
			h.addSeries(
				Series{Experiment: "latency", Quantity: name + ", " + level.name, Unit: "ms", Over: over, Points: points,
					Mechanism: partMechanisms[i]},
			)
		}
	}
}

// quantilePoints returns a quantile of some latencies at each size, one sample per window.
func quantilePoints(results []latencyResult, times func(latencyWindow) []float64, level float64) (points []Point) {
	for _, result := range results {
		p := Point{X: result.x}
		for _, w := range result.windows {
			if sorted := slices.Sorted(slices.Values(times(w))); len(sorted) > 0 {
				p.Samples = append(p.Samples, quantile(sorted, level))
			}
		}
		if len(p.Samples) > 0 {
			points = append(points, p)
		}
	}
	return points
}

// exclusionNote states how many requests the figures exclude, and how many opened a connection.
func exclusionNote(results []latencyResult) string {
	requests := 0
	excluded := 0
	connected := 0
	for _, result := range results {
		for _, w := range result.windows {
			requests += len(w.added) + w.excluded
			excluded += w.excluded
			connected += w.connected
		}
	}
	return fmt.Sprintf(
		"%d requests, %d left out (not served or no call found), %d on a new connection",
		requests,
		excluded,
		connected,
	)
}

// latencyFloor measures the lab's own share: clients that send directly to a server, without a limiter.
func (h *Harness) latencyFloor() error {
	observed := newObservations()
	s, err := newStandIns(standInsSpec{limiters: 1, servers: 1, serviceTime: 2 * time.Millisecond,
		onHandled: observed.addHandled})
	if err != nil {
		return err
	}
	defer s.close()
	pool := newClientPool(s.clock, s.servers[0].Address())
	defer pool.close()
	var median, p99 []float64
	for i := range h.sampleCount() {
		observed.clear()
		var added []float64
		for _, request := range pool.sendAtRate(124, requestCustomers, h.duration(latencyWindowLength), uint64(i+2)) {
			if server, ok := observed.handled[request.id]; ok {
				added = append(added, float64(request.answeredAt-request.sentAt-(server.Answered-server.Read))/1e6)
			}
		}
		slices.Sort(added)
		median, p99 = append(median, quantile(added, 0.5)), append(p99, quantile(added, 0.99))
	}
	note := "clients send to a server with nothing between: what the lab and the machine add themselves"
	h.addFigure(Series{Experiment: "latency", Quantity: "the lab's own, median", Unit: "ms", Note: note}, median...)
	h.addFigure(Series{Experiment: "latency", Quantity: "the lab's own, p99", Unit: "ms", Note: note}, p99...)
	return nil
}
