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

// programVariable tells the test's own file to be the program.
const programVariable = "CONFIGDIST_IS_THE_PROGRAM"

func TestMain(m *testing.M) {
	syscallshim.LaunchIfAsked()
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const soon = 10 * time.Second

// programs are this test's own file.
func programs(t *testing.T) distbench.Programs {
	t.Setenv(programVariable, "1")
	return distbench.Programs{Distribution: os.Args[0]}
}

// run runs a command to its end, and gives what it wrote and whether it ended with 0.
func run(t *testing.T, arguments ...string) (text string, ok bool) {
	t.Helper()
	p, err := distbench.Start(os.Args[0], nil, arguments...)
	require.NoError(t, err)
	ended, err := p.Ended(soon)
	require.True(t, ended, p.Log())
	return p.Log(), err == nil
}

func startSource(t *testing.T, of distbench.Programs, dir string, more ...string) (*distbench.Process, string) {
	t.Helper()
	port := testbed.KeepPort(t)
	return startSourceAt(t, of, dir, port, more...), port.Address()
}

func startSourceAt(t *testing.T, of distbench.Programs, dir string, port *ports.Kept, more ...string) *distbench.Process {
	t.Helper()
	p, err := of.StartSource(dir, port, more...)
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	return p
}

func startRelay(t *testing.T, of distbench.Programs, source, zone string) (*distbench.Process, string) {
	t.Helper()
	port := testbed.KeepPort(t)
	p, err := of.StartRelay(source, zone, "r", port)
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	// A limiter that finds it without a version changes over, and is counted at both relays for a while.
	require.True(t, p.Wrote("event=config-version", 1, soon), p.Log())
	return p, port.Address()
}

// recorder is an applier that notes what came in force.
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

// has tells whether a version is the newest in force.
func (r *recorder) has(epoch, number uint64) func() bool {
	return func() bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return len(r.versions) > 0 &&
			r.versions[len(r.versions)-1] == distribution.Version{Epoch: epoch, Number: number}
	}
}

// follow runs a subscriber until the test ends.
func follow(t *testing.T, name string, relays ...string) *recorder {
	r, clock := &recorder{}, monotonic()
	f := transport.NewFollower(
		distribution.NewSubscriber(clock(), distribution.SubscriberOptions{Name: name, Applier: r}),
		transport.FollowerOptions{
			Servers:     [2]string{relays[0], relays[len(relays)-1]},
			DialTimeout: 250 * time.Millisecond,
			Clock:       clock,
		},
	)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return r
}

// TestPublish publishes by flags and by a file, and asks for the status until all limiters have it.
func TestPublish(t *testing.T) {
	of := programs(t)
	_, source := startSource(t, of, t.TempDir())
	_, first := startRelay(t, of, source, "a")
	_, second := startRelay(t, of, source, "b")
	one, two := follow(t, "one", first, second), follow(t, "two", second, first)
	text, ok := run(t, "publish", "--source", source, "--kind", "plans", "--key", "gold", "--value", `{"rate":5}`)
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
	text, ok = run(t, "publish", "--source", source, "--file", file)
	require.True(t, ok, text)
	require.Equal(t, "epoch=1 version=3\n", text)
	require.Eventually(t, one.has(1, 3), soon, 10*time.Millisecond)
	require.Eventually(t, two.has(1, 3), soon, 10*time.Millisecond)
	for end := time.Now().Add(soon); ; time.Sleep(100 * time.Millisecond) {
		if text, ok = run(t, "status", "--source", source, "--limiters", "2"); ok {
			break
		}
		require.True(t, time.Now().Before(end), text)
	}
	require.Contains(t, text, "version=1.3 in_force=2 limiters=2 unconfirmed=0 oldest=1.3\n")
	require.Contains(t, text, "relay=a/r version=1.3 ")
	text, ok = run(t, "status", "--source", source, "--limiters", "3")
	require.False(t, ok, "one limiter is missing")
	require.Contains(t, text, "in force at 2 of 3 limiters")
}

// TestRefusedPublications publishes what cannot be: each is refused by its reason, and the head stays.
func TestRefusedPublications(t *testing.T) {
	of := programs(t)
	_, source := startSource(t, of, t.TempDir())
	_, relay := startRelay(t, of, source, "a")
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`[{"kind":"plans","nam":"x"}]`), 0o600))
	for _, c := range []struct {
		name, want string
		arguments  []string
	}{
		{"an unknown kind", `kind \"x\" is not known`, []string{"--kind", "x", "--key", "k"}},
		{"no key", "--kind and --key is empty", []string{"--kind", "plans"}},
		{"a deletion of what is not held", "is not held", []string{"--kind", "plans", "--key", "k", "--delete"}},
		{"a value of 65 KiB", "too large", []string{"--kind", "plans", "--key", "k", "--value", strings.Repeat("x", 65<<10)}},
		{"a file with another key", `unknown field \"nam\"`, []string{"--file", bad}},
		{"no file", "no such file", []string{"--file", bad + "x"}},
		{"a file and an entry", "alone", []string{"--file", bad, "--kind", "plans"}},
		{"an empty change", "has no mutations", []string{"--file", emptyFile(t)}},
		{"a writer of another epoch", "epoch 7 is not the open one, which is 1", []string{"--kind", "plans", "--key", "k", "--epoch", "7"}},
		{"a relay", "takes no writes", []string{"--source", relay, "--kind", "plans", "--key", "k"}},
		{"nobody there", "cannot be reached", []string{"--source", "127.0.0.1:1", "--kind", "plans", "--key", "k"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, ok := run(t, append([]string{"publish", "--source", source}, c.arguments...)...)
			require.False(t, ok, text)
			require.Contains(t, text, c.want)
			require.Contains(t, text, "hint=")
			require.NotContains(t, text, "report it")
		})
	}
	text, _ := run(t, "status", "--source", source)
	require.Contains(t, text, "version=1.1 in_force=0")
}

func emptyFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "empty.json")
	require.NoError(t, os.WriteFile(path, []byte("[]"), 0o600))
	return path
}

// TestSourceRestart kills a source behind each publication: what was answered is there in its next life, which opens a
// higher epoch, and limiters go on from it. The older epoch's writer is fenced.
func TestSourceRestart(t *testing.T) {
	of, dir := programs(t), t.TempDir()
	port := testbed.KeepPort(t)
	source := port.Address()
	p := startSourceAt(t, of, dir, port)
	_, relay := startRelay(t, of, source, "a")
	limiter := follow(t, "one", relay)
	number := uint64(1)
	for life := uint64(1); life <= 3; life++ {
		text, ok := run(
			t,
			"publish",
			"--source",
			source,
			"--kind",
			"plans",
			"--key",
			fmt.Sprint("p", life),
			"--value",
			"x",
		)
		require.True(t, ok, text)
		number++
		require.Equal(t, fmt.Sprintf("epoch=%d version=%d\n", life, number), text)
		p.Kill()
		p = startSourceAt(t, of, dir, port)
		number++
		require.Contains(
			t,
			p.Log(),
			fmt.Sprintf("event=source-started epoch=%d version=%d entries=%d", life+1, number, life),
		)
		require.Eventually(t, limiter.has(life+1, number), soon, 10*time.Millisecond, "life %d", life)
	}
	text, ok := run(
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
	text, ok = run(t, "source", "--dir", dir, "--listen", "127.0.0.1:0", "--epoch", "4")
	require.False(t, ok, text)
	require.Contains(t, text, "epoch 4 is not the open one, which is 4")
}

// TestStartsFromStateOfAnEarlierVersion has a source begin with the state that one of version f99e54e has left.
func TestStartsFromStateOfAnEarlierVersion(t *testing.T) {
	of, dir := programs(t), t.TempDir()
	stored, err := os.ReadFile("../../internal/distribution/statefile/testdata/source.distribution")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "source.distribution"), stored, 0o600))
	p, _ := startSource(t, of, dir, "--installation", "east")
	require.Contains(t, p.Log(), "event=source-started epoch=2 version=5 entries=4")
}

// TestReplacedSource has an older source that still runs beside a newer epoch's: a call from that epoch's version
// fences it, and it publishes nothing more.
func TestReplacedSource(t *testing.T) {
	of := programs(t)
	_, older := startSource(t, of, t.TempDir())
	_, newer := startSource(t, of, t.TempDir(), "--epoch", "2")
	_, relay := startRelay(t, of, newer, "a")
	require.Eventually(t, follow(t, "one", relay).has(2, 1), soon, 10*time.Millisecond)
	client := transport.NewClient(older, time.Second)
	defer client.Close()
	_, _ = client.Changes(
		context.Background(),
		distribution.ChangesRequest{From: distribution.Version{Epoch: 2, Number: 1}},
		0,
		time.Second,
	)
	text, ok := run(t, "publish", "--source", older, "--kind", "plans", "--key", "k", "--value", "x")
	require.False(t, ok, text)
	require.Contains(t, text, "epoch 1 is not the open one, which is 2")
}

// TestUnusableState starts a source with files that it must not go on without.
func TestUnusableState(t *testing.T) {
	of, dir := programs(t), t.TempDir()
	p, _ := startSource(t, of, dir)
	p.Kill()
	path := filepath.Join(dir, "source.distribution")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for name, spoilt := range map[string]string{"empty": "", "cut": string(text[:len(text)-3]), "changed": strings.Replace(string(text), "epoch", "eposh", 1)} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(path, []byte(spoilt), 0o600))
			text, ok := run(t, "source", "--dir", dir, "--listen", "127.0.0.1:0")
			require.False(t, ok, text)
			require.Contains(t, text, "the source's state "+path+" cannot be used")
		})
	}
}

// TestUnwritable has a source whose disk takes nothing more: the publication is not answered as taken.
func TestUnwritable(t *testing.T) {
	of, dir := programs(t), filepath.Join(t.TempDir(), "state")
	require.NoError(t, os.Mkdir(dir, 0o700))
	_, source := startSource(t, of, dir)
	require.NoError(t, os.RemoveAll(dir))
	text, ok := run(t, "publish", "--source", source, "--kind", "plans", "--key", "k", "--value", "x")
	require.False(t, ok, text)
	require.Contains(t, text, "status 500")
}

// TestDiskRefusesPublication: the disk refuses a state's write, or sync, as a change is published. The publisher is not told that
// it is kept. The change stands, though, and so it is there behind a kill, once the disk has taken it; and so is the next.
func TestDiskRefusesPublication(t *testing.T) {
	for name, refused := range map[string]struct {
		number int
		errno  unix.Errno
	}{"full": {unix.SYS_WRITE, unix.ENOSPC}, "broken": {unix.SYS_FSYNC, unix.EIO}} {
		t.Run(name, func(t *testing.T) {
			of, dir, port := programs(t), t.TempDir(), testbed.KeepPort(t)
			source := port.Address()
			var refuses atomic.Bool
			p, err := distbench.StartUnder(
				func(c syscallshim.Call) syscallshim.Decision {
					if c.Number != refused.number || !refuses.Load() || !strings.HasPrefix(c.Path(), dir) {
						return syscallshim.Decision{}
					}
					return syscallshim.Decision{Errno: refused.errno}
				},
				os.Args[0], nil, "source", "--listen", source, "--dir", dir,
			)
			require.NoError(t, err)
			t.Cleanup(p.Kill)
			require.True(t, p.Wrote("event=listening", 1, soon), p.Log())
			publish := func(key string) (string, bool) {
				return run(t, "publish", "--source", source, "--kind", "plans", "--key", key, "--value", "x")
			}
			refuses.Store(true)
			text, ok := publish("refused")
			require.False(t, ok, text)
			require.Contains(t, text, "status 500")
			refuses.Store(false)
			require.Eventually(t, func() bool {
				text, ok = publish("taken")
				return ok
			}, soon, 50*time.Millisecond, text)
			p.Kill()
			p = startSourceAt(t, of, dir, port)
			require.Contains(t, p.Log(), "event=source-started epoch=2 version=4 entries=2")
		})
	}
}

// TestStartsOnPortThatIsHeldForAMoment: a source whose port its former life still holds waits for it.
func TestStartsOnPortThatIsHeldForAMoment(t *testing.T) {
	of, port := programs(t), testbed.KeepPort(t)
	former, err := port.Listen()
	require.NoError(t, err)
	time.AfterFunc(500*time.Millisecond, func() { _ = former.Close() })
	p := startSourceAt(t, of, t.TempDir(), port)
	require.Contains(t, p.Log(), "event=start-retried")
}

// TestBadFlags starts with flags that cannot work.
func TestBadFlags(t *testing.T) {
	_ = programs(t)
	for _, c := range []struct {
		want      string
		arguments []string
	}{
		{"--dir is empty", []string{"source"}},
		{"--source is empty", []string{"relay", "--zone", "a"}},
		{"--zone is empty", []string{"relay", "--source", "127.0.0.1:1"}},
		{"--dial-timeout is 0s", []string{"relay", "--source", "127.0.0.1:1", "--zone", "a", "--dial-timeout", "0"}},
		{"cannot listen on 203.0.113.1:1", []string{"relay", "--source", "127.0.0.1:1", "--zone", "a", "--listen", "203.0.113.1:1"}},
	} {
		text, ok := run(t, c.arguments...)
		require.False(t, ok, text)
		require.Contains(t, text, c.want)
	}
}

// TestStop ends a relay and a source that hold calls: each ends by itself, at once and without an error.
func TestStop(t *testing.T) {
	of := programs(t)
	source, at := startSource(t, of, t.TempDir())
	relay, second := startRelay(t, of, at, "a")
	limiter := follow(t, "one", second)
	require.Eventually(t, limiter.has(1, 1), soon, 10*time.Millisecond)
	for _, p := range []*distbench.Process{relay, source} {
		require.NoError(t, p.Signal(syscall.SIGTERM))
		ended, err := p.Ended(3 * time.Second)
		require.True(t, ended, p.Log())
		require.NoError(t, err, p.Log())
	}
}

// fake answers a client's calls with what it was given, and notes publications.
type fake struct {
	head      distribution.Version
	overview  distribution.Overview
	published []transport.Publication
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func startFake(t *testing.T, f *fake) string {
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestExpectedHead publishes for the head that was read, so that a repetition cannot be taken twice.
func TestExpectedHead(t *testing.T) {
	f := &fake{head: distribution.Version{Epoch: 3, Number: 7}}
	o := &publishOptions{source: startFake(t, f), kind: "plans", key: "k", value: "x", timeout: soon}
	require.NoError(t, publish(t.Context(), o, io.Discard))
	require.Len(t, f.published, 1)
	require.Equal(t, uint64(3), f.published[0].Epoch)
	require.Equal(t, &f.head, f.published[0].Expected)
}

// TestStatus judges overviews: all have the head, one is behind, one is unconfirmed, a relay is silent.
func TestStatus(t *testing.T) {
	head := distribution.Version{Epoch: 3, Number: 7}
	older := distribution.Version{Epoch: 2, Number: 5}
	has := func(version distribution.Version, limiters int) distribution.VersionCount {
		return distribution.VersionCount{Version: version, Limiters: limiters}
	}
	good := distribution.Summary{
		Relay:    "a/r",
		Version:  head,
		Age:      5e8,
		Versions: []distribution.VersionCount{has(head, 4)},
	}
	behind, unconfirmed := good, good
	behind.Relay, behind.Versions = "b/r", []distribution.VersionCount{has(head, 1), has(older, 2)}
	behind.Refusals = []distribution.Refusal{{VersionCount: has(head, 2), Reason: "no address"}}
	unconfirmed.Unconfirmed = 1
	for _, c := range []struct {
		name     string
		overview distribution.Overview
		want     *NotInForceError
		lines    []string
	}{
		{"all", distribution.Overview{Relays: []distribution.Summary{good}}, nil,
			[]string{"version=3.7 in_force=4 limiters=4 unconfirmed=0 oldest=3.7", "relay=a/r version=3.7 age_s=0.500 limiters=4"}},
		{"one behind", distribution.Overview{Relays: []distribution.Summary{good, behind}},
			&NotInForceError{Version: head, InForce: 5, Limiters: 7},
			[]string{"in_force=5 limiters=7 unconfirmed=0 oldest=2.5", `refused=3.7 relay=b/r limiters=2 reason="no address"`}},
		{"one unconfirmed", distribution.Overview{Relays: []distribution.Summary{unconfirmed}},
			&NotInForceError{Version: head, InForce: 4, Limiters: 4, Unconfirmed: 1}, []string{"unconfirmed=1"}},
		{"a silent relay", distribution.Overview{Relays: []distribution.Summary{good}, Silent: []string{"b/r"}},
			&NotInForceError{Version: head, InForce: 4, Limiters: 4, Silent: 1}, []string{"silent=b/r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := status(
				t.Context(),
				&statusOptions{source: startFake(t, &fake{head: head, overview: c.overview}), timeout: soon},
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
