package transport

import (
	"context"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
)

// FollowerOptions configure a follower.
type FollowerOptions struct {
	// Servers are the addresses (host:port) of the two servers. Both are the same if there is only one.
	Servers [2]string
	// DialTimeout limits how long a connection to a server may take to be established. It must be above 0.
	DialTimeout time.Duration
	// Hold is how long a server may hold a call for changes. 0 means distribution.LimiterHold for a limiter and
	// distribution.RelayHold for a relay.
	Hold time.Duration
	// Position is the subscriber's number among all subscribers. It spreads their polls over time.
	Position int
	// Clock returns the time in nanoseconds. It must be monotonic.
	Clock func() int64
	// OnError is called with the error of each failed poll, on the follower's goroutine. It may be nil.
	OnError func(error)
	// OnVersion is called with a snapshot of each new version, on the follower's goroutine. It may be nil.
	OnVersion func(*distribution.Snapshot)
}

// Follower keeps a subscriber up to date by polling its servers on its own goroutines. The subscriber's applier runs on
// one of them.
type Follower struct {
	options  FollowerOptions
	poller   *distribution.Poller
	clients  [2]*Client
	withLock func(func(now int64))                // runs a function that uses the subscriber, under its lock
	pending  chan pendingAcknowledgement          // holds the newest unsent acknowledgement
	last     distribution.Acknowledgement         // the last one queued
	lastAt   int64                                // when it was queued
	summary  func(now int64) distribution.Summary // of a relay; nil for a limiter
}

// pendingAcknowledgement is an acknowledgement and the index of the server to send it to.
type pendingAcknowledgement struct {
	distribution.Acknowledgement
	server int
}

// NewFollower returns a follower of a limiter's subscriber. Other code may use the subscriber only through Do.
func NewFollower(subscriber *distribution.Subscriber, options FollowerOptions) *Follower {
	f := newFollower(subscriber, options, distribution.LimiterHold)
	var mutex sync.Mutex
	f.withLock = func(run func(now int64)) {
		mutex.Lock()
		defer mutex.Unlock()
		run(f.options.Clock())
	}
	return f
}

// NewRelayFollower returns a follower of a relay. It shares the lock of server, which serves the relay at the same
// time.
func NewRelayFollower(relay *distribution.Relay, server *Server, options FollowerOptions) *Follower {
	f := newFollower(relay.Subscriber, options, distribution.RelayHold)
	f.withLock = server.withLock
	f.summary = relay.Summary
	return f
}

func newFollower(subscriber *distribution.Subscriber, options FollowerOptions, defaultHold int64) *Follower {
	if options.Hold == 0 {
		options.Hold = time.Duration(defaultHold)
	}
	f := &Follower{options: options, pending: make(chan pendingAcknowledgement, 1)}
	f.poller = distribution.NewPoller(options.Clock(), subscriber, distribution.PollerOptions{
		DialTimeout: int64(options.DialTimeout), Hold: int64(options.Hold), Position: options.Position})
	for i, address := range options.Servers {
		f.clients[i] = NewClient(address, options.DialTimeout)
	}
	return f
}

// WithSubscriber calls run with the subscriber under the lock that the follower takes itself.
func (f *Follower) WithSubscriber(run func(now int64, subscriber *distribution.Subscriber)) {
	f.withLock(func(now int64) { run(now, f.poller.Subscriber) })
}

// Run polls the servers until the context is done. It returns when all goroutines of the follower have ended.
func (f *Follower) Run(ctx context.Context) {
	var reporting sync.WaitGroup
	if f.summary == nil {
		reporting.Go(func() { f.sendAcknowledgements(ctx) })
	} else {
		reporting.Go(func() { f.sendSummaries(ctx) })
	}
	for wait := f.poller.FirstDelay(); sleep(ctx, wait); {
		wait = f.pollOnce(ctx)
	}
	reporting.Wait()
	for _, client := range f.clients {
		client.Close()
	}
}

// sleep waits for the given time. It returns false if the context is done first.
func sleep(ctx context.Context, nanoseconds int64) bool {
	if nanoseconds <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(nanoseconds))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pollOnce makes one call and returns how long to wait before the next one, in nanoseconds.
func (f *Follower) pollOnce(ctx context.Context) (wait int64) {
	var call distribution.Call
	f.withLock(func(now int64) { call = f.poller.Call(now) })
	client, timeout := f.clients[call.Server], time.Duration(call.Timeout)
	var delta *distribution.Delta
	var piece *distribution.Piece
	var err error
	if call.Piece != nil {
		piece, err = client.Piece(ctx, *call.Piece, timeout)
	} else {
		delta, err = client.Changes(ctx, *call.Changes, time.Duration(call.Hold), timeout)
	}
	if ctx.Err() != nil {
		return 0
	}
	var snapshot *distribution.Snapshot
	f.withLock(func(now int64) {
		before := f.poller.Version()
		switch {
		case err != nil:
			wait = f.poller.HandleError(now, err)
		case piece != nil:
			wait, err = f.poller.HandlePiece(now, piece)
		default:
			wait, err = f.poller.HandleChanges(now, delta)
		}
		if f.poller.Version() != before && f.options.OnVersion != nil {
			snapshot = f.poller.Snapshot(now)
		}
		f.queueAcknowledgement(now)
	})
	if err != nil && f.options.OnError != nil {
		f.options.OnError(err)
	}
	if snapshot != nil {
		f.options.OnVersion(snapshot)
	}
	return wait
}

// queueAcknowledgement queues the subscriber's acknowledgement if it differs from the last one or
// AcknowledgementInterval has passed since. It does not block. A relay queues none: it sends summaries.
func (f *Follower) queueAcknowledgement(now int64) {
	if f.summary != nil {
		return
	}
	acknowledgement := f.poller.Acknowledgement(now)
	if equalExceptAge(acknowledgement, f.last) && now-f.lastAt < distribution.AcknowledgementInterval {
		return
	}
	f.last = acknowledgement
	f.lastAt = now
	select {
	case <-f.pending: // replace an acknowledgement that has not been sent yet
	default:
	}
	f.pending <- pendingAcknowledgement{acknowledgement, f.poller.Server(now)}
}

// equalExceptAge reports whether two acknowledgements have the same version, condition and refused version.
func equalExceptAge(a, b distribution.Acknowledgement) bool {
	if a.Version != b.Version || a.Condition != b.Condition || (a.Refused == nil) != (b.Refused == nil) {
		return false
	}
	return a.Refused == nil || *a.Refused == *b.Refused
}

func (f *Follower) sendAcknowledgements(ctx context.Context) {
	for {
		select {
		case next := <-f.pending:
			// The error is ignored: a lost acknowledgement is repeated after AcknowledgementInterval, and a failing
			// server also fails the calls for changes, whose errors are reported.
			_ = f.clients[next.server].Acknowledge(ctx, next.Acknowledgement, reportTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// reportTimeout limits the call that sends an acknowledgement or a summary.
const reportTimeout = 2 * time.Second

func (f *Follower) sendSummaries(ctx context.Context) {
	for sleep(ctx, distribution.SummaryInterval) {
		var summary distribution.Summary
		var server int
		f.withLock(func(now int64) { summary, server = f.summary(now), f.poller.Server(now) })
		_ = f.clients[server].Summarize(ctx, summary, reportTimeout)
	}
}
