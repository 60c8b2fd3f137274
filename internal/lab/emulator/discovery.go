package emulator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/ports"
)

// Instance is one entry of discovery's list, in its JSON form.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// List is discovery's answer.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is discovery's stand-in: `GET /discovery/hosts` for the whole list and `?from=G&hold_ms=H` to watch. A
// watch is answered with the whole list as soon as the generation passes G, as the protocol allows, or with the
// changed entries alone after TellChanges. It listens on one port for each limiter, so that each call is written down
// with who made it, and each limiter can be given addresses of its own.
type Discovery struct {
	Traffic Traffic // of all limiters

	clock    *history.Clock
	recorder *history.Recorder
	script   []Fault // slow, chunked and busy; down is played by Down
	ports    []*ports.Kept

	mu         sync.Mutex
	generation int64
	instances  map[string]Instance
	addressOf  func(limiter int, in Instance) string // where a limiter reaches an instance; nil for its own address
	changed    chan struct{}                         // closed and replaced on every change
	down       bool
	tokens     float64 // calls that it can still take, while it is overbooked
	refilledAt int64
	server     *http.Server
	deltas     bool             // a watch is answered with the changed entries alone
	changedAt  map[string]int64 // by id, the generation that last changed an instance
	terminated map[string]Instance
	encoded    map[int64][]byte // answers of the present generation by what they are newer than, -1 for the whole list
}

// NewDiscovery makes an empty list at generation 1 for limiters limiters; it plays script's slow, chunked and busy
// answers and writes its calls in book. The error is a *ports.KeepError.
func NewDiscovery(clock *history.Clock, recorder *history.Recorder, script []Fault, limiters int) (*Discovery, error) {
	d := &Discovery{clock: clock, recorder: recorder, script: script, generation: 1, instances: map[string]Instance{},
		changed: make(chan struct{}), changedAt: map[string]int64{}, terminated: map[string]Instance{}}
	for range limiters {
		p, err := ports.Keep()
		if err != nil {
			d.Close()
			return nil, err
		}
		d.ports = append(d.ports, p)
	}
	return d, nil
}

// Address is where limiter i calls.
func (d *Discovery) Address(i int) string { return d.ports[i].Address() }

// Reach sets where each limiter reaches an instance, before Start.
func (d *Discovery) Reach(lookup func(limiter int, in Instance) string) { d.addressOf = lookup }

// limiterKey is the key of the calling limiter's number in a call's context.
type limiterKey struct{}

// Start listens for all limiters and serves until Close.
func (d *Discovery) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.handleHosts)
	limiterOf := map[string]int{}
	for i, p := range d.ports {
		limiterOf[p.Address()] = i
	}
	d.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(l net.Listener) context.Context {
			return context.WithValue(context.Background(), limiterKey{}, limiterOf[l.Addr().String()])
		},
	}
	for _, p := range d.ports {
		l, err := p.Listen()
		if err != nil {
			return err
		}
		go func() { _ = d.server.Serve(&countingListener{Listener: l, traffic: &d.Traffic}) }()
	}
	return nil
}

// Close stops serving for good.
func (d *Discovery) Close() {
	if d.server != nil {
		_ = d.server.Close()
	}
	for _, p := range d.ports {
		p.Close()
	}
}

// Set puts an instance in the list or changes it, and gives the new generation; lifecycle "terminated" takes it out.
func (d *Discovery) Set(in Instance) int64 { return d.SetAll([]Instance{in}) }

// SetAll is Set for many instances in one generation.
func (d *Discovery) SetAll(all []Instance) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.encoded = nil
	for _, in := range all {
		d.changedAt[in.ID] = d.generation
		if in.Lifecycle == "terminated" {
			delete(d.instances, in.ID)
			d.terminated[in.ID] = in
		} else {
			d.instances[in.ID] = in
			delete(d.terminated, in.ID)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.generation
}

// TellChanges answers a watch from a generation above 0 with the changed entries alone, those taken out among them.
func (d *Discovery) TellChanges() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deltas = true
}

// Down says nothing to callers while on, as the agent does while discovery is down.
func (d *Discovery) Down(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
	close(d.changed)
	d.changed = make(chan struct{})
}

// Whole is the list as it is now for a limiter, in id order.
func (d *Discovery) Whole(limiter int) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList(limiter)
}

func (d *Discovery) fullList(limiter int) List {
	l := List{Generation: d.generation, Reset: true, Instances: []Instance{}}
	for _, in := range d.instances {
		if d.addressOf != nil {
			in.HostPort = d.addressOf(limiter, in)
		}
		l.Instances = append(l.Instances, in)
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].ID < l.Instances[j].ID })
	return l
}

// changesSince is what has changed after a generation, in id order.
func (d *Discovery) changesSince(limiter int, from int64) List {
	l := List{Generation: d.generation, Instances: []Instance{}}
	for id, at := range d.changedAt {
		if at <= from {
			continue
		}
		in, listed := d.instances[id]
		if !listed {
			in = d.terminated[id]
		}
		if d.addressOf != nil {
			in.HostPort = d.addressOf(limiter, in)
		}
		l.Instances = append(l.Instances, in)
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].ID < l.Instances[j].ID })
	return l
}

// answer is the text for a call and the generation that it tells of: the whole list or, for a watch where changes are
// told alone, what is newer than from. Limiters that reach all instances at the same addresses share the texts.
func (d *Discovery) answer(limiter int, watching bool, from int64) (text []byte, generation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newerThan := int64(-1)
	if watching && d.deltas && from > 0 {
		newerThan = from
	}
	text = d.encoded[newerThan]
	if text != nil && d.addressOf == nil {
		return text, d.generation
	}
	var list List
	if newerThan < 0 {
		list = d.fullList(limiter)
	} else {
		list = d.changesSince(limiter, from)
	}
	text, _ = json.Marshal(list)
	if d.addressOf == nil {
		if d.encoded == nil {
			d.encoded = map[int64][]byte{}
		}
		d.encoded[newerThan] = text
	}
	return text, d.generation
}

func (d *Discovery) handleHosts(w http.ResponseWriter, r *http.Request) {
	d.Traffic.Calls.Add(1)
	limiter, _ := r.Context().Value(limiterKey{}).(int)
	call := history.Call{
		Limiter: limiter,
		At:      d.clock.Now(),
		Whole:   !r.URL.Query().Has("hold_ms"),
		End:     history.CallerGone,
	}
	defer func() { call.EndedAt = d.clock.Now(); d.recorder.AddCall(call) }()
	if d.throttled() {
		call.End = history.Throttled
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, watching := time.Duration(0), r.URL.Query().Has("hold_ms")
	if watching {
		ms, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
		hold = time.Duration(min(max(ms, 0), 60000)) * time.Millisecond
		call.Until = call.At + int64(hold)
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	if !watching {
		timer.Stop() // a whole list is waited for as long as discovery is down
	}
	for {
		d.mu.Lock()
		down, changed, generation := d.down, d.changed, d.generation
		d.mu.Unlock()
		if !down && (!watching || generation > from) {
			text, generation := d.answer(limiter, watching, from)
			call.End = history.Answered
			call.Generation = generation
			d.write(w, text)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if down {
				call.End = history.NoResponse
				<-r.Context().Done() // nothing is said, not even an empty answer; the caller's own time-out ends it
				return
			}
			call.End = history.Answered
			call.Generation = generation
			text, _ := json.Marshal(List{Generation: generation, Instances: []Instance{}})
			d.write(w, text)
			return
		case <-r.Context().Done():
			if down {
				call.End = history.NoResponse
			}
			return
		}
	}
}

// throttled tells whether a call is one too many for an overbooked discovery.
func (d *Discovery) throttled() bool {
	now := d.clock.Now()
	busy, overbooked := activeFault(faultsOfKind(d.script, "busy"), now, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens = min(busy.Factor, d.tokens+busy.Factor*float64(now-d.refilledAt)/1e9)
	d.refilledAt = now
	if !overbooked {
		return false
	}
	d.tokens--
	if d.tokens < 0 {
		d.tokens++
		return true
	}
	return false
}

func (d *Discovery) write(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	now := d.clock.Now()
	slow, slowed := activeFault(faultsOfKind(d.script, "slow"), now, 0)
	_, chunked := activeFault(faultsOfKind(d.script, "chunked"), now, 0)
	if slowed {
		time.Sleep(time.Duration(slow.Factor * float64(time.Millisecond)))
	}
	flusher, canFlush := w.(http.Flusher)
	if !chunked || !canFlush {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text)
		return
	}
	for len(text) > 0 { // with no length and a flush between, net/http sends each part as a chunk
		n := min(len(text), 64)
		_, _ = w.Write(text[:n])
		flusher.Flush()
		text = text[n:]
	}
}

// faultsOfKind is the entries of a script of one kind.
func faultsOfKind(script []Fault, kind string) []Fault {
	var out []Fault
	for _, f := range script {
		if f.Kind == kind {
			out = append(out, f)
		}
	}
	return out
}
