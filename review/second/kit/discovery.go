package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an entry of discovery's list.
type Entry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// List is an answer of discovery.
type List struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// DiscoveryCall is a call that discovery got.
type DiscoveryCall struct {
	Came, Answered time.Time // Answered is zero while the call is held
	Query          string
	Generation     int // of the answer
	TurnedAway     bool
}

// Discovery is a stand-in of discovery: the whole list, and watches that are held until there is news.
type Discovery struct {
	Address   string
	mutex     sync.Mutex
	changed   *sync.Cond
	version   int
	entries   []Entry
	news      map[string]int // the version that last changed a server
	calls     []*DiscoveryCall
	down      bool      // it says nothing
	busyUntil time.Time // callers are turned away until then
}

// NewDiscovery starts a discovery with a list of version 1.
func NewDiscovery(c *Case, entries []Entry) *Discovery {
	d := &Discovery{Address: c.Address(), version: 1, entries: entries, news: map[string]int{}}
	d.changed = sync.NewCond(&d.mutex)
	listener, err := net.Listen("tcp", d.Address)
	c.Must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.hosts)
	go func() { _ = http.Serve(listener, mux) }()
	return d
}

// Change changes an entry and returns when.
func (d *Discovery) Change(id string, change func(e *Entry)) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for i := range d.entries {
		if d.entries[i].ID == id {
			change(&d.entries[i])
			d.news[id] = d.version
		}
	}
	d.changed.Broadcast()
	return time.Now()
}

// Calls returns the calls so far.
func (d *Discovery) Calls() []DiscoveryCall {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	calls := make([]DiscoveryCall, len(d.calls))
	for i, call := range d.calls {
		calls[i] = *call
	}
	return calls
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return List{d.version, true, append([]Entry{}, d.entries...)}
}

func (d *Discovery) hosts(w http.ResponseWriter, r *http.Request) {
	d.mutex.Lock()
	call := &DiscoveryCall{Came: time.Now(), Query: r.URL.RawQuery}
	d.calls = append(d.calls, call)
	if time.Now().Before(d.busyUntil) {
		call.Answered, call.TurnedAway = time.Now(), true
		d.mutex.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	from, fromErr := strconv.Atoi(query.Get("from"))
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	until := time.Now().Add(time.Duration(min(hold, 60000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), func() {
		d.mutex.Lock()
		d.changed.Broadcast()
		d.mutex.Unlock()
	})
	for r.Context().Err() == nil && (d.down || fromErr == nil && d.version <= from && time.Now().Before(until)) {
		d.changed.Wait()
	}
	timer.Stop()
	list := List{Generation: d.version, Reset: fromErr != nil || from > d.version, Instances: []Entry{}}
	for _, e := range d.entries {
		if list.Reset || d.news[e.ID] > from {
			list.Instances = append(list.Instances, e)
		}
	}
	text, _ := json.Marshal(list)
	call.Answered, call.Generation = time.Now(), d.version
	d.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// Down makes discovery say nothing, or ends that. Calls that are held or come meanwhile are answered at its end.
func (d *Discovery) Down(down bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.down = down
	d.changed.Broadcast()
}

// TurnAway makes discovery turn callers away for so long, with the status 503.
func (d *Discovery) TurnAway(during time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.busyUntil = time.Now().Add(during)
}
