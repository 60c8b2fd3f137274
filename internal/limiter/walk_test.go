package limiter

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"strings"
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

var (
	walkSeeds = flag.Int("walk-seeds", 1000, "number of random walks that TestWalk runs")
	walkFirst = flag.Uint64("walk-first", 1, "seed of the first random walk")
)

// walkSteps is the number of random events of one walk.
const walkSteps = 700

// TestWalk runs random sequences of events through the reducer, to find failures of combinations that no other test
// has. One was a crash: several results came in one step, and an earlier one ended the request of a later one. The
// events come in any order and data in pieces: clients send, disconnect and reset; servers, the counter and discovery
// answer correctly, incorrectly, twice, late or never; dials fail and connections close; configurations are reloaded;
// time passes, the process is suspended, the wall clock is stepped and the process shuts down. The reducer must not
// panic, each command gets one answer by its deadline, no request runs twice or after its client has gone, and nothing
// is left at the end.
func TestWalk(t *testing.T) {
	discardLog(t)
	for seed := *walkFirst; seed < *walkFirst+uint64(*walkSeeds); seed++ {
		w := newWalk(seed)
		w.run()
		if len(w.violations) > 0 {
			w.noteUnanswered()
			t.Errorf("seed %d: %s\n%s", seed, strings.Join(w.violations, "\n"), strings.Join(w.history, "\n"))
			return
		}
	}
}

// discardLog discards the limiter's log during the test.
func discardLog(t *testing.T) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// newWalk returns the environment of the walk with the given seed, with a limiter in it.
func newWalk(seed uint64) *walkEnvironment {
	w := &walkEnvironment{
		random:     rand.New(rand.NewPCG(seed, 0)),
		now:        second,
		conns:      map[ConnID]*walkConn{},
		requests:   map[string]*walkRequest{},
		lifecycles: map[string]string{"a": "in_service", "b": "in_service", "c": "in_service"},
		draining:   map[string]int64{},
	}
	w.drawEvents()
	var err error
	options := OperatorOptions{
		DiscoveryCallRate: float64(5 * w.random.IntN(2)), ConnectionRate: float64(20 * w.random.IntN(2)),
	}
	w.limiter, err = NewWithOptions(w.now, w.config(), options, w)
	if err != nil {
		w.fail("creating the limiter: %v", err)
	}
	return w
}

// config returns a configuration with random addresses of discovery and the counter.
func (w *walkEnvironment) config() *settings.Config {
	at := fmt.Sprint(w.random.IntN(3))
	var known []byte
	if w.knowsList {
		known = []byte(w.nextList(true))
	}
	return &settings.Config{Discovery: walkDiscovery + at, Counter: walkCounter + at, Memory: 1 << 27, Sockets: 64,
		Known: known,
		Settings: &settings.Settings{
			IdleClose: 15 * second, DrainGrace: second / 2, LongestDeadline: 3 * second, MaxActualUnits: 8,
			PollInterval: w.pollInterval,
			Settings: &choice.Settings{
				Classes: map[string]*choice.Class{
					"read":  {LatencyObjective: second / 2, PriorityWeight: 1},
					"write": {LatencyObjective: second, Idempotency: choice.NonIdempotent, PriorityWeight: 1},
					"keyed": {LatencyObjective: second, Idempotency: choice.IdempotentWithKey, PriorityWeight: 1,
						DeduplicationScope: choice.ScopeAll, DeduplicationWindow: walkDeduplicationWindow},
				},
				Plans: map[string]*choice.Plan{
					"open":   {Rate: 50, Burst: 1000, PriorityWeight: 1},
					"narrow": {Rate: 5, Burst: 20, CeilingRate: 10, CeilingBurst: 40, MaxInFlight: 4, PriorityWeight: 1},
				},
				CounterTimeout: w.counterTimeout, MaxRequestUnits: 8, MaxLease: 60 * second, Limiters: 2, ColdCapacity: 0.25,
				SlowStartWindow: 10 * second, DialTimeout: second / 4, MaxAttempts: 3, MaxRetryAfter: second,
				HealthChecks: true, CanCancel: true, TimerResolution: second / 250,
			},
		}}
}

// run runs the random events and then finish.
func (w *walkEnvironment) run() {
	defer func() {
		if cause := recover(); cause != nil {
			w.fail("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	shutdownStep := walkSteps/2 + w.random.IntN(walkSteps)
	for i := range walkSteps {
		if i == shutdownStep {
			w.step(ShutdownRequested{})
		}
		w.randomEvent()
		w.noteDraining()
		if len(w.violations) > 0 {
			return
		}
	}
	w.finish()
}

// drawEvents draws the settings of the walk and how likely each kind of event is. Walks that differ in this reach more
// combinations of events than walks with equal probabilities.
func (w *walkEnvironment) drawEvents() {
	w.badCounter, w.badServers = w.oneIn(2), w.oneIn(2)
	w.knowsList = !w.oneIn(4)
	w.pollInterval = []int64{0, 0, second}[w.random.IntN(3)]
	w.counterTimeout = []int64{0, second / 20, second / 5, second / 5}[w.random.IntN(4)]
	for _, draw := range []struct {
		event       func()
		least, most int
	}{
		{w.acceptClient, 1, 3}, {w.sendCommands, 1, 6}, {w.disconnectClient, 0, 4}, {w.sendMalformed, 0, 1},
		{w.completeDial, 2, 5}, {w.failDial, 0, 2}, {w.acceptWritten, 1, 3},
		{w.peerAnswers, 2, 8}, {w.serverRejectsEarly, 0, 2}, {w.peerCloses, 0, 3}, {w.deliverSomeClose, 1, 3},
		{w.deliverSome, 4, 10}, {w.advanceTime, 1, 4}, {w.suspend, 0, 1}, {w.reload, 0, 1}, {w.stepWallClock, 0, 1},
	} {
		for range draw.least + w.random.IntN(draw.most-draw.least+1) {
			w.events = append(w.events, draw.event)
		}
	}
}

// randomEvent runs one of the events.
func (w *walkEnvironment) randomEvent() { w.events[w.random.IntN(len(w.events))]() }

// suspend suspends the process for a random time.
func (w *walkEnvironment) suspend() {
	if !w.oneIn(4) {
		return
	}
	w.now += second/2 + w.random.Int64N(4*second)
	w.note("suspended")
	w.step(TimersDue{}) // before the kernel accepts more of what was written
}

func (w *walkEnvironment) reload() {
	if w.oneIn(4) {
		w.step(ConfigReloaded{Config: w.config()})
	}
}

func (w *walkEnvironment) stepWallClock() { w.wallStep += w.random.Int64N(7200*second) - 3600*second }

// acceptClient connects a new client.
func (w *walkEnvironment) acceptClient() {
	w.last++
	w.conns[w.last] = &walkConn{id: w.last, open: true}
	w.step(ClientAccepted{Conn: w.last})
}

// pickClient returns a connected client whose input was valid so far; nil if there is none.
func (w *walkEnvironment) pickClient() *walkConn {
	return w.pickConn(func(c *walkConn) bool { return c.address == "" && !c.ended && !c.inputRejected })
}

func (w *walkEnvironment) sendCommands() {
	c := w.pickClient()
	if c == nil {
		return
	}
	for range 1 + w.random.IntN(5) {
		w.sendCommand(c)
	}
}

// sendCommand has a client send a PING or a new request.
func (w *walkEnvironment) sendCommand(c *walkConn) {
	command := &walkCommand{}
	text := "*1\r\n$4\r\nPING\r\n"
	if !w.oneIn(12) {
		text = w.newRequest(c, command)
	}
	c.sentBytes += len(text)
	command.endOffset = c.sentBytes
	c.incoming = append(c.incoming, text...)
	c.commands = append(c.commands, command)
}

// newRequest adds a random request of a client and returns the text of its command.
func (w *walkEnvironment) newRequest(c *walkConn, command *walkCommand) string {
	q := &walkRequest{
		id:      fmt.Sprint("r", len(w.requests)),
		class:   []string{"read", "write", "keyed"}[w.random.IntN(3)],
		client:  c,
		command: command,
		timeout: (20 + w.random.Int64N(2980)) * 1e6,
	}
	command.request = q
	w.requests[q.id] = q
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=2,first=%d", q.class, []string{"open", "narrow"}[w.random.IntN(2)],
		q.timeout/1e6, 1+w.random.IntN(8), w.random.IntN(2))
	customer := []byte(fmt.Sprintf("%016x", w.random.IntN(3)))
	words := [][]byte{[]byte("SVC.QUERY"), customer, []byte(q.id), []byte(list)}
	switch q.class {
	case "write":
		words = [][]byte{[]byte("SVC.SUBMIT"), customer, []byte(q.id), []byte(list), []byte("BODY")}
	case "keyed":
		words = [][]byte{[]byte("SVC.SUBMIT"), customer, []byte(q.id), []byte(list + ",k=" + q.id), []byte("BODY")}
	}
	return string(resp.AppendCommand(nil, words...))
}

func (w *walkEnvironment) sendMalformed() {
	if c := w.pickClient(); c != nil && w.oneIn(4) {
		c.inputRejected = true
		c.incoming = append(c.incoming, "nonsense\r\n"...)
	}
}

// disconnectClient disconnects a client. The limiter may detect this before the event that reports it.
func (w *walkEnvironment) disconnectClient() {
	if c := w.pickClient(); c != nil && w.oneIn(2) {
		w.note("client %d disconnects", c.id)
		c.ended, c.reset = true, w.oneIn(2)
	}
}

// isDialling tells whether a connection is neither open nor failed.
func (w *walkEnvironment) isDialling(c *walkConn) bool { return !c.open && !c.ended }

func (w *walkEnvironment) completeDial() {
	if c := w.pickConn(w.isDialling); c != nil {
		c.open = true
		w.step(Connected{Conn: c.id})
	}
}

func (w *walkEnvironment) failDial() {
	if c := w.pickConn(w.isDialling); c != nil && w.oneIn(3) {
		c.ended = true
		w.step(ConnClosed{
			Conn: c.id, Reason: []CloseReason{ConnRefused, DialTimedOut, LocalFailure, NoConnection}[w.random.IntN(4)],
		})
	}
}

// acceptWritten has the kernel accept more of what was written to a connection.
func (w *walkEnvironment) acceptWritten() {
	if c := w.pickConn(func(c *walkConn) bool { return !c.ended && c.accepted < len(c.written) }); c != nil {
		w.accept(c)
	}
}

// serverRejectsEarly has a server reject a command that is partly written.
func (w *walkEnvironment) serverRejectsEarly() {
	c := w.pickConn(func(c *walkConn) bool {
		return c.isServer() && !c.ended && c.read < c.accepted && c.accepted < len(c.written)
	})
	if c != nil {
		w.rejectEarly(c)
	}
}

// peerAnswers has a server, the counter or discovery answer some of its pending commands or calls.
func (w *walkEnvironment) peerAnswers() {
	c := w.pickConn(func(c *walkConn) bool { return !c.ended && len(c.pending)+len(c.calls) > 0 })
	if c == nil {
		return
	}
	for range 1 + w.random.IntN(6) {
		if len(c.pending) > 0 {
			w.answerCommand(c)
		} else if len(c.calls) > 0 {
			w.answerCall(c)
		}
	}
}

// deliverSome delivers the received data of a connection to the limiter, or a part of it.
func (w *walkEnvironment) deliverSome() {
	c := w.pickConn(func(c *walkConn) bool { return c.open && !c.reset && len(c.incoming) > 0 })
	if c == nil {
		return
	}
	size, age := len(c.incoming), int64(0)
	if w.oneIn(6) {
		size = 1 + w.random.IntN(size)
	}
	if c.address == "" && w.oneIn(6) {
		age = w.random.Int64N(second / 10)
	}
	w.deliver(c, size, age)
}

// peerCloses has a server, the counter or discovery close a connection, which is reported to the limiter later.
func (w *walkEnvironment) peerCloses() {
	c := w.pickConn(func(c *walkConn) bool { return c.address != "" && c.open && !c.ended })
	if c != nil && w.oneIn(3) {
		w.note("%s closes connection %d", c.address, c.id)
		c.ended, c.reset = true, w.oneIn(2)
	}
}

// deliverSomeClose reports a closed connection to the limiter.
func (w *walkEnvironment) deliverSomeClose() {
	if c := w.pickConn(func(c *walkConn) bool { return c.open && c.ended }); c != nil {
		w.deliverClose(c, []CloseReason{PeerClosed, PeerReset}[w.random.IntN(2)])
	}
}

// advanceTime advances the clock by a random time.
func (w *walkEnvironment) advanceTime() {
	w.advanceBy([]int64{1e6, 1e6, 4e6, 4e6, 2e7, 1e8}[w.random.IntN(6)])
}

// advanceBy advances the clock by a duration in nanoseconds and runs the timers that become due.
func (w *walkEnvironment) advanceBy(duration int64) {
	until := w.now + duration
	for w.timerAt < until {
		w.now = max(w.now, w.timerAt)
		w.step(TimersDue{})
		w.checkOverdue()
	}
	w.now = until
	w.step(TimersDue{})
	w.checkOverdue()
}

// finish shuts the limiter down, completes all that is pending and checks that nothing is left.
func (w *walkEnvironment) finish() {
	w.step(ShutdownRequested{})
	for range 100 {
		for _, c := range w.connsWhere(w.isDialling) {
			if !c.closed && !c.ended {
				c.open = true
				w.step(Connected{Conn: c.id})
			}
		}
		for _, c := range w.connsWhere(func(*walkConn) bool { return true }) {
			if c.ended && !c.closed {
				w.deliverClose(c, PeerClosed)
			} else if !c.closed {
				w.accept(c)
				w.deliver(c, len(c.incoming), 0)
			}
		}
		w.advanceBy(second / 20)
		w.noteDraining()
		if len(w.violations) > 0 {
			return
		}
	}
	w.checkRejections()
	l := w.limiter
	if len(l.requests.byID) > 0 || l.requests.heldBytes != 0 || len(l.results) > 0 || l.clients.count != 0 ||
		!l.Finished() {
		w.fail("left at the end: %d requests of %d bytes, %d results, %d clients; finished: %t",
			len(l.requests.byID), l.requests.heldBytes, len(l.results), l.clients.count, l.Finished())
	}
}
