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

// testServer serves a handler on loopback until it is closed.
type testServer struct {
	address string
	port    *ports.Kept
	server  *http.Server
	done    chan struct{}
}

// startServer serves on a port that stays kept, so that another server can follow there.
func startServer(t *testing.T, server *http.Server) *testServer {
	t.Helper()
	return startServerAt(t, server, testbed.KeepPort(t))
}

func startServerAt(t *testing.T, server *http.Server, port *ports.Kept) *testServer {
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

// close ends the server and breaks its connections.
func (s *testServer) close() {
	_ = s.server.Close()
	<-s.done
}

// startFollower runs a follower until it is stopped, at the latest at the end of the test.
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

// testSource is a testSource that listens.
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

// testRelay is a testRelay that listens and follows.
type testRelay struct {
	*testServer
	core *distribution.Relay
	stop func()
}

func startRelay(t *testing.T, name string, port *ports.Kept, source string, middleware func(http.Handler) http.Handler) *testRelay {
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

// testLimiter is a subscriber with a follower; its applier holds both entries, which are always put together.
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
	if update.Whole != nil {
		clear(l.values)
		for _, e := range update.Whole.Entries() {
			l.values[e.Name] = e.Value
		}
	}
	for _, change := range update.Changes {
		for _, m := range change.Mutations {
			l.values[m.Name] = m.Value
		}
	}
	if l.values["first"] != l.values["second"] {
		l.t.Errorf("half a change is in force: %v", l.values)
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

// reported tells whether an error that matches was reported.
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
	l.Do(func(now int64, s *distribution.Subscriber) { status = s.Status(now) })
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
			Report: func(err error) {
				l.mutex.Lock()
				defer l.mutex.Unlock()
				l.reports = append(l.reports, err)
			}, Changed: func(s *distribution.Snapshot) {
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

// TestFleet: what is published at the source is in force at all limiters, and the source is told so by sums.
func TestFleet(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	s.publish("one")
	a := startRelay(t, "a", testbed.KeepPort(t), s.address, nil)
	b := startRelay(t, "b", testbed.KeepPort(t), s.address, nil)
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
		}, "the overview")
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

// faultInjector stands before a relay and answers in its place once a fault is set.
type faultInjector struct {
	mutex      sync.Mutex
	fault      func(http.ResponseWriter, *http.Request, http.Handler)
	faultCalls int // calls for changes since the fault was set
}

// faultCallCount is how many faultCallCount for changes have met the fault.
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

// rawResponse answers with bytes and ends the connection.
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

// bodyResponse answers with a bodyResponse.
func bodyResponse(status int, text string) func(http.ResponseWriter, *http.Request, http.Handler) {
	return func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// modifiedResponse lets the relay answer and changes the answer.
func modifiedResponse(change func(text string) string) func(http.ResponseWriter, *http.Request, http.Handler) {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		w.WriteHeader(recorder.Code)
		_, _ = io.WriteString(w, change(recorder.Body.String()))
	}
}

// truncatedResponse lets the relay answer, and cuts the answer in its middle.
func truncatedResponse(w http.ResponseWriter, r *http.Request, next http.Handler) {
	recorder := httptest.NewRecorder()
	next.ServeHTTP(recorder, r)
	text := recorder.Body.String()
	rawResponse(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]))(w, r, next)
}

// stalledResponse reads the call and answers nothing for as long as the caller waits.
func stalledResponse(_ http.ResponseWriter, r *http.Request, _ http.Handler) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http tells that a caller has left only once its body is read
	<-r.Context().Done()
}

// TestFaultyRelay: whatever a limiter's first relay answers, the last good version serves, nothing is half in force,
// the error has its type, and the second relay brings what is new.
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
		{"nothing and the end", rawResponse(""), hasType[*UnreachableError]},
		{"no JSON", bodyResponse(200, "<html>"), hasType[*distribution.MalformedError]},
		{"other JSON", bodyResponse(200, `{"from":7}`), hasType[*distribution.MalformedError]},
		{"JSON that is no delta", bodyResponse(200, `{"generation":4}`), hasType[*distribution.MalformedError]},
		{"half an answer", truncatedResponse, hasType[*TruncatedError]},
		{"half JSON", modifiedResponse(func(text string) string { return text[:len(text)/2] }), hasType[*distribution.MalformedError]},
		{"an hour old", bodyResponse(200, oldDelta), hasType[*distribution.StaleAnswerError]},
		{"too long", bodyResponse(200, strings.Repeat(" ", MaxResponseBytes+1)), hasType[*TooLongError]},
		{"an error of no type", bodyResponse(500, "out of order"), hasType[*StatusError]},
		{"an error of an unknown type", bodyResponse(500, `{"code":"wish"}`), hasType[*StatusError]},
		{"elsewhere", func(w http.ResponseWriter, r *http.Request, _ http.Handler) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}, hasType[*StatusError]},
		{"empty", bodyResponse(204, ""), hasType[*StatusError]},
		{"not ready", bodyResponse(503, `{"code":"not_ready"}`), hasType[*distribution.NotReadyError]},
		{"another value", modifiedResponse(func(text string) string { return strings.Replace(text, `"value":"two"`, `"value":"2"`, 1) }),
			hasType[*distribution.DigestError]},
		{"an unknown kind", modifiedResponse(func(text string) string { return strings.Replace(text, `"kind":"plans"`, `"kind":"wishes"`, 1) }),
			hasType[*distribution.KindError]},
		{"stalled", stalledResponse, hasType[*UnansweredError]},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSource(t)
			s.publish("zero")
			s.publish("one")
			f := &faultInjector{}
			a := startRelay(t, "a", testbed.KeepPort(t), s.address, f.wrap)
			b := startRelay(t, "b", testbed.KeepPort(t), s.address, nil)
			l := startLimiter(t, "n", [2]string{a.address, b.address})
			eventually(t, func() bool { return l.value() == "one" }, "in force at first")
			f.setFault(c.fault)
			eventually(t, func() bool { return f.faultCallCount() > 0 }, "a call that meets the fault")
			s.publish("two")
			eventually(t, func() bool { return l.value() == "two" }, "in force by the second relay")
			eventually(t, func() bool { return l.reported(c.matches) }, "the error")
			eventually(t, func() bool { return l.status().Condition == distribution.Current }, "current")
		})
	}
}

// TestRelaysUnavailable: with one relay killed the other serves; with both gone the last version serves, unconfirmed, with
// its age; the same where the relays are there and the source is gone. Nothing can be published at a relay.
func TestRelaysUnavailable(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	s.publish("one")
	a := startRelay(t, "a", testbed.KeepPort(t), s.address, nil)
	b := startRelay(t, "b", testbed.KeepPort(t), s.address, nil)
	l := startLimiter(t, "n", [2]string{a.address, b.address})
	eventually(t, func() bool { return l.value() == "one" }, "one")
	a.close()
	a.stop()
	s.publish("two")
	eventually(t, func() bool { return l.value() == "two" }, "two")

	s.close()
	eventually(t, func() bool { return l.status().Condition == distribution.Unconfirmed }, "unconfirmed behind a relay")
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
	eventually(t, func() bool { return l.reported(hasType[*UnreachableError]) && l.status().Age > age }, "both gone")
	require.Equal(t, "two", l.value())
	require.Equal(t, distribution.Unconfirmed, l.status().Condition)

	server := NewSourceServer(s.core, clock)
	restarted := startServerAt(t, server.HTTP(), s.port)
	startRelay(t, "b", b.port, restarted.address, nil) // a new process, with nothing
	eventually(t, func() bool { return l.status().Condition == distribution.Current }, "current again")
	s.publish("three")
	eventually(t, func() bool { return l.value() == "three" }, "three")
}

// TestSourceReplaced: a source that lost its last changes opens a higher epoch, and all go to its state; the one that
// it replaced publishes no more once a subscriber has told it.
func TestSourceReplaced(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	s.publish("one")
	saved := s.core.Snapshot(1)
	old := s.core
	a := startRelay(t, "a", testbed.KeepPort(t), s.address, nil)
	l := startLimiter(t, "n", [2]string{a.address, a.address})
	s.publish("lost")
	eventually(t, func() bool { return l.value() == "lost" }, "lost")
	s.close()
	s.client.Close() // its connection is of the old process
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

// TestHold: a held call is answered by a publication, or at its hold's end with nothing new.
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

// TestMaxHeldCalls: a server holds no more calls than it may, and one whose caller left is held no more.
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
	eventually(t, func() bool { return held() == MaxHeldCalls }, "held")
	require.Equal(t, http.StatusTooManyRequests, call(context.Background()))
	cancel()
	select {
	case <-done:
	case <-time.After(MaxHold / 2):
		t.Error("held though its caller left")
		<-done
	}
	require.Equal(t, MaxHeldCalls-1, held())
}

// TestPublishRefused: what a writer may not send is refused by its type, also over the wire.
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
		{"good", "/v1/changes", `{"epoch":1,"mutations":[` + entry + `]}`, func(err error) bool { return err == nil }},
		{"an unknown key", "/v1/changes", `{"epoch":1,"colour":"red","mutations":[` + entry + `]}`, hasType[*distribution.MalformedError]},
		{"an unknown key of an entry", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"plans","name":"a","worth":"1"}]}`,
			hasType[*distribution.MalformedError]},
		{"an unknown kind", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"wishes","name":"a","value":"1"}]}`, hasType[*distribution.KindError]},
		{"half a change", "/v1/changes", `{"epoch":1,"mutations":[` + entry, hasType[*distribution.MalformedError]},
		{"two changes", "/v1/changes", `{"epoch":1,"mutations":[` + entry + `]}{}`, hasType[*distribution.MalformedError]},
		{"too long", "/v1/changes", `{"epoch":1,"mutations":[` + strings.Repeat(" ", MaxPublicationBytes) + entry + `]}`,
			hasType[*distribution.TooLargeError]},
		{"an entry too large", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"plans","name":"a","value":"` +
			strings.Repeat("v", distribution.MaxValueBytes+1) + `"}]}`, hasType[*distribution.TooLargeError]},
		{"a stale epoch", "/v1/changes", `{"epoch":0,"mutations":[` + entry + `]}`, hasType[*distribution.FencedError]},
		{"another head", "/v1/changes", `{"epoch":1,"expected":{"epoch":1,"number":1},"mutations":[` + entry + `]}`,
			hasType[*distribution.ConflictError]},
		{"no mutations", "/v1/changes", `{"epoch":1}`, hasType[*distribution.EmptyChangeError]},
		{"a key that is not held", "/v1/changes", `{"epoch":1,"mutations":[{"kind":"plans","name":"b","delete":true}]}`,
			hasType[*distribution.KeyError]},
		{"an epoch far above", "/v1/epochs", `{"epoch":18446744073709551615}`, hasType[*distribution.EpochStepError]},
		{"an epoch twice", "/v1/epochs", `{"epoch":1}`, hasType[*distribution.FencedError]},
		{"no limiter", "/v1/acknowledgements", `{}`, hasType[*distribution.KeyError]},
		{"no relay", "/v1/summaries", `{}`, hasType[*distribution.KeyError]},
		{"a long summary", "/v1/summaries", strings.Repeat(" ", MaxReportBytes+1), hasType[*distribution.TooLargeError]},
	} {
		err := post(c.path, c.text)
		require.True(t, c.matches(err), "%s: %T: %v", c.name, err, err)
	}
	require.Equal(t, distribution.Version{Epoch: 1, Number: 2}, s.core.Head())
	for query, matches := range map[string]func(error) bool{
		"/v1/changes?from=x": hasType[*distribution.MalformedError], "/v1/changes?hold_ms=-1": hasType[*distribution.MalformedError],
		"/v1/changes?scope=plans": hasType[*distribution.ScopeError], "/v1/pieces?max_bytes=x": hasType[*distribution.MalformedError],
		"/v1/pieces?scope=wishes@": hasType[*distribution.ScopeError], "/v1/changes?epoch=1&from=9": hasType[*distribution.BehindError],
		"/v1/changes?epoch=0&from=0": hasType[*distribution.CompactedError], "/v1/other": hasType[*StatusError]} {
		if query == "/v1/changes?epoch=0&from=0" {
			continue // the whole log is there
		}
		err := s.client.call(context.Background(), testTimeout, http.MethodGet, query, nil, &distribution.Delta{})
		require.True(t, matches(err), "%s: %T: %v", query, err, err)
	}
}

// TestFailureRoundTrip: each error is the same on both sides of the wire.
func TestFailureRoundTrip(t *testing.T) {
	t.Parallel()
	v, w := distribution.Version{Epoch: 2, Number: 3}, distribution.Version{Epoch: 4, Number: 5}
	for _, err := range []error{
		&distribution.CompactedError{From: v, Oldest: w}, &distribution.BehindError{From: w, Head: v}, &distribution.NotReadyError{},
		&distribution.ThrottledError{RetryAfter: 7e9}, &distribution.FencedError{Open: 4, Given: 3},
		&distribution.EpochStepError{Open: 4, Given: 1 << 40},
		&distribution.ConflictError{Expected: v, Head: w}, &distribution.EmptyChangeError{}, &distribution.KindError{Kind: "wishes"},
		&distribution.KeyError{Key: planMutation("a", "").Key, Why: "is not held"}, &distribution.ScopeError{Why: "it is odd"},
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
		require.NotNil(t, errorOf(Failure{Code: failure.Code}), "with its fields missing")
	}
	long := errorOf(Failure{Code: codeThrottled, RetryAfter: 1 << 60})
	require.Equal(t, &distribution.ThrottledError{RetryAfter: maxRetryAfter}, long)
	status, _ := failureOf(errors.New("another"))
	require.Equal(t, 500, status)
}

// TestLargeState: a state of several pieces comes over, with names and values of any characters.
func TestLargeState(t *testing.T) {
	t.Parallel()
	s := startSource(t)
	specialCharacters := "<&>\u2028\x00\"\\ é\n"
	value := strings.Repeat(specialCharacters, 5000/len(specialCharacters))
	for i := range 60 {
		_, err := s.client.Publish(context.Background(), Publication{Epoch: 1, Mutations: []distribution.Mutation{
			planMutation(fmt.Sprint(specialCharacters, i), value), planMutation(fmt.Sprint("n", i), strings.Repeat("\x01", 5000))}}, testTimeout)
		require.NoError(t, err)
	}
	a := startRelay(t, "a", testbed.KeepPort(t), s.address, nil)
	l := startLimiter(t, "n", [2]string{a.address, a.address})
	eventually(t, func() bool { return l.status().Version == s.core.Head() }, "in force")
	l.Do(func(_ int64, sub *distribution.Subscriber) {
		require.Equal(t, s.core.State().Entries(), sub.State().Entries())
	})
	require.Empty(t, l.matchingErrors(func(err error) bool { return !hasType[*distribution.NotReadyError](err) }))
}

// matchingErrors are the errors reported that match.
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

// TestQueryRoundTrip: a call means the same on both sides of the wire.
func TestQueryRoundTrip(t *testing.T) {
	t.Parallel()
	scope := distribution.Scope{Kinds: []distribution.Kind{distribution.KindPlans}, Names: []string{"eu", "us-1"}}
	for _, want := range []distribution.ChangesRequest{
		{From: distribution.Version{Epoch: 1<<64 - 1, Number: 7}, Seen: distribution.Version{Epoch: 3, Number: 9}, Scope: scope}, {},
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

// TestDialTimeout: a connection that does not come up in time is an unreachable server, not one that has not answered.
func TestDialTimeout(t *testing.T) {
	t.Parallel()
	unresponsive := testbed.Full(t)
	client := NewClient(unresponsive.Address, 100*time.Millisecond)
	defer client.Close()
	_, err := client.Piece(context.Background(), distribution.PieceRequest{}, testTimeout)
	require.True(t, hasType[*UnreachableError](err), "%T: %v", err, err)
}

// TestEqualExceptAge: an acknowledgement is news where something else than its age has changed.
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

// TestAcknowledgementRepeated: a limiter says what it has in force again and again, so that its relay, or another, goes on counting
// it.
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
	require.False(t, queued(now+distribution.AcknowledgementEvery-1))
	require.True(t, queued(now+distribution.AcknowledgementEvery))
	require.False(t, queued(now+distribution.AcknowledgementEvery+1))
}
