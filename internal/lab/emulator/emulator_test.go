package emulator

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

func submitCommand(id, list string) []byte {
	return resp.AppendCommand(nil, []byte("SVC.SUBMIT"), []byte("00000000000000a1"), []byte(id), []byte(list),
		[]byte("body"))
}

// startServer starts a server with a recorder of its own.
func startServer(t *testing.T, spec ServerSpec, deduplication *Deduplication) (*Server, *history.Recorder) {
	t.Helper()
	recorder := &history.Recorder{}
	s := NewServer(spec, history.NewClock(), recorder, deduplication)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s, recorder
}

// exchange sends text on a new connection and returns what the first read within wait gives.
func exchange(t *testing.T, address string, text []byte, wait time.Duration) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write(text); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 256)
	n, err := c.Read(buf)
	return string(buf[:n]), err
}

func TestServerAppliesFaultsAndRecordsAttempts(t *testing.T) {
	script := []Fault{{Kind: "busy", From: 0, Until: int64(200 * time.Millisecond)},
		{Kind: "silent", From: int64(200 * time.Millisecond), Until: int64(400 * time.Millisecond)}}
	s, recorder := startServer(t, ServerSpec{Name: "s1", Zone: "a", Work: time.Millisecond, Script: script}, nil)
	if got, _ := exchange(
		t, s.Address(), submitCommand("j1", "c=order,units=2,d=1000"), time.Second,
	); got != "-BUSY\r\n" {
		t.Fatalf("busy: %q", got)
	}
	time.Sleep(250 * time.Millisecond)
	if got, err := exchange(
		t, s.Address(), submitCommand("j2", "c=order"), 300*time.Millisecond,
	); got != "" || err == nil {
		t.Fatalf("silent: %q %v", got, err)
	}
	time.Sleep(200 * time.Millisecond)
	if got, _ := exchange(
		t, s.Address(), submitCommand("j3", "c=order"), time.Second,
	); !strings.HasPrefix(got, "*3\r\n") {
		t.Fatalf("done: %q", got)
	}
	_, attempts, _ := recorder.Copy()
	want := []struct {
		id     string
		ran    bool
		answer string
	}{{"j1", false, "busy"}, {"j2", true, "silent"}, {"j3", true, "done"}}
	if len(attempts) != 3 {
		t.Fatalf("attempts: %+v", attempts)
	}
	for i, w := range want {
		if attempts[i].ID != w.id || attempts[i].MayHaveRun != w.ran || attempts[i].Answer != w.answer {
			t.Errorf("attempt %d: %+v, want %+v", i, attempts[i], w)
		}
	}
	if attempts[0].Units != 2 {
		t.Errorf("units: %v", attempts[0].Units)
	}
}

// A cold server marks the attempts that it starts over its capacity.
func TestColdServerRecordsOverload(t *testing.T) {
	s, recorder := startServer(t, ServerSpec{Name: "s1", Work: 200 * time.Millisecond, Capacity: 4, ColdFrom: 0.25,
		WarmWithin: time.Minute}, nil)
	c, _ := net.Dial("tcp", s.Address())
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "b", "c"} { // pipelined: all three start at once, and the capacity is one
		_, _ = c.Write(submitCommand(id, "c=order"))
	}
	time.Sleep(100 * time.Millisecond)
	s.Stop()
	_, attempts, _ := recorder.Copy()
	overloaded := 0
	for _, attempt := range attempts {
		if attempt.Overloaded {
			overloaded++
		}
	}
	if overloaded != 2 {
		t.Fatalf("want 2 of 3 requests over a cold server's capacity of 1, got %d in %+v", overloaded, attempts)
	}
}

func TestServerDropsDuplicatesWithinWindow(t *testing.T) {
	deduplication := NewDeduplication(int64(time.Second))
	s, recorder := startServer(t, ServerSpec{Name: "s1", Work: time.Millisecond}, deduplication)
	for range 2 {
		got, _ := exchange(t, s.Address(), submitCommand("k1", "c=keyed,k=f00d"), time.Second)
		if !strings.HasPrefix(got, "*3") {
			t.Fatalf("%q", got)
		}
	}
	_, attempts, _ := recorder.Copy()
	if len(attempts) != 2 || !attempts[0].MayHaveRun || attempts[1].MayHaveRun || attempts[1].Answer != "repeat" {
		t.Fatalf("%+v", attempts)
	}
}

func TestCounterAddsResetsAndStops(t *testing.T) {
	recorder := &history.Recorder{}
	clock := history.NewClock()
	k := NewCounter(clock, recorder, []Fault{{Kind: "reset", From: int64(100 * time.Millisecond)},
		{Kind: "down", From: int64(200 * time.Millisecond), Until: int64(400 * time.Millisecond)}}, 1)
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	defer k.Stop()
	call := func(line string) string {
		c, err := net.Dial("tcp", k.Address(0))
		if err != nil {
			return "refused"
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, line)
		got, _ := bufio.NewReader(c).ReadString('\n')
		return got
	}
	if a, b := call("tally 7 2.5 4000\r\n"), call("tally 7 1 4000\r\n"); a != "ok 2.5\r\n" || b != "ok 3.5\r\n" {
		t.Fatalf("%q %q", a, b)
	}
	if got := call("tally 7 x 4000\r\n"); got != "error\r\n" {
		t.Fatalf("%q", got)
	}
	for _, at := range []time.Duration{150, 250} {
		time.Sleep(at*time.Millisecond - time.Duration(clock.Now()))
		k.Tick(clock.Now())
	}
	if got := call("tally 7 1 4000\r\n"); got != "refused" {
		t.Fatalf("down: %q", got)
	}
	time.Sleep(450*time.Millisecond - time.Duration(clock.Now()))
	k.Tick(clock.Now())
	if got := call("tally 7 1 4000\r\n"); got != "ok 1\r\n" {
		t.Fatalf("after reset and down: %q", got)
	}
}

// startDiscovery starts discovery for the given number of limiters, with a recorder of its own.
func startDiscovery(t *testing.T, limiters int, script ...Fault) (*Discovery, *history.Recorder) {
	t.Helper()
	recorder := &history.Recorder{}
	d, err := NewDiscovery(history.NewClock(), recorder, script, limiters)
	require.NoError(t, err)
	require.NoError(t, d.Start())
	t.Cleanup(d.Close)
	return d, recorder
}

func TestDiscoveryWatch(t *testing.T) {
	d, _ := startDiscovery(t, 2, Fault{Kind: "chunked"})
	d.Set(Instance{ID: "s1", HostPort: "127.0.0.1:1", Lifecycle: "in_service"})
	from := d.FullList(1).Generation
	go func() { time.Sleep(100 * time.Millisecond); d.Set(Instance{ID: "s1", Lifecycle: "terminating"}) }()
	began := time.Now()
	answer, err := http.Get("http://" + d.Address(1) + "/discovery/hosts?from=" + itoa(from) + "&hold_ms=5000")
	if err != nil {
		t.Fatal(err)
	}
	var l List
	_ = json.NewDecoder(answer.Body).Decode(&l)
	_ = answer.Body.Close()
	if time.Since(began) > 2*time.Second || l.Generation != from+1 || l.Instances[0].Lifecycle != "terminating" {
		t.Fatalf("%+v after %v", l, time.Since(began))
	}
}

// Each discovery call is recorded with the limiter that made it and how it ended.
func TestDiscoveryRecordsCalls(t *testing.T) {
	d, recorder := startDiscovery(t, 3)
	d.SetAddressFunc(func(limiter int, in Instance) string { return itoa(int64(limiter)) })
	d.Set(Instance{ID: "s1", Lifecycle: "in_service"})
	call := func(limiter int, query string) (l List) {
		client := http.Client{Timeout: 300 * time.Millisecond}
		answer, err := client.Get("http://" + d.Address(limiter) + "/discovery/hosts" + query)
		if err == nil {
			_ = json.NewDecoder(answer.Body).Decode(&l)
			_ = answer.Body.Close()
		}
		return l
	}
	a := call(0, "")
	b := call(2, "?from=1&hold_ms=5000")
	if a.Instances[0].HostPort != "0" || b.Instances[0].HostPort != "2" {
		t.Errorf("want the limiter's own addresses in each list: %+v %+v", a, b)
	}
	call(1, "?from=2&hold_ms=5000")   // the client times out before a change
	time.Sleep(50 * time.Millisecond) // the server notices the closed connection a little later
	d.SetDown(true)
	call(1, "?from=1&hold_ms=50")
	d.SetDown(false)
	d.script = []Fault{{Kind: "busy", Factor: 0.001}}
	call(0, "")
	time.Sleep(50 * time.Millisecond)
	calls, _, _ := recorder.DiscoveryAndServers()
	want := []history.Call{
		{Limiter: 0, FullList: true, End: history.Answered, Generation: 2},
		{Limiter: 2, End: history.Answered, Generation: 2},
		{
			Limiter: 1,
			End:     history.CallerGone,
		},
		{Limiter: 1, End: history.NoResponse},
		{Limiter: 0, FullList: true, End: history.Throttled},
	}
	require.True(t, len(calls) == len(want), "%+v", calls)
	for i, c := range calls {
		w := want[i]
		if c.Limiter != w.Limiter || c.FullList != w.FullList || c.End != w.End || c.Generation != w.Generation ||
			c.EndedAt < c.At ||
			(c.Until > c.At) == c.FullList {
			t.Errorf("call %d: %+v, want %+v", i, c, w)
		}
	}
}

// A cold server with a capacity of 2 concurrent requests of 100 ms each completes 20 per second. It crashes at the
// 37th command within a second, the first over its slow-start budget of 20 + 3 sqrt(20) + 3, and only once. A warm
// server never does.
func TestColdServerCrashesOnce(t *testing.T) {
	for _, warm := range []bool{false, true} {
		s, recorder := startServer(t, ServerSpec{Name: "s1", Work: 100 * time.Millisecond, Capacity: 8, ColdFrom: 0.25,
			WarmWithin: time.Hour, Warm: warm, CrashWindow: time.Second}, nil)
		for i := range 60 {
			capacity, cold := s.capacityAt(s.started + 1)
			if crash, crashes := s.crashesUnderLoad(int64(i), "j", capacity, cold); crashes {
				recorder.AddOverloadCrash(crash)
			}
		}
		requests := 0
		if _, all, _ := recorder.DiscoveryAndServers(); len(all) > 0 {
			requests = len(all[0].Requests) + 100*(len(all)-1)
		}
		require.Equal(t, map[bool]int{false: 37, true: 0}[warm], requests, "warm %v: commands up to the crash", warm)
		_, _ = exchange(t, s.Address(), []byte("*1\r\n$6\r\nCLIENT\r\n"), time.Second)
		_, _, handshakes := recorder.DiscoveryAndServers()
		require.True(t, len(handshakes["s1"]) == 1 && handshakes["s1"][0] == 1, "handshakes %v", handshakes)
	}
}

func itoa(n int64) string { b, _ := json.Marshal(n); return string(b) }

// During a split each part starts from the common totals and then counts alone; afterwards part 0 is kept.
func TestCounterSplitGivesLimitersSeparateTotals(t *testing.T) {
	clock := history.NewClock()
	k := NewCounter(
		clock,
		&history.Recorder{},
		[]Fault{{Kind: "split", From: 0, Until: int64(time.Hour), Factor: 2}},
		2,
	)
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	defer k.Stop()
	call := func(i int, line string) string {
		c, err := net.Dial("tcp", k.Address(i))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, line)
		got, _ := bufio.NewReader(c).ReadString('\n')
		return got
	}
	call(0, "tally 9 5 4000\r\n") // before the split, so both parts start with this total
	k.Tick(1)
	if a, b := call(0, "tally 9 1 4000\r\n"), call(1, "tally 9 2 4000\r\n"); a != "ok 6\r\n" || b != "ok 7\r\n" {
		t.Fatalf("split: %q %q", a, b)
	}
	k.script[0].Until = 2
	k.Tick(3)
	if got := call(1, "tally 9 0 4000\r\n"); got != "ok 6\r\n" {
		t.Fatalf("after the split: want the total of part 0, got %q", got)
	}
}
