package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of the list.
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

// List is an answer of discovery.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is the list service.
type Discovery struct {
	Record *Record

	mutex      sync.Mutex
	listener   net.Listener
	generation int64
	instances  []Instance
	changedAt  map[string]int64
	changed    chan struct{}
	pieces     int
	span       time.Duration
}

// Start starts discovery with a list, at version 1.
func (d *Discovery) Start(instances []Instance) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listener, d.generation, d.instances = listener, 1, instances
	d.changedAt, d.changed, d.pieces = map[string]int64{}, make(chan struct{}), 1
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return nil
}

// Address is where discovery listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close ends discovery.
func (d *Discovery) Close() { _ = d.listener.Close() }

// SetSlow makes discovery write each answer in so many pieces, the first at once and the last after span.
func (d *Discovery) SetSlow(pieces int, span time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pieces, d.span = pieces, span
}

// Terminate lists an instance as terminating.
func (d *Discovery) Terminate(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	for i := range d.instances {
		if d.instances[i].ID == id {
			d.instances[i].Lifecycle = "terminating"
		}
	}
	d.changedAt[id] = d.generation
	close(d.changed)
	d.changed = make(chan struct{})
}

// Full is the whole list.
func (d *Discovery) Full() List {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return List{Generation: d.generation, Reset: true, Instances: append([]Instance{}, d.instances...)}
}

// since is the list of changes after a version, and whether there are any; changed is closed at the next change.
func (d *Discovery) since(from int64) (list List, any bool, changed chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list = List{Generation: d.generation, Instances: []Instance{}}
	for _, in := range d.instances {
		if d.changedAt[in.ID] > from {
			list.Instances = append(list.Instances, in)
		}
	}
	return list, d.generation > from, d.changed
}

func (d *Discovery) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.Record.Linef("discovery %s asked %s", conn.RemoteAddr(), request.URL.RequestURI())
		query := request.URL.Query()
		list := d.Full()
		if query.Has("from") {
			from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
			hold, _ := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
			list = d.watch(from, time.Duration(min(max(hold, 0), 60000))*time.Millisecond)
		}
		if !d.write(conn, list) {
			return
		}
	}
}

// watch waits until there is something newer than a version, or until the hold is over.
func (d *Discovery) watch(from int64, hold time.Duration) List {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		list, any, changed := d.since(from)
		if any {
			return list
		}
		select {
		case <-changed:
		case <-timer.C:
			return list
		}
	}
}

// write writes an answer, in pieces while discovery is slow, and tells whether all of it went out.
func (d *Discovery) write(conn net.Conn, list List) bool {
	body, _ := json.Marshal(list)
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: %s\r\nContent-Length: %d\r\n\r\n",
		time.Now().UTC().Format(http.TimeFormat), len(body))
	text = append(text, body...)
	d.mutex.Lock()
	pieces, span := d.pieces, d.span
	d.mutex.Unlock()
	begun := d.Record.Now()
	for i := range pieces {
		piece := text[len(text)*i/pieces : len(text)*(i+1)/pieces]
		if _, err := conn.Write(piece); err != nil || i < pieces-1 && d.ended(conn) {
			d.Record.Linef("discovery %s answer of version %d not whole: the limiter closed after %.3f s, %d of %d pieces",
				conn.RemoteAddr(), list.Generation, (d.Record.Now() - begun).Seconds(), i+1, pieces)
			return false
		}
		if i < pieces-1 {
			time.Sleep(span / time.Duration(pieces-1))
		}
	}
	d.Record.Linef("discovery %s answered version %d, %d entries, whole in %.3f s", conn.RemoteAddr(), list.Generation,
		len(list.Instances), (d.Record.Now() - begun).Seconds())
	return true
}

// ended tells whether the other side has closed the connection. A limiter sends nothing while it waits for an answer.
func (d *Discovery) ended(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	n, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return n > 0 || err != nil && !(ok && timeout.Timeout())
}

// Known is the list in the form that the configuration has.
func (l List) Known() json.RawMessage {
	text, _ := json.Marshal(l)
	return bytes.TrimSpace(text)
}
