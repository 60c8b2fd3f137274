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

// HostVariable is set in the environment of a process that is to be a host of hollow limiters (HostMain).
const HostVariable = "TESTLAB_DISTRIBUTION_HOST"

const dialTimeout = 250 * time.Millisecond // of limiters, as in the lab's configurations

// hollowSpec is one hollow limiter: a real follower over real connections, with an applier that records what comes in
// force.
type hollowSpec struct {
	Number  int       `json:"number"` // among all
	Scope   string    `json:"scope"`
	Servers [2]string `json:"servers"`
}

func (s hollowSpec) name() string { return fmt.Sprintf("hollow-%d", s.Number) }

// hostSpec is the first line that a host reads.
type hostSpec struct {
	Limiters []hollowSpec `json:"limiters"`
	StateDir string       `json:"state_dir"` // for limiters that restart
}

// restartCommand is a further line: these limiters end, and begin again with the state that they left on the disk.
type restartCommand struct {
	Limiters []int `json:"limiters"`
}

// appliedVersion is a line that a host writes: a version came in force at a limiter.
type appliedVersion struct {
	Limiter int                  `json:"limiter"`
	Version distribution.Version `json:"version"`
	At      int64                `json:"at"` // Unix time in nanoseconds
}

// HostMain runs hollow limiters as in tells until it ends, and writes to out what comes in force.
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
			return nil // the harness has ended
		}
		for _, number := range command.Limiters {
			if err := h.restart(number); err != nil {
				return err
			}
		}
	}
}

// host is a process's hollow limiters.
type host struct {
	stateDir string
	limiters map[int]*hollowFollower
	mutex    sync.Mutex // over encoder
	encoder  *json.Encoder
}

// hollowFollower is one that runs.
type hollowFollower struct {
	hollowSpec
	follower  *transport.Follower
	stateFile statefile.Place
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// recorder is the applier of one hollow limiter.
type recorder struct {
	host   *host
	number int
}

// Apply writes the version down as in force.
func (r *recorder) Apply(update *distribution.Update) error {
	r.host.mutex.Lock()
	defer r.host.mutex.Unlock()
	return r.host.encoder.Encode(appliedVersion{Limiter: r.number, Version: update.To, At: time.Now().UnixNano()})
}

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
		stateFile: statefile.Place{Dir: h.stateDir, Installation: "distlab", Subscriber: spec.name(), Scope: scope,
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

// restart ends a limiter, with its state on the disk, and starts it again.
func (h *host) restart(number int) error {
	limiter := h.limiters[number]
	if limiter == nil {
		return fmt.Errorf("limiter %d is of another host", number)
	}
	var snapshot *distribution.Snapshot
	limiter.follower.Do(func(now int64, s *distribution.Subscriber) { snapshot = s.Snapshot(now) })
	limiter.cancel()
	limiter.running.Wait()
	if snapshot != nil {
		if err := limiter.stateFile.Save(snapshot); err != nil {
			return err
		}
	}
	return h.start(limiter.hollowSpec)
}
