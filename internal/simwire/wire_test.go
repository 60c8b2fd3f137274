package simwire

import (
	"encoding/json"
	"strings"
	"testing"

	"ospreycroft/choice"
)

const validFacts = `{"balancers":1,"classes":[{"name":"c","aim":1,"effect":"free","group":"all"}],` +
	`"tariffs":[{"name":"p","rate":5,"most-at-once":10}],"family-info":{"has-counter":true,"count-wait":0.05,` +
	`"units-top":4},"contract":{"cold-from":0.3,"warm-within":10},"permissions":{"attempts-cap":3},"granularity":0.004}`

const (
	begin      = `{"type":"begin","limiter":0,"seed":1,"facts":` + validFacts + `}`
	membership = `{"type":"membership","limiter":0,"how":"Persisted","gen":1,"items":[{"server":"s","availability":"U"}]}`
	inbound    = `{"type":"inbound","limiter":0,"handle":"j","budget":4,"api-key":7,"tier":"p","cls":"c",` +
		`"price-units":2,"n-entries":1}`
)

// run sends each item in a batch of its own and returns the last reply.
func run(items ...string) (string, error) {
	var in, out strings.Builder
	for _, it := range items {
		in.WriteString(`{"wall":1,"batch":1,"items":[` + it + "]}\n")
	}
	err := Run(strings.NewReader(in.String()), &out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	return lines[len(lines)-1], err
}

func TestRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		items []string
		want  string
	}{
		{"a request reserves", []string{begin, membership, inbound}, `"type":"charge-counter"`},
		{"events for a stopped instance are ignored",
			[]string{begin, `{"type":"retire","limiter":0}`, inbound}, `"output":[]`},
		{"a restart in one batch creates a new instance",
			[]string{begin + `,{"type":"retire","limiter":0},` + begin, inbound}, `"type":"shed"`},
		{"unknown fields and events are ignored", []string{begin, `{"type":"news","limiter":0,"x":null}`}, `"output":[]`},
		{"an empty batch is answered", []string{""}, `"output":[]`},
		{"a reply for an unknown request is ignored",
			[]string{begin, `{"type":"reply","limiter":0,"handle":"x","copy":0,"rc":0,"took":1,"final":true}`}, `"output":[]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := run(c.items...)
			if err != nil || !strings.Contains(got, c.want) {
				t.Fatalf("wrote %s, error %v, want %s", got, err, c.want)
			}
		})
	}
}

func TestRunRefuses(t *testing.T) {
	for _, c := range []struct{ name, item, want string }{
		{"a malformed line", `{`, "line 1"},
		{"a missing field", strings.Replace(inbound, `"handle":"j",`, "", 1), `batch 1: item 0: inbound: field "handle"`},
		{"a null field", strings.Replace(inbound, `"budget":4`, `"budget":null`, 1), `field "budget"`},
		{"no classes", strings.Replace(begin, `{"name":"c","aim":1,"effect":"free","group":"all"}`, "", 1), "classes: none"},
		{"a negative rate", strings.Replace(begin, `"rate":5`, `"rate":-5`, 1), "tariffs: p: rate: is -5"},
		{"a rate without a burst", strings.Replace(begin, `"most-at-once":10`, `"most-at-once":0`, 1), "most-at-once: is 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := run(c.item); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want %s", err, c.want)
			}
		})
	}
}

func TestCall(t *testing.T) {
	h := &host{}
	in := &instance{host: h, id: 3}
	in.call(0, nil)
	if len(h.output) != 1 || h.output[0].Type != "bug" || h.output[0].Text == "" {
		t.Fatalf("wrote %+v, want a bug action with the cause", h.output)
	}
}

func TestAttemptResult(t *testing.T) {
	for _, c := range []struct {
		load                 string
		inFlight, throughput float64
		queued               float64
		serviceTime          int64
	}{{`{"outstanding":7,"throughput":12.5,"other":1}`, 7, 12.5, 0, 0}, {"null", 0, 0, 0, 0},
		{`{"backlog":3,"throughput":2.5,"recent_ms":135.5}`, 0, 2.5, 3, 135500000}} {
		var it item
		err := json.Unmarshal(
			[]byte(`{"handle":"j","copy":1,"rc":0,"took":0.5,"final":true,"true-units":3,"feedback":`+c.load+`}`),
			&it,
		)
		r := &fieldReader{}
		want := choice.AttemptResult{
			Request:     "j",
			Attempt:     1,
			Duration:    5e8,
			Final:       true,
			ActualUnits: 3,
			Load: choice.LoadReport{InFlight: c.inFlight, Throughput: c.throughput,
				Queued: c.queued, ServiceTime: c.serviceTime},
		}
		if got := it.attemptResult(r); err != nil || r.missing != "" || got != want {
			t.Fatalf("%+v, want %+v, error %v", got, want, err)
		}
	}
}
