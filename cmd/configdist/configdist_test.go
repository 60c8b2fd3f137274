package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/lab/distbench"
	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/lab/syscallshim"
	"ospreycroft/internal/lab/testbed"
)

// runMainVariable is an environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "CONFIGDIST_IS_THE_PROGRAM"

func TestMain(m *testing.M) {
	syscallshim.LaunchIfRequested()
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const testTimeout = 10 * time.Second

// testPrograms returns the test binary as the program to start, and sets runMainVariable for its child processes.
func testPrograms(t *testing.T) distbench.Programs {
	t.Setenv(runMainVariable, "1")
	return distbench.Programs{Distribution: os.Args[0]}
}

// runCommand runs a command until it exits. It returns its output and whether its exit status was 0.
func runCommand(t *testing.T, arguments ...string) (text string, ok bool) {
	t.Helper()
	p, err := distbench.Start(os.Args[0], nil, arguments...)
	require.NoError(t, err)
	ended, err := p.WaitForExit(testTimeout)
	require.True(t, ended, p.Log())
	return p.Log(), err == nil
}

func startSource(t *testing.T, programs distbench.Programs, dir string, more ...string) (*distbench.Process, string) {
	t.Helper()
	port := testbed.ReservePort(t)
	return startSourceAt(t, programs, dir, port, more...), port.Address()
}

func startSourceAt(
	t *testing.T, programs distbench.Programs, dir string, port *ports.Reserved, more ...string,
) *distbench.Process {
	t.Helper()
	p, err := programs.StartSource(dir, port, more...)
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	return p
}

func startRelay(t *testing.T, programs distbench.Programs, source, zone string) (*distbench.Process, string) {
	t.Helper()
	port := testbed.ReservePort(t)
	p, err := programs.StartRelay(source, zone, "r", port)
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	// A limiter that calls a relay without a version switches to its other relay, and both would count it for a while.
	require.True(t, p.WaitForOutput("event=config-version", 1, testTimeout), p.Log())
	return p, port.Address()
}

// recorder is an applier that records the versions that came into force.
type recorder struct {
	mutex    sync.Mutex
	versions []distribution.Version
}

func (r *recorder) Apply(update *distribution.Update) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.versions = append(r.versions, update.To)
	return nil
}

// isNewest returns a condition: the given version is the last one that came into force.
func (r *recorder) isNewest(epoch, number uint64) func() bool {
	return func() bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return len(r.versions) > 0 &&
			r.versions[len(r.versions)-1] == distribution.Version{Epoch: epoch, Number: number}
	}
}

// startFollower runs a follower of a new subscriber until the test ends, and returns its applier.
func startFollower(t *testing.T, name string, relays ...string) *recorder {
	applied, clock := &recorder{}, newMonotonicClock()
	follower := transport.NewFollower(
		distribution.NewSubscriber(clock(), distribution.SubscriberOptions{Name: name, Applier: applied}),
		transport.FollowerOptions{
			Servers:     [2]string{relays[0], relays[len(relays)-1]},
			DialTimeout: 250 * time.Millisecond,
			Clock:       clock,
		},
	)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return applied
}

// TestPublish publishes a change given by flags and one given by a file, and polls the status until both limiters have
// the second version in force. A third limiter that is expected but missing makes status fail.
func TestPublish(t *testing.T) {
	programs := testPrograms(t)
	_, source := startSource(t, programs, t.TempDir())
	_, relayA := startRelay(t, programs, source, "a")
	_, relayB := startRelay(t, programs, source, "b")
	one, two := startFollower(t, "one", relayA, relayB), startFollower(t, "two", relayB, relayA)
	text, ok := runCommand(t, "publish", "--source", source, "--kind", "plans", "--key", "gold",
		"--value", `{"rate":5}`)
	require.True(t, ok, text)
	require.Equal(t, "epoch=1 version=2\n", text)
	file := filepath.Join(t.TempDir(), "change.json")
	require.NoError(
		t,
		os.WriteFile(
			file,
			[]byte(`[{"kind":"routes","name":"r","value":"x"},{"kind":"plans","name":"gold","delete":true}]`),
			0o600,
		),
	)
	text, ok = runCommand(t, "publish", "--source", source, "--file", file)
	require.True(t, ok, text)
	require.Equal(t, "epoch=1 version=3\n", text)
	require.Eventually(t, one.isNewest(1, 3), testTimeout, 10*time.Millisecond)
	require.Eventually(t, two.isNewest(1, 3), testTimeout, 10*time.Millisecond)
	for end := time.Now().Add(testTimeout); ; time.Sleep(100 * time.Millisecond) {
		if text, ok = runCommand(t, "status", "--source", source, "--limiters", "2"); ok {
			break
		}
		require.True(t, time.Now().Before(end), text)
	}
	require.Contains(t, text, "version=1.3 in_force=2 limiters=2 unconfirmed=0 oldest=1.3\n")
	require.Contains(t, text, "relay=a/r version=1.3 ")
	text, ok = runCommand(t, "status", "--source", source, "--limiters", "3")
	require.False(t, ok, "one limiter is missing")
	require.Contains(t, text, "in force at 2 of 3 limiters")
}

// TestRefusedPublications checks that each invalid publication is refused with its reason and a hint, and that the head
// does not change.
func TestRefusedPublications(t *testing.T) {
	programs := testPrograms(t)
	_, source := startSource(t, programs, t.TempDir())
	_, relay := startRelay(t, programs, source, "a")
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`[{"kind":"plans","nam":"x"}]`), 0o600))
	for _, c := range []struct {
		name, want string
		arguments  []string
	}{
		{"an unknown kind", `kind \"x\" is not known`, []string{"--kind", "x", "--key", "k"}},
		{"no key", "--kind and --key is empty", []string{"--kind", "plans"}},
		{"a deletion of a missing entry", "is not held", []string{"--kind", "plans", "--key", "k", "--delete"}},
		{"a value of 65 KiB", "too large",
			[]string{"--kind", "plans", "--key", "k", "--value", strings.Repeat("x", 65<<10)}},
		{"a file with an unknown key", `unknown field \"nam\"`, []string{"--file", bad}},
		{"a missing file", "no such file", []string{"--file", bad + "x"}},
		{"a file and an entry", "alone", []string{"--file", bad, "--kind", "plans"}},
		{"an empty change", "has no mutations", []string{"--file", emptyFile(t)}},
		{"a writer of another epoch", "epoch 7 is not the open one, which is 1",
			[]string{"--kind", "plans", "--key", "k", "--epoch", "7"}},
		{"a publication at a relay", "takes no writes", []string{"--source", relay, "--kind", "plans", "--key", "k"}},
		{"an unreachable source", "cannot be reached",
			[]string{"--source", "127.0.0.1:1", "--kind", "plans", "--key", "k"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, ok := runCommand(t, append([]string{"publish", "--source", source}, c.arguments...)...)
			require.False(t, ok, text)
			require.Contains(t, text, c.want)
			require.Contains(t, text, "hint=")
			require.NotContains(t, text, "report it")
		})
	}
	text, _ := runCommand(t, "status", "--source", source)
	require.Contains(t, text, "version=1.1 in_force=0")
}

func emptyFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "empty.json")
	require.NoError(t, os.WriteFile(path, []byte("[]"), 0o600))
	return path
}

// TestSourceRestart kills a source after each publication. After its restart the source must have every publication
// that it has confirmed and open a higher epoch, and limiters must follow it. A writer of an older epoch is fenced,
// and a start with an epoch that has been used fails.
func TestSourceRestart(t *testing.T) {
	programs, dir := testPrograms(t), t.TempDir()
	port := testbed.ReservePort(t)
	source := port.Address()
	p := startSourceAt(t, programs, dir, port)
	_, relay := startRelay(t, programs, source, "a")
	applied := startFollower(t, "one", relay)
	number := uint64(1)
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		text, ok := runCommand(
			t,
			"publish",
			"--source",
			source,
			"--kind",
			"plans",
			"--key",
			fmt.Sprint("p", incarnation),
			"--value",
			"x",
		)
		require.True(t, ok, text)
		number++
		require.Equal(t, fmt.Sprintf("epoch=%d version=%d\n", incarnation, number), text)
		p.Kill()
		p = startSourceAt(t, programs, dir, port)
		number++
		require.Contains(
			t,
			p.Log(),
			fmt.Sprintf("event=source-started epoch=%d version=%d entries=%d", incarnation+1, number, incarnation),
		)
		require.Eventually(t, applied.isNewest(incarnation+1, number), testTimeout, 10*time.Millisecond,
			"incarnation %d", incarnation)
	}
	text, ok := runCommand(
		t,
		"publish",
		"--source",
		source,
		"--kind",
		"plans",
		"--key",
		"late",
		"--value",
		"x",
		"--epoch",
		"3",
	)
	require.False(t, ok, text)
	require.Contains(t, text, "epoch 3 is not the open one, which is 4")
	p.Kill()
	text, ok = runCommand(t, "source", "--dir", dir, "--listen", "127.0.0.1:0", "--epoch", "4")
	require.False(t, ok, text)
	require.Contains(t, text, "epoch 4 is not the open one, which is 4")
}

// TestStartsFromStateOfAnEarlierVersion checks that a source starts from a state file written by version f99e54e.
func TestStartsFromStateOfAnEarlierVersion(t *testing.T) {
	programs, dir := testPrograms(t), t.TempDir()
	stored, err := os.ReadFile("../../internal/distribution/statefile/testdata/source.distribution")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "source.distribution"), stored, 0o600))
	p, _ := startSource(t, programs, dir, "--installation", "east")
	require.Contains(t, p.Log(), "event=source-started epoch=2 version=5 entries=4")
}

// TestReplacedSource runs an old source beside its replacement, which has opened a higher epoch. Once a call has shown
// the old source a version of that epoch, it must refuse publications.
func TestReplacedSource(t *testing.T) {
	programs := testPrograms(t)
	_, older := startSource(t, programs, t.TempDir())
	_, newer := startSource(t, programs, t.TempDir(), "--epoch", "2")
	_, relay := startRelay(t, programs, newer, "a")
	require.Eventually(t, startFollower(t, "one", relay).isNewest(2, 1), testTimeout, 10*time.Millisecond)
	client := transport.NewClient(older, time.Second)
	defer client.Close()
	_, _ = client.Changes(
		context.Background(),
		distribution.ChangesRequest{From: distribution.Version{Epoch: 2, Number: 1}},
		0,
		time.Second,
	)
	text, ok := runCommand(t, "publish", "--source", older, "--kind", "plans", "--key", "k", "--value", "x")
	require.False(t, ok, text)
	require.Contains(t, text, "epoch 1 is not the open one, which is 2")
}

// TestCorruptedState checks that a source does not start from an empty, truncated or changed state file.
func TestCorruptedState(t *testing.T) {
	programs, dir := testPrograms(t), t.TempDir()
	p, _ := startSource(t, programs, dir)
	p.Kill()
	path := filepath.Join(dir, "source.distribution")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for name, corrupted := range map[string]string{"empty": "", "cut": string(text[:len(text)-3]),
		"changed": strings.Replace(string(text), "epoch", "eposh", 1)} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(path, []byte(corrupted), 0o600))
			text, ok := runCommand(t, "source", "--dir", dir, "--listen", "127.0.0.1:0")
			require.False(t, ok, text)
			require.Contains(t, text, "the source's state "+path+" cannot be used")
		})
	}
}

// TestPublishWithoutStateDirectory checks that a source whose state directory has been removed does not confirm a
// publication.
func TestPublishWithoutStateDirectory(t *testing.T) {
	programs, dir := testPrograms(t), filepath.Join(t.TempDir(), "state")
	require.NoError(t, os.Mkdir(dir, 0o700))
	_, source := startSource(t, programs, dir)
	require.NoError(t, os.RemoveAll(dir))
	text, ok := runCommand(t, "publish", "--source", source, "--kind", "plans", "--key", "k", "--value", "x")
	require.False(t, ok, text)
	require.Contains(t, text, "status 500")
}

// TestDiskRefusesPublication lets a write or a sync of the state file fail while a change is published. The publisher
// must get an error. The change is in force at the source nevertheless, so the source must save it once the disk works
// again. After a kill and a restart, both this change and the next one must be there.
func TestDiskRefusesPublication(t *testing.T) {
	for name, failure := range map[string]struct {
		number int
		errno  unix.Errno
	}{"full": {unix.SYS_WRITE, unix.ENOSPC}, "broken": {unix.SYS_FSYNC, unix.EIO}} {
		t.Run(name, func(t *testing.T) {
			programs, dir, port := testPrograms(t), t.TempDir(), testbed.ReservePort(t)
			source := port.Address()
			var failing atomic.Bool
			p, err := distbench.StartUnder(
				func(c syscallshim.Call) syscallshim.Decision {
					if c.Number != failure.number || !failing.Load() || !strings.HasPrefix(c.Path(), dir) {
						return syscallshim.Decision{}
					}
					return syscallshim.Decision{Errno: failure.errno}
				},
				os.Args[0], nil, "source", "--listen", source, "--dir", dir,
			)
			require.NoError(t, err)
			t.Cleanup(p.Kill)
			require.True(t, p.WaitForOutput("event=listening", 1, testTimeout), p.Log())
			publish := func(key string) (string, bool) {
				return runCommand(t, "publish", "--source", source, "--kind", "plans", "--key", key, "--value", "x")
			}
			failing.Store(true)
			text, ok := publish("refused")
			require.False(t, ok, text)
			require.Contains(t, text, "status 500")
			failing.Store(false)
			require.Eventually(t, func() bool {
				text, ok = publish("taken")
				return ok
			}, testTimeout, 50*time.Millisecond, text)
			p.Kill()
			p = startSourceAt(t, programs, dir, port)
			require.Contains(t, p.Log(), "event=source-started epoch=2 version=4 entries=2")
		})
	}
}

// TestSourceWaitsForPort checks that a source retries to listen while another listener, such as its previous
// incarnation, still has the port.
func TestSourceWaitsForPort(t *testing.T) {
	programs, port := testPrograms(t), testbed.ReservePort(t)
	earlier, err := port.Listen()
	require.NoError(t, err)
	time.AfterFunc(500*time.Millisecond, func() { _ = earlier.Close() })
	p := startSourceAt(t, programs, t.TempDir(), port)
	require.Contains(t, p.Log(), "event=start-retried")
}

// TestBadFlags checks that unusable flags are reported by name.
func TestBadFlags(t *testing.T) {
	_ = testPrograms(t)
	for _, c := range []struct {
		want      string
		arguments []string
	}{
		{"--dir is empty", []string{"source"}},
		{"--source is empty", []string{"relay", "--zone", "a"}},
		{"--zone is empty", []string{"relay", "--source", "127.0.0.1:1"}},
		{"--dial-timeout is 0s", []string{"relay", "--source", "127.0.0.1:1", "--zone", "a", "--dial-timeout", "0"}},
		{"cannot listen on 203.0.113.1:1",
			[]string{"relay", "--source", "127.0.0.1:1", "--zone", "a", "--listen", "203.0.113.1:1"}},
	} {
		text, ok := runCommand(t, c.arguments...)
		require.False(t, ok, text)
		require.Contains(t, text, c.want)
	}
}

// TestShutdown checks that a relay and a source that are holding calls exit within seconds of SIGTERM, without an
// error.
func TestShutdown(t *testing.T) {
	programs := testPrograms(t)
	source, sourceAddress := startSource(t, programs, t.TempDir())
	relay, relayAddress := startRelay(t, programs, sourceAddress, "a")
	applied := startFollower(t, "one", relayAddress)
	require.Eventually(t, applied.isNewest(1, 1), testTimeout, 10*time.Millisecond)
	for _, p := range []*distbench.Process{relay, source} {
		require.NoError(t, p.Signal(syscall.SIGTERM))
		ended, err := p.WaitForExit(3 * time.Second)
		require.True(t, ended, p.Log())
		require.NoError(t, err, p.Log())
	}
}

// fakeSource is a handler that responds with a fixed head and overview and records publications.
type fakeSource struct {
	head      distribution.Version
	overview  distribution.Overview
	published []transport.Publication
}

func (f *fakeSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var answer any
	switch r.URL.Path {
	case "/v1/pieces":
		answer = distribution.Piece{Version: f.head, Last: true}
	case "/v1/overview":
		answer = f.overview
	case "/v1/changes":
		var p transport.Publication
		_ = json.NewDecoder(r.Body).Decode(&p)
		f.published = append(f.published, p)
		answer = distribution.Change{Version: distribution.Version{Epoch: f.head.Epoch, Number: f.head.Number + 1}}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func startFakeSource(t *testing.T, f *fakeSource) string {
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestExpectedHead checks that a publication expects the head that was read before, so that a repeated one is not
// applied twice.
func TestExpectedHead(t *testing.T) {
	f := &fakeSource{head: distribution.Version{Epoch: 3, Number: 7}}
	o := &publishOptions{source: startFakeSource(t, f), kind: "plans", key: "k", value: "x", timeout: testTimeout}
	require.NoError(t, publish(t.Context(), o, io.Discard))
	require.Len(t, f.published, 1)
	require.Equal(t, uint64(3), f.published[0].Epoch)
	require.Equal(t, &f.head, f.published[0].Expected)
}

// TestStatus checks the output and the error of status for several overviews: all limiters have the head, some are
// behind, one is unconfirmed, and a relay is silent.
func TestStatus(t *testing.T) {
	head := distribution.Version{Epoch: 3, Number: 7}
	older := distribution.Version{Epoch: 2, Number: 5}
	versionCount := func(version distribution.Version, limiters int) distribution.VersionCount {
		return distribution.VersionCount{Version: version, Limiters: limiters}
	}
	good := distribution.Summary{
		Relay:    "a/r",
		Version:  head,
		Age:      5e8,
		Versions: []distribution.VersionCount{versionCount(head, 4)},
	}
	behind, unconfirmed := good, good
	behind.Relay, behind.Versions = "b/r", []distribution.VersionCount{versionCount(head, 1), versionCount(older, 2)}
	behind.Refusals = []distribution.Refusal{{VersionCount: versionCount(head, 2), Reason: "no address"}}
	unconfirmed.Unconfirmed = 1
	for _, c := range []struct {
		name     string
		overview distribution.Overview
		want     *NotInForceError
		lines    []string
	}{
		{"all", distribution.Overview{Relays: []distribution.Summary{good}}, nil,
			[]string{"version=3.7 in_force=4 limiters=4 unconfirmed=0 oldest=3.7",
				"relay=a/r version=3.7 age_s=0.500 limiters=4"}},
		{"one behind", distribution.Overview{Relays: []distribution.Summary{good, behind}},
			&NotInForceError{Version: head, InForce: 5, Limiters: 7},
			[]string{"in_force=5 limiters=7 unconfirmed=0 oldest=2.5",
				`refused=3.7 relay=b/r limiters=2 reason="no address"`}},
		{"one unconfirmed", distribution.Overview{Relays: []distribution.Summary{unconfirmed}},
			&NotInForceError{Version: head, InForce: 4, Limiters: 4, Unconfirmed: 1}, []string{"unconfirmed=1"}},
		{"a silent relay", distribution.Overview{Relays: []distribution.Summary{good}, Silent: []string{"b/r"}},
			&NotInForceError{Version: head, InForce: 4, Limiters: 4, Silent: 1}, []string{"silent=b/r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := status(
				t.Context(),
				&statusOptions{source: startFakeSource(t, &fakeSource{head: head, overview: c.overview}),
					timeout: testTimeout},
				&out,
			)
			if c.want == nil {
				require.NoError(t, err)
			} else {
				require.Equal(t, c.want, err)
			}
			for _, line := range c.lines {
				require.Contains(t, out.String(), line)
			}
		})
	}
}
