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

// comparedValue is one figure of two configurations, by its key.
type comparedValue struct {
	key      string
	old, new any
}

// NeedRestart names every key that differs in another configuration and cannot change before the next start, a class
// or a plan by its name. Discovery and the counter may move, but a counter is neither added nor taken away.
func (c *Config) NeedRestart(other *Config) (keys []string) {
	current := c.Settings
	changed := other.Settings
	values := []comparedValue{{"name", c.Name, other.Name}, {"listen", c.Listen, other.Listen},
		{"counter", c.fixedCounter(c, other), other.fixedCounter(c, other)}, {"seed", c.Seed, other.Seed},
		{"limits: memory_mb", c.Memory, other.Memory}, {"limits: sockets", c.Sockets, other.Sockets}}
	for _, s := range []comparedValue{{"balancers", current.Limiters, changed.Limiters}, {"position", current.Position, changed.Position},
		{"family-info: count-wait", current.CounterTimeout, changed.CounterTimeout}, {"family-info: units-top", current.MaxRequestUnits, changed.MaxRequestUnits},
		{"family-info: trued-up", current.MaxActualUnits > 0, changed.MaxActualUnits > 0}, {"contract: cold-from", current.ColdCapacity, changed.ColdCapacity},
		{"contract: warm-within", current.SlowStartWindow, changed.SlowStartWindow}, {"contract: ask-every", current.PollInterval, changed.PollInterval},
		{"contract: stop-sending-within", current.DrainGrace, changed.DrainGrace},
		{"permissions: attempts-cap", current.MaxAttempts, changed.MaxAttempts}, {"permissions: dial-timeout", current.DialTimeout, changed.DialTimeout},
		{"permissions: idle-close", current.IdleClose, changed.IdleClose}, {"permissions: max-retry-after", current.MaxRetryAfter, changed.MaxRetryAfter},
		{"permissions: probes", current.HealthChecks, changed.HealthChecks}, {"permissions: cancelling", current.CanCancel, changed.CanCancel},
		{"classes: deadline", current.LongestDeadline, changed.LongestDeadline},
		{"granularity", current.TimerResolution, changed.TimerResolution}} {
		values = append(values, comparedValue{"settings: " + s.key, s.old, s.new})
	}
	values = append(
		append(values, compareNamed("settings: classes: ", current.Classes, changed.Classes)...),
		compareNamed("settings: tariffs: ", current.Plans, changed.Plans)...)
	for _, compared := range values {
		if compared.old != compared.new {
			keys = append(keys, compared.key)
		}
	}
	return keys
}

// fixedCounter is the address where it cannot move: the settings that hold have no fixedCounter, or none is named any more.
func (c *Config) fixedCounter(current, other *Config) string {
	if current.Settings.CounterTimeout > 0 && other.Counter != "" {
		return ""
	}
	return c.Counter
}

// compareNamed are the classes or plans of two configurations: one that is in only one of them differs.
func compareNamed[T comparable](part string, a, b map[string]*T) (values []comparedValue) {
	names := maps.Clone(a)
	maps.Copy(names, b)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		compared := comparedValue{key: part + name}
		if item := a[name]; item != nil {
			compared.old = *item
		}
		if item := b[name]; item != nil {
			compared.new = *item
		}
		values = append(values, compared)
	}
	return values
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
	if err := checkBounds("limits: ",
		boundedValue{"memory_mb", w.Limits.MemoryMB, minMemory, maxMemory, false},
		boundedValue{"sockets", float64(w.Limits.Sockets), minSockets, maxSockets, false},
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
