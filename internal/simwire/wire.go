// Package simwire implements the simulator's protocol, which WIRE-ospreycroft.md describes, and runs the instances of
// the controller that it creates. Instances share nothing. The package converts names, units and framing, and makes no
// decisions.
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

// endpointStates are the protocol's values of availability.
var endpointStates = map[string]choice.EndpointState{
	"U": choice.EndpointReady,
	"L": choice.EndpointDraining,
	"D": choice.EndpointGone,
}

// batch is a line of the input: events at one time.
type batch struct {
	Wall  *float64          `json:"wall"`
	Batch *int64            `json:"batch"`
	Items []json.RawMessage `json:"items"`
}

// item is an event. It has the fields of all kinds of events; absent ones are nil. Times are seconds.
type item struct {
	Type        *string         `json:"type"`
	Limiter     *int64          `json:"limiter"`
	Seed        *int64          `json:"seed"`
	Facts       json.RawMessage `json:"facts"`       // settings
	How         *string         `json:"how"`         // "Partial" for changes to the list, "Error" for no list
	Items       []entry         `json:"items"`       // endpoint list
	Handle      *string         `json:"handle"`      // request ID
	Budget      *float64        `json:"budget"`      // time to the request's deadline
	Key         *uint64         `json:"api-key"`     // customer
	Tier        *string         `json:"tier"`        // plan
	Class       *string         `json:"cls"`         // class
	Units       *float64        `json:"price-units"` // units of the request
	Entries     *int            `json:"n-entries"`   // limiters that the customer uses
	Ctx         *int64          `json:"ctx"`         // timer token
	Name        *uint64         `json:"name"`        // name on the shared counter
	Code        *uint8          `json:"rc"`          // outcome
	Level       *float64        `json:"level"`       // total of the name, 0 if absent
	Took        *float64        `json:"took"`        // duration of the attempt
	Server      *string         `json:"server"`
	Copy        *int            `json:"copy"`       // attempt number
	Final       *bool           `json:"final"`      // the request needs no further attempt
	ActualUnits *float64        `json:"true-units"` // units that the request used
	Load        struct {
		InFlight   float64 `json:"outstanding"`
		Throughput float64 `json:"throughput"`
		Queued     float64 `json:"backlog"`
		RecentMs   float64 `json:"recent_ms"`
	} `json:"feedback"`
}

// entry is a server of the endpoint list.
type entry struct {
	Server       *string  `json:"server"`
	RackZone     string   `json:"rack-zone"`
	Pod          int64    `json:"pod"`
	Availability *string  `json:"availability"`
	PowerHint    float64  `json:"power-hint"`
	OnlineSince  *float64 `json:"online-since"`
}

// nanos converts seconds to nanoseconds.
func nanos(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }

// seconds converts nanoseconds to seconds.
func seconds(nanos int64) float64 { return float64(nanos) / 1e9 }

// fieldReader reads required fields of an item and records the name of the first missing one.
type fieldReader struct{ missing string }

// required returns the value of a field. If it is missing it records that in r and returns the zero value.
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

// missingError returns the error of an event of the given kind for the missing field.
func (r *fieldReader) missingError(kind string) error {
	return fmt.Errorf("%s: field %q is missing", kind, r.missing)
}

// host runs the instances of the controller.
type host struct {
	instances map[int64]*instance // by limiter number
	output    []action            // reply to the batch in progress
}

// instance is one limiter's controller. Its exported methods receive the controller's actions, see choice.New.
type instance struct {
	host       *host
	id         int64 // limiter number
	wall       int64 // time of the latest call on the simulator's clock, in nanoseconds
	controller *choice.Controller
}

// Run reads batches from input, one per line, and writes a reply to output for each until the input ends. It returns an
// error for a malformed batch.
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

// handleBatch decodes a batch, handles its events and returns the batch's number. The actions are in h.output.
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

// handleItem handles one event. Events for unknown instances are ignored.
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

// begin creates an instance, which replaces an existing one with the same number.
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

// controllerCall converts an event to a call of the controller. The result is nil for events of an unknown kind.
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

// membership returns the call that updates the endpoint list, or nil if the event reports that there is no list.
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

// arrival converts an inbound event.
func (it *item) arrival(r *fieldReader) choice.Arrival {
	return choice.Arrival{
		ID: required(r, "handle", it.Handle), Timeout: nanos(required(r, "budget", it.Budget)),
		Customer: required(r, "api-key", it.Key), Plan: required(r, "tier", it.Tier),
		Class: required(r, "cls", it.Class),
		Units: required(r, "price-units", it.Units), Limiters: required(r, "n-entries", it.Entries),
	}
}

// attemptResult converts a reply event.
func (it *item) attemptResult(r *fieldReader) choice.AttemptResult {
	a := choice.AttemptResult{Request: required(r, "handle", it.Handle), Attempt: required(r, "copy", it.Copy),
		Outcome: choice.Outcome(required(r, "rc", it.Code)), Duration: nanos(required(r, "took", it.Took)),
		Final: required(r, "final", it.Final), Load: choice.LoadReport{
			InFlight: it.Load.InFlight, Throughput: it.Load.Throughput,
			Queued: it.Load.Queued, ServiceTime: int64(it.Load.RecentMs * 1e6)}}
	if it.ActualUnits != nil {
		a.ActualUnits = *it.ActualUnits
	}
	return a
}

// call runs one call of the controller at wall. A panic in it is reported to the simulator as a bug action.
func (in *instance) call(wall int64, invoke func(*choice.Controller)) {
	defer func() {
		if cause := recover(); cause != nil {
			in.write(action{Type: "bug", Text: fmt.Sprint(cause)})
		}
	}()
	in.wall = wall
	invoke(in.controller)
}
