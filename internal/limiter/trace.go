package limiter

import (
	"context"
	"log/slog"

	"ospreycroft/choice"
)

// traceSize is how many records are kept: some seconds of a busy limiter, in some tens of KiB.
const traceSize = 512

// AllTrace asks LogTrace for all records that are kept.
const AllTrace = traceSize

// traceKind is what a trace record tells of.
type traceKind uint8

const (
	traceAccepted   traceKind = iota // a request was accepted
	traceEnded                       // a request has its final answer, or its client has gone
	traceRejected                    // the controller rejected a request, with its reason
	traceAttempt                     // the controller began an attempt
	traceAttemptEnd                  // an attempt ended, with its outcome
	traceConnClosed                  // a connection ended, with its reason
)

// String gives the word for log lines.
func (k traceKind) String() string {
	return [...]string{"accepted", "ended", "rejected", "attempt", "attempt-ended", "closed"}[k]
}

// traceRecord is one step of a request, an attempt or a connection. Only the fields of its kind are set.
type traceRecord struct {
	at      int64 // nanoseconds of the limiter's clock
	kind    traceKind
	conn    ConnID
	request string // its id
	attempt int    // its number, from 0
	peer    string // the server of an attempt, or what the other side of a connection is
	detail  string // the reason, the state or the outcome
}

// trace holds the latest records. Nothing is logged for a single request; but after a fault, or when an operator asks
// (SIGUSR1), the records tell what each request, attempt and connection went through just before.
type trace struct {
	records [traceSize]traceRecord
	count   int // records that were ever added
}

// add takes a record in the place of the oldest.
func (t *trace) add(record traceRecord) {
	t.records[t.count%traceSize] = record
	t.count++
}

// latest lists up to so many records, the oldest of them first.
func (t *trace) latest(limit int) []traceRecord {
	limit = min(limit, t.count, traceSize)
	list := make([]traceRecord, 0, limit)
	for i := t.count - limit; i < t.count; i++ {
		list = append(list, t.records[i%traceSize])
	}
	return list
}

// LogTrace logs up to so many of the latest records, the oldest first, a line each.
func (l *Limiter) LogTrace(limit int) {
	for _, record := range l.trace.latest(limit) {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "trace", record.attrs(l.now)...)
	}
}

// attrs are the record's attributes in the log, as of a time.
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

// traceClose notes the end of a connection, and counts it by its other side and reason.
func (l *Limiter) traceClose(c *conn, reason CloseReason) {
	l.stats.closes[c.handler.peer()][reason]++
	l.trace.add(traceRecord{
		at: l.now, kind: traceConnClosed, conn: c.id, peer: c.handler.peer().String(), detail: reason.String(),
	})
}

// traceEnd notes the end of a request.
func (l *Limiter) traceEnd(req *request) {
	l.trace.add(traceRecord{at: l.now, kind: traceEnded, request: req.id, detail: req.state.String()})
}

// traceAttemptEnd notes the end of an attempt.
func (l *Limiter) traceAttemptEnd(att *attempt, outcome choice.Outcome) {
	l.trace.add(traceRecord{
		at: l.now, kind: traceAttemptEnd, request: att.request.id, attempt: att.number, detail: outcome.String(),
	})
}

// peerKind is what the other side of a connection is.
type peerKind uint8

const (
	peerClient peerKind = iota
	peerServer
	peerCounter
	peerDiscovery
	peerKindCount // the number of kinds
)

// String gives the word for log lines.
func (k peerKind) String() string {
	return [...]string{"client", "server", "counter", "discovery"}[k]
}

func (cl *client) peer() peerKind         { return peerClient }
func (sc *serverConn) peer() peerKind     { return peerServer }
func (cconn *counterConn) peer() peerKind { return peerCounter }
func (d *discoveryClient) peer() peerKind { return peerDiscovery }
