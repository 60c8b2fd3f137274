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
		{"classes: deadline", a.LongestDeadline, b.LongestDeadline},
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
	minSockets = 32      // a connection for each party beside what the runtime and the poller hold themselves
	maxSockets = 1 << 20 // a table of all descriptors is held
	minMemory  = 1       // MB: a part of it has to hold the largest command
	maxMemory  = 1 << 30
)

// wireConfig is the configuration by the keys of its file.
type wireConfig struct {
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

// DecodeConfig decodes a configuration and refuses one that cannot work. Errors: *MalformedError, *KeyError, which names the key.
func DecodeConfig(text []byte) (*Config, error) {
	var w wireConfig
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, decodeError(err)
	}
	decoded, err := Decode(w.Settings)
	if err != nil {
		return nil, nestedError("settings", err)
	}
	if err := w.checkAddresses(decoded.CounterTimeout > 0); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(w.Seed, 16, 64)
	if err != nil {
		return nil, &KeyError{Key: "seed", Cause: err}
	}
	if err := checkFigures("limits: ",
		figure{"memory_mb", w.Limits.MemoryMB, minMemory, maxMemory, false},
		figure{"sockets", float64(w.Limits.Sockets), minSockets, maxSockets, false},
	); err != nil {
		return nil, err
	}
	if decoded.IdleClose <= 0 {
		return nil, keyError("settings: permissions: idle-close", "missing")
	}
	if decoded.DialTimeout <= 0 {
		return nil, keyError("settings: permissions: dial-timeout", "missing")
	}
	return &Config{
		Name: w.Name, Listen: w.Listen, Discovery: w.Discovery, Counter: w.Counter, Seed: int64(seed),
		Memory: int64(w.Limits.MemoryMB * (1 << 20)), Sockets: w.Limits.Sockets, Known: w.Known, Settings: decoded,
	}, nil
}

// checkAddresses refuses an address that cannot be. The counter's may be empty where the settings have no counter.
func (w *wireConfig) checkAddresses(hasCounter bool) error {
	if w.Counter == "" && hasCounter {
		return keyError("counter", "missing, but the settings have one")
	}
	if err := checkAddress("listen", w.Listen, true); err != nil {
		return err
	}
	if err := checkAddress("discovery", w.Discovery, false); err != nil {
		return err
	}
	if w.Counter == "" {
		return nil
	}
	return checkAddress("counter", w.Counter, false)
}

// checkAddress refuses an address without a port, or without a host where it needs one.
func checkAddress(key, address string, anyHost bool) error {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || number == 0 || host == "" && !anyHost {
		return &KeyError{Key: key, Why: fmt.Sprintf("%q is no address", address), Cause: err}
	}
	return nil
}
