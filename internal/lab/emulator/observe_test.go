package emulator

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/history"
)

// fetchList makes one call to discovery and returns the list and the size of the response body in bytes.
func fetchList(t *testing.T, d *Discovery, query string) (list List, size int) {
	t.Helper()
	answer, err := http.Get("http://" + d.Address(0) + "/discovery/hosts" + query)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &list))
	return list, len(text)
}

// newDiscovery returns discovery for one limiter with the instances a, b and c, at generation 2.
func newDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d, err := NewDiscovery(history.NewClock(), &history.Recorder{}, nil, 1)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	d.SetAll(
		[]Instance{
			{ID: "a", Lifecycle: "in_service"},
			{ID: "b", Lifecycle: "in_service"},
			{ID: "c", Lifecycle: "in_service"},
		},
	)
	return d
}

// receive returns the next event of an observer.
func receive[T any](t *testing.T, events chan T) (event T) {
	t.Helper()
	select {
	case event = <-events:
	case <-time.After(5 * time.Second):
		t.Fatal("no event within 5 s")
	}
	return event
}

// describeInstances returns "ID LIFECYCLE" for each instance.
func describeInstances(list List) (out []string) {
	for _, in := range list.Instances {
		out = append(out, in.ID+" "+in.Lifecycle)
	}
	return out
}

// A watch returns only the changed instances, including removed ones. Several instances change in one generation, and a
// response cached for an earlier generation must not be sent again.
func TestDiscoverySendsDeltas(t *testing.T) {
	d := newDiscovery(t)
	d.SendDeltas()
	require.NoError(t, d.Start())
	whole, _ := fetchList(t, d, "")
	require.True(t, whole.Reset)
	require.Len(t, whole.Instances, 3)
	require.EqualValues(t, 2, whole.Generation, "one generation for all three")
	d.SetAll([]Instance{{ID: "c", Lifecycle: "terminated"}, {ID: "b", Lifecycle: "terminating"}})
	changes, _ := fetchList(t, d, "?from=2&hold_ms=1000")
	require.False(t, changes.Reset)
	require.EqualValues(t, 3, changes.Generation)
	require.Equal(t, []string{"b terminating", "c terminated"}, describeInstances(changes))
	d.Set(Instance{ID: "c", Lifecycle: "in_service"})
	changes, _ = fetchList(t, d, "?from=3&hold_ms=1000")
	require.Equal(t, []string{"c in_service"}, describeInstances(changes), "want the current generation's response")
	changes, _ = fetchList(t, d, "?from=2&hold_ms=1000")
	require.Equal(t, []string{"b terminating", "c in_service"}, describeInstances(changes),
		"want each instance once, in its current state")
	whole, _ = fetchList(t, d, "")
	require.Equal(t, []string{"a in_service", "b terminating", "c in_service"}, describeInstances(whole))
}

// By default a watch returns the full list.
func TestDiscoverySendsFullList(t *testing.T) {
	d := newDiscovery(t)
	require.NoError(t, d.Start())
	d.Set(Instance{ID: "a", Lifecycle: "terminating"})
	list, _ := fetchList(t, d, "?from=2&hold_ms=1000")
	require.True(t, list.Reset)
	require.Len(t, list.Instances, 3)
}

// While discovery is down, a watch whose hold time is over gets no byte: an empty list would be a valid answer.
func TestDiscoveryDownSendsNothing(t *testing.T) {
	d := newDiscovery(t)
	require.NoError(t, d.Start())
	d.SetDown(true)
	c, err := net.Dial("tcp", d.Address(0))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /discovery/hosts?from=2&hold_ms=50 HTTP/1.1\r\nHost: d\r\n\r\n")
	require.NoError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	var silent net.Error
	require.ErrorAs(t, err, &silent)
	require.True(t, silent.Timeout(), "%v", err)
}

// awaitSent waits until at least the given number of bytes is counted as sent. They are counted after the write, so the
// reader can have them before.
func awaitSent(t *testing.T, traffic *Traffic, bytes int64) {
	t.Helper()
	require.Eventually(t, func() bool { return traffic.Sent.Load() >= bytes }, time.Second, time.Millisecond)
}

// Calls, connections and bytes of discovery are counted.
func TestTraffic(t *testing.T) {
	d := newDiscovery(t)
	require.NoError(t, d.Start())
	_, size := fetchList(t, d, "")
	_, moreSize := fetchList(t, d, "?from=1&hold_ms=1000")
	require.EqualValues(t, 2, d.Traffic.Calls.Load())
	require.GreaterOrEqual(t, d.Traffic.Opened.Load(), int64(1))
	awaitSent(t, &d.Traffic, int64(size+moreSize)+1)
	require.Less(t, d.Traffic.Sent.Load(), int64(size+moreSize+1000))
	require.Greater(t, d.Traffic.Received.Load(), int64(2*len("GET /discovery/hosts HTTP/1.1\r\n")))
}

// The observer of a counter gets each answered call, and the call's bytes are counted.
func TestCounterObserved(t *testing.T) {
	k := NewCounter(history.NewClock(), &history.Recorder{}, nil, 1)
	observed := make(chan CounterCall, 4)
	k.Observe(func(event CounterCall) { observed <- event })
	require.NoError(t, k.Start())
	t.Cleanup(k.Close)
	const call, answer = "tally 77 2 1000\r\n", "ok 2\r\n"
	got, err := exchange(t, k.Address(0), []byte(call), time.Second)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	event := receive(t, observed)
	require.Equal(t, "77", event.Name)
	require.LessOrEqual(t, event.Read, event.Answered)
	require.EqualValues(t, len(call), k.Traffic.Received.Load())
	awaitSent(t, &k.Traffic, int64(len(answer)))
	require.EqualValues(t, len(answer), k.Traffic.Sent.Load())
	require.EqualValues(t, 1, k.Traffic.Calls.Load())
}

// The observer of a server gets each executed request with its times and whether it was the first of its connection.
func TestServerObserved(t *testing.T) {
	clock, observed := history.NewClock(), make(chan ServedCommand, 4)
	s := NewServer(ServerSpec{Name: "s1", Work: 5 * time.Millisecond, Warm: true}, clock, &history.Recorder{}, nil)
	s.Observe(func(command ServedCommand) { observed <- command })
	require.NoError(t, s.Start())
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write(append(submitCommand("j1", "c=order,units=1,d=1000"),
		submitCommand("j2", "c=order,units=1,d=1000")...))
	require.NoError(t, err)
	first, second := receive(t, observed), receive(t, observed)
	require.Equal(t, []string{"j1", "j2"}, []string{first.ID, second.ID})
	require.True(t, first.First)
	require.False(t, second.First)
	require.Positive(t, first.Read)
	require.Less(t, first.Read, first.Answered)
}
