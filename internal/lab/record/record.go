// Package record holds what a lab run writes down: every job as its client saw it, every shot as a server saw it,
// every fault as the run played it, and the clock they are all timed by. The rules are judged from these alone.
package record

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Clock gives whole nanoseconds since the run began, from the monotonic clock.
type Clock struct{ start time.Time }

// NewClock starts a clock at zero now.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now is nanoseconds since the clock's start.
func (c *Clock) Now() int64 { return int64(time.Since(c.start)) }

// Outcome is what the client got for a job.
type Outcome string

// The outcomes a client can see. Unanswered and Late break rule 1 unless the job's limiter was killed.
const (
	Done       Outcome = "done"        // a value that a server made
	Rejected   Outcome = "rejected"    // -BUSY, perhaps with a retry-after
	WrittenOff Outcome = "written-off" // any other answer
	Unanswered Outcome = "unanswered"  // nothing by the cut-off
	Late       Outcome = "late"        // an answer after the cut-off
	Broken     Outcome = "broken"      // the connection ended with no answer
	GaveUp     Outcome = "gave-up"     // the client went away first, as the load asked
	NotTaken   Outcome = "not-taken"   // the limiter could not be reached: the job was never taken
)

// Job is one job as its client saw it; times are nanoseconds on the run's clock.
type Job struct {
	ID         string  `json:"id"`
	Customer   string  `json:"customer"`
	Plan       string  `json:"plan"`
	Track      string  `json:"track"`
	Binding    bool    `json:"binding,omitempty"`
	Units      float64 `json:"units"`
	Limiter    int     `json:"limiter"`
	Retry      bool    `json:"retry,omitempty"`
	Sent       int64   `json:"sent"`
	CutOff     int64   `json:"cut_off"` // when the client stops waiting
	Answered   int64   `json:"answered"`
	Outcome    Outcome `json:"outcome"`
	RetryAfter int64   `json:"retry_after,omitempty"` // nanoseconds, where a rejection said when to return
}

// Shot is one command a stand-in server read whole; Ran says whether it may have had its effect.
type Shot struct {
	Server   string  `json:"server"`
	Group    string  `json:"group"`
	ID       string  `json:"id"`
	Customer string  `json:"customer"`
	Track    string  `json:"track"`
	Key      string  `json:"key,omitempty"`
	Units    float64 `json:"units"`
	At       int64   `json:"at"`
	Ran      bool    `json:"ran"`
	Answer   string  `json:"answer"`            // done, error, busy, silent, reset, spoilt, repeat
	Overrun  bool    `json:"overrun,omitempty"` // began while cold and over what the server bore then
	Work     int64   `json:"work,omitempty"`    // nanoseconds the server spent on it before answering
}

// Event is a fault or a change the run played, or a kill it saw.
type Event struct {
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Detail string `json:"detail,omitempty"`
}

// Book gathers records from many goroutines.
type Book struct {
	mu     sync.Mutex
	Jobs   []Job   `json:"jobs"`
	Shots  []Shot  `json:"shots"`
	Events []Event `json:"events"`
}

// AddJob, AddShot and AddEvent may be called from any goroutine.
func (b *Book) AddJob(j Job)     { b.mu.Lock(); b.Jobs = append(b.Jobs, j); b.mu.Unlock() }
func (b *Book) AddShot(s Shot)   { b.mu.Lock(); b.Shots = append(b.Shots, s); b.mu.Unlock() }
func (b *Book) AddEvent(e Event) { b.mu.Lock(); b.Events = append(b.Events, e); b.mu.Unlock() }

// Copy returns what is held now, safe to read while the run goes on.
func (b *Book) Copy() (jobs []Job, shots []Shot, events []Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Job(nil), b.Jobs...), append([]Shot(nil), b.Shots...), append([]Event(nil), b.Events...)
}

// Run is the whole record of one run as written to JSON.
type Run struct {
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Length   int64           `json:"length"` // nanoseconds of load
	Limiters int             `json:"limiters"`
	Settings json.RawMessage `json:"settings"`
	Jobs     []Job           `json:"jobs"`
	Shots    []Shot          `json:"shots"`
	Events   []Event         `json:"events"`
	Verdict  json.RawMessage `json:"verdict,omitempty"`
	Latency  json.RawMessage `json:"latency,omitempty"` // percentiles of done jobs by track, from HDR histograms
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
