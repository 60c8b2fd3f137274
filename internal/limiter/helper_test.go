package limiter

import (
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

const second = int64(1e9)

// fakeSockets stands in for the sockets and writes down what was asked of them.
type fakeSockets struct {
	last           ConnID
	dialed         map[ConnID]string
	wrote          map[ConnID]string
	kernelAccepted map[ConnID]int64 // what the kernel takes, where that is not all
	closed         []ConnID
	dead           map[ConnID]bool
	gone           map[ConnID]bool // clients that have ended their connection, which no event has told
	incoming       string
	timerAt        int64

	limiter  *Limiter // nil until it is made
	wallStep int64    // by how much the wall clock has been stepped

	backlog bool            // clients wait to be let in
	unread  map[ConnID]bool // bytes have come that no event has told of
}

func (w *fakeSockets) Dial(address string, _ int64) ConnID {
	w.last++
	w.dialed[w.last] = address
	return w.last
}
func (w *fakeSockets) Read(into []byte)             { copy(into, w.incoming) }
func (w *fakeSockets) Write(id ConnID, text []byte) { w.wrote[id] += string(text) }
func (w *fakeSockets) Alive(id ConnID) bool         { return !w.dead[id] }
func (w *fakeSockets) Written(id ConnID) int64 {
	if limit, limited := w.kernelAccepted[id]; limited {
		return limit
	}
	return int64(len(w.wrote[id]))
}
func (w *fakeSockets) Close(id ConnID) int64 {
	w.closed = append(w.closed, id)
	return w.Written(id)
}

// WallClock goes with the limiter's clock, but for its steps.
func (w *fakeSockets) WallClock() int64 {
	if w.limiter == nil {
		return w.wallStep
	}
	return w.limiter.now + w.wallStep
}
func (w *fakeSockets) SetTimer(at int64)                          { w.timerAt = at }
func (w *fakeSockets) CloseGracefully(id ConnID, _, _ int64) bool { return !w.unread[id] }
func (w *fakeSockets) HasBacklog() bool                           { return w.backlog }

// advance lets the time advance as it does on sockets: nothing is due for longer than a wake takes.
func (w *fakeSockets) advance(l *Limiter, to int64) {
	for w.timerAt < to {
		l.Step(max(l.now, w.timerAt), TimersDue{})
	}
	l.Step(to, TimersDue{})
}

const (
	discoveryConn ConnID = 1 // the connections that a limiter dials at its start
	counterConnID ConnID = 2
	clientConn    ConnID = 100
)

const knownList = `{"generation":7,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","lifecycle":"in_service","weight":1}]}`

// newTestLimiter makes a limiter that has one server, with its connections to discovery and the counter up and one client.
func newTestLimiter(t *testing.T) (*Limiter, *fakeSockets) { return newPollingLimiter(t, 0, 0) }

// newPollingLimiter makes the same where discovery tells only those that ask, every so often, or else all, for one of many limiters.
func newPollingLimiter(t *testing.T, pollInterval int64, position int) (*Limiter, *fakeSockets) {
	t.Helper()
	w := &fakeSockets{dialed: map[ConnID]string{}, wrote: map[ConnID]string{}, kernelAccepted: map[ConnID]int64{}}
	l, err := New(
		0,
		&settings.Config{Discovery: "disco", Counter: "counter", Memory: 1 << 27, Sockets: 64, Known: []byte(knownList),
			Settings: &settings.Settings{IdleClose: 15 * second, PollInterval: pollInterval, Settings: &choice.Settings{
				Classes: map[string]*choice.Class{
					"read":  {LatencyObjective: second},
					"write": {LatencyObjective: second, Idempotency: choice.NonIdempotent},
				},
				Plans: map[string]*choice.Plan{"plain": {Rate: 5, Burst: 100}},
				// With one limiter and large requests the first room holds several of them.
				CounterTimeout: second / 20, MaxRequestUnits: 8, MaxLease: 60 * second, Limiters: 1, Position: position, ColdCapacity: 0.25,
				SlowStartWindow: 10 * second, DialTimeout: second / 4, MaxAttempts: 3, MaxRetryAfter: second, TimerResolution: second / 250,
			}}},
		w,
	)
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

func (w *fakeSockets) receive(l *Limiter, now int64, id ConnID, text string) {
	w.incoming = text
	l.Step(now, DataReceived{Conn: id, Size: len(text)})
}

// command is a request with so many milliseconds left.
func command(id, class, timeLeft string) string {
	fields := "c=" + class + ",t=plain,d=" + timeLeft + ",units=2,spread=1,first=0"
	words := [][]byte{[]byte("SVC.QUERY"), []byte("00000000000000ff"), []byte(id), []byte(fields)}
	if class == "write" {
		words = append(words, []byte("BODY"))
		words[0] = []byte("SVC.SUBMIT")
	}
	return string(resp.AppendCommand(nil, words...))
}

// requestDialling makes a limiter with one request, whose attempt waits for its connection.
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

// requestSent makes the same with the attempt written.
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
