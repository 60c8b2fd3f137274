package simdistribution

import (
	"encoding/json"

	"ospreycroft/internal/distribution"
)

// This file implements the calls of limiters to their relays and of relays to the source.

// poll sends a node's next call to its upstream.
func (f *Fleet) poll(n *node) {
	c := &call{Call: n.poller.Call(f.queue.now), from: n, fromIncarnation: n.incarnation}
	c.to = n.upstreams[c.Server]
	c.toIncarnation = c.to.incarnation
	f.options.Transcript.Add([]byte(n.name), f.queue.now, int64(c.Server), c.Hold, c.Timeout, c.DialTimeout)
	n.bytes += headerBytes
	if n.relay == nil {
		f.calls++
	}
	switch {
	case f.partitioned(n, c.to):
		f.failAfter(c, c.DialTimeout, errDialTimeout)
		return
	case c.to.down:
		f.failAfter(c, 2*f.latency(n, c.to), errConnectionRefused)
		return
	}
	f.failAfter(c, c.Timeout, errResponseTimeout)
	f.queue.schedule(f.latency(n, c.to), func() {
		if c.done || f.partitioned(n, c.to) || c.to.down || c.to.stalled || c.to.incarnation != c.toIncarnation {
			return
		}
		if c.Hold > 0 && !c.to.server.HasNewer(*c.Changes) {
			c.to.heldCalls = append(c.to.heldCalls, c)
			f.queue.schedule(c.Hold, func() { f.respond(c) })
			return
		}
		f.respond(c)
	})
}

// failAfter ends a call with err after delay, unless it has ended by then.
func (f *Fleet) failAfter(c *call, delay int64, err error) {
	f.queue.schedule(delay, func() {
		if f.finish(c) {
			f.scheduleNextPoll(c.from, c.from.poller.HandleError(f.queue.now, err))
		}
	})
}

// finish marks a call as ended. It reports whether the call was still open and its caller is still the same process.
func (f *Fleet) finish(c *call) bool {
	if c.done {
		return false
	}
	c.done = true
	return c.from.incarnation == c.fromIncarnation && !c.from.down
}

func (f *Fleet) scheduleNextPoll(n *node, delay int64) {
	f.recordInForce(n)
	f.acknowledge(n)
	f.scheduleWhileAlive(n, delay, func() { f.poll(n) })
}

// respond processes a call at its server and sends the response back. A server processes one call at a time, which
// takes serviceTime.
func (f *Fleet) respond(c *call) {
	if c.done || c.to.down || c.to.stalled || c.to.incarnation != c.toIncarnation {
		return
	}
	for i, held := range c.to.heldCalls {
		if held == c {
			c.to.heldCalls = append(c.to.heldCalls[:i], c.to.heldCalls[i+1:]...)
			break
		}
	}
	c.to.busyUntil = max(c.to.busyUntil, f.queue.now) + serviceTime
	f.queue.schedule(c.to.busyUntil-f.queue.now, func() {
		if c.done || c.to.down || c.to.stalled || c.to.incarnation != c.toIncarnation {
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
		f.queue.schedule(f.latency(c.from, c.to), func() {
			if !f.partitioned(c.from, c.to) && f.finish(c) {
				f.deliverResponse(c.from, delta, piece, err)
			}
		})
	})
}

// deliverResponse passes a response to the caller and schedules its next poll.
func (f *Fleet) deliverResponse(n *node, delta *distribution.Delta, piece *distribution.Piece, err error) {
	before := n.poller.Version()
	f.transcribe(delta)
	f.transcribe(piece)
	var delay int64
	switch {
	case err != nil:
		delay = n.poller.HandleError(f.queue.now, err)
	case piece != nil:
		n.bytes += size(piece)
		delay, _ = n.poller.HandlePiece(f.queue.now, piece)
	default:
		n.bytes += size(delta)
		delay, _ = n.poller.HandleChanges(f.queue.now, delta)
	}
	if n.relay != nil && n.poller.Version() != before {
		f.answerHeldCalls(n)
	}
	f.scheduleNextPoll(n, delay)
}

// transcribe adds a message to the transcript, encoded as JSON as it is on the wire.
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

// size returns a message's length in bytes as JSON, or 0 if it cannot be encoded.
func size(message any) int64 {
	text, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return int64(len(text))
}

// answerHeldCalls answers the held calls for which the server now has newer changes.
func (f *Fleet) answerHeldCalls(n *node) {
	for _, c := range append([]*call{}, n.heldCalls...) {
		if n.server.HasNewer(*c.Changes) {
			f.respond(c)
		}
	}
}

// recordInForce records when each published version, or a newer one, was first in force at a limiter. It ignores
// relays and limiters without a version.
func (f *Fleet) recordInForce(n *node) {
	if n.relay != nil || n.poller.Version() == (distribution.Version{}) {
		return
	}
	for version := range f.published {
		if _, seen := n.inForceAt[version]; !seen && !n.poller.Version().Less(version) {
			n.inForceAt[version] = f.queue.now
		}
	}
}

// acknowledge sends a limiter's acknowledgement to its relay if the version or the condition has changed, or if the
// last one is distribution.AcknowledgementInterval old.
func (f *Fleet) acknowledge(n *node) {
	if n.relay != nil {
		return
	}
	a := n.poller.Acknowledgement(f.queue.now)
	same := a.Version == n.acknowledged.Version && a.Condition == n.acknowledged.Condition
	if same && f.queue.now-n.acknowledgedAt < distribution.AcknowledgementInterval {
		return
	}
	n.acknowledged = a
	n.acknowledgedAt = f.queue.now
	f.transcribe(a)
	n.bytes += headerBytes + size(a)
	to := n.upstreams[n.poller.Server(f.queue.now)]
	f.queue.schedule(f.latency(n, to), func() {
		if !f.partitioned(n, to) && !to.down && !to.stalled {
			_ = to.server.Acknowledge(f.queue.now, a)
		}
	})
}

// sendSummaries sends a relay's summary to the source every distribution.SummaryInterval.
func (f *Fleet) sendSummaries(n *node) {
	s := n.relay.Summary(f.queue.now)
	f.transcribe(s)
	if !n.stalled && !f.partitioned(n, f.sourceNode) {
		f.summaries++
		f.queue.schedule(f.latency(n, f.sourceNode), func() { _ = f.source.Summarize(f.queue.now, s) })
	}
	f.scheduleWhileAlive(n, distribution.SummaryInterval, func() { f.sendSummaries(n) })
}
