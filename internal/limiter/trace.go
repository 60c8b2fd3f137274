package limiter

import (
	"context"
	"log/slog"

	"ospreycroft/choice"
)

// traceSize is how many records are kept: some seconds of a busy limiter, in tens of KiB.
const traceSize = 512

// AllTrace makes LogTrace log all records that are kept.
const AllTrace = traceSize

// traceKind is the kind of step that a trace record describes.
type traceKind uint8

const (
	traceAccepted   traceKind = iota // a request was accepted
	traceEnded                       // a request got its final answer, or its client disconnected
	traceRejected                    // the controller rejected a request; detail is the reason
	traceAttempt                     // the controller started an attempt
	traceAttemptEnd                  // an attempt ended; detail is the outcome
	traceConnClosed                  // a connection ended; detail is the reason
)

// String returns the word that log lines use.
func (k traceKind) String() string {
	return [...]string{"accepted", "ended", "rejected", "attempt", "attempt-ended", "closed"}[k]
}

// traceRecord describes one step of a request, an attempt or a connection. Fields that do not apply to its kind are
// zero.
type traceRecord struct {
	at      int64 // nanoseconds of the limiter's clock
	kind    traceKind
	conn    ConnID
	request string // its ID
	attempt int    // its number, from 0
	peer    string // the server of an attempt, or the kind of peer of a connection
	detail  string // the reason, the final state or the outcome
}

// trace is a ring buffer of the latest records. Single requests are not logged, but after a fault, or when the operator
// asks for it with SIGUSR1, the records show the latest steps of requests, attempts and connections.
type trace struct {
	records [traceSize]traceRecord
	count   int // records added so far
}

// add stores a record in place of the oldest.
func (t *trace) add(record traceRecord) {
	t.records[t.count%traceSize] = record
	t.count++
}

// latest returns up to limit records, the oldest first.
func (t *trace) latest(limit int) []traceRecord {
	limit = min(limit, t.count, traceSize)
	list := make([]traceRecord, 0, limit)
	for i := t.count - limit; i < t.count; i++ {
		list = append(list, t.records[i%traceSize])
	}
	return list
}

// LogTrace logs up to limit of the latest records, the oldest first, one line each.
func (l *Limiter) LogTrace(limit int) {
	for _, record := range l.trace.latest(limit) {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "trace", record.attrs(l.now)...)
	}
}

// attrs returns the record's log attributes; its age is as of now.
func (r *traceRecord) attrs(now int64) []slog.Attr {
	attrs := []slog.Attr{
		slog.Float64("age_ms", float64((now-r.at)/1e3)/1e3),
		slog.String("step", r.kind.String()),
	}
	if r.request != "" {
		attrs = append(attrs, slog.String("request", r.request))
	}
	if r.kind == traceAttempt || r.kind == traceAttemptEnd {
		attrs = append(attrs, slog.Int("attempt", r.attempt))
	}
	if r.conn != 0 {
		attrs = append(attrs, slog.Uint64("conn", uint64(r.conn)))
	}
	if r.peer != "" {
		attrs = append(attrs, slog.String("peer", r.peer))
	}
	if r.detail != "" {
		attrs = append(attrs, slog.String("detail", r.detail))
	}
	return attrs
}

// traceClose records the end of a connection, and counts it by kind of peer and reason.
func (l *Limiter) traceClose(c *conn, reason CloseReason) {
	l.stats.closes[c.handler.peer()][reason]++
	l.trace.add(traceRecord{
		at: l.now, kind: traceConnClosed, conn: c.id, peer: c.handler.peer().String(), detail: reason.String(),
	})
}

// traceEnd records the end of a request.
func (l *Limiter) traceEnd(req *request) {
	l.trace.add(traceRecord{at: l.now, kind: traceEnded, request: req.id, detail: req.state.String()})
}

// traceAttemptEnd records the end of an attempt.
func (l *Limiter) traceAttemptEnd(att *attempt, outcome choice.Outcome) {
	l.trace.add(traceRecord{
		at: l.now, kind: traceAttemptEnd, request: att.request.id, attempt: att.number, detail: outcome.String(),
	})
}

// peerKind is the kind of peer that a connection has.
type peerKind uint8

const (
	peerClient peerKind = iota
	peerServer
	peerCounter
	peerDiscovery
	peerKindCount // the number of kinds
)

// String returns the word that log lines use.
func (k peerKind) String() string {
	return [...]string{"client", "server", "counter", "discovery"}[k]
}

func (cl *client) peer() peerKind         { return peerClient }
func (sc *serverConn) peer() peerKind     { return peerServer }
func (cconn *counterConn) peer() peerKind { return peerCounter }
func (d *discoveryClient) peer() peerKind { return peerDiscovery }
