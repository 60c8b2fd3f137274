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
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/lab/distbench"
	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/faultproxy"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/lab/testbed"
	"ospreycroft/internal/operator"
)

const (
	soon       = 10 * time.Second
	moveWithin = 18 * time.Second // after a publication, with faults of one relay
)

// place is a discovery with one server of its own, so that the server shows which discovery a limiter asks.
type place struct {
	*emulator.Discovery
	server *countingServer
}

func startPlace(t *testing.T, name string) place {
	t.Helper()
	discovery, err := emulator.NewDiscovery(history.NewClock(), &history.Recorder{}, nil, 1)
	require.NoError(t, err)
	require.NoError(t, discovery.Start())
	t.Cleanup(discovery.Close)
	p := place{discovery, startCounting(t, name)}
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
	ports    [2]*ports.Kept // the relays'
	servers  [2]string      // their addresses
	dir      string         // of the limiter's files
	state    string         // of the limiter's state
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
	port := testbed.KeepPort(t)
	n.address = port.Address()
	n.source, err = n.programs.StartSource(t.TempDir(), port)
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
		n.ports[i] = testbed.KeepPort(t)
		n.servers[i] = n.ports[i].Address()
		n.startRelay(t, i)
	}
	return n
}

func (n *network) startRelay(t *testing.T, i int) {
	t.Helper()
	var err error
	n.relays[i], err = n.programs.StartRelay(n.links[i].Address(), []string{"a", "b"}[i], "r", n.ports[i])
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
	port := testbed.KeepPort(t)
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
