package transport

import (
	"context"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
)

// FollowerOptions are what a follower is made of.
type FollowerOptions struct {
	// Servers are the addresses of the two servers, host and port each; both the same where there is one.
	Servers [2]string
	// DialTimeout is that of a connection to a server, above 0.
	DialTimeout time.Duration
	// Hold is how long a call for changes may be held; 0 for distribution.LimiterHold.
	Hold time.Duration
	// Position is the subscriber's number among all, so that they ask apart.
	Position int
	// Clock gives the time in nanoseconds and never goes back.
	Clock func() int64
	// Report is told of each error, on the follower's goroutine; nil for nothing.
	Report func(error)
	// Changed is told of each new version with its snapshot, on the follower's goroutine; nil for nothing.
	Changed func(*distribution.Snapshot)
}

// Follower keeps a subscriber up to date on goroutines of its own. The applier runs on one of them.
type Follower struct {
	options  FollowerOptions
	poller   *distribution.Poller
	clients  [2]*Client
	withLock func(func(now int64))       // runs something under the lock over the subscriber
	pending  chan pendingAcknowledgement // the newest acknowledgement, for the goroutine that sends it
	last     distribution.Acknowledgement
	lastAt   int64
	summary  func(now int64) distribution.Summary // of a relay; nil for a limiter
}

// pendingAcknowledgement is an acknowledgement on its way to a server.
type pendingAcknowledgement struct {
	distribution.Acknowledgement
	server int
}

// NewFollower makes the follower of a limiter's subscriber. Nothing else may use the subscriber but through Do.
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

// NewRelayFollower makes the follower of a relay, which its server serves meanwhile.
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

// Do runs something that uses the subscriber while the follower runs.
func (f *Follower) Do(run func(now int64, subscriber *distribution.Subscriber)) {
	f.withLock(func(now int64) { run(now, f.poller.Subscriber) })
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var reporting sync.WaitGroup
	if f.summary == nil {
		reporting.Go(func() { f.sendAcknowledgements(ctx) })
	} else {
		reporting.Go(func() { f.sendSummaries(ctx) })
	}
	for wait := f.poller.First(); sleep(ctx, wait); {
		wait = f.pollOnce(ctx)
	}
	reporting.Wait()
	for _, client := range f.clients {
		client.Close()
	}
}

// sleep waits, and tells whether the context still holds.
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

// pollOnce makes one call, and tells how long to wait before the next one.
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
			wait = f.poller.TakeError(now, err)
		case piece != nil:
			wait, err = f.poller.TakePiece(now, piece)
		default:
			wait, err = f.poller.TakeChanges(now, delta)
		}
		if f.poller.Version() != before && f.options.Changed != nil {
			snapshot = f.poller.Snapshot(now)
		}
		f.queueAcknowledgement(now)
	})
	if err != nil && f.options.Report != nil {
		f.options.Report(err)
	}
	if snapshot != nil {
		f.options.Changed(snapshot)
	}
	return wait
}

// queueAcknowledgement hands an acknowledgement over where it is new, or the last was long ago. It does not wait.
func (f *Follower) queueAcknowledgement(now int64) {
	if f.summary != nil {
		return
	}
	acknowledgement := f.poller.Acknowledgement(now)
	if equalExceptAge(acknowledgement, f.last) && now-f.lastAt < distribution.AcknowledgementEvery {
		return
	}
	f.last = acknowledgement
	f.lastAt = now
	select {
	case <-f.pending: // the newest takes the place of one that waits
	default:
	}
	f.pending <- pendingAcknowledgement{acknowledgement, f.poller.Server(now)}
}

// equalExceptAge tells whether two acknowledgements differ in their ages at most.
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
			// What is lost is said again; errors show in the calls for changes.
			_ = f.clients[next.server].Acknowledge(ctx, next.Acknowledgement, reportTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// reportTimeout is after how long an acknowledgement or a summary is given up.
const reportTimeout = 2 * time.Second

func (f *Follower) sendSummaries(ctx context.Context) {
	for sleep(ctx, distribution.SummaryEvery) {
		var summary distribution.Summary
		var server int
		f.withLock(func(now int64) { summary, server = f.summary(now), f.poller.Server(now) })
		_ = f.clients[server].Summarize(ctx, summary, reportTimeout)
	}
}
