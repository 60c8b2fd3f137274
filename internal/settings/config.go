package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"reflect"
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

// Fixed names what differs in another configuration and cannot change before the next start; empty if nothing does.
func (c *Config) Fixed(other *Config) string {
	switch {
	case c.Name != other.Name:
		return "name"
	case c.Listen != other.Listen:
		return "listen"
	case c.Memory != other.Memory || c.Sockets != other.Sockets:
		return "limits"
	case !reflect.DeepEqual(c.Settings, other.Settings):
		return "settings"
	}
	return ""
}

// leastSockets are a connection for each party beside what the runtime and the poller hold themselves.
const leastSockets = 32

// ReadConfig decodes a configuration and refuses one that cannot work, naming the key.
func ReadConfig(text []byte) (*Config, error) {
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
	if f.Counter == "" && set.CounterWait > 0 {
		return nil, wrong("counter", "missing, but the settings have one")
	}
	for _, a := range []struct{ key, address string }{{"listen", f.Listen}, {"discovery", f.Discovery}, {"counter", f.Counter}} {
		if a.key == "counter" && a.address == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(a.address); err != nil || port == "" {
			return nil, &KeyError{Key: a.key, Why: fmt.Sprintf("%q is no address", a.address), Cause: err}
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, &KeyError{Key: "seed", Cause: err}
	}
	if f.Limits.MemoryMB <= 0 {
		return nil, wrong("limits: memory_mb", "is %v", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < leastSockets {
		return nil, wrong("limits: sockets", "is %d, at least %d are needed", f.Limits.Sockets, leastSockets)
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
