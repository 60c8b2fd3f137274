package simwire

import (
	"bufio"
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/transcript"
)

// Parameters of the runs of TestTranscripts. Times are seconds of the simulator's clock.
const (
	transcriptSeeds     = 20
	transcriptUntil     = 60.0
	transcriptArrivals  = 60.0 // requests a second
	transcriptServers   = 40
	transcriptCustomers = 24
)

// Outcomes of attempts, as the protocol's field rc.
const (
	codeSucceeded = iota
	codeConnectionLost
	codeOverloaded
	codeTimedOut
	codeNotConnected
	codeReset
	codeCancelled
	codeNotAttempted
)

// transcriptFacts returns the settings of the run with the given seed, as JSON.
func transcriptFacts(seed uint64) string {
	facts := map[string]any{
		"balancers": 1 + int(seed%3)*6,
		"classes": []any{
			map[string]any{"name": "read", "aim": 0.5, "effect": "free", "group": "all", "worth": 1},
			map[string]any{
				"name":         "mark",
				"aim":          0.8,
				"effect":       "guarded",
				"group":        "zone",
				"dedup-window": 3,
				"worth":        2,
			},
			map[string]any{
				"name":         "cell",
				"aim":          0.8,
				"effect":       "guarded",
				"group":        "cell",
				"dedup-window": 3,
				"worth":        2,
			},
			map[string]any{"name": "write", "aim": 1.5, "effect": "single_shot", "group": "all", "worth": 0.5},
		},
		"tariffs": []any{
			map[string]any{"name": "plain", "rate": 20, "most-at-once": 40, "beyond-costs": 0.5, "extra-worth": 0.1},
			map[string]any{"name": "dear", "rate": 15, "most-at-once": 30, "beyond-costs": 2, "value-factor": 3},
			map[string]any{"name": "hard", "rate": 12, "most-at-once": 24, "hard-rate": 16, "never-over-depth": 40},
			map[string]any{"name": "capped", "parallel": 6, "beyond-costs": 1},
			map[string]any{"name": "both", "rate": 25, "most-at-once": 90, "parallel": 8},
			map[string]any{"name": "free"},
		},
		"family-info": map[string]any{"has-counter": seed%5 != 4, "count-wait": 0.05, "units-top": 6, "trued-up": true},
		"contract":    map[string]any{"cold-from": 0.25, "warm-within": 10},
		"permissions": map[string]any{"attempts-cap": 3, "cancelling": seed%4 != 1, "dial-timeout": 0.25,
			"max-retry-after": 2, "probes": seed%2 == 0, "retry-after": true},
		"granularity": 0.004,
	}
	if seed%2 == 1 {
		facts["position"] = 0
	}
	text, err := json.Marshal(facts)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// event is an action of the driver at a time.
type event struct {
	at    float64
	order int
	run   func()
}

// eventHeap is a heap of events by time, and by order for equal times.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// driver plays the simulator's part: it sends random events to the controller and answers its actions.
type driver struct {
	rng        *rand.Rand
	now        float64
	order      int
	events     eventHeap
	attempts   map[string]int  // number of attempts, by request
	unanswered map[string]bool // attempts in flight, by attemptKey
	ended      map[string]bool // requests that have ended
	totals     map[uint64]float64
	faultUntil map[string]float64 // end of a server's fault
	write      func(batch string) []byte
	record     *transcript.Transcript
	bugs       []string
}

// after schedules run after a delay in seconds.
func (d *driver) after(delay float64, run func()) {
	d.order++
	heap.Push(&d.events, event{at: d.now + delay, order: d.order, run: run})
}

// send sends one item in a batch of its own and handles the actions of the reply.
func (d *driver) send(item map[string]any) {
	item["limiter"] = 0
	text, err := json.Marshal(map[string]any{"wall": d.now, "batch": d.order, "items": []any{item}})
	if err != nil {
		panic(err)
	}
	answer := d.write(string(text) + "\n")
	var decoded struct {
		Output []json.RawMessage `json:"output"`
	}
	if err := json.Unmarshal(answer, &decoded); err != nil {
		panic(err)
	}
	for _, action := range decoded.Output {
		d.act(action)
	}
}

// act records one action of the controller, unless it is a log line, and does what a simulator would.
func (d *driver) act(action json.RawMessage) {
	var o struct {
		Type   string  `json:"type"`
		Handle string  `json:"handle"`
		Server string  `json:"server"`
		Copy   int     `json:"copy"`
		Due    float64 `json:"due-at"`
		Ctx    int64   `json:"ctx"`
		Name   uint64  `json:"name"`
		Amount float64 `json:"amount"`
		Text   string  `json:"note-text"`
	}
	if err := json.Unmarshal(action, &o); err != nil {
		panic(err)
	}
	if o.Type != "note-down" {
		d.record.Add(action, int64(d.now*1e9))
	}
	switch o.Type {
	case "relay":
		d.attemptSent(o.Handle, o.Server)
	case "undo-send":
		d.attemptDone(o.Handle, o.Copy, codeCancelled, d.now)
	case "shed", "respond-error":
		d.ended[o.Handle] = true
	case "charge-counter":
		d.counterAdded(o.Name, o.Amount)
	case "poll":
		d.healthCheckSent(o.Server)
	case "set-timer":
		d.after(max(0, o.Due-d.now), func() { d.send(map[string]any{"type": "timer", "ctx": o.Ctx}) })
	case "bug":
		d.bugs = append(d.bugs, o.Text)
	}
}

// attemptKey returns the key of an attempt in driver.unanswered.
func attemptKey(handle string, number int) string { return fmt.Sprint(handle, "/", number) }

// attemptSent handles relay: it schedules the attempt's result, which is a random one if the server has a fault.
func (d *driver) attemptSent(handle, server string) {
	number := d.attempts[handle]
	d.attempts[handle]++
	d.unanswered[attemptKey(handle, number)] = true
	sent := d.now
	code, took := codeSucceeded, 0.02+0.2*d.rng.Float64()*d.rng.Float64()
	if d.now < d.faultUntil[server] {
		code = d.rng.IntN(codeNotAttempted + 2) // codeNotAttempted+1 stands for no response
		took *= 4
	}
	if code > codeNotAttempted {
		took = 30
		code = codeTimedOut
	}
	d.after(took, func() { d.attemptDone(handle, number, code, sent) })
}

// attemptDone sends the result of an attempt unless it has been sent before.
func (d *driver) attemptDone(handle string, number, code int, sent float64) {
	key := attemptKey(handle, number)
	if !d.unanswered[key] {
		return
	}
	delete(d.unanswered, key)
	item := map[string]any{"type": "reply", "handle": handle, "copy": number, "rc": code, "took": d.now - sent,
		"final": code == codeSucceeded || d.ended[handle]}
	if code == codeSucceeded {
		d.ended[handle] = true
		item["true-units"] = []float64{0, 1, 2, 5}[d.rng.IntN(4)]
		item["feedback"] = []map[string]any{nil, {"outstanding": 3 + d.rng.IntN(5), "throughput": 20},
			{"backlog": d.rng.IntN(4), "throughput": 12, "recent_ms": 60}}[d.rng.IntN(3)]
	}
	d.after(0, func() { d.send(item) })
}

// counterAdded handles charge-counter: it schedules the counter's reply. The counter fails from second 20 to 26 and
// loses its totals at second 40.
func (d *driver) counterAdded(name uint64, amount float64) {
	d.totals[name] += amount
	total, code, delay := d.totals[name], codeSucceeded, 0.001+0.002*d.rng.Float64()
	if d.now > 20 && d.now < 26 || d.rng.IntN(200) == 0 {
		code = []int{codeTimedOut, codeOverloaded, codeConnectionLost, codeNotConnected}[d.rng.IntN(4)]
		delay = 0.05
	}
	item := map[string]any{"type": "tallied", "name": name, "rc": code}
	if code == codeSucceeded {
		item["level"] = total
	}
	d.after(delay, func() { d.send(item) })
}

// healthCheckSent handles poll: it schedules the result of a health check.
func (d *driver) healthCheckSent(server string) {
	code := codeSucceeded
	if d.now < d.faultUntil[server] {
		code = codeTimedOut
	}
	d.after(0.02, func() { d.send(map[string]any{"type": "probed", "server": server, "rc": code}) })
}

// serverName returns the ID of a server.
func serverName(i int) string { return fmt.Sprint("server-", i) }

// listEntry returns a server's entry in a membership event. since is the time of its start, 0 to leave it out.
func listEntry(i int, availability string, since float64) map[string]any {
	entry := map[string]any{"server": serverName(i), "rack-zone": fmt.Sprint("zone-", i%3), "pod": i % 7,
		"availability": availability, "power-hint": []float64{0, 1, 2}[i%3]}
	if since > 0 {
		entry["online-since"] = since
	}
	return entry
}

// arrive sends one request and schedules the next. Some clients disconnect before the response.
func (d *driver) arrive(number int) {
	handle := fmt.Sprint("request-", number)
	customer := d.rng.IntN(transcriptCustomers)
	plans := []string{"plain", "dear", "hard", "capped", "both", "free", "plain", "nobody's"}
	classes := []string{"read", "read", "mark", "cell", "write"}
	d.send(
		map[string]any{"type": "inbound", "handle": handle, "budget": 0.3 + 3*d.rng.Float64(), "api-key": 1 + customer,
			"tier": plans[customer%len(plans)], "cls": classes[d.rng.IntN(len(classes))],
			"price-units": 1 + d.rng.IntN(6), "n-entries": 1 + customer%4},
	)
	if d.rng.IntN(50) == 0 {
		d.after(0.1*d.rng.Float64(), func() {
			if !d.ended[handle] {
				d.ended[handle] = true
				d.send(map[string]any{"type": "vanished", "handle": handle})
			}
		})
	}
	rate := transcriptArrivals
	if d.now > 30 && d.now < 36 {
		rate *= 4
	}
	if d.now < transcriptUntil {
		d.after(d.rng.ExpFloat64()/rate, func() { d.arrive(number + 1) })
	}
}

// injectFault changes the endpoint list or starts a fault of a server, and schedules the next call of itself.
func (d *driver) injectFault() {
	i := d.rng.IntN(transcriptServers)
	switch d.rng.IntN(6) {
	case 0:
		d.send(map[string]any{"type": "membership", "how": "Partial", "gen": 2, "items": []any{listEntry(i, "L", 0)}})
	case 1:
		d.send(map[string]any{"type": "membership", "how": "Partial", "gen": 2, "items": []any{listEntry(i, "D", 0)}})
	case 2:
		d.send(
			map[string]any{
				"type":  "membership",
				"how":   "Partial",
				"gen":   2,
				"items": []any{listEntry(i, "U", d.now-0.2)},
			},
		)
	case 3:
		var all []any
		for j := range transcriptServers {
			if j != i {
				all = append(all, listEntry(j, "U", 0))
			}
		}
		d.send(map[string]any{"type": "membership", "how": "Persisted", "gen": 3, "items": all})
	default:
		d.faultUntil[serverName(i)] = d.now + 1 + 3*d.rng.Float64()
	}
	if d.now < transcriptUntil {
		d.after(0.5+d.rng.Float64(), d.injectFault)
	}
}

// runTranscript drives one instance through the run with the given seed and returns the transcript of its actions.
func runTranscript(t *testing.T, seed uint64) *transcript.Transcript {
	t.Helper()
	input, feed := io.Pipe()
	answers, output := io.Pipe()
	finished := make(chan error, 1)
	go func() { finished <- Run(input, output) }()
	lines := bufio.NewReader(answers)
	d := &driver{
		rng:        rand.New(rand.NewPCG(seed, 0x51)),
		attempts:   map[string]int{},
		unanswered: map[string]bool{},
		ended:      map[string]bool{},
		totals:     map[uint64]float64{},
		faultUntil: map[string]float64{},
		record:     transcript.New(),
	}
	d.write = func(batch string) []byte {
		_, err := io.WriteString(feed, batch)
		require.NoError(t, err)
		answer, err := lines.ReadBytes('\n')
		require.NoError(t, err)
		return answer
	}
	d.now = 1
	d.send(map[string]any{"type": "begin", "seed": seed, "facts": json.RawMessage(transcriptFacts(seed))})
	var all []any
	for i := range transcriptServers - int(seed%2)*(transcriptServers-6) {
		all = append(all, listEntry(i, "U", 0))
	}
	d.send(map[string]any{"type": "membership", "how": "Persisted", "gen": 1, "items": all})
	d.after(1, func() { d.arrive(0) })
	d.after(5, d.injectFault)
	d.after(39, func() { clear(d.totals) })
	for len(d.events) > 0 && d.now < transcriptUntil+10 {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		next.run()
	}
	require.NoError(t, feed.Close())
	require.NoError(t, <-finished)
	require.Empty(t, d.bugs)
	return d.record
}

// TestTranscripts compares hashes of the controller's actions in response to random events with the committed ones. A
// difference means that the controller decides differently.
func TestTranscripts(t *testing.T) {
	sums, err := transcript.ReadSums("testdata/transcripts.txt")
	require.NoError(t, err)
	for seed := range uint64(transcriptSeeds) {
		name := fmt.Sprint("seed ", seed)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, sums[name], runTranscript(t, seed).Sum())
		})
	}
}
