package simdistribution

import (
	"encoding/json"

	"ospreycroft/internal/distribution"
)

// This file has the calls of limiters and relays to those before them.

// ask makes a node's next call.
func (f *Fleet) ask(n *node) {
	c := &call{Call: n.poller.Call(f.queue.now), from: n, fromLife: n.life}
	c.to = n.servers[c.Server]
	c.toLife = c.to.life
	f.options.Transcript.Add([]byte(n.name), f.queue.now, int64(c.Server), c.Hold, c.Timeout, c.Dial)
	n.bytes += headerBytes
	if n.relay == nil {
		f.calls++
	}
	switch {
	case f.cut(n, c.to):
		f.fail(c, c.Dial, errDialling)
		return
	case c.to.down:
		f.fail(c, 2*f.latency(n, c.to), errRefused)
		return
	}
	f.fail(c, c.Timeout, errTimeout)
	f.queue.after(f.latency(n, c.to), func() {
		if c.done || f.cut(n, c.to) || c.to.down || c.to.stalled || c.to.life != c.toLife {
			return
		}
		if c.Hold > 0 && !c.to.server.Newer(*c.Changes) {
			c.to.held = append(c.to.held, c)
			f.queue.after(c.Hold, func() { f.answer(c) })
			return
		}
		f.answer(c)
	})
}

// fail ends a call after a wait unless it has ended by then.
func (f *Fleet) fail(c *call, wait int64, err error) {
	f.queue.after(wait, func() {
		if f.end(c) {
			f.again(c.from, c.from.poller.TakeError(f.queue.now, err))
		}
	})
}

// end ends a call; it tells whether it was under way still and its caller lives.
func (f *Fleet) end(c *call) bool {
	if c.done {
		return false
	}
	c.done = true
	return c.from.life == c.fromLife && !c.from.down
}

func (f *Fleet) again(n *node, wait int64) {
	f.note(n)
	f.acknowledge(n)
	f.inLife(n, wait, func() { f.ask(n) })
}

// answer makes a server answer a call; the work of answers is done one after the other.
func (f *Fleet) answer(c *call) {
	if c.done || c.to.down || c.to.stalled || c.to.life != c.toLife {
		return
	}
	for i, held := range c.to.held {
		if held == c {
			c.to.held = append(c.to.held[:i], c.to.held[i+1:]...)
			break
		}
	}
	c.to.busy = max(c.to.busy, f.queue.now) + answerTime
	f.queue.after(c.to.busy-f.queue.now, func() {
		if c.done || c.to.down || c.to.stalled || c.to.life != c.toLife {
			return
		}
		var delta *distribution.Delta
		var piece *distribution.Piece
		var err error
		if c.Piece != nil {
			piece, err = c.to.server.Piece(f.queue.now, *c.Piece)
		} else {
			delta, err = c.to.server.Changes(f.queue.now, *c.Changes)
		}
		f.queue.after(f.latency(c.from, c.to), func() {
			if !f.cut(c.from, c.to) && f.end(c) {
				f.take(c.from, delta, piece, err)
			}
		})
	})
}

// take gives an answer to its caller.
func (f *Fleet) take(n *node, delta *distribution.Delta, piece *distribution.Piece, err error) {
	before := n.poller.Version()
	f.transcribe(delta)
	f.transcribe(piece)
	var wait int64
	switch {
	case err != nil:
		wait = n.poller.TakeError(f.queue.now, err)
	case piece != nil:
		n.bytes += size(piece)
		wait, _ = n.poller.TakePiece(f.queue.now, piece)
	default:
		n.bytes += size(delta)
		wait, _ = n.poller.TakeChanges(f.queue.now, delta)
	}
	if n.relay != nil && n.poller.Version() != before {
		f.wake(n)
	}
	f.again(n, wait)
}

// transcribe records a message in its form on the wire.
func (f *Fleet) transcribe(message any) {
	if f.options.Transcript == nil {
		return
	}
	text, err := json.Marshal(message)
	if err != nil {
		text = []byte(err.Error())
	}
	f.options.Transcript.Add(text, f.queue.now)
}

// size is how many bytes a message takes as JSON.
func size(message any) int64 {
	text, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return int64(len(text))
}

// wake answers the calls that a server holds and that it has news for.
func (f *Fleet) wake(n *node) {
	for _, c := range append([]*call{}, n.held...) {
		if n.server.Newer(*c.Changes) {
			f.answer(c)
		}
	}
}

// note records when a limiter got each version that was published.
func (f *Fleet) note(n *node) {
	if n.relay != nil || n.poller.Version() == (distribution.Version{}) {
		return
	}
	for version := range f.published {
		if _, seen := n.seenInForce[version]; !seen && !n.poller.Version().Less(version) {
			n.seenInForce[version] = f.queue.now
		}
	}
}

// acknowledge tells a limiter's relay what is in force, where that is new or was said long ago.
func (f *Fleet) acknowledge(n *node) {
	if n.relay != nil {
		return
	}
	a := n.poller.Acknowledgement(f.queue.now)
	same := a.Version == n.acknowledged.Version && a.Condition == n.acknowledged.Condition
	if same && f.queue.now-n.saidAt < distribution.AcknowledgementEvery {
		return
	}
	n.acknowledged = a
	n.saidAt = f.queue.now
	f.transcribe(a)
	n.bytes += headerBytes + size(a)
	to := n.servers[n.poller.Server(f.queue.now)]
	f.queue.after(f.latency(n, to), func() {
		if !f.cut(n, to) && !to.down && !to.stalled {
			_ = to.server.Acknowledge(f.queue.now, a)
		}
	})
}

// summarize sends a relay's summary to the source, again and again.
func (f *Fleet) summarize(n *node) {
	s := n.relay.Summary(f.queue.now)
	f.transcribe(s)
	if !n.stalled && !f.cut(n, f.sourceAt) {
		f.summaries++
		f.queue.after(f.latency(n, f.sourceAt), func() { _ = f.source.Summarize(f.queue.now, s) })
	}
	f.inLife(n, distribution.SummaryEvery, func() { f.summarize(n) })
}
