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
	eventTimeout         = 10 * time.Second // limit of a wait for an event or a request
	addressChangeTimeout = 18 * time.Second // from a publication until the address is used, with a faulty relay
)

// serverDiscovery is a discovery service with one server of its own: the server that receives requests shows which
// discovery a limiter uses.
type serverDiscovery struct {
	*emulator.Discovery
	server *countingServer
}

func startDiscovery(t *testing.T, name string) serverDiscovery {
	t.Helper()
	discovery, err := emulator.NewDiscovery(history.NewClock(), &history.Recorder{}, nil, 1)
	require.NoError(t, err)
	require.NoError(t, discovery.Start())
	t.Cleanup(discovery.Close)
	d := serverDiscovery{discovery, startCountingServer(t, name)}
	discovery.Set(d.server.Instance)
	return d
}

// distributionNetwork is a source, two relays that reach it through fault proxies, and a limiter's files.
type distributionNetwork struct {
	programs       distbench.Programs
	source         *distbench.Process
	sourceAddress  string
	links          [2]*faultproxy.Proxy
	relays         [2]*distbench.Process
	relayPorts     [2]*ports.Reserved // stay reserved while a relay is down
	relayAddresses [2]string
	configDir      string // the limiter's configuration and operator's file
	stateDir       string // the limiter's distribution.state_path
}

// The links are cut from cutFrom until cutUntil, in the time that is passed to Proxy.Step.
const (
	cutFrom  = 1
	cutUntil = 2
)

var builds struct {
	once     sync.Once
	programs distbench.Programs
	err      error
}

// buildPrograms builds the distribution's programs once for all tests.
func buildPrograms(t *testing.T) distbench.Programs {
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

func startDistributionNetwork(t *testing.T) *distributionNetwork {
	t.Helper()
	n := &distributionNetwork{programs: buildPrograms(t), configDir: t.TempDir()}
	n.stateDir = filepath.Join(n.configDir, "state")
	require.NoError(t, os.Mkdir(n.stateDir, 0o700))
	var err error
	port := testbed.ReservePort(t)
	n.sourceAddress = port.Address()
	n.source, err = n.programs.StartSource(t.TempDir(), port)
	require.NoError(t, err)
	t.Cleanup(n.source.Kill)
	for i, zone := range []string{"a", "b"} {
		n.links[i], err = faultproxy.New(
			zone,
			"source",
			n.sourceAddress,
			[]faultproxy.Fault{{Kind: faultproxy.Cut, From: cutFrom, Until: cutUntil}},
			1,
		)
		require.NoError(t, err)
		t.Cleanup(n.links[i].Close)
		n.relayPorts[i] = testbed.ReservePort(t)
		n.relayAddresses[i] = n.relayPorts[i].Address()
		n.startRelay(t, i)
	}
	return n
}

func (n *distributionNetwork) startRelay(t *testing.T, i int) {
	t.Helper()
	var err error
	n.relays[i], err = n.programs.StartRelay(n.links[i].Address(), []string{"a", "b"}[i], "r", n.relayPorts[i])
	require.NoError(t, err)
	t.Cleanup(n.relays[i].Kill)
	require.True(t, n.relays[i].WaitForOutput("event=config-version", 1, eventTimeout), n.relays[i].Log())
}

// setPartitioned cuts both relays off from the source, or restores the links.
func (n *distributionNetwork) setPartitioned(t *testing.T, partitioned bool) {
	now := int64(cutUntil)
	if partitioned {
		now = cutFrom
	}
	for _, l := range n.links {
		require.NoError(t, l.Step(now))
	}
}

// publishAddress publishes an endpoint's address and returns the version's number.
func (n *distributionNetwork) publishAddress(t *testing.T, name, address string) uint64 {
	t.Helper()
	return n.publishMutation(t, distribution.Mutation{
		Entry: distribution.Entry{Key: endpointKey(name), Value: address},
	})
}

func endpointKey(name string) distribution.Key {
	return distribution.Key{Kind: distribution.KindEndpoints, Name: name}
}

func (n *distributionNetwork) publishMutation(t *testing.T, mutation distribution.Mutation) uint64 {
	t.Helper()
	client := transport.NewClient(n.sourceAddress, time.Second)
	defer client.Close()
	change, err := client.Publish(
		context.Background(),
		transport.Publication{Epoch: 1, Mutations: []distribution.Mutation{mutation}},
		eventTimeout,
	)
	require.NoError(t, err)
	return change.Version.Number
}

// limiterProcess is a limiter process that follows a network's relays.
type limiterProcess struct {
	*distbench.Process
	address, configPath string // for clients, and of the configuration file
	config              string // the text of that file
}

// startLimiter starts a limiter whose configuration file names a discovery service, and whose operator's file names
// relays.
func (n *distributionNetwork) startLimiter(t *testing.T, discovery serverDiscovery, relays [2]string) *limiterProcess {
	t.Helper()
	known, err := json.Marshal([]emulator.Instance{discovery.server.Instance})
	require.NoError(t, err)
	port := testbed.ReservePort(t)
	l := &limiterProcess{address: port.Address(), configPath: filepath.Join(n.configDir, "config.json")}
	l.config = fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"ff","limits":{"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":%s},
		"settings":{"balancers":1,"classes":[{"name":"c","aim":2,"effect":"free","group":"all"}],"tariffs":[{"name":"p"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, l.address, discovery.Address(0), known)
	require.NoError(t, os.WriteFile(l.configPath, []byte(l.config), 0o600))
	operatorFile := filepath.Join(n.configDir, "operator.toml")
	require.NoError(
		t,
		os.WriteFile(
			operatorFile,
			fmt.Appendf(nil, "installation = 'i'\n[distribution]\nrelays = [%q, %q]\nstate_path = %q\noldest_s = 600\n",
				relays[0], relays[1], n.stateDir),
			0o600,
		),
	)
	l.Process, err = distbench.Start(
		os.Args[0],
		[]string{"OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG=" + l.configPath, operator.Variable + "=" + operatorFile},
	)
	require.NoError(t, err)
	t.Cleanup(l.Kill)
	require.NoError(t, l.WaitUntilReachable(l.address))
	require.True(t, l.WaitForOutput("event=ready", 1, eventTimeout), l.Log()) // the platform sends no clients earlier
	return l
}

// awaitRequestsTo waits until the limiter's requests reach the discovery's server.
func (l *limiterProcess) awaitRequestsTo(t *testing.T, discovery serverDiscovery, timeout time.Duration) {
	t.Helper()
	before, end := discovery.server.requestCount(), time.Now().Add(timeout)
	for discovery.server.requestCount() == before {
		require.True(t, time.Now().Before(end), l.Log())
		time.Sleep(5 * time.Millisecond)
	}
}

// client sends requests one after another on one connection, and records their answers.
type client struct {
	stop, ended chan struct{}
	served      []string
	rejected    []string // other answers, each with its request, error and time
	connErr     error    // ended the connection before stop was closed
}

// clientInterval is the pause between two requests, clientTimeout the time that each may take.
const (
	clientInterval = 2 * time.Millisecond
	clientTimeout  = 2 * time.Second
)

func (l *limiterProcess) startClient(t *testing.T) *client {
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
			case <-time.After(clientInterval):
			}
			if c.connErr = c.send(conn, in, fmt.Sprint(name, "-", i)); c.connErr != nil {
				return
			}
		}
	}()
	return c
}

func (c *client) send(conn net.Conn, in *bufio.Reader, id string) error {
	if _, err := conn.Write(request(id, int(clientTimeout/time.Millisecond))); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientTimeout))
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

// stopAndCheck stops the client, and checks that each request was answered with a value in time and reached exactly one
// server, once.
func (c *client) stopAndCheck(t *testing.T, l *limiterProcess, discoveries ...serverDiscovery) {
	t.Helper()
	close(c.stop)
	<-c.ended
	require.NoError(t, c.connErr, "%v\n%s", c.rejected, l.Log())
	assert.Empty(t, c.rejected, l.Log())
	assert.NotEmpty(t, c.served)
	for _, id := range c.served {
		timesReceived := 0
		for _, d := range discoveries {
			timesReceived += d.server.timesReceived(id)
		}
		assert.Equal(t, 1, timesReceived, id)
	}
}
