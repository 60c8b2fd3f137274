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
	walkSeeds = flag.Int("walk-seeds", 1000, "how many random walks TestWalk makes")
	walkFirst = flag.Uint64("walk-first", 1, "the first one's seed")
)

const walkSteps = 700

// TestWalk: processes ended by themselves where several results came in one step and an earlier one ended the request
// of a later one, which nobody had thought of. So random walks take the reducer through whatever may come, in any
// order and in pieces: clients that send, leave and break off, servers, a counter and a discovery that answer well,
// badly, twice, late or never, connections that do not come up or end, new configurations, time that passes, stands
// still and steps, and the process's end. It must not panic, each command has one answer in time, nothing runs twice
// or for nobody, and nothing is left over.
func TestWalk(t *testing.T) {
	silence(t)
	for seed := *walkFirst; seed < *walkFirst+uint64(*walkSeeds); seed++ {
		w := newWalk(seed)
		w.play()
		if len(w.faults) > 0 {
			w.noteOwed()
			t.Errorf("seed %d: %s\n%s", seed, strings.Join(w.faults, "\n"), strings.Join(w.history, "\n"))
			return
		}
	}
}

// silence keeps the limiter's log out of the test's output.
func silence(t *testing.T) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// newWalk makes a world with a limiter in it.
func newWalk(seed uint64) *walkWorld {
	w := &walkWorld{
		random:   rand.New(rand.NewPCG(seed, 0)),
		now:      second,
		conns:    map[ConnID]*walkConn{},
		requests: map[string]*walkRequest{},
		states:   map[string]string{"a": "in_service", "b": "in_service", "c": "in_service"},
		draining: map[string]int64{},
	}
	w.drawMoves()
	var err error
	options := OperatorOptions{DiscoveryCallRate: float64(5 * w.random.IntN(2)), ConnectionRate: float64(20 * w.random.IntN(2))}
	w.limiter, err = NewWithOptions(w.now, w.config(), options, w)
	if err != nil {
		w.fail("no limiter: %v", err)
	}
	return w
}

// config is a configuration; that of the start, or one that has moved discovery and the counter.
func (w *walkWorld) config() *settings.Config {
	at := fmt.Sprint(w.random.IntN(3))
	var known []byte
	if w.knowsList {
		known = []byte(w.list(true))
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
						DeduplicationScope: choice.ScopeAll, DeduplicationWindow: walkDeduplication},
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

// play makes the steps and the end.
func (w *walkWorld) play() {
	defer func() {
		if cause := recover(); cause != nil {
			w.fail("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	stopsAt := walkSteps/2 + w.random.IntN(walkSteps)
	for i := range walkSteps {
		if i == stopsAt {
			w.step(ShutdownRequested{})
		}
		w.move()
		w.noteDraining()
		if len(w.faults) > 0 {
			return
		}
	}
	w.finish()
}

// drawMoves draws how likely each thing that may happen is in this walk. Walks in which some things happen often and
// others seldom meet more coincidences than walks that are all alike.
func (w *walkWorld) drawMoves() {
	w.badCounter, w.badServers = w.chance(2), w.chance(2)
	w.knowsList = !w.chance(4)
	w.pollInterval = []int64{0, 0, second}[w.random.IntN(3)]
	w.counterTimeout = []int64{0, second / 20, second / 5, second / 5}[w.random.IntN(4)]
	for _, draw := range []struct {
		move        func()
		least, most int
	}{
		{w.accept, 1, 3}, {w.send, 1, 6}, {w.leave, 0, 4}, {w.sendNonsense, 0, 1},
		{w.connect, 2, 5}, {w.refuse, 0, 2}, {w.kernelTakes, 1, 3},
		{w.otherAnswers, 2, 8}, {w.otherAnswersEarly, 0, 2}, {w.otherEnds, 0, 3}, {w.endIsTold, 1, 3},
		{w.deliver, 4, 10}, {w.pass, 1, 4}, {w.standStill, 0, 1}, {w.reload, 0, 1}, {w.stepClock, 0, 1},
	} {
		for range draw.least + w.random.IntN(draw.most-draw.least+1) {
			w.moves = append(w.moves, draw.move)
		}
	}
}

// move is one random thing that happens.
func (w *walkWorld) move() { w.moves[w.random.IntN(len(w.moves))]() }

// standStill is a time in which the process stands still, with all that comes meanwhile.
func (w *walkWorld) standStill() {
	if !w.chance(4) {
		return
	}
	w.now += second/2 + w.random.Int64N(4*second)
	w.note("stood still")
	w.step(TimersDue{}) // before the kernel takes more: what it lacks is with the process
}

func (w *walkWorld) reload() {
	if w.chance(4) {
		w.step(ConfigReloaded{Config: w.config()})
	}
}

func (w *walkWorld) stepClock() { w.wallStep += w.random.Int64N(7200*second) - 3600*second }

func (w *walkWorld) accept() {
	w.last++
	w.conns[w.last] = &walkConn{id: w.last, open: true}
	w.step(ClientAccepted{Conn: w.last})
}

// aClient is a client that is there and has sent nothing but commands.
func (w *walkWorld) aClient() *walkConn {
	return w.pick(func(c *walkConn) bool { return c.address == "" && !c.ended && !c.refused })
}

func (w *walkWorld) send() {
	c := w.aClient()
	if c == nil {
		return
	}
	for range 1 + w.random.IntN(5) {
		w.sendCommand(c)
	}
}

func (w *walkWorld) sendCommand(c *walkConn) {
	command := &walkCommand{}
	text := "*1\r\n$4\r\nPING\r\n"
	if !w.chance(12) {
		text = w.request(c, command)
	}
	c.sent += len(text)
	command.end = c.sent
	c.coming = append(c.coming, text...)
	c.commands = append(c.commands, command)
}

// request makes a request of a client.
func (w *walkWorld) request(c *walkConn, command *walkCommand) string {
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

func (w *walkWorld) sendNonsense() {
	if c := w.aClient(); c != nil && w.chance(4) {
		c.refused = true
		c.coming = append(c.coming, "nonsense\r\n"...)
	}
}

// leave is the end of a client, which the limiter may find before it is told.
func (w *walkWorld) leave() {
	if c := w.aClient(); c != nil && w.chance(2) {
		w.note("client %d leaves", c.id)
		c.ended, c.reset = true, w.chance(2)
	}
}

func (w *walkWorld) isDialled(c *walkConn) bool { return !c.open && !c.ended }

func (w *walkWorld) connect() {
	if c := w.pick(w.isDialled); c != nil {
		c.open = true
		w.step(Connected{Conn: c.id})
	}
}

func (w *walkWorld) refuse() {
	if c := w.pick(w.isDialled); c != nil && w.chance(3) {
		c.ended = true
		w.step(ConnClosed{Conn: c.id, Reason: []CloseReason{ConnRefused, DialTimedOut, LocalFailure, NoConnection}[w.random.IntN(4)]})
	}
}

func (w *walkWorld) kernelTakes() {
	if c := w.pick(func(c *walkConn) bool { return !c.ended && c.taken < len(c.written) }); c != nil {
		w.takes(c)
	}
}

func (w *walkWorld) otherAnswersEarly() {
	c := w.pick(func(c *walkConn) bool {
		return c.isServer() && !c.ended && c.read < c.taken && c.taken < len(c.written)
	})
	if c != nil {
		w.answersEarly(c)
	}
}

func (w *walkWorld) otherAnswers() {
	c := w.pick(func(c *walkConn) bool { return !c.ended && len(c.working)+len(c.calls) > 0 })
	if c == nil {
		return
	}
	for range 1 + w.random.IntN(6) {
		if len(c.working) > 0 {
			w.answersCommand(c)
		} else if len(c.calls) > 0 {
			w.answersCall(c)
		}
	}
}

// deliver tells the limiter what has come on a connection, all or a part of it.
func (w *walkWorld) deliver() {
	c := w.pick(func(c *walkConn) bool { return c.open && !c.reset && len(c.coming) > 0 })
	if c == nil {
		return
	}
	size, age := len(c.coming), int64(0)
	if w.chance(6) {
		size = 1 + w.random.IntN(size)
	}
	if c.address == "" && w.chance(6) {
		age = w.random.Int64N(second / 10)
	}
	w.tell(c, size, age)
}

// otherEnds is the end of a server's, the counter's or discovery's connection, which the limiter is told later.
func (w *walkWorld) otherEnds() {
	c := w.pick(func(c *walkConn) bool { return c.address != "" && c.open && !c.ended })
	if c != nil && w.chance(3) {
		w.note("%s ends %d", c.address, c.id)
		c.ended, c.reset = true, w.chance(2)
	}
}

func (w *walkWorld) endIsTold() {
	if c := w.pick(func(c *walkConn) bool { return c.open && c.ended }); c != nil {
		w.tellEnd(c, []CloseReason{PeerClosed, PeerReset}[w.random.IntN(2)])
	}
}

// pass lets some time pass, with the timers that are due meanwhile.
func (w *walkWorld) pass() {
	w.passFor([]int64{1e6, 1e6, 4e6, 4e6, 2e7, 1e8}[w.random.IntN(6)])
}

func (w *walkWorld) passFor(time int64) {
	until := w.now + time
	for w.wake < until {
		w.now = max(w.now, w.wake)
		w.step(TimersDue{})
		w.overdue()
	}
	w.now = until
	w.step(TimersDue{})
	w.overdue()
}

// finish lets all that is out come to its end.
func (w *walkWorld) finish() {
	w.step(ShutdownRequested{})
	for range 100 {
		for _, c := range w.sorted(w.isDialled) {
			if !c.closed && !c.ended {
				c.open = true
				w.step(Connected{Conn: c.id})
			}
		}
		for _, c := range w.sorted(func(*walkConn) bool { return true }) {
			if c.ended && !c.closed {
				w.tellEnd(c, PeerClosed)
			} else if !c.closed {
				w.takes(c)
				w.tell(c, len(c.coming), 0)
			}
		}
		w.passFor(second / 20)
		w.noteDraining()
		if len(w.faults) > 0 {
			return
		}
	}
	w.rejected()
	l := w.limiter
	if len(l.requests.byID) > 0 || l.requests.heldBytes != 0 || len(l.results) > 0 || l.clients.count != 0 || !l.Finished() {
		w.fail("left over: %d requests of %d bytes, %d results, %d clients; finished: %t",
			len(l.requests.byID), l.requests.heldBytes, len(l.results), l.clients.count, l.Finished())
	}
}
