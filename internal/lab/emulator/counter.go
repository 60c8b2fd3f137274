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

	clock  *history.Clock
	book   *history.Recorder
	script []Fault
	ports  []*port

	mu     sync.Mutex
	parts  []map[string]count // one while whole
	played map[int]bool       // resets and splits already begun
	split  int                // the script entry of the split that holds, -1 for none
	calls  int64
	seen   func(Tally)
}

// Tally is one call that was answered with a total; times are nanoseconds on the run's clock.
type Tally struct {
	Limiter  int
	Name     string
	Read     int64 // when the call had been read whole
	Answered int64 // just before the answer was written
}

type count struct {
	total float64
	until int64 // when the name lapses
}

// NewCounter makes a counter for limiters limiters that plays script.
func NewCounter(clock *history.Clock, book *history.Recorder, script []Fault, limiters int) *Counter {
	k := &Counter{clock: clock, book: book, script: script, parts: []map[string]count{{}}, played: map[int]bool{},
		split: -1}
	for range max(limiters, 1) {
		k.ports = append(k.ports, &port{})
	}
	return k
}

// Address is where limiter i calls.
func (k *Counter) Address(i int) string { return k.ports[i%len(k.ports)].where() }

// Calls is how many calls it has answered.
func (k *Counter) Calls() int64 { k.mu.Lock(); defer k.mu.Unlock(); return k.calls }

// Observe has each answered call told to seen, on the goroutine of its connection; to be set before Start.
func (k *Counter) Observe(seen func(Tally)) { k.seen = seen }

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
		p.shut()
	}
}

// Close stops it for good.
func (k *Counter) Close() {
	for _, p := range k.ports {
		p.release()
	}
}

// Up tells whether it listens.
func (k *Counter) Up() bool { return k.ports[0].isUp() }

// Tick plays what the script says for now: a stop and start for "down", forgetting all for "reset", parts
// for "split".
func (k *Counter) Tick(now int64) {
	down := false
	for i, f := range k.script {
		inside := now >= f.From && (f.Until == 0 || now < f.Until)
		switch {
		case f.Kind == "down" && inside:
			down = true
		case f.Kind == "reset" && now >= f.From && !k.played[i]:
			k.mu.Lock()
			k.played[i] = true
			for p := range k.parts {
				k.parts[p] = map[string]count{}
			}
			k.mu.Unlock()
			k.book.AddEvent(history.Event{At: now, Kind: "counter-reset", Target: "counter"})
		case f.Kind == "split" && inside && !k.played[i]:
			k.mu.Lock()
			k.played[i], k.split = true, i
			whole := k.parts[0]
			k.parts = nil
			for range max(int(f.Factor), 2) {
				copied := make(map[string]count, len(whole))
				for name, c := range whole {
					copied[name] = c
				}
				k.parts = append(k.parts, copied)
			}
			k.mu.Unlock()
			k.book.AddEvent(history.Event{At: now, Kind: "counter-split", Target: "counter"})
		case f.Kind == "split" && !inside && k.split == i:
			k.mu.Lock()
			k.parts = k.parts[:1]
			k.split = -1
			k.mu.Unlock()
			k.book.AddEvent(history.Event{At: now, Kind: "counter-healed", Target: "counter"})
		}
	}
	up := k.ports[0].isUp()
	if down && up {
		k.Stop()
		k.book.AddEvent(history.Event{At: now, Kind: "counter-down", Target: "counter"})
	} else if !down && !up {
		if err := k.Start(); err == nil {
			k.book.AddEvent(history.Event{At: now, Kind: "counter-up", Target: "counter"})
		}
	}
}

func (k *Counter) serve(plain net.Conn, limiter int) {
	c := k.Traffic.counted(plain)
	defer func() { _ = c.Close() }()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		now := k.clock.Now()
		k.Traffic.Calls.Add(1)
		fault, faulty := active(k.script, now, 0)
		if faulty && fault.Kind == "slow" {
			time.Sleep(time.Duration(fault.Factor * float64(time.Millisecond)))
		}
		words := strings.Fields(lines.Text())
		answer := k.answer(words, now, limiter, faulty && fault.Kind == "busy")
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		answered := k.clock.Now()
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
		if k.seen != nil && len(words) == 4 {
			k.seen(Tally{Limiter: limiter, Name: words[1], Read: now, Answered: answered})
		}
	}
}

// answer adds to a count; a name's life runs from its first add, as a fresh name's does on the real counter.
func (k *Counter) answer(words []string, now int64, limiter int, busy bool) string {
	if len(words) == 1 && words[0] == "ping" {
		return "pong\r\n"
	}
	if len(words) != 4 || words[0] != "tally" || len(words[1]) > 64 {
		return "error\r\n"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	life, lifeErr := strconv.ParseInt(words[3], 10, 64)
	if err != nil || lifeErr != nil || life < 1 {
		return "error\r\n"
	}
	if busy {
		return "busy\r\n"
	}
	life = min(life, 60000)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	k.book.AddCount(limiter, now)
	part := k.parts[limiter%len(k.parts)]
	held, ok := part[words[1]]
	if !ok || now >= held.until {
		held = count{until: now + life*int64(time.Millisecond)}
	}
	held.total += amount
	part[words[1]] = held
	return "ok " + strconv.FormatFloat(held.total, 'g', 7, 64) + "\r\n"
}
