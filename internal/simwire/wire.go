// Package simwire speaks the simulator's wire, which WIRE-ospreycroft.md describes, and hosts instances
// of the module that share nothing. It holds names, units and framing, and no decision.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

var listings = map[string]choice.EndpointState{
	"U": choice.EndpointReady,
	"L": choice.EndpointDraining,
	"D": choice.EndpointGone,
}

type batch struct {
	Wall  *float64          `json:"wall"`
	Batch *int64            `json:"batch"`
	Items []json.RawMessage `json:"items"`
}

// item has the fields of all events; an absent one is nil.
type item struct {
	Type    *string         `json:"type"`
	Limiter *int64          `json:"limiter"`
	Seed    *int64          `json:"seed"`
	Facts   json.RawMessage `json:"facts"`
	How     *string         `json:"how"`
	Items   []entry         `json:"items"`
	Handle  *string         `json:"handle"`
	Budget  *float64        `json:"budget"`
	Key     *uint64         `json:"api-key"`
	Tier    *string         `json:"tier"`
	Class   *string         `json:"cls"`
	Units   *float64        `json:"price-units"`
	Entries *int            `json:"n-entries"`
	Ctx     *int64          `json:"ctx"`
	Name    *uint64         `json:"name"`
	Code    *uint8          `json:"rc"`
	Level   *float64        `json:"level"`
	Took    *float64        `json:"took"`
	Server  *string         `json:"server"`
	Copy    *int            `json:"copy"`
	Final   *bool           `json:"final"`
	True    *float64        `json:"true-units"`
	Load    struct {
		Held   float64 `json:"outstanding"`
		Pace   float64 `json:"throughput"`
		Queue  float64 `json:"backlog"`
		Recent float64 `json:"recent_ms"`
	} `json:"feedback"`
}

type entry struct {
	Server       *string  `json:"server"`
	RackZone     string   `json:"rack-zone"`
	Pod          int64    `json:"pod"`
	Availability *string  `json:"availability"`
	PowerHint    float64  `json:"power-hint"`
	OnlineSince  *float64 `json:"online-since"`
}

func nanos(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }

func seconds(nanos int64) float64 { return float64(nanos) / 1e9 }

// reading takes fields out of one item and remembers the first that is missing.
type reading struct{ missing string }

func take[T any](r *reading, field string, value *T) T {
	if value == nil {
		if r.missing == "" {
			r.missing = field
		}
		var none T
		return none
	}
	return *value
}

type host struct {
	instances map[int64]*instance
	output    []action
}

type instance struct {
	host  *host
	id    int64
	wall  int64
	logic *choice.Controller
}

// Run answers batches until the input ends.
func Run(input io.Reader, output io.Writer) error {
	h := &host{instances: map[int64]*instance{}}
	in, out := bufio.NewReaderSize(input, 1<<20), bufio.NewWriter(output)
	encode := json.NewEncoder(out)
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			number, err := h.batch(text)
			if err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
			if err := encode.Encode(reply{number, h.output}); err != nil {
				return err
			}
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (h *host) batch(text []byte) (int64, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return 0, err
	}
	r := &reading{}
	number := take(r, "batch", b.Batch)
	wall := nanos(take(r, "wall", b.Wall))
	if b.Items == nil {
		take[int](r, "items", nil)
	}
	if r.missing != "" {
		return 0, fmt.Errorf("batch %d: field %q is missing", number, r.missing)
	}
	h.output = []action{}
	for i, raw := range b.Items {
		var it item
		if err := json.Unmarshal(raw, &it); err != nil {
			return 0, fmt.Errorf("batch %d: item %d: %w", number, i, err)
		}
		if err := h.item(wall, &it); err != nil {
			return 0, fmt.Errorf("batch %d: item %d: %w", number, i, err)
		}
	}
	return number, nil
}

// item turns one event into one call on its instance.
func (h *host) item(wall int64, it *item) error {
	r := &reading{}
	kind, id := take(r, "type", it.Type), take(r, "limiter", it.Limiter)
	in := h.instances[id]
	var do func(*choice.Controller)
	switch kind {
	case "begin":
		seed := take(r, "seed", it.Seed)
		if r.missing != "" {
			break
		}
		set, err := settings.Decode(it.Facts)
		if err != nil {
			return fmt.Errorf("%s: facts: %w", kind, err)
		}
		in = &instance{host: h, id: id, wall: wall}
		h.instances[id] = in
		do = func(*choice.Controller) { in.logic = choice.New(wall, set.Settings, seed, in) }
	case "retire":
		delete(h.instances, id)
		return nil
	case "membership":
		how := take(r, "how", it.How)
		entries := make([]choice.Endpoint, len(it.Items))
		for i, e := range it.Items {
			listing, known := listings[take(r, "availability", e.Availability)]
			if !known && r.missing == "" {
				return fmt.Errorf("%s: availability %q is not known", kind, *e.Availability)
			}
			entries[i] = choice.Endpoint{ID: take(r, "server", e.Server), Zone: e.RackZone, Cell: e.Pod,
				State: listing, Weight: e.PowerHint}
			if e.OnlineSince != nil {
				entries[i].StartedAt = nanos(*e.OnlineSince)
			}
		}
		if how != "Error" {
			do = func(l *choice.Controller) { l.UpdateEndpoints(wall, how != "Partial", entries) }
		}
	case "inbound":
		a := choice.Arrival{ID: take(r, "handle", it.Handle), Timeout: nanos(take(r, "budget", it.Budget)),
			Customer: take(r, "api-key", it.Key), Plan: take(r, "tier", it.Tier),
			Class: take(r, "cls", it.Class),
			Units: take(r, "price-units", it.Units), Limiters: take(r, "n-entries", it.Entries)}
		do = func(l *choice.Controller) { l.RequestArrived(wall, a) }
	case "reply":
		a := it.reply(r)
		do = func(l *choice.Controller) { l.AttemptDone(wall, a) }
	case "tallied":
		name, code, total := take(r, "name", it.Name), take(r, "rc", it.Code), 0.0
		if it.Level != nil {
			total = *it.Level
		}
		do = func(l *choice.Controller) { l.CounterReplied(wall, name, choice.Outcome(code), total) }
	case "probed":
		server, code := take(r, "server", it.Server), take(r, "rc", it.Code)
		do = func(l *choice.Controller) { l.HealthCheckDone(wall, server, choice.Outcome(code)) }
	case "vanished":
		request := take(r, "handle", it.Handle)
		do = func(l *choice.Controller) { l.ClientDisconnected(wall, request) }
	case "timer":
		token := take(r, "ctx", it.Ctx)
		do = func(l *choice.Controller) { l.TimerFired(wall, token) }
	}
	if r.missing != "" {
		return fmt.Errorf("%s: field %q is missing", kind, r.missing)
	}
	if in != nil && do != nil {
		in.call(wall, do)
	}
	return nil
}

// reply is how an attempt ended, as the event tells it.
func (it *item) reply(r *reading) choice.AttemptResult {
	a := choice.AttemptResult{Request: take(r, "handle", it.Handle), Attempt: take(r, "copy", it.Copy),
		Outcome: choice.Outcome(take(r, "rc", it.Code)), Duration: nanos(take(r, "took", it.Took)),
		Final: take(r, "final", it.Final), Load: choice.LoadReport{InFlight: it.Load.Held, Throughput: it.Load.Pace,
			Queued: it.Load.Queue, ServiceTime: int64(it.Load.Recent * 1e6)}}
	if it.True != nil {
		a.ActualUnits = *it.True
	}
	return a
}

// call runs one call on the module; a panic in it is reported on the wire as its bug.
func (in *instance) call(wall int64, do func(*choice.Controller)) {
	defer func() {
		if cause := recover(); cause != nil {
			in.write(action{Type: "bug", Text: fmt.Sprint(cause)})
		}
	}()
	in.wall = wall
	do(in.logic)
}
