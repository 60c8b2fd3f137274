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

// Counter emulates the shared counter. It reads lines `tally NAME AMOUNT LIFETIME_MS` and answers each with `ok TOTAL`,
// in order. It listens on one port per limiter, so that during a "split" fault limiters can get different totals at
// unchanged addresses: limiter i is answered from part i mod Factor, and each part starts as a copy of the totals from
// before the split. When the split ends, the totals of part 0 are kept and the additions to the other parts are lost,
// as when one side of a partitioned store wins.
type Counter struct {
	Traffic Traffic // summed over all limiters

	clock    *history.Clock
	recorder *history.Recorder
	script   []Fault
	ports    []*port

	mu          sync.Mutex
	parts       []map[string]count // one entry unless a split is in effect
	applied     map[int]bool       // script indexes of resets and splits that have begun
	activeSplit int                // script index of the split in effect, -1 if none
	calls       int64
	observer    func(CounterCall)
}

// CounterCall is one counter call as it was answered. Times are nanoseconds on the run's clock.
type CounterCall struct {
	Limiter  int
	Name     string
	Read     int64 // when the complete call had been read
	Answered int64 // just before the answer was written
}

// count is the total of one name.
type count struct {
	total     float64
	expiresAt int64 // nanoseconds on the run's clock
}

// NewCounter returns a stopped counter that serves the given number of limiters and applies the faults of script.
func NewCounter(clock *history.Clock, recorder *history.Recorder, script []Fault, limiters int) *Counter {
	k := &Counter{clock: clock, recorder: recorder, script: script, parts: []map[string]count{{}},
		applied: map[int]bool{}, activeSplit: -1}
	for range max(limiters, 1) {
		k.ports = append(k.ports, &port{})
	}
	return k
}

// Address returns the address that limiter i connects to; it is empty before the first Start.
func (k *Counter) Address(i int) string { return k.ports[i%len(k.ports)].address() }

// Calls returns the number of tally calls answered with a total.
func (k *Counter) Calls() int64 { k.mu.Lock(); defer k.mu.Unlock(); return k.calls }

// Observe makes the counter pass each answered call to observer, on the goroutine of the call's connection. It must be
// called before Start.
func (k *Counter) Observe(observer func(CounterCall)) { k.observer = observer }

// Start listens on one loopback port per limiter. A restart after Stop uses the same ports.
func (k *Counter) Start() error {
	for i, p := range k.ports {
		if err := p.open(func(c net.Conn) { k.serve(c, i) }); err != nil {
			return err
		}
	}
	return nil
}

// Stop closes the listeners, so that new connections are refused, and resets the open connections.
func (k *Counter) Stop() {
	for _, p := range k.ports {
		p.stop()
	}
}

// Close stops the counter and gives up its ports.
func (k *Counter) Close() {
	for _, p := range k.ports {
		p.close()
	}
}

// Up reports whether the counter is listening.
func (k *Counter) Up() bool { return k.ports[0].isUp() }

// Tick brings the counter into the state that the script gives for now: "down" stops it until the fault ends, "reset"
// clears all totals, and "split" divides the totals into parts.
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

// serve answers the calls of one connection of a limiter, in order.
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
			k.observer(CounterCall{Limiter: limiter, Name: fields[1], Read: now, Answered: answered})
		}
	}
}

// answer executes one call and returns its reply. As on the real counter, the lifetime of a name runs from its first
// addition and is not extended by later ones.
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
