// Package simwire speaks the simulator's wire, which WIRE-ospreycroft.md describes, and hosts instances
// of the controller that share nothing. It holds names, units and framing, and no decision.
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

// endpointStates are the words of the wire for the states of endpoints.
var endpointStates = map[string]choice.EndpointState{
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
	Type        *string         `json:"type"`
	Limiter     *int64          `json:"limiter"`
	Seed        *int64          `json:"seed"`
	Facts       json.RawMessage `json:"facts"`
	How         *string         `json:"how"`
	Items       []entry         `json:"items"`
	Handle      *string         `json:"handle"`
	Budget      *float64        `json:"budget"`
	Key         *uint64         `json:"api-key"`
	Tier        *string         `json:"tier"`
	Class       *string         `json:"cls"`
	Units       *float64        `json:"price-units"`
	Entries     *int            `json:"n-entries"`
	Ctx         *int64          `json:"ctx"`
	Name        *uint64         `json:"name"`
	Code        *uint8          `json:"rc"`
	Level       *float64        `json:"level"`
	Took        *float64        `json:"took"`
	Server      *string         `json:"server"`
	Copy        *int            `json:"copy"`
	Final       *bool           `json:"final"`
	ActualUnits *float64        `json:"true-units"`
	Load        struct {
		InFlight   float64 `json:"outstanding"`
		Throughput float64 `json:"throughput"`
		Queued     float64 `json:"backlog"`
		RecentMs   float64 `json:"recent_ms"`
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

// fieldReader takes fields out of one item and remembers the first that is missing.
type fieldReader struct{ missing string }

func required[T any](r *fieldReader, field string, value *T) T {
	if value == nil {
		if r.missing == "" {
			r.missing = field
		}
		var zero T
		return zero
	}
	return *value
}

// missingError is the error of an item that lacks a field.
func (r *fieldReader) missingError(kind string) error {
	return fmt.Errorf("%s: field %q is missing", kind, r.missing)
}

type host struct {
	instances map[int64]*instance
	output    []action
}

type instance struct {
	host       *host
	id         int64
	wall       int64
	controller *choice.Controller
}

// Run answers batches until the input ends.
func Run(input io.Reader, output io.Writer) error {
	h := &host{instances: map[int64]*instance{}}
	in, out := bufio.NewReaderSize(input, 1<<20), bufio.NewWriter(output)
	encode := json.NewEncoder(out)
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			number, err := h.handleBatch(text)
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

func (h *host) handleBatch(text []byte) (int64, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return 0, err
	}
	r := &fieldReader{}
	number := required(r, "batch", b.Batch)
	wall := nanos(required(r, "wall", b.Wall))
	if b.Items == nil {
		required[int](r, "items", nil)
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
		if err := h.handleItem(wall, &it); err != nil {
			return 0, fmt.Errorf("batch %d: item %d: %w", number, i, err)
		}
	}
	return number, nil
}

// handleItem acts on one event.
func (h *host) handleItem(wall int64, it *item) error {
	r := &fieldReader{}
	kind := required(r, "type", it.Type)
	id := required(r, "limiter", it.Limiter)
	switch kind {
	case "begin":
		return h.begin(wall, id, it, r)
	case "retire":
		delete(h.instances, id)
		return nil
	}
	call, err := it.controllerCall(kind, wall, r)
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if r.missing != "" {
		return r.missingError(kind)
	}
	if in := h.instances[id]; in != nil && call != nil {
		in.call(wall, call)
	}
	return nil
}

// begin makes an instance, in the place of the one that had the number.
func (h *host) begin(wall, id int64, it *item, r *fieldReader) error {
	seed := required(r, "seed", it.Seed)
	if r.missing != "" {
		return r.missingError("begin")
	}
	decoded, err := settings.Decode(it.Facts)
	if err != nil {
		return fmt.Errorf("begin: facts: %w", err)
	}
	in := &instance{host: h, id: id, wall: wall}
	h.instances[id] = in
	in.call(wall, func(*choice.Controller) { in.controller = choice.New(wall, decoded.Settings, seed, in) })
	return nil
}

// controllerCall turns an event of an instance into a controllerCall on its controller, nil for an event that is not known.
func (it *item) controllerCall(kind string, wall int64, r *fieldReader) (func(*choice.Controller), error) {
	switch kind {
	case "membership":
		return it.membership(wall, r)
	case "inbound":
		arrival := it.arrival(r)
		return func(c *choice.Controller) { c.RequestArrived(wall, arrival) }, nil
	case "reply":
		result := it.attemptResult(r)
		return func(c *choice.Controller) { c.AttemptDone(wall, result) }, nil
	case "tallied":
		name, outcome, total := required(r, "name", it.Name), choice.Outcome(required(r, "rc", it.Code)), 0.0
		if it.Level != nil {
			total = *it.Level
		}
		return func(c *choice.Controller) { c.CounterReplied(wall, name, outcome, total) }, nil
	case "probed":
		server, outcome := required(r, "server", it.Server), choice.Outcome(required(r, "rc", it.Code))
		return func(c *choice.Controller) { c.HealthCheckDone(wall, server, outcome) }, nil
	case "vanished":
		request := required(r, "handle", it.Handle)
		return func(c *choice.Controller) { c.ClientDisconnected(wall, request) }, nil
	case "timer":
		token := required(r, "ctx", it.Ctx)
		return func(c *choice.Controller) { c.TimerFired(wall, token) }, nil
	}
	return nil, nil
}

// membership takes in the endpoint list, unless the event says that there is none.
func (it *item) membership(wall int64, r *fieldReader) (func(*choice.Controller), error) {
	how := required(r, "how", it.How)
	endpoints := make([]choice.Endpoint, len(it.Items))
	for i, entry := range it.Items {
		state, known := endpointStates[required(r, "availability", entry.Availability)]
		if !known && r.missing == "" {
			return nil, fmt.Errorf("availability %q is not known", *entry.Availability)
		}
		endpoints[i] = choice.Endpoint{
			ID: required(
				r,
				"server",
				entry.Server,
			), Zone: entry.RackZone, Cell: entry.Pod, State: state, Weight: entry.PowerHint,
		}
		if entry.OnlineSince != nil {
			endpoints[i].StartedAt = nanos(*entry.OnlineSince)
		}
	}
	if how == "Error" {
		return nil, nil
	}
	return func(c *choice.Controller) { c.UpdateEndpoints(wall, how != "Partial", endpoints) }, nil
}

// arrival is the request that an event brings.
func (it *item) arrival(r *fieldReader) choice.Arrival {
	return choice.Arrival{
		ID: required(r, "handle", it.Handle), Timeout: nanos(required(r, "budget", it.Budget)),
		Customer: required(r, "api-key", it.Key), Plan: required(r, "tier", it.Tier), Class: required(r, "cls", it.Class),
		Units: required(r, "price-units", it.Units), Limiters: required(r, "n-entries", it.Entries),
	}
}

// attemptResult is how an attempt ended, as the event tells it.
func (it *item) attemptResult(r *fieldReader) choice.AttemptResult {
	a := choice.AttemptResult{Request: required(r, "handle", it.Handle), Attempt: required(r, "copy", it.Copy),
		Outcome: choice.Outcome(required(r, "rc", it.Code)), Duration: nanos(required(r, "took", it.Took)),
		Final: required(r, "final", it.Final), Load: choice.LoadReport{InFlight: it.Load.InFlight, Throughput: it.Load.Throughput,
			Queued: it.Load.Queued, ServiceTime: int64(it.Load.RecentMs * 1e6)}}
	if it.ActualUnits != nil {
		a.ActualUnits = *it.ActualUnits
	}
	return a
}

// call runs one call on the controller; a panic in it is reported on the wire as its bug.
func (in *instance) call(wall int64, invoke func(*choice.Controller)) {
	defer func() {
		if cause := recover(); cause != nil {
			in.write(action{Type: "bug", Text: fmt.Sprint(cause)})
		}
	}()
	in.wall = wall
	invoke(in.controller)
}
