package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/statefile"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
)

// TestPublishedAddress moves a limiter under load to another discovery by a publication: each request is answered and
// runs once. A publication with an invalid address is refused as a whole, and the version in force stays. On SIGHUP the
// published address still overrides the file's.
func TestPublishedAddress(t *testing.T) {
	t.Parallel()
	n := startDistributionNetwork(t)
	first, second := startDiscovery(t, "first"), startDiscovery(t, "second")
	l := n.startLimiter(t, first, n.relayAddresses)
	c := l.startClient(t)
	l.awaitRequestsTo(t, first, eventTimeout)
	number := n.publishAddress(t, distribution.EndpointDiscovery, second.Address(0))
	l.awaitRequestsTo(t, second, addressChangeTimeout)
	require.True(t, l.WaitForOutput(fmt.Sprintf("event=config-version epoch=1 version=%d\n", number), 1, eventTimeout), l.Log())
	_ = n.publishAddress(t, distribution.EndpointDiscovery, "nowhere")
	require.True(t, l.WaitForOutput("event=config-refused", 1, eventTimeout), l.Log())
	require.Contains(t, l.Log(), `is \"nowhere\", which is no address" hint="publish a change that corrects`)
	l.awaitRequestsTo(t, second, eventTimeout)
	require.NotContains(t, l.Log(), fmt.Sprintf("version=%d\n", number+1), "the refused version is not in force")
	require.NoError(t, l.Signal(syscall.SIGHUP))
	require.True(t, l.WaitForOutput("event=config-addresses-kept discovery="+second.Address(0), 1, eventTimeout), l.Log())
	require.True(t, l.WaitForOutput("event=config-read discovery="+second.Address(0), 2, eventTimeout), l.Log())
	l.awaitRequestsTo(t, second, eventTimeout)
	c.stopAndCheck(t, l, first, second)
	require.NoError(t, l.Signal(syscall.SIGTERM))
	ended, err := l.WaitForExit(eventTimeout)
	require.True(t, ended && err == nil, l.Log())
}

// TestCorrectedPublication publishes changes that cannot be put in force, an invalid address and a key that a running
// limiter cannot change, and after each one a change that corrects it. The correction is put in force.
func TestCorrectedPublication(t *testing.T) {
	t.Parallel()
	n := startDistributionNetwork(t)
	first, second := startDiscovery(t, "first"), startDiscovery(t, "second")
	l := n.startLimiter(t, first, n.relayAddresses)
	c := l.startClient(t)
	require.True(t, l.WaitForOutput("event=config-version epoch=1 version=1\n", 1, eventTimeout), l.Log())
	_ = n.publishAddress(t, distribution.EndpointDiscovery, "nowhere")
	require.True(t, l.WaitForOutput("is \\\"nowhere\\\", which is no address", 1, eventTimeout), l.Log())
	l.awaitRequestsTo(t, first, eventTimeout)
	_ = n.publishAddress(t, distribution.EndpointDiscovery, second.Address(0))
	l.awaitRequestsTo(t, second, addressChangeTimeout)
	require.True(t, l.WaitForOutput("event=config-version epoch=1 version=3\n", 1, eventTimeout), l.Log())
	_ = n.publishAddress(t, "listen", "127.0.0.1:1")
	require.True(t, l.WaitForOutput("endpoints//listen cannot change while the limiter runs", 1, eventTimeout), l.Log())
	_ = n.publishMutation(t, distribution.Mutation{Entry: distribution.Entry{Key: endpointKey("listen")}, Delete: true})
	require.True(t, l.WaitForOutput("event=config-version epoch=1 version=5\n", 1, eventTimeout), l.Log())
	c.stopAndCheck(t, l, first, second)
}

// TestRelayFaults: a publication reaches a limiter whose first relay sends garbage, is killed or is suspended.
func TestRelayFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(t *testing.T, n *distributionNetwork)
	}{
		{"garbage", func(t *testing.T, n *distributionNetwork) {
			n.relays[0].Kill()
			listener, err := n.relayPorts[0].Listen()
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"to\":{}}"))
					_ = conn.Close()
				}
			}()
		}},
		{"killed", func(_ *testing.T, n *distributionNetwork) { n.relays[0].Kill() }},
		{
			"stalled",
			func(t *testing.T, n *distributionNetwork) { require.NoError(t, n.relays[0].Signal(syscall.SIGSTOP)) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := startDistributionNetwork(t)
			first, second := startDiscovery(t, "first"), startDiscovery(t, "second")
			l := n.startLimiter(t, first, n.relayAddresses)
			client := l.startClient(t)
			require.True(t, l.WaitForOutput("event=config-version", 1, eventTimeout), l.Log())
			c.fault(t, n)
			_ = n.publishAddress(t, distribution.EndpointDiscovery, second.Address(0))
			l.awaitRequestsTo(t, second, addressChangeTimeout)
			client.stopAndCheck(t, l, first, second)
		})
	}
}

// TestRelaysPartitioned cuts both relays off from the source while an address is published: the limiter keeps serving,
// and uses the address once the links are restored. Then both relays are killed: the limiter reports its version as
// unconfirmed, and as confirmed once one relay is back.
func TestRelaysPartitioned(t *testing.T) {
	t.Parallel()
	n := startDistributionNetwork(t)
	first, second := startDiscovery(t, "first"), startDiscovery(t, "second")
	l := n.startLimiter(t, first, n.relayAddresses)
	c := l.startClient(t)
	require.True(t, l.WaitForOutput("event=config-version", 1, eventTimeout), l.Log())
	n.setPartitioned(t, true)
	_ = n.publishAddress(t, distribution.EndpointDiscovery, second.Address(0))
	time.Sleep(3 * time.Second)
	require.Zero(t, second.server.requestCount(), "the source is cut off")
	l.awaitRequestsTo(t, first, eventTimeout)
	n.setPartitioned(t, false)
	l.awaitRequestsTo(t, second, addressChangeTimeout)
	for _, relay := range n.relays {
		relay.Kill()
	}
	require.True(t, l.WaitForOutput("event=config-unconfirmed epoch=1 version=2 age_s=1", 1, 2*eventTimeout), l.Log())
	l.awaitRequestsTo(t, second, eventTimeout)
	n.startRelay(t, 0)
	require.True(t, l.WaitForOutput("event=config-confirmed epoch=1 version=2", 1, addressChangeTimeout), l.Log())
	c.stopAndCheck(t, l, first, second)
}

// TestRestartWithoutRelays kills a limiter while its relays are down. After the restart it serves with the state on its
// disk, unconfirmed, although its configuration file names another address. If the state file is truncated, the limiter
// logs that and starts with the addresses of the configuration file. It also logs that a state cannot be written.
func TestRestartWithoutRelays(t *testing.T) {
	t.Parallel()
	n := startDistributionNetwork(t)
	first, second := startDiscovery(t, "first"), startDiscovery(t, "second")
	l := n.startLimiter(t, first, n.relayAddresses)
	_ = n.publishAddress(t, distribution.EndpointDiscovery, second.Address(0))
	require.True(t, l.WaitForOutput("event=config-version epoch=1 version=2", 1, eventTimeout), l.Log())
	stateFile := filepath.Join(n.stateDir, "n.distribution")
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(stateFile)
		return err == nil && strings.Contains(string(text), second.Address(0))
	}, eventTimeout, 5*time.Millisecond)
	l.Kill()
	for _, relay := range n.relays {
		relay.Kill()
	}
	l = n.startLimiter(t, first, n.relayAddresses)
	c := l.startClient(t)
	l.awaitRequestsTo(t, second, eventTimeout)
	c.stopAndCheck(t, l, first, second)
	require.Contains(t, l.Log(), "event=config-version epoch=1 version=2\n")
	require.Contains(t, l.Log(), "event=config-unconfirmed epoch=1 version=2 age_s=")
	require.False(
		t,
		l.WaitForOutput("event=config-confirmed", 1, 3*statusCheckInterval/2),
		"no relay has confirmed it: %s",
		l.Log(),
	)
	n.startRelay(t, 0)
	require.True(t, l.WaitForOutput("event=config-confirmed epoch=1 version=2", 1, eventTimeout), l.Log())
	n.relays[0].Kill()
	l.Kill()

	text, err := os.ReadFile(stateFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(stateFile, text[:len(text)-5], 0o600)) // truncated
	l = n.startLimiter(t, first, n.relayAddresses)
	c = l.startClient(t)
	l.awaitRequestsTo(t, first, eventTimeout)
	require.Contains(t, l.Log(), "event=config-state-refused error=\"the state file "+stateFile+" is cut short")
	require.NotContains(t, l.Log(), "event=config-version")
	n.startRelay(t, 1)
	l.awaitRequestsTo(t, second, addressChangeTimeout)
	require.Eventually(t, func() bool { // the limiter may write a state meanwhile
		return os.RemoveAll(n.stateDir) == nil
	}, eventTimeout, time.Millisecond)
	_ = n.publishAddress(t, distribution.EndpointDiscovery, first.Address(0))
	l.awaitRequestsTo(t, first, addressChangeTimeout)
	require.True(t, l.WaitForOutput("event=config-state-unwritten", 1, eventTimeout), l.Log())
	c.stopAndCheck(t, l, first, second)
}

// TestRelayPortReservedWhileDown guards against a relay that cannot be restarted after a kill because its port is taken
// ("bind: address already in use", once in many runs of TestRestartWithoutRelays).
//
// Relays used to listen on any port that the kernel found free. Once a relay had ended, the kernel could give its port
// to any outgoing connection, of this test or of another process. The dial below requests that port on purpose.
func TestRelayPortReservedWhileDown(t *testing.T) {
	n := startDistributionNetwork(t)
	n.relays[0].Kill()
	local, err := net.ResolveTCPAddr("tcp", n.relayAddresses[0])
	require.NoError(t, err)
	dialer := net.Dialer{LocalAddr: local}
	conn, err := dialer.Dial("tcp", n.sourceAddress)
	if err == nil {
		_ = conn.Close()
	}
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	n.startRelay(t, 0)
}

// configWithCounter returns the configuration of a limiter with a counter.
func configWithCounter(t *testing.T, discovery, counter string) *settings.Config {
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

// TestConfigUpdates: the distribution's addresses override the file's, before the reducer runs and while it does.
func TestConfigUpdates(t *testing.T) {
	configs := newConfigUpdates(configWithCounter(t, "a:1", "a:2"))
	require.NoError(t, configs.setAddresses(distribution.Addresses{Counter: "b:2"}))
	config := configs.start()
	require.Equal(t, []string{"a:1", "b:2"}, []string{config.Discovery, config.Counter}, "at the start")
	takeUpdate := func(change func()) []string {
		go change()
		config := <-configs.updates
		return []string{config.Discovery, config.Counter}
	}
	require.Equal(
		t,
		[]string{"b:1", "b:2"},
		takeUpdate(func() { _ = configs.setAddresses(distribution.Addresses{Discovery: "b:1", Counter: "b:2"}) }),
	)
	require.Equal(
		t,
		[]string{"b:1", "b:2"},
		takeUpdate(func() { configs.reloadFile(configWithCounter(t, "c:1", "c:2")) }),
		"SIGHUP",
	)
	require.Equal(
		t,
		[]string{"c:1", "d:2"},
		takeUpdate(func() { _ = configs.setAddresses(distribution.Addresses{Counter: "d:2"}) }),
		"the file's address as read last",
	)
	close(configs.done)
	require.NoError(t, configs.setAddresses(distribution.Addresses{Counter: "e:2"}), "the reducer has ended")
}

// TestCounterAddressWithoutCounter publishes a counter's address to a limiter without a counter.
func TestCounterAddressWithoutCounter(t *testing.T) {
	config := configWithCounter(t, "a:1", "a:2")
	config.Settings.CounterTimeout = 0
	configs := newConfigUpdates(config)
	var fixed *distribution.FixedKeyError
	require.ErrorAs(t, configs.setAddresses(distribution.Addresses{Discovery: "b:1", Counter: "b:2"}), &fixed)
	require.Equal(t, "a:1", configs.start().Discovery, "neither address is put in force")
}

// TestNoRelaysNoFollower: without relays in the operator's file there is no follower, and the configuration file
// applies.
func TestNoRelaysNoFollower(t *testing.T) {
	config := configWithCounter(t, "a:1", "a:2")
	configs := newConfigUpdates(config)
	require.Nil(t, newFollower(config, &operator.Options{Installation: "i"}, configs, func() int64 { return 0 }))
	require.Equal(t, config, configs.start())
}

// TestFollowerStops stops a follower during a change of addresses that the reducer no longer receives, with no relay
// reachable. No goroutine is left.
func TestFollowerStops(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	config := configWithCounter(t, "a:1", "a:2")
	configs := newConfigUpdates(config)
	start := time.Now()
	f := newFollower(config, &operator.Options{Installation: "i", Distribution: operator.Distribution{
		Relays: [2]string{"127.0.0.1:1", "127.0.0.1:1"}, StatePath: t.TempDir(), StateMaxAge: 600e9}}, configs,
		func() int64 { return int64(time.Since(start)) })
	_ = configs.start()
	stop := f.start()
	addressesSet := make(chan error)
	go func() { addressesSet <- configs.setAddresses(distribution.Addresses{Discovery: "b:1"}) }()
	time.Sleep(50 * time.Millisecond)
	stopStart := time.Now()
	stop()
	require.NoError(t, <-addressesSet)
	require.Less(t, time.Since(stopStart), time.Second)
}

// TestUnchangedStateSavedAgain: a state that does not change is saved again while it is confirmed, so that it does not
// exceed the maximum age.
func TestUnchangedStateSavedAgain(t *testing.T) {
	t.Parallel()
	n := startDistributionNetwork(t)
	config := configWithCounter(t, "a:1", "a:2")
	configs := newConfigUpdates(config)
	start := time.Now()
	f := newFollower(config, &operator.Options{Installation: "i", Distribution: operator.Distribution{
		Relays: n.relayAddresses, StatePath: n.stateDir, StateMaxAge: int64(8 * time.Second)}}, configs,
		func() int64 { return start.UnixNano() + int64(time.Since(start)) })
	_ = configs.start()
	defer f.start()()
	savedAt := func() int64 {
		file := statefile.Store{
			Dir:          n.stateDir,
			Installation: "i",
			Subscriber:   "n",
			MaxAge:       int64(time.Hour),
			Files:        atomicfile.Disk{},
		}
		snapshot, err := file.Load(time.Now().UnixNano())
		if err != nil || snapshot == nil {
			return 0
		}
		return snapshot.TakenAt
	}
	require.Eventually(t, func() bool { return savedAt() > 0 }, eventTimeout, 5*time.Millisecond)
	first := savedAt()
	require.Eventually(t, func() bool { return savedAt() > first }, eventTimeout, 5*time.Millisecond)
}
