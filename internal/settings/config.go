package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
)

// Config is the configuration of one real limiter, as DEPLOY.md describes it.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Counter   string // empty where there is none
	Seed      int64
	Memory    int64 // bytes
	Sockets   int
	Known     json.RawMessage // the list as it was last held, in discovery's form
	Settings  *Settings
}

// kept is one figure of two configurations, by its key.
type kept struct {
	key      string
	old, new any
}

// NeedRestart names every key that differs in another configuration and cannot change before the next start, a class
// or a plan by its name. Discovery and the counter may move, but a counter is neither added nor taken away.
func (c *Config) NeedRestart(other *Config) (keys []string) {
	a := c.Settings
	b := other.Settings
	all := []kept{{"name", c.Name, other.Name}, {"listen", c.Listen, other.Listen},
		{"counter", c.counter(c, other), other.counter(c, other)}, {"seed", c.Seed, other.Seed},
		{"limits: memory_mb", c.Memory, other.Memory}, {"limits: sockets", c.Sockets, other.Sockets}}
	for _, s := range []kept{{"balancers", a.Limiters, b.Limiters}, {"position", a.Position, b.Position},
		{"family-info: count-wait", a.CounterTimeout, b.CounterTimeout}, {"family-info: units-top", a.MaxRequestUnits, b.MaxRequestUnits},
		{"family-info: trued-up", a.MaxActualUnits > 0, b.MaxActualUnits > 0}, {"contract: cold-from", a.ColdCapacity, b.ColdCapacity},
		{"contract: warm-within", a.SlowStartWindow, b.SlowStartWindow}, {"contract: ask-every", a.PollInterval, b.PollInterval},
		{"contract: stop-sending-within", a.DrainGrace, b.DrainGrace},
		{"permissions: attempts-cap", a.MaxAttempts, b.MaxAttempts}, {"permissions: dial-timeout", a.DialTimeout, b.DialTimeout},
		{"permissions: idle-close", a.IdleClose, b.IdleClose}, {"permissions: max-retry-after", a.MaxRetryAfter, b.MaxRetryAfter},
		{"permissions: probes", a.HealthChecks, b.HealthChecks}, {"permissions: cancelling", a.CanCancel, b.CanCancel},
		{"granularity", a.TimerResolution, b.TimerResolution}} {
		all = append(all, kept{"settings: " + s.key, s.old, s.new})
	}
	all = append(
		append(all, named("settings: classes: ", a.Classes, b.Classes)...),
		named("settings: tariffs: ", a.Plans, b.Plans)...)
	for _, k := range all {
		if k.old != k.new {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// counter is the address where it cannot move: the settings that hold have no counter, or none is named any more.
func (c *Config) counter(held, other *Config) string {
	if held.Settings.CounterTimeout > 0 && other.Counter != "" {
		return ""
	}
	return c.Counter
}

// named are the classes or plans of two configurations: one that is in only one of them differs.
func named[T comparable](part string, a, b map[string]*T) (all []kept) {
	names := maps.Clone(a)
	maps.Copy(names, b)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		k := kept{key: part + name}
		if x := a[name]; x != nil {
			k.old = *x
		}
		if x := b[name]; x != nil {
			k.new = *x
		}
		all = append(all, k)
	}
	return all
}

const (
	leastSockets = 32      // a connection for each party beside what the runtime and the poller hold themselves
	mostSockets  = 1 << 20 // a table of all descriptors is held
	leastMemory  = 1       // MB: a part of it has to hold the largest command
	mostMemory   = 1 << 30
)

// DecodeConfig decodes a configuration and refuses one that cannot work, naming the key.
func DecodeConfig(text []byte) (*Config, error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Counter   string `json:"counter"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, broken(err)
	}
	set, err := Decode(f.Settings)
	if err != nil {
		return nil, below("settings", err)
	}
	if f.Counter == "" && set.CounterTimeout > 0 {
		return nil, wrong("counter", "missing, but the settings have one")
	}
	for _, a := range []struct{ key, address string }{{"listen", f.Listen}, {"discovery", f.Discovery}, {"counter", f.Counter}} {
		if a.key == "counter" && a.address == "" {
			continue
		}
		host, port, err := net.SplitHostPort(a.address)
		if n, bad := strconv.ParseUint(
			port,
			10,
			16,
		); err != nil || bad != nil || n == 0 ||
			host == "" && a.key != "listen" {
			return nil, &KeyError{Key: a.key, Why: fmt.Sprintf("%q is no address", a.address), Cause: err}
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, &KeyError{Key: "seed", Cause: err}
	}
	if err := within("limits: ", figure{"memory_mb", f.Limits.MemoryMB, leastMemory, mostMemory, false},
		figure{"sockets", float64(f.Limits.Sockets), leastSockets, mostSockets, false}); err != nil {
		return nil, err
	}
	if set.IdleClose <= 0 {
		return nil, wrong("settings: permissions: idle-close", "missing")
	}
	if set.DialTimeout <= 0 {
		return nil, wrong("settings: permissions: dial-timeout", "missing")
	}
	return &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Seed: int64(seed),
		Memory: int64(f.Limits.MemoryMB * (1 << 20)), Sockets: f.Limits.Sockets, Known: f.Known, Settings: set}, nil
}
