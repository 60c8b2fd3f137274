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

// restart is a further line: these limiters end, and begin again with the state that they left on the disk.
type restart struct {
	Limiters []int `json:"limiters"`
}

// applied is a line that a host writes: a version came in force at a limiter.
type applied struct {
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
	h := &host{stateDir: spec.StateDir, encoder: json.NewEncoder(out), limiters: map[int]*hollow{}}
	for _, one := range spec.Limiters {
		if err := h.start(one); err != nil {
			return err
		}
	}
	for {
		var command restart
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
	limiters map[int]*hollow
	mutex    sync.Mutex // over encoder
	encoder  *json.Encoder
}

// hollow is one that runs.
type hollow struct {
	hollowSpec
	follower *transport.Follower
	place    statefile.Place
	cancel   context.CancelFunc
	running  sync.WaitGroup
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
	return r.host.encoder.Encode(applied{Limiter: r.number, Version: update.To, At: time.Now().UnixNano()})
}

func (h *host) start(spec hollowSpec) error {
	scope, err := distribution.ParseScope(spec.Scope)
	if err != nil {
		return err
	}
	start := time.Now()
	clock := func() int64 { return start.UnixNano() + int64(time.Since(start)) }
	subscriber := distribution.NewSubscriber(clock(), distribution.SubscriberOptions{Name: spec.name(), Scope: scope,
		Applier: &recorder{h, spec.Number}})
	one := &hollow{
		hollowSpec: spec,
		place: statefile.Place{Dir: h.stateDir, Installation: "distlab", Subscriber: spec.name(), Scope: scope,
			MaxAge: int64(time.Hour), Files: atomicfile.Disk{}},
	}
	held, err := one.place.Load(clock())
	if err != nil {
		return err
	}
	if held != nil {
		state, err := distribution.NewStateOf(held.Entries)
		if err != nil {
			return err
		}
		if err := subscriber.Restore(held.Version, state, max(clock()-held.TakenAt, 0)); err != nil {
			return err
		}
	}
	one.follower = transport.NewFollower(
		subscriber,
		transport.FollowerOptions{Servers: spec.Servers, DialTimeout: dialTimeout,
			Position: spec.Number, Clock: clock},
	)
	ctx, cancel := context.WithCancel(context.Background())
	one.cancel = cancel
	one.running.Go(func() { one.follower.Run(ctx) })
	h.limiters[spec.Number] = one
	return nil
}

// restart ends a limiter, with its state on the disk, and starts it again.
func (h *host) restart(number int) error {
	one := h.limiters[number]
	if one == nil {
		return fmt.Errorf("limiter %d is of another host", number)
	}
	var held *distribution.Snapshot
	one.follower.Do(func(now int64, s *distribution.Subscriber) { held = s.Snapshot(now) })
	one.cancel()
	one.running.Wait()
	if held != nil {
		if err := one.place.Save(held); err != nil {
			return err
		}
	}
	return h.start(one.hollowSpec)
}
