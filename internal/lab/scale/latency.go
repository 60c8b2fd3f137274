package scale

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"ospreycroft/internal/lab/emulator"
)

// latency takes apart what a limiter adds to a request, over load.
func (h *Harness) latency() error {
	var all []leg
	for _, rate := range h.sizes([]int{60, 120}, []int{62, 124, 250, 500}) {
		one, err := h.legs(
			legSize{servers: h.sizes([]int{200}, []int{Servers})[0], rate: rate, customers: requestCustomers},
		)
		if err != nil {
			return err
		}
		all = append(all, leg{float64(rate), one})
	}
	h.reportLegs("requests/s", all)
	return h.latencyFloor()
}

// latencySizes takes it apart over servers and over customers, at the size's even load.
func (h *Harness) latencySizes() error {
	const rate = 124
	var all []leg
	for _, servers := range h.sizes([]int{20, 200}, []int{20, 1000, Servers}) {
		one, err := h.legs(legSize{servers: servers, rate: rate, customers: requestCustomers})
		if err != nil {
			return err
		}
		all = append(all, leg{float64(servers), one})
	}
	h.reportLegs("servers", all)
	all = nil
	for _, customers := range h.sizes([]int{50, 500}, []int{requestCustomers, 5000, Tenants}) {
		one, err := h.legs(legSize{servers: 1000, rate: rate, customers: customers, seen: true})
		if err != nil {
			return err
		}
		all = append(all, leg{float64(customers), one})
	}
	h.reportLegs("customers", all)
	return nil
}

// legSize is what one measurement is taken at.
type legSize struct {
	servers, rate, customers int
	seen                     bool // all customers have been seen before
}

// leg is all samples at one size; each sample is one window.
type leg struct {
	x       float64
	windows []window
}

// window is what became of the requests of one window.
type window struct {
	parts     [partsOfRequest][]float64 // ms, in the order of requests
	added     []float64
	connected int // requests for which a new connection to a server came up
	lost      int // requests that were not served, or not found at the counter
}

// The parts of what a limiter adds.
const (
	toCounter = iota
	atCounter
	toServer
	toServerNew
	backToClient
	partsOfRequest
)

var partNames = [partsOfRequest]string{
	"client's write until the counter has the call", "at the counter",
	"counter's answer until the server has the request, kept connection",
	"the same, new connection", "server's answer until the client has it",
}

var partMechanisms = [partsOfRequest]string{
	"poller.go pull and post, the reducer's queue, choice.go Request (able) and reserve, counter.go write",
	"the counter's own round: emulator counter.go serve",
	"poller, choice.go Counted and place (pick, able), servers.go use, sockets write",
	"the same and dial.go: a connection comes up",
	"poller, servers.go read, choice.go Answer, clients.go flush, sockets write",
}

// legWindow is how long requests are sent for one sample.
const legWindow = 5 * time.Second

// legs measures the parts at one size.
func (h *Harness) legs(size legSize) (windows []window, err error) {
	marks := newMarks()
	spec := standsSpec{
		limiters: 1,
		servers:  size.servers,
		work:     2 * time.Millisecond,
		tallied:  marks.tallied,
		handled:  marks.handled,
	}
	err = h.withReal(spec, func(s *stands, l *realLimiter) error {
		c := newClients(s.clock, l.address)
		defer c.close()
		if size.seen {
			c.each(size.customers, togetherSeen)
		}
		c.open(float64(size.rate), size.customers, h.window(2*time.Second), 1)
		offset := time.Now().UnixNano() - s.clock.Now()
		for i := range h.samples() {
			marks.clear()
			sent := c.open(float64(size.rate), size.customers, h.window(legWindow), uint64(i+2))
			windows = append(windows, marks.window(sent, offset))
		}
		return nil
	})
	return windows, err
}

// marks are what the stand-ins saw, by request and by the counts' names.
type marks struct {
	mutex  sync.Mutex
	served map[string]emulator.Handled
	counts map[uint64][]emulator.Tally
}

func newMarks() *marks {
	m := &marks{}
	m.clear()
	return m
}

func (m *marks) clear() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.served = map[string]emulator.Handled{}
	m.counts = map[uint64][]emulator.Tally{}
}

func (m *marks) handled(one emulator.Handled) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.served[one.ID] = one
}

func (m *marks) tallied(one emulator.Tally) {
	name, err := strconv.ParseUint(one.Name, 10, 64)
	if err != nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counts[name] = append(m.counts[name], one)
}

// countSpan is the length of a customer's windows on the counter with the settings of this lab.
const countSpan = int64(30e9)

// window joins what clients and stand-ins saw of each request; offset is what a limiter's clock is ahead of the run's.
func (m *marks) window(all []sent, offset int64) (w window) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slices.SortFunc(all, func(a, b sent) int { return int(a.began - b.began) })
	for _, one := range all {
		server, handled := m.served[one.id]
		count, counted := m.call(one, offset, server.Read)
		if one.answer != '$' || !handled || !counted {
			w.lost++
			continue
		}
		if server.First {
			w.connected++
		}
		w.take(one, count, server)
	}
	return w
}

// call finds the call to the counter that was made for a request: on a name of its customer, between its begin and its
// server's.
func (m *marks) call(one sent, offset, before int64) (emulator.Tally, bool) {
	for _, at := range []int64{one.began, before} {
		for _, t := range m.counts[countName(one.customer, at+offset, countSpan)] {
			if t.Read >= one.began && t.Answered <= before {
				return t, true
			}
		}
	}
	return emulator.Tally{}, false
}

// take adds one request's times.
func (w *window) take(one sent, count emulator.Tally, server emulator.Handled) {
	ms := func(from, to int64) float64 { return float64(to-from) / 1e6 }
	w.parts[toCounter] = append(w.parts[toCounter], ms(one.began, count.Read))
	w.parts[atCounter] = append(w.parts[atCounter], ms(count.Read, count.Answered))
	way := toServer
	if server.First {
		way = toServerNew
	}
	w.parts[way] = append(w.parts[way], ms(count.Answered, server.Read))
	w.parts[backToClient] = append(w.parts[backToClient], ms(server.Answered, one.answered))
	w.added = append(w.added, ms(one.began, one.answered)-ms(server.Read, server.Answered))
}

// reportLegs adds the series of the parts and of their sum.
func (h *Harness) reportLegs(over string, all []leg) {
	var left []Point
	for _, one := range all {
		p := Point{X: one.x}
		for _, w := range one.windows {
			p.Samples = append(p.Samples, 100*float64(w.lost)/float64(max(1, w.lost+len(w.added))))
		}
		left = append(left, p)
	}
	h.add(Series{Experiment: "latency", Quantity: "requests left out", Unit: "%", Over: over, Points: left,
		Note: "not served, or no call of theirs found at the counter"})
	for _, part := range []struct {
		name string
		of   float64
	}{{"median", 0.5}, {"p99", 0.99}} {
		points := pointsOf(all, func(w window) []float64 { return w.added }, part.of)
		h.add(Series{Experiment: "latency", Quantity: "added, " + part.name, Unit: "ms", Over: over, Points: points,
			Mechanism: "the sum of the parts", Note: lostNote(all)})
		for i, name := range partNames {
			points := pointsOf(all, func(w window) []float64 { return w.parts[i] }, part.of)
			h.add(
				Series{Experiment: "latency", Quantity: name + ", " + part.name, Unit: "ms", Over: over, Points: points,
					Mechanism: partMechanisms[i]},
			)
		}
	}
}

// pointsOf are a quantile of some times at each size, one sample a window.
func pointsOf(all []leg, times func(window) []float64, of float64) (points []Point) {
	for _, one := range all {
		p := Point{X: one.x}
		for _, w := range one.windows {
			if sorted := slices.Sorted(slices.Values(times(w))); len(sorted) > 0 {
				p.Samples = append(p.Samples, quantile(sorted, of))
			}
		}
		if len(p.Samples) > 0 {
			points = append(points, p)
		}
	}
	return points
}

// lostNote tells how many requests the figures leave out, and how many opened a connection.
func lostNote(all []leg) string {
	requests := 0
	lost := 0
	connected := 0
	for _, one := range all {
		for _, w := range one.windows {
			requests += len(w.added) + w.lost
			lost += w.lost
			connected += w.connected
		}
	}
	return fmt.Sprintf(
		"%d requests, %d left out (not served or no call found), %d on a new connection",
		requests,
		lost,
		connected,
	)
}

// latencyFloor measures the lab itself: clients that send to a server with nothing between.
func (h *Harness) latencyFloor() error {
	marks := newMarks()
	s, err := newStands(standsSpec{limiters: 1, servers: 1, work: 2 * time.Millisecond, handled: marks.handled})
	if err != nil {
		return err
	}
	defer s.close()
	c := newClients(s.clock, s.servers[0].Address())
	defer c.close()
	var median, p99 []float64
	for i := range h.samples() {
		marks.clear()
		var added []float64
		for _, one := range c.open(124, requestCustomers, h.window(legWindow), uint64(i+2)) {
			if server, ok := marks.served[one.id]; ok {
				added = append(added, float64(one.answered-one.began-(server.Answered-server.Read))/1e6)
			}
		}
		slices.Sort(added)
		median, p99 = append(median, quantile(added, 0.5)), append(p99, quantile(added, 0.99))
	}
	note := "clients send to a server with nothing between: what the lab and the machine add themselves"
	h.figure(Series{Experiment: "latency", Quantity: "the lab's own, median", Unit: "ms", Note: note}, median...)
	h.figure(Series{Experiment: "latency", Quantity: "the lab's own, p99", Unit: "ms", Note: note}, p99...)
	return nil
}
