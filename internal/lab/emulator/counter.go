package emulator

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"ospreycroft/internal/lab/record"
)

// Counter is the shared counter's stand-in: `tally NAME AMOUNT LIFE` lines, `ok TOTAL` answers, in order.
type Counter struct {
	clock  *record.Clock
	book   *record.Book
	script []Fault

	port
	totals map[string]count
	resets map[int]bool // script entries already played
	calls  int64
}

type count struct {
	total float64
	until int64 // when the name lapses
}

// NewCounter makes a counter that plays script.
func NewCounter(clock *record.Clock, book *record.Book, script []Fault) *Counter {
	return &Counter{clock: clock, book: book, script: script, totals: map[string]count{}, resets: map[int]bool{}}
}

// Address is where it listens.
func (k *Counter) Address() string { return k.where() }

// Calls is how many calls it has answered.
func (k *Counter) Calls() int64 { k.mu.Lock(); defer k.mu.Unlock(); return k.calls }

// Start listens, on address the first time and on the same port after.
func (k *Counter) Start(address string) error { return k.open(address, k.serve) }

// Stop refuses new connections and resets those open.
func (k *Counter) Stop() { k.shut() }

// Tick plays what the script says for now: a stop and start for "down", forgetting all for "reset".
func (k *Counter) Tick(now int64) {
	down := false
	for i, f := range k.script {
		inside := now >= f.From && (f.Until == 0 || now < f.Until)
		switch {
		case f.Kind == "down" && inside:
			down = true
		case f.Kind == "reset" && now >= f.From && !k.resets[i]:
			k.mu.Lock()
			k.resets[i], k.totals = true, map[string]count{}
			k.mu.Unlock()
			k.book.AddEvent(record.Event{At: now, Kind: "counter-reset", Target: "counter"})
		}
	}
	up := k.isUp()
	if down && up {
		k.Stop()
		k.book.AddEvent(record.Event{At: now, Kind: "counter-down", Target: "counter"})
	} else if !down && !up {
		if err := k.Start(""); err == nil {
			k.book.AddEvent(record.Event{At: now, Kind: "counter-up", Target: "counter"})
		}
	}
}

func (k *Counter) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		now := k.clock.Now()
		fault, faulty := active(k.script, now, 0)
		if faulty && fault.Kind == "slow" {
			time.Sleep(time.Duration(fault.Factor * float64(time.Millisecond)))
		}
		answer := k.answer(strings.Fields(lines.Text()), now, faulty && fault.Kind == "busy")
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// answer adds to a count; a name's life runs from its first add, as a fresh name's does on the real counter.
func (k *Counter) answer(words []string, now int64, busy bool) string {
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
	held, ok := k.totals[words[1]]
	if !ok || now >= held.until {
		held = count{until: now + life*int64(time.Millisecond)}
	}
	held.total += amount
	k.totals[words[1]] = held
	return "ok " + strconv.FormatFloat(held.total, 'g', 7, 64) + "\r\n"
}
