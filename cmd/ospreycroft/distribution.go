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
	statusCheckInterval  = time.Second      // between two looks at how the distribution stands
	callErrorLogInterval = 10 * time.Second // a failed call is logged no more often for each type of error
	positionCount        = 4096             // of limiters without a stated one
	// a state that does not change is saved so often within the age up to which it is believed
	stateSavesPerMaxAge = 8
)

// configUpdates gives the reducer the configurations that come while it runs: that of the file, with the addresses that the
// distribution has put in force in place of the file's.
type configUpdates struct {
	mutex          sync.Mutex
	file           *settings.Config       // that of the start, with the addresses that were read last
	addresses      distribution.Addresses // the distribution's; empty where the file's hold
	reducerStarted bool                   // the reducer runs, or will soon
	updates        chan *settings.Config  // unbuffered: the reducer takes one between two requests
	done           chan struct{}          // closed once the reducer takes no more
}

func newConfigUpdates(file *settings.Config) *configUpdates {
	return &configUpdates{file: file, updates: make(chan *settings.Config), done: make(chan struct{})}
}

// start gives the configuration to start with; what comes from now on is sent to the reducer.
func (u *configUpdates) start() *settings.Config {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.reducerStarted = true
	return u.withAddresses(u.file, u.addresses)
}

// withAddresses puts addresses in the place of a file's. A counter is not added.
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

// reloadFile takes the file as it was read again. The distribution's addresses stay in force over it. Of what else differs
// the reducer says that it holds from the next start on, so only the addresses are noted.
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

// setAddresses puts the distribution's addresses in force, both or neither. Errors: *distribution.FixedKeyError for the
// counter of a limiter that has none.
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

// follower keeps a limiter's distributed configuration up to date, on goroutines beside the reducer's.
type follower struct {
	*transport.Follower
	subscriber *distribution.Subscriber
	configs    *configUpdates
	stateFile  *statefile.Place                          // nil where no state is kept
	writer     *atomicfile.Writer[distribution.Snapshot] // nil where no state is kept
	restored   bool                                      // it began with a state from the disk,
	startedAt  int64                                     // then
	lastLogged map[string]int64                          // when a type of error was last logged
	clock      func() int64
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// newFollower makes the follower of a limiter and puts the state on the disk in force; nil where the operator names no
// relays.
func newFollower(
	config *settings.Config,
	options *operator.Options,
	configs *configUpdates,
	clock func() int64,
) *follower {
	if options.Distribution.Relays == [2]string{} {
		return nil
	}
	scope, _ := distribution.ParseScope(options.Distribution.Scope) // package operator has checked it
	applier := &distribution.LimiterApplier{Move: configs.setAddresses}
	f := &follower{configs: configs, clock: clock, startedAt: clock(), lastLogged: map[string]int64{}}
	f.subscriber = distribution.NewSubscriber(
		clock(),
		distribution.SubscriberOptions{Name: config.Name, Scope: scope, Applier: applier},
	)
	f.Follower = transport.NewFollower(f.subscriber, transport.FollowerOptions{Servers: options.Distribution.Relays,
		DialTimeout: time.Duration(config.Settings.DialTimeout), Position: position(config), Clock: clock,
		Report: f.reportError, Changed: f.versionChanged})
	if options.Distribution.StatePath != "" {
		f.stateFile = &statefile.Place{
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

// position is the limiter's place among all, by its name where the configuration states none.
func position(config *settings.Config) int {
	if config.Settings.Position >= 0 {
		return config.Settings.Position
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(config.Name))
	return int(hash.Sum32() % positionCount)
}

// restore puts the state on the disk in force. Whatever is wrong with it is logged, and the start goes on without it.
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

// start begins to follow, and gives what ends it once the reducer takes no more.
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

// versionChanged is told of each version that has come in force.
func (f *follower) versionChanged(snapshot *distribution.Snapshot) {
	logVersion(snapshot.Version)
	if f.writer != nil {
		f.writer.Save(snapshot)
	}
}

// reportError logs an error: each refusal, and of failed calls the first of a type for a time.
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

// monitor logs when the version in force is unconfirmed and when it is confirmed again, and saves a state that does not
// change.
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

// status is how the subscriber stands, and whether its version is unconfirmed. One from the disk is, until the source
// was heard in this life: until then its age is not below this life's.
func (f *follower) status() (status distribution.Status, unconfirmed bool) {
	f.Do(func(now int64, s *distribution.Subscriber) {
		status = s.Status(now)
		unconfirmed = status.Condition == distribution.Unconfirmed || f.restored && status.Age >= now-f.startedAt
	})
	return status, unconfirmed
}

// save hands the state over under the subscriber's lock, so that no older one can take a newer one's place.
func (f *follower) save() {
	f.Do(func(now int64, s *distribution.Subscriber) {
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
