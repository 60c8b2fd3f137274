package limiter

import (
	"math"
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

const second = int64(1e9)

// fakeSockets implements Effects in memory and records the calls.
type fakeSockets struct {
	last           ConnID            // of the latest dial
	dialed         map[ConnID]string // addresses
	wrote          map[ConnID]string // all that the limiter wrote
	kernelAccepted map[ConnID]int64  // how many bytes the kernel accepts; all if there is no entry
	closed         []ConnID
	dead           map[ConnID]bool // for which Alive returns false
	gone           map[ConnID]bool // clients that have disconnected, which no event has reported
	incoming       string          // what Read returns
	timerAt        int64           // when TimersDue is due

	limiter  *Limiter // nil until New has returned
	wallStep int64    // by how much the wall clock was stepped, nanoseconds

	discard   bool             // Write keeps nothing, and the kernel takes all
	backlog   bool             // new clients wait to be accepted
	sinceStep int64            // what SinceStep returns
	unread    map[ConnID]bool  // connections with received data that no event has reported
	unreadFor map[ConnID]int64 // what UnreadFor returns
}

func (w *fakeSockets) Dial(address string, _ int64) ConnID {
	w.last++
	w.dialed[w.last] = address
	return w.last
}
func (w *fakeSockets) Read(into []byte) { copy(into, w.incoming) }
func (w *fakeSockets) Write(id ConnID, text []byte) {
	if !w.discard {
		w.wrote[id] += string(text)
	}
}
func (w *fakeSockets) Alive(id ConnID) bool { return !w.dead[id] }
func (w *fakeSockets) Written(id ConnID) int64 {
	if w.discard {
		return math.MaxInt64
	}
	if limit, limited := w.kernelAccepted[id]; limited {
		return limit
	}
	return int64(len(w.wrote[id]))
}
func (w *fakeSockets) Close(id ConnID) int64 {
	w.closed = append(w.closed, id)
	return w.Written(id)
}

// WallClock returns the limiter's clock plus wallStep.
func (w *fakeSockets) WallClock() int64 {
	if w.limiter == nil {
		return w.wallStep
	}
	return w.limiter.now + w.wallStep
}
func (w *fakeSockets) SetTimer(at int64)                          { w.timerAt = at }
func (w *fakeSockets) CloseGracefully(id ConnID, _, _ int64) bool { return !w.unread[id] }
func (w *fakeSockets) HasBacklog() bool                           { return w.backlog }
func (w *fakeSockets) UnreadFor(id ConnID) int64                  { return w.unreadFor[id] }
func (w *fakeSockets) SinceStep() int64                           { return w.sinceStep }

// advance runs the timers up to a time, each when it is due.
func (w *fakeSockets) advance(l *Limiter, to int64) {
	for w.timerAt < to {
		l.Step(max(l.now, w.timerAt), TimersDue{})
	}
	l.Step(to, TimersDue{})
}

const (
	discoveryConn ConnID = 1 // the first connections that a limiter dials
	counterConnID ConnID = 2
	clientConn    ConnID = 100
)

// knownList is the configuration's list. It has one server.
const knownList = `{"generation":7,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","lifecycle":"in_service","weight":1}]}`

// newTestLimiter returns a limiter with one server and one client. Its connections to discovery and the counter are
// open.
func newTestLimiter(t *testing.T) (*Limiter, *fakeSockets) { return newPollingLimiter(t, 0, 0) }

// newPollingLimiter does the same for the limiter at the given position, with the given poll interval in nanoseconds;
// at 0 discovery pushes changes.
func newPollingLimiter(t *testing.T, pollInterval int64, position int) (*Limiter, *fakeSockets) {
	t.Helper()
	return newConfiguredLimiter(t, func(config *settings.Config) {
		config.Settings.PollInterval = pollInterval
		config.Settings.Position = position
	})
}

// newConfiguredLimiter does the same as newTestLimiter, with a configuration that change has changed.
func newConfiguredLimiter(t *testing.T, change func(config *settings.Config)) (*Limiter, *fakeSockets) {
	t.Helper()
	w := &fakeSockets{dialed: map[ConnID]string{}, wrote: map[ConnID]string{}, kernelAccepted: map[ConnID]int64{}}
	config := &settings.Config{
		Discovery: "disco", Counter: "counter", Memory: 1 << 27, Sockets: 64, Known: []byte(knownList),
		Settings: &settings.Settings{IdleClose: 15 * second, Settings: &choice.Settings{
			Classes: map[string]*choice.Class{
				"read":  {LatencyObjective: second},
				"write": {LatencyObjective: second, Idempotency: choice.NonIdempotent},
			},
			Plans: map[string]*choice.Plan{"plain": {Rate: 5, Burst: 100}},
			// With one limiter and large requests the initial capacity holds several requests.
			CounterTimeout: second / 20, MaxRequestUnits: 8, MaxLease: 60 * second, Limiters: 1,
			ColdCapacity: 0.25, SlowStartWindow: 10 * second, DialTimeout: second / 4, MaxAttempts: 3,
			MaxRetryAfter: second, TimerResolution: second / 250,
		}},
	}
	change(config)
	l, err := New(0, config, w)
	if err != nil {
		t.Fatal(err)
	}
	w.limiter = l
	if w.dialed[discoveryConn] == "disco" {
		l.Step(0, Connected{Conn: discoveryConn})
		l.Step(0, Connected{Conn: counterConnID})
	}
	l.Step(0, ClientAccepted{Conn: clientConn})
	return l, w
}

// receive has the limiter receive text on a connection.
func (w *fakeSockets) receive(l *Limiter, now int64, id ConnID, text string) {
	w.incoming = text
	l.Step(now, DataReceived{Conn: id, Size: len(text)})
}

// command returns the command of a request with the given class and time left in milliseconds.
func command(id, class, timeLeft string) string {
	fields := "c=" + class + ",t=plain,d=" + timeLeft + ",units=2,spread=1,first=0"
	words := [][]byte{[]byte("SVC.QUERY"), []byte("00000000000000ff"), []byte(id), []byte(fields)}
	if class == "write" {
		words = append(words, []byte("BODY"))
		words[0] = []byte("SVC.SUBMIT")
	}
	return string(resp.AppendCommand(nil, words...))
}

// requestDialling returns a limiter with one request, whose attempt waits for the returned connection to open.
func requestDialling(t *testing.T, class string) (*Limiter, *fakeSockets, ConnID) {
	return requestDiallingFor(t, class, "480")
}

func requestDiallingFor(t *testing.T, class, timeLeft string) (*Limiter, *fakeSockets, ConnID) {
	t.Helper()
	l, w := newTestLimiter(t)
	w.receive(l, 0, clientConn, command("j", class, timeLeft))
	w.receive(l, 0, counterConnID, "ok 2\r\n")
	if w.dialed[w.last] != "127.0.0.1:9" {
		t.Fatalf("dialled %v, wrote %v", w.dialed, w.wrote)
	}
	return l, w, w.last
}

// requestSent does the same, but the connection is open and the attempt written.
func requestSent(t *testing.T, class string) (*Limiter, *fakeSockets, ConnID) {
	t.Helper()
	return requestSentFor(t, class, "480")
}

func requestSentFor(t *testing.T, class, timeLeft string) (*Limiter, *fakeSockets, ConnID) {
	t.Helper()
	l, w, id := requestDiallingFor(t, class, timeLeft)
	l.Step(0, Connected{Conn: id})
	return l, w, id
}

func requireText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}
