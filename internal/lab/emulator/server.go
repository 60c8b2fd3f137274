package emulator

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"ospreycroft/internal/lab/history"
)

// Deduplication is the table of idempotency keys that the servers of one group share, so that the group executes a
// request with a key only once.
type Deduplication struct {
	mu        sync.Mutex
	window    int64            // how long a key is kept, in nanoseconds
	expiresAt map[string]int64 // by idempotency key, nanoseconds on the run's clock
}

// NewDeduplication returns an empty table that keeps each key for window nanoseconds.
func NewDeduplication(window int64) *Deduplication {
	return &Deduplication{window: window, expiresAt: map[string]int64{}}
}

// seenBefore reports whether the table has key at now, and adds it if not.
func (r *Deduplication) seenBefore(key string, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, present := r.expiresAt[key]; present && now < until {
		return true
	}
	r.expiresAt[key] = now + r.window
	return false
}

// ServerSpec configures an emulated server.
type ServerSpec struct {
	Name        string
	Zone        string
	Work        time.Duration // mean of the exponentially distributed service time
	Capacity    int           // concurrent requests that a warm server can take; 0 means 64
	ColdFrom    float64       // share of Capacity that it can take just after a start
	WarmWithin  time.Duration // time from a start to full capacity; 0 means that it is always warm
	Report      bool          // whether answers carry a load report
	MaxConns    int           // connections that it serves, commands on further ones get -BUSY; 0 means no limit
	Slots       int           // requests that it executes at a time, further ones wait; 0 means no limit
	Warm        bool          // its first start counts as long before the run
	CrashWindow time.Duration // window within which commands over its budget crash a cold server; 0 means never
	Script      []Fault
	Seed        uint64 // of the random service times and fault shares
}

// Server is an emulated RESP2 server on a loopback port.
type Server struct {
	spec          ServerSpec
	clock         *history.Clock
	recorder      *history.Recorder
	deduplication *Deduplication

	port
	rng                *rand.Rand
	started            int64 // nanoseconds on the run's clock
	warm               bool  // counts as started long before the run
	inFlight           int
	slots              chan struct{} // nil if the number is not limited
	waiting            int           // requests that wait for a slot
	completed          int
	arrivals           []int64  // times of the commands within the crash window, while cold
	arrivalIDs         []string // ids of the same commands
	crashed            bool     // since the last start
	meanServiceSeconds float64  // exponentially weighted mean of the service times
	observer           func(ServedCommand)
}

// ServedCommand is one request that was executed and answered. Times are nanoseconds on the run's clock.
type ServedCommand struct {
	ID       string
	Read     int64 // when the complete command had been read
	Answered int64 // just before the answer was written
	First    bool  // whether it is the first such request of its connection
}

// Observe makes the server pass each answered request to observer, on the goroutine of the request's connection. It
// must be called before Start.
func (s *Server) Observe(observer func(ServedCommand)) { s.observer = observer }

// NewServer returns a stopped server that records its attempts in recorder. With a nil deduplication, requests with a
// known idempotency key are executed again.
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

// Name returns the server's instance id.
func (s *Server) Name() string { return s.spec.Name }

// Zone returns the server's zone.
func (s *Server) Zone() string { return s.spec.Zone }

// Address returns the listening address; it is empty before the first Start.
func (s *Server) Address() string { return s.address() }

// Started returns the time of the last start, in nanoseconds on the run's clock. known is false if the server counts as
// started long before the run.
func (s *Server) Started() (at int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, !s.warm
}

// Start listens on the server's port. The server starts cold, except at the first start with ServerSpec.Warm.
func (s *Server) Start() error {
	s.mu.Lock()
	s.warm = s.spec.Warm
	s.spec.Warm = false // later starts are cold
	s.started = s.clock.Now()
	s.arrivals = nil
	s.arrivalIDs = nil
	s.crashed = false
	s.mu.Unlock()
	return s.open(s.serve)
}

// Stop ends the server as a crash does: new connections are refused and all open ones are reset. It can be started
// again.
func (s *Server) Stop() { s.stop() }

// Close stops the server and gives up its port.
func (s *Server) Close() { s.close() }

// serve reads the commands of a connection and starts each at once. Answers are written in the order of the commands.
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
						s.observer(ServedCommand{ID: r.id, Read: r.read, Answered: s.clock.Now(), First: first})
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
	overConnLimit := s.spec.MaxConns > 0 && len(s.conns) > s.spec.MaxConns
	s.mu.Unlock()
	err := ReadCommands(c, func(words [][]byte) bool {
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
