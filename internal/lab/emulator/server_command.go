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

// This file is what a server does with one command.

// request is what a server reads of a request's command.
type request struct {
	verb, customer, id, track, key string
	units                          float64
	wait                           time.Duration
}

func parse(words [][]byte) (request, error) {
	if len(words) < 4 {
		return request{}, errors.New("too few words")
	}
	j := request{verb: string(words[0]), customer: string(words[1]), id: string(words[2])}
	if j.verb == "SVC.SUBMIT" && len(words) != 5 || j.verb == "SVC.QUERY" && len(words) != 4 {
		return request{}, fmt.Errorf("%s with %d words", j.verb, len(words))
	}
	for _, pair := range bytes.Split(words[3], []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			j.track = string(value)
		case "k":
			j.key = string(value)
		case "units":
			j.units, _ = strconv.ParseFloat(string(value), 64)
		case "d":
			ms, _ := strconv.ParseFloat(string(value), 64)
			j.wait = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return j, nil
}

// reply is what a command's slot gets: bytes to write, and whether the connection is reset after them.
type reply struct {
	text  []byte
	reset bool
	id    string // of the request that was served; empty for any other answer
	read  int64  // when its command had been read
}

// recentRequests is how many requests the load report's recent_ms reaches back, about.
const recentRequests = 16

// command answers one command into its slot. A command that the server takes runs here until it is done.
func (s *Server) command(words [][]byte, slots chan reply, full bool) {
	verb := string(words[0])
	if full {
		slots <- reply{text: []byte("-BUSY\r\n")}
		return
	}
	if verb == "CLIENT" || verb == "SELECT" {
		slots <- reply{text: []byte("+OK\r\n")}
		return
	}
	if verb != "SVC.QUERY" && verb != "SVC.SUBMIT" {
		slots <- reply{text: []byte("-ERR unknown command\r\n")}
		return
	}
	j, err := parse(words)
	if err != nil {
		slots <- reply{text: []byte("-SYNTAX " + err.Error() + "\r\n")}
		return
	}
	s.handleRequest(j, slots)
}

// handleRequest takes a request, turns it away or drops it as a repeat.
func (s *Server) handleRequest(j request, slots chan reply) {
	now := s.clock.Now()
	s.mu.Lock()
	fault, _ := active(s.spec.Script, now, s.rng.Float64())
	work := time.Duration(s.rng.ExpFloat64() * float64(s.spec.Work))
	bear, cold := s.bearable(now)
	overrun := cold && float64(s.inflight+1) > bear
	fall, falls := s.falls(now, j.id, bear, cold)
	s.mu.Unlock()
	if falls {
		s.book.AddOverloadCrash(fall)
	}
	attempt := history.Attempt{Server: s.spec.Name, Group: s.spec.Zone, ID: j.id, Customer: j.customer, Class: j.track,
		Key: j.key, Units: j.units, At: now, MayHaveRun: true, Overloaded: overrun, TimeLeft: int64(j.wait)}
	if fault.Kind == "busy" {
		attempt.MayHaveRun = false
		attempt.Answer = "busy"
		s.book.AddAttempt(attempt)
		slots <- reply{text: []byte("-BUSY\r\n")}
		return
	}
	if j.key != "" && s.repeats != nil && s.repeats.seenBefore(j.key, now) {
		attempt.MayHaveRun = false
		attempt.Answer = "repeat"
		s.book.AddAttempt(attempt)
		slots <- reply{text: s.value(j)}
		return
	}
	if overrun {
		work *= coldWorkFactor
	}
	s.run(j, attempt, work, fault, slots)
}

// run does a request's work under a fault, or under none, and answers as the fault says.
func (s *Server) run(j request, attempt history.Attempt, work time.Duration, fault Fault, slots chan reply) {
	s.addInFlight(1)
	defer s.addInFlight(-1)
	switch fault.Kind {
	case "slow":
		work = time.Duration(float64(work) * fault.Factor)
	case "silent":
		attempt.Answer = "silent"
		s.book.AddAttempt(attempt)
		return // the slot is never filled: the connection's answers stop here
	case "reset":
		attempt.Answer = "reset"
		s.book.AddAttempt(attempt)
		slots <- reply{reset: true}
		return
	}
	attempt.Answer = "done"
	if spoils := map[string]string{"spoil": "spoilt", "error": "error", "cut": "cut"}[fault.Kind]; spoils != "" {
		attempt.Answer = spoils
	}
	attempt.ServiceTime = int64(work)
	s.book.AddAttempt(attempt) // written as it begins, so that a stop in the middle still shows that it may have run
	s.acquireSlot()
	defer s.releaseSlot()
	time.Sleep(work)
	s.recordDone(work)
	switch attempt.Answer {
	case "spoilt":
		slots <- reply{text: []byte(":" + strconv.Itoa(int(math.Mod(float64(attempt.At), 1000))) + "\r\n")}
	case "error":
		slots <- reply{text: []byte("-ERR failed\r\n")}
	case "cut":
		whole := s.value(j)
		slots <- reply{text: whole[:len(whole)/2], reset: true}
	default:
		slots <- reply{text: s.value(j), id: j.id, read: attempt.At}
	}
}

// acquireSlot waits until the server does fewer requests than it has slots, where it has a number of them.
func (s *Server) acquireSlot() {
	if s.slots == nil {
		return
	}
	s.wait(1)
	s.slots <- struct{}{}
	s.wait(-1)
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// recordDone counts a request for the load report.
func (s *Server) recordDone(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done++
	s.recent += (took.Seconds() - s.recent) / recentRequests
}

func (s *Server) addInFlight(more int) {
	s.mu.Lock()
	s.inflight += more
	s.mu.Unlock()
}

func (s *Server) wait(more int) {
	s.mu.Lock()
	s.waiting += more
	s.mu.Unlock()
}

// value is a served answer: the value, no figures on use, and the load report where the server gives one.
func (s *Server) value(j request) []byte {
	out := resp.AppendBulk([]byte("*3\r\n"), []byte(s.spec.Name+" did "+j.id))
	out = append(out, "$-1\r\n"...)
	if !s.spec.Report {
		return append(out, "$-1\r\n"...)
	}
	s.mu.Lock()
	pace := float64(s.done) / max(0.1, float64(s.clock.Now()-s.started)/1e9)
	text := fmt.Sprintf("backlog=%d,throughput=%.4f,recent_ms=%.4f", s.waiting, pace, s.recent*1e3)
	s.mu.Unlock()
	return resp.AppendBulk(out, []byte(text))
}
