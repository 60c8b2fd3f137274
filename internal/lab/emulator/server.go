package emulator

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"ospreycroft/internal/lab/history"
)

// Deduplication is a group's table of fingerprints seen, shared by the servers that drop repeated fingerprinted
// requests.
type Deduplication struct {
	mu        sync.Mutex
	window    int64
	expiresAt map[string]int64 // fingerprint -> when it lapses
}

// NewDeduplication makes a table that keeps a fingerprint for window nanoseconds.
func NewDeduplication(window int64) *Deduplication {
	return &Deduplication{window: window, expiresAt: map[string]int64{}}
}

// seenBefore notes key at now and says whether it was held already.
func (r *Deduplication) seenBefore(key string, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, present := r.expiresAt[key]; present && now < until {
		return true
	}
	r.expiresAt[key] = now + r.window
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
	spec          ServerSpec
	clock         *history.Clock
	recorder      *history.Recorder
	deduplication *Deduplication

	port
	rng                *rand.Rand
	started            int64
	warm               bool // started long before the run
	inFlight           int
	slots              chan struct{} // nil for any number
	waiting            int
	completed          int
	arrivals           []int64 // times of the commands that count for a fall
	arrivalIDs         []string
	crashed            bool
	meanServiceSeconds float64 // fading mean of the seconds that requests took
	observer           func(Handled)
}

// Handled is one command that was answered; times are nanoseconds on the run's clock.
type Handled struct {
	ID       string
	Read     int64 // when the command had been read whole
	Answered int64 // just before the answer was written
	First    bool  // it was the first on its connection
}

// Observe has each answered command told to seen, on the goroutine of its connection; to be set before Start.
func (s *Server) Observe(observer func(Handled)) { s.observer = observer }

// NewServer makes a server that writes its attempts in book; repeats may be nil where its group drops none.
func NewServer(
	spec ServerSpec, clock *history.Clock, recorder *history.Recorder, deduplication *Deduplication,
) *Server {
	if spec.Capacity <= 0 {
		spec.Capacity = 64
	}
	var slots chan struct{}
	if spec.Slots > 0 {
		slots = make(chan struct{}, spec.Slots)
	}
	return &Server{slots: slots, spec: spec, clock: clock, recorder: recorder, deduplication: deduplication,
		rng: rand.New(rand.NewPCG(spec.Seed, 0x5e))}
}

// Name is the server's instance id.
func (s *Server) Name() string { return s.spec.Name }

// Zone is the server's zone.
func (s *Server) Zone() string { return s.spec.Zone }

// Address is where it listens, once started.
func (s *Server) Address() string { return s.address() }

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
	s.arrivals = nil
	s.arrivalIDs = nil
	s.crashed = false
	s.mu.Unlock()
	return s.open(s.serve)
}

// Stop ends the process as a crash would: the port refuses and every connection is reset. Close ends it for good.
func (s *Server) Stop() { s.stop() }

// Close ends the server and gives its port up.
func (s *Server) Close() { s.close() }

// serve reads commands and begins each at once; answers go back in the order of the commands.
func (s *Server) serve(c net.Conn) {
	s.recorder.AddHandshake(s.spec.Name, s.clock.Now())
	done := make(chan struct{})
	pending := make(chan chan reply, 256)
	go func() {
		defer func() { _ = c.Close() }()
		first := true
		for {
			select {
			case <-done:
				return
			case next := <-pending:
				select {
				case <-done:
					return
				case r := <-next:
					if s.observer != nil && r.id != "" {
						s.observer(Handled{ID: r.id, Read: r.read, Answered: s.clock.Now(), First: first})
						first = false
					}
					if _, err := c.Write(r.text); err != nil {
						return
					}
					if r.reset {
						resetConn(c)
						return
					}
				}
			}
		}
	}()
	defer close(done)
	s.mu.Lock()
	overConnLimit := s.spec.Conns > 0 && len(s.conns) > s.spec.Conns
	s.mu.Unlock()
	err := Commands(c, func(words [][]byte) bool {
		answer := make(chan reply, 1)
		select {
		case pending <- answer:
		case <-done:
			return false
		}
		go s.command(words, answer, overConnLimit)
		return true
	})
	if err != nil {
		_, _ = c.Write([]byte("-SYNTAX " + err.Error() + "\r\n"))
	}
}
