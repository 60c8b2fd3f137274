package simfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/resp"
)

// Customer is one customer's part of the load.
type Customer struct {
	ID       string // 16 hex digits
	Plan     string
	Share    float64
	Limiters int // its requests come through so many limiters in a row,
	First    int // from this one on
}

// ClassShare is one class's part of the load.
type ClassShare struct {
	Class    string
	Share    float64
	Units    float64
	Deadline int64 // nanoseconds from its sending
}

// Load is what clients send, open loop: requests come at their rate whatever becomes of the earlier ones.
type Load struct {
	Rate            float64 // requests a second, all together
	From            int64   // when the first may come
	Until           int64   // and the last
	Customers       []Customer
	Classes         []ClassShare
	KeepConnections bool    // they stay on open connections after SIGTERM; else they close them once it is noticed
	GiveUp          float64 // so many go away after half of their time
	Retry           float64 // so many of those rejected come again
}

// late is how long past its deadline a client still looks for an answer.
const late = 500e6

// clients are all clients, behind the front that deals their requests out.
type clients struct {
	f        *Fleet
	host     *host
	rng      *rand.Rand
	rate     float64
	gates    []*gate // one a limiter
	next     int
	unserved int // requests for which no limiter of the customer's set was in
}

// gate is what the front knows of a limiter.
type gate struct {
	in      bool // it has answered PING since its start
	leaving bool // its end was noticed: no new connections
	idle    []*tie
	starts  int
	readyAt int64 // when it was taken in
}

// tie is a client's connection.
type tie struct {
	n    int
	s    *side
	held []byte
	out  *visit
	ping bool
}

// visit is a request on its way.
type visit struct {
	job    history.Request
	text   []byte
	cutOff int64
	giveUp bool
	resent bool
	tie    *tie
	over   bool
	number int    // of its sendings
	again  func() // brings it once more, as a new request, where its client does so after a rejection
}

func (k *clients) accept(*side) {}

func (k *clients) connected(s *side) {
	t := s.data.(*tie)
	if t.ping {
		s.write([]byte("*1\r\n$4\r\nPING\r\n"))
	} else if t.out != nil {
		k.put(t)
	}
}

// arrive lets requests come from now on.
func (k *clients) arrive() {
	o := &k.f.o.Load
	k.f.q.at(k.f.q.now+int64(k.rng.ExpFloat64()/k.rate*1e9), func() {
		if k.f.q.now >= o.Until {
			return
		}
		c := draw(k.rng, o.Customers, func(c Customer) float64 { return c.Share })
		m := draw(k.rng, o.Classes, func(m ClassShare) float64 { return m.Share })
		k.bring(c, m, false)
		k.arrive()
	})
}

func draw[T any](rng *rand.Rand, items []T, share func(T) float64) T {
	total := 0.0
	for _, it := range items {
		total += share(it)
	}
	u := rng.Float64() * total
	for _, it := range items {
		u -= share(it)
		if u < 0 {
			return it
		}
	}
	return items[len(items)-1]
}

// bring makes a request and hands it to one of the customer's limiters that is in.
func (k *clients) bring(c Customer, m ClassShare, retry bool) {
	count := len(k.gates)
	at := k.rng.IntN(c.Limiters)
	n := -1
	for i := range c.Limiters {
		try := (c.First + (at+i)%c.Limiters) % count
		if g := k.gates[try]; g.in && (!g.leaving || k.f.o.Load.KeepConnections && len(g.idle) > 0) {
			n = try
			break
		}
	}
	if n < 0 {
		k.unserved++
		return
	}
	k.next++
	effect := k.f.set.Classes[m.Class].Idempotency
	v := &visit{cutOff: m.Deadline, giveUp: k.rng.Float64() < k.f.o.Load.GiveUp}
	v.job = history.Request{
		ID:            fmt.Sprintf("%016x", k.next),
		Customer:      c.ID,
		Plan:          c.Plan,
		Class:         m.Class,
		Units:         m.Units,
		Limiter:       n,
		Retry:         retry,
		NonIdempotent: effect == choice.NonIdempotent,
	}
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d", m.Class, c.Plan, m.Deadline/1e6,
		strconv.FormatFloat(m.Units, 'g', -1, 64), c.Limiters, c.First)
	if retry {
		list += ",r=1"
	}
	if effect == choice.IdempotentWithKey {
		list += ",k=" + v.job.ID
	}
	words := [][]byte{[]byte("SVC.QUERY"), []byte(c.ID), []byte(v.job.ID), []byte(list)}
	if effect != choice.Idempotent {
		words[0] = []byte("SVC.SUBMIT")
		words = append(words, []byte("body"))
	}
	v.text = resp.AppendCommand(nil, words...)
	v.job.Answered = -1
	if k.rng.Float64() < k.f.o.Load.Retry && !retry {
		v.again = func() { k.bring(c, m, true) }
	}
	k.send(v, false)
}

// send puts a request on a connection that is idle, the one used last first, or on a new one.
func (k *clients) send(v *visit, fresh bool) {
	g := k.gates[v.job.Limiter]
	v.number++
	if last := len(g.idle) - 1; last >= 0 && !fresh {
		t := g.idle[last]
		g.idle = g.idle[:last]
		t.out = v
		v.tie = t
		k.put(t)
		return
	}
	t := &tie{n: v.job.Limiter, out: v}
	v.tie = t
	v.job.Sent = k.f.q.now
	v.job.Deadline = k.f.q.now + v.cutOff
	t.s = k.f.net.dial(k.host, k, k.f.limiters[t.n].host.name, 1e9)
	t.s.data = t
}

// put writes a request: its time is counted from here.
func (k *clients) put(t *tie) {
	v, now := t.out, k.f.q.now
	v.job.Sent = now
	v.job.Deadline = now + v.cutOff
	t.s.write(v.text)
	number := v.number
	look := v.job.Deadline + late
	if v.giveUp {
		look = now + v.cutOff/2
	}
	k.f.q.at(look, func() {
		if v.over || v.number != number {
			return
		}
		t.s.close()
		if v.giveUp {
			k.end(v, history.GaveUp, 0)
		} else {
			k.end(v, history.Unanswered, 0)
		}
	})
}

// end writes a request down.
func (k *clients) end(v *visit, outcome history.Outcome, retryAfter int64) {
	v.over = true
	v.job.Answered = k.f.q.now
	v.job.Outcome = outcome
	v.job.RetryAfter = retryAfter
	if v.tie != nil {
		v.tie.out = nil
	}
	k.f.requests = append(k.f.requests, v.job)
	if at := k.f.q.now + max(retryAfter, 50e6); v.again != nil && outcome == history.Rejected && at < k.f.o.Load.Until {
		k.f.q.at(at, v.again)
	}
}

func (k *clients) read(s *side, b []byte, _ int64) {
	t := s.data.(*tie)
	t.held = append(t.held, b...)
	value, n, err := resp.ReadValue(t.held)
	if n == 0 && err == nil {
		return
	}
	v := t.out
	if t.ping {
		s.close()
		if string(value.Text) == "PONG" {
			k.takeIn(t.n)
		}
		return
	}
	if v == nil || err != nil {
		k.f.fault("answer", fmt.Sprintf("limiter:%d", t.n), "an answer that nobody asked for, or none")
		s.close()
		g := k.gates[t.n]
		g.idle = slices.DeleteFunc(g.idle, func(o *tie) bool { return o == t })
		if v != nil {
			k.end(v, history.ConnectionBroken, 0)
		}
		return
	}
	t.held = t.held[n:]
	outcome, retryAfter := judge(value)
	if k.f.q.now > v.job.Deadline {
		outcome = history.Late
	}
	k.end(v, outcome, retryAfter)
	g := k.gates[t.n]
	if g.leaving && !k.f.o.Load.KeepConnections {
		s.close()
		return
	}
	g.idle = append(g.idle, t)
}

// judge names an answer as the protocol's table does, with its retry-after in nanoseconds.
func judge(v resp.Value) (history.Outcome, int64) {
	switch {
	case v.Kind == '$' && !v.Null:
		return history.Succeeded, 0
	case v.Kind == '-' && len(v.Text) >= 4 && string(v.Text[:4]) == "BUSY":
		ms, _ := strconv.ParseInt(string(v.Text[min(len(v.Text), 5):]), 10, 64)
		return history.Rejected, ms * 1e6
	}
	return history.Failed, 0
}

func (k *clients) ended(s *side, how limiter.CloseReason) {
	t := s.data.(*tie)
	g := k.gates[t.n]
	g.idle = slices.DeleteFunc(g.idle, func(o *tie) bool { return o == t })
	v := t.out
	if v == nil {
		return
	}
	unread := how == limiter.ConnRefused || how == limiter.DialTimedOut || s.far.got < s.wrote
	switch {
	case unread && !v.resent && how != limiter.DialTimedOut: // the end has crossed it: it comes once more
		v.resent = true
		k.send(v, true)
	case unread:
		v.job.Answered = k.f.q.now
		k.end(v, history.NotAccepted, 0)
	default:
		k.end(v, history.ConnectionBroken, 0)
	}
}

// started: the front asks a limiter until it says that it is ready.
func (k *clients) started(n int) {
	g := k.gates[n]
	g.in = false
	g.leaving = false
	g.starts++
	k.ask(n, g.starts)
}

const pingEvery = 100e6

func (k *clients) ask(n, start int) {
	g := k.gates[n]
	if g.in || g.starts != start {
		return
	}
	t := &tie{n: n, ping: true}
	t.s = k.f.net.dial(k.host, k, k.f.limiters[n].host.name, pingEvery)
	t.s.data = t
	k.f.q.at(k.f.q.now+pingEvery, func() {
		t.s.close()
		k.ask(n, start)
	})
}

func (k *clients) takeIn(n int) {
	g := k.gates[n]
	if !g.in {
		g.in = true
		g.readyAt = k.f.q.now
		k.f.event("ready", fmt.Sprintf("limiter:%d", n), "")
	}
}

// died: the front notices some seconds later, unless the limiter has started again by then.
func (k *clients) died(n int) {
	g := k.gates[n]
	start := g.starts
	k.f.q.at(k.f.q.now+1e9+k.rng.Int64N(2e9), func() {
		if g.starts == start {
			g.in = false
		}
	})
}

// ending: after SIGTERM new connections come for a little longer.
func (k *clients) ending(n int) {
	g := k.gates[n]
	start := g.starts
	k.f.q.at(k.f.q.now+200e6+k.rng.Int64N(200e6), func() {
		if g.starts != start {
			return
		}
		g.leaving = true
		if !k.f.o.Load.KeepConnections {
			for _, t := range g.idle {
				t.s.close()
			}
			g.idle = nil
		}
	})
}
