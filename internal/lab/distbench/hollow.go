package distbench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/statefile"
	"ospreycroft/internal/distribution/transport"
)

// HostVariable is the environment variable that makes a program a host of hollow limiters. A program that finds it set
// calls HostMain.
const HostVariable = "TESTLAB_DISTRIBUTION_HOST"

const dialTimeout = 250 * time.Millisecond // of hollow limiters; the same as in the lab's limiter configurations

// hollowSpec describes one hollow limiter: a real follower over real connections, with an applier that records which
// versions it applies.
type hollowSpec struct {
	Number  int       `json:"number"` // unique in the fleet
	Scope   string    `json:"scope"`
	Servers [2]string `json:"servers"` // addresses of its relays
}

func (s hollowSpec) name() string { return fmt.Sprintf("hollow-%d", s.Number) }

// hostSpec is the first line that a host reads.
type hostSpec struct {
	Limiters []hollowSpec `json:"limiters"`
	StateDir string       `json:"state_dir"` // where limiters save their state when they restart
}

// restartCommand is each further line that a host reads: it stops these limiters and starts them again with the state
// that they saved to disk.
type restartCommand struct {
	Limiters []int `json:"limiters"`
}

// appliedVersion is a line that a host writes: a limiter applied a version.
type appliedVersion struct {
	Limiter int                  `json:"limiter"`
	Version distribution.Version `json:"version"`
	At      int64                `json:"at"` // Unix time in nanoseconds
}

// HostMain runs the hollow limiters that in describes and writes each version that they apply to out. It returns nil
// when in ends, and an error if a limiter cannot be started.
func HostMain(in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(bufio.NewReader(in))
	var spec hostSpec
	if err := decoder.Decode(&spec); err != nil {
		return err
	}
	h := &host{stateDir: spec.StateDir, encoder: json.NewEncoder(out), limiters: map[int]*hollowFollower{}}
	for _, limiter := range spec.Limiters {
		if err := h.start(limiter); err != nil {
			return err
		}
	}
	for {
		var command restartCommand
		if err := decoder.Decode(&command); err != nil {
			return nil // the harness has closed the pipe
		}
		for _, number := range command.Limiters {
			if err := h.restart(number); err != nil {
				return err
			}
		}
	}
}

// host runs the hollow limiters of one process.
type host struct {
	stateDir string
	limiters map[int]*hollowFollower
	mutex    sync.Mutex // guards encoder
	encoder  *json.Encoder
}

// hollowFollower is a running hollow limiter.
type hollowFollower struct {
	hollowSpec
	follower  *transport.Follower
	stateFile statefile.Store
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// recorder is the applier of one hollow limiter. It writes the versions that it is given to the harness.
type recorder struct {
	host   *host
	number int
}

// Apply reports the update's version as applied.
func (r *recorder) Apply(update *distribution.Update) error {
	r.host.mutex.Lock()
	defer r.host.mutex.Unlock()
	return r.host.encoder.Encode(appliedVersion{Limiter: r.number, Version: update.To, At: time.Now().UnixNano()})
}

// start starts a hollow limiter, with its saved state if there is one.
func (h *host) start(spec hollowSpec) error {
	scope, err := distribution.ParseScope(spec.Scope)
	if err != nil {
		return err
	}
	started := time.Now()
	clock := func() int64 { return started.UnixNano() + int64(time.Since(started)) }
	subscriber := distribution.NewSubscriber(clock(), distribution.SubscriberOptions{Name: spec.name(), Scope: scope,
		Applier: &recorder{h, spec.Number}})
	limiter := &hollowFollower{
		hollowSpec: spec,
		stateFile: statefile.Store{Dir: h.stateDir, Installation: "distlab", Subscriber: spec.name(), Scope: scope,
			MaxAge: int64(time.Hour), Files: atomicfile.Disk{}},
	}
	saved, err := limiter.stateFile.Load(clock())
	if err != nil {
		return err
	}
	if saved != nil {
		state, err := distribution.NewStateOf(saved.Entries)
		if err != nil {
			return err
		}
		if err := subscriber.Restore(saved.Version, state, max(clock()-saved.TakenAt, 0)); err != nil {
			return err
		}
	}
	limiter.follower = transport.NewFollower(
		subscriber,
		transport.FollowerOptions{Servers: spec.Servers, DialTimeout: dialTimeout,
			Position: spec.Number, Clock: clock},
	)
	ctx, cancel := context.WithCancel(context.Background())
	limiter.cancel = cancel
	limiter.running.Go(func() { limiter.follower.Run(ctx) })
	h.limiters[spec.Number] = limiter
	return nil
}

// restart stops a limiter, saves its state to disk and starts it again.
func (h *host) restart(number int) error {
	limiter := h.limiters[number]
	if limiter == nil {
		return fmt.Errorf("limiter %d does not run in this host", number)
	}
	var snapshot *distribution.Snapshot
	limiter.follower.WithSubscriber(func(now int64, s *distribution.Subscriber) { snapshot = s.Snapshot(now) })
	limiter.cancel()
	limiter.running.Wait()
	if snapshot != nil {
		if err := limiter.stateFile.Save(snapshot); err != nil {
			return err
		}
	}
	return h.start(limiter.hollowSpec)
}
