package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/statefile"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/lab/distbench"
	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/faultproxy"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
)

const (
	soon       = 10 * time.Second
	moveWithin = 18 * time.Second // after a publication, with faults of one relay
)

// counted is a server that answers at once and counts how often each request has reached it.
type counted struct {
	emulator.Instance
	mutex sync.Mutex
	ran   map[string]int
}

func startCounted(t *testing.T, name string) *counted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &counted{ran: map[string]int{},
		Instance: emulator.Instance{ID: name, HostPort: listener.Addr().String(), Lifecycle: "in_service", Weight: 1}}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go s.answer(conn)
		}
	}()
	return s
}

func (s *counted) answer(conn net.Conn) {
	_ = emulator.Commands(conn, func(words [][]byte) bool {
		s.mutex.Lock()
		s.ran[string(words[2])]++
		s.mutex.Unlock()
		_, err := conn.Write([]byte("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"))
		return err == nil
	})
	_ = conn.Close()
}

func (s *counted) times(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[id]
}

func (s *counted) total() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ran)
}

// place is a discovery with one server of its own, so that the server shows which discovery a limiter asks.
type place struct {
	*emulator.Discovery
	server *counted
}

func startPlace(t *testing.T, name string) place {
	t.Helper()
	discovery, err := emulator.NewDiscovery(history.NewClock(), &history.Recorder{}, nil, 1)
	require.NoError(t, err)
	require.NoError(t, discovery.Start())
	t.Cleanup(discovery.Close)
	p := place{discovery, startCounted(t, name)}
	discovery.Set(p.server.Instance)
	return p
}

// network is a source, two relays behind links to it, and a limiter's files.
type network struct {
	programs distbench.Programs
	source   *distbench.Process
	address  string // of the source
	links    [2]*faultproxy.Proxy
	relays   [2]*distbench.Process
	servers  [2]string // the relays' addresses
	dir      string    // of the limiter's files
	state    string    // of the limiter's state
}

// The times of the links' script: the cut lasts from cutFrom until cutUntil by the clock that Step is given.
const (
	cutFrom  = 1
	cutUntil = 2
)

var builds struct {
	once     sync.Once
	programs distbench.Programs
	err      error
}

// built builds the programs once for all tests.
func built(t *testing.T) distbench.Programs {
	t.Helper()
	builds.once.Do(func() {
		dir, err := os.MkdirTemp("", "distribution")
		if err == nil {
			builds.programs, err = distbench.Build(dir)
		}
		builds.err = err
	})
	require.NoError(t, builds.err)
	return builds.programs
}

func startNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{programs: built(t), dir: t.TempDir()}
	n.state = filepath.Join(n.dir, "state")
	require.NoError(t, os.Mkdir(n.state, 0o700))
	var err error
	n.source, n.address, err = n.programs.StartSource(t.TempDir(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(n.source.Kill)
	for i, zone := range []string{"a", "b"} {
		n.links[i], err = faultproxy.New(
			zone,
			"source",
			n.address,
			[]faultproxy.Fault{{Kind: faultproxy.Cut, From: cutFrom, Until: cutUntil}},
			1,
		)
		require.NoError(t, err)
		t.Cleanup(n.links[i].Close)
		n.startRelay(t, i, "127.0.0.1:0")
	}
	return n
}

func (n *network) startRelay(t *testing.T, i int, listen string) {
	t.Helper()
	var err error
	n.relays[i], n.servers[i], err = n.programs.StartRelay(n.links[i].Address(), []string{"a", "b"}[i], "r", listen)
	require.NoError(t, err)
	t.Cleanup(n.relays[i].Kill)
	require.True(t, n.relays[i].Wrote("event=config-version", 1, soon), n.relays[i].Log())
}

// cut cuts both relays off from the source, or heals the way.
func (n *network) cut(t *testing.T, on bool) {
	now := int64(cutUntil)
	if on {
		now = cutFrom
	}
	for _, l := range n.links {
		require.NoError(t, l.Step(now))
	}
}

// publish publishes an address, and gives the version's number.
func (n *network) publish(t *testing.T, name, address string) uint64 {
	t.Helper()
	return n.change(t, distribution.Mutation{Entry: distribution.Entry{Key: endpoint(name), Value: address}})
}

func endpoint(name string) distribution.Key {
	return distribution.Key{Kind: distribution.KindEndpoints, Name: name}
}

func (n *network) change(t *testing.T, mutation distribution.Mutation) uint64 {
	t.Helper()
	client := transport.NewClient(n.address, time.Second)
	defer client.Close()
	change, err := client.Publish(
		context.Background(),
		transport.Publication{Epoch: 1, Mutations: []distribution.Mutation{mutation}},
		soon,
	)
	require.NoError(t, err)
	return change.Version.Number
}

// process is a real limiter that follows a network's relays.
type process struct {
	*distbench.Process
	address, path string // its own, and that of its configuration
	text          string // of its configuration
}

// startLimiter starts a limiter whose file names a place's discovery.
func (n *network) startLimiter(t *testing.T, at place, servers [2]string) *process {
	t.Helper()
	known, err := json.Marshal([]emulator.Instance{at.server.Instance})
	require.NoError(t, err)
	port, err := ports.Keep()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	l := &process{address: port.Address(), path: filepath.Join(n.dir, "config.json")}
	l.text = fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"ff","limits":{"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":%s},
		"settings":{"balancers":1,"classes":[{"name":"c","aim":2,"effect":"free","group":"all"}],"tariffs":[{"name":"p"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, l.address, at.Address(0), known)
	require.NoError(t, os.WriteFile(l.path, []byte(l.text), 0o600))
	stated := filepath.Join(n.dir, "operator.toml")
	require.NoError(
		t,
		os.WriteFile(
			stated,
			fmt.Appendf(nil, "installation = 'i'\n[distribution]\nrelays = [%q, %q]\nstate_path = %q\noldest_s = 600\n",
				servers[0], servers[1], n.state),
			0o600,
		),
	)
	l.Process, err = distbench.Start(
		os.Args[0],
		[]string{"OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG=" + l.path, operator.Variable + "=" + stated},
	)
	require.NoError(t, err)
	t.Cleanup(l.Kill)
	require.NoError(t, l.Reachable(l.address))
	require.True(t, l.Wrote("event=ready", 1, soon), l.Log()) // the platform sends no client before
	return l
}

// moved waits until a limiter's requests go to a place's server.
func (l *process) moved(t *testing.T, to place, within time.Duration) {
	t.Helper()
	before, end := to.server.total(), time.Now().Add(within)
	for to.server.total() == before {
		require.True(t, time.Now().Before(end), l.Log())
		time.Sleep(5 * time.Millisecond)
	}
}

// client sends requests one after another on one connection, and notes their answers.
type client struct {
	stop, ended chan struct{}
	served      []string
	rejected    []string // other answers, each with its request and the time
	failed      error    // how the connection ended before it was told to stop
}

// clientPause is between two requests, and clientWithin how long each may take.
const (
	clientPause  = 2 * time.Millisecond
	clientWithin = 2 * time.Second
)

func (l *process) startClient(t *testing.T) *client {
	t.Helper()
	name := fmt.Sprint("client-", l.Pid())
	conn, err := net.Dial("tcp", l.address)
	require.NoError(t, err)
	c := &client{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-time.After(clientPause):
			}
			if c.failed = c.ask(conn, in, fmt.Sprint(name, "-", i)); c.failed != nil {
				return
			}
		}
	}()
	return c
}

func (c *client) ask(conn net.Conn, in *bufio.Reader, id string) error {
	if _, err := conn.Write(request(id, int(clientWithin/time.Millisecond))); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientWithin))
	line, err := in.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "$") {
		c.served = append(c.served, id)
		_, err = in.ReadString('\n')
	} else {
		c.rejected = append(
			c.rejected,
			fmt.Sprintf("%s: %q, %v, at %s", id, line, err, time.Now().Format(time.StampMicro)),
		)
	}
	return err
}

// judge stops the client: each request had its answer in time, and reached one server, once.
func (c *client) judge(t *testing.T, l *process, places ...place) {
	t.Helper()
	close(c.stop)
	<-c.ended
	require.NoError(t, c.failed, "%v\n%s", c.rejected, l.Log())
	assert.Empty(t, c.rejected, l.Log())
	assert.NotEmpty(t, c.served)
	for _, id := range c.served {
		times := 0
		for _, p := range places {
			times += p.server.times(id)
		}
		assert.Equal(t, 1, times, id)
	}
}

// TestPublishedAddress moves a limiter under load by publications: it asks the new discovery, each request is answered
// and runs once. An address that is none is refused whole, and what was in force serves; SIGHUP keeps what was
// published.
func TestPublishedAddress(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	first, second := startPlace(t, "first"), startPlace(t, "second")
	l := n.startLimiter(t, first, n.servers)
	c := l.startClient(t)
	l.moved(t, first, soon)
	number := n.publish(t, distribution.EndpointDiscovery, second.Address(0))
	l.moved(t, second, moveWithin)
	require.True(t, l.Wrote(fmt.Sprintf("event=config-version epoch=1 version=%d\n", number), 1, soon), l.Log())
	_ = n.publish(t, distribution.EndpointDiscovery, "nowhere")
	require.True(t, l.Wrote("event=config-refused", 1, soon), l.Log())
	require.Contains(t, l.Log(), `is \"nowhere\", which is no address" hint="publish a change that mends`)
	l.moved(t, second, soon)
	require.NotContains(t, l.Log(), fmt.Sprintf("version=%d\n", number+1), "the refused version is not in force")
	require.NoError(t, l.Signal(syscall.SIGHUP))
	require.True(t, l.Wrote("event=config-addresses-kept discovery="+second.Address(0), 1, soon), l.Log())
	require.True(t, l.Wrote("event=config-read discovery="+second.Address(0), 2, soon), l.Log())
	l.moved(t, second, soon)
	c.judge(t, l, first, second)
	require.NoError(t, l.Signal(syscall.SIGTERM))
	ended, err := l.Ended(soon)
	require.True(t, ended && err == nil, l.Log())
}

// TestMendedPublication publishes what cannot be put in force, an address that is none and a key that a running
// limiter cannot change, and each time a change that mends it: that one is in force.
func TestMendedPublication(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	first, second := startPlace(t, "first"), startPlace(t, "second")
	l := n.startLimiter(t, first, n.servers)
	c := l.startClient(t)
	require.True(t, l.Wrote("event=config-version epoch=1 version=1\n", 1, soon), l.Log())
	_ = n.publish(t, distribution.EndpointDiscovery, "nowhere")
	require.True(t, l.Wrote("is \\\"nowhere\\\", which is no address", 1, soon), l.Log())
	l.moved(t, first, soon)
	_ = n.publish(t, distribution.EndpointDiscovery, second.Address(0))
	l.moved(t, second, moveWithin)
	require.True(t, l.Wrote("event=config-version epoch=1 version=3\n", 1, soon), l.Log())
	_ = n.publish(t, "listen", "127.0.0.1:1")
	require.True(t, l.Wrote("endpoints//listen cannot change while the limiter runs", 1, soon), l.Log())
	_ = n.change(t, distribution.Mutation{Entry: distribution.Entry{Key: endpoint("listen")}, Delete: true})
	require.True(t, l.Wrote("event=config-version epoch=1 version=5\n", 1, soon), l.Log())
	c.judge(t, l, first, second)
}

// TestRelayFaults has a publication reach a limiter whose first relay talks garbage, is killed or is stalled.
func TestRelayFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(t *testing.T, n *network)
	}{
		{"garbage", func(t *testing.T, n *network) {
			n.relays[0].Kill()
			listener, err := net.Listen("tcp", n.servers[0])
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"to\":{}}"))
					_ = conn.Close()
				}
			}()
		}},
		{"killed", func(_ *testing.T, n *network) { n.relays[0].Kill() }},
		{"stalled", func(t *testing.T, n *network) { require.NoError(t, n.relays[0].Signal(syscall.SIGSTOP)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := startNetwork(t)
			first, second := startPlace(t, "first"), startPlace(t, "second")
			l := n.startLimiter(t, first, n.servers)
			client := l.startClient(t)
			require.True(t, l.Wrote("event=config-version", 1, soon), l.Log())
			c.fault(t, n)
			_ = n.publish(t, distribution.EndpointDiscovery, second.Address(0))
			l.moved(t, second, moveWithin)
			client.judge(t, l, first, second)
		})
	}
}

// TestCutOff cuts both relays off from the source while an address is published: the limiter serves on, and moves once
// the way is healed. Then both relays are gone: it says that its version is unconfirmed, and one that is back confirms
// it.
func TestCutOff(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	first, second := startPlace(t, "first"), startPlace(t, "second")
	l := n.startLimiter(t, first, n.servers)
	c := l.startClient(t)
	require.True(t, l.Wrote("event=config-version", 1, soon), l.Log())
	n.cut(t, true)
	_ = n.publish(t, distribution.EndpointDiscovery, second.Address(0))
	time.Sleep(3 * time.Second)
	require.Zero(t, second.server.total(), "the source is cut off")
	l.moved(t, first, soon)
	n.cut(t, false)
	l.moved(t, second, moveWithin)
	for _, relay := range n.relays {
		relay.Kill()
	}
	require.True(t, l.Wrote("event=config-unconfirmed epoch=1 version=2 age_s=1", 1, 2*soon), l.Log())
	l.moved(t, second, soon)
	n.startRelay(t, 0, n.servers[0])
	require.True(t, l.Wrote("event=config-confirmed epoch=1 version=2", 1, moveWithin), l.Log())
	c.judge(t, l, first, second)
}

// TestRestart kills a limiter whose relays are gone: in its next life it serves what was in force from its disk,
// unconfirmed, though its file says another address. With the state spoilt it says so and starts by its file.
func TestRestart(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	first, second := startPlace(t, "first"), startPlace(t, "second")
	l := n.startLimiter(t, first, n.servers)
	_ = n.publish(t, distribution.EndpointDiscovery, second.Address(0))
	require.True(t, l.Wrote("event=config-version epoch=1 version=2", 1, soon), l.Log())
	state := filepath.Join(n.state, "n.distribution")
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(state)
		return err == nil && strings.Contains(string(text), second.Address(0))
	}, soon, 5*time.Millisecond)
	l.Kill()
	for _, relay := range n.relays {
		relay.Kill()
	}
	l = n.startLimiter(t, first, n.servers)
	c := l.startClient(t)
	l.moved(t, second, soon)
	c.judge(t, l, first, second)
	require.Contains(t, l.Log(), "event=config-version epoch=1 version=2\n")
	require.Contains(t, l.Log(), "event=config-unconfirmed epoch=1 version=2 age_s=")
	require.False(t, l.Wrote("event=config-confirmed", 1, 3*watchEvery/2), "no relay has confirmed it: %s", l.Log())
	n.startRelay(t, 0, n.servers[0])
	require.True(t, l.Wrote("event=config-confirmed epoch=1 version=2", 1, soon), l.Log())
	n.relays[0].Kill()
	l.Kill()

	text, err := os.ReadFile(state)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(state, text[:len(text)-5], 0o600)) // it is cut short
	l = n.startLimiter(t, first, n.servers)
	c = l.startClient(t)
	l.moved(t, first, soon)
	require.Contains(t, l.Log(), "event=config-state-refused error=\"the state file "+state+" is cut short")
	require.NotContains(t, l.Log(), "event=config-version")
	n.startRelay(t, 1, n.servers[1])
	l.moved(t, second, moveWithin)
	require.NoError(t, os.RemoveAll(n.state))
	_ = n.publish(t, distribution.EndpointDiscovery, first.Address(0))
	l.moved(t, first, moveWithin)
	require.True(t, l.Wrote("event=config-state-unwritten", 1, soon), l.Log())
	c.judge(t, l, first, second)
}

// withCounter is a configuration of a limiter with a counter.
func withCounter(t *testing.T, discovery, counter string) *settings.Config {
	t.Helper()
	config, err := settings.DecodeConfig(
		fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:1","discovery":%q,"counter":%q,"seed":"ff",
		"limits":{"memory_mb":192,"sockets":1024},"known":{"generation":1},"settings":{"balancers":1,"classes":
		[{"name":"c","aim":1,"effect":"free","group":"all"}],"tariffs":[{"name":"p","rate":5,"most-at-once":10}],
		"family-info":{"has-counter":true,"count-wait":0.05,"units-top":4},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15},"granularity":0.004}}`, discovery, counter),
	)
	require.NoError(t, err)
	return config
}

// TestRenewals puts the distribution's addresses over the file's, before the reducer runs and while it does.
func TestRenewals(t *testing.T) {
	r := newConfigUpdates(withCounter(t, "a:1", "a:2"))
	require.NoError(t, r.move(distribution.Addresses{Counter: "b:2"}))
	config := r.start()
	require.Equal(t, []string{"a:1", "b:2"}, []string{config.Discovery, config.Counter}, "at the start")
	taken := func(send func()) []string {
		go send()
		config := <-r.updates
		return []string{config.Discovery, config.Counter}
	}
	require.Equal(
		t,
		[]string{"b:1", "b:2"},
		taken(func() { _ = r.move(distribution.Addresses{Discovery: "b:1", Counter: "b:2"}) }),
	)
	require.Equal(t, []string{"b:1", "b:2"}, taken(func() { r.fileReread(withCounter(t, "c:1", "c:2")) }), "SIGHUP")
	require.Equal(
		t,
		[]string{"c:1", "d:2"},
		taken(func() { _ = r.move(distribution.Addresses{Counter: "d:2"}) }),
		"the file's newest",
	)
	close(r.done)
	require.NoError(t, r.move(distribution.Addresses{Counter: "e:2"}), "the reducer takes no more")
}

// TestNoCounter publishes a counter's address to a limiter that has none.
func TestNoCounter(t *testing.T) {
	config := withCounter(t, "a:1", "a:2")
	config.Settings.CounterTimeout = 0
	r := newConfigUpdates(config)
	var fixed *distribution.FixedKeyError
	require.ErrorAs(t, r.move(distribution.Addresses{Discovery: "b:1", Counter: "b:2"}), &fixed)
	require.Equal(t, "a:1", r.start().Discovery, "both or neither")
}

// TestSwitchedOff reads an operator's file without relays: nothing follows.
func TestSwitchedOff(t *testing.T) {
	config := withCounter(t, "a:1", "a:2")
	r := newConfigUpdates(config)
	require.Nil(t, newFollower(config, &operator.Options{Installation: "i"}, r, func() int64 { return 0 }))
	require.Equal(t, config, r.start())
}

// TestFollowerEnds ends a follower in the middle of a move that the reducer no longer takes, with no relay there:
// nothing is left.
func TestFollowerEnds(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	config := withCounter(t, "a:1", "a:2")
	r := newConfigUpdates(config)
	start := time.Now()
	f := newFollower(config, &operator.Options{Installation: "i", Distribution: operator.Distribution{
		Relays: [2]string{"127.0.0.1:1", "127.0.0.1:1"}, StatePath: t.TempDir(), StateMaxAge: 600e9}}, r,
		func() int64 { return int64(time.Since(start)) })
	_ = r.start()
	stop := f.start()
	moved := make(chan error)
	go func() { moved <- r.move(distribution.Addresses{Discovery: "b:1"}) }()
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	stop()
	require.NoError(t, <-moved)
	require.Less(t, time.Since(begun), time.Second)
}

// TestUnchangedState keeps a state that does not change: it is saved again while it is confirmed, so that it does not
// become too old to be believed.
func TestUnchangedState(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	config := withCounter(t, "a:1", "a:2")
	r := newConfigUpdates(config)
	start := time.Now()
	f := newFollower(config, &operator.Options{Installation: "i", Distribution: operator.Distribution{
		Relays: n.servers, StatePath: n.state, StateMaxAge: int64(8 * time.Second)}}, r,
		func() int64 { return start.UnixNano() + int64(time.Since(start)) })
	_ = r.start()
	defer f.start()()
	taken := func() int64 {
		place := statefile.Place{
			Dir:          n.state,
			Installation: "i",
			Subscriber:   "n",
			MaxAge:       int64(time.Hour),
			Files:        atomicfile.Disk{},
		}
		held, err := place.Load(time.Now().UnixNano())
		if err != nil || held == nil {
			return 0
		}
		return held.TakenAt
	}
	require.Eventually(t, func() bool { return taken() > 0 }, soon, 5*time.Millisecond)
	first := taken()
	require.Eventually(t, func() bool { return taken() > first }, soon, 5*time.Millisecond)
}
