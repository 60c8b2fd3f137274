package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
)

// Config is the configuration of one limiter, as described in DEPLOY.md. Addresses have the form host:port.
type Config struct {
	Name      string
	Listen    string          // address for clients; the host may be empty
	Discovery string          // address
	Counter   string          // address, empty if there is no shared counter
	Seed      int64           // of the limiter's random choices
	Memory    int64           // limit, in bytes
	Sockets   int             // limit
	Known     json.RawMessage // the endpoint list to start with, in discovery's format
	Settings  *Settings
}

// comparedValue is the value of one key in two configurations.
type comparedValue struct {
	key      string
	old, new any
}

// NeedRestart returns the keys whose values differ in other and take effect only at the next start. Classes and plans
// are compared as a whole, by name. The addresses of discovery and of the counter can change at any time, but a counter
// cannot be added or removed.
func (c *Config) NeedRestart(other *Config) (keys []string) {
	current := c.Settings
	changed := other.Settings
	values := []comparedValue{{"name", c.Name, other.Name}, {"listen", c.Listen, other.Listen},
		{"counter", c.fixedCounter(c, other), other.fixedCounter(c, other)}, {"seed", c.Seed, other.Seed},
		{"limits: memory_mb", c.memoryLimits(), other.memoryLimits()}, {"limits: sockets", c.Sockets, other.Sockets}}
	for _, s := range []comparedValue{
		{"balancers", current.Limiters, changed.Limiters},
		{"position", current.Position, changed.Position},
		{"family-info: count-wait", current.CounterTimeout, changed.CounterTimeout},
		{"family-info: units-top", current.MaxRequestUnits, changed.MaxRequestUnits},
		{"family-info: trued-up", current.MaxActualUnits > 0, changed.MaxActualUnits > 0},
		{"contract: cold-from", current.ColdCapacity, changed.ColdCapacity},
		{"contract: warm-within", current.SlowStartWindow, changed.SlowStartWindow},
		{"contract: ask-every", current.PollInterval, changed.PollInterval},
		{"contract: stop-sending-within", current.DrainGrace, changed.DrainGrace},
		{"permissions: attempts-cap", current.MaxAttempts, changed.MaxAttempts},
		{"permissions: dial-timeout", current.DialTimeout, changed.DialTimeout},
		{"permissions: idle-close", current.IdleClose, changed.IdleClose},
		{"permissions: max-retry-after", current.MaxRetryAfter, changed.MaxRetryAfter},
		{"permissions: probes", current.HealthChecks, changed.HealthChecks},
		{"permissions: cancelling", current.CanCancel, changed.CanCancel},
		{"classes: deadline", current.LongestDeadline, changed.LongestDeadline},
		{"granularity", current.TimerResolution, changed.TimerResolution},
	} {
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

// memoryLimits returns the memory limit as the limiter and its controller have it.
func (c *Config) memoryLimits() [2]int64 { return [2]int64{c.Memory, c.Settings.MemoryLimit} }

// fixedCounter returns the counter's address if it must not change, because that would add or remove the counter, and
// an empty text if it may.
func (c *Config) fixedCounter(current, other *Config) string {
	if current.Settings.CounterTimeout > 0 && other.Counter != "" {
		return ""
	}
	return c.Counter
}

// compareNamed pairs the classes or plans of two configurations by name. An item that is missing from one of them has
// the value nil there.
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
	minSockets = 32      // one connection for each peer, and the descriptors of the runtime and the poller
	maxSockets = 1 << 20 // a table with an entry for each descriptor is allocated
	minMemory  = 1       // MB; a part of it must hold the largest command
	maxMemory  = 1 << 30 // MB
)

// wireConfig is the configuration as encoded in its file.
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

// DecodeConfig decodes and checks a configuration. Errors: *MalformedError, *KeyError.
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
	decoded.MemoryLimit = int64(w.Limits.MemoryMB * (1 << 20))
	return &Config{
		Name: w.Name, Listen: w.Listen, Discovery: w.Discovery, Counter: w.Counter, Seed: int64(seed),
		Memory: decoded.MemoryLimit, Sockets: w.Limits.Sockets, Known: w.Known, Settings: decoded,
	}, nil
}

// checkAddresses returns a *KeyError for the first invalid address. The counter's address may be empty if the settings
// have no counter.
func (w *wireConfig) checkAddresses(hasCounter bool) error {
	if w.Counter == "" && hasCounter {
		return keyError("counter", "missing, but the settings have a counter")
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

// checkAddress returns a *KeyError if address has no port above 0, or if it has no host and anyHost is false.
func checkAddress(key, address string, anyHost bool) error {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || number == 0 || host == "" && !anyHost {
		return &KeyError{Key: key, Why: fmt.Sprintf("%q is not a valid address", address), Cause: err}
	}
	return nil
}
