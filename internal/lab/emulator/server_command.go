package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

// This file executes one command of a server.

// request is a parsed request command.
type request struct {
	command, customer, id, class, key string
	units                             float64
	timeLeft                          time.Duration // how much longer the client waits
}

// parseRequest parses the words of a SVC.QUERY or SVC.SUBMIT command. The error's text is sent to the client.
func parseRequest(words [][]byte) (request, error) {
	if len(words) < 4 {
		return request{}, errors.New("too few words")
	}
	r := request{command: string(words[0]), customer: string(words[1]), id: string(words[2])}
	if r.command == "SVC.SUBMIT" && len(words) != 5 || r.command == "SVC.QUERY" && len(words) != 4 {
		return request{}, fmt.Errorf("%s with %d words", r.command, len(words))
	}
	for _, pair := range bytes.Split(words[3], []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			r.class = string(value)
		case "k":
			r.key = string(value)
		case "units":
			r.units, _ = strconv.ParseFloat(string(value), 64)
		case "d":
			ms, _ := strconv.ParseFloat(string(value), 64)
			r.timeLeft = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return r, nil
}

// reply is the answer to one command.
type reply struct {
	text  []byte // encoded, may be empty
	reset bool   // whether the connection is reset after text
	id    string // of the executed request; empty for all other answers
	read  int64  // when the request's command had been read, nanoseconds on the run's clock
}

// recentRequests is the approximate number of requests that the load report's recent_ms averages over.
const recentRequests = 16

// command executes one command and sends its reply to answer. A request that the server accepts runs until it is done.
// With overConnLimit every command gets -BUSY.
func (s *Server) command(words [][]byte, answer chan reply, overConnLimit bool) {
	verb := string(words[0])
	if overConnLimit {
		answer <- reply{text: []byte("-BUSY\r\n")}
		return
	}
	if verb == "CLIENT" || verb == "SELECT" {
		answer <- reply{text: []byte("+OK\r\n")}
		return
	}
	if verb != "SVC.QUERY" && verb != "SVC.SUBMIT" {
		answer <- reply{text: []byte("-ERR unknown command\r\n")}
		return
	}
	r, err := parseRequest(words)
	if err != nil {
		answer <- reply{text: []byte("-SYNTAX " + err.Error() + "\r\n")}
		return
	}
	s.handleRequest(r, answer)
}

// handleRequest executes a request, rejects it under a "busy" fault, or answers a duplicate without executing it.
func (s *Server) handleRequest(r request, answer chan reply) {
	now := s.clock.Now()
	s.mu.Lock()
	fault, _ := activeFault(s.spec.Script, now, s.rng.Float64())
	work := time.Duration(s.rng.ExpFloat64() * float64(s.spec.Work))
	capacity, cold := s.capacityAt(now)
	overloaded := cold && float64(s.inFlight+1) > capacity
	crash, crashes := s.crashesUnderLoad(now, r.id, capacity, cold)
	s.mu.Unlock()
	if crashes {
		s.recorder.AddOverloadCrash(crash)
	}
	attempt := history.Attempt{Server: s.spec.Name, Group: s.spec.Zone, ID: r.id, Customer: r.customer, Class: r.class,
		Key: r.key, Units: r.units, At: now, MayHaveRun: true, Overloaded: overloaded, TimeLeft: int64(r.timeLeft)}
	if fault.Kind == "busy" {
		attempt.MayHaveRun = false
		attempt.Answer = "busy"
		s.recorder.AddAttempt(attempt)
		answer <- reply{text: []byte("-BUSY\r\n")}
		return
	}
	if r.key != "" && s.deduplication != nil && s.deduplication.seenBefore(r.key, now) {
		attempt.MayHaveRun = false
		attempt.Answer = "repeat"
		s.recorder.AddAttempt(attempt)
		answer <- reply{text: s.servedAnswer(r)}
		return
	}
	if overloaded {
		work *= coldWorkFactor
	}
	s.run(r, attempt, work, fault, answer)
}

// run executes a request for the service time work and answers it as fault requires. The zero Fault is none.
func (s *Server) run(r request, attempt history.Attempt, work time.Duration, fault Fault, answer chan reply) {
	s.addInFlight(1)
	defer s.addInFlight(-1)
	switch fault.Kind {
	case "slow":
		work = time.Duration(float64(work) * fault.Factor)
	case "silent":
		attempt.Answer = "silent"
		s.recorder.AddAttempt(attempt)
		return // without a reply, the connection gets no further answers
	case "reset":
		attempt.Answer = "reset"
		s.recorder.AddAttempt(attempt)
		answer <- reply{reset: true}
		return
	}
	attempt.Answer = "done"
	if result := map[string]string{"spoil": "spoilt", "error": "error", "cut": "cut"}[fault.Kind]; result != "" {
		attempt.Answer = result
	}
	attempt.ServiceTime = int64(work)
	s.recorder.AddAttempt(attempt) // recorded before it runs, so that a stop meanwhile leaves it as possibly executed
	s.acquireSlot()
	defer s.releaseSlot()
	time.Sleep(work)
	s.recordDone(work)
	switch attempt.Answer {
	case "spoilt":
		answer <- reply{text: []byte(":" + strconv.Itoa(int(math.Mod(float64(attempt.At), 1000))) + "\r\n")}
	case "error":
		answer <- reply{text: []byte("-ERR failed\r\n")}
	case "cut":
		full := s.servedAnswer(r)
		answer <- reply{text: full[:len(full)/2], reset: true}
	default:
		answer <- reply{text: s.servedAnswer(r), id: r.id, read: attempt.At}
	}
}

// acquireSlot waits until a slot is free, if the number of slots is limited.
func (s *Server) acquireSlot() {
	if s.slots == nil {
		return
	}
	s.addWaiting(1)
	s.slots <- struct{}{}
	s.addWaiting(-1)
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// recordDone adds a completed request to the figures of the load report.
func (s *Server) recordDone(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed++
	s.meanServiceSeconds += (took.Seconds() - s.meanServiceSeconds) / recentRequests
}

func (s *Server) addInFlight(delta int) {
	s.mu.Lock()
	s.inFlight += delta
	s.mu.Unlock()
}

func (s *Server) addWaiting(delta int) {
	s.mu.Lock()
	s.waiting += delta
	s.mu.Unlock()
}

// servedAnswer encodes the answer to an executed request: its value, a null in place of the usage figures, and the load
// report or a null.
func (s *Server) servedAnswer(r request) []byte {
	out := resp.AppendBulk([]byte("*3\r\n"), []byte(s.spec.Name+" did "+r.id))
	out = append(out, "$-1\r\n"...)
	if !s.spec.Report {
		return append(out, "$-1\r\n"...)
	}
	s.mu.Lock()
	throughput := float64(s.completed) / max(0.1, float64(s.clock.Now()-s.started)/1e9)
	text := fmt.Sprintf("backlog=%d,throughput=%.4f,recent_ms=%.4f", s.waiting, throughput, s.meanServiceSeconds*1e3)
	s.mu.Unlock()
	return resp.AppendBulk(out, []byte(text))
}
