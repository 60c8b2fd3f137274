// Package history defines the record of a lab run: each request as its client saw it, each attempt as a server saw it,
// each fault that was injected, and the clock that times them all. Package invariants judges a run from this record
// alone.
package history

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Clock measures the time since the start of a run on the monotonic clock. NewClock makes one; the zero value is not
// usable.
type Clock struct{ start atomic.Pointer[time.Time] }

// NewClock returns a clock that starts at zero now.
func NewClock() *Clock {
	c := &Clock{}
	c.Restart()
	return c
}

// Restart sets the clock back to zero. Times that were read before are not adjusted.
func (c *Clock) Restart() {
	now := time.Now()
	c.start.Store(&now)
}

// Now returns the time since the clock's start, in nanoseconds.
func (c *Clock) Now() int64 { return int64(time.Since(*c.start.Load())) }

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes of a request. Unanswered, Late and ConnectionBroken break rule 1 unless a fault of the run accounts for
// them, such as a kill of the limiter.
const (
	Succeeded        Outcome = "done"        // a value that a server returned
	Rejected         Outcome = "rejected"    // -BUSY, with or without a Retry-After
	Failed           Outcome = "written-off" // any other answer
	Unanswered       Outcome = "unanswered"  // no answer by the deadline
	Late             Outcome = "late"        // an answer after the deadline
	ConnectionBroken Outcome = "broken"      // the connection ended with no answer
	GaveUp           Outcome = "gave-up"     // the client disconnected first, as the load profile demands
	NotAccepted      Outcome = "not-taken"   // the limiter could not be reached, so it never read the request
)

// Request is one request as its client saw it. Times are in nanoseconds on the run's clock.
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
	Deadline      int64   `json:"cut_off"` // when the client stops waiting for an answer
	Answered      int64   `json:"answered"`
	// AnswerUnread is how long the answer, or the end of the connection, waited in the client's kernel before the lab
	// read it, in nanoseconds; 0 for a reset. This delay is the lab's own and is included in Answered. Its resolution is
	// that of the kernel's timer.
	AnswerUnread int64   `json:"answer_unread,omitempty"`
	Outcome      Outcome `json:"outcome"`
	// Resent tells that the first connection was closed at once, so that the client sent the request again on a new
	// connection. Sent is the time of the second sending.
	Resent bool `json:"crossed,omitempty"`
	// Reused tells that the connection had carried requests before.
	Reused     bool  `json:"reused,omitempty"`
	RetryAfter int64 `json:"retry_after,omitempty"` // of a rejection, in nanoseconds; 0 if it had none
}

// Attempt is one command that an emulated server read completely. MayHaveRun tells whether the server may have executed
// it.
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
	Overloaded  bool    `json:"overrun,omitempty"`   // beyond the capacity of a server that was warming up
	TimeLeft    int64   `json:"time_left,omitempty"` // the client's remaining wait, from the command, nanoseconds
	ServiceTime int64   `json:"work,omitempty"`      // time that the server spent before it answered, nanoseconds
}

// Event is a fault or a change that the run made, or the end of a limiter that it observed.
type Event struct {
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Detail string `json:"detail,omitempty"`
	// Generation is the endpoint list's generation after an event that changed the list (drain, gone, back); 0 if it is
	// not known.
	Generation int64 `json:"generation,omitempty"`
}

// The values of Call.End.
const (
	Answered   = "answered"    // a list was written as the answer
	Throttled  = "turned-away" // 503: discovery was overloaded
	NoResponse = "silent"      // no answer, since discovery was down
	CallerGone = "left"        // the caller disconnected first
)

// Call is one call to discovery as its emulator saw it. Times are in nanoseconds on the run's clock.
type Call struct {
	Limiter    int    `json:"limiter"`
	At         int64  `json:"at"`
	FullList   bool   `json:"whole,omitempty"` // a request for the complete list; otherwise a watch
	Until      int64  `json:"until,omitempty"` // when the hold time of a watch ends
	EndedAt    int64  `json:"done"`            // when the call ended; for an answered call, when the list was written
	End        string `json:"end"`
	Generation int64  `json:"generation,omitempty"` // of the list that was written
}

// Process is one process of a limiter. Times are in nanoseconds on the run's clock, and 0 for what has not happened.
type Process struct {
	Limiter        int    `json:"limiter"`
	Started        int64  `json:"started"`
	Ready          int64  `json:"ready,omitempty"` // when it first answered +PONG
	Ended          int64  `json:"ended,omitempty"`
	ListGeneration int64  `json:"known"` // generation of the endpoint list in its configuration
	End            string `json:"end,omitempty"`
}

// Silence is a period in which a limiter could not get news of the endpoint list, because of a fault of its link to
// discovery or of discovery itself. If Lost is set, answers that discovery wrote in this period did not arrive, or with
// Held arrived at its end. Otherwise only calls were lost, and answers to earlier calls still arrived.
type Silence struct {
	Limiter int   `json:"limiter"`
	From    int64 `json:"from"`
	Until   int64 `json:"until"` // 0 if it did not end
	Lost    bool  `json:"lost"`
	Held    bool  `json:"held,omitempty"`
}

// LinkFault is a period in which the link from the clients to a limiter had a fault. The limiter is not to blame for
// what clients see in it.
type LinkFault struct {
	Limiter int    `json:"limiter"`
	Kind    string `json:"kind"`
	From    int64  `json:"from"`
	Until   int64  `json:"until"` // 0 if it did not end
}

// OverloadCrash is the crash of a server that was overloaded while warming up. It holds the requests that the server
// received in the window before At, and its capacity in that window.
type OverloadCrash struct {
	Server   string   `json:"server"`
	At       int64    `json:"at"`
	Requests []string `json:"got"` // ids
	Capacity float64  `json:"bears"`
}

// Recorder collects records. It is safe for concurrent use; the zero value is an empty recorder.
type Recorder struct {
	mu       sync.Mutex
	Requests []Request `json:"jobs"`
	Attempts []Attempt `json:"shots"`
	Events   []Event   `json:"events"`

	calls           []Call
	overloadCrashes []OverloadCrash
	handshakes      map[string][]int // by server, connections accepted in each second of the run
	counts          map[int][]int    // by limiter, calls that the shared counter counted in each second of the run
}

// AddCall records a call to discovery that has ended.
func (r *Recorder) AddCall(c Call) { r.mu.Lock(); r.calls = append(r.calls, c); r.mu.Unlock() }

// AddOverloadCrash records that a server was overloaded while warming up and crashed.
func (r *Recorder) AddOverloadCrash(crash OverloadCrash) {
	r.mu.Lock()
	r.overloadCrashes = append(r.overloadCrashes, crash)
	r.mu.Unlock()
}

// AddHandshake counts a connection that a server accepted at now, in nanoseconds on the run's clock.
func (r *Recorder) AddHandshake(server string, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handshakes == nil {
		r.handshakes = map[string][]int{}
	}
	r.handshakes[server] = countInSecond(r.handshakes[server], now)
}

// AddCount counts a call of a limiter that the shared counter counted at now, in nanoseconds on the run's clock.
func (r *Recorder) AddCount(limiter int, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[int][]int{}
	}
	r.counts[limiter] = countInSecond(r.counts[limiter], now)
}

// countInSecond increments the count of the second that now lies in, and returns the counts by second.
func countInSecond(seconds []int, now int64) []int {
	second := int(now / int64(time.Second))
	for len(seconds) <= second {
		seconds = append(seconds, 0)
	}
	seconds[second]++
	return seconds
}

// Counts returns a copy of the calls that the shared counter counted, by limiter and second.
func (r *Recorder) Counts() map[int][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[int][]int{}
	for limiter, seconds := range r.counts {
		out[limiter] = append([]int(nil), seconds...)
	}
	return out
}

// DiscoveryAndServers returns copies of the records of discovery and of the servers other than attempts: calls ordered
// by time, crashes by overload, and accepted connections by server and second.
func (r *Recorder) DiscoveryAndServers() (calls []Call, overloadCrashes []OverloadCrash, handshakes map[string][]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls, overloadCrashes, handshakes = append(calls, r.calls...),
		append(overloadCrashes, r.overloadCrashes...), map[string][]int{}
	for server, seconds := range r.handshakes {
		handshakes[server] = append([]int(nil), seconds...)
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	return calls, overloadCrashes, handshakes
}

// AddRequest records a request that has ended for its client.
func (r *Recorder) AddRequest(request Request) {
	r.mu.Lock()
	r.Requests = append(r.Requests, request)
	r.mu.Unlock()
}

// AddAttempt records an attempt that a server read completely.
func (r *Recorder) AddAttempt(attempt Attempt) {
	r.mu.Lock()
	r.Attempts = append(r.Attempts, attempt)
	r.mu.Unlock()
}

// AddEvent records a fault or change that the run made, or the end of a limiter.
func (r *Recorder) AddEvent(e Event) { r.mu.Lock(); r.Events = append(r.Events, e); r.mu.Unlock() }

// Copy returns copies of the requests, attempts and events recorded so far.
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

// Run is the complete record of one run, as it is written to a JSON file.
type Run struct {
	Name            string           `json:"name"`
	Seed            uint64           `json:"seed"`
	Length          int64            `json:"length"` // duration of the load, in nanoseconds
	Limiters        int              `json:"limiters"`
	Settings        json.RawMessage  `json:"settings"`
	Requests        []Request        `json:"jobs"`
	Attempts        []Attempt        `json:"shots"`
	Events          []Event          `json:"events"`
	Calls           []Call           `json:"calls,omitempty"`      // calls to discovery
	Processes       []Process        `json:"lives,omitempty"`      // the limiters' processes
	Silences        []Silence        `json:"silences,omitempty"`   // faults between limiters and discovery
	LinkFaults      []LinkFault      `json:"cuts,omitempty"`       // faults between clients and limiters
	OverloadCrashes []OverloadCrash  `json:"falls,omitempty"`      // of servers that were warming up
	Handshakes      map[string][]int `json:"handshakes,omitempty"` // by server, connections accepted in each second
	// by limiter, calls that the shared counter counted in each second
	Counts  map[int][]int   `json:"counts,omitempty"`
	Verdict json.RawMessage `json:"verdict,omitempty"`
	// latency percentiles of the succeeded requests by class, from HDR histograms
	Latency json.RawMessage `json:"latency,omitempty"`
}

// Write writes the record of a run to a file as JSON.
func Write(path string, r *Run) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Read reads the record of a run that Write wrote.
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
