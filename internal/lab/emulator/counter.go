package emulator

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"ospreycroft/internal/lab/history"
)

// Counter is the shared counter's stand-in: `tally NAME AMOUNT LIFE` lines, `ok TOTAL` answers, in order. It
// listens on one port for each limiter, so that a split can show limiters different stores at one address each:
// while a "split" of Factor parts lasts, limiter i is answered from part i mod Factor, each part beginning as a
// copy of the whole; when it heals, part 0's totals stand and what the others added is lost, as when one side
// of a split store wins.
type Counter struct {
	Traffic Traffic // of all limiters

	clock    *history.Clock
	recorder *history.Recorder
	script   []Fault
	ports    []*port

	mu          sync.Mutex
	parts       []map[string]count // one while whole
	applied     map[int]bool       // resets and splits already begun
	activeSplit int                // the script entry of the split that holds, -1 for none
	calls       int64
	observer    func(Tally)
}

// Tally is one call that was answered with a total; times are nanoseconds on the run's clock.
type Tally struct {
	Limiter  int
	Name     string
	Read     int64 // when the call had been read whole
	Answered int64 // just before the answer was written
}

type count struct {
	total     float64
	expiresAt int64 // when the name lapses
}

// NewCounter makes a counter for limiters limiters that plays script.
func NewCounter(clock *history.Clock, recorder *history.Recorder, script []Fault, limiters int) *Counter {
	k := &Counter{clock: clock, recorder: recorder, script: script, parts: []map[string]count{{}},
		applied: map[int]bool{}, activeSplit: -1}
	for range max(limiters, 1) {
		k.ports = append(k.ports, &port{})
	}
	return k
}

// Address is where limiter i calls.
func (k *Counter) Address(i int) string { return k.ports[i%len(k.ports)].address() }

// Calls is how many calls it has answered.
func (k *Counter) Calls() int64 { k.mu.Lock(); defer k.mu.Unlock(); return k.calls }

// Observe has each answered call told to seen, on the goroutine of its connection; to be set before Start.
func (k *Counter) Observe(observer func(Tally)) { k.observer = observer }

// Start listens on a loopback port for each limiter, the same ports after a stop.
func (k *Counter) Start() error {
	for i, p := range k.ports {
		if err := p.open(func(c net.Conn) { k.serve(c, i) }); err != nil {
			return err
		}
	}
	return nil
}

// Stop refuses new connections and resets those open.
func (k *Counter) Stop() {
	for _, p := range k.ports {
		p.stop()
	}
}

// Close stops it for good.
func (k *Counter) Close() {
	for _, p := range k.ports {
		p.close()
	}
}

// Up tells whether it listens.
func (k *Counter) Up() bool { return k.ports[0].isUp() }

// Tick plays what the script says for now: a stop and start for "down", forgetting all for "reset", parts
// for "split".
func (k *Counter) Tick(now int64) {
	down := false
	for i, f := range k.script {
		inEffect := now >= f.From && (f.Until == 0 || now < f.Until)
		switch {
		case f.Kind == "down" && inEffect:
			down = true
		case f.Kind == "reset" && now >= f.From && !k.applied[i]:
			k.mu.Lock()
			k.applied[i] = true
			for p := range k.parts {
				k.parts[p] = map[string]count{}
			}
			k.mu.Unlock()
			k.recorder.AddEvent(history.Event{At: now, Kind: "counter-reset", Target: "counter"})
		case f.Kind == "split" && inEffect && !k.applied[i]:
			k.mu.Lock()
			k.applied[i], k.activeSplit = true, i
			original := k.parts[0]
			k.parts = nil
			for range max(int(f.Factor), 2) {
				copied := make(map[string]count, len(original))
				for name, c := range original {
					copied[name] = c
				}
				k.parts = append(k.parts, copied)
			}
			k.mu.Unlock()
			k.recorder.AddEvent(history.Event{At: now, Kind: "counter-split", Target: "counter"})
		case f.Kind == "split" && !inEffect && k.activeSplit == i:
			k.mu.Lock()
			k.parts = k.parts[:1]
			k.activeSplit = -1
			k.mu.Unlock()
			k.recorder.AddEvent(history.Event{At: now, Kind: "counter-healed", Target: "counter"})
		}
	}
	up := k.ports[0].isUp()
	if down && up {
		k.Stop()
		k.recorder.AddEvent(history.Event{At: now, Kind: "counter-down", Target: "counter"})
	} else if !down && !up {
		if err := k.Start(); err == nil {
			k.recorder.AddEvent(history.Event{At: now, Kind: "counter-up", Target: "counter"})
		}
	}
}

func (k *Counter) serve(rawConn net.Conn, limiter int) {
	c := k.Traffic.wrapConn(rawConn)
	defer func() { _ = c.Close() }()
	scanner := bufio.NewScanner(c)
	for scanner.Scan() {
		now := k.clock.Now()
		k.Traffic.Calls.Add(1)
		fault, hasFault := activeFault(k.script, now, 0)
		if hasFault && fault.Kind == "slow" {
			time.Sleep(time.Duration(fault.Factor * float64(time.Millisecond)))
		}
		fields := strings.Fields(scanner.Text())
		answer := k.answer(fields, now, limiter, hasFault && fault.Kind == "busy")
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		answered := k.clock.Now()
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
		if k.observer != nil && len(fields) == 4 {
			k.observer(Tally{Limiter: limiter, Name: fields[1], Read: now, Answered: answered})
		}
	}
}

// answer adds to a count; a name's life runs from its first add, as a fresh name's does on the real counter.
func (k *Counter) answer(fields []string, now int64, limiter int, busy bool) string {
	if len(fields) == 1 && fields[0] == "ping" {
		return "pong\r\n"
	}
	if len(fields) != 4 || fields[0] != "tally" || len(fields[1]) > 64 {
		return "error\r\n"
	}
	amount, err := strconv.ParseFloat(fields[2], 64)
	lifetimeMs, lifetimeErr := strconv.ParseInt(fields[3], 10, 64)
	if err != nil || lifetimeErr != nil || lifetimeMs < 1 {
		return "error\r\n"
	}
	if busy {
		return "busy\r\n"
	}
	lifetimeMs = min(lifetimeMs, 60000)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	k.recorder.AddCount(limiter, now)
	part := k.parts[limiter%len(k.parts)]
	entry, ok := part[fields[1]]
	if !ok || now >= entry.expiresAt {
		entry = count{expiresAt: now + lifetimeMs*int64(time.Millisecond)}
	}
	entry.total += amount
	part[fields[1]] = entry
	return "ok " + strconv.FormatFloat(entry.total, 'g', 7, 64) + "\r\n"
}
