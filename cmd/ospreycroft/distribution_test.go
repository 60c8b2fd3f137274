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
			listener, err := n.ports[0].Listen()
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
	n.startRelay(t, 0)
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
	n.startRelay(t, 0)
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
	n.startRelay(t, 1)
	l.moved(t, second, moveWithin)
	require.NoError(t, os.RemoveAll(n.state))
	_ = n.publish(t, distribution.EndpointDiscovery, first.Address(0))
	l.moved(t, first, moveWithin)
	require.True(t, l.Wrote("event=config-state-unwritten", 1, soon), l.Log())
	c.judge(t, l, first, second)
}

// TestRelayPortStaysKeptWhileItIsDown: a relay that was killed could not be started again, since something else on the machine
// had its port by then ("bind: address already in use", once in many runs of TestRestart).
//
// The relay had asked the kernel for any free port; behind its end the port was free again, and the kernel gave it to the next
// connection that went out, here or in another test's process. The dial below does on purpose what the kernel did by chance.
func TestRelayPortStaysKeptWhileItIsDown(t *testing.T) {
	n := startNetwork(t)
	n.relays[0].Kill()
	local, err := net.ResolveTCPAddr("tcp", n.servers[0])
	require.NoError(t, err)
	outgoing := net.Dialer{LocalAddr: local}
	conn, err := outgoing.Dial("tcp", n.address)
	if err == nil {
		_ = conn.Close()
	}
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	n.startRelay(t, 0)
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
