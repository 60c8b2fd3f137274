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

// Instance is one entry of the endpoint list, in its JSON form.
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

// List is the body of a discovery response. With Reset it is the full list, otherwise the entries that changed.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery emulates the discovery service. `GET /discovery/hosts` returns the full endpoint list, and
// `?from=G&hold_ms=H` is a watch that is answered once the generation is above G, or with an empty list after H
// milliseconds. By default a watch is answered with the full list, which the protocol allows; it can be set to return
// only the changed entries. Discovery listens on one port per limiter, so that it can record which limiter made each
// call and give each limiter its own addresses.
type Discovery struct {
	Traffic Traffic // summed over all limiters

	clock    *history.Clock
	recorder *history.Recorder
	script   []Fault // slow, chunked and busy; the caller applies down
	ports    []*ports.Reserved

	mu         sync.Mutex
	generation int64
	instances  map[string]Instance
	// addressOf returns the address of an instance in the list for a limiter; nil means the instance's own HostPort.
	addressOf  func(limiter int, in Instance) string
	changed    chan struct{} // closed and replaced on every change of the list or of down
	down       bool
	tokens     float64 // token bucket of the "busy" fault: calls that can still be answered
	refilledAt int64   // when tokens was last refilled, nanoseconds on the run's clock
	server     *http.Server
	deltas     bool             // a watch is answered with the changed entries only
	changedAt  map[string]int64 // by id, the generation of the instance's latest change
	terminated map[string]Instance
	// encoded caches the responses of the current generation by the generation they start from, -1 for the full list.
	encoded map[int64][]byte
}

// NewDiscovery returns a stopped service for the given number of limiters, with an empty list at generation 1. It
// applies the slow, chunked and busy faults of script and records its calls in recorder. The error is a
// *ports.KeepError.
func NewDiscovery(clock *history.Clock, recorder *history.Recorder, script []Fault, limiters int) (*Discovery, error) {
	d := &Discovery{clock: clock, recorder: recorder, script: script, generation: 1, instances: map[string]Instance{},
		changed: make(chan struct{}), changedAt: map[string]int64{}, terminated: map[string]Instance{}}
	for range limiters {
		p, err := ports.Reserve()
		if err != nil {
			d.Close()
			return nil, err
		}
		d.ports = append(d.ports, p)
	}
	return d, nil
}

// Address returns the address that limiter i connects to.
func (d *Discovery) Address(i int) string { return d.ports[i].Address() }

// SetAddressFunc sets the function that returns the address listed for an instance in answers to a limiter. It must be
// called before Start.
func (d *Discovery) SetAddressFunc(lookup func(limiter int, in Instance) string) {
	d.addressOf = lookup
}

// limiterKey is the context key of the number of the limiter that made a call.
type limiterKey struct{}

// Start listens on the ports of all limiters and serves them until Close.
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

// Close stops the service and gives up its ports.
func (d *Discovery) Close() {
	if d.server != nil {
		_ = d.server.Close()
	}
	for _, p := range d.ports {
		p.Close()
	}
}

// Set adds or replaces an instance, or removes it if its lifecycle is "terminated", and returns the new generation.
func (d *Discovery) Set(in Instance) int64 { return d.SetAll([]Instance{in}) }

// SetAll is like Set for several instances, which change in one generation.
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

// SendDeltas makes a watch from a generation above 0 return only the changed entries, including removed ones.
func (d *Discovery) SendDeltas() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deltas = true
}

// SetDown sets whether the service is down. While it is, calls stay open without any response, as with the agent while
// discovery is down.
func (d *Discovery) SetDown(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
	close(d.changed)
	d.changed = make(chan struct{})
}

// FullList returns the current full list as a limiter gets it, in order of id.
func (d *Discovery) FullList(limiter int) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList(limiter)
}

// fullList builds the full list for a limiter. d.mu must be held.
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

// changesSince returns the instances that changed after generation from, removed ones included, in order of id. d.mu
// must be held.
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

// answer returns the encoded response to a call and its generation: the full list or, for a watch while d.deltas is
// set, the changes after from. Responses are cached for a generation unless limiters have addresses of their own.
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

// handleHosts serves one call for the full list or one watch, and records how it ended.
func (d *Discovery) handleHosts(w http.ResponseWriter, r *http.Request) {
	d.Traffic.Calls.Add(1)
	limiter, _ := r.Context().Value(limiterKey{}).(int)
	call := history.Call{
		Limiter:  limiter,
		At:       d.clock.Now(),
		FullList: !r.URL.Query().Has("hold_ms"),
		End:      history.CallerGone,
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
		timer.Stop() // a call for the full list waits as long as discovery is down
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
				<-r.Context().Done() // sends nothing, not even an empty list, until the caller times out
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

// throttled reports whether a call exceeds the rate of a "busy" fault, and takes a token if it does not.
func (d *Discovery) throttled() bool {
	now := d.clock.Now()
	busy, limited := activeFault(faultsOfKind(d.script, "busy"), now, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens = min(busy.Factor, d.tokens+busy.Factor*float64(now-d.refilledAt)/1e9)
	d.refilledAt = now
	if !limited {
		return false
	}
	d.tokens--
	if d.tokens < 0 {
		d.tokens++
		return true
	}
	return false
}

// write sends a response under the slow and chunked faults in effect.
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
	for len(text) > 0 { // without a Content-Length, net/http sends what each flush covers as one chunk
		n := min(len(text), 64)
		_, _ = w.Write(text[:n])
		flusher.Flush()
		text = text[n:]
	}
}

// faultsOfKind returns the entries of script of one kind.
func faultsOfKind(script []Fault, kind string) []Fault {
	var out []Fault
	for _, f := range script {
		if f.Kind == kind {
			out = append(out, f)
		}
	}
	return out
}
