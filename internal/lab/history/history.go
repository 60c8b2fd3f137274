// Package history holds what a lab run writes down: every request as its client saw it, every attempt as a server saw
// it, every fault as the run played it, and the clock they are all timed by. The rules are judged from these alone.
package history

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Clock gives whole nanoseconds since the run began, from the monotonic clock.
type Clock struct{ start atomic.Pointer[time.Time] }

// NewClock starts a clock at zero now.
func NewClock() *Clock {
	c := &Clock{}
	c.Restart()
	return c
}

// Restart sets the clock to zero; what was timed before lies before zero only if it is held as such.
func (c *Clock) Restart() {
	now := time.Now()
	c.start.Store(&now)
}

// Now is nanoseconds since the clock's start.
func (c *Clock) Now() int64 { return int64(time.Since(*c.start.Load())) }

// Outcome is what the client got for a request.
type Outcome string

// The outcomes a client can see. Unanswered and Late break rule 1 unless the request's limiter was killed.
const (
	Succeeded        Outcome = "done"        // a value that a server made
	Rejected         Outcome = "rejected"    // -BUSY, perhaps with a retry-after
	Failed           Outcome = "written-off" // any other answer
	Unanswered       Outcome = "unanswered"  // nothing by the deadline
	Late             Outcome = "late"        // an answer after the deadline
	ConnectionBroken Outcome = "broken"      // the connection ended with no answer
	GaveUp           Outcome = "gave-up"     // the client went away first, as the load asked
	NotAccepted      Outcome = "not-taken"   // the limiter could not be reached: the request was never taken
)

// Request is one request as its client saw it; times are nanoseconds on the run's clock.
type Request struct {
	ID            string  `json:"id"`
	Customer      string  `json:"customer"`
	Plan          string  `json:"plan"`
	Class         string  `json:"track"`
	NonIdempotent bool    `json:"binding,omitempty"`
	Units         float64 `json:"units"`
	Limiter       int     `json:"limiter"`
	Retry         bool    `json:"retry,omitempty"`
	Sent          int64   `json:"sent"`
	Deadline      int64   `json:"cut_off"` // when the client stops waiting
	Answered      int64   `json:"answered"`
	// AnswerUnread is how long the answer lay in the client's kernel before the lab read it, nanoseconds. It is part of
	// the time to Answered, and is the lab's own delay; the kernel tells it in steps of its timer.
	AnswerUnread int64   `json:"answer_unread,omitempty"`
	Outcome      Outcome `json:"outcome"`
	// Resent: the connection it was first sent on ended at once, so it went once more on a new one, at Sent again.
	Resent     bool  `json:"crossed,omitempty"`
	RetryAfter int64 `json:"retry_after,omitempty"` // nanoseconds, where a rejection said when to return
}

// Attempt is one command a stand-in server read whole; Ran says whether it may have had its effect.
type Attempt struct {
	Server      string  `json:"server"`
	Group       string  `json:"group"`
	ID          string  `json:"id"`
	Customer    string  `json:"customer"`
	Class       string  `json:"track"`
	Key         string  `json:"key,omitempty"`
	Units       float64 `json:"units"`
	At          int64   `json:"at"`
	MayHaveRun  bool    `json:"ran"`
	Answer      string  `json:"answer"`              // done, error, busy, silent, reset, spoilt, repeat
	Overloaded  bool    `json:"overrun,omitempty"`   // began while cold and over what the server bore then
	TimeLeft    int64   `json:"time_left,omitempty"` // nanoseconds that the command said its client would still wait
	ServiceTime int64   `json:"work,omitempty"`      // nanoseconds the server spent on it before answering
}

// Event is a fault or a change the run played, or a limiter's end that it saw.
type Event struct {
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Detail string `json:"detail,omitempty"`
	// Generation is the list's, of an event that changed it (drain, gone, back); 0 where none is told.
	Generation int64 `json:"generation,omitempty"`
}

// The ways in which a call to discovery can end.
const (
	Answered   = "answered"    // a list was written
	Throttled  = "turned-away" // 503: discovery had too much to do
	NoResponse = "silent"      // nothing was said, since discovery was down
	CallerGone = "left"        // the caller went away first
)

// Call is one call to discovery as its stand-in saw it; times are nanoseconds on the run's clock.
type Call struct {
	Limiter    int    `json:"limiter"`
	At         int64  `json:"at"`
	Whole      bool   `json:"whole,omitempty"` // it asked for the whole list; else it is a watch
	Until      int64  `json:"until,omitempty"` // when a watch's wait is over
	EndedAt    int64  `json:"done"`            // when it ended: for an answered one, when the list was written
	End        string `json:"end"`
	Generation int64  `json:"generation,omitempty"` // of the list that was written
}

// Process is one process of a limiter, from its start to its end; times are 0 for what has not come.
type Process struct {
	Limiter        int    `json:"limiter"`
	Started        int64  `json:"started"`
	Ready          int64  `json:"ready,omitempty"` // when it first answered +PONG
	Ended          int64  `json:"ended,omitempty"`
	ListGeneration int64  `json:"known"` // generation of the list in its configuration
	End            string `json:"end,omitempty"`
}

// Silence is a time in which a limiter's link to discovery, or discovery itself, let nothing new through. Lost says
// that what discovery wrote in it did not arrive, or with Held only at its end; else answers still came and only the
// calls were lost.
type Silence struct {
	Limiter int   `json:"limiter"`
	From    int64 `json:"from"`
	Until   int64 `json:"until"` // 0 for good
	Lost    bool  `json:"lost"`
	Held    bool  `json:"held,omitempty"`
}

// LinkFault is a time in which the link from the clients to a limiter had a fault: what clients see then is not the
// limiter's doing.
type LinkFault struct {
	Limiter int    `json:"limiter"`
	Kind    string `json:"kind"`
	From    int64  `json:"from"`
	Until   int64  `json:"until"` // 0 for good
}

// OverloadCrash is a cold server pushed over: the requests that it was sent within the window before At, and what it
// bears in it then.
type OverloadCrash struct {
	Server   string   `json:"server"`
	At       int64    `json:"at"`
	Requests []string `json:"got"` // ids
	Capacity float64  `json:"bears"`
}

// Recorder gathers records from many goroutines.
type Recorder struct {
	mu       sync.Mutex
	Requests []Request `json:"jobs"`
	Attempts []Attempt `json:"shots"`
	Events   []Event   `json:"events"`

	calls           []Call
	overloadCrashes []OverloadCrash
	handshakes      map[string][]int // by server, connections accepted in each second
	counts          map[int][]int    // by limiter, calls that the counter added in each second
}

// AddCall writes down a call to discovery, once it has ended.
func (r *Recorder) AddCall(c Call) { r.mu.Lock(); r.calls = append(r.calls, c); r.mu.Unlock() }

// AddOverloadCrash writes down that a cold server was overloaded and crashed.
func (r *Recorder) AddOverloadCrash(crash OverloadCrash) {
	r.mu.Lock()
	r.overloadCrashes = append(r.overloadCrashes, crash)
	r.mu.Unlock()
}

// AddHandshake counts a connection that a server accepted at now.
func (r *Recorder) AddHandshake(server string, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handshakes == nil {
		r.handshakes = map[string][]int{}
	}
	r.handshakes[server] = countInSecond(r.handshakes[server], now)
}

// AddCount counts a call of a limiter that the counter added at now.
func (r *Recorder) AddCount(limiter int, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[int][]int{}
	}
	r.counts[limiter] = countInSecond(r.counts[limiter], now)
}

// countInSecond counts one more in the second of now.
func countInSecond(seconds []int, now int64) []int {
	second := int(now / int64(time.Second))
	for len(seconds) <= second {
		seconds = append(seconds, 0)
	}
	seconds[second]++
	return seconds
}

// Counts copies the calls that the counter added, by limiter, second by second.
func (r *Recorder) Counts() map[int][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[int][]int{}
	for limiter, seconds := range r.counts {
		out[limiter] = append([]int(nil), seconds...)
	}
	return out
}

// DiscoveryAndServers copies what the list service and the servers wrote down beside attempts: calls in the order of
// their times, falls, and each server's handshakes second by second.
func (r *Recorder) DiscoveryAndServers() (calls []Call, overloadCrashes []OverloadCrash, handshakes map[string][]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls, overloadCrashes, handshakes = append(calls, r.calls...), append(overloadCrashes, r.overloadCrashes...), map[string][]int{}
	for server, seconds := range r.handshakes {
		handshakes[server] = append([]int(nil), seconds...)
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	return calls, overloadCrashes, handshakes
}

// AddRequest writes down a request, once its client has done with it.
func (r *Recorder) AddRequest(request Request) {
	r.mu.Lock()
	r.Requests = append(r.Requests, request)
	r.mu.Unlock()
}

// AddAttempt writes down an attempt that a server read whole.
func (r *Recorder) AddAttempt(attempt Attempt) {
	r.mu.Lock()
	r.Attempts = append(r.Attempts, attempt)
	r.mu.Unlock()
}

// AddEvent writes down what the run played or saw.
func (r *Recorder) AddEvent(e Event) { r.mu.Lock(); r.Events = append(r.Events, e); r.mu.Unlock() }

// Copy returns what is held now, safe to read while the run goes on.
func (r *Recorder) Copy() (requests []Request, attempts []Attempt, events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(
			[]Request(nil),
			r.Requests...), append(
			[]Attempt(nil),
			r.Attempts...), append(
			[]Event(nil),
			r.Events...)
}

// Run is the whole record of one run as written to JSON.
type Run struct {
	Name            string           `json:"name"`
	Seed            uint64           `json:"seed"`
	Length          int64            `json:"length"` // nanoseconds of load
	Limiters        int              `json:"limiters"`
	Settings        json.RawMessage  `json:"settings"`
	Requests        []Request        `json:"jobs"`
	Attempts        []Attempt        `json:"shots"`
	Events          []Event          `json:"events"`
	Calls           []Call           `json:"calls,omitempty"`      // to discovery
	Processes       []Process        `json:"lives,omitempty"`      // of limiters' processes
	Silences        []Silence        `json:"silences,omitempty"`   // between limiters and discovery
	LinkFaults      []LinkFault      `json:"cuts,omitempty"`       // between clients and limiters
	OverloadCrashes []OverloadCrash  `json:"falls,omitempty"`      // of cold servers
	Handshakes      map[string][]int `json:"handshakes,omitempty"` // by server, connections accepted in each second
	// by limiter, calls that the counter added in each second
	Counts  map[int][]int   `json:"counts,omitempty"`
	Verdict json.RawMessage `json:"verdict,omitempty"`
	// percentiles of done requests by class, from HDR histograms
	Latency json.RawMessage `json:"latency,omitempty"`
}

// Write writes a run's record to a file as JSON.
func Write(path string, r *Run) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Read reads a run's record written by Write.
func Read(path string) (*Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Run
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
