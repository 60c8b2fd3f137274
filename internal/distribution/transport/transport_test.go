package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/lab/testbed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTimeout   = 20 * time.Second
	checkInterval = 5 * time.Millisecond
	dialTimeout   = 250 * time.Millisecond
)

var clockStart = time.Now()

func clock() int64 { return int64(time.Since(clockStart)) }

// testServer is an HTTP server on a loopback port.
type testServer struct {
	address string
	port    *ports.Reserved
	server  *http.Server
	done    chan struct{}
}

// startServer starts a server on a port that stays reserved after the server is closed, so that another server can be
// started on it.
func startServer(t *testing.T, server *http.Server) *testServer {
	t.Helper()
	return startServerAt(t, server, testbed.ReservePort(t))
}

func startServerAt(t *testing.T, server *http.Server, port *ports.Reserved) *testServer {
	t.Helper()
	listener, err := port.Listen()
	require.NoError(t, err)
	s := &testServer{address: port.Address(), port: port, server: server, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(s.close)
	return s
}

// close stops the server and closes its connections.
func (s *testServer) close() {
	_ = s.server.Close()
	<-s.done
}

// startFollower runs a follower until stop is called or the test ends.
func startFollower(t *testing.T, f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

// testSource is a running source and a client of it.
type testSource struct {
	*testServer
	core   *distribution.Source
	client *Client
	t      *testing.T
}

func startSource(t *testing.T) *testSource {
	t.Helper()
	core := distribution.NewSource(distribution.NewLog(distribution.Retention{}), distribution.Budget{})
	s := &testSource{testServer: startServer(t, NewSourceServer(core, clock).HTTP()), core: core, t: t}
	s.client = NewClient(s.address, dialTimeout)
	t.Cleanup(s.client.Close)
	_, err := s.client.Open(context.Background(), 1, testTimeout)
	require.NoError(t, err)
	return s
}

func planMutation(name, value string) distribution.Mutation {
	return distribution.Mutation{
		Entry: distribution.Entry{Key: distribution.Key{Kind: distribution.KindPlans, Name: name}, Value: value},
	}
}

func (s *testSource) publish(value string) distribution.Version {
	s.t.Helper()
	change, err := s.client.Publish(context.Background(), Publication{Epoch: 1, Mutations: []distribution.Mutation{
		planMutation("first", value), planMutation("second", value)}}, testTimeout)
	require.NoError(s.t, err)
	return change.Version
}

// testRelay is a running relay that follows a source.
type testRelay struct {
	*testServer
	core *distribution.Relay
	stop func()
}

func startRelay(
	t *testing.T,
	name string,
	port *ports.Reserved,
	source string,
	middleware func(http.Handler) http.Handler,
) *testRelay {
	t.Helper()
	core := distribution.NewRelay(clock(), distribution.RelayOptions{Name: name, UnconfirmedAfter: int64(time.Second)})
	server := NewRelayServer(core, clock)
	httpServer := server.HTTP()
	if middleware != nil {
		httpServer.Handler = middleware(server)
	}
	r := &testRelay{testServer: startServerAt(t, httpServer, port), core: core}
	r.stop = startFollower(
		t,
		NewRelayFollower(core, server, FollowerOptions{Servers: [2]string{source, source}, DialTimeout: dialTimeout,
			Hold: 200 * time.Millisecond, Clock: clock}),
	)
	client := NewClient(r.address, dialTimeout)
	defer client.Close()
	eventually(t, func() bool {
		_, err := client.Piece(context.Background(), distribution.PieceRequest{}, testTimeout)
		return err == nil
	}, "the relay is ready")
	return r
}

// testLimiter is a subscriber with a follower. Its applier stores the entries first and second, which each publication
// sets to the same value, and fails the test if they differ: then a change was applied in part.
type testLimiter struct {
	*Follower
	mutex      sync.Mutex
	t          *testing.T
	values     map[string]string
	applyError error
	reports    []error
	snapshots  []*distribution.Snapshot
}

func (l *testLimiter) Apply(update *distribution.Update) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.applyError != nil {
		return l.applyError
	}
	if update.FullState != nil {
		clear(l.values)
		for _, e := range update.FullState.Entries() {
			l.values[e.Name] = e.Value
		}
	}
	for _, change := range update.Changes {
		for _, m := range change.Mutations {
			l.values[m.Name] = m.Value
		}
	}
	if l.values["first"] != l.values["second"] {
		l.t.Errorf("a change is in force only in part: %v", l.values)
	}
	return nil
}

func (l *testLimiter) value() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.values["first"]
}

func (l *testLimiter) setApplyError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyError = err
}

// reported tells whether the follower has reported a matching error.
func (l *testLimiter) reported(match func(error) bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, err := range l.reports {
		if match(err) {
			return true
		}
	}
	return false
}

func (l *testLimiter) status() (status distribution.Status) {
	l.WithSubscriber(func(now int64, s *distribution.Subscriber) { status = s.Status(now) })
	return status
}

func startLimiter(t *testing.T, name string, servers [2]string) *testLimiter {
	t.Helper()
	l := &testLimiter{t: t, values: map[string]string{}}
	subscriber := distribution.NewSubscriber(
		clock(),
		distribution.SubscriberOptions{Name: name, Applier: l, UnconfirmedAfter: int64(time.Second)},
	)
	l.Follower = NewFollower(
		subscriber,
		FollowerOptions{Servers: servers, DialTimeout: dialTimeout, Hold: 200 * time.Millisecond, Clock: clock,
			OnError: func(err error) {
				l.mutex.Lock()
				defer l.mutex.Unlock()
				l.reports = append(l.reports, err)
			}, OnVersion: func(s *distribution.Snapshot) {
				l.mutex.Lock()
				defer l.mutex.Unlock()
				l.snapshots = append(l.snapshots, s)
			}},
	)
	startFollower(t, l.Follower)
	return l
}

func eventually(t *testing.T, condition func() bool, what string) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, checkInterval, what)
}

func hasType[E hint.Error](err error) bool {
	var e E
	return errors.As(err, &e) && e.Hint() != "" && e.Error() != ""
}

// TestFleet checks that each publication comes into force at all limiters behind two relays, and that the relays'
// summaries let the source count how many limiters have it in force or have refused it.
func TestFleet(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	s.publish("one")
	a := startRelay(t, "a", testbed.ReservePort(t), s.address, nil)
	b := startRelay(t, "b", testbed.ReservePort(t), s.address, nil)
	var limiters []*testLimiter
	for i := range 6 {
		servers := [2]string{a.address, b.address}
		if i%2 > 0 {
			servers = [2]string{b.address, a.address}
		}
		limiters = append(limiters, startLimiter(t, fmt.Sprint("limiter-", i), servers))
	}
	inForce := func(value string) {
		t.Helper()
		for i, l := range limiters {
			eventually(t, func() bool { return l.value() == value }, fmt.Sprint("limiter ", i))
		}
	}
	inForce("one")
	for _, value := range []string{"two", "three", "four"} {
		version := s.publish(value)
		inForce(value)
		eventually(t, func() bool {
			o, err := s.client.Overview(context.Background(), testTimeout)
			if err != nil {
				return false
			}
			reached, all := o.InForce(version)
			return reached == 6 && all == 6
		}, "all limiters in the overview")
	}
	limiters[3].setApplyError(errors.New("not this one"))
	version := s.publish("five")
	eventually(t, func() bool {
		o, err := s.client.Overview(context.Background(), testTimeout)
		if err != nil {
			return false
		}
		reached, _ := o.InForce(version)
		for _, r := range o.Relays {
			for _, refusal := range r.Refusals {
				return reached == 5 && refusal.Version == version && refusal.Limiters == 1 &&
					refusal.Reason == "not this one"
			}
		}
		return false
	}, "the refusal in the overview")
	require.Equal(t, "four", limiters[3].value())
	limiters[3].setApplyError(nil)
	s.publish("six")
	inForce("six")
	limiters[0].mutex.Lock()
	defer limiters[0].mutex.Unlock()
	last := limiters[0].snapshots[len(limiters[0].snapshots)-1]
	require.Equal(t, distribution.Version{Epoch: 1, Number: 7}, last.Version)
	require.Len(t, last.Entries, 2)
}

// faultInjector is middleware in front of a relay. Once a fault is set, the fault handles the calls instead of the
// relay.
type faultInjector struct {
	mutex      sync.Mutex
	fault      func(http.ResponseWriter, *http.Request, http.Handler)
	faultCalls int // GET calls since the fault was set
}

// faultCallCount returns how many GET calls the fault has handled.
func (f *faultInjector) faultCallCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faultCalls
}

func (f *faultInjector) setFault(fault func(http.ResponseWriter, *http.Request, http.Handler)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault = fault
}

func (f *faultInjector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mutex.Lock()
		fault := f.fault
		if fault != nil && r.Method == http.MethodGet {
			f.faultCalls++
		}
		f.mutex.Unlock()
		if fault == nil {
			next.ServeHTTP(w, r)
			return
		}
		fault(w, r, next)
	})
}

// rawResponse returns a fault that writes text to the connection and closes it.
func rawResponse(text string) func(http.ResponseWriter, *http.Request, http.Handler) {
	return func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// bodyResponse returns a fault that responds with a status and a body.
func bodyResponse(status int, text string) func(http.ResponseWriter, *http.Request, http.Handler) {
	return func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// modifiedResponse returns a fault that passes the call to the relay and changes the body of its response.
func modifiedResponse(change func(text string) string) func(http.ResponseWriter, *http.Request, http.Handler) {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		w.WriteHeader(recorder.Code)
		_, _ = io.WriteString(w, change(recorder.Body.String()))
	}
}

// truncatedResponse is a fault that sends the first half of the relay's response and closes the connection.
func truncatedResponse(w http.ResponseWriter, r *http.Request, next http.Handler) {
	recorder := httptest.NewRecorder()
	next.ServeHTTP(recorder, r)
	text := recorder.Body.String()
	rawResponse(
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]),
	)(w, r, next)
}

// stalledResponse is a fault that reads the call and does not respond before the client closes it.
func stalledResponse(_ http.ResponseWriter, r *http.Request, _ http.Handler) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body has been read
	<-r.Context().Done()
}

// TestFaultyRelay checks a limiter whose first relay gives a faulty response or none. The limiter must keep its last
// valid version, apply no change in part, report an error of the expected type, and get the new version from its second
// relay.
func TestFaultyRelay(t *testing.T) {
	const oldDelta = `{"from":{"epoch":1,"number":1},"to":{"epoch":1,"number":2},"changes":[{"version":{"epoch":1,"number":2},` +
		`"published":1,"mutations":[{"kind":"plans","name":"first","value":"zero"}]}],` +
		`"digest":"0000000000000000000000000000000000000000000000000000000000000000","age_ns":0}`
	for _, c := range []struct {
		name    string
		fault   func(http.ResponseWriter, *http.Request, http.Handler)
		matches func(error) bool
	}{
		{"garbage", rawResponse("\x00\x01what\r\n\r\n"), hasType[*UnreachableError]},
		{"closed without a response", rawResponse(""), hasType[*UnreachableError]},
		{"HTML", bodyResponse(200, "<html>"), hasType[*distribution.MalformedError]},
		{"JSON of another type", bodyResponse(200, `{"from":7}`), hasType[*distribution.MalformedError]},
		{"JSON without a version", bodyResponse(200, `{"generation":4}`), hasType[*distribution.MalformedError]},
		{"truncated body", truncatedResponse, hasType[*TruncatedError]},
		{"truncated JSON", modifiedResponse(func(text string) string { return text[:len(text)/2] }),
			hasType[*distribution.MalformedError]},
		{"stale delta", bodyResponse(200, oldDelta), hasType[*distribution.StaleAnswerError]},
		{"too long", bodyResponse(200, strings.Repeat(" ", MaxResponseBytes+1)), hasType[*TooLongError]},
		{"error without a code", bodyResponse(500, "out of order"), hasType[*StatusError]},
		{"error with an unknown code", bodyResponse(500, `{"code":"wish"}`), hasType[*StatusError]},
		{"redirect", func(w http.ResponseWriter, r *http.Request, _ http.Handler) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}, hasType[*StatusError]},
		{"status 204", bodyResponse(204, ""), hasType[*StatusError]},
		{"not ready", bodyResponse(503, `{"code":"not_ready"}`), hasType[*distribution.NotReadyError]},
		{"changed value",
			modifiedResponse(func(text string) string { return strings.Replace(text, `"value":"two"`, `"value":"2"`, 1) }),
			hasType[*distribution.DigestError]},
		{"unknown kind",
			modifiedResponse(func(text string) string { return strings.Replace(text, `"kind":"plans"`, `"kind":"wishes"`, 1) }),
			hasType[*distribution.KindError]},
		{"stalled", stalledResponse, hasType[*UnansweredError]},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSource(t)
			s.publish("zero")
			s.publish("one")
			f := &faultInjector{}
			a := startRelay(t, "a", testbed.ReservePort(t), s.address, f.wrap)
			b := startRelay(t, "b", testbed.ReservePort(t), s.address, nil)
			l := startLimiter(t, "n", [2]string{a.address, b.address})
			eventually(t, func() bool { return l.value() == "one" }, "the initial version in force")
			f.setFault(c.fault)
			eventually(t, func() bool { return f.faultCallCount() > 0 }, "a call handled by the fault")
			s.publish("two")
			eventually(t, func() bool { return l.value() == "two" }, "the new version from the second relay")
			eventually(t, func() bool { return l.reported(c.matches) }, "the expected error type")
			eventually(t, func() bool { return l.status().Condition == distribution.Current }, "condition current")
		})
	}
}

// TestRelaysUnavailable checks a limiter that loses its relays and the source one by one. With one relay stopped it
// follows the other. With the source or both relays stopped it keeps its last version, which becomes unconfirmed and
// ages. After a restart of the source and a relay it is current again. A relay refuses writes.
func TestRelaysUnavailable(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	s.publish("one")
	a := startRelay(t, "a", testbed.ReservePort(t), s.address, nil)
	b := startRelay(t, "b", testbed.ReservePort(t), s.address, nil)
	l := startLimiter(t, "n", [2]string{a.address, b.address})
	eventually(t, func() bool { return l.value() == "one" }, "one")
	a.close()
	a.stop()
	s.publish("two")
	eventually(t, func() bool { return l.value() == "two" }, "two")

	s.close()
	eventually(t, func() bool { return l.status().Condition == distribution.Unconfirmed },
		"unconfirmed without the source")
	require.GreaterOrEqual(t, l.status().Age, int64(time.Second))
	client := NewClient(b.address, dialTimeout)
	defer client.Close()
	_, err := client.Publish(
		context.Background(),
		Publication{Epoch: 1, Mutations: []distribution.Mutation{planMutation("first", "x")}},
		testTimeout,
	)
	require.True(t, hasType[*distribution.ReadOnlyError](err), "%v", err)
	_, err = client.Open(context.Background(), 2, testTimeout)
	require.True(t, hasType[*distribution.ReadOnlyError](err), "%v", err)

	b.close()
	b.stop()
	age := l.status().Age
	eventually(t, func() bool { return l.reported(hasType[*UnreachableError]) && l.status().Age > age },
		"both relays unreachable and a growing age")
	require.Equal(t, "two", l.value())
	require.Equal(t, distribution.Unconfirmed, l.status().Condition)

	server := NewSourceServer(s.core, clock)
	restarted := startServerAt(t, server.HTTP(), s.port)
	startRelay(t, "b", b.port, restarted.address, nil) // a restarted relay has no state
	eventually(t, func() bool { return l.status().Condition == distribution.Current }, "current again")
	s.publish("three")
	eventually(t, func() bool { return l.value() == "three" }, "three")
}

// TestSourceReplaced checks a source that is replaced by one restored from an older snapshot. The new source opens a
// higher epoch, and limiters take over its state, although it lacks the last change. The old source, when it returns,
// must refuse publications once a subscriber's call has shown it the higher epoch.
func TestSourceReplaced(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	s.publish("one")
	saved := s.core.Snapshot(1)
	old := s.core
	a := startRelay(t, "a", testbed.ReservePort(t), s.address, nil)
	l := startLimiter(t, "n", [2]string{a.address, a.address})
	s.publish("lost")
	eventually(t, func() bool { return l.value() == "lost" }, "lost")
	s.close()
	s.client.Close() // close idle connections to the stopped server
	state, err := distribution.NewStateOf(saved.Entries)
	require.NoError(t, err)
	replacement := distribution.NewSource(
		distribution.NewLogAt(distribution.Retention{}, saved.Version, state),
		distribution.Budget{},
	)
	replacementServer := startServerAt(t, NewSourceServer(replacement, clock).HTTP(), s.port)
	_, err = s.client.Open(context.Background(), 2, testTimeout)
	require.NoError(t, err)
	eventually(t, func() bool { return l.value() == "one" }, "the state of the new source")
	replacementServer.close()
	s.client.Close()
	startServerAt(t, NewSourceServer(old, clock).HTTP(), s.port)
	eventually(t, func() bool {
		_, err := s.client.Publish(
			context.Background(),
			Publication{Epoch: 1, Mutations: []distribution.Mutation{planMutation("first", "x")}},
			testTimeout,
		)
		return hasType[*distribution.FencedError](err)
	}, "fenced")
	require.Equal(t, "one", l.value())
}

// TestHold checks that a held call returns when a change is published, or without changes when its hold time ends.
func TestHold(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	poll := func(hold time.Duration) (*distribution.Delta, time.Duration) {
		began := time.Now()
		delta, err := s.client.Changes(
			context.Background(),
			distribution.ChangesRequest{From: distribution.Version{Epoch: 1, Number: 1}},
			hold,
			testTimeout,
		)
		require.NoError(t, err)
		return delta, time.Since(began)
	}
	delta, took := poll(200 * time.Millisecond)
	require.Equal(t, delta.From, delta.To)
	require.GreaterOrEqual(t, took, 190*time.Millisecond)
	go func() {
		time.Sleep(100 * time.Millisecond)
		_, _ = s.client.Publish(
			context.Background(),
			Publication{Epoch: 1, Mutations: []distribution.Mutation{planMutation("first", "1")}},
			testTimeout,
		)
	}()
	delta, took = poll(9 * time.Second)
	require.Equal(t, distribution.Version{Epoch: 1, Number: 2}, delta.To)
	require.GreaterOrEqual(t, took, 90*time.Millisecond)
	require.Less(t, took, 8*time.Second)
	_, err := s.client.Changes(
		context.Background(),
		distribution.ChangesRequest{From: delta.To},
		time.Second,
		50*time.Millisecond,
	)
	require.True(t, hasType[*UnansweredError](err), "%v", err)
}

// TestMaxHeldCalls checks that a server rejects a call for changes while MaxHeldCalls are held, and that a call whose
// client has closed it is held no longer.
func TestMaxHeldCalls(t *testing.T) {
	t.Parallel()
	core := distribution.NewSource(distribution.NewLog(distribution.Retention{}), distribution.Budget{})
	_, err := core.Open(1, 1)
	require.NoError(t, err)
	server := NewSourceServer(core, clock)
	server.heldCalls = MaxHeldCalls - 1
	ctx, cancel := context.WithCancel(context.Background())
	call := func(ctx context.Context) int {
		w := httptest.NewRecorder()
		server.ServeHTTP(
			w,
			httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/changes?epoch=1&from=1&hold_ms=10000", nil),
		)
		return w.Code
	}
	done := make(chan int)
	go func() { done <- call(ctx) }()
	held := func() int {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return server.heldCalls
	}
	eventually(t, func() bool { return held() == MaxHeldCalls }, "the call is held")
	require.Equal(t, http.StatusTooManyRequests, call(context.Background()))
	cancel()
	select {
	case <-done:
	case <-time.After(MaxHold / 2):
		t.Error("the call is still held after its client has closed it")
		<-done
	}
	require.Equal(t, MaxHeldCalls-1, held())
}

// TestPublishRefused checks that invalid calls are refused, and that the client restores the typed error of each.
func TestPublishRefused(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	post := func(path, text string) error {
		response, err := http.Post("http://"+s.address+path, "application/json", strings.NewReader(text))
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		if response.StatusCode < 400 {
			return nil
		}
		return s.client.responseError(response.StatusCode, body)
	}
	defer http.DefaultClient.CloseIdleConnections()
	entry := `{"kind":"plans","name":"a","value":"1"}`
	for _, c := range []struct {
		name, path, text string
		matches          func(error) bool
	}{
		{"valid", "/v1/changes", `{"epoch":1,"mutations":[` + entry + `]}`, func(err error) bool { return err == nil }},
		{"unknown key", "/v1/changes", `{"epoch":1,"colour":"red","mutations":[` + entry + `]}`,
			hasType[*distribution.MalformedError]},
		{"unknown key in an entry", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"plans","name":"a","worth":"1"}]}`,
			hasType[*distribution.MalformedError]},
		{"unknown kind", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"wishes","name":"a","value":"1"}]}`,
			hasType[*distribution.KindError]},
		{"truncated JSON", "/v1/changes", `{"epoch":1,"mutations":[` + entry, hasType[*distribution.MalformedError]},
		{"two JSON values", "/v1/changes", `{"epoch":1,"mutations":[` + entry + `]}{}`,
			hasType[*distribution.MalformedError]},
		{"body too long", "/v1/changes",
			`{"epoch":1,"mutations":[` + strings.Repeat(" ", MaxPublicationBytes) + entry + `]}`,
			hasType[*distribution.TooLargeError]},
		{"value too large", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"plans","name":"a","value":"` +
			strings.Repeat("v", distribution.MaxValueBytes+1) + `"}]}`, hasType[*distribution.TooLargeError]},
		{"stale epoch", "/v1/changes", `{"epoch":0,"mutations":[` + entry + `]}`, hasType[*distribution.FencedError]},
		{"unexpected head", "/v1/changes", `{"epoch":1,"expected":{"epoch":1,"number":1},"mutations":[` + entry + `]}`,
			hasType[*distribution.ConflictError]},
		{"no mutations", "/v1/changes", `{"epoch":1}`, hasType[*distribution.EmptyChangeError]},
		{"deletion of a missing key", "/v1/changes",
			`{"epoch":1,"mutations":[{"kind":"plans","name":"b","delete":true}]}`,
			hasType[*distribution.KeyError]},
		{"epoch above the next one", "/v1/epochs", `{"epoch":18446744073709551615}`,
			hasType[*distribution.EpochStepError]},
		{"epoch already open", "/v1/epochs", `{"epoch":1}`, hasType[*distribution.FencedError]},
		{"acknowledgement without a limiter", "/v1/acknowledgements", `{}`, hasType[*distribution.KeyError]},
		{"summary without a relay", "/v1/summaries", `{}`, hasType[*distribution.KeyError]},
		{"summary too long", "/v1/summaries", strings.Repeat(" ", MaxReportBytes+1),
			hasType[*distribution.TooLargeError]},
	} {
		err := post(c.path, c.text)
		require.True(t, c.matches(err), "%s: %T: %v", c.name, err, err)
	}
	require.Equal(t, distribution.Version{Epoch: 1, Number: 2}, s.core.Head())
	for query, matches := range map[string]func(error) bool{
		"/v1/changes?from=x":         hasType[*distribution.MalformedError],
		"/v1/changes?hold_ms=-1":     hasType[*distribution.MalformedError],
		"/v1/changes?scope=plans":    hasType[*distribution.ScopeError],
		"/v1/pieces?max_bytes=x":     hasType[*distribution.MalformedError],
		"/v1/pieces?scope=wishes@":   hasType[*distribution.ScopeError],
		"/v1/changes?epoch=1&from=9": hasType[*distribution.BehindError],
		"/v1/changes?epoch=0&from=0": hasType[*distribution.CompactedError], "/v1/other": hasType[*StatusError]} {
		if query == "/v1/changes?epoch=0&from=0" {
			continue // the log still starts at the first version, so nothing is compacted
		}
		err := s.client.call(context.Background(), testTimeout, http.MethodGet, query, nil, &distribution.Delta{})
		require.True(t, matches(err), "%s: %T: %v", query, err, err)
	}
}

// TestFailureRoundTrip checks that each typed error survives encoding as a Failure and decoding.
func TestFailureRoundTrip(t *testing.T) {
	t.Parallel()
	v, w := distribution.Version{Epoch: 2, Number: 3}, distribution.Version{Epoch: 4, Number: 5}
	for _, err := range []error{
		&distribution.CompactedError{From: v, Oldest: w}, &distribution.BehindError{From: w, Head: v},
		&distribution.NotReadyError{},
		&distribution.ThrottledError{RetryAfter: 7e9}, &distribution.FencedError{Open: 4, Given: 3},
		&distribution.EpochStepError{Open: 4, Given: 1 << 40},
		&distribution.ConflictError{Expected: v, Head: w}, &distribution.EmptyChangeError{},
		&distribution.KindError{Kind: "wishes"},
		&distribution.KeyError{Key: planMutation("a", "").Key, Why: "is not held"},
		&distribution.ScopeError{Why: "it is odd"},
		&distribution.TooLargeError{What: "a change", Bytes: 9, Max: 8}, &distribution.ReadOnlyError{},
		&distribution.MalformedError{What: "a change", Cause: errors.New("no JSON")},
	} {
		status, failure := failureOf(fmt.Errorf("above: %w", err))
		require.GreaterOrEqual(t, status, 400)
		text, marshalErr := json.Marshal(failure)
		require.NoError(t, marshalErr)
		var decoded Failure
		require.NoError(t, json.Unmarshal(text, &decoded))
		require.Equal(t, err, errorOf(decoded))
		require.True(t, hasType[hint.Error](err))
		require.NotEmpty(t, decoded.Hint)
		require.NotNil(t, errorOf(Failure{Code: failure.Code}), "a failure with its code alone")
	}
	long := errorOf(Failure{Code: codeThrottled, RetryAfter: 1 << 60})
	require.Equal(t, &distribution.ThrottledError{RetryAfter: maxRetryAfter}, long)
	status, _ := failureOf(errors.New("another"))
	require.Equal(t, 500, status)
}

// TestLargeState checks that a limiter receives a state of several pieces whose names and values contain characters
// that JSON escapes.
func TestLargeState(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	specialCharacters := "<&>\u2028\x00\"\\ é\n"
	value := strings.Repeat(specialCharacters, 5000/len(specialCharacters))
	for i := range 60 {
		_, err := s.client.Publish(context.Background(), Publication{Epoch: 1, Mutations: []distribution.Mutation{
			planMutation(fmt.Sprint(specialCharacters, i), value),
			planMutation(fmt.Sprint("n", i), strings.Repeat("\x01", 5000))}}, testTimeout)
		require.NoError(t, err)
	}
	a := startRelay(t, "a", testbed.ReservePort(t), s.address, nil)
	l := startLimiter(t, "n", [2]string{a.address, a.address})
	eventually(t, func() bool { return l.status().Version == s.core.Head() }, "the source's version in force")
	l.WithSubscriber(func(_ int64, sub *distribution.Subscriber) {
		require.Equal(t, s.core.State().Entries(), sub.State().Entries())
	})
	require.Empty(t, l.matchingErrors(func(err error) bool { return !hasType[*distribution.NotReadyError](err) }))
}

// matchingErrors returns the reported errors that match.
func (l *testLimiter) matchingErrors(match func(error) bool) (all []error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, err := range l.reports {
		if match(err) {
			all = append(all, err)
		}
	}
	return all
}

// TestQueryRoundTrip checks that requests survive encoding as a query and decoding, with hold limited to MaxHold.
func TestQueryRoundTrip(t *testing.T) {
	t.Parallel()
	scope := distribution.Scope{Kinds: []distribution.Kind{distribution.KindPlans}, Names: []string{"eu", "us-1"}}
	for _, want := range []distribution.ChangesRequest{
		{
			From:           distribution.Version{Epoch: 1<<64 - 1, Number: 7},
			RefusedVersion: distribution.Version{Epoch: 3, Number: 9},
			Scope:          scope,
		}, {},
	} {
		got, hold, err := readChangesQuery(changesQuery(want, int64(5*time.Second)))
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, 5*time.Second, hold)
	}
	_, hold, err := readChangesQuery(changesQuery(distribution.ChangesRequest{}, int64(time.Hour)))
	require.NoError(t, err)
	require.Equal(t, MaxHold, hold)
	key := distribution.Key{Kind: distribution.KindRoutes, Scope: "eu", Name: "a/b?c=d&é"}
	for _, want := range []distribution.PieceRequest{{After: &key, Scope: scope, MaxBytes: 70000}, {MaxBytes: 1}} {
		got, err := readPieceQuery(pieceQuery(want))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

// TestDialTimeout checks that a connection that is not established in time gives *UnreachableError and not
// *UnansweredError.
func TestDialTimeout(t *testing.T) {
	t.Parallel()
	unresponsive := testbed.ListenFull(t)
	client := NewClient(unresponsive.Address, 100*time.Millisecond)
	defer client.Close()
	_, err := client.Piece(context.Background(), distribution.PieceRequest{}, testTimeout)
	require.True(t, hasType[*UnreachableError](err), "%T: %v", err, err)
}

// TestEqualExceptAge checks that acknowledgements are equal only if version, condition and refused version are equal;
// ages may differ.
func TestEqualExceptAge(t *testing.T) {
	t.Parallel()
	one, two := distribution.Version{Epoch: 1, Number: 1}, distribution.Version{Epoch: 1, Number: 2}
	base := distribution.Acknowledgement{Limiter: "n", Version: one, Condition: distribution.Current, Refused: &one}
	for _, change := range []func(*distribution.Acknowledgement){
		func(a *distribution.Acknowledgement) { a.Version = two },
		func(a *distribution.Acknowledgement) { a.Condition = distribution.Unconfirmed },
		func(a *distribution.Acknowledgement) { a.Refused = &two },
		func(a *distribution.Acknowledgement) { a.Refused = nil },
	} {
		a := base
		change(&a)
		require.False(t, equalExceptAge(a, base), "%+v", a)
		require.False(t, equalExceptAge(base, a), "%+v", a)
	}
	equalVersion := distribution.Version{Epoch: 1, Number: 1}
	older := base
	older.Age, older.Refused = 7, &equalVersion
	require.True(t, equalExceptAge(older, base))
}

// TestAcknowledgementRepeated checks that an unchanged acknowledgement is queued again after AcknowledgementInterval.
// Otherwise the relay would stop counting the limiter, and another relay would not begin to.
func TestAcknowledgementRepeated(t *testing.T) {
	t.Parallel()
	now := int64(1)
	sub := distribution.NewSubscriber(
		now,
		distribution.SubscriberOptions{Name: "n", Applier: &testLimiter{t: t, values: map[string]string{}}},
	)
	f := NewFollower(
		sub,
		FollowerOptions{
			Servers:     [2]string{"127.0.0.1:1", "127.0.0.1:1"},
			DialTimeout: dialTimeout,
			Clock:       func() int64 { return now },
		},
	)
	queued := func(now int64) bool {
		f.queueAcknowledgement(now)
		select {
		case <-f.pending:
			return true
		default:
			return false
		}
	}
	require.True(t, queued(now))
	require.False(t, queued(now+distribution.AcknowledgementInterval-1))
	require.True(t, queued(now+distribution.AcknowledgementInterval))
	require.False(t, queued(now+distribution.AcknowledgementInterval+1))
}
