package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/statefile"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/machineclock"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
)

const (
	statusCheckInterval  = time.Second      // between two checks of the subscriber's status
	callErrorLogInterval = 10 * time.Second // minimum time between log lines for one type of call error
	positionCount        = 4096             // positions to which names are hashed if none is configured
	// stateSavesPerMaxAge is how often an unchanged state is saved within the maximum age of a usable state.
	stateSavesPerMaxAge = 8
)

// configUpdates passes configurations to the reducer: the file's, with the addresses replaced by those that the
// distribution has put in force.
type configUpdates struct {
	mutex          sync.Mutex
	file           *settings.Config       // as read at the start, with the addresses as read last
	addresses      distribution.Addresses // from the distribution; empty where the file's apply
	reducerStarted bool                   // start was called: updates are sent from then on
	updates        chan *settings.Config  // unbuffered: the reducer receives one between two requests
	done           chan struct{}          // closed once the reducer receives no more updates
}

func newConfigUpdates(file *settings.Config) *configUpdates {
	return &configUpdates{file: file, updates: make(chan *settings.Config), done: make(chan struct{})}
}

// start returns the configuration to start with. Later changes are sent to the reducer.
func (u *configUpdates) start() *settings.Config {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.reducerStarted = true
	return u.withAddresses(u.file, u.addresses)
}

// withAddresses returns a copy of file with its addresses replaced by those that are not empty. The counter's is
// ignored if the limiter has no counter.
func (u *configUpdates) withAddresses(file *settings.Config, addresses distribution.Addresses) *settings.Config {
	config := *file
	if addresses.Discovery != "" {
		config.Discovery = addresses.Discovery
	}
	if addresses.Counter != "" && u.hasCounter() {
		config.Counter = addresses.Counter
	}
	return &config
}

func (u *configUpdates) hasCounter() bool { return u.file.Settings.CounterTimeout > 0 }

// reloadFile applies a configuration file that was read again. The distribution's addresses override the file's. Only
// the addresses are stored: other settings take effect at the next start, which the reducer logs.
func (u *configUpdates) reloadFile(file *settings.Config) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	config := u.withAddresses(file, u.addresses)
	if config.Discovery != file.Discovery || config.Counter != file.Counter {
		slog.Info("config-addresses-kept", "discovery", config.Discovery, "counter", config.Counter)
	}
	updated := *u.file
	updated.Discovery = file.Discovery
	if file.Counter != "" {
		updated.Counter = file.Counter
	}
	u.file = &updated
	u.send(config)
}

// setAddresses puts the distribution's addresses in force, all or none. It returns a *distribution.FixedKeyError for a
// counter address if the limiter has no counter.
func (u *configUpdates) setAddresses(addresses distribution.Addresses) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if addresses.Counter != "" && !u.hasCounter() {
		return &distribution.FixedKeyError{
			Key: distribution.Key{Kind: distribution.KindEndpoints, Name: distribution.EndpointCounter},
		}
	}
	u.addresses = addresses
	if u.reducerStarted {
		u.send(u.withAddresses(u.file, addresses))
	}
	return nil
}

func (u *configUpdates) send(config *settings.Config) {
	select {
	case u.updates <- config:
	case <-u.done:
	}
}

// follower keeps a limiter's distributed configuration up to date, on its own goroutines beside the reducer's.
type follower struct {
	*transport.Follower
	subscriber *distribution.Subscriber
	configs    *configUpdates
	stateFile  *statefile.Store                          // nil if no state is kept on disk
	writer     *atomicfile.Writer[distribution.Snapshot] // nil if no state is kept on disk
	restored   bool                                      // a state from the disk was put in force at the start
	startedAt  int64                                     // when the follower was created
	lastLogged map[string]int64                          // when each type of call error was last logged
	clock      func() int64                              // nanoseconds, also the unit of startedAt and lastLogged
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// newFollower creates the follower of a limiter and puts the state on the disk in force. It returns nil if the operator
// names no relays.
func newFollower(
	config *settings.Config,
	options *operator.Options,
	configs *configUpdates,
	clock func() int64,
) *follower {
	if options.Distribution.Relays == [2]string{} {
		return nil
	}
	scope, _ := distribution.ParseScope(options.Distribution.Scope) // validated by package operator
	applier := &distribution.LimiterApplier{ChangeAddresses: configs.setAddresses}
	f := &follower{configs: configs, clock: clock, startedAt: clock(), lastLogged: map[string]int64{}}
	f.subscriber = distribution.NewSubscriber(
		clock(),
		distribution.SubscriberOptions{Name: config.Name, Scope: scope, Applier: applier},
	)
	f.Follower = transport.NewFollower(f.subscriber, transport.FollowerOptions{Servers: options.Distribution.Relays,
		DialTimeout: time.Duration(config.Settings.DialTimeout), Position: position(config), Clock: clock,
		OnError: f.reportError, OnVersion: f.versionChanged})
	if options.Distribution.StatePath != "" {
		f.stateFile = &statefile.Store{
			Dir:          options.Distribution.StatePath,
			Installation: options.Installation,
			Subscriber:   config.Name,
			Scope:        scope,
			MaxAge:       options.Distribution.StateMaxAge,
			Files:        atomicfile.Disk{},
			Clock:        machineclock.OriginOf(clock()),
		}
		f.restore()
	}
	return f
}

// position returns the limiter's position among all limiters, derived from its name if the configuration states none.
func position(config *settings.Config) int {
	if config.Settings.Position >= 0 {
		return config.Settings.Position
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(config.Name))
	return int(hash.Sum32() % positionCount)
}

// restore puts the state on the disk in force. An error is logged, and the limiter starts without the state.
func (f *follower) restore() {
	now := f.clock()
	snapshot, err := f.stateFile.Load(now)
	if err != nil {
		slog.Warn("config-state-refused", hint.Attrs(err)...)
		return
	}
	if snapshot == nil {
		return
	}
	state, err := distribution.NewStateOf(snapshot.Entries)
	if err == nil {
		err = f.subscriber.Restore(snapshot.Version, state, max(now-snapshot.TakenAt, 0))
	}
	if err != nil {
		slog.Warn("config-refused", hint.Attrs(err)...)
		return
	}
	f.restored = true
	logVersion(snapshot.Version)
	logUnconfirmed(f.subscriber.Status(now))
}

// start begins to follow the relays. The function it returns stops the follower, and is called once the reducer
// receives no more updates.
func (f *follower) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	if f.stateFile != nil {
		f.writer = statefile.NewWriter(f.stateFile, logStateWrite)
	}
	f.running.Go(func() { f.Run(ctx) })
	f.running.Go(func() { f.monitor(ctx) })
	return f.stop
}

func (f *follower) stop() {
	close(f.configs.done)
	f.cancel()
	f.running.Wait()
	if f.writer != nil {
		f.writer.Close()
	}
}

// versionChanged logs and saves a version that was put in force.
func (f *follower) versionChanged(snapshot *distribution.Snapshot) {
	logVersion(snapshot.Version)
	if f.writer != nil {
		f.writer.Save(snapshot)
	}
}

// reportError logs an error: each refusal, and a failed call unless one with the same type of error was logged within
// callErrorLogInterval.
func (f *follower) reportError(err error) {
	var refused *distribution.RefusedError
	if errors.As(err, &refused) {
		slog.Warn("config-refused", hint.Attrs(refused)...)
		return
	}
	kind, now := fmt.Sprintf("%T", err), f.clock()
	if last, logged := f.lastLogged[kind]; logged && now-last < int64(callErrorLogInterval) {
		return
	}
	f.lastLogged[kind] = now
	slog.Warn("config-call-failed", hint.Attrs(err)...)
}

// monitor logs when the version in force becomes unconfirmed and when it is confirmed again, and periodically saves a
// state that does not change.
func (f *follower) monitor(ctx context.Context) {
	ticker := time.NewTicker(statusCheckInterval)
	defer ticker.Stop()
	unconfirmed, lastSaved := f.restored, f.clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, nowUnconfirmed := f.status()
		if nowUnconfirmed != unconfirmed {
			unconfirmed = nowUnconfirmed
			if nowUnconfirmed {
				logUnconfirmed(status)
			} else {
				slog.Info("config-confirmed", "epoch", status.Version.Epoch, "version", status.Version.Number)
			}
		}
		if f.stateFile != nil && f.clock()-lastSaved >= f.stateFile.MaxAge/stateSavesPerMaxAge {
			lastSaved = f.clock()
			f.save()
		}
	}
}

// status returns the subscriber's status and whether its version is unconfirmed. A version from the disk is unconfirmed
// until this process has heard from the source: until then its age is at least the time since the start.
func (f *follower) status() (status distribution.Status, unconfirmed bool) {
	f.WithSubscriber(func(now int64, s *distribution.Subscriber) {
		status = s.Status(now)
		unconfirmed = status.Condition == distribution.Unconfirmed || f.restored && status.Age >= now-f.startedAt
	})
	return status, unconfirmed
}

// save passes the state to the writer. It does so under the subscriber's lock, so that an older state cannot replace a
// newer one.
func (f *follower) save() {
	f.WithSubscriber(func(now int64, s *distribution.Subscriber) {
		if snapshot := s.Snapshot(now); snapshot != nil {
			f.writer.Save(snapshot)
		}
	})
}

func logVersion(v distribution.Version) {
	slog.Info("config-version", "epoch", v.Epoch, "version", v.Number)
}

func logUnconfirmed(status distribution.Status) {
	slog.Warn("config-unconfirmed", "epoch", status.Version.Epoch, "version", status.Version.Number,
		"age_s", fmt.Sprintf("%.3f", float64(status.Age)/1e9))
}

func logStateWrite(err error) {
	if err == nil {
		slog.Info("config-state-written")
		return
	}
	slog.Warn("config-state-unwritten", hint.Attrs(err)...)
}
