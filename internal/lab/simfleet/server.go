package simfleet

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/slowstart"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/resp"
)

// ServerSpec describes a server.
type ServerSpec struct {
	Name                string
	Zone                string // the servers of a zone share the keys that they deduplicate by
	ServiceTime         int64  // mean service time of a request on a warm server, in nanoseconds
	Slots               int    // requests that run concurrently
	Queue               int    // requests that may wait; further ones are rejected
	Conns               int    // connections that it serves, requests on further ones are rejected; 0 for no limit
	Report              bool   // answers carry a load report
	DeduplicationWindow int64  // how long its zone remembers an idempotency key, in nanoseconds; 0 for not at all
}

// longAgo is the start time of the servers that are warm when the run begins.
const longAgo = math.MinInt64 / 4

// server simulates a server. It runs commands concurrently and answers them in order on each connection.
type server struct {
	f               *Fleet
	spec            ServerSpec
	host            *host
	rng             *rand.Rand
	incarnation     int   // counts its processes
	started         int64 // when the current process started
	startVersion    int64 // the version of the endpoint list that announced the current process, 0 for none
	connections     int
	busySlots       int
	queue           []*task
	coldArrivals    []arrival // arrivals while it was cold, within the overload window
	dedupExpiry     map[string]int64
	completed       int
	meanServiceTime float64 // exponentially weighted mean of the service times, in seconds
	silent          bool
	slowFactor      float64 // multiplies service times; 0 for the usual time
	handshakes      []int   // connections that it accepted, by second
}

// arrival is the arrival of a command from a limiter, given by its index.
type arrival struct {
	at      int64
	limiter int
}

// serverConn is a connection from a limiter.
type serverConn struct {
	end       *connEnd
	received  []byte
	sent      int64 // when the first byte of received was written
	responses []*response
	overLimit bool
}

// response is the answer to a command; its text is nil until the command is done.
type response struct{ text []byte }

// task is a request that is queued or being served.
type task struct {
	conn        *serverConn
	response    *response
	id          string
	serviceTime int64
}

func (s *server) accept(end *connEnd) {
	second := int(s.f.q.now / 1e9)
	for len(s.handshakes) <= second {
		s.handshakes = append(s.handshakes, 0)
	}
	s.handshakes[second]++
	s.connections++
	end.data = &serverConn{end: end, overLimit: s.spec.Conns > 0 && s.connections > s.spec.Conns}
}

func (s *server) connected(*connEnd) {}

func (s *server) ended(*connEnd, limiter.CloseReason) { s.connections-- }

func (s *server) read(end *connEnd, data []byte, sent int64) {
	conn := end.data.(*serverConn)
	if len(conn.received) == 0 {
		conn.sent = sent
	}
	conn.received = append(conn.received, data...)
	for {
		words, n, err := resp.ReadCommand(conn.received, nil)
		if err != nil {
			s.f.recordFault("syntax", s.spec.Name, err.Error())
			end.close()
			s.connections--
			return
		}
		if n == 0 {
			return
		}
		reply := &response{}
		conn.responses = append(conn.responses, reply)
		s.handleCommand(words, conn, reply)
		if end.closed {
			return
		}
		conn.received, conn.sent = conn.received[n:], sent
	}
}

// answer sets the response to a command and writes the responses that are now complete in order.
func (s *server) answer(conn *serverConn, reply *response, text []byte) {
	reply.text = text
	var due []byte
	for len(conn.responses) > 0 && conn.responses[0].text != nil {
		due = append(due, conn.responses[0].text...)
		conn.responses = conn.responses[1:]
	}
	conn.end.write(due)
}

// warmth returns the server's current capacity as a share of its warm capacity, and whether it is cold.
func (s *server) warmth() (float64, bool) {
	settings := s.f.settings
	age := s.f.q.now - s.started
	if age >= settings.SlowStartWindow {
		return 1, false
	}
	return settings.ColdCapacity + (1-settings.ColdCapacity)*float64(age)/float64(settings.SlowStartWindow), true
}

// overloadLimit returns how many requests of mean work a server of this warmth may receive within the overload window.
// It includes slack for random bursts.
func (s *server) overloadLimit(warmth float64) float64 {
	o := &s.f.options
	warmRate := float64(s.spec.Slots) / (float64(s.spec.ServiceTime) / 1e9)
	return slowstart.Budget(o.OverloadMultiple * warmth * warmRate * float64(o.OverloadWindow) / 1e9)
}

// countColdArrival counts an arrival at a server while it is cold. At the first arrival above the limit the server
// crashes and stays down. The crash is blamed on the limiters if more than two thirds of the arrivals in the window
// came from limiters that were notified of the start.
func (s *server) countColdArrival(fromLimiter int) (crashes, blamed bool) {
	warmth, cold := s.warmth()
	now := s.f.q.now
	if !cold {
		s.coldArrivals = nil
		return false, false
	}
	s.coldArrivals = append(s.coldArrivals, arrival{now, fromLimiter})
	for s.coldArrivals[0].at <= now-s.f.options.OverloadWindow {
		s.coldArrivals = s.coldArrivals[1:]
	}
	if float64(len(s.coldArrivals)) <= s.overloadLimit(warmth) {
		return false, false
	}
	notified := 0
	for _, a := range s.coldArrivals {
		if s.startVersion > 0 && s.f.currentNotifiedAt(a.limiter, s.startVersion) <= a.at {
			notified++
		}
	}
	return true, 3*notified > 2*len(s.coldArrivals)
}

// requestField returns the value of a field in a request's parameter list, "" if it is missing.
func requestField(parameters []byte, name string) string {
	for _, pair := range bytes.Split(parameters, []byte(",")) {
		if n, v, _ := bytes.Cut(pair, []byte("=")); string(n) == name {
			return string(v)
		}
	}
	return ""
}

// handleCommand rejects a command, answers it at once or queues it, and records the attempt.
func (s *server) handleCommand(words [][]byte, conn *serverConn, reply *response) {
	verb := string(words[0])
	if verb == "CLIENT" || verb == "SELECT" {
		s.answer(conn, reply, []byte("+OK\r\n"))
		return
	}
	query := verb == "SVC.QUERY" && len(words) == 4
	if !query && (verb != "SVC.SUBMIT" || len(words) != 5) {
		s.f.recordFault("syntax", s.spec.Name, fmt.Sprintf("%s with %d words", verb, len(words)))
		s.answer(conn, reply, []byte("-SYNTAX\r\n"))
		return
	}
	f, now := s.f, s.f.q.now
	units, _ := strconv.ParseFloat(requestField(words[3], "units"), 64)
	attempt := history.Attempt{Server: s.spec.Name, Group: s.spec.Zone, ID: string(words[2]),
		Customer: string(words[1]), Class: requestField(words[3], "c"), Key: requestField(words[3], "k"),
		Units: units, At: now}
	fromLimiter, _ := f.limiterOnHost(conn.end.peer.host)
	crashes, blamed := s.countColdArrival(fromLimiter)
	if crashes {
		attempt.Overloaded = blamed
		attempt.Answer = "reset"
		f.recordAttempt(attempt, s, fromLimiter, conn.sent)
		f.recordEvent("fall", s.spec.Name, fmt.Sprintf("told=%v jobs=%d", blamed, len(s.coldArrivals)))
		f.overloadCrashes++
		f.net.kill(s.host)
		s.resetProcess()
		return
	}
	warmth, _ := s.warmth()
	switch {
	case conn.overLimit, s.busySlots >= s.spec.Slots && len(s.queue) >= s.spec.Queue:
		attempt.Answer = "busy"
		f.recordAttempt(attempt, s, fromLimiter, conn.sent)
		s.answer(conn, reply, []byte("-BUSY\r\n"))
		return
	case attempt.Key != "" && s.spec.DeduplicationWindow > 0 && s.isDuplicate(attempt.Key):
		attempt.Answer = "repeat"
		f.recordAttempt(attempt, s, fromLimiter, conn.sent)
		s.answer(conn, reply, s.successAnswer(attempt.ID))
		return
	case s.silent:
		attempt.MayHaveRun = true
		attempt.Answer = "silent"
		f.recordAttempt(attempt, s, fromLimiter, conn.sent)
		return
	}
	serviceTime := int64(s.rng.ExpFloat64() * float64(s.spec.ServiceTime) / warmth * max(s.slowFactor, 1))
	attempt.MayHaveRun = true
	attempt.Answer = "done"
	attempt.ServiceTime = serviceTime
	f.recordAttempt(attempt, s, fromLimiter, conn.sent)
	s.queue = append(s.queue, &task{conn: conn, response: reply, id: attempt.ID, serviceTime: serviceTime})
	s.startTasks()
}

// startTasks starts queued requests while there are free slots.
func (s *server) startTasks() {
	for s.busySlots < s.spec.Slots && len(s.queue) > 0 {
		t, incarnation := s.queue[0], s.incarnation
		s.queue = s.queue[1:]
		s.busySlots++
		s.f.q.at(s.f.q.now+t.serviceTime, func() {
			if incarnation != s.incarnation {
				return // the server's process has ended
			}
			s.busySlots--
			s.completed++
			s.meanServiceTime += (float64(t.serviceTime)/1e9 - s.meanServiceTime) / 16
			s.answer(t.conn, t.response, s.successAnswer(t.id))
			s.startTasks()
		})
	}
}

// isDuplicate reports whether the server's zone has seen an idempotency key, and remembers it if not.
func (s *server) isDuplicate(key string) bool {
	now := s.f.q.now
	if until, known := s.dedupExpiry[key]; known && now < until {
		return true
	}
	s.dedupExpiry[key] = now + s.spec.DeduplicationWindow
	return false
}

// successAnswer encodes a successful answer: the value, null for the usage report, and the load report or null.
func (s *server) successAnswer(id string) []byte {
	out := resp.AppendBulk([]byte("*3\r\n"), []byte(s.spec.Name+" did "+id))
	out = append(out, "$-1\r\n"...)
	if !s.spec.Report {
		return append(out, "$-1\r\n"...)
	}
	throughput := float64(s.completed) / max(0.1, float64(s.f.q.now-max(s.started, 0))/1e9)
	return resp.AppendBulk(
		out,
		fmt.Appendf(nil, "backlog=%d,throughput=%.4f,recent_ms=%.4f", len(s.queue), throughput, s.meanServiceTime*1e3),
	)
}

// resetProcess drops the state of a process that has ended.
func (s *server) resetProcess() {
	s.incarnation++
	s.connections = 0
	s.busySlots = 0
	s.queue = nil
	s.coldArrivals = nil
	s.completed = 0
	s.meanServiceTime = 0
}

// start starts a process that has been running since the given time, so that it is warm if that is long ago.
func (s *server) start(at int64) {
	s.resetProcess()
	s.started = at
	s.host.handler = s
	s.host.vanished = false
}
