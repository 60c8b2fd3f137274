package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

// Deduplication is a group's table of fingerprints seen, shared by the servers that drop repeated fingerprinted
// requests.
type Deduplication struct {
	mu     sync.Mutex
	window int64
	seen   map[string]int64 // fingerprint -> when it lapses
}

// NewDeduplication makes a table that keeps a fingerprint for window nanoseconds.
func NewDeduplication(window int64) *Deduplication {
	return &Deduplication{window: window, seen: map[string]int64{}}
}

// seenBefore notes key at now and says whether it was held already.
func (r *Deduplication) seenBefore(key string, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, held := r.seen[key]; held && now < until {
		return true
	}
	r.seen[key] = now + r.window
	return false
}

// ServerSpec is what a stand-in server is: its name, zone, work time and what it bears.
type ServerSpec struct {
	Name       string
	Zone       string
	Work       time.Duration // mean time a request takes, drawn exponentially
	Capacity   int           // requests at once that a warm server bears
	ColdFrom   float64       // share of Capacity it bears just after a start
	WarmWithin time.Duration // time from a start to full capacity
	Report     bool          // answers bring a load report
	Conns      int           // connections that it serves, others are told that it is busy; 0 for any number
	Slots      int           // requests that it does at a time, others wait their turn; 0 for any number
	Warm       bool          // its first start was long before the run
	Fall       time.Duration // a cold one falls by what it is sent within so long; 0 for never
	Script     []Fault
	Seed       uint64
}

// Server is one RESP2 server on a loopback port.
type Server struct {
	spec    ServerSpec
	clock   *history.Clock
	book    *history.Recorder
	repeats *Deduplication

	port
	rng       *rand.Rand
	started   int64
	warm      bool // started long before the run
	inflight  int
	slots     chan struct{} // nil for any number
	waiting   int
	done      int
	window    []int64 // times of the commands that count for a fall
	windowIDs []string
	fallen    bool
	recent    float64 // fading mean of the seconds that requests took
	seen      func(Handled)
}

// Handled is one command that was answered; times are nanoseconds on the run's clock.
type Handled struct {
	ID       string
	Read     int64 // when the command had been read whole
	Answered int64 // just before the answer was written
	First    bool  // it was the first on its connection
}

// Observe has each answered command told to seen, on the goroutine of its connection; to be set before Start.
func (s *Server) Observe(seen func(Handled)) { s.seen = seen }

// NewServer makes a server that writes its attempts in book; repeats may be nil where its group drops none.
func NewServer(spec ServerSpec, clock *history.Clock, book *history.Recorder, repeats *Deduplication) *Server {
	if spec.Capacity <= 0 {
		spec.Capacity = 64
	}
	var slots chan struct{}
	if spec.Slots > 0 {
		slots = make(chan struct{}, spec.Slots)
	}
	return &Server{slots: slots, spec: spec, clock: clock, book: book, repeats: repeats,
		rng: rand.New(rand.NewPCG(spec.Seed, 0x5e))}
}

// Name is the server's instance id.
func (s *Server) Name() string { return s.spec.Name }

// Zone is the server's zone.
func (s *Server) Zone() string { return s.spec.Zone }

// Address is where it listens, once started.
func (s *Server) Address() string { return s.where() }

// Started is the run's time of its last start, in nanoseconds; known is false where that was long before the run.
func (s *Server) Started() (at int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, !s.warm
}

// Start listens on the port kept for it; it begins cold, but for the first start of one that is warm.
func (s *Server) Start() error {
	s.mu.Lock()
	s.warm = s.spec.Warm
	s.spec.Warm = false // a further start is cold
	s.started = s.clock.Now()
	s.window = nil
	s.windowIDs = nil
	s.fallen = false
	s.mu.Unlock()
	return s.open(s.serve)
}

// Stop ends the process as a crash would: the port refuses and every connection is reset. Close ends it for good.
func (s *Server) Stop() { s.shut() }

// Close ends the server and gives its port up.
func (s *Server) Close() { s.release() }

// falls notes a command at now and tells whether a cold server falls by it, the first time since its start: within
// Fall it got more than N + 3*root of N + 3 commands, N being what it bears then. By Little's law a server that bears
// b requests at once, each of the mean work, bears b * Fall / work in that time.
func (s *Server) falls(now int64, id string, bear float64, cold bool) (history.OverloadCrash, bool) {
	if s.spec.Fall <= 0 || s.spec.Work <= 0 || !cold || s.fallen {
		return history.OverloadCrash{}, false
	}
	s.window, s.windowIDs = append(s.window, now), append(s.windowIDs, id)
	for s.window[0] <= now-int64(s.spec.Fall) {
		s.window, s.windowIDs = s.window[1:], s.windowIDs[1:]
	}
	n := bear * float64(s.spec.Fall) / float64(s.spec.Work)
	s.fallen = float64(len(s.window)) > n+3*math.Sqrt(n)+3
	return history.OverloadCrash{
		Server:   s.spec.Name,
		At:       now,
		Requests: slices.Clone(s.windowIDs),
		Capacity: n,
	}, s.fallen
}

// serve reads commands and begins each at once; answers go back in the order of the commands.
func (s *Server) serve(c net.Conn) {
	s.book.AddHandshake(s.spec.Name, s.clock.Now())
	done := make(chan struct{})
	answers := make(chan chan reply, 256)
	go func() {
		defer func() { _ = c.Close() }()
		first := true
		for {
			select {
			case <-done:
				return
			case next := <-answers:
				select {
				case <-done:
					return
				case r := <-next:
					if s.seen != nil && r.id != "" {
						s.seen(Handled{ID: r.id, Read: r.read, Answered: s.clock.Now(), First: first})
						first = false
					}
					if _, err := c.Write(r.text); err != nil {
						return
					}
					if r.reset {
						reset(c)
						return
					}
				}
			}
		}
	}()
	defer close(done)
	s.mu.Lock()
	full := s.spec.Conns > 0 && len(s.conns) > s.spec.Conns
	s.mu.Unlock()
	err := Commands(c, func(words [][]byte) bool {
		slot := make(chan reply, 1)
		select {
		case answers <- slot:
		case <-done:
			return false
		}
		go s.command(words, slot, full)
		return true
	})
	if err != nil {
		_, _ = c.Write([]byte("-SYNTAX " + err.Error() + "\r\n"))
	}
}

// request is what a server reads of a request's command.
type job struct {
	verb, customer, id, track, key string
	units                          float64
	wait                           time.Duration
}

func parse(words [][]byte) (job, error) {
	if len(words) < 4 {
		return job{}, errors.New("too few words")
	}
	j := job{verb: string(words[0]), customer: string(words[1]), id: string(words[2])}
	if j.verb == "SVC.SUBMIT" && len(words) != 5 || j.verb == "SVC.QUERY" && len(words) != 4 {
		return job{}, fmt.Errorf("%s with %d words", j.verb, len(words))
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

// bearable is how many requests at once the server bears at now, and whether it is still cold.
func (s *Server) bearable(now int64) (float64, bool) {
	since := float64(now-s.started) / float64(s.spec.WarmWithin)
	if s.warm || s.spec.WarmWithin <= 0 || since >= 1 {
		return float64(s.spec.Capacity), false
	}
	from := s.spec.ColdFrom
	return float64(s.spec.Capacity) * (from + (1-from)*since), true
}

// reply is what a command's slot gets: bytes to write, and whether the connection is reset after them.
type reply struct {
	text  []byte
	reset bool
	id    string // of the request that was served; empty for any other answer
	read  int64  // when its command had been read
}

// coldWorkFactor is how much longer a request takes at a cold server that has more in work than it bears.
const coldWorkFactor = 4

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
func (s *Server) handleRequest(j job, slots chan reply) {
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
		Key: j.key, Units: j.units, At: now, MayHaveRun: true, Overloaded: overrun}
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
func (s *Server) run(j job, attempt history.Attempt, work time.Duration, fault Fault, slots chan reply) {
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
func (s *Server) value(j job) []byte {
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
